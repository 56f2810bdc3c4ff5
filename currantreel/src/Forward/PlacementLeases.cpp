#include "PlacementLeases.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Time beyond a request's deadline in which its end may still be reported.
constexpr Duration leaseReserve = 1s;

} // namespace

PlacementLeases::PlacementLeases(ServerDirectory &directory, EngineGroups &groups,
                                 Incarnation incarnation)
    : m_directory(&directory), m_groups(&groups), m_incarnation(incarnation)
{
}

PlacementGrant PlacementLeases::ask(TimePoint now, HostId from, const PlacementAsk &ask)
{
    PlacementGrant grant;
    grant.attempt = ask.attempt;
    grant.owner = m_incarnation;
    PlacementRequest request;
    request.service = ask.service;
    request.part = ask.part;
    request.parts = ask.parts;
    request.prompt = &ask.prompt;
    request.failureDomain = ask.failureDomain;
    request.bytes = ask.bytes;
    request.isLongPrompt = ask.isLongPrompt;
    request.isUrgent = ask.isUrgent;
    request.target = ask.target;
    request.tried = ask.avoid;
    ForwardServer *server = chooseServer(*m_directory, *m_groups, request, now);
    if (!server)
        return grant;
    Lease lease;
    lease.service = ask.service;
    lease.part = ask.part;
    lease.server = server->id;
    lease.unread = server->cache.unreadTokens(ask.prompt);
    lease.held = ask.prompt.heldTokens();
    lease.isStreamOfShortPrompt = !ask.isLongPrompt;
    lease.grantedAt = now;
    lease.expiresAt = now + ask.timeLeft + leaseReserve;
    server->cache.remember(ask.prompt);
    if (ask.isLongPrompt)
        m_groups->countReading(ask.service, now, lease.unread);
    add({ from, ask.attempt }, lease);
    grant.server = server->id;
    grant.unread = lease.unread;
    return grant;
}

void PlacementLeases::add(std::pair<HostId, AttemptId> id, const Lease &lease)
{
    if (const auto known = m_leases.find(id); known != m_leases.end())
        remove(known);
    if (ForwardServer *server = m_directory->find(lease.server))
        server->others.start(lease.unread, lease.held);
    m_leases.emplace(id, lease);
}

void PlacementLeases::settleRead(Lease &lease)
{
    if (ForwardServer *server = m_directory->find(lease.server))
        server->others.finishReading(lease.unread);
    lease.unread = 0;
}

PlacementLeases::Leases::iterator PlacementLeases::remove(Leases::iterator lease)
{
    settleRead(lease->second);
    if (ForwardServer *server = m_directory->find(lease->second.server))
        server->others.finish(lease->second.held);
    return m_leases.erase(lease);
}

void PlacementLeases::receive(TimePoint now, HostId from, const PlacementNotes &notes)
{
    for (const PlacementNote &note : notes.notes) {
        const auto found = m_leases.find({ from, note.attempt });
        if (found == m_leases.end())
            continue;
        Lease &lease = found->second;
        if (note.progress == PlacementProgress::Read) {
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

void PlacementLeases::receive(TimePoint now, HostId from, const PlacementsHeld &held)
{
    for (auto lease = m_leases.lower_bound({ from, AttemptId{} });
         lease != m_leases.end() && lease->first.first == from;) {
        if (lease->second.service == held.service && lease->second.part == held.part)
            lease = remove(lease);
        else
            ++lease;
    }
    for (const HeldPlacement &placement : held.placements) {
        Lease lease;
        lease.service = held.service;
        lease.part = held.part;
        lease.server = placement.server;
        lease.unread = placement.unread;
        lease.held = placement.held;
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
