#ifndef CURRANTREEL_ADMISSION_SERVERCHOICE_H
#define CURRANTREEL_ADMISSION_SERVERCHOICE_H

#include "GrantQueue.h"
#include <algorithm>
#include <concepts>
#include <vector>

namespace currantreel {

/// A backend server with a free slot, a candidate for the next grant.
struct ServerCandidate
{
    BackendServerId id;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    double load = 0.0; ///< Share of its slots in use, this grant included, times its slowdown.
    std::uint64_t lastGrantSequence = 0; ///< Lower is less recent.
    double averageLoad = 0.0; ///< Mean share of the slots in use over the target's servers.
};

/// Policy that chooses one of the candidates, of which there is at least one; returns its index.
template <typename Choice>
concept ServerChoice = requires(Choice choice, const std::vector<ServerCandidate> &candidates,
                                const QueuedGrantRequest &queued)
{
    {
        choice.choose(candidates, queued)
        } -> std::convertible_to<std::size_t>;
};

/// A policy that prefers the server expected to have the request's prompt prefix in its cache.
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
