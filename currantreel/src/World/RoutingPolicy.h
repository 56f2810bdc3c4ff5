#ifndef CURRANTREEL_WORLD_ROUTINGPOLICY_H
#define CURRANTREEL_WORLD_ROUTINGPOLICY_H

#include "../Admission/GrantQueue.h"
#include "../Admission/LeastLoadedChoice.h"
#include "../Admission/TieredQueue.h"

namespace currantreel {

/// The parts of the world that vary between the router and the baselines it is measured against.
template <typename Policy>
concept RoutingPolicy = GrantQueue<typename Policy::Queue> && ServerChoice<typename Policy::Choice>;

/// The router's own policy.
struct TieredPolicy
{
    using Queue = TieredQueue;
    using Choice = LeastLoadedChoice;
};

} // namespace currantreel

#endif
