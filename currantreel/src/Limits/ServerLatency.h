#ifndef CURRANTREEL_LIMITS_SERVERLATENCY_H
#define CURRANTREEL_LIMITS_SERVERLATENCY_H

#include "MovingAverage.h"
#include <algorithm>

namespace currantreel {

/// First-token and inter-token times of one backend server, as measured by us.
class ServerLatency
{
public:
    /// Takes the times of one attempt; zero stands for a time that was not seen.
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
    [[nodiscard]] bool isKnown() const { return m_interToken.samples() >= samplesNeeded; }

    /// How many times slower than a server with the times given; at least 1.
    [[nodiscard]] double slowdown(Duration medianFirstToken, Duration medianInterToken) const
    {
        const double first = ratio(m_firstToken.mean(), medianFirstToken) / firstTokenTolerance;
        return std::max({ 1.0, first, ratio(m_interToken.mean(), medianInterToken) });
    }

private:
    static constexpr std::uint64_t samplesNeeded = 3;
    /// First-token times vary with the prompt, so that a larger difference means less.
    static constexpr double firstTokenTolerance = 2.0;

    static double ratio(Duration own, Duration median)
    {
        if (median <= Duration::zero())
            return 1.0;
        return static_cast<double>(own.count()) / static_cast<double>(median.count());
    }

    MovingAverage m_firstToken;
    MovingAverage m_interToken;
};

} // namespace currantreel

#endif
