#ifndef CURRANTREEL_ROUTES_ROUTECONFIGURATION_H
#define CURRANTREEL_ROUTES_ROUTECONFIGURATION_H

#include "../Configuration/Configuration.h"
#include "../Core/Id.h"
#include "../Core/Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// Weighted share of a route's requests that goes to one service.
struct ServiceShare
{
    ServiceId service;
    std::uint32_t weight = 1;
};

/// Matches requests by host name and path prefix, and states how they are served.
struct Route
{
    std::string name;
    std::string host; ///< Host name in the caller's request.
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool isStream = false; ///< The answer is a stream of events.
    bool isResumable = false; ///< A broken stream may be resumed at another backend server.
    RepeatRule repeat = RepeatRule::Never;
    Duration timeout{}; ///< Time limit for the complete answer.
    Duration target{}; ///< Target time to the answer or its first event.
    Duration pauseTarget{}; ///< Target for the longest pause between two events; zero if no stream.
    Tier priority = 0;
    std::vector<ServiceShare> shares;
    std::uint32_t maxAttempts = 1; ///< Maximum number of servers that a request is sent to.
    bool isOpen = false; ///< No API key is required.
    bool hasPrompt = false; ///< Requests state the segments of their prompt.
};

/// Properties of a service's model engines, as configured.
struct EngineProfile
{
    std::uint32_t slots = 1; ///< Number of requests that run concurrently.
    std::uint64_t memoryTokens = 0; ///< KV cache, shared by running requests and cached segments.
    std::uint32_t tokensPerEvent = 1;
};

/// A group of backend servers that serve the same requests.
struct ForwardService
{
    ServiceId id;
    std::string name;
    std::uint32_t maxConnections = 1; ///< Per backend server, from all hosts together.
    std::optional<EngineProfile> engine; ///< Set for model engines.
    /// Requests per second that a server bears while it warms up; 0 for no limit.
    double warmUpRate = 0.0;
};

/// Limits on callers' requests and connections.
struct CallerLimits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 4UL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3); ///< Time limit for a complete request.
    Duration idleTimeout = std::chrono::seconds(15); ///< Timeout of an idle connection.
};

/// A workspace to which requests are attributed by their API key.
struct KeyedWorkspace
{
    std::string name;
    std::optional<Tier> priority; ///< Takes precedence over the route's.
};

/// One version of the configuration of routes, services and workspaces.
struct RouteConfiguration
{
    std::uint64_t version = 0; ///< 0 if no configuration was received yet.
    std::uint32_t era = 0; ///< Of the store, from which it was read.
    std::vector<Route> routes;
    std::vector<ForwardService> services;
    CallerLimits limits;
    std::vector<KeyedWorkspace> workspaces;
    std::unordered_map<std::string, std::size_t> workspaceOfKey; ///< Index into `workspaces`.
    bool needsKeys = false; ///< Requests need an API key unless their route is open.

    /// Service with identifier @p id, or nullptr.
    [[nodiscard]] const ForwardService *service(ServiceId id) const
    {
        for (const ForwardService &one : services) {
            if (one.id == id)
                return &one;
        }
        return nullptr;
    }
};

} // namespace currantreel

#endif
