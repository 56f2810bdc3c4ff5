#include "HedgePolicy.h"

#include <algorithm>

namespace currantreel {

void HedgePolicy::addHeadLatency(Duration latency)
{
    m_heads.add(latency);
    if (++m_sinceReading < headsPerUpdate)
        return;
    m_sinceReading = 0;
    m_slowAfter = m_heads.quantile(hedgeQuantile);
}

void HedgePolicy::addAnswerLength(std::uint32_t tokens)
{
    const std::uint64_t cost = std::max(tokens, 1U);
    ++m_answers;
    m_tokens += cost;
    m_budget.earn(cost, budgetPermille);
}

bool HedgePolicy::hedge(Duration elapsed)
{
    if (!m_slowAfter || elapsed <= *m_slowAfter || m_answers == 0)
        return false;
    const std::uint64_t meanCost = (m_tokens + m_answers - 1) / m_answers;
    return m_budget.spend(meanCost);
}

} // namespace currantreel
