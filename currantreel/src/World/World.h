#ifndef CURRANTREEL_WORLD_WORLD_H
#define CURRANTREEL_WORLD_WORLD_H

#include "../Membership/Membership.h"
#include "ConfigurationSystem.h"
#include "Counters.h"
#include "Effect.h"
#include "EntrySystem.h"
#include "Event.h"
#include "KeySystem.h"
#include "OwnerSystem.h"
#include "StepContext.h"
#include <span>

namespace currantreel {

/// State machine of one host. It opens no socket and reads no clock, so the same events at the same
/// times produce the same effects.
/// @tparam Policy selects the next request to grant and its backend server.
template <RoutingPolicy Policy>
class BasicWorld
{
public:
    BasicWorld(HostIdentity self, const KeySecret &secret);

    /// Processes @p events in order, runs every system once and returns the resulting effects. The
    /// list is valid until the next call.
    const EffectList &step(TimePoint now, std::span<const Event> events);

    [[nodiscard]] const HostIdentity &self() const { return m_context.self; }
    [[nodiscard]] const Configuration &configuration() const { return *m_context.configuration; }
    [[nodiscard]] const Counters &counters() const { return m_counters; }
    [[nodiscard]] const OwnerSystem<Policy> &owner() const { return m_owner; }
    [[nodiscard]] const ConfigurationSystem &configurationSystem() const { return m_configuration; }
    [[nodiscard]] std::size_t requestsInProgress() const { return m_entry.size(); }
    [[nodiscard]] std::size_t keysInUse() const { return m_keys.size(); }
    [[nodiscard]] const Ownership &ownership() const { return m_context.ownership; }
    [[nodiscard]] const Membership &membership() const { return m_membership; }
    [[nodiscard]] bool isStopping() const { return m_isStopping; }
    /// True if @p host is in the list of hosts.
    [[nodiscard]] bool isHostKnown(HostId host) const
    {
        return m_context.hosts.find(host) != nullptr;
    }
    /// True if the host accepts callers: its configuration is current, the host list is known and
    /// no shutdown is in progress.
    [[nodiscard]] bool isReady() const
    {
        return m_context.configuration->version > 0 && m_configuration.isCaughtUp() && m_hasHostList
               && !m_isStopping;
    }

private:
    void apply(const RequestArrived &event);
    void apply(const KeyRequested &event);
    void apply(const KeyStateQueried &event);
    void apply(const CallerDisconnected &event);
    void apply(const AttemptHead &event);
    void apply(const AttemptTokens &event);
    void apply(const AttemptDone &event);
    void apply(const AttemptFailed &event);
    void apply(const ForwardFailed &event);
    void apply(const ForwardDone &event);
    void apply(const ConfigurationRead &event);
    void apply(const PlatformValue &event);
    void apply(const PlatformUnreachable &event);
    void apply(const HostListRead &event);
    void apply(const PeerMessageReceived &event);
    void apply(const StopRequested &event);

    void receive(HostId from, const GrantRequest &message);
    void receive(HostId from, const Granted &message);
    void receive(HostId from, const GrantShed &message);
    void receive(HostId from, const LeasePreempted &message);
    void receive(HostId from, const GrantWithdrawn &message);
    void receive(HostId from, const LeaseReleased &message);
    void receive(HostId from, const LeaseRenewal &message);
    void receive(HostId from, const ConfigurationAnnounce &message);
    void receive(HostId from, const PatchRequest &message);
    void receive(HostId from, const PatchBatch &message);
    void receive(HostId from, const SnapshotRequest &message);
    void receive(HostId from, const SnapshotChunk &message);
    void receive(HostId from, const LeavingServers &message);
    void receive(HostId from, const GrantMoved &message);
    // Messages between hosts that serve published routes. The model interface ignores them.
    void receive(HostId /*from*/, const FleetUpdate & /*message*/) { }
    void receive(HostId /*from*/, const PublishedUpdate & /*message*/) { }
    void receive(HostId /*from*/, const PublishedRequest & /*message*/) { }
    void receive(HostId /*from*/, const PlacementGrantRequest & /*message*/) { }
    void receive(HostId /*from*/, const PlacementGrant & /*message*/) { }
    void receive(HostId /*from*/, const PlacementUpdates & /*message*/) { }
    void receive(HostId /*from*/, const ActivePlacements & /*message*/) { }
    void receive(HostId /*from*/, const SegmentReports & /*message*/) { }
    template <MembershipMessage Message>
    void receive(HostId from, const Message &message);

    void runMembership();
    void sendMembership(const OutgoingMembershipMessage &outgoing);
    void syncHosts();
    /// Updates which host owns which servers, and redirects queued requests for servers that this
    /// host no longer owns.
    void updateOwnership();
    /// Requests new grants for what is queued at hosts that are gone or have restarted.
    void reportLostHosts();
    void reportLoads();
    void deliver();
    void sendToPeer(const OutgoingMessage &outgoing);
    void reportStop();

    StepContext m_context;
    Counters m_counters;
    EntrySystem m_entry;
    OwnerSystem<Policy> m_owner;
    KeySystem m_keys;
    ConfigurationSystem m_configuration;
    Membership m_membership;
    /// Hosts in service when lost hosts were last looked for.
    std::map<HostId, Incarnation> m_hostsInService;
    std::uint64_t m_checkedRevision = 0; ///< Membership revision at that time.
    TimePoint m_loadsReportedAt;
    std::uint64_t m_syncedRevision = 0; ///< Membership revision that the hosts table reflects.
    bool m_hasHostList = false;
    bool m_hasStepped = false;
    bool m_isStopping = false;
    bool m_isStopReported = false;
};

extern template class BasicWorld<TieredPolicy>;
extern template class BasicWorld<FifoPolicy>;
extern template class BasicWorld<RoundRobinPolicy>;
extern template class BasicWorld<ReportedLoadPolicy>;
extern template class BasicWorld<NoOwnerPolicy>;

/// The world with the router's own policy, as the daemon runs it.
using World = BasicWorld<TieredPolicy>;

} // namespace currantreel

#endif
