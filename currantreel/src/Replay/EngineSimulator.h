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
    std::uint64_t prefix = 0; ///< 0: no shared prefix.
};

/// A token that an engine generated.
struct EngineToken
{
    std::uint64_t job = 0;
    bool isLast = false;
};

/// Simulates a model engine in virtual time: prefills prompts one after the other, then generates
/// one token for each request of its batch per interval, which grows with the batch size.
class EngineSimulator
{
public:
    EngineSimulator(const EngineParameters &parameters, std::uint32_t slots)
        : m_parameters(parameters), m_slots(slots)
    {
    }

    [[nodiscard]] bool isFull() const { return m_running.size() >= m_slots; }
    [[nodiscard]] std::size_t inFlight() const { return m_running.size(); }

    /// Starts a request. @pre !isFull().
    void start(TimePoint now, const EngineJob &job);
    /// Stops a request.
    void stop(std::uint64_t job);
    /// Drops every request and the prefix cache.
    void crash();
    /// Slows prefill and decoding by @p factor, from the next token on.
    void slowDown(double factor) { m_slowdownFactor = factor; }

    /// Time of the next token; none if nothing runs.
    [[nodiscard]] std::optional<TimePoint> nextTokenAt() const;
    /// Generates the tokens that are due at @p now.
    std::vector<EngineToken> advance(TimePoint now);

private:
    struct Running
    {
        EngineJob job;
        TimePoint decodeStart;
        std::uint32_t generated = 0;
    };

    [[nodiscard]] Duration scaled(Duration time) const;
    [[nodiscard]] std::size_t batchSize(TimePoint now) const;
    [[nodiscard]] bool lookUpPrefix(std::uint64_t prefix);

    EngineParameters m_parameters;
    std::uint32_t m_slots;
    double m_slowdownFactor = 1.0;
    std::vector<Running> m_running;
    std::deque<std::uint64_t> m_prefixCache; ///< Most recently used first.
    TimePoint m_prefillFreeAt;
    TimePoint m_nextStepAt;
};

} // namespace currantreel

#endif
