#ifndef CURRANTREEL_ADMISSION_SERVERCHOICE_H
#define CURRANTREEL_ADMISSION_SERVERCHOICE_H

#include "GrantQueue.h"
#include <algorithm>
#include <concepts>
#include <vector>

namespace currantreel {

/// A backend server with a free slot that could take the next grant.
struct ServerCandidate
{
    BackendServerId id;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    double load = 0.0; ///< Share of the slots in use with this grant, times the server's slowness.
    std::uint64_t lastGrantSequence =
        0; ///< Place of its last grant among all; lower is longer ago.
    double averageLoad = 0.0; ///< Mean share of the slots in use over the target's servers.
};

/// Chooses among candidates, of which there is at least one; returns the index of the chosen one.
template <typename Choice>
concept ServerChoice = requires(Choice choice, const std::vector<ServerCandidate> &candidates,
                                const QueuedGrantRequest &grant)
{
    {
        choice.choose(candidates, grant)
        } -> std::convertible_to<std::size_t>;
};

/// A choice that would rather have a certain server, because it has seen the request's prefix.
template <typename Choice>
concept PrefixAwareServerChoice = ServerChoice<Choice> && requires(Choice choice,
                                                                   const Choice &constChoice,
                                                                   const GrantRequest &request,
                                                                   BackendServerId server)
{
    {
        constChoice.preferred(request)
        } -> std::same_as<BackendServerId>;
    {
        choice.onGranted(request, server)
        } -> std::same_as<void>;
};

} // namespace currantreel

#endif
