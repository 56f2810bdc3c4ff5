#ifndef CURRANTREEL_LIMITS_DEMANDRESERVE_H
#define CURRANTREEL_LIMITS_DEMANDRESERVE_H

#include "../Configuration/Configuration.h"
#include "MovingAverage.h"
#include <array>

namespace currantreel {

/// Slots of one target to keep free for higher tiers, from their recent demand: their request rate
/// times the mean time for which they hold a slot, plus the square root of that product (a standard
/// deviation), less the slots that they use already.
class DemandReserve
{
public:
    void onRequest(TimePoint now, Tier tier);
    void onGranted(Tier tier) { ++m_running.at(tier); }
    /// @param holdTime time for which the slot was held; zero if it is no sample of that time.
    void onReleased(Tier tier, Duration holdTime);

    /// Slots that work of tier @p tier must leave free.
    [[nodiscard]] std::uint64_t slots(TimePoint now, Tier tier) const;

private:
    struct Demand
    {
        double recentRequests = 0.0; ///< Exponentially decayed number of requests.
        TimePoint updatedAt;
        MovingAverage holdTime;
    };

    [[nodiscard]] static double recentRequests(const Demand &demand, TimePoint now);

    std::array<Demand, tierCount> m_demands;
    std::array<std::uint64_t, tierCount> m_running{};
};

} // namespace currantreel

#endif
