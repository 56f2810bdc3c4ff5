#ifndef CURRANTREEL_FORWARD_PLACEMENTLEASES_H
#define CURRANTREEL_FORWARD_PLACEMENTLEASES_H

#include "EngineGroups.h"
#include "PlacementMessages.h"
#include "ServerDirectory.h"
#include "ServerPlacement.h"
#include <functional>
#include <map>
#include <utility>

namespace currantreel {

/// The owner's side of placing: chooses backend servers for requests of other hosts, and keeps a lease
/// for each until it ends, its time is over, or its host is gone. The leases count as work of others in
/// the directory, so that the choice sees all requests at the servers of this owner.
///
/// Answers for many hosts that send to the same engines, and that would choose alike from old news.
class PlacementLeases
{
public:
    /// @param incarnation of this process, which its grants carry.
    PlacementLeases(ServerDirectory &directory, EngineGroups &groups, Incarnation incarnation);

    /// Chooses a server for a request of @p from.
    [[nodiscard]] PlacementGrant grantRequest(TimePoint now, HostId from,
                                              const PlacementGrantRequest &grantRequest);

    void receive(TimePoint now, HostId from, const PlacementUpdates &updates);

    /// Replaces the leases of @p from at the servers of a service.
    void receive(TimePoint now, HostId from, const ActivePlacements &reserved);

    /// Ends leases whose time is over, and those of hosts for which @p isPresent is false.
    void run(TimePoint now, const std::function<bool(HostId)> &isPresent);

    [[nodiscard]] std::size_t size() const { return m_leases.size(); }

private:
    struct Lease
    {
        ServiceId service;
        std::uint32_t partition = 0; ///< Of the servers of the service.
        BackendServerId server;
        std::uint32_t uncached = 0;
        std::uint32_t reserved = 0;
        bool isStreamOfShortPrompt = false;
        TimePoint grantedAt;
        TimePoint expiresAt;
    };
    using Leases = std::map<std::pair<HostId, AttemptId>, Lease>;

    void add(std::pair<HostId, AttemptId> id, const Lease &lease);
    void settleRead(Lease &lease);
    Leases::iterator remove(Leases::iterator lease);

    ServerDirectory *m_directory;
    EngineGroups *m_groups;
    Incarnation m_incarnation;
    Leases m_leases;
};

} // namespace currantreel

#endif
