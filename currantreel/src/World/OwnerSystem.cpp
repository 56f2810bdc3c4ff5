#include "OwnerSystem.h"

#include "../Ownership/Targets.h"
#include "Timing.h"
#include <algorithm>

namespace currantreel {

namespace {

/// Bounds of the advice to a caller who was shed.
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration longestRetryAfter = std::chrono::minutes(1);

/// Time after which a preempted lease that was not released is no longer waited for.
constexpr Duration preemptionTimeout = std::chrono::milliseconds(200);

/// Waiting requests by tier; a queue that knows no tiers counts as one of the highest.
template <typename Queue>
std::array<std::uint32_t, tierCount> waitingByTier(const Queue &queue)
{
    std::array<std::uint32_t, tierCount> waiting{};
    if constexpr (requires { queue.sizeAtOrAbove(Tier()); }) {
        std::size_t before = 0;
        for (Tier tier = 0; tier < tierCount; ++tier) {
            const std::size_t upTo = queue.sizeAtOrAbove(tier);
            waiting.at(tier) = static_cast<std::uint32_t>(upTo - before);
            before = upTo;
        }
    } else {
        waiting.front() = static_cast<std::uint32_t>(queue.size());
    }
    return waiting;
}

std::uint64_t memoryOf(const GrantRequest &request)
{
    return std::uint64_t{ request.promptTokens } + request.predictedTokens;
}

} // namespace

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::configure(const StepContext &context)
{
    // Leases of different owners must not be taken for each other after a takeover.
    if (m_nextLease == 0)
        m_nextLease = context.self.id.value ^ context.self.incarnation.value;
    for (const BackendServer &server : context.configuration->backendServers) {
        BackendServer owned = server;
        owned.slots = context.ownership.grantableSlots(server);
        if (owned.slots > 0)
            m_pool.declare(owned, targetsOf(server));
    }
    m_pool.removeUndeclared();
    m_pool.setLeaving(m_leaving);
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::updateLiveness(const std::vector<BackendServerEntry> &entries)
{
    m_leaving.clear();
    for (const BackendServerEntry &entry : entries) {
        if (entry.liveness == Liveness::Leaving)
            m_leaving.insert(entry.id);
    }
    m_pool.setLeaving(m_leaving);
}

template <RoutingPolicy Policy>
typename OwnerSystem<Policy>::TargetState &OwnerSystem<Policy>::stateOf(const StepContext &context,
                                                                        TargetId target)
{
    return m_states.try_emplace(target, context.configuration->floorPermille).first->second;
}

template <RoutingPolicy Policy>
QueuedGrantRequest OwnerSystem<Policy>::queuedGrantOf(const StepContext &context,
                                                      const GrantRequest &request) const
{
    const TimePoint now = context.now;
    QueuedGrantRequest grant{ request, now, now + request.firstTokenTimeLeft,
                              now + request.answerTimeLeft, now + request.queueBound };
    if (grant.request.predictedTokens == 0)
        grant.request.predictedTokens = m_lengths.upper(request.requestClass);
    const auto learned = m_firstToken.find(request.requestClass);
    // At most half of the target: else a spell of slow engines would forbid every later try.
    if (learned != m_firstToken.end())
        grant.expectedTimeToFirstToken =
            std::clamp(learned->second.mean(), Duration::zero(),
                       std::max(request.firstTokenTimeLeft / 2, Duration::zero()));
    return grant;
}

template <RoutingPolicy Policy>
Duration OwnerSystem<Policy>::waitOf(const TargetState &state,
                                     const QueuedGrantRequest &grant) const
{
    if constexpr (InspectableGrantQueue<Queue>) {
        if (state.queue.size() == 0 && m_pool.hasFreeSlot(grant.request.target))
            return Duration::zero();
        return state.estimate.wait(state.queue.grantsAhead(grant),
                                   m_pool.slots(grant.request.target));
    }
    return Duration::zero();
}

template <RoutingPolicy Policy>
bool OwnerSystem<Policy>::isUnreachable(const TargetState &state, const QueuedGrantRequest &grant,
                                        Duration wait) const
{
    const bool mayRefuse = grant.request.isWorthlessWhenLate && grant.request.tier != topTier;
    if (!mayRefuse || wait == Duration::zero())
        return false;
    const TimePoint firstToken = grant.queuedAt + wait + grant.expectedTimeToFirstToken;
    const Duration shortestAnswer =
        state.interToken.mean() * m_lengths.lower(grant.request.requestClass);
    return firstToken > grant.firstTokenDeadline
           || firstToken + shortestAnswer > grant.answerDeadline;
}

template <RoutingPolicy Policy>
bool OwnerSystem<Policy>::isOverShare(const Queue &queue, const QueuedGrantRequest &grant) const
{
    if constexpr (InspectableGrantQueue<Queue>) {
        // A workspace may fill as much of the queue as it leaves free, so that others find room.
        const Tier tier = grant.request.tier;
        const std::size_t used = queue.sizeAtOrAbove(tier);
        const std::size_t own = queue.sizeOf(tier, grant.request.workspace);
        return own + used >= timing::queueCapacity;
    }
    return false;
}

template <RoutingPolicy Policy>
bool OwnerSystem<Policy>::makeRoom(StepContext &context, Counters &counters, TargetState &state,
                                   const QueuedGrantRequest &grant)
{
    if (isOverShare(state.queue, grant))
        return false;
    if (state.queue.size() < timing::queueCapacity)
        return true;
    const auto victim = state.queue.popVictim(grant.request.tier);
    if (!victim)
        return false;
    m_targetOf.erase(victim->request.id);
    shed(context, counters, state, *victim, ResultCode::QueueFull);
    return true;
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onRequest(StepContext &context, Counters &counters,
                                    const GrantRequest &request)
{
    GrantRequest checked = request;
    checked.tier = std::min<Tier>(request.tier, tierCount - 1);
    if (!m_pool.hasServer(checked.target)) {
        // The entry's view of who can serve it may lag; its own grants are asked by its own view.
        const bool isRemote = checked.id.entry != context.self.id;
        if (isRemote && context.router.hasOtherOwner(context.now, checked.target, context.self.id))
            context.send(checked.id.entry, GrantMoved{ checked.id });
        else
            sendShed(context, counters, checked, ResultCode::NoBackendServer,
                     timing::shedRetryAfter);
        return;
    }
    TargetState &state = stateOf(context, checked.target);
    QueuedGrantRequest grant = queuedGrantOf(context, checked);
    state.reserve.onRequest(context.now, checked.tier);
    if (isUnreachable(state, grant, waitOf(state, grant))) {
        shed(context, counters, state, grant, ResultCode::TargetUnreachable);
        return;
    }
    if (!makeRoom(context, counters, state, grant)) {
        shed(context, counters, state, grant, ResultCode::QueueFull);
        return;
    }
    enqueue(state, std::move(grant));
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::enqueue(TargetState &state, QueuedGrantRequest grant)
{
    const TargetId target = grant.request.target;
    m_targetOf.insert_or_assign(grant.request.id, target);
    m_waiting.insert(target);
    state.queue.push(std::move(grant));
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onWithdrawn(const GrantWithdrawn &message)
{
    const auto found = m_targetOf.find(message.id);
    if (found == m_targetOf.end())
        return;
    m_states.at(found->second).queue.remove(message.id);
    m_targetOf.erase(found);
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::endLease(const Lease &lease, Duration held)
{
    m_pool.release(lease.server, lease.tokens);
    const auto state = m_states.find(lease.target);
    if (state == m_states.end())
        return;
    state->second.reserve.onReleased(lease.tier, held);
    if (state->second.preempted == lease.id)
        state->second.preempted = LeaseId();
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onReleased(const StepContext &context, const LeaseReleased &message)
{
    const std::optional<Lease> lease = m_leases.remove(message.lease, message.id);
    if (!lease)
        return;
    const bool isWhole = message.end == LeaseEnd::Completed;
    endLease(*lease, isWhole ? context.now - lease->grantedAt : Duration::zero());
    // What an earlier owner granted is known too little to learn from.
    if (!lease->target.isValid())
        return;
    if constexpr (InspectableGrantQueue<Queue>) {
        m_pool.learn(context.now, { lease->server, message.end, message.firstToken,
                                    message.interToken, lease->firstTokenTarget });
        if (message.end != LeaseEnd::Completed)
            return;
        TargetState &state = stateOf(context, lease->target);
        state.estimate.onReleased(context.now - lease->grantedAt);
        if (message.firstToken > Duration::zero())
            m_firstToken[lease->requestClass].add(message.firstToken);
        if (message.interToken > Duration::zero())
            state.interToken.add(message.interToken);
        if (message.tokens > 0)
            m_lengths.add(lease->requestClass, message.tokens);
    }
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onRenewal(const StepContext &context, const LeaseRenewal &message)
{
    for (const LeaseRenewal::Item &item : message.items) {
        if (!m_leases.renew(item.lease, context.now + timing::leasePeriod))
            adopt(context, item);
    }
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::adopt(const StepContext &context, const LeaseRenewal::Item &item)
{
    if (!m_pool.contains(item.server))
        return;
    Lease lease;
    lease.id = item.lease;
    lease.grant = item.id;
    lease.server = item.server;
    lease.tier = item.tier;
    lease.grantedAt = context.now;
    lease.expires = context.now + timing::leasePeriod;
    m_leases.add(lease);
    m_pool.acquire(item.server, lease.tokens);
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::redirectUnowned(StepContext &context)
{
    for (auto target = m_waiting.begin(); target != m_waiting.end();) {
        if (m_pool.hasServer(*target)
            || !context.router.hasOtherOwner(context.now, *target, context.self.id)) {
            ++target;
            continue;
        }
        Queue &queue = m_states.at(*target).queue;
        while (const auto moved = queue.pop(context.now)) {
            m_targetOf.erase(moved->request.id);
            context.send(moved->request.id.entry, GrantMoved{ moved->request.id });
        }
        target = m_waiting.erase(target);
    }
}

template <RoutingPolicy Policy>
std::vector<TargetLoad> OwnerSystem<Policy>::loads() const
{
    std::vector<TargetLoad> list = m_pool.loads();
    for (TargetLoad &load : list) {
        if (const auto state = m_states.find(load.target); state != m_states.end())
            load.queued = waitingByTier(state->second.queue);
    }
    return list;
}

template <RoutingPolicy Policy>
std::vector<ServerCandidate> OwnerSystem<Policy>::candidatesFor(TargetId target,
                                                                const GrantRequest &request) const
{
    BackendServerId preferred;
    if constexpr (PrefixAwareServerChoice<typename Policy::Choice>)
        preferred = m_choice.preferred(request);
    const std::uint64_t memory = PeekableGrantQueue<Queue> ? memoryOf(request) : 0;
    return m_pool.candidates(target, memory, preferred);
}

template <RoutingPolicy Policy>
bool OwnerSystem<Policy>::isReserved(TimePoint now, const TargetState &state,
                                     const GrantRequest &request) const
{
    const std::uint64_t reserved = state.reserve.slots(now, request.tier);
    // One slot is left to lower tiers whatever the demand.
    const std::uint64_t slots = m_pool.slots(request.target);
    const std::uint64_t most = slots > 0 ? slots - 1 : 0;
    return m_pool.freeSlots(request.target) <= std::min(reserved, most);
}

template <RoutingPolicy Policy>
bool OwnerSystem<Policy>::grantNext(StepContext &context, Counters &counters, TargetState &state,
                                    TargetId target)
{
    std::vector<ServerCandidate> candidates;
    std::optional<QueuedGrantRequest> next;
    if constexpr (PeekableGrantQueue<Queue>) {
        // A floor grant that fits nowhere must not hold up the highest tier.
        bool mayGrantFloor = true;
        candidates = candidatesFor(target, state.queue.next(context.now, true)->request);
        if (candidates.empty()) {
            mayGrantFloor = false;
            candidates = candidatesFor(target, state.queue.next(context.now, false)->request);
        }
        const GrantRequest &request = state.queue.next(context.now, mayGrantFloor)->request;
        const bool isFloor = request.tier != state.queue.highestTier();
        if (candidates.empty() || (!isFloor && isReserved(context.now, state, request)))
            return false;
        next = state.queue.pop(context.now, mayGrantFloor);
    } else {
        next = state.queue.pop(context.now);
        candidates = candidatesFor(target, next->request);
    }
    m_targetOf.erase(next->request.id);
    const std::size_t chosen = m_choice.choose(candidates, *next);
    grant(context, counters, *next, candidates[chosen].id);
    return true;
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::grant(StepContext &context, Counters &counters,
                                const QueuedGrantRequest &grant, BackendServerId server)
{
    const GrantRequest &request = grant.request;
    Lease lease;
    lease.id = LeaseId{ m_nextLease++ };
    lease.grant = request.id;
    lease.server = server;
    lease.target = request.target;
    lease.requestClass = request.requestClass;
    lease.tier = request.tier;
    lease.isPreemptible = request.isPreemptible;
    lease.tokens = memoryOf(request);
    lease.firstTokenTarget = grant.firstTokenDeadline - grant.queuedAt;
    lease.grantedAt = context.now;
    lease.expires = context.now + timing::leasePeriod;
    m_leases.add(lease);
    m_pool.acquire(server, lease.tokens);
    m_states.at(lease.target).reserve.onGranted(lease.tier);
    if constexpr (PrefixAwareServerChoice<typename Policy::Choice>)
        m_choice.onGranted(request, server);
    ++counters.grants;
    context.send(request.id.entry, Granted{ request.id, lease.id, server, timing::leasePeriod });
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::shed(StepContext &context, Counters &counters, const TargetState &state,
                               const QueuedGrantRequest &grant, ResultCode code)
{
    // A caller who comes back once the wait has shrunk to its target finds room.
    const Duration wait = waitOf(state, grant);
    const Duration target = std::max(grant.firstTokenDeadline - grant.queuedAt, Duration::zero());
    const Duration retryAfter = code == ResultCode::TargetUnreachable ? wait - target / 2 : wait;
    sendShed(context, counters, grant.request, code,
             std::clamp(retryAfter, shortestRetryAfter, longestRetryAfter));
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::sendShed(StepContext &context, Counters &counters,
                                   const GrantRequest &request, ResultCode code,
                                   Duration retryAfter)
{
    ++counters.shed[request.tier];
    context.send(request.id.entry, GrantShed{ request.id, code, retryAfter });
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::preempt(StepContext &context, TargetState &state, TargetId target)
{
    if constexpr (PeekableGrantQueue<Queue>) {
        const bool isPending =
            state.preempted.isValid() && context.now - state.preemptedAt < preemptionTimeout;
        if (isPending || state.queue.size() == 0)
            return;
        const QueuedGrantRequest *next = state.queue.next(context.now, false);
        const TimePoint latestStart = next->firstTokenDeadline - next->expectedTimeToFirstToken;
        const Duration wait = state.estimate.wait(0.0, m_pool.slots(target));
        // Preempting is for a target that only it can save.
        if (context.now + wait <= latestStart || context.now > latestStart)
            return;
        const std::optional<Lease> victim = m_leases.takeVictim(target, next->request.tier);
        if (!victim)
            return;
        state.preempted = victim->id;
        state.preemptedAt = context.now;
        context.send(victim->grant.entry, LeasePreempted{ victim->grant, victim->id });
    }
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::runTarget(StepContext &context, Counters &counters, TargetId target)
{
    TargetState &state = m_states.at(target);
    while (const auto late = state.queue.popExpired(context.now)) {
        m_targetOf.erase(late->request.id);
        shed(context, counters, state, *late, ResultCode::TargetUnreachable);
    }
    while (state.queue.size() > 0 && m_pool.hasFreeSlot(target)) {
        if (!grantNext(context, counters, state, target))
            break;
    }
    preempt(context, state, target);
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::run(StepContext &context, Counters &counters)
{
    while (const auto lease = m_leases.takeExpired(context.now))
        endLease(*lease, Duration::zero());
    m_pool.run(context.now);
    for (auto target = m_waiting.begin(); target != m_waiting.end();) {
        runTarget(context, counters, *target);
        const bool isEmpty = m_states.at(*target).queue.size() == 0;
        target = isEmpty ? m_waiting.erase(target) : std::next(target);
    }
}

template class OwnerSystem<TieredPolicy>;
template class OwnerSystem<NoOwnerPolicy>;
template class OwnerSystem<ReportedLoadPolicy>;
template class OwnerSystem<RoundRobinPolicy>;
template class OwnerSystem<FifoPolicy>;

} // namespace currantreel
