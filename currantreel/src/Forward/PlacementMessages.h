#ifndef CURRANTREEL_FORWARD_PLACEMENTMESSAGES_H
#define CURRANTREEL_FORWARD_PLACEMENTMESSAGES_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include "Prompt.h"
#include <cstdint>
#include <vector>

namespace currantreel {

/// Asks the owner of some backend servers which of them a request is to be sent to.
struct PlacementGrantRequest
{
    AttemptId attempt; ///< Chosen by the asking host.
    ServiceId service;
    std::uint32_t partition = 0; ///< Of the servers of the service.
    std::uint32_t partitionCount = 1;
    FailureDomainId failureDomain; ///< Of the asking host.
    Prompt prompt;
    std::uint64_t bytes = 0; ///< Of the request and of its expected answer.
    bool isLongPrompt = false;
    bool isUrgent = false; ///< Of the top tier.
    Duration target{}; ///< Until the first event of the answer.
    Duration timeLeft{};
    std::vector<BackendServerId> avoid; ///< Servers that failed the request or seem out of reach.
};

/// The owner's choice.
struct PlacementGrant
{
    AttemptId attempt;
    BackendServerId server; ///< Invalid if none has room.
    std::uint32_t uncached = 0; ///< Prompt tokens that the server has to read.
    Incarnation owner; ///< Of the owner: a new one has no record of earlier choices.
};

/// What became of a placed request.
enum class PlacementProgress : std::uint8_t {
    AnswerStarted, ///< Its answer has begun.
    Succeeded,
    Failed, ///< By a failure of the server's own.
    Ended, ///< In a way that says nothing of the server.
    Unreachable, ///< The server could not be connected to.
};

/// Progress of one request.
struct PlacementUpdate
{
    AttemptId attempt;
    PlacementProgress progress = PlacementProgress::Ended;
};

/// Tells an owner of the progress of requests that it placed.
struct PlacementUpdates
{
    std::vector<PlacementUpdate> updates;
};

/// A request that is at a backend server.
struct ActivePlacement
{
    AttemptId attempt;
    BackendServerId server;
    std::uint32_t uncached = 0;
    std::uint32_t reserved = 0; ///< Tokens that it needs in memory until it ends.
    Duration timeLeft{};
};

/// All requests of the sender at the servers of a part, for an owner that has no record of them.
struct ActivePlacements
{
    ServiceId service;
    std::uint32_t partition = 0; ///< Of the servers of the service.
    std::vector<ActivePlacement> placements;
};

} // namespace currantreel

#endif
