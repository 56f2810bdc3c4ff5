#ifndef CURRANTREEL_CORE_TIME_H
#define CURRANTREEL_CORE_TIME_H

#include <chrono>
#include <cstdint>

namespace currantreel {

/// Duration type of the core, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of the core. It has no `now()`: time enters the core only as an argument of `World::step`.
struct CoreClock
{
    // NOLINTBEGIN(readability-identifier-naming): the names are those of the standard's clocks.
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<CoreClock, Duration>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)
};

/// Monotonic instant of the core. The origin is arbitrary and differs from host to host.
using TimePoint = CoreClock::time_point;

/// Converts @p time to whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace currantreel

#endif
