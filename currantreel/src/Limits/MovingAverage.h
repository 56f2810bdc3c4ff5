#ifndef CURRANTREEL_LIMITS_MOVINGAVERAGE_H
#define CURRANTREEL_LIMITS_MOVINGAVERAGE_H

#include "../Core/Time.h"
#include <algorithm>
#include <cstdint>

namespace currantreel {

/// Exponentially weighted moving average of durations; the first samples have equal weight.
class MovingAverage
{
public:
    void add(Duration sample)
    {
        ++m_samples;
        const double weight = std::max(minSampleWeight, 1.0 / static_cast<double>(m_samples));
        m_mean += (static_cast<double>(sample.count()) - m_mean) * weight;
    }

    void reset() { *this = MovingAverage(); }

    /// Mean; zero without samples.
    [[nodiscard]] Duration mean() const { return Duration(static_cast<Duration::rep>(m_mean)); }
    [[nodiscard]] std::uint64_t samples() const { return m_samples; }

private:
    static constexpr double minSampleWeight = 0.1;

    double m_mean = 0.0; ///< In microseconds.
    std::uint64_t m_samples = 0;
};

} // namespace currantreel

#endif
