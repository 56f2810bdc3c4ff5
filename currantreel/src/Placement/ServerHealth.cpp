#include "ServerHealth.h"

#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr Duration minBackoff = 400ms;
constexpr Duration maxBackoff = 3s;
/// Minimum weight of the newest request in the failure share.
constexpr double newestWeight = 0.1;
/// Consecutive failures from which a server is avoided.
constexpr std::uint32_t consecutiveFailuresToAvoid = 4;

} // namespace

void ServerHealth::recordSuccess()
{
    ++m_samples;
    m_consecutiveFailures = 0;
    m_backoff = Duration::zero();
    m_failureShare -= m_failureShare * std::max(newestWeight, 1.0 / m_samples);
}

void ServerHealth::recordFailure(TimePoint now)
{
    ++m_samples;
    ++m_consecutiveFailures;
    m_failureShare += (1.0 - m_failureShare) * std::max(newestWeight, 1.0 / m_samples);
    if (m_consecutiveFailures >= consecutiveFailuresToAvoid)
        avoid(now);
}

void ServerHealth::recordUnreachable(TimePoint now)
{
    ++m_consecutiveFailures;
    avoid(now);
}

void ServerHealth::recordProgress(TimePoint now, PlacementProgress progress)
{
    if (progress == PlacementProgress::Succeeded)
        recordSuccess();
    else if (progress == PlacementProgress::Failed)
        recordFailure(now);
    else if (progress == PlacementProgress::Unreachable)
        recordUnreachable(now);
}

void ServerHealth::avoid(TimePoint now)
{
    m_backoff = std::clamp(m_backoff * 2, minBackoff, maxBackoff);
    m_avoidedUntil = now + m_backoff;
}

} // namespace currantreel
