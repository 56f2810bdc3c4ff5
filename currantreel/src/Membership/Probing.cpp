#include "Membership.h"
#include "MembershipTiming.h"
#include <algorithm>

namespace currantreel {

using namespace membership;

namespace {

/// The next few of @p loads in round-robin order, so that consecutive messages report all of them.
template <typename Load>
std::vector<Load> nextInTurn(const std::vector<Load> &loads, std::size_t &turn)
{
    std::vector<Load> taken;
    for (std::size_t i = 0; i < std::min(loads.size(), maxLoadsPerMessage); ++i)
        taken.push_back(loads[turn++ % loads.size()]);
    return taken;
}

} // namespace

std::size_t Membership::random(std::size_t bound)
{
    return static_cast<std::size_t>(m_random() % bound);
}

Duration Membership::randomDuration(Duration limit)
{
    return Duration(static_cast<Duration::rep>(random(static_cast<std::size_t>(limit.count()))));
}

template <typename Message>
void Membership::send(HostId to, Message message)
{
    m_outgoing.push_back(OutgoingMembershipMessage{ to, std::move(message) });
}

template void Membership::send(HostId, ProbeAck);

Gossip Membership::gossipFor(HostId to)
{
    const Member *member = m_members.find(to);
    const bool isOwnDomain = member && member->entry.failureDomain == m_self.failureDomain;
    Gossip gossip;
    gossip.sender = m_version;
    gossip.isLeaving = m_isLeaving;
    gossip.configuration.version = m_piggyback.configuration.version;
    if (m_now - m_digestSentAt >= digestInterval) {
        m_digestSentAt = m_now;
        gossip.configuration.digest = m_piggyback.configuration.digest;
    }
    const bool isLoadDue = m_now - m_loadsSentAt >= loadInterval;
    if (isLoadDue && isOwnDomain) {
        m_loadsSentAt = m_now;
        gossip.ownLoads = nextInTurn(m_piggyback.ownLoads, m_loadTurn);
    }
    if (!isOwnDomain)
        gossip.domainLoads = nextInTurn(m_piggyback.domainLoads, m_loadTurn);
    gossip.updates = m_updates.take(maxUpdatesPerMessage, m_members.size());
    const bool isAnnouncedDead =
        member && member->state == MemberState::Dead && !member->isDeathUnannounced;
    const bool isAccused = isAnnouncedDead || m_suspicions.contains(to);
    if (isAccused)
        gossip.updates.push_back(MemberUpdate{ to, member->version, member->state });
    for (const MemberUpdate &update : gossip.updates) {
        const Member *subject = m_members.find(update.id);
        // The receiver's list may lag behind the return of a host and not contain it yet.
        if (subject && subject->isListed && update.state == MemberState::Alive
            && gossip.introductions.size() < maxIntroductionsPerMessage)
            gossip.introductions.push_back(Introduction{ subject->entry, subject->version });
    }
    return gossip;
}

void Membership::probe(HostId target, HostId requester, std::uint64_t requesterSequence)
{
    const std::uint64_t sequence = m_nextSequence++;
    m_pending[sequence] = PendingProbe{ target, m_now, false, false, requester, requesterSequence };
    send(target, Probe{ sequence, gossipFor(target) });
}

std::vector<HostId> Membership::aliveMembers(HostId except, bool isOwnDomain) const
{
    std::vector<HostId> others;
    for (const Member &member : m_members) {
        const bool isWanted = !isOwnDomain || member.entry.failureDomain == m_self.failureDomain;
        if (member.state == MemberState::Alive && member.id != except && isWanted)
            others.push_back(member.id);
    }
    return others;
}

std::vector<HostId> Membership::neighbours() const
{
    std::vector<HostId> ring = aliveMembers(HostId(), true);
    std::sort(ring.begin(), ring.end());
    const auto next = std::upper_bound(ring.begin(), ring.end(), m_self.id);
    std::rotate(ring.begin(), next, ring.end());
    ring.resize(std::min(ring.size(), neighbourCount));
    return ring;
}

void Membership::probeNeighbour()
{
    const std::vector<HostId> targets = neighbours();
    if (!targets.empty())
        probe(targets[m_nextNeighbour++ % targets.size()]);
}

void Membership::probeMember()
{
    if (m_probeOrder.empty()) {
        m_probeOrder = aliveMembers(HostId(), false);
        std::sort(m_probeOrder.begin(), m_probeOrder.end());
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    while (!m_probeOrder.empty()) {
        const HostId target = m_probeOrder.back();
        m_probeOrder.pop_back();
        const Member *member = m_members.find(target);
        if (member && member->state == MemberState::Alive) {
            probe(target);
            return;
        }
    }
}

void Membership::probeDead()
{
    std::vector<HostId> dead;
    for (const Member &member : m_members) {
        if (member.state == MemberState::Dead)
            dead.push_back(member.id);
    }
    if (!dead.empty())
        probe(dead[random(dead.size())]);
}

void Membership::requestIndirectProbes(HostId target, std::uint64_t sequence)
{
    const Member *member = m_members.find(target);
    if (!member)
        return;
    std::vector<HostId> helpers = aliveMembers(target, false);
    std::sort(helpers.begin(), helpers.end());
    for (std::size_t i = 0; i < indirectProbeCount && !helpers.empty(); ++i) {
        const std::size_t chosen = random(helpers.size());
        const HostId helper = helpers[chosen];
        helpers[chosen] = helpers.back();
        helpers.pop_back();
        const MemberUpdate update{ target, member->version, member->state };
        send(helper, ProbeRequest{ sequence, update, gossipFor(helper) });
    }
}

void Membership::checkPending()
{
    std::vector<std::uint64_t> ended;
    for (auto &[sequence, pending] : m_pending) {
        const Duration age = m_now - pending.sentAt;
        const Member *member = m_members.find(pending.target);
        const bool isAlive = member && member->state == MemberState::Alive;
        if (age >= resendTimeout && !pending.isResent) {
            pending.isResent = true;
            send(pending.target, Probe{ sequence, gossipFor(pending.target) });
        }
        if (!pending.requester.isValid() && isAlive && age >= directTimeout
            && !pending.isIndirectRequested) {
            pending.isIndirectRequested = true;
            m_reconnects.push_back(pending.target);
            requestIndirectProbes(pending.target, sequence);
        }
        if (age >= indirectTimeout)
            ended.push_back(sequence);
    }
    for (const std::uint64_t sequence : ended) {
        const PendingProbe pending = m_pending[sequence];
        m_pending.erase(sequence);
        if (!pending.requester.isValid())
            suspect(pending.target);
    }
}

void Membership::suspect(HostId target)
{
    Member *member = m_members.find(target);
    if (!member || member->state != MemberState::Alive)
        return;
    // A message from the host itself during the probe outweighs a lost answer.
    if (m_now - member->lastMessageAt < directTimeout)
        return;
    m_suspicions[target] = Suspicion{ m_now, TimePoint(), false };
    setState(*member, MemberState::Suspect);
}

void Membership::checkSuspicions()
{
    std::vector<HostId> ended;
    std::vector<HostId> due;
    for (auto &[target, suspicion] : m_suspicions) {
        const Member *member = m_members.find(target);
        const bool isOwnDomain = member && member->entry.failureDomain == m_self.failureDomain;
        if (m_now - suspicion.since >= (isOwnDomain ? suspicionPeriod : remoteSuspicionPeriod)) {
            ended.push_back(target);
        } else if (m_now - suspicion.probedAt >= suspectProbeInterval) {
            suspicion.probedAt = m_now;
            due.push_back(target);
        }
    }
    for (const HostId target : due) {
        probe(target);
        requestIndirectProbes(target, m_nextSequence - 1);
    }
    for (const HostId target : ended)
        declareDead(target);
}

void Membership::declareDead(HostId target)
{
    Member *member = m_members.find(target);
    m_suspicions.erase(target);
    if (!member)
        return;
    setState(*member, MemberState::Dead);
    ++m_detectedDeaths;
    // A host that gets no answers is probably cut off itself, so it doesn't disseminate the death.
    member->isDeathUnannounced = !hasRecentAck() || isIsolated();
    if (!member->isDeathUnannounced)
        disseminate(*member);
}

void Membership::pushUrgentUpdates()
{
    if (!m_updates.hasUrgent() || m_now - m_pushedAt < pushInterval)
        return;
    m_pushedAt = m_now;
    std::vector<HostId> others = aliveMembers(HostId(), true);
    if (others.empty())
        return;
    std::sort(others.begin(), others.end());
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(others.size(), pushRecipients));
    for (const HostId other : others)
        send(other, UpdatePush{ gossipFor(other) });
}

void Membership::removeExpired()
{
    m_members.removeIf([this](const Member &member) {
        return !member.isListed && !member.isInService()
               && m_now - member.stateChangedAt >= memberRetention;
    });
}

void Membership::run()
{
    checkPending();
    checkSuspicions();
    if (m_now - m_neighbourProbedAt >= neighbourProbeInterval) {
        m_neighbourProbedAt = m_now;
        probeNeighbour();
    }
    if (m_now - m_memberProbedAt >= memberProbeInterval) {
        m_memberProbedAt = m_now;
        probeMember();
        probeDead();
        removeExpired();
        updateReferenceSize();
    }
    pushUrgentUpdates();
}

} // namespace currantreel
