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
    void onReleased(Duration held) { m_held.add(held); }

    /// Wait of a request with @p ahead others before it; zero without samples, at most 1 h.
    [[nodiscard]] Duration wait(double ahead, std::uint64_t slots) const
    {
        const auto held = static_cast<double>(m_held.mean().count());
        const double turns = (ahead + 1.0) / static_cast<double>(std::max<std::uint64_t>(slots, 1));
        return std::min(Duration(static_cast<Duration::rep>(held * turns)), longest);
    }

private:
    static constexpr Duration longest = std::chrono::hours(1);

    MovingAverage m_held;
};

} // namespace currantreel

#endif
