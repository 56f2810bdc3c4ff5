#ifndef CURRANTREEL_LIMITS_SLOTLIMIT_H
#define CURRANTREEL_LIMITS_SLOTLIMIT_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel {

/// Requests that a backend server should have at once, learned from what they cost: one more after
/// each full round of good attempts, a quarter less after a congested one. Never above the published
/// number of slots.
class SlotLimit
{
public:
    /// Sets the published maximum; the limit starts there.
    void setConfiguredSlots(std::uint32_t slots);

    /// Takes the times of a whole attempt.
    /// @param firstTokenTarget time within which the class wants its first token.
    void onCompleted(TimePoint now, Duration firstToken, Duration interToken,
                     Duration firstTokenTarget);

    /// Falls to one slot, from which good attempts raise it again.
    void slowStart();

    [[nodiscard]] std::uint32_t slots() const { return static_cast<std::uint32_t>(m_limit); }
    [[nodiscard]] std::uint32_t configuredSlots() const { return m_published; }
    /// True after a restart, until the limit is back at the published number or congestion is seen.
    [[nodiscard]] bool isInSlowStart() const { return m_isReturning; }

private:
    [[nodiscard]] bool isCongested(Duration firstToken, Duration interToken,
                                   Duration firstTokenTarget);

    std::uint32_t m_published = 0;
    double m_limit = 0.0;
    bool m_isReturning = false; ///< After a restart the limit doubles each round.
    double m_bestInterToken =
        0.0; ///< In microseconds; rises slowly, so that it is not kept for ever.
    TimePoint m_loweredAt;
};

} // namespace currantreel

#endif
