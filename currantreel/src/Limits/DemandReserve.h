#ifndef CURRANTREEL_LIMITS_DEMANDRESERVE_H
#define CURRANTREEL_LIMITS_DEMANDRESERVE_H

#include "../Configuration/Configuration.h"
#include "MovingAverage.h"
#include <array>

namespace currantreel {

/// Slots of one target to be kept free for higher tiers, from what they asked for lately: their
/// requests a second times the time they hold a slot, plus the spread of that number.
class DemandReserve
{
public:
    void onRequest(TimePoint now, Tier tier);
    void onGranted(Tier tier) { ++m_running.at(tier); }
    /// @param held time the slot was held; zero if the attempt tells nothing about that.
    void onReleased(Tier tier, Duration held);

    /// Slots that work of tier @p tier must leave free.
    [[nodiscard]] std::uint64_t slots(TimePoint now, Tier tier) const;

private:
    struct Demand
    {
        double recent = 0.0; ///< Requests, each fading with its age.
        TimePoint at;
        MovingAverage held;
    };

    [[nodiscard]] static double recent(const Demand &demand, TimePoint now);

    std::array<Demand, tierCount> m_demands;
    std::array<std::uint64_t, tierCount> m_running{};
};

} // namespace currantreel

#endif
