#ifndef CURRANTREEL_WORLD_ROUTINGPOLICY_H
#define CURRANTREEL_WORLD_ROUTINGPOLICY_H

#include "../Admission/AffinityChoice.h"
#include "../Admission/FifoQueue.h"
#include "../Admission/GrantQueue.h"
#include "../Admission/LeastLoadedChoice.h"
#include "../Admission/ReportedLoadChoice.h"
#include "../Admission/RoundRobinChoice.h"
#include "../Admission/TieredQueue.h"

namespace currantreel {

/// Who grants the slots of a backend server.
enum class GrantAuthority : std::uint8_t {
    Owner, ///< One host owns the server and grants its slots to all entry hosts.
    Entry, ///< Each entry host grants itself the slots that it believes to be free.
};

/// Components of the world that differ between the router and the baselines it is compared with.
template <typename Policy>
concept RoutingPolicy =
    GrantQueue<typename Policy::Queue> && ServerChoice<typename Policy::Choice> && std::same_as<
        std::remove_cvref_t<decltype(Policy::grantAuthority)>, GrantAuthority>;

/// The router's own policy.
struct TieredPolicy
{
    using Queue = TieredQueue;
    using Choice = AffinityChoice;
    static constexpr GrantAuthority grantAuthority = GrantAuthority::Owner;
};

/// Baseline: each host serves in order of arrival.
struct FifoPolicy
{
    using Queue = FifoQueue;
    using Choice = LeastLoadedChoice;
    static constexpr GrantAuthority grantAuthority = GrantAuthority::Entry;
};

/// Baseline: each host cycles through the servers.
struct RoundRobinPolicy
{
    using Queue = FifoQueue;
    using Choice = RoundRobinChoice;
    static constexpr GrantAuthority grantAuthority = GrantAuthority::Entry;
};

/// Baseline: each host sends to the server with the least load in its last report.
struct ReportedLoadPolicy
{
    using Queue = FifoQueue;
    using Choice = ReportedLoadChoice;
    static constexpr GrantAuthority grantAuthority = GrantAuthority::Entry;
};

/// Baseline: the router's priority order, but each host grants by its own view.
struct NoOwnerPolicy
{
    using Queue = TieredQueue;
    using Choice = LeastLoadedChoice;
    static constexpr GrantAuthority grantAuthority = GrantAuthority::Entry;
};

} // namespace currantreel

#endif
