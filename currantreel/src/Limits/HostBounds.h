#ifndef CURRANTREEL_LIMITS_HOSTBOUNDS_H
#define CURRANTREEL_LIMITS_HOSTBOUNDS_H

#include "../Settings/HostSettings.h"
#include <cstddef>

namespace currantreel {

/// What the machine lets one daemon use.
struct HostResources
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/// Bounds of what callers and servers can make a host hold, each as configured but within a part of the
/// machine's memory. Together the parts leave room for the host itself.
struct HostBounds
{
    /// Of requests that are not complete, and of replies that are not read.
    std::size_t callerBufferBytes = 0;
    std::size_t requestBytes = 0; ///< Of requests in progress: their bodies and heads.
    std::size_t answerBytes = 0; ///< Of answers that are held until they are complete.

    std::size_t callerConnections = 0; ///< Connections of callers.
    std::size_t operatorConnections = 0;
    std::size_t unprovenLinks = 0; ///< From other hosts, before these have proven to be hosts.
    std::size_t idleServerConnections = 0; ///< Kept to backend servers for further requests.
    /// Bytes that the system may keep for each connection of a caller until they are read. They count as
    /// memory of the process.
    std::size_t receiveBytes = 0;
};

/// @param limits as configured.
[[nodiscard]] HostBounds hostBounds(const HostResources &resources, const HostLimits &limits);

} // namespace currantreel

#endif
