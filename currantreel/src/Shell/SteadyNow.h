#ifndef CURRANTREEL_SHELL_STEADYNOW_H
#define CURRANTREEL_SHELL_STEADYNOW_H

#include "../Core/Time.h"

namespace currantreel {

/// Current time of the monotonic clock, as the time type of the core.
[[nodiscard]] inline TimePoint steadyNow()
{
    const auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceOrigin));
}

} // namespace currantreel

#endif
