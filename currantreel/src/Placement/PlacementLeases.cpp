#include "PlacementLeases.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Time beyond a request's deadline in which its end may still be reported.
constexpr Duration leaseGracePeriod = 1s;

} // namespace

PlacementLeases::PlacementLeases(ServerDirectory &directory, EngineGroups &groups,
                                 Incarnation incarnation)
    : m_directory(&directory), m_groups(&groups), m_incarnation(incarnation)
{
}

void PlacementLeases::recordProcess(HostId host, Incarnation process)
{
    Incarnation &known = m_processes.try_emplace(host, process).first->second;
    if (std::exchange(known, process) == process)
        return;
    auto lease = m_leases.lower_bound({ host, AttemptId{} });
    while (lease != m_leases.end() && lease->first.first == host)
        lease = remove(lease);
    m_queue.removeAllOf(host);
}

PlacementGrant PlacementLeases::grantRequest(TimePoint now, HostId from,
                                             const PlacementGrantRequest &request)
{
    if (const auto known = m_leases.find({ from, request.attempt }); known != m_leases.end()) {
        const ForwardServer *server = m_directory->find(known->second.server);
        if (!server || !m_directory->isEvacuated(*server))
            return grantOf(request.attempt, known->second);
        // The earlier grant was lost, and its server takes no new requests since.
        remove(known);
    }
    PlacementGrant grant = m_queue.mustWait(request) ? noGrant(request) : place(now, from, request);
    if (grant.server.isValid()) {
        m_queue.remove({ from, request.attempt });
        m_queue.charge(request, request.prompt.cost(grant.uncached));
    } else if (request.mayWait) {
        grant.isQueued = m_queue.add(now, from, request);
    }
    return grant;
}

PlacementGrant PlacementLeases::grantOf(AttemptId attempt, const Lease &lease) const
{
    PlacementGrant grant;
    grant.attempt = attempt;
    grant.owner = m_incarnation;
    grant.server = lease.server;
    grant.uncached = lease.uncached;
    return grant;
}

std::vector<std::pair<HostId, PlacementGrant>> PlacementLeases::grantQueued(TimePoint now)
{
    std::vector<std::pair<HostId, PlacementGrant>> grants;
    m_queue.placeAll(
        now, [&](HostId from, const PlacementGrantRequest &request) -> std::optional<double> {
            const PlacementGrant grant = place(now, from, request);
            if (!grant.server.isValid())
                return std::nullopt;
            grants.emplace_back(from, grant);
            return request.prompt.cost(grant.uncached);
        });
    return grants;
}

PlacementGrant PlacementLeases::noGrant(const PlacementGrantRequest &request) const
{
    PlacementGrant grant;
    grant.attempt = request.attempt;
    grant.owner = m_incarnation;
    return grant;
}

PlacementGrant PlacementLeases::place(TimePoint now, HostId from,
                                      const PlacementGrantRequest &request)
{
    PlacementCriteria criteria;
    criteria.service = request.service;
    criteria.partition = request.partition;
    criteria.partitionCount = request.partitionCount;
    const bool hasPrompt = !request.prompt.segments.empty() || request.prompt.tokens > 0;
    if (hasPrompt)
        criteria.prompt = &request.prompt;
    criteria.failureDomain = request.failureDomain;
    criteria.bytes = request.bytes;
    criteria.isLongPrompt = request.isLongPrompt;
    criteria.rank = request.rank;
    criteria.target = request.target;
    criteria.waited = request.waited;
    criteria.tried = request.avoid;
    ForwardServer *server = chooseServer(*m_directory, *m_groups, criteria, now);
    if (!server)
        return noGrant(request);
    Lease lease;
    lease.service = request.service;
    lease.partition = request.partition;
    lease.server = server->id;
    lease.uncached = server->cache.uncachedTokens(request.prompt);
    lease.reserved = request.prompt.reservedTokens();
    lease.rank = request.rank;
    lease.tokensToFirstEvent = server->tokensToFirstEvent(request.rank, lease.uncached);
    lease.isStreamOfShortPrompt = hasPrompt && !request.isLongPrompt;
    lease.grantedAt = now;
    lease.expiresAt = now + request.timeLeft + leaseGracePeriod;
    m_directory->cachePrompt(*server, request.prompt);
    if (request.isLongPrompt)
        m_groups->countPrefill(request.service, now, lease.uncached);
    else if (hasPrompt)
        m_groups->countStreamStart(request.service, now);
    m_directory->warmUp().countPlacement(now, server->id, request.service);
    add({ from, request.attempt }, lease);
    return grantOf(request.attempt, lease);
}

