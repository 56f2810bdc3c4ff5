#ifndef CURRANTREEL_RETRY_BACKOFF_H
#define CURRANTREEL_RETRY_BACKOFF_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel {

/// Exponential backoff with jitter from a seed.
class Backoff
{
public:
    /// Wait before the first retry, without jitter.
    static constexpr Duration initialDelay = std::chrono::milliseconds(50);
    /// Longest wait, without jitter.
    static constexpr Duration maxDelay = std::chrono::seconds(2);

    explicit Backoff(std::uint64_t seed) : m_state(seed) { }

    /// Wait before a retry: between half and all of the exponential wait.
    /// @param attempts attempts made so far, from 1.
    [[nodiscard]] Duration nextDelay(int attempts);

private:
    std::uint64_t random();

    std::uint64_t m_state;
};

} // namespace currantreel

#endif
