#ifndef CURRANTREEL_PLACEMENT_DECAYINGSUM_H
#define CURRANTREEL_PLACEMENT_DECAYINGSUM_H

#include "../Core/Time.h"

namespace currantreel {

/// Sum with exponential decay.
class DecayingSum
{
public:
    /// @param timeConstant time after which an amount counts 1/e.
    explicit DecayingSum(Duration timeConstant = std::chrono::seconds(12))
        : m_timeConstant(timeConstant)
    {
    }

    void add(TimePoint now, double amount);
    [[nodiscard]] double value(TimePoint now) const;

private:
    Duration m_timeConstant;
    double m_value = 0.0;
    TimePoint m_at;
};

} // namespace currantreel

#endif
