#ifndef CURRANTREEL_WORLD_LEASETABLE_H
#define CURRANTREEL_WORLD_LEASETABLE_H

#include "../Admission/GrantMessages.h"
#include "../Admission/VictimRule.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace currantreel {

/// A granted slot as its owner keeps it.
struct Lease
{
    LeaseId id;
    GrantId grant;
    BackendServerId server;
    TargetId target;
    ClassId requestClass;
    Tier tier = 0;
    bool isPreemptible = false;
    std::uint64_t tokens = 0; ///< Engine memory set aside for it.
    Duration firstTokenTarget{};
    TimePoint grantedAt;
    TimePoint expires;
};

/// The leases that an owner has given out, by order of expiry and by order of preemption.
class LeaseTable
{
public:
    void add(const Lease &lease);

    /// Takes out the lease, if it is known and was given to @p grant.
    std::optional<Lease> remove(LeaseId lease, GrantId grant);

    /// Extends a lease. Returns whether it is known.
    bool renew(LeaseId lease, TimePoint expires);

    /// Takes out one lease that has expired, if there is any.
    std::optional<Lease> takeExpired(TimePoint now);

    /// The lease to preempt for work of tier @p newcomer on a server of @p target: of the lowest tier
    /// that runs there and may be preempted, if that tier is strictly below, the one granted last. It
    /// is named only once.
    std::optional<Lease> takeVictim(TargetId target, Tier newcomer);

    [[nodiscard]] std::size_t size() const { return m_leases.size(); }
    [[nodiscard]] auto begin() const { return m_leases.begin(); }
    [[nodiscard]] auto end() const { return m_leases.end(); }

private:
    using TierLeases = std::array<std::set<LeaseId>, tierCount>;

    Table<Lease> m_leases;
    /// Every lease lasts equally long from its grant or renewal, so the order of entry is that of
    /// expiry; an entry whose lease was renewed since is passed over.
    std::deque<std::pair<TimePoint, LeaseId>> m_expiries;
    std::map<TargetId, TierLeases> m_preemptible;
};

} // namespace currantreel

#endif
