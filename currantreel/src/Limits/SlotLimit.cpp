#include "SlotLimit.h"

#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr double decreaseFactor = 0.75;
/// Ratio of the inter-token time to the best one above which an attempt counts as congested.
constexpr double congestionRatio = 4.0;
/// Factor by which the best inter-token time grows with each attempt.
constexpr double bestInterTokenGrowth = 1.001;
/// Minimum time between two decreases, so that the attempts of one congested batch count once.
constexpr Duration decreaseInterval = 2s;

} // namespace

void SlotLimit::setConfiguredSlots(std::uint32_t slots)
{
    if (slots == m_configuredSlots)
        return;
    m_configuredSlots = slots;
    m_limit = static_cast<double>(slots);
}

void SlotLimit::slowStart()
{
    m_limit = std::min(1.0, static_cast<double>(m_configuredSlots));
    m_isInSlowStart = true;
    m_bestInterToken = 0.0;
}

bool SlotLimit::isCongested(Duration firstToken, Duration interToken, Duration firstTokenTarget)
{
    const auto inter = static_cast<double>(interToken.count());
    if (inter > 0.0 && (m_bestInterToken == 0.0 || inter < m_bestInterToken))
        m_bestInterToken = inter;
    m_bestInterToken *= bestInterTokenGrowth;
    if (inter > congestionRatio * m_bestInterToken)
        return true;
    return firstTokenTarget > Duration::zero() && firstToken > firstTokenTarget;
}

void SlotLimit::onCompleted(TimePoint now, Duration firstToken, Duration interToken,
                            Duration firstTokenTarget)
{
    if (isCongested(firstToken, interToken, firstTokenTarget)) {
        m_isInSlowStart = false;
        if (now - m_decreasedAt < decreaseInterval)
            return;
        m_decreasedAt = now;
        m_limit = std::max(1.0, m_limit * decreaseFactor);
        return;
    }
    const double step = m_isInSlowStart ? 1.0 : 1.0 / m_limit;
    m_limit = std::min(m_limit + step, static_cast<double>(m_configuredSlots));
    m_isInSlowStart = m_isInSlowStart && slots() < m_configuredSlots;
}

} // namespace currantreel
