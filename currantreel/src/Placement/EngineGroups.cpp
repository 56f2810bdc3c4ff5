#include "EngineGroups.h"

#include "ServerDirectory.h"
#include <algorithm>
#include <cmath>

namespace currantreel {

namespace {

/// Weight of the newest prompt in a route's average prompt length.
constexpr double newestWeight = 0.05;
/// Bounds on the share of the engines for long prompts.
constexpr double minShare = 0.3;
constexpr double maxShare = 0.75;
/// Share of the work below which streams of short prompts get no engines of their own.
constexpr double minStreamShare = 0.01;
/// Minimum work for a change of the split, in engine seconds.
constexpr double minWork = 1.0;
/// Assumed time for which a request holds a slot, and its weight as a number of requests.
constexpr double assumedSlotSeconds = 0.5;
constexpr double assumedSlotTimeWeight = 2.0;
/// Assumed time of a stream, and its weight as a number of streams.
constexpr double assumedStreamSeconds = 1.0;
constexpr double assumedStreamWeight = 2.0;
/// Minimum change of the share that moves engines between the groups.
constexpr double shareHysteresis = 0.12;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

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

void EngineGroups::countStreamStart(ServiceId service, TimePoint now)
{
    m_work[service].startedStreams.add(now, 1.0);
}

void EngineGroups::countStream(ServiceId service, TimePoint now, Duration time)
{
    Work &work = m_work[service];
    work.streamSeconds.add(now, secondsOf(time));
    work.endedStreams.add(now, 1.0);
}

double EngineGroups::Work::expectedStreamSeconds(TimePoint now) const
{
    const double seconds = streamSeconds.value(now) + assumedStreamWeight * assumedStreamSeconds;
    const double streams = endedStreams.value(now) + assumedStreamWeight;
    return startedStreams.value(now) * seconds / streams;
}

void EngineGroups::countSlotTime(ServiceId service, TimePoint now, Duration time)
{
    Work &work = m_work[service];
    work.slotSeconds.add(now, secondsOf(time));
    work.endedRequests.add(now, 1.0);
}

Duration EngineGroups::slotTime(ServiceId service, TimePoint now)
{
    const Work &work = m_work[service];
    const double seconds = work.slotSeconds.value(now) + assumedSlotTimeWeight * assumedSlotSeconds;
    const double requests = work.endedRequests.value(now) + assumedSlotTimeWeight;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds / requests));
}

void EngineGroups::recordFirstEvent(TimePoint now, ForwardServer &engine, std::uint64_t tokens,
                                    Duration time)
{
    PrefillModel &model = prefillModel(engine.announced.service);
    const auto prefilled = static_cast<double>(tokens);
    engine.slowness.record(now, model.timeToFirstEvent(now, prefilled), time);
    model.record(now, prefilled, time);
}

std::size_t EngineGroups::longPromptEngines(ServiceId service, TimePoint now, std::size_t engines,
                                            std::uint32_t slots)
{
    Work &work = m_work[service];
    const double prefillTokens = work.prefillTokens.value(now);
    const double streamSeconds = work.expectedStreamSeconds(now);
    if (engines < 2 || prefillTokens <= 0.0 || streamSeconds <= 0.0)
        return 0;
    const double prefillWork = prefillTokens / work.prefillModel.tokensPerSecond(now);
    const double streamWork = streamSeconds / std::max<double>(slots, 1.0);
    if (streamWork < minStreamShare * (prefillWork + streamWork))
        return 0;
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
