#ifndef CURRANTREEL_QUARANTINE_SOUNDSEGMENTS_H
#define CURRANTREEL_QUARANTINE_SOUNDSEGMENTS_H

#include "../Core/Time.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace currantreel {

/// Remembers which segments were in requests that were proven sound lately, in bounded memory:
/// the older half is dropped once the newer half is old or full.
class SoundSegments
{
public:
    /// Segments are remembered for this long at least, unless there are too many of them.
    static constexpr Duration minMemory = std::chrono::minutes(5);
    /// Number of segments in each half.
    static constexpr std::size_t maxSegments = 8'192;

    /// Records that a request with @p segment was proven sound at @p at.
    void add(TimePoint now, std::uint64_t segment, TimePoint at);

    /// When a request with @p segment was last proven sound; none if that is not remembered.
    [[nodiscard]] std::optional<TimePoint> lastSound(std::uint64_t segment) const;

private:
    using Times = std::unordered_map<std::uint64_t, TimePoint>;

    Times m_newer;
    Times m_older;
    TimePoint m_startedAt; ///< Of the newer half.
};

} // namespace currantreel

#endif
