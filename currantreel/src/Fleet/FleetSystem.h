#ifndef CURRANTREEL_FLEET_FLEETSYSTEM_H
#define CURRANTREEL_FLEET_FLEETSYSTEM_H

#include "../Core/Time.h"
#include "FleetMessages.h"
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <variant>
#include <vector>

namespace currantreel {

/// A message to another host.
struct OutgoingFleetMessage
{
    HostId to;
    Address address;
    std::variant<FleetUpdate, PublishedRequest, PublishedUpdate> message;
};

/// What became of the requests for published items.
struct FleetCounters
{
    std::uint64_t itemRequests = 0;
    std::uint64_t itemRequestsUnanswered = 0; ///< Of these, without an answer in time.
    /// Answers of hosts that may lack a record of a removal, so that this one is still behind.
    std::uint64_t itemAnswersWithGaps = 0;
    HostId lastUnanswered; ///< Host that left the last unanswered request without an answer.
};

/// Tracks the other hosts of a deployment. Hosts are discovered through seed addresses and through
/// each other. A host is present while its heartbeat rises, and reports up to which revision it has
/// the state that the platform publishes.
///
/// Hosts relay each other's heartbeats, so that a few messages a second are enough for any number
/// of hosts. Only some hosts of a failure domain watch the platform. A change is announced at once
/// to some hosts, which request the changed items and announce it in turn. So is a later
/// confirmation that nothing changed, less often. Does no I/O and reads no clock: the time is passed
/// as an argument.
class FleetSystem
{
public:
    /// @param self address at which other hosts reach this one.
    /// @param heartbeat first heartbeat of this process, higher than those of the previous process.
    /// @param seed seed of the random number generator.
    FleetSystem(const Address &self, std::uint64_t heartbeat, std::uint64_t seed);

    /// Replaces the seeds: the addresses at which some hosts can be reached.
    void setSeeds(const std::vector<Address> &seeds);

    /// Sets the time within which published changes have to be in force on all hosts.
    void setChangeBound(Duration bound) { m_changeBound = bound; }

    /// Sets what updates tell of the prompt segments that this host quarantines.
    void setQuarantineDigest(std::uint64_t digest) { m_quarantineDigest = digest; }

    /// Takes over what another host reports. Ignored unless it names @p from as its sender.
    void receive(TimePoint now, HostId from, const FleetUpdate &update, PublishedState &state);
    /// Queues an answer with the items of @p state above the requested revision.
    void receive(TimePoint now, HostId from, const PublishedRequest &request,
                 const PublishedState &state);
    /// Applies requested items to @p state, so that further ones may be requested. Returns those that
    /// took effect.
    std::vector<PublishedItem> receive(TimePoint now, HostId from, const PublishedUpdate &update,
                                       PublishedState &state);

    /// Returns the messages that are due. @param self this host as it describes itself to others.
    [[nodiscard]] std::vector<OutgoingFleetMessage> run(TimePoint now, const FleetHost &self,
                                                        const PublishedState &state);

    /// True if this host has to watch the platform itself: too few other hosts of its failure
    /// domain do, or it receives updates from nobody.
    [[nodiscard]] bool mustWatchPlatform(TimePoint now) const;

    /// True if @p state was not confirmed for so long that this host has to ask the platform itself
    /// to keep the bound for changes.
    [[nodiscard]] bool mustCheckPlatform(TimePoint now, const PublishedState &state) const;

    /// Owner of partition @p partition of the backend servers of @p service: the same on all hosts
    /// that know the same others. Invalid if it is this host.
    [[nodiscard]] HostId ownerOf(TimePoint now, ServiceId service, std::size_t partition) const;
    /// Whether no present host ranks before this one as owner of the partition. Unlike ownerOf(), an
    /// owner that did not answer counts, since it may still answer other hosts.
    [[nodiscard]] bool isFirstOwner(TimePoint now, ServiceId service, std::size_t partition) const;
    /// Number of known hosts, present or not, that come before this one in an order determined by
    /// @p key, the same on all hosts that know the same others.
    [[nodiscard]] std::size_t rankOfSelf(std::uint64_t key) const;
    /// Number of known hosts, present or not, this one included.
    [[nodiscard]] std::size_t knownHosts() const { return m_hosts.size() + 1; }
    /// Excludes @p host, which did not answer as an owner, from ownership for a while. The time
    /// doubles with each exclusion until the host is heard from again.
    /// @return false if it is unknown or excluded already.
    bool exclude(TimePoint now, HostId host);

    /// Hosts to which a change is announced at once, drawn anew each time but for the next ones in
    /// the order of the identifiers.
    [[nodiscard]] std::vector<HostId> changeRecipients(TimePoint now) const;

