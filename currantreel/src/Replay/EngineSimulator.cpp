#include "EngineSimulator.h"

#include <algorithm>

namespace currantreel {

namespace {

/// One in this many prompt tokens is uncached when the prefix of the prompt is cached.
constexpr std::uint32_t uncachedDivisor = 10;

} // namespace

Duration EngineSimulator::scaled(Duration time) const
{
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(time.count()) * m_slowdownFactor));
}

bool EngineSimulator::lookUpPrefix(std::uint64_t prefix)
{
    if (prefix == 0)
        return false;
    const auto found = std::find(m_prefixCache.begin(), m_prefixCache.end(), prefix);
    const bool isCached = found != m_prefixCache.end();
    if (isCached)
        m_prefixCache.erase(found);
    m_prefixCache.push_front(prefix);
    if (m_prefixCache.size() > m_parameters.cachedPrefixes)
        m_prefixCache.pop_back();
    return isCached;
}

void EngineSimulator::start(TimePoint now, const EngineJob &job)
{
    const std::uint32_t uncachedTokens =
        lookUpPrefix(job.prefix) ? job.promptTokens / uncachedDivisor : job.promptTokens;
    const Duration prefill = scaled(m_parameters.prefillPerToken * uncachedTokens);
    m_prefillFreeAt = std::max(m_prefillFreeAt, now) + prefill;
    if (batchSize(now) == 0)
        m_nextStepAt = std::max(m_nextStepAt, now);
    m_running.push_back(Running{ job, m_prefillFreeAt, 0 });
}

void EngineSimulator::stop(std::uint64_t job)
{
    std::erase_if(m_running, [job](const Running &running) { return running.job.id == job; });
}

void EngineSimulator::crash()
{
    m_running.clear();
    m_prefixCache.clear();
    m_prefillFreeAt = TimePoint();
}

std::size_t EngineSimulator::batchSize(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_running.begin(), m_running.end(),
                      [now](const Running &running) { return running.decodeStart <= now; }));
}

std::optional<TimePoint> EngineSimulator::nextTokenAt() const
{
    if (m_running.empty())
        return std::nullopt;
    const auto first = std::min_element(m_running.begin(), m_running.end(),
                                        [](const Running &left, const Running &right) {
                                            return left.decodeStart < right.decodeStart;
                                        });
    return std::max(m_nextStepAt, first->decodeStart);
}

std::vector<EngineToken> EngineSimulator::advance(TimePoint now)
{
    std::vector<EngineToken> tokens;
    const auto due = nextTokenAt();
    if (!due || *due > now)
        return tokens;
    m_nextStepAt = now + scaled(m_parameters.interval(batchSize(now)));
    for (Running &running : m_running) {
        if (running.decodeStart > now)
            continue;
        ++running.generated;
        tokens.push_back(
            EngineToken{ running.job.id, running.generated >= running.job.answerTokens });
    }
    std::erase_if(m_running, [](const Running &running) {
        return running.generated >= running.job.answerTokens;
    });
    return tokens;
}

} // namespace currantreel
