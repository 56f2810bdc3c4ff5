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
        m_ackedAt = now;
        m_lastDeathAt = now;
        // Hosts that start together must not probe in step.
        m_neighbourAt = now - randomPart(neighbourInterval);
        m_memberAt = now - randomPart(memberInterval);
        return;
    }
    if (gap <= pauseThreshold)
        return;
    m_pending.clear();
    m_ackedAt = now;
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
        if (!known && m_members.size() >= memberCapacity)
            continue;
        if (!known) {
            Member member;
            member.id = entry.id;
            member.changedAt = m_now;
            known = &m_members.insert(member);
            ++m_revision;
            if (m_hasList)
                m_news.add(MemberUpdate{ entry.id, member.version, member.state }, true);
        }
        const bool isNewlyLeaving =
            entry.liveness == Liveness::Leaving && known->entry.liveness != Liveness::Leaving;
        known->entry = entry;
        known->isListed = true;
        if (isNewlyLeaving && known->isInService())
            setState(*known, MemberState::Leaving);
    }
    m_hasList = true;
    updateReference();
}

bool Membership::isInService(HostId host) const
{
    if (host == m_self.id)
        return !m_isLeaving;
    const Member *member = m_members.find(host);
    return member && member->isInService();
}

std::size_t Membership::aliveCount() const
{
    const auto count = std::count_if(m_members.begin(), m_members.end(),
                                     [](const Member &member) { return member.isInService(); });
    return static_cast<std::size_t>(count) + 1;
}

void Membership::updateReference()
{
    const std::size_t alive = aliveCount();
    const bool isSettled = m_now - m_lastDeathAt >= isolationMemory;
    m_reference = isSettled ? alive : std::max(m_reference, alive);
}

bool Membership::isIsolated() const
{
    return aliveCount() * 3 < m_reference * 2;
}

bool Membership::isHearing() const
{
    return m_now - m_ackedAt < suspicionPeriod;
}

void Membership::setState(Member &member, MemberState state)
{
    const bool wasInService = member.isInService();
    if (member.state != state)
        member.changedAt = m_now;
    member.state = state;
    if (state != MemberState::Suspect)
        m_suspicions.erase(member.id);
    if (state == MemberState::Dead)
        m_lastDeathAt = m_now;
    if (wasInService == member.isInService())
        return;
    ++m_revision;
    updateReference();
}

void Membership::spread(const Member &member)
{
    const bool isOwnDomain = member.entry.failureDomain == m_self.failureDomain;
    m_news.add(MemberUpdate{ member.id, member.version, member.state }, isOwnDomain);
}

bool Membership::admit(HostId from, const Gossip &gossip)
{
    Member *member = m_members.find(from);
    if (!member || from == m_self.id) {
        ++m_refused;
        return false;
    }
    heard(*member, gossip.sender, gossip.isLeaving);
    for (const Introduction &introduction : gossip.introductions)
        introduce(*m_members.find(from), introduction);
    for (const MemberUpdate &updates : gossip.updates)
        takeNews(updates);
    return true;
}

void Membership::heard(Member &member, const MemberVersion &version, bool isLeaving)
{
    if (version < member.version)
        return;
    const bool isFirstWord = !member.version.incarnation.isValid();
    const bool isRestart = !isFirstWord && version.incarnation != member.version.incarnation;
    const bool isNewer = version > member.version;
    const bool isRefutedDeath = member.state == MemberState::Dead && !member.isDeathPrivate;
    const bool isRevived = member.state == MemberState::Dead && (isNewer || member.isDeathPrivate);
    const bool isStop = isLeaving && member.state != MemberState::Leaving;
    member.heardAt = m_now;
    member.version = version;
    if (isLeaving)
        setState(member, MemberState::Leaving);
    else if (member.state == MemberState::Suspect || isRestart || isRevived)
        setState(member, MemberState::Alive);
    if (isRestart)
        ++m_revision;
    if (isRestart || isStop || (isRevived && isRefutedDeath))
        spread(member);
}

