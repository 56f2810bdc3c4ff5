#include "EngineGroups.h"

#include <algorithm>
#include <cmath>

namespace currantreel {

namespace {

/// Time constant of the decay: after it, earlier work counts 1/e.
constexpr double memorySeconds = 12.0;
/// Weight of the newest prompt in a route's average prompt length.
constexpr double newestWeight = 0.05;
/// Bounds on the share of the engines for long prompts.
constexpr double smallestShare = 0.3;
constexpr double largestShare = 0.75;
/// Minimum work for a change of the split, in engine seconds.
constexpr double enoughWork = 1.0;
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
    return m_value * std::exp(-secondsOf(now - m_at) / memorySeconds);
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

void EngineGroups::countReading(ServiceId service, TimePoint now, double unreadTokens)
{
    m_work[service].readTokens.add(now, unreadTokens);
}

void EngineGroups::countRunning(ServiceId service, TimePoint now, Duration time)
{
    m_work[service].runSeconds.add(now, secondsOf(time));
}

std::size_t EngineGroups::longEngines(ServiceId service, TimePoint now, std::size_t engines,
                                      std::uint32_t slots)
{
    Work &work = m_work[service];
    const double readTokens = work.readTokens.value(now);
    const double runSeconds = work.runSeconds.value(now);
    if (engines < 2 || readTokens <= 0.0 || runSeconds <= 0.0)
        return 0;
    const double reading = readTokens / readTokensPerSecond;
    const double running = runSeconds / std::max<double>(slots, 1.0);
    if (reading + running >= enoughWork) {
        const double share = std::clamp(reading / (reading + running), smallestShare, largestShare);
        if (std::abs(share - work.share) >= shareHysteresis)
            work.share = share;
    }
    const double wanted = work.share * static_cast<double>(engines);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(wanted)), 1, engines - 1);
}

} // namespace currantreel
