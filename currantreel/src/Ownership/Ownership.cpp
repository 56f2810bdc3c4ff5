#include "Ownership.h"

#include "OwnershipTiming.h"
#include "Targets.h"
#include <algorithm>
#include <array>
#include <xxhash.h>

namespace currantreel {

using namespace ownership;

namespace {

constexpr std::uint32_t wholePermille = 1000;

/// Backend servers of a failure domain that serve the same target. They have one owner, so that one
/// queue in the operators' order of importance stands before all slots that a request could take.
struct ServerPoolKey
{
    FailureDomainId failureDomain;
    TargetId target; ///< The lowest one, if the servers serve several.
};

std::uint64_t weightOf(HostId host, const ServerPoolKey &pool)
{
    const std::array<std::uint64_t, 3> parts{ host.value, pool.failureDomain.value,
                                              pool.target.value };
    return XXH3_64bits(parts.data(), sizeof(parts));
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
        return weightOf(left, pool) < weightOf(right, pool);
    });
}

std::uint32_t shareOf(const HostIdentity &self, const Membership &membership)
{
    if (!membership.isIsolated())
        return wholePermille;
    std::uint32_t known = 1;
    std::uint32_t inService = 1;
    for (const Member &member : membership.members()) {
        if (member.entry.failureDomain != self.failureDomain)
            continue;
        ++known;
        inService += member.isInService() ? 1 : 0;
    }
    return wholePermille * inService / known;
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
    // A host that stops goes on owning until there is another one.
    if (membership.isInService(self.id) || !domains.contains(self.failureDomain))
        domains[self.failureDomain].push_back(self.id);
    return domains;
}

void Ownership::noteNames(const Configuration &configuration)
{
    m_names.clear();
    for (const BackendServer &server : configuration.backendServers)
        m_names[server.failureDomainName] = server.failureDomain;
}

void Ownership::noteEmptyDomains(const Membership &membership, const Domains &domains,
                                 const Configuration &configuration)
{
    for (const auto &[domain, hosts] : domains)
        m_takeoverAt.erase(domain);
    for (const BackendServer &server : configuration.backendServers) {
        if (domains.contains(server.failureDomain))
            continue;
        const auto isDeadHere = [&](const Member &member) {
            return member.entry.failureDomain == server.failureDomain
                   && member.state == MemberState::Dead;
        };
        // Hosts that left by plan are not coming back in a moment.
        const bool mayReturn =
            std::any_of(membership.members().begin(), membership.members().end(), isDeadHere);
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
    const auto own = std::find_if(m_names.begin(), m_names.end(),
                                  [domain](const auto &entry) { return entry.second == domain; });
    for (auto next = own; next != m_names.end(); ++next) {
        if (domains.contains(next->second))
            return next->second;
    }
    for (auto next = m_names.begin(); next != own; ++next) {
        if (domains.contains(next->second))
            return next->second;
    }
    return domains.empty() ? FailureDomainId() : domains.begin()->first;
}

bool Ownership::assign(const Configuration &configuration, const Domains &domains, bool isIsolated)
{
    bool isChanged = false;
    std::map<FailureDomainId, FailureDomainId> serving;
    for (const auto &[name, domain] : m_names)
        serving[domain] = servingDomain(domain, domains, isIsolated);
    for (const BackendServer &server : configuration.backendServers) {
        const auto hosts = domains.find(serving[server.failureDomain]);
        HostId owner =
            hosts == domains.end() ? HostId() : ownerAmong(hosts->second, poolOf(server));
        if (m_isLocal && server.failureDomain == m_self.failureDomain)
            owner = m_self.id;
        Row &row = m_rows[server.id];
        if (row.owner == owner)
            continue;
        const bool isTakeover = row.owner.isValid() && owner == m_self.id;
        row.cautiousUntil = isTakeover ? m_now + cautionPeriod : TimePoint();
        row.owner = owner;
        isChanged = true;
    }
    std::erase_if(
        m_rows, [&](const auto &entry) { return !configuration.backendServers.find(entry.first); });
    return isChanged;
}

bool Ownership::endCaution()
{
    bool isEnded = false;
    for (auto &[server, row] : m_rows) {
        if (row.cautiousUntil == TimePoint() || m_now < row.cautiousUntil)
            continue;
        row.cautiousUntil = TimePoint();
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
    bool isChanged = endCaution();
    if (!isSame || isDue) {
        m_membershipRevision = membership.revision();
        m_isIsolated = isIsolated;
        if (m_version != configuration.version)
            noteNames(configuration);
        isChanged = isChanged || m_version != configuration.version;
        m_version = configuration.version;
        const Domains domains = domainsInService(self, membership);
        noteEmptyDomains(membership, domains, configuration);
        isChanged = assign(configuration, domains, isIsolated) || isChanged;
        const std::uint32_t share = shareOf(self, membership);
        isChanged = isChanged || share != m_sharePermille;
        m_sharePermille = share;
    }
    m_revision += isChanged ? 1 : 0;
    return isChanged;
}

HostId Ownership::ownerOf(BackendServerId server) const
{
    const auto row = m_rows.find(server);
    return row == m_rows.end() ? HostId() : row->second.owner;
}

std::uint32_t Ownership::grantableSlots(const BackendServer &server) const
{
    const auto found = m_rows.find(server.id);
    if (found == m_rows.end() || found->second.owner != m_self.id)
        return 0;
    const bool isCautious = m_now < found->second.cautiousUntil;
    const std::uint32_t permille =
        isCautious ? std::min(cautionPermille, m_sharePermille) : m_sharePermille;
    return std::max(1U, server.slots * permille / wholePermille);
}

} // namespace currantreel
