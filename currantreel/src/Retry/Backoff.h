#ifndef CURRANTREEL_RETRY_BACKOFF_H
#define CURRANTREEL_RETRY_BACKOFF_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel {

/// Exponential backoff with jitter from a seeded generator.
class Backoff
{
public:
    /// Delay before the first retry, without jitter.
    static constexpr Duration initialDelay = std::chrono::milliseconds(50);
    /// Maximum delay, without jitter.
    static constexpr Duration maxDelay = std::chrono::seconds(2);

    explicit Backoff(std::uint64_t seed) : m_state(seed) { }

    /// Delay before the next retry: between half and all of the exponential delay.
    /// @param attempts number of attempts made so far, at least 1.
    [[nodiscard]] Duration nextDelay(int attempts);

private:
    std::uint64_t random();

    std::uint64_t m_state;
};

} // namespace currantreel

#endif
