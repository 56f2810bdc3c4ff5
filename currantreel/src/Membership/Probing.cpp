#include "Membership.h"
#include "MembershipTiming.h"
#include <algorithm>

namespace currantreel {

using namespace membership;

namespace {

/// The next few of @p loads, so that all are told in a round of messages.
template <typename Load>
std::vector<Load> takeTurns(const std::vector<Load> &loads, std::size_t &turn)
{
    std::vector<Load> taken;
    for (std::size_t i = 0; i < std::min(loads.size(), loadsPerMessage); ++i)
        taken.push_back(loads[turn++ % loads.size()]);
    return taken;
}

} // namespace

std::size_t Membership::random(std::size_t bound)
{
    return static_cast<std::size_t>(m_random() % bound);
}

Duration Membership::randomPart(Duration whole)
{
    return Duration(static_cast<Duration::rep>(random(static_cast<std::size_t>(whole.count()))));
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
    gossip.configuration.version = m_carried.configuration.version;
    if (m_now - m_digestAt >= digestInterval) {
        m_digestAt = m_now;
        gossip.configuration.digest = m_carried.configuration.digest;
    }
    const bool isLoadDue = m_now - m_loadAt >= loadInterval;
    if (isLoadDue && isOwnDomain) {
        m_loadAt = m_now;
        gossip.ownLoads = takeTurns(m_carried.ownLoads, m_loadTurn);
    }
    if (!isOwnDomain)
        gossip.domainLoads = takeTurns(m_carried.domainLoads, m_loadTurn);
    gossip.updates = m_news.take(newsPerMessage, m_members.size());
    const bool isCalledDead =
        member && member->state == MemberState::Dead && !member->isDeathPrivate;
    const bool isAccused = isCalledDead || m_suspicions.contains(to);
    if (isAccused)
        gossip.updates.push_back(MemberUpdate{ to, member->version, member->state });
    for (const MemberUpdate &updates : gossip.updates) {
        const Member *subject = m_members.find(updates.id);
        // The list of the receiver may lag behind a return; who is listed here may be new to it.
        if (subject && subject->isListed && updates.state == MemberState::Alive
            && gossip.introductions.size() < introductionsPerMessage)
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

std::vector<HostId> Membership::othersInService(HostId except, bool isOwnDomain) const
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
    std::vector<HostId> ring = othersInService(HostId(), true);
    std::sort(ring.begin(), ring.end());
    const auto next = std::upper_bound(ring.begin(), ring.end(), m_self.id);
    std::rotate(ring.begin(), next, ring.end());
    ring.resize(std::min(ring.size(), neighbourCount));
    return ring;
}

void Membership::probeNeighbour()
{
    const std::vector<HostId> watched = neighbours();
    if (!watched.empty())
        probe(watched[m_nextNeighbour++ % watched.size()]);
}

void Membership::probeMember()
{
    if (m_order.empty()) {
        m_order = othersInService(HostId(), false);
        std::sort(m_order.begin(), m_order.end());
        std::shuffle(m_order.begin(), m_order.end(), m_random);
    }
    while (!m_order.empty()) {
        const HostId target = m_order.back();
        m_order.pop_back();
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

void Membership::askOthers(HostId target, std::uint64_t sequence)
{
    const Member *member = m_members.find(target);
    if (!member)
        return;
    std::vector<HostId> helpers = othersInService(target, false);
    std::sort(helpers.begin(), helpers.end());
    for (std::size_t i = 0; i < indirectCount && !helpers.empty(); ++i) {
        const std::size_t chosen = random(helpers.size());
        const HostId helper = helpers[chosen];
        helpers[chosen] = helpers.back();
        helpers.pop_back();
        const MemberUpdate updates{ target, member->version, member->state };
        send(helper, ProbeRequest{ sequence, updates, gossipFor(helper) });
    }
}

void Membership::checkPending()
{
    std::vector<std::uint64_t> ended;
    for (auto &[sequence, pending] : m_pending) {
        const Duration age = m_now - pending.sentAt;
        const Member *member = m_members.find(pending.target);
        const bool isWatched = member && member->state == MemberState::Alive;
        if (age >= repeatTimeout && !pending.isRepeated) {
            pending.isRepeated = true;
            send(pending.target, Probe{ sequence, gossipFor(pending.target) });
        }
        if (!pending.requester.isValid() && isWatched && age >= directTimeout
            && !pending.isIndirectSent) {
            pending.isIndirectSent = true;
            m_reconnects.push_back(pending.target);
            askOthers(pending.target, sequence);
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
    // Word from the host itself during the probe outweighs a lost answer.
    if (m_now - member->heardAt < directTimeout)
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
        } else if (m_now - suspicion.probedAt >= suspectInterval) {
            suspicion.probedAt = m_now;
            due.push_back(target);
        }
    }
    for (const HostId target : due) {
        probe(target);
        askOthers(target, m_nextSequence - 1);
    }
    for (const HostId target : ended)
        bury(target);
}

void Membership::bury(HostId target)
{
    Member *member = m_members.find(target);
    m_suspicions.erase(target);
    if (!member)
        return;
    setState(*member, MemberState::Dead);
    ++m_deathsFound;
    // Who hears nobody is the one that is cut off, and has no news for others.
    member->isDeathPrivate = !isHearing() || isIsolated();
    if (!member->isDeathPrivate)
        spread(*member);
}

void Membership::push()
{
    if (!m_news.hasUrgent() || m_now - m_pushedAt < pushInterval)
        return;
    m_pushedAt = m_now;
    std::vector<HostId> others = othersInService(HostId(), true);
    if (others.empty())
        return;
    std::sort(others.begin(), others.end());
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(others.size(), pushCount));
    for (const HostId other : others)
        send(other, UpdatePush{ gossipFor(other) });
}

void Membership::forget()
{
    m_members.removeIf([this](const Member &member) {
        return !member.isListed && !member.isInService() && m_now - member.changedAt >= forgetAfter;
    });
}

void Membership::run()
{
    checkPending();
    checkSuspicions();
    if (m_now - m_neighbourAt >= neighbourInterval) {
        m_neighbourAt = m_now;
        probeNeighbour();
    }
    if (m_now - m_memberAt >= memberInterval) {
        m_memberAt = m_now;
        probeMember();
        probeDead();
        forget();
        updateReference();
    }
    push();
}

} // namespace currantreel
