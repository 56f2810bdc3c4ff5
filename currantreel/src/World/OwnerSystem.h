#ifndef CURRANTREEL_WORLD_OWNERSYSTEM_H
#define CURRANTREEL_WORLD_OWNERSYSTEM_H

#include "Counters.h"
#include "Event.h"
#include "RoutingPolicy.h"
#include "StepContext.h"
#include <map>
#include <set>

namespace currantreel {

/// Owner role: queues the requests for the backend servers this host owns and grants their slots.
/// @tparam Policy decides who is granted next and on which server.
template <RoutingPolicy Policy>
class OwnerSystem
{
public:
    /// Takes over a configuration: new servers get their slots, vanished ones no further grants.
    void configure(const StepContext &context);

    /// Marks servers as leaving; they get no further grants.
    void updateLiveness(const std::vector<BackendServerEntry> &entries);

    void onRequest(StepContext &context, Counters &counters, const GrantRequest &request);
    void onWithdrawn(const GrantWithdrawn &message);
    void onReleased(const LeaseReleased &message);
    void onRenewal(const StepContext &context, const LeaseRenewal &message);

    /// Grants free slots, sheds what waited too long, ends leases that were not renewed.
    void run(StepContext &context, Counters &counters);

    /// Tells entries whose requests wait for servers that this host no longer owns to ask again.
    void moveUnowned(StepContext &context);

    /// Load of the owned servers, by target.
    [[nodiscard]] std::vector<TargetLoad> loads() const;

    /// Requests that wait for a grant.
    [[nodiscard]] std::size_t queued() const;
    /// Leases in use on @p server.
    [[nodiscard]] std::uint32_t inFlight(BackendServerId server) const;

private:
    using Queue = typename Policy::Queue;

    struct ServerRow
    {
        BackendServerId id;
        std::vector<TargetId> targets;
        std::uint32_t slots = 0;
        std::uint32_t inFlight = 0;
        bool isLeaving = false;
        TimePoint refusedUntil; ///< No grants before, after the server refused or failed.
    };

    struct LeaseRow
    {
        LeaseId id;
        GrantId grant;
        BackendServerId server;
        TimePoint expires;
    };

    void grant(StepContext &context, Counters &counters, const QueuedGrant &grant,
               ServerRow &server);
    void shed(StepContext &context, Counters &counters, const QueuedGrant &grant, ResultCode code);
    [[nodiscard]] std::vector<ServerCandidate> freeServers(const StepContext &context,
                                                           TargetId target) const;
    [[nodiscard]] bool hasServer(TargetId target) const;
    Queue &queueOf(const StepContext &context, TargetId target);
    /// Counts a lease that an earlier owner gave.
    void adopt(const LeaseRenewal::Item &item);
    void endLease(LeaseId lease);
    void expireLeases(TimePoint now);

    std::map<TargetId, Queue> m_queues;
    typename Policy::Choice m_choice;
    Table<ServerRow> m_servers;
    Table<LeaseRow> m_leases;
    std::set<BackendServerId> m_leaving;
    std::uint64_t m_nextLease = 0;
};

extern template class OwnerSystem<TieredPolicy>;
extern template class OwnerSystem<FifoPolicy>;
extern template class OwnerSystem<RoundRobinPolicy>;
extern template class OwnerSystem<ReportedLoadPolicy>;
extern template class OwnerSystem<NoOwnerPolicy>;

} // namespace currantreel

#endif
