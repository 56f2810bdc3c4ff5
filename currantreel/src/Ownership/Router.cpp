#include "Router.h"

#include "OwnershipTiming.h"
#include "Targets.h"
#include <algorithm>
#include <xxhash.h>

namespace currantreel {

using namespace ownership;

namespace {

/// Waiting requests which go before one of @p tier.
std::uint32_t ahead(const TargetLoad &load, Tier tier)
{
    std::uint32_t count = 0;
    for (Tier other = 0; other <= tier; ++other)
        count += load.queued[other];
    return count;
}

} // namespace

void Router::update(const HostIdentity &self, const Ownership &ownership,
                    const Configuration &configuration)
{
    m_self = self;
    m_owners.clear();
    for (const BackendServer &server : configuration.backendServers) {
        const HostId host = ownership.ownerOf(server.id);
        if (!host.isValid())
            continue;
        for (const TargetId target : targetsOf(server)) {
            std::vector<Owner> &owners = m_owners[target];
            const auto same = std::find_if(owners.begin(), owners.end(), [&](const Owner &owner) {
                return owner.host == host && owner.failureDomain == server.failureDomain;
            });
            if (same == owners.end())
                owners.push_back(Owner{ host, server.failureDomain, server.slots });
            else
                same->slots += server.slots;
        }
    }
    std::erase_if(m_loads, [this](const auto &entry) {
        const auto owners = m_owners.find(entry.first.second);
        if (owners == m_owners.end())
            return true;
        return std::none_of(owners->second.begin(), owners->second.end(),
                            [&](const Owner &owner) { return owner.host == entry.first.first; });
    });
}

void Router::recordLoad(TimePoint now, HostId owner, const TargetLoad &load)
{
    if (m_owners.contains(load.target))
        m_loads[{ owner, load.target }] = Known{ load, now, 0 };
}

void Router::recordLoad(TimePoint now, const DomainLoad &load)
{
    if (load.failureDomain != m_self.failureDomain && m_owners.contains(load.load.target))
        m_domains[{ load.failureDomain, load.load.target }] = Known{ load.load, now - load.age, 0 };
}

std::size_t Router::draw(std::size_t bound)
{
    const std::uint64_t number = m_self.id.value + m_draws++;
    return static_cast<std::size_t>(XXH3_64bits(&number, sizeof(number)) % bound);
}

bool Router::isUsable(TimePoint now, HostId owner, TargetId target) const
{
    // An owner of leaving servers alone says that it has no slots.
    const auto found = m_loads.find({ owner, target });
    return found == m_loads.end() || found->second.load.slots > 0
           || now - found->second.heardAt > loadValidity;
}

bool Router::hasOtherOwner(TimePoint now, TargetId target, HostId self) const
{
    const auto owners = m_owners.find(target);
    if (owners == m_owners.end())
        return false;
    return std::any_of(owners->second.begin(), owners->second.end(), [&](const Owner &owner) {
        return owner.host != self && isUsable(now, owner.host, target);
    });
}

double Router::pressure(TimePoint now, const Owner &owner, TargetId target, Tier tier) const
{
    const auto found = m_loads.find({ owner.host, target });
    const double slots = std::max(1U, owner.slots);
    if (found == m_loads.end() || now - found->second.heardAt > loadValidity)
        return 1.0;
    const Known &known = found->second;
    const double used = known.load.slots - std::min(known.load.freeSlots, known.load.slots);
    return (used + ahead(known.load, tier) + known.asked) / slots;
}

bool Router::isOverfull(TimePoint now, TargetId target, Tier tier) const
{
    std::uint32_t slots = 0;
    std::uint32_t waiting = 0;
    for (const Owner &owner : m_owners.at(target)) {
        if (owner.failureDomain != m_self.failureDomain)
            continue;
        const auto found = m_loads.find({ owner.host, target });
        if (found == m_loads.end() || now - found->second.heardAt > loadValidity)
            return false;
        const Known &known = found->second;
        slots += owner.slots;
        const std::uint32_t unfilled = known.load.freeSlots;
        const std::uint32_t wanted = ahead(known.load, tier) + known.asked;
        waiting += wanted > unfilled ? wanted - unfilled : 0;
    }
    return waiting >= slots;
}

FailureDomainId Router::freeDomain(TimePoint now, TargetId target) const
{
    FailureDomainId best;
    std::uint32_t most = 0;
    for (const auto &[key, known] : m_domains) {
        const bool isFresh = key.second == target && now - known.heardAt <= loadValidity;
        if (!isFresh || known.load.freeSlots <= known.asked)
            continue;
        const std::uint32_t left = known.load.freeSlots - known.asked;
        if (left > most) {
            most = left;
            best = key.first;
        }
    }
    return best;
}

std::vector<Router::Owner> Router::candidates(TimePoint now, TargetId target, Tier tier,
                                              HostId avoid) const
{
    FailureDomainId domain = m_self.failureDomain;
    if (isOverfull(now, target, tier)) {
        const FailureDomainId other = freeDomain(now, target);
        domain = other.isValid() ? other : domain;
    }
    std::vector<Owner> owners = m_owners.at(target);
    std::erase_if(owners, [&](const Owner &owner) { return !isUsable(now, owner.host, target); });
    const auto keep = [&owners](auto predicate) {
        if (std::any_of(owners.begin(), owners.end(), predicate))
            std::erase_if(owners, [&](const Owner &owner) { return !predicate(owner); });
    };
    keep([avoid](const Owner &owner) { return owner.host != avoid; });
    keep([domain](const Owner &owner) { return owner.failureDomain == domain; });
    return owners;
}

HostId Router::choose(TimePoint now, TargetId target, Tier tier, HostId avoid)
{
    if (!m_owners.contains(target))
        return {};
    const std::vector<Owner> owners = candidates(now, target, tier, avoid);
    if (owners.empty())
        return {};
    Owner chosen = owners[draw(owners.size())];
    const Owner other = owners[draw(owners.size())];
    if (pressure(now, other, target, tier) < pressure(now, chosen, target, tier))
        chosen = other;
    if (const auto known = m_loads.find({ chosen.host, target }); known != m_loads.end())
        ++known->second.asked;
    if (const auto known = m_domains.find({ chosen.failureDomain, target });
        known != m_domains.end())
        ++known->second.asked;
    return chosen.host;
}

std::vector<DomainLoad> Router::ownDomainLoads(TimePoint now) const
{
    std::map<TargetId, DomainLoad> sums;
    for (const auto &[key, known] : m_loads) {
        const Duration age = now - known.heardAt;
        if (age > loadValidity)
            continue;
        DomainLoad &sum = sums[key.second];
        sum.failureDomain = m_self.failureDomain;
        sum.age = std::max(sum.age, age);
        sum.load.target = key.second;
        sum.load.slots += known.load.slots;
        sum.load.freeSlots += known.load.freeSlots;
        for (Tier tier = 0; tier < tierCount; ++tier)
            sum.load.queued[tier] += known.load.queued[tier];
    }
    std::vector<DomainLoad> loads;
    loads.reserve(sums.size());
    for (const auto &[target, load] : sums)
        loads.push_back(load);
    return loads;
}

} // namespace currantreel
