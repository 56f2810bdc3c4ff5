#ifndef CURRANTREEL_LIMITS_SLOTLIMIT_H
#define CURRANTREEL_LIMITS_SLOTLIMIT_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel {

/// Adaptive limit on the concurrent requests of a backend server, by additive increase and
/// multiplicative decrease: one more after a full round of attempts without congestion, a quarter
/// less after a congested one. Never above the configured number of slots.
class SlotLimit
{
public:
    /// Sets the configured number of slots; if it changes, the limit starts there.
    void setConfiguredSlots(std::uint32_t slots);

    /// Adjusts the limit by the latencies of a completed attempt.
    /// @param firstTokenTarget first-token latency above which the attempt counts as congested;
    /// zero for none.
    void onCompleted(TimePoint now, Duration firstToken, Duration interToken,
                     Duration firstTokenTarget);

    /// Lowers the limit to one slot, from which attempts without congestion raise it again.
    void slowStart();

    [[nodiscard]] std::uint32_t slots() const { return static_cast<std::uint32_t>(m_limit); }
    [[nodiscard]] std::uint32_t configuredSlots() const { return m_configuredSlots; }
    /// True after slowStart() until the limit is back at its maximum or an attempt is congested.
    [[nodiscard]] bool isInSlowStart() const { return m_isInSlowStart; }

private:
    [[nodiscard]] bool isCongested(Duration firstToken, Duration interToken,
                                   Duration firstTokenTarget);

    std::uint32_t m_configuredSlots = 0;
    double m_limit = 0.0;
    bool m_isInSlowStart = false; ///< The limit doubles with each round of attempts.
    /// In microseconds; rises slowly, so that an old minimum is not kept for ever.
    double m_bestInterToken = 0.0;
    TimePoint m_decreasedAt;
};

} // namespace currantreel

#endif
