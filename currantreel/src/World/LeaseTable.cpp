#include "LeaseTable.h"

namespace currantreel {

void LeaseTable::add(const Lease &lease)
{
    m_leases.insert(lease);
    m_expiries.emplace_back(lease.expires, lease.id);
    if (lease.isPreemptible)
        m_preemptible[lease.target].at(lease.tier).insert(lease.id);
}

std::optional<Lease> LeaseTable::remove(LeaseId lease, GrantId grant)
{
    const Lease *found = m_leases.find(lease);
    if (!found || found->grant != grant)
        return std::nullopt;
    const Lease removed = *found;
    if (removed.isPreemptible)
        m_preemptible[removed.target].at(removed.tier).erase(lease);
    m_leases.remove(lease);
    return removed;
}

bool LeaseTable::renew(LeaseId lease, TimePoint expires)
{
    Lease *found = m_leases.find(lease);
    if (!found)
        return false;
    found->expires = expires;
    m_expiries.emplace_back(expires, lease);
    return true;
}

std::optional<Lease> LeaseTable::takeExpired(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.front().first <= now) {
        const auto [expires, id] = m_expiries.front();
        m_expiries.pop_front();
        const Lease *lease = m_leases.find(id);
        if (lease && lease->expires == expires)
            return remove(id, lease->grant);
    }
    return std::nullopt;
}

std::optional<Lease> LeaseTable::takeVictim(TargetId target, Tier newcomer)
{
    const auto found = m_preemptible.find(target);
    if (found == m_preemptible.end())
        return std::nullopt;
    TierCounts counts{};
    for (Tier tier = 0; tier < tierCount; ++tier)
        counts.at(tier) = found->second.at(tier).size();
    const std::optional<Tier> tier = victimTier(counts, newcomer);
    if (!tier)
        return std::nullopt;
    std::set<LeaseId> &leases = found->second.at(*tier);
    const LeaseId victim = *leases.rbegin();
    leases.erase(victim);
    return *m_leases.find(victim);
}

} // namespace currantreel
