#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include <algorithm>

/// @file
/// Requests to owners for a backend server, and the updates sent to owners.

namespace currantreel {

void ForwardSystem::assignPart(Call &call)
{
    if (!m_ownerOf || !call.route->hasPrompt)
        return;
    call.parts = std::max<std::size_t>(m_directory.parts(call.service), 1);
    call.part = call.prompt.subject() % call.parts;
}

HostId ForwardSystem::ownerOf(TimePoint now, const Call &call)
{
    if (!m_ownerOf || !call.route->hasPrompt)
        return {};
    const HostId owner = m_ownerOf(now, call.service, call.part);
    m_owners.try_emplace({ call.service, call.part }, owner);
    return call.decidesHere ? HostId() : owner;
}

void ForwardSystem::ask(TimePoint now, Call &call, HostId owner)
{
    ++m_counters.asked;
    // While an owner reports no capacity, only one request to it is in flight at a time.
    const auto full = m_full.find({ call.service, call.part });
    if (full != m_full.end() && call.rank >= full->second.rank)
        full->second.until = now + timing::askTimeout;
    call.state = State::Asked;
    call.asked = drawAttempt();
    call.askedOf = owner;
    call.askedAt = now;
    m_asks[call.asked] = call.id;
    const PlacementRequest request = placementOf(call);
    PlacementAsk ask;
    ask.attempt = call.asked;
    ask.service = call.service;
    ask.part = static_cast<std::uint32_t>(call.part);
    ask.parts = static_cast<std::uint32_t>(call.parts);
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
    m_effects.emplace_back(TellOwner{ owner, std::move(ask) });
}

void ForwardSystem::stopAsking(Call &call)
{
    m_asks.erase(call.asked);
    call.asked = {};
}

void ForwardSystem::checkAsk(TimePoint now, Call &call)
{
    if (now - call.askedAt < timing::askTimeout)
        return;
    ++m_counters.ownersSilent;
    m_effects.emplace_back(PassOverOwner{ call.askedOf });
    stopAsking(call);
    call.decidesHere = true;
    enqueue(call);
    dispatchWaiting(now);
}

bool ForwardSystem::isBlocked(TimePoint now, const Call &call) const
{
    const auto full = m_full.find({ call.service, call.part });
    return full != m_full.end() && now < full->second.until && call.rank >= full->second.rank;
}

void ForwardSystem::onGrant(TimePoint now, HostId from, const PlacementGrant &grant)
{
    const auto found = m_asks.find(grant.attempt);
    Call *call = found == m_asks.end() ? nullptr : m_calls.find(found->second);
    if (!call) {
        // The request ended or was placed by this host in the meantime; return the lease.
        if (grant.server.isValid())
            m_notes[from].notes.push_back({ grant.attempt, PlacementProgress::Ended });
        return;
    }
    stopAsking(*call);
    const Part part{ call->service, call->part };
    if (!grant.server.isValid()) {
        ++m_counters.full;
        m_full[part] = Full{ call->rank, now + timing::askAgainDelay };
        enqueue(*call);
    } else {
        m_full.erase(part);
        sendTo(now, *call, from, grant);
    }
    Incarnation &known = m_ownerIncarnations[from];
    if (known.isValid() && known != grant.owner)
        tellHeld(now, from, part.first, part.second);
    known = grant.owner;
    if (grant.server.isValid())
        dispatchWaiting(now);
}

void ForwardSystem::sendTo(TimePoint now, Call &call, HostId owner, const PlacementGrant &grant)
{
    ForwardServer *server = m_directory.find(grant.server);
    if (!server || server->announced.isLeaving) {
        m_notes[owner].notes.push_back({ grant.attempt, PlacementProgress::Ended });
        call.decidesHere = true;
        enqueue(call);
        return;
    }
    call.owner = owner;
    call.unread = grant.unread;
    send(now, call, *server, grant.attempt);
}

void ForwardSystem::tell(const Call &call, PlacementProgress progress)
{
    if (call.owner.isValid())
        m_notes[call.owner].notes.push_back({ call.attempt, progress });
}

void ForwardSystem::flushNotes()
{
    for (auto &[owner, notes] : m_notes)
        m_effects.emplace_back(TellOwner{ owner, std::move(notes) });
    m_notes.clear();
}

void ForwardSystem::checkOwners(TimePoint now)
{
    if (!m_ownerOf)
        return;
    for (auto &[part, known] : m_owners) {
        const HostId owner = m_ownerOf(now, part.first, part.second);
        if (owner == known)
            continue;
        known = owner;
        if (owner.isValid())
            tellHeld(now, owner, part.first, part.second);
    }
}

void ForwardSystem::tellHeld(TimePoint now, HostId owner, ServiceId service, std::size_t part)
{
    PlacementsHeld held;
    held.service = service;
    held.part = static_cast<std::uint32_t>(part);
    for (Call &call : m_calls) {
        const bool isAtServer = call.state == State::Sent || call.state == State::Relayed;
        if (!isAtServer || !call.attempt.isValid() || call.service != service || call.part != part)
            continue;
        call.owner = owner;
        held.placements.push_back(
            { call.attempt, call.server, call.unread, call.prompt.heldTokens(), call.endAt - now });
    }
    m_effects.emplace_back(TellOwner{ owner, std::move(held) });
}

} // namespace currantreel
