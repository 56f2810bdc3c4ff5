#include "RetryBudget.h"

namespace currantreel {

namespace {

/// Share of the limit that is used; the remainder covers clock differences and restarts of hosts.
constexpr double usedShare = 0.8;

void eraseBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace

void RetryBudget::removeExpired(Window &window, TimePoint now) const
{
    eraseBefore(window.requests, now - m_bound.window);
    eraseBefore(window.retries, now - m_bound.window);
}

void RetryBudget::countRequest(ServiceId service, TimePoint now)
{
    Window &window = m_windows[service];
    removeExpired(window, now);
    window.requests.push_back(now);
}

bool RetryBudget::tryConsume(ServiceId service, TimePoint now)
{
    Window &window = m_windows[service];
    removeExpired(window, now);
    const double slack = m_bound.slack / static_cast<double>(m_hosts);
    const double limit = m_bound.ratio * static_cast<double>(window.requests.size()) + slack;
    if (static_cast<double>(window.retries.size()) + 1.0 > usedShare * limit)
        return false;
    window.retries.push_back(now);
    return true;
}

} // namespace currantreel
