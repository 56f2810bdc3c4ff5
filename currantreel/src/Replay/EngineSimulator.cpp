#include "EngineSimulator.h"

#include <algorithm>

namespace currantreel {

namespace {

/// Part of a prompt that still has to be read when its prefix is cached.
constexpr std::uint32_t uncachedPart = 10;

} // namespace

Duration EngineFake::slowed(Duration time) const
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * m_factor));
}

bool EngineFake::takeFromCache(std::uint64_t prefix)
{
    if (prefix == 0)
        return false;
    const auto found = std::find(m_cache.begin(), m_cache.end(), prefix);
    const bool isCached = found != m_cache.end();
    if (isCached)
        m_cache.erase(found);
    m_cache.push_front(prefix);
    if (m_cache.size() > m_shape.cachedPrefixes)
        m_cache.pop_back();
    return isCached;
}

void EngineFake::start(TimePoint now, const EngineJob &job)
{
    const std::uint32_t toRead =
        takeFromCache(job.prefix) ? job.promptTokens / uncachedPart : job.promptTokens;
    const Duration prefill = slowed(m_shape.prefillPerToken * toRead);
    m_prefillFreeAt = std::max(m_prefillFreeAt, now) + prefill;
    if (batch(now) == 0)
        m_stepAt = std::max(m_stepAt, now);
    m_running.push_back(Running{ job, m_prefillFreeAt, 0 });
}

void EngineFake::stop(std::uint64_t job)
{
    std::erase_if(m_running, [job](const Running &running) { return running.job.id == job; });
}

void EngineFake::crash()
{
    m_running.clear();
    m_cache.clear();
    m_prefillFreeAt = TimePoint();
}

std::size_t EngineFake::batch(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_running.begin(), m_running.end(),
                      [now](const Running &running) { return running.decodesFrom <= now; }));
}

std::optional<TimePoint> EngineFake::nextAt() const
{
    if (m_running.empty())
        return std::nullopt;
    const auto first = std::min_element(m_running.begin(), m_running.end(),
                                        [](const Running &left, const Running &right) {
                                            return left.decodesFrom < right.decodesFrom;
                                        });
    return std::max(m_stepAt, first->decodesFrom);
}

std::vector<EngineToken> EngineFake::advance(TimePoint now)
{
    std::vector<EngineToken> tokens;
    const auto due = nextAt();
    if (!due || *due > now)
        return tokens;
    m_stepAt = now + slowed(m_shape.interval(batch(now)));
    for (Running &running : m_running) {
        if (running.decodesFrom > now)
            continue;
        ++running.made;
        tokens.push_back(EngineToken{ running.job.id, running.made >= running.job.answerTokens });
    }
    std::erase_if(m_running,
                  [](const Running &running) { return running.made >= running.job.answerTokens; });
    return tokens;
}

} // namespace currantreel
