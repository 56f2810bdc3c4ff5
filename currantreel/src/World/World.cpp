#include "World.h"

#include "Timing.h"

namespace currantreel {

template <RoutingPolicy Policy>
BasicWorld<Policy>::BasicWorld(HostIdentity self, const KeySecret &secret)
    : m_entry(self.incarnation), m_keys(self, secret), m_configuration(self)
{
    m_context.self = std::move(self);
}

template <RoutingPolicy Policy>
const EffectList &BasicWorld<Policy>::step(TimePoint now, std::span<const Event> events)
{
    m_context.isAfterPause = m_hasStepped && now - m_context.now > timing::leasePeriod;
    m_hasStepped = true;
    m_context.now = now;
    m_context.effects.clear();
    for (const Event &event : events) {
        std::visit([this](const auto &one) { this->apply(one); }, event);
        deliver();
    }
    if (m_configuration.run(m_context))
        m_owner.configure(m_context);
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
    if (const HostEntry *host = m_context.hosts.find(outgoing.to))
        m_context.emit(SendPeer{ host->id, host->peers, outgoing.message });
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
void BasicWorld<Policy>::apply(const KeyStateAsked &event)
{
    m_keys.onStateAsked(m_context, event);
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const CallerLeft &event)
{
    m_entry.onCallerLeft(m_context, m_counters, m_keys, event);
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
    m_owner.configure(m_context);
    m_context.emit(ConfigurationInForce{ event.configuration->version });
}

template <RoutingPolicy Policy>
void BasicWorld<Policy>::apply(const HostListRead &event)
{
    m_hasHostList = true;
    for (const HostEntry &host : event.hosts)
        m_context.hosts.insert(host);
    m_owner.updateLiveness(event.backendServers);
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
void BasicWorld<Policy>::apply(const StopOrdered & /*event*/)
{
    m_isStopping = true;
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
}

template class BasicWorld<TieredPolicy>;
template class BasicWorld<FifoPolicy>;
template class BasicWorld<RoundRobinPolicy>;
template class BasicWorld<ReportedLoadPolicy>;
template class BasicWorld<NoOwnerPolicy>;

} // namespace currantreel
