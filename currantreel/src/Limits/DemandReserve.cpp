#include "DemandReserve.h"

#include <cmath>

namespace currantreel {

namespace {

/// Time constant of the decay: a request of this age counts for 1/e, about a third.
constexpr double decaySeconds = 10.0;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double DemandReserve::recentRequests(const Demand &demand, TimePoint now)
{
    return demand.recentRequests * std::exp(-seconds(now - demand.updatedAt) / decaySeconds);
}

void DemandReserve::onRequest(TimePoint now, Tier tier)
{
    Demand &demand = m_demands.at(tier);
    demand.recentRequests = recentRequests(demand, now) + 1.0;
    demand.updatedAt = now;
}

void DemandReserve::onReleased(Tier tier, Duration holdTime)
{
    if (m_running.at(tier) > 0)
        --m_running.at(tier);
    if (holdTime > Duration::zero())
        m_demands.at(tier).holdTime.add(holdTime);
}

std::uint64_t DemandReserve::slots(TimePoint now, Tier tier) const
{
    double needed = 0.0;
    double running = 0.0;
    for (Tier higher = 0; higher < tier; ++higher) {
        const Demand &demand = m_demands.at(higher);
        needed += recentRequests(demand, now) / decaySeconds * seconds(demand.holdTime.mean());
        running += static_cast<double>(m_running.at(higher));
    }
    const double missing = needed + std::sqrt(needed) - running;
    return missing > 0.0 ? static_cast<std::uint64_t>(missing) : 0;
}

} // namespace currantreel
