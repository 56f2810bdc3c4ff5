#include "DemandReserve.h"

#include <cmath>

namespace currantreel {

namespace {

/// Time constant of the decay: a request of this age counts for 1/e, about a third.
constexpr double memorySeconds = 10.0;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double DemandReserve::recent(const Demand &demand, TimePoint now)
{
    return demand.recent * std::exp(-seconds(now - demand.at) / memorySeconds);
}

void DemandReserve::onRequest(TimePoint now, Tier tier)
{
    Demand &demand = m_demands.at(tier);
    demand.recent = recent(demand, now) + 1.0;
    demand.at = now;
}

void DemandReserve::onReleased(Tier tier, Duration held)
{
    if (m_running.at(tier) > 0)
        --m_running.at(tier);
    if (held > Duration::zero())
        m_demands.at(tier).held.add(held);
}

std::uint64_t DemandReserve::slots(TimePoint now, Tier tier) const
{
    double wanted = 0.0;
    double running = 0.0;
    for (Tier higher = 0; higher < tier; ++higher) {
        const Demand &demand = m_demands.at(higher);
        wanted += recent(demand, now) / memorySeconds * seconds(demand.held.mean());
        running += static_cast<double>(m_running.at(higher));
    }
    const double missing = wanted + std::sqrt(wanted) - running;
    return missing > 0.0 ? static_cast<std::uint64_t>(missing) : 0;
}

} // namespace currantreel
