#include "ExchangeBench.h"

#include "ReplayRandom.h"

namespace currantreel {

namespace {

constexpr int statusOk = 200;
constexpr int statusBusy = 503;

} // namespace

ExchangeBench::ExchangeBench(BenchState &state, CallBook &book, BackendBench &backends,
                             const Configuration &configuration)
    : m_state(&state), m_book(&book), m_backends(&backends), m_configuration(&configuration)
{
}

void ExchangeBench::connect(Deliver deliver, Reply reply)
{
    m_deliver = std::move(deliver);
    m_reply = std::move(reply);
}

void ExchangeBench::handle(std::size_t host, const Effect &effect)
{
    std::visit([this, host](const auto &one) { this->on(host, one); }, effect);
}

RequestArrived ExchangeBench::arrivalOf(const Exchange &exchange)
{
    const Call &call = m_book->call(exchange.call);
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

Attempt *ExchangeBench::find(std::size_t host, AttemptId id)
{
    const auto found = m_jobs.find(AttemptKey(host, m_state->hosts[host].incarnation, id));
    return found == m_jobs.end() ? nullptr : m_book->attempt(found->second);
}

const BackendServer &ExchangeBench::serverOf(const Attempt &attempt) const
{
    return *m_configuration->backendServers.find(attempt.server);
}

bool ExchangeBench::isCutOff(const Attempt &attempt) const
{
    return m_state->partitions.isCut(m_state->hosts[attempt.host].failureDomain,
                                     serverOf(attempt).failureDomainName);
}

void ExchangeBench::on(std::size_t host, const StartAttempt &effect)
{
    Exchange *exchange = m_book->exchange(effect.request);
    if (!exchange)
        return;
    const std::uint64_t incarnation = m_state->hosts[host].incarnation;
    const Attempt &attempt =
        m_book->addAttempt(effect.request, effect.attempt, host, incarnation, effect.server);
    m_jobs[AttemptKey(host, incarnation, effect.attempt)] = attempt.job;
    const TimePoint now = m_state->schedule.now();
    m_book->onStart(*exchange, serverOf(attempt).failureDomainName, now);
    m_book->endWait(*exchange, now);
    m_state->schedule.after(replaytiming::hop, [this, job = attempt.job] { open(job); });
}

void ExchangeBench::open(std::uint64_t job)
{
    Attempt &attempt = *m_book->attempt(job);
    if (!attempt.isOpen || !m_state->isUp(attempt.host, attempt.incarnation))
        return;
    if (isCutOff(attempt)) {
        attempt.isSilent = true;
        m_state->schedule.after(replaytiming::connectTimeout, [this, job] { fail(job); });
        return;
    }
    const TraceArrival &arrival = m_book->call(attempt.received.call).arrival;
    const EngineJob engineJob{ job, arrival.promptTokens, arrival.answerTokens, arrival.prefix };
    if (m_backends->start(attempt.server, engineJob))
        m_book->onRun(attempt);
}

void ExchangeBench::fail(std::uint64_t job)
{
    Attempt &attempt = *m_book->attempt(job);
    const bool isUp = m_state->isUp(attempt.host, attempt.incarnation);
    if (std::exchange(attempt.isOpen, false) && isUp)
        m_deliver(attempt.host, AttemptFailed{ attempt.id, false });
}

void ExchangeBench::onNews(const BackendNews &news)
{
    m_state->schedule.after(replaytiming::hop, [this, news] {
        const std::size_t host = m_book->attempt(news.job)->host;
        m_state->whenAwake(host, [this, news] { receive(news); });
    });
}

void ExchangeBench::receive(const BackendNews &news)
{
    Attempt &attempt = *m_book->attempt(news.job);
    if (!attempt.isOpen || !m_state->isUp(attempt.host, attempt.incarnation))
        return;
    attempt.isSilent = attempt.isSilent || isCutOff(attempt);
    if (attempt.isSilent)
        return;
    using Kind = BackendNews::Kind;
    switch (news.kind) {
    case Kind::ConnectRefused:
    case Kind::Lost:
        attempt.isOpen = false;
        m_deliver(attempt.host, AttemptFailed{ attempt.id, news.kind == Kind::Lost });
        break;
    case Kind::SaidNotRun:
        m_deliver(attempt.host, AttemptHead{ attempt.id, statusBusy, true });
        break;
    case Kind::Head:
        m_deliver(attempt.host, AttemptHead{ attempt.id, statusOk, false });
        break;
    case Kind::Tokens:
        receiveTokens(attempt, news.tokens);
        break;
    case Kind::Done:
        attempt.isOpen = false;
        attempt.received.isWhole = true;
        m_deliver(attempt.host, AttemptDone{ attempt.id });
        break;
    }
}

void ExchangeBench::receiveTokens(Attempt &attempt, std::uint32_t tokens)
{
    attempt.received.tokens += tokens;
    const Exchange &exchange = *m_book->exchange(attempt.exchange);
    if (exchange.relayedJob == attempt.job)
        m_book->onFirstToken(exchange, m_state->schedule.now());
    m_deliver(attempt.host, AttemptTokens{ attempt.id, tokens });
}

void ExchangeBench::noteCancel(Attempt &attempt)
{
    const Exchange &exchange = *m_book->exchange(attempt.exchange);
    attempt.isOpen = false;
    attempt.waste = exchange.wasLeft ? WasteCause::Abandoned : WasteCause::Cancelled;
    const bool isHealthy = attempt.hasRun && !m_backends->isBroken(attempt.job) && !attempt.isSilent
                           && !m_backends->isSlow(attempt.server);
    const bool isOnly = exchange.relayedJob == 0 || exchange.relayedJob == attempt.job;
    if (isHealthy && isOnly && exchange.isOpen && !exchange.wasLeft)
        m_book->countPreemption(exchange);
}

void ExchangeBench::on(std::size_t host, const CancelAttempt &effect)
{
    Attempt *attempt = find(host, effect.attempt);
    if (!attempt || !attempt->isOpen)
        return;
    noteCancel(*attempt);
    m_state->schedule.after(replaytiming::hop, [this, attempt] {
        if (!isCutOff(*attempt))
            m_backends->stop(attempt->job);
    });
}

void ExchangeBench::on(std::size_t host, const RelayAttempt &effect)
{
    Exchange *exchange = m_book->exchange(effect.request);
    const Attempt *attempt = find(host, effect.attempt);
    if (!exchange || !attempt)
        return;
    exchange->relayedJob = attempt->job;
    if (attempt->received.tokens > 0)
        m_book->onFirstToken(*exchange, m_state->schedule.now());
}

void ExchangeBench::on(std::size_t /*host*/, const FinishReply &effect)
{
    Exchange *exchange = m_book->exchange(effect.request);
    if (!exchange)
        return;
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Answer;
    if (const Attempt *attempt = m_book->attempt(exchange->relayedJob))
        reply.answer = attempt->received;
    end(*exchange, reply);
}

void ExchangeBench::on(std::size_t /*host*/, const RefuseRequest &effect)
{
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Refusal;
    reply.code = effect.code;
    reply.outcome = effect.outcome;
    if (Exchange *exchange = m_book->exchange(effect.request))
        end(*exchange, reply);
}

void ExchangeBench::on(std::size_t /*host*/, const KeyIssued &effect)
{
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Key;
    reply.key = effect.key;
    if (Exchange *exchange = m_book->exchange(effect.request))
        end(*exchange, reply);
}

void ExchangeBench::on(std::size_t /*host*/, const KeyAssigned & /*effect*/) { }

void ExchangeBench::on(std::size_t /*host*/, const KeyStateReported &effect)
{
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::KeyState;
    reply.state = effect.state;
    if (Exchange *exchange = m_book->exchange(effect.request))
        end(*exchange, reply);
}

void ExchangeBench::on(std::size_t host, const StoreAnswer &effect)
{
    const Exchange *exchange = m_book->exchange(effect.request);
    const Attempt *attempt = exchange ? m_book->attempt(exchange->relayedJob) : nullptr;
    if (attempt)
        m_kept[KeptKey(host, m_state->hosts[host].incarnation, effect.key)] = attempt->received;
}

void ExchangeBench::on(std::size_t host, const ReplayAnswer &effect)
{
    Exchange *exchange = m_book->exchange(effect.request);
    if (!exchange)
        return;
    m_book->voidWait(*exchange);
    ExchangeReply reply;
    reply.kind = ExchangeReply::Kind::Answer;
    const auto kept = m_kept.find(KeptKey(host, m_state->hosts[host].incarnation, effect.key));
    if (kept != m_kept.end())
        reply.answer = kept->second;
    end(*exchange, reply);
}

void ExchangeBench::on(std::size_t host, const DropAnswer &effect)
{
    m_kept.erase(KeptKey(host, m_state->hosts[host].incarnation, effect.key));
}

void ExchangeBench::on(std::size_t /*host*/, const CloseExchange &effect)
{
    Exchange *exchange = m_book->exchange(effect.request);
    // Closed without a reply while the caller still waits: nobody will ever answer.
    if (exchange && exchange->isOpen)
        end(*exchange, ExchangeReply{});
}

} // namespace currantreel
