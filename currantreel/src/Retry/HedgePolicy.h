#ifndef CURRANTREEL_RETRY_HEDGEPOLICY_H
#define CURRANTREEL_RETRY_HEDGEPOLICY_H

#include "../Core/Id.h"
#include "LatencyQuantile.h"
#include "TokenBudget.h"

namespace currantreel {

/// Decides for one class when a second attempt beside a slow one pays, and bounds its cost.
class HedgePolicy
{
public:
    /// Quantile of the time to the head of an answer after which an attempt counts as slow.
    static constexpr double hedgeQuantile = 0.95;
    /// Tokens spent on second attempts per 1000 tokens of answers.
    static constexpr std::uint32_t budgetPermille = 20;
    /// Most tokens saved up for second attempts.
    static constexpr std::uint32_t budgetCapacity = 4'000;

    explicit HedgePolicy(ClassId requestClass) : id(requestClass), m_budget(budgetCapacity, 0) { }

    /// Learns the time to the head of an answer.
    void addHeadLatency(Duration latency);

    /// Learns the length of a whole answer, 0 tokens for a plain service.
    void addAnswerLength(std::uint32_t tokens);

    /// True, and paid for, if an attempt that has waited for @p elapsed should get a second one.
    [[nodiscard]] bool hedge(Duration elapsed);

    ClassId id;

private:
    /// Heads between two readings of the quantile.
    static constexpr std::uint32_t headsPerUpdate = 16;

    LatencyQuantile m_heads;
    TokenBudget m_budget;
    std::optional<Duration> m_slowAfter;
    std::uint32_t m_sinceReading = 0;
    std::uint64_t m_answers = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace currantreel

#endif
