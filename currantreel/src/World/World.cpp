#include "World.h"

#include "Timing.h"

namespace currantreel {

template <RoutingPolicy Policy>
BasicWorld<Policy>::BasicWorld(HostIdentity self, const KeySecret &secret)
    : m_entry(self.incarnation),
      m_keys(self, secret),
      m_configuration(self),
      m_membership(self, self.id.value ^ self.incarnation.value)
{
    m_context.self = std::move(self);
    if constexpr (Policy::grantAuthority == GrantAuthority::Entry)
        m_context.ownership.grantLocally();
}

template <RoutingPolicy Policy>
const EffectList &BasicWorld<Policy>::step(TimePoint now, std::span<const Event> events)
{
    m_context.isAfterPause = m_hasStepped && now - m_context.now > timing::leasePeriod;
    m_hasStepped = true;
    m_context.now = now;
    m_context.effects.clear();
    m_membership.advance(now);
    for (const Event &event : events) {
        std::visit([this](const auto &one) { this->apply(one); }, event);
        deliver();
    }
    runMembership();
    m_configuration.run(m_context);
    updateOwnership();
    tellLoads();
    deliver();
    m_entry.run(m_context, m_counters, m_keys);
    deliver();
    m_owner.run(m_context, m_counters);
    deliver();
    m_keys.run(m_context);
    reportStop();
    return m_context.effects;
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::deliver()
{
    while (!m_context.outbox.empty()) {
        const OutgoingMessage outgoing = std::move(m_context.outbox.front());
        m_context.outbox.pop_front();
        if (outgoing.to == m_context.self.id)
            std::visit([&](const auto &one) { this->receive(m_context.self.id, one); },
                       outgoing.message);
        else
            sendToPeer(outgoing);
    }
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::sendToPeer(const OutgoingMessage &outgoing)
{
    const Member *member = m_membership.members().find(outgoing.to);
    if (member)
        m_context.emit(SendPeer{ member->id, member->entry.peerAddress, outgoing.message });
}

template <RoutingPolicy Policy>
template <MembershipMessage Message>
void BasicWorld<Policy>::receive(HostId from, const Message &message)
{
    m_counters.controlBytesReceived += wireSize(message);
    m_membership.receive(from, message);
    if (!m_membership.members().find(from))
        return;
    for (const TargetLoad &load : message.gossip.ownLoads)
        m_context.router.recordLoad(m_context.now, from, load);
    for (const DomainLoad &load : message.gossip.domainLoads)
        m_context.router.recordLoad(m_context.now, load);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::updateOwnership()
{
    const bool isChanged = m_context.ownership.update(m_context.now, m_context.self, m_membership,
                                                      *m_context.configuration);
    if (isChanged) {
        m_context.router.update(m_context.self, m_context.ownership, *m_context.configuration);
        m_owner.configure(m_context);
    }
    // At every tick: another owner may become known only after this host has given up the servers.
    m_owner.redirectUnowned(m_context);
    reportLostHosts();
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::reportLostHosts()
{
    if (m_reportedRevision == m_membership.revision())
        return;
    m_reportedRevision = m_membership.revision();
    std::map<HostId, Incarnation> present;
    for (const Member &member : m_membership.members()) {
        if (member.isInService())
            present[member.id] = member.version.incarnation;
    }
    for (const auto &[host, incarnation] : m_present) {
        const auto now = present.find(host);
        const bool isRestarted =
            now != present.end() && incarnation.isValid() && now->second != incarnation;
        // A queue does not survive its host.
        if (now == present.end() || isRestarted)
            m_entry.onHostLost(m_context, host);
    }
    m_present = std::move(present);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::tellLoads()
{
    if (m_context.now - m_loadsAt < timing::loadReportInterval)
        return;
    m_loadsAt = m_context.now;
    Gossip &piggyback = m_membership.piggyback();
    piggyback.ownLoads = m_owner.loads();
    for (const TargetLoad &load : piggyback.ownLoads)
        m_context.router.recordLoad(m_context.now, m_context.self.id, load);
    piggyback.domainLoads = m_context.router.ownDomainLoads(m_context.now);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::sendMembership(const OutgoingMembershipMessage &outgoing)
{
    const Member *member = m_membership.members().find(outgoing.to);
    if (!member)
        return;
    std::visit(
        [&](const auto &message) {
            m_counters.controlBytesSent += wireSize(message);
            m_context.emit(SendPeer{ member->id, member->entry.peerAddress, message });
        },
        outgoing.message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::runMembership()
{
    m_membership.piggyback().configuration =
        ConfigurationSummary{ m_context.configuration->version, m_context.configuration->digest };
    m_membership.run();
    syncHosts();
    for (const OutgoingMembershipMessage &outgoing : m_membership.takeMessages())
        sendMembership(outgoing);
    for (const HostId silent : m_membership.takeReconnects()) {
        const HostEntry *host = m_context.hosts.find(silent);
        if (!host)
            continue;
        ++m_counters.reconnects;
        m_context.emit(ReconnectPeer{ host->id, host->peerAddress });
    }
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::syncHosts()
{
    if (m_syncedRevision == m_membership.revision())
        return;
    m_syncedRevision = m_membership.revision();
    m_context.hosts.removeIf([this](const HostEntry &host) {
        const Member *member = m_membership.members().find(host.id);
        return !member || member->state == MemberState::Dead;
    });
    for (const Member &member : m_membership.members()) {
        if (member.state == MemberState::Dead)
            continue;
        HostEntry &host = m_context.hosts.insert(member.entry);
        host.liveness = member.isInService() ? Liveness::Live : Liveness::Leaving;
    }
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::reportStop()
{
    if (!m_isStopping || m_isStopReported || m_entry.size() > 0)
        return;
    m_isStopReported = true;
    m_context.emit(StopCompleted{});
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const RequestArrived &event)
{
    m_entry.onArrived(m_context, m_counters, m_keys, event, m_isStopping);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const KeyRequested &event)
{
    if (m_isStopping) {
        m_context.emit(RefuseRequest{ event.request, ResultCode::Stopping, Outcome::NotRun, {} });
        return;
    }
    m_context.emit(KeyIssued{ event.request, m_keys.issue(m_context) });
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const KeyStateQueried &event)
{
    m_keys.onStateQueried(m_context, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const CallerDisconnected &event)
{
    m_entry.onCallerDisconnected(m_context, m_counters, m_keys, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const AttemptHead &event)
{
    m_entry.onHead(m_context, m_counters, m_keys, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const AttemptTokens &event)
{
    m_entry.onTokens(m_context, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const AttemptDone &event)
{
    m_entry.onDone(m_context, m_counters, m_keys, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const AttemptFailed &event)
{
    m_entry.onFailed(m_context, m_counters, m_keys, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const ForwardFailed &event)
{
    m_entry.onForwardEnded(m_context, event.request, false);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const ForwardDone &event)
{
    m_entry.onForwardEnded(m_context, event.request, true);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const ConfigurationRead &event)
{
    if (event.configuration->version <= m_context.configuration->version)
        return;
    m_context.configuration = event.configuration;
    m_configuration.skipCatchUp();
    updateOwnership();
    m_context.emit(ConfigurationActivated{ event.configuration->version });
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const HostListRead &event)
{
    m_hasHostList = true;
    m_membership.updateList(event.hosts);
    syncHosts();
    m_owner.updateLiveness(event.backendServers);
    m_loadsAt = TimePoint();
    tellLoads();
    m_owner.redirectUnowned(m_context);
    m_configuration.onHostList(m_context, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const PlatformValue &event)
{
    m_configuration.onValue(m_context, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const PlatformUnreachable &event)
{
    m_configuration.onUnreachable(m_context, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const PeerMessageReceived &event)
{
    std::visit([&](const auto &one) { this->receive(event.from, one); }, event.message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const StopRequested & /*event*/)
{
    m_isStopping = true;
    m_membership.leave();
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId /*from*/, const GrantRequest &message)
{
    m_owner.onRequest(m_context, m_counters, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const Granted &message)
{
    m_entry.onGranted(m_context, m_counters, m_keys, from, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const GrantShed &message)
{
    m_entry.onShed(m_context, m_counters, m_keys, from, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId /*from*/, const LeasePreempted &message)
{
    m_entry.onPreempted(m_context, m_counters, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId /*from*/, const GrantWithdrawn &message)
{
    m_owner.onWithdrawn(message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId /*from*/, const LeaseReleased &message)
{
    m_owner.onReleased(m_context, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId /*from*/, const LeaseRenewal &message)
{
    m_owner.onRenewal(m_context, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const ConfigurationAnnounce &message)
{
    m_configuration.receive(m_context, from, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const PatchRequest &message)
{
    m_configuration.receive(m_context, from, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const PatchBatch &message)
{
    m_configuration.receive(m_context, from, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const SnapshotRequest &message)
{
    m_configuration.receive(m_context, from, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const SnapshotPart &message)
{
    m_configuration.receive(m_context, from, message);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId /*from*/, const LeavingServers &message)
{
    std::vector<BackendServerEntry> entries;
    for (const BackendServerId id : message.servers)
        entries.push_back({ id, Liveness::Leaving });
    m_owner.updateLiveness(entries);
    m_loadsAt = TimePoint();
    tellLoads();
    m_owner.redirectUnowned(m_context);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::receive(HostId from, const GrantMoved &message)
{
    m_entry.onMoved(m_context, from, message);
}

template class BasicWorld<TieredPolicy>;
template class BasicWorld<FifoPolicy>;
template class BasicWorld<RoundRobinPolicy>;
template class BasicWorld<ReportedLoadPolicy>;
template class BasicWorld<NoOwnerPolicy>;

} // namespace currantreel
