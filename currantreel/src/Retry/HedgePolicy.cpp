#include "HedgePolicy.h"

#include <algorithm>

namespace currantreel {

void HedgePolicy::addHeadLatency(Duration latency)
{
    m_headLatency.add(latency);
    if (++m_sinceUpdate < headsPerUpdate)
        return;
    m_sinceUpdate = 0;
    m_hedgeDelay = m_headLatency.quantile(hedgeQuantile);
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
    if (!m_hedgeDelay || elapsed <= *m_hedgeDelay || m_answers == 0)
        return false;
    const std::uint64_t meanCost = (m_tokens + m_answers - 1) / m_answers;
    return m_budget.spend(meanCost);
}

} // namespace currantreel
