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
    Owner, ///< One owner among the hosts, asked by every entry.
    Entry, ///< Each entry host grants to itself what it believes to be free.
};

/// The parts of the world that vary between the router and the baselines it is measured against.
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

/// Baseline: each host sends to one server after the other.
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

/// Baseline: the router's order of importance, but each host decides alone.
struct NoOwnerPolicy
{
    using Queue = TieredQueue;
    using Choice = LeastLoadedChoice;
    static constexpr GrantAuthority grantAuthority = GrantAuthority::Entry;
};

} // namespace currantreel

#endif
