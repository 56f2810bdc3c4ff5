#include "ExchangeSimulator.h"

#include "ReplayRandom.h"

namespace currantreel {

namespace {

constexpr int statusOk = 200;
constexpr int statusBusy = 503;

} // namespace

ExchangeSimulator::ExchangeSimulator(SimulationState &state, CallRecorder &recorder,
                                     BackendSimulator &backends, const Configuration &configuration)
    : m_state(&state), m_recorder(&recorder), m_backends(&backends), m_configuration(&configuration)
{
}

void ExchangeSimulator::setCallbacks(Deliver deliver, Reply reply)
{
    m_deliver = std::move(deliver);
    m_reply = std::move(reply);
}

void ExchangeSimulator::handle(std::size_t host, const Effect &effect)
{
    std::visit([this, host](const auto &one) { this->on(host, one); }, effect);
}

RequestArrived ExchangeSimulator::arrivalOf(const Exchange &exchange)
{
    const Call &call = m_recorder->call(exchange.call);
    RequestArrived event;
    event.request = exchange.id;
    event.kind = call.arrival.isService ? RequestKind::Service : RequestKind::ChatCompletion;
    event.className = call.arrival.className;
    event.workspace = call.arrival.workspace;
    event.target = call.arrival.target;
    event.promptTokens = call.arrival.promptTokens;
    event.prefixHash = call.arrival.prefix;
    event.bodyHash = ReplayRandom(exchange.call).next();
    event.idempotencyKey = call.key;
    event.isForwarded = exchange.origin.isValid();
    return event;
}

Attempt *ExchangeSimulator::findAttempt(std::size_t host, AttemptId id)
{
    const auto found = m_jobs.find(AttemptKey(host, m_state->hosts[host].incarnation, id));
    return found == m_jobs.end() ? nullptr : m_recorder->attempt(found->second);
}

const BackendServer &ExchangeSimulator::serverOf(const Attempt &attempt) const
{
    return *m_configuration->backendServers.find(attempt.server);
}

bool ExchangeSimulator::crossesPartition(const Attempt &attempt) const
{
    return m_state->partitions.isPartitioned(m_state->hosts[attempt.host].failureDomain,
                                             serverOf(attempt).failureDomainName);
}

void ExchangeSimulator::on(std::size_t host, const StartAttempt &effect)
{
    Exchange *exchange = m_recorder->exchange(effect.request);
    if (!exchange)
        return;
    const std::uint64_t incarnation = m_state->hosts[host].incarnation;
    const Attempt &attempt =
        m_recorder->addAttempt(effect.request, effect.attempt, host, incarnation, effect.server);
    m_jobs[AttemptKey(host, incarnation, effect.attempt)] = attempt.job;
    const TimePoint now = m_state->scheduler.now();
    m_recorder->onStart(*exchange, serverOf(attempt).failureDomainName, now);
    m_recorder->endWait(*exchange, now);
    m_state->scheduler.after(replaytiming::hopLatency,
                             [this, job = attempt.job] { openConnection(job); });
}

void ExchangeSimulator::openConnection(std::uint64_t job)
{
    Attempt &attempt = *m_recorder->attempt(job);
    if (!attempt.isOpen || !m_state->isUp(attempt.host, attempt.incarnation))
        return;
    if (crossesPartition(attempt)) {
        attempt.wasPartitioned = true;
        m_state->scheduler.after(replaytiming::connectTimeout, [this, job] { failAttempt(job); });
        return;
    }
    const TraceArrival &arrival = m_recorder->call(attempt.received.call).arrival;
    const EngineJob engineJob{ job, arrival.promptTokens, arrival.answerTokens, arrival.prefix };
    if (m_backends->start(attempt.server, engineJob))
        m_recorder->onRun(attempt);
}

void ExchangeSimulator::failAttempt(std::uint64_t job)
{
    Attempt &attempt = *m_recorder->attempt(job);
    const bool isUp = m_state->isUp(attempt.host, attempt.incarnation);
    if (std::exchange(attempt.isOpen, false) && isUp)
        m_deliver(attempt.host, AttemptFailed{ attempt.id, false });
}

void ExchangeSimulator::onBackendEvent(const BackendEvent &event)
{
    m_state->scheduler.after(replaytiming::hopLatency, [this, event] {
        const std::size_t host = m_recorder->attempt(event.job)->host;
        m_state->runWhenResumed(host, [this, event] { onAttemptEvent(event); });
    });
}

void ExchangeSimulator::onAttemptEvent(const BackendEvent &event)
{
    Attempt &attempt = *m_recorder->attempt(event.job);
    if (!attempt.isOpen || !m_state->isUp(attempt.host, attempt.incarnation))
        return;
    attempt.wasPartitioned = attempt.wasPartitioned || crossesPartition(attempt);
    if (attempt.wasPartitioned)
        return;
    using Kind = BackendEvent::Kind;
    switch (event.kind) {
    case Kind::ConnectRefused:
    case Kind::ConnectionLost:
        attempt.isOpen = false;
        m_deliver(attempt.host, AttemptFailed{ attempt.id, event.kind == Kind::ConnectionLost });
        break;
    case Kind::RefusedNotRun:
        m_deliver(attempt.host, AttemptHead{ attempt.id, statusBusy, true });
        break;
    case Kind::Head:
        m_deliver(attempt.host, AttemptHead{ attempt.id, statusOk, false });
        break;
    case Kind::Tokens:
        receiveTokens(attempt, event.tokens);
        break;
    case Kind::Done:
        attempt.isOpen = false;
        attempt.received.isComplete = true;
        m_deliver(attempt.host, AttemptDone{ attempt.id });
        break;
    }
}

void ExchangeSimulator::receiveTokens(Attempt &attempt, std::uint32_t tokens)
{
    attempt.received.tokens += tokens;
    const Exchange &exchange = *m_recorder->exchange(attempt.exchange);
    if (exchange.relayedJob == attempt.job)
        m_recorder->onFirstToken(exchange, m_state->scheduler.now());
    m_deliver(attempt.host, AttemptTokens{ attempt.id, tokens });
}

void ExchangeSimulator::recordCancellation(Attempt &attempt)
{
    const Exchange &exchange = *m_recorder->exchange(attempt.exchange);
    attempt.isOpen = false;
    attempt.wasteCause = exchange.wasDisconnected ? WasteCause::Abandoned : WasteCause::Cancelled;
    const bool isHealthy = attempt.hasRun && !m_backends->isBroken(attempt.job)
                           && !attempt.wasPartitioned && !m_backends->isSlow(attempt.server);
    const bool isOnly = exchange.relayedJob == 0 || exchange.relayedJob == attempt.job;
    if (isHealthy && isOnly && exchange.isOpen && !exchange.wasDisconnected)
        m_recorder->countPreemption(exchange);
}

void ExchangeSimulator::on(std::size_t host, const CancelAttempt &effect)
{
    Attempt *attempt = findAttempt(host, effect.attempt);
    if (!attempt || !attempt->isOpen)
        return;
    recordCancellation(*attempt);
    m_state->scheduler.after(replaytiming::hopLatency, [this, attempt] {
        if (!crossesPartition(*attempt))
            m_backends->stop(attempt->job);
    });
}

void ExchangeSimulator::on(std::size_t host, const RelayAttempt &effect)
{
    Exchange *exchange = m_recorder->exchange(effect.request);
    const Attempt *attempt = findAttempt(host, effect.attempt);
    if (!exchange || !attempt)
        return;
    exchange->relayedJob = attempt->job;
    if (attempt->received.tokens > 0)
        m_recorder->onFirstToken(*exchange, m_state->scheduler.now());
}

void ExchangeSimulator::on(std::size_t /*host*/, const FinishReply &effect)
{
    Exchange *exchange = m_recorder->exchange(effect.request);
    if (!exchange)
        return;
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Answer;
    if (const Attempt *attempt = m_recorder->attempt(exchange->relayedJob))
        reply.answer = attempt->received;
    endExchange(*exchange, reply);
}

void ExchangeSimulator::on(std::size_t /*host*/, const RefuseRequest &effect)
{
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Refusal;
    reply.code = effect.code;
    reply.outcome = effect.outcome;
    if (Exchange *exchange = m_recorder->exchange(effect.request))
        endExchange(*exchange, reply);
}

void ExchangeSimulator::on(std::size_t /*host*/, const KeyIssued &effect)
{
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Key;
    reply.key = effect.key;
    if (Exchange *exchange = m_recorder->exchange(effect.request))
        endExchange(*exchange, reply);
}

void ExchangeSimulator::on(std::size_t /*host*/, const KeyAssigned & /*effect*/) { }

void ExchangeSimulator::on(std::size_t /*host*/, const KeyStateReported &effect)
{
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::KeyState;
    reply.state = effect.state;
    if (Exchange *exchange = m_recorder->exchange(effect.request))
        endExchange(*exchange, reply);
}

void ExchangeSimulator::on(std::size_t host, const StoreAnswer &effect)
{
    const Exchange *exchange = m_recorder->exchange(effect.request);
    const Attempt *attempt = exchange ? m_recorder->attempt(exchange->relayedJob) : nullptr;
    if (attempt)
        m_storedAnswers[StoredAnswerKey(host, m_state->hosts[host].incarnation, effect.key)] =
            attempt->received;
}

void ExchangeSimulator::on(std::size_t host, const ReplayAnswer &effect)
{
    Exchange *exchange = m_recorder->exchange(effect.request);
    if (!exchange)
        return;
    m_recorder->cancelWait(*exchange);
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Answer;
    const auto stored =
        m_storedAnswers.find(StoredAnswerKey(host, m_state->hosts[host].incarnation, effect.key));
    if (stored != m_storedAnswers.end())
        reply.answer = stored->second;
    endExchange(*exchange, reply);
}

void ExchangeSimulator::on(std::size_t host, const DropAnswer &effect)
{
    m_storedAnswers.erase(StoredAnswerKey(host, m_state->hosts[host].incarnation, effect.key));
}

void ExchangeSimulator::on(std::size_t /*host*/, const CloseExchange &effect)
{
    Exchange *exchange = m_recorder->exchange(effect.request);
    // Closed without a reply while the caller still waits: no reply will follow.
    if (exchange && exchange->isOpen)
        endExchange(*exchange, ExchangeReply{});
}

} // namespace currantreel
