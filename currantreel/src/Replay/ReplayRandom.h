#ifndef CURRANTREEL_REPLAY_REPLAYRANDOM_H
#define CURRANTREEL_REPLAY_REPLAYRANDOM_H

#include <cmath>
#include <cstdint>

namespace currantreel {

/// Seeded random number generator with the same sequence on every standard library (splitmix64).
class ReplayRandom
{
public:
    explicit ReplayRandom(std::uint64_t seed) : m_state(seed) { }

    std::uint64_t next()
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31U);
    }

    /// Number below @p bound, which is positive.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// Number above 0 and at most 1.
    double unit()
    {
        constexpr double steps = 9007199254740992.0; // 2^53
        return (static_cast<double>(next() >> 11U) + 1.0) / steps;
    }

    /// Exponentially distributed with the given mean.
    double exponential(double mean) { return -mean * std::log(unit()); }

    /// Normally distributed with mean 0 and standard deviation 1.
    double normal()
    {
        constexpr double fullTurn = 6.283185307179586;
        const double radius = std::sqrt(-2.0 * std::log(unit()));
        return radius * std::cos(fullTurn * unit());
    }

private:
    std::uint64_t m_state;
};

} // namespace currantreel

#endif
