#ifndef CURRANTREEL_FORWARD_SERVERPLACEMENT_H
#define CURRANTREEL_FORWARD_SERVERPLACEMENT_H

#include "EngineGroups.h"
#include "ServerDirectory.h"
#include <span>

namespace currantreel {

/// What the choice of a backend server depends on, besides the servers.
struct PlacementRequest
{
    ServiceId service;
    std::size_t partition = 0; ///< Of the servers of the service, see ServerDirectory::part().
    std::size_t partitionCount = 1;
    const Prompt *prompt = nullptr; ///< Null for requests to plain services.
    FailureDomainId failureDomain; ///< Of the host that sends the request.
    std::size_t bytes = 0; ///< Of the request and of its expected answer.
    bool isLongPrompt = false;
    bool isUrgent = false; ///< Of the top tier: may use places that lower tiers leave free.
    Duration target{}; ///< Until the first event of the answer; zero for no such target.
    /// Servers that failed the request or that its host cannot reach: taken only if nothing else is left.
    std::span<const BackendServerId> tried;
};

/// Chooses the backend server with the lowest expected cost for all callers, in prompt tokens: what has
/// to be read before the request, what the request has to read itself, the slower progress of all that
/// run there, and the transfer between failure domains.
///
/// Requests about the same subject prefer the same server, by rendezvous hashing, so that a new owner
/// prefers the one that its predecessor did.
/// @return the server, or nullptr if none has room.
[[nodiscard]] ForwardServer *chooseServer(ServerDirectory &directory, EngineGroups &groups,
                                          const PlacementRequest &request, TimePoint now);

} // namespace currantreel

#endif
