#include "EngineGroups.h"

#include <algorithm>
#include <cmath>

namespace currantreel {

namespace {

/// Time constant of the decay: after it, earlier work counts 1/e.
constexpr double decaySeconds = 12.0;
/// Weight of the newest prompt in a route's average prompt length.
constexpr double newestWeight = 0.05;
/// Bounds on the share of the engines for long prompts.
constexpr double minShare = 0.3;
constexpr double maxShare = 0.75;
/// Minimum work for a change of the split, in engine seconds.
constexpr double minWork = 1.0;
/// Minimum change of the share that moves engines between the groups.
constexpr double shareHysteresis = 0.12;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void DecayingSum::add(TimePoint now, double amount)
{
    m_value = value(now) + amount;
    m_at = now;
}

double DecayingSum::value(TimePoint now) const
{
    return m_value * std::exp(-secondsOf(now - m_at) / decaySeconds);
}

void EngineGroups::countPrompt(RouteId route, std::uint32_t tokens)
{
    const auto [entry, isNew] = m_promptTokens.try_emplace(route, tokens);
    if (!isNew)
        entry->second += newestWeight * (tokens - entry->second);
}

bool EngineGroups::isLong(RouteId route) const
{
    const auto found = m_promptTokens.find(route);
    return found != m_promptTokens.end() && found->second >= longPromptTokens;
}

void EngineGroups::countPrefill(ServiceId service, TimePoint now, double uncachedTokens)
{
    m_work[service].prefillTokens.add(now, uncachedTokens);
}

void EngineGroups::countStream(ServiceId service, TimePoint now, Duration time)
{
    m_work[service].streamSeconds.add(now, secondsOf(time));
}

std::size_t EngineGroups::longPromptEngines(ServiceId service, TimePoint now, std::size_t engines,
                                            std::uint32_t slots)
{
    Work &work = m_work[service];
    const double prefillTokens = work.prefillTokens.value(now);
    const double streamSeconds = work.streamSeconds.value(now);
    if (engines < 2 || prefillTokens <= 0.0 || streamSeconds <= 0.0)
        return 0;
    const double prefillWork = prefillTokens / prefillTokensPerSecond;
    const double streamWork = streamSeconds / std::max<double>(slots, 1.0);
    if (prefillWork + streamWork >= minWork) {
        const double share =
            std::clamp(prefillWork / (prefillWork + streamWork), minShare, maxShare);
        if (std::abs(share - work.share) >= shareHysteresis)
            work.share = share;
    }
    const double wanted = work.share * static_cast<double>(engines);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(wanted)), 1, engines - 1);
}

} // namespace currantreel
