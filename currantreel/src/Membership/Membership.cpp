#include "Membership.h"

#include "MembershipTiming.h"
#include <algorithm>
#include <utility>

namespace currantreel {

using namespace membership;

Membership::Membership(const HostIdentity &self, std::uint64_t seed)
    : m_self(self), m_version{ self.incarnation, 0 }, m_random(seed)
{
    m_selfEntry.id = self.id;
    m_selfEntry.name = self.name;
    m_selfEntry.failureDomain = self.failureDomain;
}

void Membership::advance(TimePoint now)
{
    const Duration gap = now - m_now;
    m_now = now;
    if (!std::exchange(m_isStarted, true)) {
        m_lastAckAt = now;
        m_lastDeathAt = now;
        // A random offset keeps hosts that start together from probing in step.
        m_neighbourProbedAt = now - randomDuration(neighbourProbeInterval);
        m_memberProbedAt = now - randomDuration(memberProbeInterval);
        return;
    }
    if (gap <= pauseThreshold)
        return;
    m_pending.clear();
    m_lastAckAt = now;
    for (auto &[id, suspicion] : m_suspicions)
        suspicion = Suspicion{ now, now, false };
}

void Membership::updateList(const std::vector<HostEntry> &hosts)
{
    for (Member &member : m_members)
        member.isListed = false;
    for (const HostEntry &entry : hosts) {
        if (entry.id == m_self.id) {
            m_selfEntry = entry;
            continue;
        }
        Member *known = m_members.find(entry.id);
        if (!known && m_members.size() >= maxMembers)
            continue;
        if (!known) {
            Member member;
            member.id = entry.id;
            member.stateChangedAt = m_now;
            known = &m_members.insert(member);
            ++m_revision;
            if (m_hasList)
                m_updates.add(MemberUpdate{ entry.id, member.version, member.state }, true);
        }
        const bool isNewlyLeaving =
            entry.liveness == Liveness::Leaving && known->entry.liveness != Liveness::Leaving;
        known->entry = entry;
        known->isListed = true;
        if (isNewlyLeaving && known->isInService())
            setState(*known, MemberState::Leaving);
    }
    m_hasList = true;
    updateReferenceSize();
}

bool Membership::isInService(HostId host) const
{
    if (host == m_self.id)
        return !m_isLeaving;
    const Member *member = m_members.find(host);
    return member && member->isInService();
}

std::size_t Membership::inServiceCount() const
{
    const auto count = std::count_if(m_members.begin(), m_members.end(),
                                     [](const Member &member) { return member.isInService(); });
    return static_cast<std::size_t>(count) + 1;
}

void Membership::updateReferenceSize()
{
    const std::size_t inService = inServiceCount();
    const bool isSettled = m_now - m_lastDeathAt >= referenceSizePeriod;
    m_referenceSize = isSettled ? inService : std::max(m_referenceSize, inService);
}

bool Membership::isIsolated() const
{
    return inServiceCount() * 3 < m_referenceSize * 2;
}

bool Membership::hasRecentAck() const
{
    return m_now - m_lastAckAt < suspicionPeriod;
}

void Membership::setState(Member &member, MemberState state)
{
    const bool wasInService = member.isInService();
    if (member.state != state)
        member.stateChangedAt = m_now;
    member.state = state;
    if (state != MemberState::Suspect)
        m_suspicions.erase(member.id);
    if (state == MemberState::Dead)
        m_lastDeathAt = m_now;
    if (wasInService == member.isInService())
        return;
    ++m_revision;
    updateReferenceSize();
}

void Membership::disseminate(const Member &member)
{
    const bool isOwnDomain = member.entry.failureDomain == m_self.failureDomain;
    m_updates.add(MemberUpdate{ member.id, member.version, member.state }, isOwnDomain);
}

bool Membership::processGossip(HostId from, const Gossip &gossip)
{
    Member *member = m_members.find(from);
    if (!member || from == m_self.id) {
        ++m_refusedMessages;
        return false;
    }
    recordContact(*member, gossip.sender, gossip.isLeaving);
    for (const Introduction &introduction : gossip.introductions)
        addIntroduced(*m_members.find(from), introduction);
    for (const MemberUpdate &update : gossip.updates)
        applyUpdate(update);
    return true;
}

void Membership::recordContact(Member &member, const MemberVersion &version, bool isLeaving)
{
    if (version < member.version)
        return;
    const bool isFirstContact = !member.version.incarnation.isValid();
    const bool isRestart = !isFirstContact && version.incarnation != member.version.incarnation;
    const bool isNewer = version > member.version;
    const bool isAnnouncedDeath = member.state == MemberState::Dead && !member.isDeathUnannounced;
    const bool isRevived =
        member.state == MemberState::Dead && (isNewer || member.isDeathUnannounced);
    const bool isNewlyLeaving = isLeaving && member.state != MemberState::Leaving;
    member.lastMessageAt = m_now;
    member.version = version;
    if (isLeaving)
        setState(member, MemberState::Leaving);
    else if (member.state == MemberState::Suspect || isRestart || isRevived)
        setState(member, MemberState::Alive);
    if (isRestart)
        ++m_revision;
    if (isRestart || isNewlyLeaving || (isRevived && isAnnouncedDeath))
        disseminate(member);
}

void Membership::addIntroduced(const Member &introducer, const Introduction &introduction)
{
    const HostEntry &entry = introduction.host;
    if (!introducer.isListed || entry.id == m_self.id || m_members.find(entry.id))
        return;
    if (m_members.size() >= maxMembers)
        return;
    Member member;
    member.id = entry.id;
    member.entry = entry;
    member.version = introduction.version;
    member.stateChangedAt = m_now;
    m_members.insert(member);
    ++m_revision;
    updateReferenceSize();
}

void Membership::refuteAccusation(const MemberUpdate &update)
{
    const bool isAccusation =
        update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (!isAccusation || update.version < m_version || m_isLeaving)
        return;
    if (update.version.incarnation != m_version.incarnation)
        return;
    m_version.refutation = update.version.refutation + 1;
    m_updates.add(MemberUpdate{ m_self.id, m_version, MemberState::Alive }, true);
}

void Membership::applyUpdate(const MemberUpdate &update)
{
    if (update.id == m_self.id) {
        refuteAccusation(update);
        return;
    }
    Member *member = m_members.find(update.id);
    // Only the host whose own probes failed tracks a suspicion.
    if (!member || update.state == MemberState::Suspect)
        return;
    const bool isSameIncarnation = update.version.incarnation == member->version.incarnation;
    const bool isFinal = member->state == MemberState::Leaving;
    if (isSameIncarnation && isFinal && update.state == MemberState::Alive)
        return;
    const bool isLeaving = update.state == MemberState::Leaving && isSameIncarnation
                           && member->state != MemberState::Dead && !isFinal;
    const bool isLater = update.version > member->version
                         || (update.version == member->version && update.state > member->state);
    if (!isLater && !isLeaving)
        return;
    const bool hadRecentContact = m_now - member->lastMessageAt < suspicionPeriod;
    if (!isSameIncarnation)
        ++m_revision;
    member->version = std::max(member->version, update.version);
    member->isDeathUnannounced = false;
    setState(*member, update.state);
    disseminate(*member);
    // If the update is wrong, the host answers this probe and refutes it.
    if (update.state == MemberState::Dead && hadRecentContact)
        probe(update.id);
}

void Membership::receive(HostId from, const Probe &message)
{
    if (!processGossip(from, message.gossip))
        return;
    send(from, ProbeAck{ message.sequence, m_self.id, m_version, gossipFor(from) });
}

void Membership::receive(HostId from, const ProbeAck &message)
{
    if (!processGossip(from, message.gossip))
        return;
    m_lastAckAt = m_now;
    const auto found = m_pending.find(message.sequence);
    if (found == m_pending.end() || found->second.target != message.target)
        return;
    const PendingProbe pending = found->second;
    m_pending.erase(found);
    Member *target = m_members.find(message.target);
    if (target && message.target != from)
        recordContact(*target, message.version, target->state == MemberState::Leaving);
    if (pending.requester.isValid())
        send(pending.requester, ProbeAck{ pending.requesterSequence, message.target,
                                          message.version, gossipFor(pending.requester) });
}

void Membership::receive(HostId from, const ProbeRequest &message)
{
    if (!processGossip(from, message.gossip) || !m_members.find(message.target.id))
        return;
    probe(message.target.id, from, message.sequence);
    auto &sent = std::get<Probe>(m_outgoing.back().message);
    sent.gossip.updates.push_back(message.target);
}

void Membership::receive(HostId from, const UpdatePush &message)
{
    (void)processGossip(from, message.gossip);
}

void Membership::leave()
{
    if (m_isLeaving)
        return;
    m_isLeaving = true;
    ++m_revision;
    m_updates.add(MemberUpdate{ m_self.id, m_version, MemberState::Leaving }, true);
}

std::vector<OutgoingMembershipMessage> Membership::takeMessages()
{
    return std::exchange(m_outgoing, {});
}

std::vector<HostId> Membership::takeReconnects()
{
    return std::exchange(m_reconnects, {});
}

} // namespace currantreel
