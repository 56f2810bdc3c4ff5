#include "Backoff.h"

#include <algorithm>

namespace currantreel {

std::uint64_t Backoff::random()
{
    // SplitMix64.
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

Duration Backoff::nextDelay(int attempts)
{
    Duration wait = initialDelay;
    for (int i = 1; i < attempts && wait < maxDelay; ++i)
        wait *= 2;
    const auto half = static_cast<std::uint64_t>(std::min(wait, maxDelay).count()) / 2;
    return Duration(static_cast<Duration::rep>(half + random() % (half + 1)));
}

} // namespace currantreel