    /// Address at which @p host accepts peers; empty if the host is unknown.
    [[nodiscard]] Address addressOf(HostId host) const;

    /// Number of hosts that share deployment-wide limits, this one included: those never heard from
    /// and those whose heartbeat rose within the last minute.
    [[nodiscard]] std::size_t hostsSharingLimits(TimePoint now) const;

    /// Number of other hosts whose heartbeat rose within the last seconds.
    [[nodiscard]] std::size_t presentHostCount(TimePoint now) const;
    /// True if the heartbeat of @p host rose within the last seconds.
    [[nodiscard]] bool isPresent(TimePoint now, HostId host) const;

    [[nodiscard]] const FleetCounters &counters() const { return m_counters; }

    /// For how long this host has known, as of the last run(), that its published state is older
    /// than that of another host.
    [[nodiscard]] Duration timeBehind(TimePoint now) const
    {
        return m_behindSince ? now - *m_behindSince : Duration::zero();
    }

    /// Identifier of the host that accepts peers at @p peerAddress.
    [[nodiscard]] static HostId idOf(const Address &peerAddress);

private:
    struct Host
    {
        FleetHost description;
        PublishedRevision revision; ///< Of the published state, as the host last reported it.
        TimePoint heartbeatAt; ///< When its heartbeat last rose here.
        TimePoint listedAt; ///< When a seed list or another host last named it.
        TimePoint aheadSince; ///< Since when its revision is above this host's; else the origin.
        /// Own revision at which its changes could not be taken over, if that was so.
        std::optional<PublishedRevision> unfollowableAt;
        TimePoint excludedUntil;
        Duration exclusion{}; ///< Length of the last exclusion; zero after its next update.
        bool hasHeartbeat = false; ///< Its heartbeat rose since this host learned of it.
        bool isSeed = false;
    };

    void addHost(TimePoint now, const Address &address, bool isSeed);
    void merge(TimePoint now, const FleetHost &description);
    void recordHeartbeat(TimePoint now, Host &host, const FleetHost &description);
    [[nodiscard]] std::vector<HostId> shuffledPresentHosts(TimePoint now) const;
    [[nodiscard]] std::vector<HostId> selectRecipients(TimePoint now);
    /// Up to @p count present hosts: the next ones in the order of the identifiers, up to
    /// @p successorCount of them, and others at random.
    [[nodiscard]] std::vector<HostId> selectHosts(TimePoint now, std::size_t count,
                                                  std::size_t successorCount) const;
    /// Up to @p count present hosts that are next in the order of the identifiers.
    [[nodiscard]] std::vector<HostId> successors(TimePoint now, std::size_t count) const;
    [[nodiscard]] FleetUpdate makeUpdate(TimePoint now, const PublishedState &state) const;
    void addHosts(TimePoint now, FleetUpdate &update);
    void send(HostId to, FleetUpdate message);
    /// Takes over that the state at @p revision was up to date @p age ago, if @p state includes it
    /// and is of the same era.
    static void confirm(TimePoint now, PublishedRevision revision, Duration age,
                        PublishedState &state);
    void announceChange(TimePoint now, const PublishedState &state);
    void requestItems(TimePoint now, const PublishedState &state);
    [[nodiscard]] std::vector<HostId> hostsAhead(TimePoint now, const PublishedState &state);
    void onUnfollowable(TimePoint now, Host &host, const PublishedState &state);
    void countUnanswered();
    void removeExpired(TimePoint now);
    [[nodiscard]] bool isPresent(const Host &host, TimePoint now) const;

    Address m_self;
    HostId m_id;
    FleetHost m_description; ///< This host as it describes itself to others.
    std::uint64_t m_heartbeat;
    mutable std::mt19937_64 m_random;
    std::map<HostId, Host> m_hosts;
    std::vector<OutgoingFleetMessage> m_outgoing;
    PublishedRevision m_announcedRevision; ///< Of the published state, as last announced at once.
    TimePoint m_announcedConfirmation; ///< Of the published state, as last announced at once.
    TimePoint m_changeAnnouncedAt;
    Duration m_changeBound = std::chrono::seconds(2);
    TimePoint m_lastUpdateAt; ///< When another host's own update last arrived.
    TimePoint m_nextUpdateAt;
    TimePoint m_nextProbeAt;
    TimePoint m_requestPendingUntil; ///< End of the wait for requested items.
    HostId m_requestedFrom; ///< Host whose answer with items is pending; invalid if none.
    std::optional<TimePoint> m_behindSince; ///< Since when another host's state is newer.
    FleetCounters m_counters;
    std::uint64_t m_quarantineDigest = 0;
    TimePoint m_startedAt;
    bool m_isStarted = false;
};

} // namespace currantreel

#endif
