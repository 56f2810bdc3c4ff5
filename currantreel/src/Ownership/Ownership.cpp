#include "Ownership.h"

#include "OwnershipTiming.h"
#include "Targets.h"
#include <algorithm>
#include <array>
#include <xxhash.h>

namespace currantreel {

using namespace ownership;

namespace {

constexpr std::uint32_t fullPermille = 1000;

/// Backend servers of a failure domain that serve the same target. They have one owner, so that a
/// single queue, in the operators' order of importance, precedes all slots that a request could
/// take.
struct ServerPoolKey
{
    FailureDomainId failureDomain;
    TargetId target; ///< The lowest one, if the servers serve several.
};

std::uint64_t rendezvousWeight(HostId host, const ServerPoolKey &pool)
{
    const std::array<std::uint64_t, 3> keys{ host.value, pool.failureDomain.value,
                                             pool.target.value };
    return XXH3_64bits(keys.data(), sizeof(keys));
}

ServerPoolKey poolOf(const BackendServer &server)
{
    const std::vector<TargetId> targets = targetsOf(server);
    const auto lowest = std::min_element(targets.begin(), targets.end());
    return { server.failureDomain, lowest == targets.end() ? TargetId() : *lowest };
}

HostId ownerAmong(const std::vector<HostId> &hosts, const ServerPoolKey &pool)
{
    return *std::max_element(hosts.begin(), hosts.end(), [&pool](HostId left, HostId right) {
        return rendezvousWeight(left, pool) < rendezvousWeight(right, pool);
    });
}

std::uint32_t grantSharePermille(const HostIdentity &self, const Membership &membership)
{
    if (!membership.isIsolated())
        return fullPermille;
    std::uint32_t known = 1;
    std::uint32_t inService = 1;
    for (const Member &member : membership.members()) {
        if (member.entry.failureDomain != self.failureDomain)
            continue;
        ++known;
        inService += member.isInService() ? 1 : 0;
    }
    return fullPermille * inService / known;
}

} // namespace

Ownership::Domains Ownership::domainsInService(const HostIdentity &self,
                                               const Membership &membership) const
{
    Domains domains;
    for (const Member &member : membership.members()) {
        if (member.isInService())
            domains[member.entry.failureDomain].push_back(member.id);
    }
    // A stopping host remains owner while its failure domain has no other host in service.
    if (membership.isInService(self.id) || !domains.contains(self.failureDomain))
        domains[self.failureDomain].push_back(self.id);
    return domains;
}

void Ownership::indexDomains(const Configuration &configuration)
{
    m_domainsByName.clear();
    for (const BackendServer &server : configuration.backendServers)
        m_domainsByName[server.failureDomainName] = server.failureDomain;
}

void Ownership::scheduleTakeovers(const Membership &membership, const Domains &domains,
                                  const Configuration &configuration)
{
    for (const auto &[domain, hosts] : domains)
        m_takeoverAt.erase(domain);
    for (const BackendServer &server : configuration.backendServers) {
        if (domains.contains(server.failureDomain))
            continue;
        const auto isDeadInDomain = [&](const Member &member) {
            return member.entry.failureDomain == server.failureDomain
                   && member.state == MemberState::Dead;
        };
        // Only hosts that failed may return soon; hosts that left in a planned stop don't.
        const bool mayReturn =
            std::any_of(membership.members().begin(), membership.members().end(), isDeadInDomain);
        m_takeoverAt.try_emplace(server.failureDomain,
                                 m_now + (mayReturn ? domainTakeoverDelay : Duration()));
    }
}

FailureDomainId Ownership::servingDomain(FailureDomainId domain, const Domains &domains,
                                         bool isIsolated) const
{
    if (domains.contains(domain))
        return domain;
    const auto due = m_takeoverAt.find(domain);
    if (isIsolated || due == m_takeoverAt.end() || m_now < due->second)
        return {};
    const auto home = std::find_if(m_domainsByName.begin(), m_domainsByName.end(),
                                   [domain](const auto &entry) { return entry.second == domain; });
    for (auto next = home; next != m_domainsByName.end(); ++next) {
        if (domains.contains(next->second))
            return next->second;
    }
    for (auto next = m_domainsByName.begin(); next != home; ++next) {
        if (domains.contains(next->second))
            return next->second;
    }
    return domains.empty() ? FailureDomainId() : domains.begin()->first;
}

bool Ownership::assign(const Configuration &configuration, const Domains &domains, bool isIsolated)
{
    bool isChanged = false;
    std::map<FailureDomainId, FailureDomainId> serving;
    for (const auto &[name, domain] : m_domainsByName)
        serving[domain] = servingDomain(domain, domains, isIsolated);
    for (const BackendServer &server : configuration.backendServers) {
        const auto hosts = domains.find(serving[server.failureDomain]);
        HostId owner =
            hosts == domains.end() ? HostId() : ownerAmong(hosts->second, poolOf(server));
        if (m_grantsLocally && server.failureDomain == m_self.failureDomain)
            owner = m_self.id;
        Assignment &assignment = m_assignments[server.id];
        if (assignment.owner == owner)
            continue;
        const bool isTakeover = assignment.owner.isValid() && owner == m_self.id;
        assignment.reducedUntil = isTakeover ? m_now + reducedGrantPeriod : TimePoint();
        assignment.owner = owner;
        isChanged = true;
    }
    std::erase_if(m_assignments, [&](const auto &entry) {
        return !configuration.backendServers.find(entry.first);
    });
    return isChanged;
}

bool Ownership::endReducedGrants()
{
    bool isEnded = false;
    for (auto &[server, assignment] : m_assignments) {
        if (assignment.reducedUntil == TimePoint() || m_now < assignment.reducedUntil)
            continue;
        assignment.reducedUntil = TimePoint();
        isEnded = true;
    }
    return isEnded;
}

bool Ownership::update(TimePoint now, const HostIdentity &self, const Membership &membership,
                       const Configuration &configuration)
{
    m_self = self;
    m_now = now;
    const bool isIsolated = membership.isIsolated();
    const bool isDue = std::any_of(m_takeoverAt.begin(), m_takeoverAt.end(),
                                   [now](const auto &entry) { return now >= entry.second; });
    const bool isSame = m_membershipRevision == membership.revision()
                        && m_version == configuration.version && m_isIsolated == isIsolated;
    bool isChanged = endReducedGrants();
    if (!isSame || isDue) {
        m_membershipRevision = membership.revision();
        m_isIsolated = isIsolated;
        if (m_version != configuration.version)
            indexDomains(configuration);
        isChanged = isChanged || m_version != configuration.version;
        m_version = configuration.version;
        const Domains domains = domainsInService(self, membership);
        scheduleTakeovers(membership, domains, configuration);
        isChanged = assign(configuration, domains, isIsolated) || isChanged;
        const std::uint32_t share = grantSharePermille(self, membership);
        isChanged = isChanged || share != m_sharePermille;
        m_sharePermille = share;
    }
    m_revision += isChanged ? 1 : 0;
    return isChanged;
}

HostId Ownership::ownerOf(BackendServerId server) const
{
    const auto assignment = m_assignments.find(server);
    return assignment == m_assignments.end() ? HostId() : assignment->second.owner;
}

std::uint32_t Ownership::grantableSlots(const BackendServer &server) const
{
    const auto found = m_assignments.find(server.id);
    if (found == m_assignments.end() || found->second.owner != m_self.id)
        return 0;
    const bool isReduced = m_now < found->second.reducedUntil;
    const std::uint32_t permille =
        isReduced ? std::min(reducedGrantPermille, m_sharePermille) : m_sharePermille;
    return std::max(1U, server.slots * permille / fullPermille);
}

} // namespace currantreel
