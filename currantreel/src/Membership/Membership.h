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

/// Another host in this host's view.
struct Member
{
    HostId id;
    HostEntry entry;
    MemberVersion version; ///< Incarnation 0: named by a list, without any message from it yet.
    MemberState state = MemberState::Alive;
    bool isListed = false; ///< Contained in the platform's host list.
    TimePoint lastMessageAt; ///< Last message from the host itself.
    TimePoint stateChangedAt; ///< Last change of `state`.
    /// Dead in this host's view only, which was not disseminated. Any message from the host revives
    /// it.
    bool isDeathUnannounced = false;

    /// True for a host that may own backend servers and be asked for grants.
    [[nodiscard]] bool isInService() const
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }
};

/// A membership message to another host.
struct OutgoingMembershipMessage
{
    HostId to;
    std::variant<Probe, ProbeAck, ProbeRequest, UpdatePush> message;
};

/// Failure detector in the style of SWIM: probes, indirect probes, suspicion with refutation, and
/// gossip. Holds one host's view of which hosts are alive.
///
/// Does no I/O and reads no clock: the time is passed as an argument, randomness comes from a seed.
/// A suspicion stays with the host whose probes failed, which notifies the suspect so that it can
/// refute; only deaths, returns and planned stops are disseminated.
class Membership
{
public:
    /// @param self identity of this host. @param seed seed of the order of probes.
    Membership(const HostIdentity &self, std::uint64_t seed);

    /// Sets the time for the messages that follow. A step of more than pauseThreshold means that
    /// this process was paused: pending probes are dropped and suspicions restart.
    void advance(TimePoint now);

    /// Takes over the platform's host list. The list may lag: hosts missing in it stay members.
    void updateList(const std::vector<HostEntry> &hosts);

    void receive(HostId from, const Probe &message);
    void receive(HostId from, const ProbeAck &message);
    void receive(HostId from, const ProbeRequest &message);
    void receive(HostId from, const UpdatePush &message);

    /// Sends due probes, handles expired probes and suspicions, and pushes urgent updates.
    void run();

    /// Starts a planned stop: announces that this host leaves.
    void leave();

    /// Configuration and loads that this host's messages carry in addition to updates on members.
    Gossip &piggyback() { return m_piggyback; }

    /// Returns and removes the messages to send.
    [[nodiscard]] std::vector<OutgoingMembershipMessage> takeMessages();
    /// Returns and removes the hosts to reconnect to, as they don't answer on the present
    /// connection.
    [[nodiscard]] std::vector<HostId> takeReconnects();

    [[nodiscard]] const Table<Member> &members() const { return m_members; }
    /// Incremented when a host enters or leaves service, becomes known or restarts.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// True if @p host is in service; for this host, unless it is leaving.
    [[nodiscard]] bool isInService(HostId host) const;
    /// True if more than a third of the view is gone: probably this host itself is cut off.
    [[nodiscard]] bool isIsolated() const;
    /// Number of messages refused since no list names their sender and nobody introduced it.
    [[nodiscard]] std::uint64_t refusedMessages() const { return m_refusedMessages; }
    /// Number of deaths that this host detected by its own probes.
    [[nodiscard]] std::uint64_t detectedDeaths() const { return m_detectedDeaths; }

private:
    struct PendingProbe
    {
        HostId target;
        TimePoint sentAt;
        bool isResent = false;
        bool isIndirectRequested = false;
        HostId requester; ///< Host that requested the probe; invalid if none did.
        std::uint64_t requesterSequence = 0;
    };
    struct Suspicion
    {
        TimePoint since;
        TimePoint probedAt;
        bool isHalfwaySent = false;
    };

    bool processGossip(HostId from, const Gossip &gossip);
    void recordContact(Member &member, const MemberVersion &version, bool isLeaving);
    void applyUpdate(const MemberUpdate &update);
    void refuteAccusation(const MemberUpdate &update);
    void addIntroduced(const Member &introducer, const Introduction &introduction);
    void setState(Member &member, MemberState state);
    void disseminate(const Member &member);

    void probe(HostId target, HostId requester = {}, std::uint64_t requesterSequence = 0);
    void probeNeighbour();
    void probeMember();
    void probeDead();
    void requestIndirectProbes(HostId target, std::uint64_t sequence);
    void checkPending();
    void checkSuspicions();
    void suspect(HostId target);
    void declareDead(HostId target);
    void pushUrgentUpdates();
    void removeExpired();
    [[nodiscard]] std::vector<HostId> neighbours() const;
    [[nodiscard]] std::vector<HostId> aliveMembers(HostId except, bool isOwnDomain) const;
    [[nodiscard]] std::size_t inServiceCount() const;
    [[nodiscard]] bool hasRecentAck() const;
    void updateReferenceSize();

    Gossip gossipFor(HostId to);
    std::size_t random(std::size_t bound);
    Duration randomDuration(Duration limit);
    template <typename Message>
    void send(HostId to, Message message);

    HostIdentity m_self;
    HostEntry m_selfEntry;
    MemberVersion m_version;
    bool m_isLeaving = false;
    bool m_isStarted = false; ///< advance() was called.
    bool m_hasList = false;
    std::mt19937_64 m_random;
    TimePoint m_now;

    Table<Member> m_members;
    std::map<std::uint64_t, PendingProbe> m_pending;
    std::map<HostId, Suspicion> m_suspicions;
    std::vector<HostId> m_probeOrder; ///< Remaining targets of this round of probes, from the back.
    std::size_t m_nextNeighbour = 0;
    std::uint64_t m_nextSequence = 1;
    TimePoint m_neighbourProbedAt;
    TimePoint m_memberProbedAt;
    TimePoint m_pushedAt;
    TimePoint m_lastAckAt; ///< Last answer to any probe.

    UpdateQueue m_updates;
    Gossip m_piggyback;
    std::size_t m_loadTurn = 0;
    TimePoint m_loadsSentAt;
    TimePoint m_digestSentAt;
    std::vector<OutgoingMembershipMessage> m_outgoing;
    std::vector<HostId> m_reconnects;
    std::uint64_t m_revision = 1;
    std::uint64_t m_refusedMessages = 0;
    std::uint64_t m_detectedDeaths = 0;
    std::size_t m_referenceSize = 1; ///< Number of hosts in service before recent deaths.
    TimePoint m_lastDeathAt;
};

/// A message type that Membership receives.
template <typename Message>
concept MembershipMessage = requires(Membership &membership, HostId from, const Message &message)
{
    membership.receive(from, message);
};

} // namespace currantreel

#endif
