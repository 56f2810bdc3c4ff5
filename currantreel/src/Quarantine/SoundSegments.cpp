#include "SoundSegments.h"

#include <algorithm>
#include <utility>

namespace currantreel {

void SoundSegments::add(TimePoint now, std::uint64_t segment, TimePoint at)
{
    if (now - m_startedAt >= minMemory || m_newer.size() >= maxSegments) {
        m_older = std::exchange(m_newer, {});
        m_startedAt = now;
    }
    TimePoint &known = m_newer[segment];
    known = std::max(known, at);
}

std::optional<TimePoint> SoundSegments::lastSound(std::uint64_t segment) const
{
    for (const Times *times : { &m_newer, &m_older }) {
        const auto found = times->find(segment);
        if (found != times->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace currantreel
