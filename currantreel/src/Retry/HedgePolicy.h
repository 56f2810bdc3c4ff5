#ifndef CURRANTREEL_RETRY_HEDGEPOLICY_H
#define CURRANTREEL_RETRY_HEDGEPOLICY_H

#include "../Core/Id.h"
#include "LatencyQuantile.h"
#include "TokenBudget.h"

namespace currantreel {

/// Decides for one class when a slow attempt is hedged by a second one, and bounds the cost.
class HedgePolicy
{
public:
    /// Quantile of the time to the head of an answer above which an attempt counts as slow.
    static constexpr double hedgeQuantile = 0.95;
    /// Tokens spent on hedges per 1000 tokens of answers.
    static constexpr std::uint32_t budgetPermille = 20;
    /// Maximum tokens saved up for hedges.
    static constexpr std::uint32_t budgetCapacity = 4'000;

    explicit HedgePolicy(ClassId requestClass) : id(requestClass), m_budget(budgetCapacity, 0) { }

    /// Adds a sample of the time to the head of an answer.
    void addHeadLatency(Duration latency);

    /// Adds the length of a complete answer in tokens, 0 for a plain service.
    void addAnswerLength(std::uint32_t tokens);

    /// True if an attempt without an answer after @p elapsed should be hedged; its expected cost is
    /// then taken from the budget.
    [[nodiscard]] bool hedge(Duration elapsed);

    ClassId id;

private:
    /// Samples between two updates of the quantile.
    static constexpr std::uint32_t headsPerUpdate = 16;

    LatencyQuantile m_headLatency;
    TokenBudget m_budget;
    std::optional<Duration> m_hedgeDelay;
    std::uint32_t m_sinceUpdate = 0;
    std::uint64_t m_answers = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace currantreel

#endif
