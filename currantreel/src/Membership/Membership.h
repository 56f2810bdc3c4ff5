#ifndef CURRANTREEL_MEMBERSHIP_MEMBERSHIP_H
#define CURRANTREEL_MEMBERSHIP_MEMBERSHIP_H

#include "../Core/Table.h"
#include "../Core/Time.h"
#include "../World/HostIdentity.h"
#include "MembershipMessages.h"
#include "UpdateQueue.h"
#include <map>
#include <random>
#include <variant>
#include <vector>

namespace currantreel {

/// A host as this host sees it.
struct Member
{
    HostId id;
    HostEntry entry;
    MemberVersion version; ///< Incarnation 0: named by a list, not heard from yet.
    MemberState state = MemberState::Alive;
    bool isListed = false; ///< The platform's list names it.
    TimePoint heardAt; ///< Last message from the host itself.
    TimePoint changedAt; ///< Last change of `state`.
    /// Dead in the eyes of this host only, which told nobody; any word from the host revives it.
    bool isDeathPrivate = false;

    /// True for a host that may own backend servers and be asked for grants.
    [[nodiscard]] bool isInService() const
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }
};

/// A message of the membership on its way to another host.
struct OutgoingMembershipMessage
{
    HostId to;
    std::variant<Probe, ProbeAck, ProbeRequest, UpdatePush> message;
};

/// Who is alive, as one host sees it: probes, indirect probes, suspicion with refutation, and gossip.
///
/// Pure: time comes as an argument, randomness from a seed. Suspicion is held by the host that saw the
/// silence, which tells the suspect so that it can refute; only deaths, returns and leavings spread.
class Membership
{
public:
    /// @param self this host, as it introduces itself. @param seed of the probe order.
    Membership(const HostIdentity &self, std::uint64_t seed);

    /// Notes the present time before messages are taken. A jump means that this process was paused:
    /// what it waited for is forgotten and suspicions start again.
    void advance(TimePoint now);

    /// Takes over the platform's list, which may lag.
    void updateList(const std::vector<HostEntry> &hosts);

    void receive(HostId from, const Probe &message);
    void receive(HostId from, const ProbeAck &message);
    void receive(HostId from, const ProbeRequest &message);
    void receive(HostId from, const UpdatePush &message);

    /// Probes, suspects, buries and pushes news.
    void run();

    /// Starts a planned stop: tells that this host leaves.
    void leave();

    /// What the own messages carry of configuration and load besides news of members.
    Gossip &piggyback() { return m_carried; }

    /// Messages to send since the last call.
    [[nodiscard]] std::vector<OutgoingMembershipMessage> takeMessages();
    /// Hosts to which a new connection should be tried, because the present one is silent.
    [[nodiscard]] std::vector<HostId> takeReconnects();

    [[nodiscard]] const Table<Member> &members() const { return m_members; }
    /// Rises with every change of who is in service.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// True for this host and for every other one that is in service.
    [[nodiscard]] bool isInService(HostId host) const;
    /// More than a third of the view is gone: this host is probably the one that is cut off.
    [[nodiscard]] bool isIsolated() const;
    /// Messages of hosts that no list names and nobody introduced.
    [[nodiscard]] std::uint64_t refusedMessages() const { return m_refused; }
    /// Deaths that this host found by its own probes.
    [[nodiscard]] std::uint64_t detectedDeaths() const { return m_deathsFound; }

private:
    struct PendingProbe
    {
        HostId target;
        TimePoint sentAt;
        bool isRepeated = false;
        bool isIndirectSent = false;
        HostId requester; ///< Host that asked for the probe, if any.
        std::uint64_t requesterSequence = 0;
    };
    struct Suspicion
    {
        TimePoint since;
        TimePoint probedAt;
        bool isHalfwaySent = false;
    };

    bool admit(HostId from, const Gossip &gossip);
    void heard(Member &member, const MemberVersion &version, bool isLeaving);
    void takeNews(const MemberUpdate &updates);
    void takeOwnNews(const MemberUpdate &updates);
    void introduce(const Member &introducer, const Introduction &introduction);
    void setState(Member &member, MemberState state);
    void spread(const Member &member);

    void probe(HostId target, HostId requester = {}, std::uint64_t requesterSequence = 0);
    void probeNeighbour();
    void probeMember();
    void probeDead();
    void askOthers(HostId target, std::uint64_t sequence);
    void checkPending();
    void checkSuspicions();
    void suspect(HostId target);
    void bury(HostId target);
    void push();
    void forget();
    [[nodiscard]] std::vector<HostId> neighbours() const;
    [[nodiscard]] std::vector<HostId> othersInService(HostId except, bool isOwnDomain) const;
    [[nodiscard]] std::size_t aliveCount() const;
    [[nodiscard]] bool isHearing() const;
    void updateReference();

    Gossip gossipFor(HostId to);
    std::size_t random(std::size_t bound);
    Duration randomPart(Duration whole);
    template <typename Message>
    void send(HostId to, Message message);

    HostIdentity m_self;
    HostEntry m_selfEntry;
    MemberVersion m_version;
    bool m_isLeaving = false;
    bool m_isStarted = false; ///< The time is known.
    bool m_hasList = false;
    std::mt19937_64 m_random;
    TimePoint m_now;

    Table<Member> m_members;
    std::map<std::uint64_t, PendingProbe> m_pending;
    std::map<HostId, Suspicion> m_suspicions;
    std::vector<HostId> m_order; ///< Rest of the present round of probes, last one first.
    std::size_t m_nextNeighbour = 0;
    std::uint64_t m_nextSequence = 1;
    TimePoint m_neighbourAt;
    TimePoint m_memberAt;
    TimePoint m_pushedAt;
    TimePoint m_ackedAt; ///< Last answer to any probe.

    UpdateQueue m_news;
    Gossip m_carried;
    std::size_t m_loadTurn = 0;
    TimePoint m_loadAt;
    TimePoint m_digestAt;
    std::vector<OutgoingMembershipMessage> m_outgoing;
    std::vector<HostId> m_reconnects;
    std::uint64_t m_revision = 1;
    std::uint64_t m_refused = 0;
    std::uint64_t m_deathsFound = 0;
    std::size_t m_reference = 1; ///< Size of the whole view, by which a drop is judged.
    TimePoint m_lastDeathAt;
};

/// A message that the membership takes.
template <typename Message>
concept MembershipMessage = requires(Membership &membership, HostId from, const Message &message)
{
    membership.receive(from, message);
};

} // namespace currantreel

#endif
