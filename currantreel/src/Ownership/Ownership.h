#ifndef CURRANTREEL_OWNERSHIP_OWNERSHIP_H
#define CURRANTREEL_OWNERSHIP_OWNERSHIP_H

#include "../Configuration/Configuration.h"
#include "../Core/Time.h"
#include "../Membership/Membership.h"
#include <map>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// Assigns an owner to each backend server. Every host computes it from its own view.
///
/// The owner is the live host of the server's failure domain with the highest rendezvous weight for
/// the servers that serve the same target, which therefore have one owner and one queue. A failure
/// domain without any live host is served by the next one by name, after a delay and unless this
/// host considers itself isolated. Views may differ for a short time: two owners at once
/// oversubscribe the servers, with no other effect.
class Ownership
{
public:
    /// Makes this host the owner of every server of its failure domain regardless of other hosts,
    /// so that each entry grants for itself.
    void grantLocally() { m_grantsLocally = true; }

    /// Recomputes the owners if the view or the configuration changed or a delay ended.
    /// @return true if an owner, a share or the configuration changed.
    bool update(TimePoint now, const HostIdentity &self, const Membership &membership,
                const Configuration &configuration);

    /// Owner of @p server; invalid if it has none.
    [[nodiscard]] HostId ownerOf(BackendServerId server) const;

    /// Slots of @p server that this host may grant if it is the owner, else 0. Fewer than declared
    /// after a takeover, until lease renewals have reported what runs, and while this host is
    /// isolated, since others may own the server too.
    [[nodiscard]] std::uint32_t grantableSlots(const BackendServer &server) const;

    /// Incremented whenever update() returns true.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    struct Assignment
    {
        HostId owner;
        TimePoint reducedUntil; ///< After a takeover by this host; else the origin.
    };
    using Domains = std::map<FailureDomainId, std::vector<HostId>>;

    [[nodiscard]] Domains domainsInService(const HostIdentity &self,
                                           const Membership &membership) const;
    void scheduleTakeovers(const Membership &membership, const Domains &domains,
                           const Configuration &configuration);
    [[nodiscard]] FailureDomainId servingDomain(FailureDomainId domain, const Domains &domains,
                                                bool isIsolated) const;
    void indexDomains(const Configuration &configuration);
    bool assign(const Configuration &configuration, const Domains &domains, bool isIsolated);
    bool endReducedGrants();

    HostIdentity m_self;
    TimePoint m_now;
    std::unordered_map<BackendServerId, Assignment> m_assignments;
    std::map<FailureDomainId, TimePoint> m_takeoverAt; ///< Of failure domains without a live host.
    std::map<std::string, FailureDomainId> m_domainsByName;
    std::uint64_t m_membershipRevision = 0;
    std::uint64_t m_version = 0;
    bool m_grantsLocally = false;
    bool m_isIsolated = false;
    std::uint32_t m_sharePermille = 1000;
    std::uint64_t m_revision = 0;
};

} // namespace currantreel

#endif
