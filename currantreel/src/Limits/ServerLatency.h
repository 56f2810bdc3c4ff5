#ifndef CURRANTREEL_LIMITS_SERVERLATENCY_H
#define CURRANTREEL_LIMITS_SERVERLATENCY_H

#include "MovingAverage.h"
#include <algorithm>

namespace currantreel {

/// First-token and inter-token latencies of one backend server, as measured by the entry hosts.
class ServerLatency
{
public:
    /// Adds the latencies of one attempt; zero stands for one that was not measured.
    void add(Duration firstToken, Duration interToken)
    {
        if (firstToken > Duration::zero())
            m_firstToken.add(firstToken);
        if (interToken > Duration::zero())
            m_interToken.add(interToken);
    }

    void reset() { *this = ServerLatency(); }

    [[nodiscard]] Duration firstToken() const { return m_firstToken.mean(); }
    [[nodiscard]] Duration interToken() const { return m_interToken.mean(); }
    [[nodiscard]] bool isKnown() const { return m_interToken.samples() >= minSamples; }

    /// Ratio of its latencies to the medians given, at least 1.
    [[nodiscard]] double slowdown(Duration medianFirstToken, Duration medianInterToken) const
    {
        const double first = ratio(m_firstToken.mean(), medianFirstToken) / firstTokenTolerance;
        return std::max({ 1.0, first, ratio(m_interToken.mean(), medianInterToken) });
    }

private:
    static constexpr std::uint64_t minSamples = 3;
    /// Divisor of the first-token ratio: first-token latency also varies with the prompt.
    static constexpr double firstTokenTolerance = 2.0;

    static double ratio(Duration measured, Duration median)
    {
        if (median <= Duration::zero())
            return 1.0;
        return static_cast<double>(measured.count()) / static_cast<double>(median.count());
    }

    MovingAverage m_firstToken;
    MovingAverage m_interToken;
};

} // namespace currantreel

#endif
