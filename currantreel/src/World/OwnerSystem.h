#ifndef CURRANTREEL_WORLD_OWNERSYSTEM_H
#define CURRANTREEL_WORLD_OWNERSYSTEM_H

#include "../Limits/AnswerLengths.h"
#include "../Limits/DemandReserve.h"
#include "../Limits/MovingAverage.h"
#include "../Limits/WaitEstimate.h"
#include "Counters.h"
#include "Event.h"
#include "LeaseTable.h"
#include "RoutingPolicy.h"
#include "ServerPool.h"
#include "StepContext.h"
#include <map>
#include <set>
#include <unordered_map>

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
    void onReleased(const StepContext &context, const LeaseReleased &message);
    void onRenewal(const StepContext &context, const LeaseRenewal &message);

    /// Grants free slots, sheds what waited too long, ends leases that were not renewed.
    void run(StepContext &context, Counters &counters);

    /// Tells entries whose requests wait for servers that this host no longer owns to ask again.
    void redirectUnowned(StepContext &context);

    /// Load of the owned servers, by target.
    [[nodiscard]] std::vector<TargetLoad> loads() const;

    /// Requests that wait for a grant.
    [[nodiscard]] std::size_t queued() const { return m_targetOf.size(); }
    /// Leases in use on @p server.
    [[nodiscard]] std::uint32_t inFlight(BackendServerId server) const
    {
        return m_pool.inFlight(server);
    }
    /// Learned limit of @p server; 0 while it gets no grants.
    [[nodiscard]] std::uint32_t limit(BackendServerId server) const { return m_pool.limit(server); }

private:
    using Queue = typename Policy::Queue;

    struct TargetState
    {
        explicit TargetState(const std::vector<std::uint32_t> &floors) : queue(floors) { }

        Queue queue;
        WaitEstimate estimate;
        MovingAverage interToken;
        DemandReserve reserve;
        LeaseId preempted; ///< Told to end and not yet released.
        TimePoint preemptedAt;
    };

    TargetState &stateOf(const StepContext &context, TargetId target);
    [[nodiscard]] QueuedGrantRequest queuedGrantOf(const StepContext &context,
                                                   const GrantRequest &request) const;
    [[nodiscard]] Duration waitOf(const TargetState &state, const QueuedGrantRequest &grant) const;
    [[nodiscard]] bool isUnreachable(const TargetState &state, const QueuedGrantRequest &grant,
                                     Duration wait) const;
    [[nodiscard]] bool isOverShare(const Queue &queue, const QueuedGrantRequest &grant) const;
    bool makeRoom(StepContext &context, Counters &counters, TargetState &state,
                  const QueuedGrantRequest &grant);
    void enqueue(TargetState &state, QueuedGrantRequest grant);
    void shed(StepContext &context, Counters &counters, const TargetState &state,
              const QueuedGrantRequest &grant, ResultCode code);
    void sendShed(StepContext &context, Counters &counters, const GrantRequest &request,
                  ResultCode code, Duration retryAfter);
    /// True if so few slots are free that they are kept for higher tiers than that of @p request.
    [[nodiscard]] bool isReserved(TimePoint now, const TargetState &state,
                                  const GrantRequest &request) const;
    bool grantNext(StepContext &context, Counters &counters, TargetState &state, TargetId target);
    [[nodiscard]] std::vector<ServerCandidate> candidatesFor(TargetId target,
                                                             const GrantRequest &request) const;
    void grant(StepContext &context, Counters &counters, const QueuedGrantRequest &grant,
               BackendServerId server);
    void preempt(StepContext &context, TargetState &state, TargetId target);
    void endLease(const Lease &lease, Duration held);
    void runTarget(StepContext &context, Counters &counters, TargetId target);
    /// Counts a lease that an earlier owner gave.
    void adopt(const StepContext &context, const LeaseRenewal::Item &item);

    std::map<TargetId, TargetState> m_states;
    std::unordered_map<GrantId, TargetId> m_targetOf; ///< Of every request that waits.
    std::set<TargetId> m_waiting; ///< Targets for which requests wait.
    typename Policy::Choice m_choice;
    ServerPool m_pool;
    LeaseTable m_leases;
    AnswerLengths m_lengths;
    std::unordered_map<ClassId, MovingAverage> m_firstToken; ///< From grant to first token.
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
