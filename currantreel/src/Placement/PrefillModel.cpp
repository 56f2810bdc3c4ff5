#include "PrefillModel.h"

#include <algorithm>

namespace currantreel {

namespace {

/// Assumed observations: a request without uncached tokens, and one with a long prompt.
constexpr double assumedStartSeconds = 0.05;
constexpr double assumedLongTokens = 5'000.0;
/// Weight of each assumed observation, as a number of requests.
constexpr double assumedWeight = 2.0;
/// Bounds of the fitted rate as multiples of the default: a wrong guess of what is cached makes
/// observations too fast or too slow.
constexpr double maxRateDeviation = 4.0;
/// Time for which an engine is assumed to be as fast as expected, in seconds.
constexpr double assumedSoundSeconds = 0.5;
/// Slowness from which an engine counts as slow.
constexpr double minSlowness = 2.0;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void PrefillModel::record(TimePoint now, double tokens, Duration time)
{
    const double seconds = secondsOf(time);
    m_count.add(now, 1.0);
    m_tokens.add(now, tokens);
    m_seconds.add(now, seconds);
    m_tokensSquared.add(now, tokens * tokens);
    m_tokenSeconds.add(now, tokens * seconds);
}

PrefillModel::Line PrefillModel::fit(TimePoint now) const
{
    constexpr double assumedLongSeconds =
        assumedStartSeconds + assumedLongTokens / defaultTokensPerSecond;
    const double count = m_count.value(now) + 2.0 * assumedWeight;
    const double tokens = m_tokens.value(now) + assumedWeight * assumedLongTokens;
    const double seconds =
        m_seconds.value(now) + assumedWeight * (assumedStartSeconds + assumedLongSeconds);
    const double tokensSquared =
        m_tokensSquared.value(now) + assumedWeight * assumedLongTokens * assumedLongTokens;
    const double tokenSeconds =
        m_tokenSeconds.value(now) + assumedWeight * assumedLongTokens * assumedLongSeconds;
    constexpr double minSlope = 1.0 / (maxRateDeviation * defaultTokensPerSecond);
    constexpr double maxSlope = maxRateDeviation / defaultTokensPerSecond;
    Line line;
    line.secondsPerToken = std::clamp((count * tokenSeconds - tokens * seconds)
                                          / (count * tokensSquared - tokens * tokens),
                                      minSlope, maxSlope);
    line.startSeconds = std::max((seconds - line.secondsPerToken * tokens) / count, 0.0);
    return line;
}

double PrefillModel::tokensPerSecond(TimePoint now) const
{
    return 1.0 / fit(now).secondsPerToken;
}

Duration PrefillModel::timeToFirstEvent(TimePoint now, double tokens) const
{
    const Line line = fit(now);
    const std::chrono::duration<double> time(line.startSeconds + line.secondsPerToken * tokens);
    return std::chrono::duration_cast<Duration>(time);
}

void EngineSlowness::record(TimePoint now, Duration expected, Duration actual)
{
    m_expectedSeconds.add(now, secondsOf(expected));
    m_actualSeconds.add(now, secondsOf(actual));
}

double EngineSlowness::value(TimePoint now) const
{
    const double slowness = (m_actualSeconds.value(now) + assumedSoundSeconds)
                            / (m_expectedSeconds.value(now) + assumedSoundSeconds);
    return slowness < minSlowness ? 1.0 : slowness;
}

} // namespace currantreel
