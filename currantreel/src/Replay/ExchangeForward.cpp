#include "ExchangeSimulator.h"

namespace currantreel {

void ExchangeSimulator::endExchange(Exchange &exchange, const ExchangeReply &reply)
{
    const bool wasOpen = std::exchange(exchange.isOpen, false);
    m_recorder->endWait(exchange, m_state->scheduler.now());
    if (!wasOpen)
        return;
    if (!exchange.origin.isValid()) {
        m_reply(exchange, reply);
        return;
    }
    m_state->scheduler.after(replaytiming::hopLatency,
                             [this, origin = exchange.origin, from = exchange.host, reply] {
                                 endOrigin(origin, from, reply);
                             });
}

void ExchangeSimulator::endOrigin(RequestId origin, std::size_t from, const ExchangeReply &reply)
{
    Exchange &exchange = *m_recorder->exchange(origin);
    const HostState &target = m_state->hosts[from];
    const HostState &entry = m_state->hosts[exchange.host];
    const bool isPartitioned =
        m_state->partitions.isPartitioned(target.failureDomain, entry.failureDomain);
    if (isPartitioned || reply.kind == ExchangeReply::Kind::ConnectionLost) {
        failForward(origin, replaytiming::connectTimeout);
        return;
    }
    m_state->runWhenResumed(exchange.host, [this, origin, reply] {
        Exchange &openExchange = *m_recorder->exchange(origin);
        const std::size_t host = openExchange.host;
        if (m_state->hosts[host].isDown || !openExchange.isOpen)
            return;
        endExchange(openExchange, reply);
        m_deliver(host, ForwardDone{ origin });
    });
}

void ExchangeSimulator::failForward(RequestId origin, Duration delay)
{
    m_state->scheduler.after(delay, [this, origin] {
        const Exchange &exchange = *m_recorder->exchange(origin);
        if (exchange.isOpen)
            m_deliver(exchange.host, ForwardFailed{ origin });
    });
}

void ExchangeSimulator::on(std::size_t host, const ForwardRequest &effect)
{
    Exchange *exchange = m_recorder->exchange(effect.request);
    if (!exchange)
        return;
    m_recorder->cancelWait(*exchange);
    std::size_t to = 0;
    while (to < m_state->hosts.size() && m_state->hosts[to].id != effect.host)
        ++to;
    const bool isKnown = to < m_state->hosts.size();
    if (isKnown
        && m_state->partitions.isPartitioned(m_state->hosts[host].failureDomain,
                                             m_state->hosts[to].failureDomain)) {
        failForward(effect.request, replaytiming::connectTimeout);
        return;
    }
    if (!isKnown || m_state->hosts[to].isDown) {
        failForward(effect.request, replaytiming::hopLatency);
        return;
    }
    m_state->scheduler.after(replaytiming::hopLatency,
                             [this, origin = effect.request, to] { deliverForwarded(origin, to); });
}

void ExchangeSimulator::deliverForwarded(RequestId origin, std::size_t to)
{
    const Exchange &first = *m_recorder->exchange(origin);
    if (!first.isOpen)
        return;
    if (m_state->hosts[to].isDown) {
        failForward(origin, replaytiming::hopLatency);
        return;
    }
    const TimePoint now = m_state->scheduler.now();
    const std::size_t call = first.call;
    const bool isKeyRequest = first.isKeyRequest;
    Exchange &exchange =
        isKeyRequest ? m_recorder->addKeyRequest(call, to, now)
                     : m_recorder->addExchange(call, to, m_state->hosts[to].failureDomain, now);
    exchange.origin = origin;
    if (isKeyRequest)
        m_deliver(to, KeyStateQueried{ exchange.id, m_recorder->call(call).key, true });
    else
        m_deliver(to, arrivalOf(exchange));
}

void ExchangeSimulator::onHostCrash(std::size_t host)
{
    for (Attempt &attempt : m_recorder->attempts()) {
        if (attempt.host != host || !std::exchange(attempt.isOpen, false))
            continue;
        attempt.wasteCause = WasteCause::Broken;
        m_backends->stop(attempt.job);
    }
    const std::size_t count = m_recorder->exchanges().size();
    for (std::size_t i = 0; i < count; ++i) {
        Exchange &exchange = m_recorder->exchanges()[i];
        if (exchange.host == host && exchange.isOpen)
            endExchange(exchange, ExchangeReply{});
    }
}

} // namespace currantreel
