#ifndef CURRANTREEL_FLEET_FLEETSYSTEM_H
#define CURRANTREEL_FLEET_FLEETSYSTEM_H

#include "../Core/Time.h"
#include "FleetMessages.h"
#include <map>
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

/// The other hosts as this one knows them: found through seeds and through each other, each alive while
/// its heartbeat rises, and how far each has read what the platform publishes.
///
/// Heartbeats travel from host to host, so that a few messages a second are enough for any number of
/// hosts. Some hosts of a failure domain read the platform. News of a change travels at once to some
/// hosts, which fetch it and tell others. Pure: time comes as an argument.
class FleetSystem
{
public:
    /// @param self where other hosts reach this one. @param heartbeat first of this process, higher
    /// than those of the process before. @param seed of random draws.
    FleetSystem(const Address &self, std::uint64_t heartbeat, std::uint64_t seed);

    /// Takes the addresses at which some hosts can be reached.
    void setSeeds(const std::vector<Address> &seeds);

    void receive(TimePoint now, HostId from, const FleetUpdate &news);
    /// Answers with what @p state has above the revision that was asked for.
    void receive(HostId from, const PublishedRequest &request, const PublishedState &state);
    /// Items that were asked for arrived.
    void onItemsReceived() { m_fetchUntil = TimePoint(); }

    /// Messages that are due.
    [[nodiscard]] std::vector<OutgoingFleetMessage> run(TimePoint now, const FleetHost &self,
                                                        const PublishedState &state);

    /// Whether this host has to read the platform itself: few hosts of its failure domain do, or it
    /// hears nobody.
    [[nodiscard]] bool mustWatchPlatform(TimePoint now) const;

    /// Owner of part @p part of the backend servers of @p service: the same for all
    /// hosts that know the same others. Invalid if it is this host.
    [[nodiscard]] HostId ownerOf(TimePoint now, ServiceId service, std::size_t part) const;
    /// the owner @p host did not answer: others are asked for a while.
    /// @return false if it is passed over already.
    bool exclude(TimePoint now, HostId host);

    /// Where @p host takes peers; empty if it is not known.
    [[nodiscard]] Address addressOf(HostId host) const;

    /// Hosts that count in shares of common bounds, this one included: those heard of within a minute.
    [[nodiscard]] std::size_t hostsSharingLimits(TimePoint now) const;

    /// Other hosts whose heartbeat rose within the last seconds.
    [[nodiscard]] std::size_t presentHostCount(TimePoint now) const;
    /// Whether the heartbeat of @p host rose within the last seconds.
    [[nodiscard]] bool isPresent(TimePoint now, HostId host) const;

    /// Identifier of the host at @p peers.
    [[nodiscard]] static HostId idOf(const Address &peerAddress);

private:
    struct Host
    {
        FleetHost known;
        std::uint64_t revision = 0; ///< As it last told.
        TimePoint aliveAt; ///< When its heartbeat last rose here.
        TimePoint namedAt; ///< When it was last named by a seed list or another host.
        TimePoint behindSince; ///< When this host was first behind it; the origin if it is not.
        TimePoint passedOverUntil;
        Duration passedOverFor{}; ///< Last time; zero once it is heard again.
        bool isAlive = false; ///< Its heartbeat rose since it was met.
        bool isSeed = false;
    };

    void meet(TimePoint now, const Address &address, bool isSeed);
    void take(TimePoint now, const FleetHost &news);
    void beat(TimePoint now, Host &host, const FleetHost &news);
    [[nodiscard]] std::vector<HostId> present(TimePoint now) const;
    [[nodiscard]] std::vector<HostId> recipients(TimePoint now);
    [[nodiscard]] FleetUpdate newsOf(const PublishedState &state) const;
    void addHosts(TimePoint now, FleetUpdate &news);
    void send(HostId to, FleetUpdate message);
    void tellChange(TimePoint now, const PublishedState &state);
    void fetch(TimePoint now, const PublishedState &state);
    void forget(TimePoint now);
    [[nodiscard]] bool isPresent(const Host &host, TimePoint now) const;

    Address m_self;
    HostId m_id;
    FleetHost m_told; ///< What this host tells of itself.
    std::uint64_t m_heartbeat;
    mutable std::mt19937_64 m_random;
    std::map<HostId, Host> m_hosts;
    std::vector<OutgoingFleetMessage> m_outgoing;
    std::uint64_t m_toldRevision = 0; ///< Of the published state, as last told at once.
    TimePoint m_changeToldAt;
    std::optional<TimePoint>
        m_platformAt; ///< When the platform last confirmed the state to anybody.
    TimePoint m_newsAt; ///< Last own word of any other host.
    TimePoint m_nextNewsAt;
    TimePoint m_nextProbeAt;
    TimePoint m_fetchUntil; ///< A request for items is on its way until then.
    TimePoint m_startedAt;
    bool m_isStarted = false;
};

} // namespace currantreel

#endif
