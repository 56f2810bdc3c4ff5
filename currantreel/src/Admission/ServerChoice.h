#ifndef CURRANTREEL_ADMISSION_SERVERCHOICE_H
#define CURRANTREEL_ADMISSION_SERVERCHOICE_H

#include "GrantQueue.h"
#include <concepts>
#include <vector>

namespace currantreel {

/// A backend server with a free slot that could take the next grant.
struct ServerCandidate
{
    BackendServerId id;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
};

/// Chooses among candidates, of which there is at least one; returns the index of the chosen one.
template <typename Choice>
concept ServerChoice = requires(Choice choice, const std::vector<ServerCandidate> &candidates,
                                const QueuedGrant &grant)
{
    {
        choice.choose(candidates, grant)
        } -> std::convertible_to<std::size_t>;
};

} // namespace currantreel

#endif