void PlacementLeases::add(std::pair<HostId, AttemptId> id, const Lease &lease)
{
    if (const auto known = m_leases.find(id); known != m_leases.end())
        remove(known);
    if (ForwardServer *server = m_directory->find(lease.server))
        server->others.start(lease.rank, lease.uncached, lease.reserved);
    m_leases.emplace(id, lease);
}

void PlacementLeases::settlePrefill(Lease &lease)
{
    if (ForwardServer *server = m_directory->find(lease.server))
        server->others.finishPrefill(lease.rank, lease.uncached);
    lease.uncached = 0;
}

void PlacementLeases::recordFirstEvent(TimePoint now, const Lease &lease)
{
    ForwardServer *server = m_directory->find(lease.server);
    if (server && lease.tokensToFirstEvent)
        m_groups->recordFirstEvent(now, *server, *lease.tokensToFirstEvent, now - lease.grantedAt);
}

PlacementLeases::Leases::iterator PlacementLeases::remove(Leases::iterator lease)
{
    settlePrefill(lease->second);
    if (ForwardServer *server = m_directory->find(lease->second.server))
        server->others.finish(lease->second.rank, lease->second.reserved);
    return m_leases.erase(lease);
}

void PlacementLeases::receive(TimePoint now, HostId from, const PlacementUpdates &updates)
{
    for (const PlacementUpdate &update : updates.updates) {
        const auto found = m_leases.find({ from, update.attempt });
        if (found == m_leases.end()) {
            m_queue.remove({ from, update.attempt });
            continue;
        }
        Lease &lease = found->second;
        if (update.progress == PlacementProgress::AnswerStarted) {
            recordFirstEvent(now, lease);
            settlePrefill(lease);
            continue;
        }
        if (ForwardServer *server = m_directory->find(lease.server))
            server->health.recordProgress(now, update.progress);
        if (update.progress == PlacementProgress::Succeeded) {
            m_groups->countSlotTime(lease.service, now, now - lease.grantedAt);
            if (lease.isStreamOfShortPrompt)
                m_groups->countStream(lease.service, now, now - lease.grantedAt);
        }
        remove(found);
    }
}

void PlacementLeases::receive(TimePoint now, HostId from, const ActivePlacements &active)
{
    for (auto lease = m_leases.lower_bound({ from, AttemptId{} });
         lease != m_leases.end() && lease->first.first == from;) {
        if (lease->second.service == active.service && lease->second.partition == active.partition)
            lease = remove(lease);
        else
            ++lease;
    }
    for (const ActivePlacement &placement : active.placements) {
        Lease lease;
        lease.service = active.service;
        lease.partition = active.partition;
        lease.server = placement.server;
        lease.uncached = placement.uncached;
        lease.reserved = placement.reserved;
        lease.rank = placement.rank;
        lease.grantedAt = now;
        lease.expiresAt = now + placement.timeLeft + leaseGracePeriod;
        add({ from, placement.attempt }, lease);
    }
}

void PlacementLeases::run(TimePoint now, const std::function<bool(HostId)> &isPresent)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (now >= lease->second.expiresAt || !isPresent(lease->first.first))
            lease = remove(lease);
        else
            ++lease;
    }
    m_queue.removeExpired(now, isPresent);
    std::erase_if(m_processes, [&](const auto &entry) { return !isPresent(entry.first); });
}

} // namespace currantreel
