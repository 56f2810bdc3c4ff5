#include "RetryBudget.h"

namespace currantreel {

namespace {

/// Part of the bound that is used; the rest covers different clocks and hosts that restart.
constexpr double usedShare = 0.8;

void dropBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace

void RetryBudget::forget(Window &window, TimePoint now) const
{
    dropBefore(window.requests, now - m_bound.window);
    dropBefore(window.repeats, now - m_bound.window);
}

void RetryBudget::countRequest(ServiceId service, TimePoint now)
{
    Window &window = m_windows[service];
    forget(window, now);
    window.requests.push_back(now);
}

bool RetryBudget::take(ServiceId service, TimePoint now)
{
    Window &window = m_windows[service];
    forget(window, now);
    const double slack = m_bound.slack / static_cast<double>(m_hosts);
    const double most = m_bound.ratio * static_cast<double>(window.requests.size()) + slack;
    if (static_cast<double>(window.repeats.size()) + 1.0 > usedShare * most)
        return false;
    window.repeats.push_back(now);
    return true;
}

} // namespace currantreel
