#include "CallerFake.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Tries of one request under a key, and without one.
constexpr int keyedTries = 4;
constexpr int plainTries = 2;
/// Longest wait of a caller beyond the latest end that a class promises.
constexpr Duration patienceBeyond = 5s;

bool isDone(const Call &call)
{
    return call.end == CallEnd::InTarget || call.end == CallEnd::Late || call.wasToldNotRun;
}

} // namespace

CallerFake::CallerFake(BenchState &state, CallBook &book, ExchangeBench &bench,
                       ExchangeBench::Deliver deliver)
    : m_state(&state), m_book(&book), m_bench(&bench), m_deliver(std::move(deliver))
{
}

void CallerFake::start(const std::vector<TraceArrival> &arrivals)
{
    for (const TraceArrival &arrival : arrivals) {
        const TimePoint at(arrival.at);
        const std::size_t call = m_book->addCall(arrival, at);
        m_state->schedule.at(at, [this, call] { begin(call, m_book->call(call).arrival.host); });
    }
}

bool CallerFake::isKeyed(std::size_t call) const
{
    const RequestClass &requestClass = m_book->classOf(call);
    return requestClass.keys == KeyRule::Required || requestClass.repeat == RepeatRule::Never;
}

Duration CallerFake::patience(std::size_t call) const
{
    const RequestClass &requestClass = m_book->classOf(call);
    if (isKeyed(call))
        return requestClass.answerTarget + patienceBeyond;
    return requestClass.queueBound + requestClass.answerTarget + patienceBeyond;
}

std::size_t CallerFake::liveHost(std::size_t from) const
{
    const std::size_t count = m_state->hosts.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t host = (from + i) % count;
        if (!m_state->hosts[host].isDown)
            return host;
    }
    return from % count;
}

void CallerFake::begin(std::size_t call, std::size_t from)
{
    if (isKeyed(call))
        askForKey(call, from);
    else
        send(call, from);
}

void CallerFake::askForKey(std::size_t call, std::size_t from)
{
    if (m_book->call(call).tries++ >= keyedTries)
        return;
    const std::size_t host = liveHost(from);
    const RequestId id = m_book->addQuestion(call, host, m_state->schedule.now()).id;
    m_deliver(host, KeyRequested{ id });
    expect(id, replaytiming::keyPatience);
}

void CallerFake::askForState(std::size_t call, std::size_t from)
{
    const std::size_t host = liveHost(from);
    const RequestId id = m_book->addQuestion(call, host, m_state->schedule.now()).id;
    m_deliver(host, KeyStateQueried{ id, m_book->call(call).key, false });
    expect(id, replaytiming::keyPatience);
}

void CallerFake::send(std::size_t call, std::size_t from)
{
    const std::size_t host = liveHost(from);
    ++m_book->call(call).tries;
    const Exchange &exchange = m_book->addExchange(call, host, m_state->hosts[host].failureDomain,
                                                   m_state->schedule.now());
    m_deliver(host, m_bench->arrivalOf(exchange));
    expect(exchange.id, patience(call));
}

void CallerFake::expect(RequestId exchange, Duration time)
{
    m_state->schedule.after(time, [this, exchange] { leave(exchange); });
}

void CallerFake::leave(RequestId id)
{
    Exchange &exchange = *m_book->exchange(id);
    if (!std::exchange(exchange.isOpen, false))
        return;
    exchange.wasLeft = true;
    m_book->endWait(exchange, m_state->schedule.now());
    m_deliver(exchange.host, CallerDisconnected{ id });
    Call &call = m_book->call(exchange.call);
    if (call.end == CallEnd::Pending && !isKeyed(exchange.call))
        call.end = CallEnd::Abandoned;
    else if (exchange.isQuestion && call.key.empty())
        askForKey(exchange.call, exchange.host + 1);
    else if (!exchange.isQuestion)
        onUnknown(exchange.call, exchange.host);
}

void CallerFake::onKey(std::size_t call, std::size_t host, const std::string &key)
{
    Call &caller = m_book->call(call);
    if (!caller.key.empty())
        return;
    caller.key = key;
    caller.tries = 0;
    send(call, host);
    if (caller.arrival.duplicateAfter)
        m_state->schedule.after(*caller.arrival.duplicateAfter,
                                [this, call, host] { send(call, host + 1); });
}

void CallerFake::onUnknown(std::size_t call, std::size_t host)
{
    const Call &caller = m_book->call(call);
    if (isDone(caller))
        return;
    if (caller.tries < (isKeyed(call) ? keyedTries : plainTries))
        m_state->schedule.after(replaytiming::callerRetryDelay, [this, call, host] {
            if (!isDone(m_book->call(call)))
                send(call, host + 1);
        });
    else if (isKeyed(call))
        askForState(call, host);
}

void CallerFake::onReply(Exchange &exchange, const ExchangeReply &reply)
{
    using Kind = ExchangeReply::Kind;
    const std::size_t call = exchange.call;
    switch (reply.kind) {
    case Kind::Answer:
        m_book->onAnswer(exchange, reply.answer, m_state->schedule.now());
        return;
    case Kind::Key:
        onKey(call, exchange.host, reply.key);
        return;
    case Kind::KeyState:
        m_book->onKeyState(call, reply.state);
        return;
    case Kind::Refusal:
        m_book->onRefusal(exchange, reply.code, reply.outcome);
        break;
    case Kind::ConnectionLost:
        m_book->onConnectionLost(exchange);
        break;
    }
    if (exchange.isQuestion && m_book->call(call).key.empty())
        askForKey(call, exchange.host + 1);
    else if (!exchange.isQuestion && !m_book->call(call).wasToldNotRun)
        onUnknown(call, exchange.host);
}

} // namespace currantreel
