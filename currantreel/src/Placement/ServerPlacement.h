#ifndef CURRANTREEL_PLACEMENT_SERVERPLACEMENT_H
#define CURRANTREEL_PLACEMENT_SERVERPLACEMENT_H

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
    /// Less urgent requests at a server do not count against its capacity; 0 is the most urgent.
    std::uint32_t rank = 0;
    Duration target{}; ///< Target time to the first event of the answer; zero for none.
    Duration waited{}; ///< Time since the request arrived.
    std::uint64_t tieBreaker = 0; ///< Decides between servers of equal cost.
    /// Servers that failed the request or that its host cannot reach: chosen only if there are no
    /// others.
    std::span<const BackendServerId> tried;
};

/// Chooses the backend server with the lowest expected cost to all callers, in prompt tokens: the
/// prefill queued ahead of the request, the request's own uncached tokens, the slowdown of the
/// requests running there, and the transfer between failure domains.
///
/// Requests with the same shared prefix prefer the same server, by rendezvous hashing, so that a
/// new owner keeps the preference of its predecessor.
///
/// A server that warms up takes part while this host may place requests there, see WarmUpLimit.
///
/// A server that is avoided is chosen only if there is no other, not because the others are full: it
/// has no load and would draw all requests beyond the capacity of the others.
/// @return the server, or nullptr if none has capacity.
[[nodiscard]] ForwardServer *chooseServer(ServerDirectory &directory, EngineGroups &groups,
                                          const PlacementCriteria &criteria, TimePoint now);

} // namespace currantreel

#endif
