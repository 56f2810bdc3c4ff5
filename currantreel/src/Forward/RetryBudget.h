#ifndef CURRANTREEL_FORWARD_RETRYBUDGET_H
#define CURRANTREEL_FORWARD_RETRYBUDGET_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include <deque>
#include <map>

namespace currantreel {

/// Limit on retries to one service by all hosts together.
struct RetryBound
{
    double ratio = 0.1; ///< Retries per request within the window.
    double slack = 10.0; ///< Further retries within the window, for all hosts together.
    Duration window = std::chrono::seconds(10);
};

/// This host's share of the limit on retries. Each host counts its own requests and gets an equal
/// share of the slack, so that hosts need not coordinate; unresponsive hosts count as present.
class RetryBudget
{
public:
    void setBound(const RetryBound &bound) { m_bound = bound; }

    /// @param hosts number of hosts that may retry requests, including this one.
    void setHosts(std::size_t hosts) { m_hosts = hosts; }

    /// Records a caller's request to @p service.
    void countRequest(ServiceId service, TimePoint now);

    /// Consumes one retry if the budget allows it.
    [[nodiscard]] bool tryConsume(ServiceId service, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void removeExpired(Window &window, TimePoint now) const;

    RetryBound m_bound;
    std::size_t m_hosts = 1;
    std::map<ServiceId, Window> m_windows;
};

} // namespace currantreel

#endif
