#ifndef CURRANTREEL_PLACEMENT_SERVERHEALTH_H
#define CURRANTREEL_PLACEMENT_SERVERHEALTH_H

#include "../Core/Time.h"
#include "PlacementMessages.h"
#include <cstdint>

namespace currantreel {

/// Health of one backend server by the outcome of requests. Health checks are not considered, since
/// a server may pass them while it fails requests.
class ServerHealth
{
public:
    /// Records a complete answer without a server failure.
    void recordSuccess();

    /// Records an error answer, a truncated answer or an unresponsive server.
    void recordFailure(TimePoint now);

    /// Records a failed connection. The server is avoided for a time that doubles with each
    /// failure, up to a limit.
    void recordUnreachable(TimePoint now);

    /// Records the outcome that @p progress implies, if any.
    void recordProgress(TimePoint now, PlacementProgress progress);

    /// Whether the server is to be avoided while there are others.
    [[nodiscard]] bool isAvoided(TimePoint now) const { return now < m_avoidedUntil; }

    /// Whether the server was avoided and has not succeeded since: it is sent one request at a time
    /// until one succeeds.
    [[nodiscard]] bool isOnProbation(TimePoint now) const
    {
        return m_backoff > Duration::zero() && !isAvoided(now);
    }

    /// Exponentially weighted share of requests that failed, 0 to 1.
    [[nodiscard]] double failureShare() const { return m_failureShare; }

private:
    void avoid(TimePoint now);

    double m_failureShare = 0.0;
    std::uint32_t m_samples = 0;
    std::uint32_t m_consecutiveFailures = 0;
    Duration m_backoff{};
    TimePoint m_avoidedUntil;
};

} // namespace currantreel

#endif
