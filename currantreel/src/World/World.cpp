#include "World.h"

namespace currantreel {

template <GrantQueue Queue>
BasicWorld<Queue>::BasicWorld(HostIdentity self, const KeySecret &secret)
    : m_entry(self.incarnation), m_keys(self, secret)
{
    m_context.self = std::move(self);
}

template <GrantQueue Queue>
const EffectList &BasicWorld<Queue>::step(TimePoint now, std::span<const Event> events)
{
    m_context.now = now;
    m_context.effects.clear();
    for (const Event &event : events) {
        std::visit([this](const auto &one) { this->apply(one); }, event);
        deliver();
    }
    m_entry.run(m_context, m_counters, m_keys);
    deliver();
    m_owner.run(m_context, m_counters);
    deliver();
    m_keys.run(m_context);
    reportStop();
    return m_context.effects;
}

template <GrantQueue Queue>
void BasicWorld<Queue>::deliver()
{
    while (!m_context.outbox.empty()) {
        const OutgoingMessage outgoing = std::move(m_context.outbox.front());
        m_context.outbox.pop_front();
        if (outgoing.to == m_context.self.id)
            std::visit([this](const auto &one) { this->receive(one); }, outgoing.message);
        else
            m_context.emit(SendPeer{ outgoing.to, outgoing.message });
    }
}

template <GrantQueue Queue>
void BasicWorld<Queue>::reportStop()
{
    if (!m_isStopping || m_isStopReported || m_entry.size() > 0)
        return;
    m_isStopReported = true;
    m_context.emit(StopCompleted{});
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const RequestArrived &event)
{
    if (m_isStopping) {
        m_context.emit(RefuseRequest{ event.request, ResultCode::Stopping, Outcome::NotRun, {} });
        return;
    }
    m_entry.onArrived(m_context, m_counters, m_keys, event);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const KeyRequested &event)
{
    if (m_isStopping) {
        m_context.emit(RefuseRequest{ event.request, ResultCode::Stopping, Outcome::NotRun, {} });
        return;
    }
    m_context.emit(KeyIssued{ event.request, m_keys.issue(m_context) });
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const KeyStateAsked &event)
{
    m_keys.onStateAsked(m_context, event);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const CallerLeft &event)
{
    m_entry.onCallerLeft(m_context, m_counters, m_keys, event);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const AttemptHead &event)
{
    m_entry.onHead(m_context, m_counters, m_keys, event);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const AttemptTokens &event)
{
    m_entry.onTokens(m_context, event);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const AttemptDone &event)
{
    m_entry.onDone(m_context, m_counters, m_keys, event);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const AttemptFailed &event)
{
    m_entry.onFailed(m_context, m_counters, m_keys, event);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const ForwardFailed &event)
{
    m_entry.onForwardEnded(m_context, event.request, false);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const ForwardDone &event)
{
    m_entry.onForwardEnded(m_context, event.request, true);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const ConfigurationRead &event)
{
    if (event.configuration->version <= m_context.configuration->version)
        return;
    m_context.configuration = event.configuration;
    m_owner.configure(m_context);
    m_context.emit(ConfigurationInForce{ event.configuration->version });
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const HostListRead &event)
{
    m_hasHostList = true;
    m_keys.updateHosts(event.hosts);
    m_owner.updateLiveness(event.backendServers);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const PeerMessageReceived &event)
{
    std::visit([this](const auto &one) { this->receive(one); }, event.message);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::apply(const StopOrdered & /*event*/)
{
    m_isStopping = true;
}

template <GrantQueue Queue>
void BasicWorld<Queue>::receive(const GrantRequest &message)
{
    m_owner.onRequest(m_context, m_counters, message);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::receive(const Granted &message)
{
    m_entry.onGranted(m_context, m_counters, message);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::receive(const GrantShed &message)
{
    m_entry.onShed(m_context, m_counters, m_keys, message);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::receive(const GrantWithdrawn &message)
{
    m_owner.onWithdrawn(message);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::receive(const LeaseReleased &message)
{
    m_owner.onReleased(message);
}

template <GrantQueue Queue>
void BasicWorld<Queue>::receive(const LeaseRenewal &message)
{
    m_owner.onRenewal(m_context, message);
}

template class BasicWorld<TieredQueue>;

} // namespace currantreel
