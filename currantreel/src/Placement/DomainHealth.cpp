#include "DomainHealth.h"

#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Unreachable servers from which a failure domain counts as unreachable.
constexpr std::size_t serversToAvoid = 2;
/// Failures are counted together within this time.
constexpr Duration failureWindow = 3s;
constexpr Duration minBackoff = 800ms;
constexpr Duration maxBackoff = 3s;

} // namespace

void DomainHealth::recordUnreachable(BackendServerId server, TimePoint now)
{
    if (m_unreachable.empty() || now - m_firstAt > failureWindow) {
        m_unreachable.clear();
        m_firstAt = now;
    }
    m_unreachable.insert(server);
    if (m_unreachable.size() < serversToAvoid && m_backoff == Duration::zero())
        return;
    m_backoff = std::clamp(m_backoff * 2, minBackoff, maxBackoff);
    m_avoidedUntil = now + m_backoff;
}

void DomainHealth::recordAnswer()
{
    m_unreachable.clear();
    m_backoff = Duration::zero();
    m_avoidedUntil = TimePoint();
}

} // namespace currantreel
