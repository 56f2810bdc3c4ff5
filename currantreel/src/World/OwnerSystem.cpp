#include "OwnerSystem.h"

#include "../Ownership/Targets.h"
#include "Timing.h"
#include <algorithm>

namespace currantreel {

namespace {

/// Waiting requests by tier; a queue that knows no tiers counts as one of the highest.
template <typename Queue>
std::array<std::uint32_t, tierCount> waitingByTier(const Queue &queue)
{
    std::array<std::uint32_t, tierCount> waiting{};
    if constexpr (requires { queue.sizeUpTo(Tier()); }) {
        std::size_t before = 0;
        for (Tier tier = 0; tier < tierCount; ++tier) {
            const std::size_t upTo = queue.sizeUpTo(tier);
            waiting.at(tier) = static_cast<std::uint32_t>(upTo - before);
            before = upTo;
        }
    } else {
        waiting.front() = static_cast<std::uint32_t>(queue.size());
    }
    return waiting;
}

} // namespace

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::configure(const StepContext &context)
{
    // Leases of different owners must not be taken for each other after a takeover.
    if (m_nextLease == 0)
        m_nextLease = context.self.id.value ^ context.self.incarnation.value;
    const Configuration &configuration = *context.configuration;
    m_servers.removeIf([&](const ServerRow &row) {
        const BackendServer *server = configuration.backendServers.find(row.id);
        return !server || context.ownership.ownSlots(*server) == 0;
    });
    for (const BackendServer &server : configuration.backendServers) {
        const std::uint32_t slots = context.ownership.ownSlots(server);
        if (slots == 0)
            continue;
        ServerRow *known = m_servers.find(server.id);
        ServerRow &row =
            known ? *known : m_servers.insert(ServerRow{ server.id, {}, 0, 0, false, {} });
        row.targets = targetsOf(server);
        row.slots = slots;
        row.isLeaving = m_leaving.contains(server.id);
    }
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::updateLiveness(const std::vector<BackendServerEntry> &entries)
{
    m_leaving.clear();
    for (const BackendServerEntry &entry : entries) {
        if (entry.liveness == Liveness::Leaving)
            m_leaving.insert(entry.id);
    }
    for (ServerRow &row : m_servers)
        row.isLeaving = m_leaving.contains(row.id);
}

template <RoutingPolicy Policy>
typename OwnerSystem<Policy>::Queue &OwnerSystem<Policy>::queueOf(const StepContext &context,
                                                                  TargetId target)
{
    return m_queues.try_emplace(target, context.configuration->floorPermille).first->second;
}

template <RoutingPolicy Policy>
bool OwnerSystem<Policy>::hasServer(TargetId target) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [target](const ServerRow &row) {
        return !row.isLeaving
               && std::find(row.targets.begin(), row.targets.end(), target) != row.targets.end();
    });
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onRequest(StepContext &context, Counters &counters,
                                    const GrantRequest &request)
{
    const TimePoint now = context.now;
    QueuedGrant grant{ request, now, now + request.firstTokenIn, now + request.answerIn,
                       now + request.queueBound };
    if (!hasServer(request.target)) {
        // The entry's view of who can serve it may lag; its own grants are asked by its own view.
        const bool isRemote = request.id.entry != context.self.id;
        if (isRemote && context.router.hasOther(now, request.target, context.self.id)) {
            context.send(request.id.entry, GrantMoved{ request.id });
            return;
        }
        shed(context, counters, grant, ResultCode::NoBackendServer);
        return;
    }
    Queue &queue = queueOf(context, request.target);
    if (queue.size() >= timing::queueCapacity) {
        const auto victim = queue.popVictim(request.tier);
        shed(context, counters, victim ? *victim : grant, ResultCode::QueueFull);
        if (!victim)
            return;
    }
    queue.push(std::move(grant));
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onWithdrawn(const GrantWithdrawn &message)
{
    for (auto &[target, queue] : m_queues) {
        if (queue.remove(message.id))
            return;
    }
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onReleased(const LeaseReleased &message)
{
    endLease(message.lease);
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::onRenewal(const StepContext &context, const LeaseRenewal &message)
{
    for (const LeaseRenewal::Item &item : message.items) {
        LeaseRow *lease = m_leases.find(item.lease);
        if (!lease) {
            adopt(item);
            lease = m_leases.find(item.lease);
        }
        if (lease)
            lease->expires = context.now + timing::leasePeriod;
    }
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::adopt(const LeaseRenewal::Item &item)
{
    ServerRow *server = m_servers.find(item.server);
    if (!server)
        return;
    ++server->inFlight;
    m_leases.insert(LeaseRow{ item.lease, item.id, item.server, TimePoint() });
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::moveUnowned(StepContext &context)
{
    for (auto &[target, queue] : m_queues) {
        if (hasServer(target) || !context.router.hasOther(context.now, target, context.self.id))
            continue;
        while (const auto moved = queue.pop(context.now))
            context.send(moved->request.id.entry, GrantMoved{ moved->request.id });
    }
}

template <RoutingPolicy Policy>
std::vector<TargetLoad> OwnerSystem<Policy>::loads() const
{
    std::map<TargetId, TargetLoad> loads;
    for (const ServerRow &row : m_servers) {
        for (const TargetId target : row.targets) {
            TargetLoad &load = loads[target];
            load.target = target;
            if (row.isLeaving)
                continue;
            load.slots += row.slots;
            load.freeSlots += row.slots - std::min(row.slots, row.inFlight);
        }
    }
    std::vector<TargetLoad> list;
    for (auto &[target, load] : loads) {
        if (const auto queue = m_queues.find(target); queue != m_queues.end())
            load.queued = waitingByTier(queue->second);
        list.push_back(load);
    }
    return list;
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::endLease(LeaseId lease)
{
    const LeaseRow *row = m_leases.find(lease);
    if (!row)
        return;
    ServerRow *server = m_servers.find(row->server);
    if (server && server->inFlight > 0)
        --server->inFlight;
    m_leases.remove(lease);
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::expireLeases(TimePoint now)
{
    std::vector<LeaseId> expired;
    for (const LeaseRow &row : m_leases) {
        if (row.expires <= now)
            expired.push_back(row.id);
    }
    for (const LeaseId lease : expired)
        endLease(lease);
}

template <RoutingPolicy Policy>
std::vector<ServerCandidate> OwnerSystem<Policy>::freeServers(const StepContext &context,
                                                              TargetId target) const
{
    std::vector<ServerCandidate> candidates;
    for (const ServerRow &row : m_servers) {
        const bool canServe =
            std::find(row.targets.begin(), row.targets.end(), target) != row.targets.end();
        const bool isFree =
            !row.isLeaving && row.inFlight < row.slots && row.refusedUntil <= context.now;
        if (canServe && isFree)
            candidates.push_back(ServerCandidate{ row.id, row.inFlight, row.slots });
    }
    return candidates;
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::grant(StepContext &context, Counters &counters, const QueuedGrant &grant,
                                ServerRow &server)
{
    const LeaseId lease{ m_nextLease++ };
    ++server.inFlight;
    ++counters.grants;
    const GrantId id = grant.request.id;
    m_leases.insert(LeaseRow{ lease, id, server.id, context.now + timing::leasePeriod });
    context.send(id.entry, Granted{ id, lease, server.id, timing::leasePeriod });
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::shed(StepContext &context, Counters &counters, const QueuedGrant &grant,
                               ResultCode code)
{
    ++counters.shed[grant.request.tier];
    const GrantId id = grant.request.id;
    context.send(id.entry, GrantShed{ id, code, timing::shedRetryAfter });
}

template <RoutingPolicy Policy>
void OwnerSystem<Policy>::run(StepContext &context, Counters &counters)
{
    expireLeases(context.now);
    for (auto &[target, queue] : m_queues) {
        while (const auto late = queue.popExpired(context.now))
            shed(context, counters, *late, ResultCode::TargetUnreachable);
        while (queue.size() > 0) {
            const std::vector<ServerCandidate> candidates = freeServers(context, target);
            if (candidates.empty())
                break;
            const QueuedGrant next = *queue.pop(context.now);
            const std::size_t chosen = m_choice.choose(candidates, next);
            grant(context, counters, next, *m_servers.find(candidates[chosen].id));
        }
    }
}

template <RoutingPolicy Policy>
std::size_t OwnerSystem<Policy>::queued() const
{
    std::size_t total = 0;
    for (const auto &[target, queue] : m_queues)
        total += queue.size();
    return total;
}

template <RoutingPolicy Policy>
std::uint32_t OwnerSystem<Policy>::inFlight(BackendServerId server) const
{
    const ServerRow *row = m_servers.find(server);
    return row ? row->inFlight : 0;
}

template class OwnerSystem<TieredPolicy>;
template class OwnerSystem<FifoPolicy>;
template class OwnerSystem<RoundRobinPolicy>;
template class OwnerSystem<ReportedLoadPolicy>;
template class OwnerSystem<NoOwnerPolicy>;

} // namespace currantreel
