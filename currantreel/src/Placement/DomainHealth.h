#ifndef CURRANTREEL_PLACEMENT_DOMAINHEALTH_H
#define CURRANTREEL_PLACEMENT_DOMAINHEALTH_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include <set>

namespace currantreel {

/// Detects a failure domain that this host cannot reach: connections to several of its servers
/// failed with no answer from any of them in between. Spares requests a series of connection
/// timeouts while a failure domain is partitioned off.
class DomainHealth
{
public:
    /// A connection to @p server failed.
    void recordUnreachable(BackendServerId server, TimePoint now);

    /// A server of the failure domain answered; ends the avoidance.
    void recordAnswer();

    /// Whether its servers are to be avoided while there are others.
    [[nodiscard]] bool isAvoided(TimePoint now) const { return now < m_avoidedUntil; }

private:
    std::set<BackendServerId> m_unreachable; ///< Failed connections since the last answer.
    TimePoint m_firstAt; ///< First failure of the present window.
    Duration m_backoff{};
    TimePoint m_avoidedUntil;
};

} // namespace currantreel

#endif
