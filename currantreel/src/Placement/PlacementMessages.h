#ifndef CURRANTREEL_PLACEMENT_PLACEMENTMESSAGES_H
#define CURRANTREEL_PLACEMENT_PLACEMENTMESSAGES_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include "Prompt.h"
#include <cstdint>
#include <vector>

namespace currantreel {

/// Asks the owner of a partition of a service's backend servers to choose one for a request.
struct PlacementGrantRequest
{
    AttemptId attempt; ///< Assigned by the requesting host.
    ServiceId service;
    std::uint32_t partition = 0; ///< Partition of the service's servers, from 0.
    std::uint32_t partitionCount = 1; ///< Number of partitions of the service.
    FailureDomainId failureDomain; ///< Failure domain of the requesting host.
    Prompt prompt;
    std::uint64_t bytes = 0; ///< Size of the request plus its expected answer.
    bool isLongPrompt = false;
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    Duration target{}; ///< Target time to the first event of the answer.
    Duration timeLeft{}; ///< Time until the request's deadline.
    Duration waited{}; ///< Time since the request arrived.
    bool mayWait = false; ///< The owner may queue the request until there is capacity.
    std::vector<BackendServerId> avoid; ///< Servers that failed the request or appear unreachable.
    /// Has a share of the servers; invalid if none, or if the sender's version does not state it.
    WorkspaceId workspace;
};

/// The owner's answer: the server that it chose.
struct PlacementGrant
{
    AttemptId attempt;
    BackendServerId server; ///< Invalid if no server has capacity.
    std::uint32_t uncached = 0; ///< Prompt tokens that the server has to prefill.
    /// Incarnation of the owner's process; a changed one means that it restarted and lost its
    /// leases.
    Incarnation owner;
    bool isQueued = false; ///< The owner has queued the request; a grant follows.
};

/// Progress of a request at the server that the owner granted.
enum class PlacementProgress : std::uint8_t {
    AnswerStarted, ///< The answer has begun, so the prefill is complete.
    Succeeded,
    Failed, ///< The server failed the request.
    Ended, ///< Ended without evidence for or against the server's health.
    Unreachable, ///< No connection to the server could be established.
};

/// Progress of one granted request.
struct PlacementUpdate
{
    AttemptId attempt;
    PlacementProgress progress = PlacementProgress::Ended;
};

/// Reports the progress of granted requests to the owner that granted them.
struct PlacementUpdates
{
    std::vector<PlacementUpdate> updates;
};

/// A request in progress at a backend server.
struct ActivePlacement
{
    AttemptId attempt;
    BackendServerId server;
    std::uint32_t uncached = 0; ///< Prompt tokens that the server still has to prefill.
    std::uint32_t reserved = 0; ///< KV cache tokens reserved until the request ends.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    Duration timeLeft{};
};

/// All requests of the sender in progress at one partition's servers, for an owner that has no
/// leases for them, after a change of owner or its restart.
struct ActivePlacements
{
    ServiceId service;
    std::uint32_t partition = 0; ///< Partition of the service's servers.
    std::vector<ActivePlacement> placements;
};

} // namespace currantreel

#endif
