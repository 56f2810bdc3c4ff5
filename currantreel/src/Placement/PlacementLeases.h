#ifndef CURRANTREEL_PLACEMENT_PLACEMENTLEASES_H
#define CURRANTREEL_PLACEMENT_PLACEMENTLEASES_H

#include "EngineGroups.h"
#include "PlacementMessages.h"
#include "PlacementQueue.h"
#include "ServerDirectory.h"
#include "ServerPlacement.h"
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace currantreel {

/// The owner's side of placement: chooses backend servers for requests of other hosts and keeps a
/// lease for each until the request ends, the lease expires, or the host is no longer present.
/// Leases are counted in ForwardServer::others, so that each choice sees all requests at the
/// servers of this owner.
///
/// Avoids herding: hosts that chose independently from stale load reports would all pick the same
/// engines.
class PlacementLeases
{
public:
    /// @param incarnation incarnation of this process; sent with each grant.
    PlacementLeases(ServerDirectory &directory, EngineGroups &groups, Incarnation incarnation);

    /// A message of the run @p process of @p host arrived: leases of an earlier run end, and its queued
    /// requests are withdrawn.
    void recordProcess(HostId host, Incarnation process);

    /// Chooses a server for a request of @p from and leases it. Without capacity, the request is
    /// queued if it may be. A request that is repeated gets the same answer again, unless the
    /// failure domain of its server was evacuated since.
    /// @return a grant without a server if none has capacity.
    [[nodiscard]] PlacementGrant grantRequest(TimePoint now, HostId from,
                                              const PlacementGrantRequest &request);

    /// Grants servers to queued requests that there is capacity for now, in order of importance.
    [[nodiscard]] std::vector<std::pair<HostId, PlacementGrant>> grantQueued(TimePoint now);

    /// Updates or ends leases of @p from, withdraws its queued requests, and records what their requests say about server health.
    void receive(TimePoint now, HostId from, const PlacementUpdates &updates);

    /// Replaces the leases of @p from at the servers of one partition.
    void receive(TimePoint now, HostId from, const ActivePlacements &active);

    /// Ends expired leases and those of hosts for which @p isPresent returns false.
    void run(TimePoint now, const std::function<bool(HostId)> &isPresent);

    [[nodiscard]] std::size_t size() const { return m_leases.size(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    /// Workspaces ahead of their share while others wait, with the number of their requests.
    [[nodiscard]] std::map<WorkspaceId, std::size_t> aheadOfShare() const
    {
        return m_queue.aheadOfShare();
    }

private:
    struct Lease
    {
        ServiceId service;
        std::uint32_t partition = 0; ///< Partition of the service's servers.
        BackendServerId server;
        std::uint32_t uncached = 0; ///< Prompt tokens still to be prefilled.
        std::uint32_t reserved = 0; ///< KV cache tokens reserved.
        std::optional<std::uint64_t> tokensToFirstEvent; ///< Prefilled by then, if known.
        std::uint32_t rank = 0; ///< 0 is the most urgent.
        bool isStreamOfShortPrompt = false;
        TimePoint grantedAt;
        TimePoint expiresAt;
    };
    using Leases = std::map<std::pair<HostId, AttemptId>, Lease>;

    [[nodiscard]] PlacementGrant place(TimePoint now, HostId from,
                                       const PlacementGrantRequest &request);
    [[nodiscard]] PlacementGrant noGrant(const PlacementGrantRequest &request) const;
    [[nodiscard]] PlacementGrant grantOf(AttemptId attempt, const Lease &lease) const;
    void add(std::pair<HostId, AttemptId> id, const Lease &lease);
    void settlePrefill(Lease &lease);
    void recordFirstEvent(TimePoint now, const Lease &lease);
    Leases::iterator remove(Leases::iterator lease);

    ServerDirectory *m_directory;
    EngineGroups *m_groups;
    Incarnation m_incarnation;
    Leases m_leases;
    PlacementQueue m_queue;
    std::map<HostId, Incarnation> m_processes; ///< Of the hosts that are present.
};

} // namespace currantreel

#endif
