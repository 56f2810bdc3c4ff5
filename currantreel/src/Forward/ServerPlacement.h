#ifndef CURRANTREEL_FORWARD_SERVERPLACEMENT_H
#define CURRANTREEL_FORWARD_SERVERPLACEMENT_H

#include "EngineGroups.h"
#include "ServerDirectory.h"
#include <span>

namespace currantreel {

/// Criteria for the choice of a backend server.
struct PlacementCriteria
{
    ServiceId service;
    std::size_t partition = 0; ///< Partition to choose from, see ServerDirectory::partition().
    std::size_t partitionCount = 1;
    const Prompt *prompt = nullptr; ///< Null for services without model engines.
    FailureDomainId failureDomain; ///< Failure domain of the host that sends the request.
    std::size_t bytes = 0; ///< Size of the request plus its expected answer.
    bool isLongPrompt = false;
    bool isUrgent = false; ///< Top tier: may use capacity that lower tiers must leave free.
    Duration target{}; ///< Target time to the first event of the answer; zero for none.
    /// Servers that failed the request or that its host cannot reach: chosen only if no other is
    /// left.
    std::span<const BackendServerId> tried;
};

/// Chooses the backend server with the lowest expected cost to all callers, in prompt tokens: the
/// prefill queued ahead of the request, the request's own uncached tokens, the slowdown of the
/// requests running there, and the transfer between failure domains.
///
/// Requests with the same shared prefix prefer the same server, by rendezvous hashing, so that a
/// new owner keeps the preference of its predecessor.
/// @return the server, or nullptr if none has capacity.
[[nodiscard]] ForwardServer *chooseServer(ServerDirectory &directory, EngineGroups &groups,
                                          const PlacementCriteria &criteria, TimePoint now);

} // namespace currantreel

#endif
