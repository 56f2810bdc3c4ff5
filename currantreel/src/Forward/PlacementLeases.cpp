#include "PlacementLeases.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Time beyond a request's own in which word of its end may still come.
constexpr Duration leaseReserve = 1s;

} // namespace

PlacementLeases::PlacementLeases(ServerDirectory &directory, EngineGroups &groups,
                                 Incarnation incarnation)
    : m_directory(&directory), m_groups(&groups), m_incarnation(incarnation)
{
}

PlacementGrant PlacementLeases::grantRequest(TimePoint now, HostId from,
                                             const PlacementGrantRequest &grantRequest)
{
    PlacementGrant grant;
    grant.attempt = grantRequest.attempt;
    grant.owner = m_incarnation;
    PlacementRequest request;
    request.service = grantRequest.service;
    request.partition = grantRequest.partition;
    request.partitionCount = grantRequest.partitionCount;
    request.prompt = &grantRequest.prompt;
    request.failureDomain = grantRequest.failureDomain;
    request.bytes = grantRequest.bytes;
    request.isLongPrompt = grantRequest.isLongPrompt;
    request.isUrgent = grantRequest.isUrgent;
    request.target = grantRequest.target;
    request.tried = grantRequest.avoid;
    ForwardServer *server = chooseServer(*m_directory, *m_groups, request, now);
    if (!server)
        return grant;
    Lease lease;
    lease.service = grantRequest.service;
    lease.partition = grantRequest.partition;
    lease.server = server->id;
    lease.uncached = server->cache.unreadTokens(grantRequest.prompt);
    lease.reserved = grantRequest.prompt.heldTokens();
    lease.isStreamOfShortPrompt = !grantRequest.isLongPrompt;
    lease.grantedAt = now;
    lease.expiresAt = now + grantRequest.timeLeft + leaseReserve;
    server->cache.remember(grantRequest.prompt);
    if (grantRequest.isLongPrompt)
        m_groups->countReading(grantRequest.service, now, lease.uncached);
    add({ from, grantRequest.attempt }, lease);
    grant.server = server->id;
    grant.uncached = lease.uncached;
    return grant;
}

void PlacementLeases::add(std::pair<HostId, AttemptId> id, const Lease &lease)
{
    if (const auto known = m_leases.find(id); known != m_leases.end())
        remove(known);
    if (ForwardServer *server = m_directory->find(lease.server))
        server->others.start(lease.uncached, lease.reserved);
    m_leases.emplace(id, lease);
}

void PlacementLeases::settleRead(Lease &lease)
{
    if (ForwardServer *server = m_directory->find(lease.server))
        server->others.finishReading(lease.uncached);
    lease.uncached = 0;
}

PlacementLeases::Leases::iterator PlacementLeases::remove(Leases::iterator lease)
{
    settleRead(lease->second);
    if (ForwardServer *server = m_directory->find(lease->second.server))
        server->others.finish(lease->second.reserved);
    return m_leases.erase(lease);
}

void PlacementLeases::receive(TimePoint now, HostId from, const PlacementUpdates &updates)
{
    for (const PlacementUpdate &note : updates.updates) {
        const auto found = m_leases.find({ from, note.attempt });
        if (found == m_leases.end())
            continue;
        Lease &lease = found->second;
        if (note.progress == PlacementProgress::AnswerStarted) {
            settleRead(lease);
            continue;
        }
        if (ForwardServer *server = m_directory->find(lease.server))
            server->health.judge(now, note.progress);
        if (note.progress == PlacementProgress::Succeeded && lease.isStreamOfShortPrompt)
            m_groups->countRunning(lease.service, now, now - lease.grantedAt);
        remove(found);
    }
}

void PlacementLeases::receive(TimePoint now, HostId from, const ActivePlacements &reserved)
{
    for (auto lease = m_leases.lower_bound({ from, AttemptId{} });
         lease != m_leases.end() && lease->first.first == from;) {
        if (lease->second.service == reserved.service
            && lease->second.partition == reserved.partition)
            lease = remove(lease);
        else
            ++lease;
    }
    for (const ActivePlacement &placement : reserved.placements) {
        Lease lease;
        lease.service = reserved.service;
        lease.partition = reserved.partition;
        lease.server = placement.server;
        lease.uncached = placement.uncached;
        lease.reserved = placement.reserved;
        lease.grantedAt = now;
        lease.expiresAt = now + placement.timeLeft + leaseReserve;
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
}

} // namespace currantreel
