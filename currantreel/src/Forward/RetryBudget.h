#ifndef CURRANTREEL_FORWARD_RETRYBUDGET_H
#define CURRANTREEL_FORWARD_RETRYBUDGET_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include <deque>
#include <map>

namespace currantreel {

/// Bound on repeated sends to one service by all hosts together.
struct RetryBound
{
    double ratio = 0.1; ///< Repeats per request in a window.
    double slack = 10.0; ///< Repeats in a window beyond those, for all hosts together.
    Duration window = std::chrono::seconds(10);
};

/// This host's share of the bound on repeated sends. Each host counts its own requests and takes an
/// even part of the slack, so that no word between hosts is needed; hosts that are not heard from count
/// as present.
class RetryBudget
{
public:
    void setBound(const RetryBound &bound) { m_bound = bound; }

    /// @param hosts hosts that may repeat requests, this one included.
    void setHosts(std::size_t hosts) { m_hosts = hosts; }

    /// A request for @p service came from a caller.
    void countRequest(ServiceId service, TimePoint now);

    /// Takes a repeat if the window has room for it.
    [[nodiscard]] bool take(ServiceId service, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    void forget(Window &window, TimePoint now) const;

    RetryBound m_bound;
    std::size_t m_hosts = 1;
    std::map<ServiceId, Window> m_windows;
};

} // namespace currantreel

#endif
