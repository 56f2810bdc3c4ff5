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

/// Entry role: chooses the owner that a request asks for a grant.
///
/// Owners of the own failure domain go first. Of two drawn at random the one with less waiting work a
/// slot is asked. Another failure domain is asked when the own one serves no such target, or when a
/// whole round of work waits there and the other one says that it has free slots.
class Router
{
public:
    /// Takes over who owns the servers of each target.
    void update(const HostIdentity &self, const Ownership &ownership,
                const Configuration &configuration);

    /// Learns the load of @p owner.
    void recordLoad(TimePoint now, HostId owner, const TargetLoad &load);
    /// Learns the load of a failure domain.
    void recordLoad(TimePoint now, const DomainLoad &load);

    /// The owner to ask for @p target at @p tier. Not valid if nobody owns such a server.
    /// @param avoid host that did not answer; chosen only if there is no other.
    [[nodiscard]] HostId choose(TimePoint now, TargetId target, Tier tier, HostId avoid);

    /// True if another host than @p self owns a server of @p target and has not said that it has no
    /// slot for it.
    [[nodiscard]] bool hasOtherOwner(TimePoint now, TargetId target, HostId self) const;

    /// Load of the own failure domain, from what its owners told, for other failure domains.
    [[nodiscard]] std::vector<DomainLoad> ownDomainLoads(TimePoint now) const;

private:
    struct Owner
    {
        HostId host;
        FailureDomainId failureDomain; ///< Of the servers.
        std::uint32_t slots = 0;
    };
    struct Known
    {
        TargetLoad load;
        TimePoint heardAt;
        std::uint32_t asked = 0; ///< By this host since.
    };

    [[nodiscard]] double pressure(TimePoint now, const Owner &owner, TargetId target,
                                  Tier tier) const;
    [[nodiscard]] bool isOverfull(TimePoint now, TargetId target, Tier tier) const;
    [[nodiscard]] FailureDomainId freeDomain(TimePoint now, TargetId target) const;
    [[nodiscard]] std::vector<Owner> candidates(TimePoint now, TargetId target, Tier tier,
                                                HostId avoid) const;
    [[nodiscard]] bool isUsable(TimePoint now, HostId owner, TargetId target) const;
    std::size_t draw(std::size_t bound);

    HostIdentity m_self;
    std::map<TargetId, std::vector<Owner>> m_owners;
    std::map<std::pair<HostId, TargetId>, Known> m_loads;
    std::map<std::pair<FailureDomainId, TargetId>, Known> m_domains;
    std::uint64_t m_draws = 0;
};

} // namespace currantreel

#endif
