#ifndef CURRANTREEL_OWNERSHIP_ROUTER_H
#define CURRANTREEL_OWNERSHIP_ROUTER_H

#include "../Configuration/Configuration.h"
#include "../Core/Time.h"
#include "Ownership.h"
#include "TargetLoad.h"
#include <cstdint>
#include <map>
#include <vector>

namespace currantreel {

/// Chooses, at the entry host, the owner that is asked to grant a request.
///
/// Owners in this host's failure domain are preferred. Of two drawn at random, the one with less
/// load per slot is chosen. Another failure domain is used if this one doesn't serve the target, or
/// if the requests queued here would fill all its slots once more and the other domain reports free
/// slots.
class Router
{
public:
    /// Rebuilds the table of owners of each target, and drops the loads of hosts that own none.
    void update(const HostIdentity &self, const Ownership &ownership,
                const Configuration &configuration);

    /// Records the load that @p owner reports for a target.
    void recordLoad(TimePoint now, HostId owner, const TargetLoad &load);
    /// Records the load of another failure domain.
    void recordLoad(TimePoint now, const DomainLoad &load);

    /// The owner to ask for @p target at @p tier. Invalid if no usable owner has such a server.
    /// @param avoid host that did not answer; chosen only if there is no other.
    [[nodiscard]] HostId choose(TimePoint now, TargetId target, Tier tier, HostId avoid);

    /// True if a host other than @p self owns a server of @p target and has not reported that it
    /// has no slots for it.
    [[nodiscard]] bool hasOtherOwner(TimePoint now, TargetId target, HostId self) const;

    /// Load of this failure domain, as the sum of what its owners reported, for other failure
    /// domains.
    [[nodiscard]] std::vector<DomainLoad> ownDomainLoads(TimePoint now) const;

private:
    struct Owner
    {
        HostId host;
        FailureDomainId failureDomain; ///< Of the servers.
        std::uint32_t slots = 0;
    };
    struct ReportedLoad
    {
        TargetLoad load;
        TimePoint reportedAt;
        std::uint32_t requestsSince = 0; ///< Requests that this host sent there since.
    };

    [[nodiscard]] double loadPerSlot(TimePoint now, const Owner &owner, TargetId target,
                                     Tier tier) const;
    [[nodiscard]] bool isOverloaded(TimePoint now, TargetId target, Tier tier) const;
    [[nodiscard]] FailureDomainId domainWithFreeSlots(TimePoint now, TargetId target) const;
    [[nodiscard]] std::vector<Owner> candidates(TimePoint now, TargetId target, Tier tier,
                                                HostId avoid) const;
    [[nodiscard]] bool isUsable(TimePoint now, HostId owner, TargetId target) const;
    std::size_t randomIndex(std::size_t bound);

    HostIdentity m_self;
    std::map<TargetId, std::vector<Owner>> m_owners;
    std::map<std::pair<HostId, TargetId>, ReportedLoad> m_loads;
    std::map<std::pair<FailureDomainId, TargetId>, ReportedLoad> m_domainLoads;
    std::uint64_t m_draws = 0;
};

} // namespace currantreel

#endif
