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

/// Limits on the requests and answers of one host.
struct HostLimits
{
    std::size_t memoryBytes = 0; ///< That this daemon may use; 0 for the machine's.
    /// That this daemon may have open; 0 for the limit of its process.
    std::size_t descriptors = 0;
    std::size_t bodyBytes = 0; ///< Maximum size of a request body.
    std::size_t headerBytes = 0; ///< Maximum size of a request's header section.
    std::size_t answerBytes = 0; ///< Maximum size of an answer that is not streamed.
    /// Maximum size of all answers together that are held until they are complete.
    std::size_t receiveBufferBytes = 0;
    /// Maximum size of all that is held for connections of callers and operators together: requests that
    /// are not handled yet, and replies that are not read. Requests in progress may hold twice as much.
    std::size_t callerBufferBytes = 0;
    /// Unsent bytes of a stream above which reading from the engine is paused.
    std::size_t streamBufferBytes = 0;
    std::size_t requests = 0; ///< Maximum number of requests in progress.
    std::size_t cachedResponseBytes = 0; ///< Total size of the answers cached for idempotency keys.
};

/// How requests of published routes are forwarded.
struct ForwardSettings
{
    double retryRatio = 0.1; ///< Retries per request, over all hosts.
    double retrySlack = 10.0; ///< Additional retries in each window, over all hosts.
    Duration retryWindow{}; ///< Length of the window in which requests and retries are counted.
    /// Bound of the requests sent in a second to a server that warms up, over all hosts: a multiple of
    /// the rate that its service states, and requests beyond it.
    double warmUpRatio = 1.0;
    double warmUpSlack = 0.0;
    double processorShare = 1.0; ///< Processor cores available to this host; may be a fraction.
    std::vector<Address> seeds; ///< Peer addresses of some hosts, through which others are found.
    /// Time within which published changes have to be in force on all hosts.
    Duration changeBound{};
};

/// Settings of one daemon: its identity, its listening addresses and the platform's addresses.
struct HostSettings
{
    std::string name;
    std::string failureDomain;
    std::string region;
    Address callers; ///< Listening address for callers.
    Address operators; ///< Listening address for operators.
    Address peers; ///< Listening address for other hosts.
    std::vector<Address> platform; ///< Addresses of the platform's service, tried in order.
    Duration platformWatchTimeout{}; ///< Maximum duration of one watch request to the platform.
    std::string clusterSecret; ///< Secret shared by all hosts, which authenticates peers.
    Duration stopGrace{}; ///< Maximum time that a planned stop waits for requests in progress.
    HostLimits limits;
    /// Set on hosts that serve the routes published by the platform instead of the model interface.
    std::optional<ForwardSettings> forward;
};

/// Parses and validates a settings document in TOML.
/// @param file name of the document in reported faults.
/// @return the settings, or all faults found.
[[nodiscard]] std::variant<HostSettings, FaultList> parseHostSettings(std::string_view text,
                                                                      const std::string &file);

/// Reads, parses and validates the settings file at @p path.
/// @return the settings, or all faults found.
[[nodiscard]] std::variant<HostSettings, FaultList> loadHostSettings(const std::string &path);

} // namespace currantreel

#endif
