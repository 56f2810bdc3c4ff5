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

/// A granted slot, as recorded by its owner.
struct Lease
{
    LeaseId id;
    GrantId grant;
    BackendServerId server;
    TargetId target;
    ClassId requestClass;
    Tier tier = 0;
    bool isPreemptible = false;
    std::uint64_t tokens = 0; ///< Engine memory reserved for it, in tokens.
    Duration firstTokenTarget{};
    TimePoint grantedAt;
    TimePoint expires;
};

/// The leases granted by an owner, in order of expiry and in order of preemption.
class LeaseTable
{
public:
    void add(const Lease &lease);

    /// Removes and returns the lease, if it is known and was granted to @p grant.
    std::optional<Lease> remove(LeaseId lease, GrantId grant);

    /// Extends a lease.
    /// @return whether it is known.
    bool renew(LeaseId lease, TimePoint expires);

    /// Removes and returns one expired lease, if there is any.
    std::optional<Lease> takeExpired(TimePoint now);

    /// Selects the lease to preempt for a request of tier @p requestTier for @p target: the last
    /// one granted of the lowest tier with preemptible leases, if that tier is strictly below
    /// @p requestTier. Each lease is selected at most once.
    std::optional<Lease> takeVictim(TargetId target, Tier requestTier);

    [[nodiscard]] std::size_t size() const { return m_leases.size(); }
    [[nodiscard]] auto begin() const { return m_leases.begin(); }
    [[nodiscard]] auto end() const { return m_leases.end(); }

private:
    using TierLeases = std::array<std::set<LeaseId>, tierCount>;

    Table<Lease> m_leases;
    /// All leases last equally long from their grant or renewal, so insertion order is the order of
    /// expiry; entries of leases that were renewed since are skipped.
    std::deque<std::pair<TimePoint, LeaseId>> m_expiries;
    std::map<TargetId, TierLeases> m_preemptible;
};

} // namespace currantreel

#endif
