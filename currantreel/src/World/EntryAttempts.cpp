#include "EntrySystem.h"
#include "Timing.h"
#include <map>

namespace currantreel {

namespace {

constexpr int firstServerError = 500;

} // namespace

void EntrySystem::onHead(StepContext &context, Counters &counters, KeySystem &keys,
                         const AttemptHead &event)
{
    AttemptRow *attempt = m_attempts.find(event.attempt);
    if (!attempt)
        return;
    attempt->lastProgressAt = context.now;
    if (event.reportsNotRun) {
        context.emit(CancelAttempt{ attempt->id });
        retryOrRefuse(context, counters, keys, *attempt, ResultCode::BackendServerRefused,
                      Outcome::NotRun);
        return;
    }
    RequestRow *row = m_requests.find(attempt->request);
    const RequestClass *requestClass =
        row ? context.configuration->classes.find(row->requestClass) : nullptr;
    const bool mayRepeat = requestClass && requestClass->repeat == RepeatRule::Idempotent;
    if (event.status >= firstServerError && mayRepeat && row->attempts < timing::attemptLimit) {
        context.emit(CancelAttempt{ attempt->id });
        retryOrRefuse(context, counters, keys, *attempt, ResultCode::BackendServerLost,
                      Outcome::Unknown);
        return;
    }
    attempt->isRelayed = true;
    const RequestId request = attempt->request;
    if (row) {
        hedgePolicyOf(row->requestClass).addHeadLatency(context.now - attempt->startedAt);
        cancelLosers(context, counters, *row, event.attempt);
    }
    context.emit(RelayAttempt{ request, event.attempt });
}

void EntrySystem::onTokens(StepContext &context, const AttemptTokens &event)
{
    AttemptRow *attempt = m_attempts.find(event.attempt);
    if (!attempt || event.tokens == 0)
        return;
    attempt->lastProgressAt = context.now;
    RequestRow *row = m_requests.find(attempt->request);
    if (attempt->tokens == 0) {
        attempt->firstTokenAt = context.now;
        if (row)
            row->isFirstTokenLate = context.now > row->firstTokenDeadline;
    }
    attempt->tokens += event.tokens;
}

void EntrySystem::countEnd(Counters &counters, const RequestRow &row, const AttemptRow &attempt,
                           TimePoint now)
{
    ClassCounters &counts = countersOf(counters, row.requestClass);
    const bool isInTarget = !row.isFirstTokenLate && now <= row.answerDeadline;
    ++counts.completed;
    counts.inTarget += isInTarget ? 1 : 0;
    (isInTarget ? counters.usefulTokens : counters.lateTokens) += attempt.tokens;
}

void EntrySystem::onDone(StepContext &context, Counters &counters, KeySystem &keys,
                         const AttemptDone &event)
{
    const AttemptRow *ended = m_attempts.find(event.attempt);
    if (!ended)
        return;
    const AttemptRow attempt = *ended;
    release(context, attempt, LeaseEnd::Completed);
    m_attempts.remove(attempt.id);
    RequestRow *found = m_requests.find(attempt.request);
    if (!found)
        return;
    hedgePolicyOf(found->requestClass).addAnswerLength(attempt.tokens);
    cancelLosers(context, counters, *found, attempt.id);
    const RequestRow row = *found;
    m_requests.remove(row.id);
    countEnd(counters, row, attempt, context.now);
    finishKey(context, keys, row.key, row.id, Outcome::Completed);
    context.emit(FinishReply{ row.id });
}

void EntrySystem::onFailed(StepContext &context, Counters &counters, KeySystem &keys,
                           const AttemptFailed &event)
{
    const AttemptRow *attempt = m_attempts.find(event.attempt);
    if (!attempt)
        return;
    const Outcome outcome = event.wasWritten ? Outcome::Unknown : Outcome::NotRun;
    const ResultCode code =
        attempt->isRelayed ? ResultCode::AnswerIncomplete : ResultCode::BackendServerLost;
    retryOrRefuse(context, counters, keys, *attempt, code, outcome);
}

void EntrySystem::retryOrRefuse(StepContext &context, Counters &counters, KeySystem &keys,
                                const AttemptRow &failed, ResultCode code, Outcome outcome)
{
    const AttemptRow attempt = failed;
    release(context, attempt,
            code == ResultCode::BackendServerRefused ? LeaseEnd::Refused : LeaseEnd::Failed);
    counters.cancelledTokens += attempt.tokens;
    m_attempts.remove(attempt.id);
    RequestRow *row = m_requests.find(attempt.request);
    if (!row)
        return;
    row->mayHaveRun = row->mayHaveRun || outcome == Outcome::Unknown;
    if (fallBack(*row, attempt.id))
        return;
    const RequestClass *requestClass = context.configuration->classes.find(row->requestClass);
    const bool mayRepeat = requestClass && requestClass->repeat == RepeatRule::Idempotent;
    const bool isHarmless = outcome == Outcome::NotRun || mayRepeat;
    const bool isWanted = row->hasCaller || keys.hasJoinedRequests(row->key);
    const bool mayRetry =
        isHarmless && !attempt.isRelayed && isWanted && row->attempts < timing::attemptLimit;
    if (!mayRetry || !retryBudgetOf(row->requestClass).spend(1)) {
        refuse(context, counters, keys, *row, code, outcome, timing::shedRetryAfter);
        return;
    }
    ++counters.retries;
    row->state = State::BackingOff;
    row->attempt = AttemptId();
    row->avoid = attempt.server;
    row->retryAt = context.now + m_backoff.nextDelay(row->attempts);
}

Outcome EntrySystem::outcomeOf(const RequestRow &row, Outcome outcome)
{
    return row.mayHaveRun && outcome == Outcome::NotRun ? Outcome::Unknown : outcome;
}

void EntrySystem::refuse(StepContext &context, Counters &counters, KeySystem &keys, RequestRow row,
                         ResultCode code, Outcome outcome, Duration retryAfter)
{
    ClassCounters &counts = countersOf(counters, row.requestClass);
    outcome = outcomeOf(row, outcome);
    ++(outcome == Outcome::NotRun ? counts.refused : counts.unknown);
    m_requests.remove(row.id);
    context.emit(RefuseRequest{ row.id, code, outcome, retryAfter });
    finishKey(context, keys, row.key, row.id, outcome);
}

void EntrySystem::finishKey(StepContext &context, KeySystem &keys, KeyId key, RequestId runner,
                            Outcome outcome)
{
    for (const RequestId joined : keys.finish(context, key, runner, outcome))
        m_requests.remove(joined);
}

void EntrySystem::release(StepContext &context, const AttemptRow &attempt, LeaseEnd end)
{
    LeaseReleased message{
        attempt.grant, attempt.lease, attempt.server, end, attempt.tokens, {}, {}
    };
    if (attempt.tokens > 0)
        message.firstToken = attempt.firstTokenAt - attempt.startedAt;
    if (attempt.tokens > 1)
        message.interToken = (context.now - attempt.firstTokenAt) / (attempt.tokens - 1);
    context.send(attempt.owner, message);
}

void EntrySystem::endStalledAttempts(StepContext &context, Counters &counters, KeySystem &keys)
{
    std::vector<AttemptId> stalled;
    for (const AttemptRow &attempt : m_attempts) {
        if (context.now - attempt.lastProgressAt > timing::progressTimeout)
            stalled.push_back(attempt.id);
    }
    for (const AttemptId id : stalled) {
        context.emit(CancelAttempt{ id });
        retryOrRefuse(context, counters, keys, *m_attempts.find(id), ResultCode::BackendServerLost,
                      Outcome::Unknown);
    }
}

TokenBudget &EntrySystem::retryBudgetOf(ClassId id)
{
    if (RetryRow *row = m_retries.find(id))
        return row->budget;
    return m_retries.insert(RetryRow{ id, TokenBudget(timing::retryReserve, timing::retryReserve) })
        .budget;
}

void EntrySystem::resumeRetries(StepContext &context)
{
    for (RequestRow &row : m_requests) {
        if (row.state != State::BackingOff || row.retryAt > context.now)
            continue;
        row.state = State::Waiting;
        askForGrant(context, row, row.avoid);
    }
}

void EntrySystem::endWorthless(StepContext &context, Counters &counters, KeySystem &keys)
{
    std::vector<RequestId> worthless;
    for (const RequestRow &row : m_requests) {
        // A run under a key goes on: its caller needs to know how it ended.
        const bool isKeyedRun = row.state == State::Running && row.key.isValid();
        if (row.state <= State::Running && !isKeyedRun && isWorthless(context, row))
            worthless.push_back(row.id);
    }
    for (const RequestId id : worthless)
        endWorthless(context, counters, keys, *m_requests.find(id));
}

void EntrySystem::endWorthless(StepContext &context, Counters &counters, KeySystem &keys,
                               const RequestRow &row)
{
    if (row.state == State::Waiting || row.isHedgeAsked)
        withdraw(context, row);
    Outcome outcome = Outcome::NotRun;
    if (row.state == State::Running) {
        outcome = Outcome::Unknown;
        cancelAll(context, counters.lateTokens, row);
    }
    refuse(context, counters, keys, row, ResultCode::AnswerLate, outcome, {});
}

void EntrySystem::renewLeases(StepContext &context)
{
    if (context.now - m_renewedAt < timing::leaseRenewalInterval)
        return;
    m_renewedAt = context.now;
    std::map<HostId, LeaseRenewal> renewals;
    for (AttemptRow &attempt : m_attempts) {
        // After a takeover the new owner counts what runs.
        const HostId owner = context.ownership.ownerOf(attempt.server);
        attempt.owner = owner.isValid() ? owner : attempt.owner;
        LeaseRenewal &renewal = renewals[attempt.owner];
        renewal.entry = context.self.id;
        renewal.items.push_back({ attempt.grant, attempt.lease, attempt.server, attempt.tier });
    }
    for (auto &[owner, renewal] : renewals)
        context.send(owner, std::move(renewal));
}

void EntrySystem::run(StepContext &context, Counters &counters, KeySystem &keys)
{
    endStalledAttempts(context, counters, keys);
    endWorthless(context, counters, keys);
    resumeRetries(context);
    askForHedges(context);
    askAgain(context);
    renewLeases(context);
}

} // namespace currantreel