void Membership::introduce(const Member &introducer, const Introduction &introduction)
{
    const HostEntry &entry = introduction.host;
    if (!introducer.isListed || entry.id == m_self.id || m_members.find(entry.id))
        return;
    if (m_members.size() >= memberCapacity)
        return;
    Member member;
    member.id = entry.id;
    member.entry = entry;
    member.version = introduction.version;
    member.changedAt = m_now;
    m_members.insert(member);
    ++m_revision;
    updateReference();
}

void Membership::takeOwnNews(const MemberUpdate &updates)
{
    const bool isAccusation =
        updates.state == MemberState::Suspect || updates.state == MemberState::Dead;
    if (!isAccusation || updates.version < m_version || m_isLeaving)
        return;
    if (updates.version.incarnation != m_version.incarnation)
        return;
    m_version.refutation = updates.version.refutation + 1;
    m_news.add(MemberUpdate{ m_self.id, m_version, MemberState::Alive }, true);
}

void Membership::takeNews(const MemberUpdate &updates)
{
    if (updates.id == m_self.id) {
        takeOwnNews(updates);
        return;
    }
    Member *member = m_members.find(updates.id);
    // Suspicion is the business of the host that saw the silence.
    if (!member || updates.state == MemberState::Suspect)
        return;
    const bool isSameIncarnation = updates.version.incarnation == member->version.incarnation;
    const bool isFinal = member->state == MemberState::Leaving;
    if (isSameIncarnation && isFinal && updates.state == MemberState::Alive)
        return;
    const bool isLeaving = updates.state == MemberState::Leaving && isSameIncarnation
                           && member->state != MemberState::Dead && !isFinal;
    const bool isLater = updates.version > member->version
                         || (updates.version == member->version && updates.state > member->state);
    if (!isLater && !isLeaving)
        return;
    const bool wasHeard = m_now - member->heardAt < suspicionPeriod;
    if (!isSameIncarnation)
        ++m_revision;
    member->version = std::max(member->version, updates.version);
    member->isDeathPrivate = false;
    setState(*member, updates.state);
    spread(*member);
    // The host itself answers this probe if the news is wrong, and refutes it.
    if (updates.state == MemberState::Dead && wasHeard)
        probe(updates.id);
}

void Membership::receive(HostId from, const Probe &message)
{
    if (!admit(from, message.gossip))
        return;
    send(from, ProbeAck{ message.sequence, m_self.id, m_version, gossipFor(from) });
}

void Membership::receive(HostId from, const ProbeAck &message)
{
    if (!admit(from, message.gossip))
        return;
    m_ackedAt = m_now;
    const auto found = m_pending.find(message.sequence);
    if (found == m_pending.end() || found->second.target != message.target)
        return;
    const PendingProbe pending = found->second;
    m_pending.erase(found);
    Member *target = m_members.find(message.target);
    if (target && message.target != from)
        heard(*target, message.version, target->state == MemberState::Leaving);
    if (pending.requester.isValid())
        send(pending.requester, ProbeAck{ pending.requesterSequence, message.target,
                                          message.version, gossipFor(pending.requester) });
}

void Membership::receive(HostId from, const ProbeRequest &message)
{
    if (!admit(from, message.gossip) || !m_members.find(message.target.id))
        return;
    probe(message.target.id, from, message.sequence);
    auto &sent = std::get<Probe>(m_outgoing.back().message);
    sent.gossip.updates.push_back(message.target);
}

void Membership::receive(HostId from, const UpdatePush &message)
{
    (void)admit(from, message.gossip);
}

void Membership::leave()
{
    if (m_isLeaving)
        return;
    m_isLeaving = true;
    ++m_revision;
    m_news.add(MemberUpdate{ m_self.id, m_version, MemberState::Leaving }, true);
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
