#include "ServerHealth.h"

#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr Duration shortestBackoff = 400ms;
constexpr Duration longestBackoff = 3s;
/// Minimum weight of the newest request in the failure share.
constexpr double newestWeight = 0.1;
/// Consecutive failures from which a server is avoided.
constexpr std::uint32_t failuresInRowToAvoid = 4;

} // namespace

void ServerHealth::succeeded()
{
    ++m_samples;
    m_failuresInRow = 0;
    m_backoff = Duration::zero();
    m_failureShare -= m_failureShare * std::max(newestWeight, 1.0 / m_samples);
}

void ServerHealth::failed(TimePoint now)
{
    ++m_samples;
    ++m_failuresInRow;
    m_failureShare += (1.0 - m_failureShare) * std::max(newestWeight, 1.0 / m_samples);
    if (m_failuresInRow >= failuresInRowToAvoid)
        avoid(now);
}

void ServerHealth::unreachable(TimePoint now)
{
    ++m_failuresInRow;
    avoid(now);
}

void ServerHealth::judge(TimePoint now, PlacementProgress progress)
{
    if (progress == PlacementProgress::Succeeded)
        succeeded();
    else if (progress == PlacementProgress::Failed)
        failed(now);
    else if (progress == PlacementProgress::Unreachable)
        unreachable(now);
}

void ServerHealth::avoid(TimePoint now)
{
    m_backoff = std::clamp(m_backoff * 2, shortestBackoff, longestBackoff);
    m_avoidedUntil = now + m_backoff;
}

} // namespace currantreel
