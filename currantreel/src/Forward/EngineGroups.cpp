#include "EngineGroups.h"

#include <algorithm>
#include <cmath>

namespace currantreel {

namespace {

/// Time in which the memory of earlier work falls to 1/e.
constexpr double memorySeconds = 6.0;
constexpr double newestWeight = 0.05;
/// Prompt tokens that an engine reads in a second.
constexpr double tokensPerSecond = 75'000.0;
/// Weight of the reading against the running of streams: reading comes in bursts and needs more room.
constexpr double readingWeight = 1.2;
/// Smallest change of the share that moves engines from one group to the other.
constexpr double shareHysteresis = 0.08;

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
    const double reading = readingWeight * work.readTokens.value(now) / tokensPerSecond;
    const double running = work.runSeconds.value(now) / std::max<double>(slots, 1.0);
    if (engines < 2 || reading <= 0.0 || running <= 0.0)
        return 0;
    const double share = 0.55;
    if (work.share < 0.0 || std::abs(share - work.share) >= shareHysteresis)
        work.share = share;
    const auto rounded = static_cast<std::size_t>(std::lround(work.share * static_cast<double>(engines)));
    return std::clamp<std::size_t>(rounded, 1, engines - 1);
}

} // namespace currantreel
