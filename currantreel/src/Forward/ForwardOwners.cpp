#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include <algorithm>

/// @file
/// How a request asks the owner of the backend servers for a server, and what the owner is told of it.

namespace currantreel {

void ForwardSystem::assignPart(Call &call)
{
    if (!m_ownerOf || !call.route->hasPrompt)
        return;
    call.partitionCount = std::max<std::size_t>(m_directory.partitionCount(call.service), 1);
    call.partition = call.prompt.subject() % call.partitionCount;
}

HostId ForwardSystem::ownerOf(TimePoint now, const Call &call)
{
    if (!m_ownerOf || !call.route->hasPrompt)
        return {};
    const HostId owner = m_ownerOf(now, call.service, call.partition);
    m_owners.try_emplace({ call.service, call.partition }, owner);
    return call.decidesHere ? HostId() : owner;
}

void ForwardSystem::ask(TimePoint now, Call &call, HostId owner)
{
    ++m_counters.ownerRequests;
    // While its servers are full an owner is asked for one request at a time.
    const auto full = m_full.find({ call.service, call.partition });
    if (full != m_full.end() && call.rank >= full->second.rank)
        full->second.until = now + timing::askTimeout;
    call.state = State::Asked;
    call.pendingRequest = drawAttempt();
    call.askedOf = owner;
    call.askedAt = now;
    m_asks[call.pendingRequest] = call.id;
    const PlacementRequest request = placementOf(call);
    PlacementGrantRequest ask;
    ask.attempt = call.pendingRequest;
    ask.service = call.service;
    ask.partition = static_cast<std::uint32_t>(call.partition);
    ask.partitionCount = static_cast<std::uint32_t>(call.partitionCount);
    ask.failureDomain = m_failureDomain;
    ask.prompt = call.prompt;
    ask.bytes = request.bytes;
    ask.isLongPrompt = request.isLongPrompt;
    ask.isUrgent = request.isUrgent;
    ask.target = request.target;
    ask.timeLeft = call.endAt - now;
    ask.avoid = call.tried;
    for (const ForwardServer *server : m_directory.usable(call.service)) {
        if (ask.avoid.size() < timing::mostAvoided && m_directory.isAvoided(*server, now))
            ask.avoid.push_back(server->id);
    }
    m_effects.emplace_back(SendToOwner{ owner, std::move(ask) });
}

void ForwardSystem::stopAsking(Call &call)
{
    m_asks.erase(call.pendingRequest);
    call.pendingRequest = {};
}

void ForwardSystem::checkAsk(TimePoint now, Call &call)
{
    if (now - call.askedAt < timing::askTimeout)
        return;
    ++m_counters.ownerRequestsUnanswered;
    m_effects.emplace_back(ExcludeOwner{ call.askedOf });
    stopAsking(call);
    call.decidesHere = true;
    enqueue(call);
    dispatchWaiting(now);
}

bool ForwardSystem::isBlocked(TimePoint now, const Call &call) const
{
    const auto full = m_full.find({ call.service, call.partition });
    return full != m_full.end() && now < full->second.until && call.rank >= full->second.rank;
}

void ForwardSystem::onGrant(TimePoint now, HostId from, const PlacementGrant &grant)
{
    const auto found = m_asks.find(grant.attempt);
    Call *call = found == m_asks.end() ? nullptr : m_calls.find(found->second);
    if (!call) {
        // The request ended or went its own way meanwhile.
        if (grant.server.isValid())
            m_notes[from].updates.push_back({ grant.attempt, PlacementProgress::Ended });
        return;
    }
    stopAsking(*call);
    const Part partition{ call->service, call->partition };
    if (!grant.server.isValid()) {
        ++m_counters.ownerRequestsFull;
        m_full[partition] = Full{ call->rank, now + timing::askAgainDelay };
        enqueue(*call);
    } else {
        m_full.erase(partition);
        sendTo(now, *call, from, grant);
    }
    Incarnation &known = m_ownerIncarnations[from];
    if (known.isValid() && known != grant.owner)
        tellHeld(now, from, partition.first, partition.second);
    known = grant.owner;
    if (grant.server.isValid())
        dispatchWaiting(now);
}

void ForwardSystem::sendTo(TimePoint now, Call &call, HostId owner, const PlacementGrant &grant)
{
    ForwardServer *server = m_directory.find(grant.server);
    if (!server || server->announced.isLeaving) {
        m_notes[owner].updates.push_back({ grant.attempt, PlacementProgress::Ended });
        call.decidesHere = true;
        enqueue(call);
        return;
    }
    call.owner = owner;
    call.uncached = grant.uncached;
    send(now, call, *server, grant.attempt);
}

void ForwardSystem::tell(const Call &call, PlacementProgress progress)
{
    if (call.owner.isValid())
        m_notes[call.owner].updates.push_back({ call.attempt, progress });
}

void ForwardSystem::flushNotes()
{
    for (auto &[owner, updates] : m_notes)
        m_effects.emplace_back(SendToOwner{ owner, std::move(updates) });
    m_notes.clear();
}

void ForwardSystem::checkOwners(TimePoint now)
{
    if (!m_ownerOf)
        return;
    for (auto &[partition, known] : m_owners) {
        const HostId owner = m_ownerOf(now, partition.first, partition.second);
        if (owner == known)
            continue;
        known = owner;
        if (owner.isValid())
            tellHeld(now, owner, partition.first, partition.second);
    }
}

void ForwardSystem::tellHeld(TimePoint now, HostId owner, ServiceId service, std::size_t partition)
{
    ActivePlacements reserved;
    reserved.service = service;
    reserved.partition = static_cast<std::uint32_t>(partition);
    for (Call &call : m_calls) {
        const bool isAtServer = call.state == State::Sent || call.state == State::Relayed;
        if (!isAtServer || !call.attempt.isValid() || call.service != service
            || call.partition != partition)
            continue;
        call.owner = owner;
        reserved.placements.push_back({ call.attempt, call.server, call.uncached,
                                        call.prompt.heldTokens(), call.endAt - now });
    }
    m_effects.emplace_back(SendToOwner{ owner, std::move(reserved) });
}

} // namespace currantreel
