#ifndef CURRANTREEL_REPLAY_ENGINESIMULATOR_H
#define CURRANTREEL_REPLAY_ENGINESIMULATOR_H

#include "Trace.h"
#include <deque>
#include <optional>
#include <vector>

namespace currantreel {

/// One request that an engine runs.
struct EngineJob
{
    std::uint64_t id = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint64_t prefix = 0; ///< 0: shares its prompt with nobody.
};

/// A token that an engine made.
struct EngineToken
{
    std::uint64_t job = 0;
    bool isLast = false;
};

/// Model engine in virtual time: reads prompts one after the other, then makes one token for each
/// request of its batch in every interval, which grows with the batch.
class EngineFake
{
public:
    EngineFake(const EngineShape &shape, std::uint32_t slots) : m_shape(shape), m_slots(slots) { }

    [[nodiscard]] bool isFull() const { return m_running.size() >= m_slots; }
    [[nodiscard]] std::size_t inFlight() const { return m_running.size(); }

    /// Takes a request. @pre !isFull().
    void start(TimePoint now, const EngineJob &job);
    /// Stops a request.
    void stop(std::uint64_t job);
    /// Loses every request and the prefix cache.
    void crash();
    /// Makes everything slower by @p factor from the next token on.
    void slowDown(double factor) { m_factor = factor; }

    /// When the next token is due.
    [[nodiscard]] std::optional<TimePoint> nextAt() const;
    /// Tokens due at @p now.
    std::vector<EngineToken> advance(TimePoint now);

private:
    struct Running
    {
        EngineJob job;
        TimePoint decodesFrom;
        std::uint32_t made = 0;
    };

    [[nodiscard]] Duration slowed(Duration time) const;
    [[nodiscard]] std::size_t batch(TimePoint now) const;
    [[nodiscard]] bool takeFromCache(std::uint64_t prefix);

    EngineShape m_shape;
    std::uint32_t m_slots;
    double m_factor = 1.0;
    std::vector<Running> m_running;
    std::deque<std::uint64_t> m_cache; ///< Most recently used first.
    TimePoint m_prefillFreeAt;
    TimePoint m_stepAt;
};

} // namespace currantreel

#endif
