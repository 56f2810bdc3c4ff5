#include "CallerSimulator.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Maximum number of tries of one request, with and without a key.
constexpr int maxKeyedTries = 4;
constexpr int maxUnkeyedTries = 2;
/// Time that a caller waits beyond the latest end that its class allows.
constexpr Duration replyTimeoutMargin = 5s;

bool isDone(const Call &call)
{
    return call.result == CallResult::InTarget || call.result == CallResult::Late
           || call.wasReportedNotRun;
}

} // namespace

CallerSimulator::CallerSimulator(SimulationState &state, CallRecorder &recorder,
                                 ExchangeSimulator &exchanges, ExchangeSimulator::Deliver deliver)
    : m_state(&state), m_recorder(&recorder), m_exchanges(&exchanges), m_deliver(std::move(deliver))
{
}

void CallerSimulator::start(const std::vector<TraceArrival> &arrivals)
{
    for (const TraceArrival &arrival : arrivals) {
        const TimePoint at(arrival.at);
        const std::size_t call = m_recorder->addCall(arrival, at);
        m_state->scheduler.at(at,
                              [this, call] { begin(call, m_recorder->call(call).arrival.host); });
    }
}

bool CallerSimulator::isKeyed(std::size_t call) const
{
    const RequestClass &requestClass = m_recorder->classOf(call);
    return requestClass.keys == KeyRule::Required || requestClass.repeat == RepeatRule::Never;
}

Duration CallerSimulator::replyTimeout(std::size_t call) const
{
    const RequestClass &requestClass = m_recorder->classOf(call);
    if (isKeyed(call))
        return requestClass.answerTarget + replyTimeoutMargin;
    return requestClass.queueBound + requestClass.answerTarget + replyTimeoutMargin;
}

std::size_t CallerSimulator::liveHost(std::size_t from) const
{
    const std::size_t count = m_state->hosts.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t host = (from + i) % count;
        if (!m_state->hosts[host].isDown)
            return host;
    }
    return from % count;
}

void CallerSimulator::begin(std::size_t call, std::size_t from)
{
    if (isKeyed(call))
        requestKey(call, from);
    else
        send(call, from);
}

void CallerSimulator::requestKey(std::size_t call, std::size_t from)
{
    if (m_recorder->call(call).tries++ >= maxKeyedTries)
        return;
    const std::size_t host = liveHost(from);
    const RequestId id = m_recorder->addKeyRequest(call, host, m_state->scheduler.now()).id;
    m_deliver(host, KeyRequested{ id });
    startTimeout(id, replaytiming::keyReplyTimeout);
}

void CallerSimulator::requestKeyState(std::size_t call, std::size_t from)
{
    const std::size_t host = liveHost(from);
    const RequestId id = m_recorder->addKeyRequest(call, host, m_state->scheduler.now()).id;
    m_deliver(host, KeyStateQueried{ id, m_recorder->call(call).key, false });
    startTimeout(id, replaytiming::keyReplyTimeout);
}

void CallerSimulator::send(std::size_t call, std::size_t from)
{
    const std::size_t host = liveHost(from);
    ++m_recorder->call(call).tries;
    const Exchange &exchange = m_recorder->addExchange(
        call, host, m_state->hosts[host].failureDomain, m_state->scheduler.now());
    m_deliver(host, m_exchanges->arrivalOf(exchange));
    startTimeout(exchange.id, replyTimeout(call));
}

void CallerSimulator::startTimeout(RequestId exchange, Duration time)
{
    m_state->scheduler.after(time, [this, exchange] { disconnect(exchange); });
}

void CallerSimulator::disconnect(RequestId id)
{
    Exchange &exchange = *m_recorder->exchange(id);
    if (!std::exchange(exchange.isOpen, false))
        return;
    exchange.wasDisconnected = true;
    m_recorder->endWait(exchange, m_state->scheduler.now());
    m_deliver(exchange.host, CallerDisconnected{ id });
    Call &call = m_recorder->call(exchange.call);
    if (call.result == CallResult::Pending && !isKeyed(exchange.call))
        call.result = CallResult::Abandoned;
    else if (exchange.isKeyRequest && call.key.empty())
        requestKey(exchange.call, exchange.host + 1);
    else if (!exchange.isKeyRequest)
        onUnknown(exchange.call, exchange.host);
}

void CallerSimulator::onKey(std::size_t call, std::size_t host, const std::string &key)
{
    Call &caller = m_recorder->call(call);
    if (!caller.key.empty())
        return;
    caller.key = key;
    caller.tries = 0;
    send(call, host);
    if (caller.arrival.duplicateAfter)
        m_state->scheduler.after(*caller.arrival.duplicateAfter,
                                 [this, call, host] { send(call, host + 1); });
}

void CallerSimulator::onUnknown(std::size_t call, std::size_t host)
{
    const Call &caller = m_recorder->call(call);
    if (isDone(caller))
        return;
    if (caller.tries < (isKeyed(call) ? maxKeyedTries : maxUnkeyedTries))
        m_state->scheduler.after(replaytiming::callerRetryDelay, [this, call, host] {
            if (!isDone(m_recorder->call(call)))
                send(call, host + 1);
        });
    else if (isKeyed(call))
        requestKeyState(call, host);
}

void CallerSimulator::onReply(Exchange &exchange, const ExchangeReply &reply)
{
    using Kind = ExchangeReply::Kind;
    const std::size_t call = exchange.call;
    switch (reply.kind) {
    case Kind::Answer:
        m_recorder->onAnswer(exchange, reply.answer, m_state->scheduler.now());
        return;
    case Kind::Key:
        onKey(call, exchange.host, reply.key);
        return;
    case Kind::KeyState:
        m_recorder->onKeyState(call, reply.state);
        return;
    case Kind::Refusal:
        m_recorder->onRefusal(exchange, reply.code, reply.outcome);
        break;
    case Kind::ConnectionLost:
        m_recorder->onConnectionLost(exchange);
        break;
    }
    if (exchange.isKeyRequest && m_recorder->call(call).key.empty())
        requestKey(call, exchange.host + 1);
    else if (!exchange.isKeyRequest && !m_recorder->call(call).wasReportedNotRun)
        onUnknown(call, exchange.host);
}

} // namespace currantreel
