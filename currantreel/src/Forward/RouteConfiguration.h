#ifndef CURRANTREEL_FORWARD_ROUTECONFIGURATION_H
#define CURRANTREEL_FORWARD_ROUTECONFIGURATION_H

#include "../Configuration/Configuration.h"
#include "../Core/Id.h"
#include "../Core/Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// Part of a route's requests that goes to one service.
struct ServiceShare
{
    ServiceId service;
    std::uint32_t weight = 1;
};

/// Requests of one host name below one path, and how they are served.
struct Route
{
    std::string name;
    std::string host; ///< Host name that callers send.
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool isStream = false; ///< The answer is a series of events.
    bool isResumable = false; ///< A broken stream may go on at another backend server.
    RepeatRule repeat = RepeatRule::Never;
    Duration timeout{}; ///< Longest time until the final answer.
    Duration target{}; ///< Until the answer or its first event.
    Duration pauseTarget{}; ///< Longest pause between two events; zero for calls.
    Tier priority = 0;
    std::vector<ServiceShare> shares;
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may be sent to.
    bool isOpen = false; ///< Needs no key.
    bool hasPrompt = false; ///< Requests name the parts of their prompt.
};

/// What an operator states of the model engines of a service.
struct EngineProfile
{
    std::uint32_t slots = 1; ///< Requests that run at once.
    std::uint64_t memoryTokens = 0; ///< Shared by running requests and cached prompt parts.
    std::uint32_t tokensPerEvent = 1;
};

/// A group of backend servers that serve the same requests.
struct ForwardService
{
    ServiceId id;
    std::string name;
    std::uint32_t maxConnections = 1; ///< That one backend server accepts from all hosts together.
    std::optional<EngineProfile> engine; ///< Set for model engines.
};

/// Bounds on what callers send.
struct CallerLimits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 4UL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3); ///< To send a whole request.
    Duration idleTimeout = std::chrono::seconds(15); ///< Of a kept connection.
};

/// A workspace as requests are attributed to it.
struct KeyedWorkspace
{
    std::string name;
    std::optional<Tier> priority; ///< Goes before the route's.
};

/// One version of everything that operators declare about routes.
struct RouteConfiguration
{
    std::uint64_t version = 0; ///< 0: none known yet.
    std::vector<Route> routes;
    std::vector<ForwardService> services;
    CallerLimits limits;
    std::vector<KeyedWorkspace> workspaces;
    std::unordered_map<std::string, std::size_t> workspaceOfKey; ///< Index into `workspaces`.
    bool needsKeys = false; ///< Requests carry a key unless their route is open.

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
