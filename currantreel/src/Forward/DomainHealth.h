#ifndef CURRANTREEL_FORWARD_DOMAINHEALTH_H
#define CURRANTREEL_FORWARD_DOMAINHEALTH_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include <set>

namespace currantreel {

/// Whether a failure domain seems to be cut off from this host: several of its servers cannot be
/// connected to, and none answered in between. Answers for requests that would wait for one connection
/// timeout after the other while a failure domain is cut off.
class DomainHealth
{
public:
    /// No connection to @p server could be made.
    void unreachable(BackendServerId server, TimePoint now);

    /// A server of the failure domain answered.
    void answered();

    /// Whether its servers are to be avoided while others can take the request.
    [[nodiscard]] bool isAvoided(TimePoint now) const { return now < m_avoidedUntil; }

private:
    std::set<BackendServerId> m_unreachable; ///< Since the last answer.
    TimePoint m_firstAt;
    Duration m_backoff{};
    TimePoint m_avoidedUntil;
};

} // namespace currantreel

#endif
