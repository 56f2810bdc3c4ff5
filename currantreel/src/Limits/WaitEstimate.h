#ifndef CURRANTREEL_LIMITS_WAITESTIMATE_H
#define CURRANTREEL_LIMITS_WAITESTIMATE_H

#include "MovingAverage.h"
#include <algorithm>
#include <cstdint>

namespace currantreel {

/// Estimates how long a request waits for a slot of one target, from the time for which slots are
/// held.
class WaitEstimate
{
public:
    /// Adds the time for which a slot was held.
    void onReleased(Duration holdTime) { m_holdTime.add(holdTime); }

    /// Wait of a request with @p ahead others before it; zero without samples, at most 1 h.
    [[nodiscard]] Duration wait(double ahead, std::uint64_t slots) const
    {
        const auto holdTime = static_cast<double>(m_holdTime.mean().count());
        const double rounds =
            (ahead + 1.0) / static_cast<double>(std::max<std::uint64_t>(slots, 1));
        return std::min(Duration(static_cast<Duration::rep>(holdTime * rounds)), maxWait);
    }

private:
    static constexpr Duration maxWait = std::chrono::hours(1);

    MovingAverage m_holdTime;
};

} // namespace currantreel

#endif
