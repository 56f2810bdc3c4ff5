#ifndef CURRANTREEL_FLEET_FLEETSYSTEM_H
#define CURRANTREEL_FLEET_FLEETSYSTEM_H

#include "../Core/Time.h"
#include "FleetMessages.h"
#include <map>
#include <random>
#include <variant>
#include <vector>

namespace currantreel {

/// A message to another host.
struct FleetOutgoing
{
    HostId to;
    Address address;
    std::variant<FleetNews, PublishedNews> message;
};

/// What this host tells of itself.
struct FleetSelf
{
    std::uint64_t revision = 0;
    bool readsPlatform = false;
    bool isLeaving = false;
    std::vector<FleetLoad> loads;
    std::vector<FleetDemand> demands;
};

/// The other hosts as this one knows them: found through seeds and through each other, each telling its
/// work at the backend servers and how far it has read what the platform publishes.
///
/// A host that the platform does not answer, or that stays behind the others, gets published items from
/// those that have them. The bytes
/// sent in a second are bounded, whatever the number of hosts. Pure: time comes as an argument.
class FleetSystem
{
public:
    /// @param self where other hosts reach this one. @param seed of random draws.
    FleetSystem(const Address &self, std::uint64_t seed);

    /// Takes the addresses at which some hosts can be reached.
    void setSeeds(const std::vector<Address> &seeds);

    void receive(TimePoint now, HostId from, const FleetNews &news);

    /// Messages that are due. @param state published items, for hosts that are behind.
    [[nodiscard]] std::vector<FleetOutgoing> run(TimePoint now, const FleetSelf &self,
                                                 const PublishedState &state);

    /// Work of all other hosts that were heard lately, by backend server.
    [[nodiscard]] std::map<BackendServerId, ServerLoad> othersLoads(TimePoint now) const;

    /// Recent work of all other hosts that were heard lately, by service.
    [[nodiscard]] std::map<ServiceId, EngineDemand> othersDemands(TimePoint now) const;

    /// Hosts that count in shares of common bounds, this one included: those heard of within a minute.
    [[nodiscard]] std::size_t countedHosts(TimePoint now) const;

    /// Other hosts heard within the last seconds.
    [[nodiscard]] std::size_t presentHosts(TimePoint now) const;

    /// Identifier of the host at @p peers.
    [[nodiscard]] static HostId idOf(const Address &peers);

private:
    struct Host
    {
        Address address;
        FleetNews news;
        TimePoint heardAt;
        TimePoint namedAt; ///< When it was last named by a seed list or another host.
        TimePoint sentItemsAt;
        std::uint64_t sentRevision = 0; ///< Up to which it was sent published items.
        bool isHeard = false;
        bool isSeed = false;
    };

    void meet(TimePoint now, const Address &address, bool isSeed);
    [[nodiscard]] std::vector<HostId> recipients(TimePoint now);
    [[nodiscard]] FleetNews newsOf(const FleetSelf &self, TimePoint now);
    [[nodiscard]] bool isBehind(const Host &host, TimePoint now, std::uint64_t revision) const;
    void sendItems(TimePoint now, const PublishedState &state,
                   std::vector<FleetOutgoing> &outgoing);
    [[nodiscard]] bool isPresent(const Host &host, TimePoint now) const;

    Address m_self;
    std::mt19937_64 m_random;
    std::map<HostId, Host> m_hosts;
    std::uint64_t m_revision = 0; ///< Of the published state, as last seen.
    TimePoint m_revisionAt; ///< When it rose.
    TimePoint m_nextNewsAt;
    TimePoint m_nextProbeAt;
    bool m_isStarted = false;
};

} // namespace currantreel

#endif
