#ifndef CURRANTREEL_SETTINGS_HOSTSETTINGS_H
#define CURRANTREEL_SETTINGS_HOSTSETTINGS_H

#include "../Core/Time.h"
#include "Address.h"
#include "Fault.h"
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantreel {

/// Bounds on what one host takes in.
struct HostLimits
{
    std::size_t bodyBytes = 0; ///< Largest request body.
    std::size_t headerBytes = 0; ///< Largest request header block.
    std::size_t answerBytes = 0; ///< Largest answer that is not streamed.
    std::size_t streamBufferBytes =
        0; ///< Unsent bytes of a stream above which the engine is not read.
    std::size_t requests = 0; ///< Requests in progress at once.
    std::size_t cachedResponseBytes = 0; ///< Answers kept for idempotency keys, all together.
};

/// How requests of published routes are forwarded.
struct ForwardSettings
{
    double retryRatio = 0.1; ///< Repeated sends for each request, of all hosts together.
    double retrySlack = 10.0; ///< Repeated sends in a window beyond those, of all hosts together.
    Duration retryWindow{};
    double processorShare = 1.0; ///< Share of a core that this host has.
    std::vector<Address> seeds; ///< Where some hosts, of those that are known at start, take peers.
};

/// Settings of one daemon: who it is, where it listens and whom it asks.
struct HostSettings
{
    std::string name;
    std::string failureDomain;
    std::string region;
    Address callers; ///< Where callers reach this host.
    Address operators; ///< Where operators reach this host.
    Address peers; ///< Where other hosts reach this host.
    std::vector<Address> platform; ///< The platform's service, tried in order.
    Duration platformWatchTimeout{}; ///< Longest wait of one watch on the platform.
    std::string clusterSecret; ///< Shared by all hosts; proves a peer.
    Duration stopGrace{}; ///< Longest time a planned stop waits for requests in progress.
    HostLimits limits;
    /// Set on hosts that serve the routes which the platform publishes, in place of the model interface.
    std::optional<ForwardSettings> forward;
};

/// Checks a settings document. @param file name used in faults.
/// @return the settings, or every fault found.
[[nodiscard]] std::variant<HostSettings, FaultList> parseHostSettings(std::string_view text,
                                                                      const std::string &file);

/// Reads and checks the settings file at @p path.
[[nodiscard]] std::variant<HostSettings, FaultList> loadHostSettings(const std::string &path);

} // namespace currantreel

#endif
