#include "ExchangeBench.h"

namespace currantreel {

void ExchangeBench::end(Exchange &exchange, const ExchangeReply &reply)
{
    const bool wasOpen = std::exchange(exchange.isOpen, false);
    m_book->endWait(exchange, m_state->schedule.now());
    if (!wasOpen)
        return;
    if (!exchange.origin.isValid()) {
        m_reply(exchange, reply);
        return;
    }
    m_state->schedule.after(replaytiming::hop,
                            [this, origin = exchange.origin, from = exchange.host, reply] {
                                endOrigin(origin, from, reply);
                            });
}

void ExchangeBench::endOrigin(RequestId origin, std::size_t from, const ExchangeReply &reply)
{
    Exchange &exchange = *m_book->exchange(origin);
    const HostState &issuer = m_state->hosts[from];
    const HostState &entry = m_state->hosts[exchange.host];
    const bool isCut = m_state->partitions.isCut(issuer.failureDomain, entry.failureDomain);
    if (isCut || reply.kind == ExchangeReply::Kind::ConnectionLost) {
        failForward(origin, replaytiming::connectTimeout);
        return;
    }
    m_state->whenAwake(exchange.host, [this, origin, reply] {
        Exchange &waiting = *m_book->exchange(origin);
        const std::size_t host = waiting.host;
        if (m_state->hosts[host].isDown || !waiting.isOpen)
            return;
        end(waiting, reply);
        m_deliver(host, ForwardDone{ origin });
    });
}

void ExchangeBench::failForward(RequestId origin, Duration delay)
{
    m_state->schedule.after(delay, [this, origin] {
        const Exchange &exchange = *m_book->exchange(origin);
        if (exchange.isOpen)
            m_deliver(exchange.host, ForwardFailed{ origin });
    });
}

void ExchangeBench::on(std::size_t host, const ForwardRequest &effect)
{
    Exchange *exchange = m_book->exchange(effect.request);
    if (!exchange)
        return;
    m_book->voidWait(*exchange);
    std::size_t to = 0;
    while (to < m_state->hosts.size() && m_state->hosts[to].id != effect.host)
        ++to;
    const bool isKnown = to < m_state->hosts.size();
    if (isKnown
        && m_state->partitions.isCut(m_state->hosts[host].failureDomain,
                                     m_state->hosts[to].failureDomain)) {
        failForward(effect.request, replaytiming::connectTimeout);
        return;
    }
    if (!isKnown || m_state->hosts[to].isDown) {
        failForward(effect.request, replaytiming::hop);
        return;
    }
    m_state->schedule.after(replaytiming::hop,
                            [this, origin = effect.request, to] { arriveForwarded(origin, to); });
}

void ExchangeBench::arriveForwarded(RequestId origin, std::size_t to)
{
    const Exchange &first = *m_book->exchange(origin);
    if (!first.isOpen)
        return;
    if (m_state->hosts[to].isDown) {
        failForward(origin, replaytiming::hop);
        return;
    }
    const TimePoint now = m_state->schedule.now();
    const std::size_t call = first.call;
    const bool isQuestion = first.isQuestion;
    Exchange &exchange = isQuestion
                             ? m_book->addQuestion(call, to, now)
                             : m_book->addExchange(call, to, m_state->hosts[to].failureDomain, now);
    exchange.origin = origin;
    if (isQuestion)
        m_deliver(to, KeyStateQueried{ exchange.id, m_book->call(call).key, true });
    else
        m_deliver(to, arrivalOf(exchange));
}

void ExchangeBench::onHostCrash(std::size_t host)
{
    for (Attempt &attempt : m_book->attempts()) {
        if (attempt.host != host || !std::exchange(attempt.isOpen, false))
            continue;
        attempt.waste = WasteCause::Broken;
        m_backends->stop(attempt.job);
    }
    const std::size_t count = m_book->exchanges().size();
    for (std::size_t i = 0; i < count; ++i) {
        Exchange &exchange = m_book->exchanges()[i];
        if (exchange.host == host && exchange.isOpen)
            end(exchange, ExchangeReply{});
    }
}

} // namespace currantreel
