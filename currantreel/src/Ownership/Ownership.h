#ifndef CURRANTREEL_OWNERSHIP_OWNERSHIP_H
#define CURRANTREEL_OWNERSHIP_OWNERSHIP_H

#include "../Configuration/Configuration.h"
#include "../Core/Time.h"
#include "../Membership/Membership.h"
#include <map>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// Who owns each backend server, computed by every host from its own view.
///
/// The owner is the live host of the server's failure domain with the highest rendezvous weight for the
/// servers that serve the same target, which therefore have one owner and one queue. A
/// failure domain whose hosts are all gone is served by the next one by name, after a delay and unless
/// this host takes itself for cut off. Views may differ for a moment: two owners at once cost
/// oversubscription, nothing else.
class Ownership
{
public:
    /// Makes this host the owner of every server of its failure domain, whoever else is there: each
    /// entry grants for itself.
    void grantLocally() { m_isLocal = true; }

    /// Takes over the present view and configuration. @return true if an owner or a share changed.
    bool update(TimePoint now, const HostIdentity &self, const Membership &membership,
                const Configuration &configuration);

    /// Owner of @p server; not valid if it has none.
    [[nodiscard]] HostId ownerOf(BackendServerId server) const;

    /// Slots of @p server that this host grants if it is the owner, else 0. Fewer than declared until
    /// renewals have told what runs after a takeover, and while others may own it too.
    [[nodiscard]] std::uint32_t grantableSlots(const BackendServer &server) const;

    /// Rises with every change.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    struct Row
    {
        HostId owner;
        TimePoint cautiousUntil; ///< After a takeover by this host.
    };
    using Domains = std::map<FailureDomainId, std::vector<HostId>>;

    [[nodiscard]] Domains domainsInService(const HostIdentity &self,
                                           const Membership &membership) const;
    void noteEmptyDomains(const Membership &membership, const Domains &domains,
                          const Configuration &configuration);
    [[nodiscard]] FailureDomainId servingDomain(FailureDomainId domain, const Domains &domains,
                                                bool isIsolated) const;
    void noteNames(const Configuration &configuration);
    bool assign(const Configuration &configuration, const Domains &domains, bool isIsolated);
    bool endCaution();

    HostIdentity m_self;
    TimePoint m_now;
    std::unordered_map<BackendServerId, Row> m_rows;
    std::map<FailureDomainId, TimePoint> m_takeoverAt; ///< Of failure domains without a host.
    std::map<std::string, FailureDomainId> m_names;
    std::uint64_t m_membershipRevision = 0;
    std::uint64_t m_version = 0;
    bool m_isLocal = false;
    bool m_isIsolated = false;
    std::uint32_t m_sharePermille = 1000;
    std::uint64_t m_revision = 0;
};

} // namespace currantreel

#endif
