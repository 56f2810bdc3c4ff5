#ifndef CURRANTREEL_PLACEMENT_TARGETMISS_H
#define CURRANTREEL_PLACEMENT_TARGETMISS_H

#include "../Core/Time.h"

namespace currantreel {

/// Whether a request that is still queued at @p now is too late to meet its target: the answer
/// itself needs a share of it.
[[nodiscard]] inline bool missesTarget(TimePoint now, TimePoint targetAt, Duration target)
{
    constexpr double neededShare = 0.4;
    return now >= targetAt - std::chrono::duration_cast<Duration>(target * neededShare);
}

} // namespace currantreel

#endif
