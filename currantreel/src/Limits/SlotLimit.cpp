#include "SlotLimit.h"

#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr double decrease = 0.75;
/// Inter-token time, over the best one seen, that means congestion.
constexpr double congestedRatio = 4.0;
/// Growth of the best inter-token time with each attempt.
constexpr double forgetting = 1.001;
/// Time between two decreases, so that the attempts of one congested batch count once.
constexpr Duration decreaseInterval = 2s;

} // namespace

void SlotLimit::setConfiguredSlots(std::uint32_t slots)
{
    if (slots == m_published)
        return;
    m_published = slots;
    m_limit = static_cast<double>(slots);
}

void SlotLimit::slowStart()
{
    m_limit = std::min(1.0, static_cast<double>(m_published));
    m_isReturning = true;
    m_bestInterToken = 0.0;
}

bool SlotLimit::isCongested(Duration firstToken, Duration interToken, Duration firstTokenTarget)
{
    const auto inter = static_cast<double>(interToken.count());
    if (inter > 0.0 && (m_bestInterToken == 0.0 || inter < m_bestInterToken))
        m_bestInterToken = inter;
    m_bestInterToken *= forgetting;
    if (inter > congestedRatio * m_bestInterToken)
        return true;
    return firstTokenTarget > Duration::zero() && firstToken > firstTokenTarget;
}

void SlotLimit::onCompleted(TimePoint now, Duration firstToken, Duration interToken,
                            Duration firstTokenTarget)
{
    if (isCongested(firstToken, interToken, firstTokenTarget)) {
        m_isReturning = false;
        if (now - m_loweredAt < decreaseInterval)
            return;
        m_loweredAt = now;
        m_limit = std::max(1.0, m_limit * decrease);
        return;
    }
    const double step = m_isReturning ? 1.0 : 1.0 / m_limit;
    m_limit = std::min(m_limit + step, static_cast<double>(m_published));
    m_isReturning = m_isReturning && slots() < m_published;
}

} // namespace currantreel
