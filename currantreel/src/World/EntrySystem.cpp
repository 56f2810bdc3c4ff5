#include "EntrySystem.h"

#include "OwnerSystem.h"
#include "Timing.h"
#include <map>

namespace currantreel {

namespace {

constexpr int firstServerError = 500;

void refuseUnresolved(StepContext &context, RequestId request, ResultCode code)
{
    context.emit(RefuseRequest{ request, code, Outcome::NotRun, {} });
}

} // namespace

EntrySystem::EntrySystem(Incarnation incarnation) : m_nextAttempt(incarnation.value + 1) { }

ClassCounters &EntrySystem::countersOf(Counters &counters, ClassId id)
{
    if (ClassCounters *row = counters.classes.find(id))
        return *row;
    ClassCounters row;
    row.id = id;
    return counters.classes.insert(row);
}

bool EntrySystem::resolve(StepContext &context, const RequestArrived &event, RequestRow &row)
{
    const Configuration &configuration = *context.configuration;
    if (configuration.version == 0) {
        refuseUnresolved(context, event.request, ResultCode::RequestNoConfiguration);
        return false;
    }
    const Workspace *workspace =
        configuration.workspaces.find(WorkspaceId::ofName(event.workspace));
    if (!workspace) {
        refuseUnresolved(context, event.request, ResultCode::RequestUnknownWorkspace);
        return false;
    }
    row.workspace = workspace->id;
    row.requestClass =
        event.className.empty() ? workspace->defaultClass : ClassId::ofName(event.className);
    if (!configuration.classes.find(row.requestClass)) {
        refuseUnresolved(context, event.request, ResultCode::RequestUnknownClass);
        return false;
    }
    if (event.kind == RequestKind::Service) {
        row.target = targetOfService(ServiceId::ofName(event.target));
        for (const BackendServer &server : configuration.backendServers) {
            if (server.kind == BackendKind::Service
                && targetOfService(server.service) == row.target)
                return true;
        }
        refuseUnresolved(context, event.request, ResultCode::RequestUnknownService);
        return false;
    }
    const ModelId model = ModelId::ofName(event.target);
    row.target = targetOfModel(model);
    if (configuration.models.find(model))
        return true;
    refuseUnresolved(context, event.request, ResultCode::RequestUnknownModel);
    return false;
}

bool EntrySystem::applyKey(StepContext &context, KeySystem &keys, const RequestArrived &event,
                           RequestRow &row)
{
    const RequestClass &requestClass = *context.configuration->classes.find(row.requestClass);
    std::string key = event.idempotencyKey;
    if (key.empty() && requestClass.keys == KeyRule::Required) {
        refuseUnresolved(context, event.request, ResultCode::KeyRequired);
        return false;
    }
    if (key.empty()) {
        if (requestClass.repeat == RepeatRule::Idempotent)
            return true;
        key = keys.issue(context);
        context.emit(KeyAssigned{ event.request, key });
    }
    const KeyDecision decision = keys.claim(context, key, event);
    row.key = decision.key;
    switch (decision.action) {
    case KeyDecision::Action::Run:
        return true;
    case KeyDecision::Action::Wait:
        row.state = State::Joined;
        m_requests.insert(row);
        return false;
    case KeyDecision::Action::Replay:
        context.emit(ReplayAnswer{ event.request, decision.key });
        return false;
    case KeyDecision::Action::Forward:
        row.state = State::Forwarded;
        row.key = KeyId();
        m_requests.insert(row);
        context.emit(ForwardRequest{ event.request, decision.issuer.id, decision.issuer.callers });
        return false;
    case KeyDecision::Action::Refuse:
        break;
    }
    context.emit(RefuseRequest{ event.request, decision.code, decision.outcome, {} });
    return false;
}

void EntrySystem::onArrived(StepContext &context, Counters &counters, KeySystem &keys,
                            const RequestArrived &event)
{
    RequestRow row;
    row.id = event.request;
    row.arrivedAt = context.now;
    row.promptTokens = event.promptTokens;
    row.prefixHash = event.prefixHash;
    if (!resolve(context, event, row))
        return;
    const RequestClass &requestClass = *context.configuration->classes.find(row.requestClass);
    row.firstTokenBy = context.now + requestClass.firstTokenTarget;
    row.answerBy = context.now + event.deadline.value_or(requestClass.answerTarget);
    if (!applyKey(context, keys, event, row))
        return;
    ++countersOf(counters, row.requestClass).arrived;
    askForGrant(context, m_requests.insert(row), BackendServerId());
}

void EntrySystem::askForGrant(StepContext &context, RequestRow &row, BackendServerId avoid)
{
    const RequestClass *requestClass = context.configuration->classes.find(row.requestClass);
    const Workspace *workspace = context.configuration->workspaces.find(row.workspace);
    GrantRequest request;
    request.id = GrantId{ context.self.id, row.id };
    request.target = row.target;
    request.requestClass = row.requestClass;
    request.workspace = row.workspace;
    request.share = workspace ? workspace->share : 1.0;
    request.firstTokenIn = row.firstTokenBy - context.now;
    request.answerIn = row.answerBy - context.now;
    request.promptTokens = row.promptTokens;
    request.prefixHash = row.prefixHash;
    request.avoid = avoid;
    if (requestClass) {
        request.tier = requestClass->tier;
        request.queueBound = requestClass->queueBound;
        request.isWorthlessWhenLate = requestClass->late == LateRule::Worthless;
        request.isPreemptible = requestClass->isPreemptible;
    }
    row.owner = context.self.id;
    row.askedAt = context.now;
    context.send(row.owner, request);
}

void EntrySystem::withdraw(StepContext &context, const RequestRow &row)
{
    context.send(row.owner, GrantWithdrawn{ GrantId{ context.self.id, row.id } });
}

void EntrySystem::onGranted(StepContext &context, Counters &counters, HostId owner,
                            const Granted &message)
{
    RequestRow *row = m_requests.find(message.id.request);
    const BackendServer *server = context.configuration->backendServers.find(message.server);
    if (!row || row->state != State::Waiting || row->owner != owner || !server) {
        context.send(
            owner, LeaseReleased{
                       message.id, message.lease, message.server, LeaseEnd::Cancelled, 0, {}, {} });
        return;
    }
    const RequestClass *requestClass = context.configuration->classes.find(row->requestClass);
    AttemptRow attempt;
    attempt.id = AttemptId{ m_nextAttempt++ };
    attempt.request = row->id;
    attempt.grant = message.id;
    attempt.lease = message.lease;
    attempt.server = message.server;
    attempt.owner = owner;
    attempt.tier = requestClass ? requestClass->tier : tierCount - 1;
    attempt.startedAt = context.now;
    attempt.lastProgressAt = context.now;
    row->state = State::Running;
    row->attempt = attempt.id;
    ++row->attempts;
    ++counters.attempts;
    context.emit(StartAttempt{ attempt.id, row->id, server->id, server->address, attempt.tier });
    m_attempts.insert(attempt);
}

void EntrySystem::onShed(StepContext &context, Counters &counters, KeySystem &keys, HostId owner,
                         const GrantShed &message)
{
    const RequestRow *row = m_requests.find(message.id.request);
    if (row && row->state == State::Waiting && row->owner == owner)
        refuse(context, counters, keys, *row, message.code, Outcome::NotRun, message.retryAfter);
}

void EntrySystem::onHead(StepContext &context, Counters &counters, KeySystem &keys,
                         const AttemptHead &event)
{
    AttemptRow *attempt = m_attempts.find(event.attempt);
    if (!attempt)
        return;
    attempt->lastProgressAt = context.now;
    if (event.saysNotRun) {
        context.emit(CancelAttempt{ attempt->id });
        retryOrRefuse(context, counters, keys, *attempt, ResultCode::BackendServerRefused,
                      Outcome::NotRun);
        return;
    }
    const RequestRow *row = m_requests.find(attempt->request);
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
    context.emit(RelayAttempt{ attempt->request, attempt->id });
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
            row->isFirstTokenLate = context.now > row->firstTokenBy;
    }
    attempt->tokens += event.tokens;
}

void EntrySystem::countEnd(Counters &counters, const RequestRow &row, const AttemptRow &attempt,
                           TimePoint now)
{
    ClassCounters &counts = countersOf(counters, row.requestClass);
    const bool isInTarget = !row.isFirstTokenLate && now <= row.answerBy;
    ++counts.completed;
    counts.inTarget += isInTarget ? 1 : 0;
    (isInTarget ? counters.usefulTokens : counters.lateTokens) += attempt.tokens;
}

void EntrySystem::onDone(StepContext &context, Counters &counters, KeySystem &keys,
                         const AttemptDone &event)
{
    const AttemptRow *found = m_attempts.find(event.attempt);
    if (!found)
        return;
    const AttemptRow attempt = *found;
    release(context, attempt, LeaseEnd::Completed);
    m_attempts.remove(attempt.id);
    const RequestRow *row = m_requests.find(attempt.request);
    if (!row)
        return;
    countEnd(counters, *row, attempt, context.now);
    keys.finish(context, row->key, row->id, Outcome::Completed);
    context.emit(FinishReply{ row->id });
    m_requests.remove(attempt.request);
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
    const RequestClass *requestClass = context.configuration->classes.find(row->requestClass);
    const bool mayRepeat = requestClass && requestClass->repeat == RepeatRule::Idempotent;
    const bool isHarmless = outcome == Outcome::NotRun || mayRepeat;
    const bool mayRetry =
        isHarmless && !attempt.isRelayed && row->hasCaller && row->attempts < timing::attemptLimit;
    if (!mayRetry) {
        refuse(context, counters, keys, *row, code, outcome, timing::shedRetryAfter);
        return;
    }
    ++counters.retries;
    row->state = State::Waiting;
    row->attempt = AttemptId();
    askForGrant(context, *row, attempt.server);
}

void EntrySystem::refuse(StepContext &context, Counters &counters, KeySystem &keys, RequestRow row,
                         ResultCode code, Outcome outcome, Duration retryAfter)
{
    ClassCounters &counts = countersOf(counters, row.requestClass);
    ++(outcome == Outcome::NotRun ? counts.refused : counts.unknown);
    m_requests.remove(row.id);
    context.emit(RefuseRequest{ row.id, code, outcome, retryAfter });
    keys.finish(context, row.key, row.id, outcome);
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

void EntrySystem::onCallerLeft(StepContext &context, Counters &counters, KeySystem &keys,
                               const CallerLeft &event)
{
    RequestRow *row = m_requests.find(event.request);
    if (!row) {
        context.emit(CloseExchange{ event.request });
        return;
    }
    row->hasCaller = false;
    const bool isKeyedRun = row->state == State::Running && row->key.isValid();
    // The answer of a keyed run is kept for the caller's next try, so the run goes on.
    if (isKeyedRun)
        return;
    context.emit(CloseExchange{ event.request });
    if (row->state == State::Joined) {
        keys.leave(row->key, row->id);
        m_requests.remove(event.request);
        return;
    }
    ++countersOf(counters, row->requestClass).abandoned;
    if (row->state == State::Waiting) {
        withdraw(context, *row);
        keys.finish(context, row->key, row->id, Outcome::NotRun);
    }
    if (const AttemptRow *found = m_attempts.find(row->attempt)) {
        const AttemptRow attempt = *found;
        context.emit(CancelAttempt{ attempt.id });
        counters.cancelledTokens += attempt.tokens;
        release(context, attempt, LeaseEnd::Cancelled);
        m_attempts.remove(attempt.id);
    }
    m_requests.remove(event.request);
}

void EntrySystem::onForwardEnded(StepContext &context, RequestId request, bool isRelayed)
{
    m_requests.remove(request);
    if (isRelayed)
        context.emit(CloseExchange{ request });
    else
        context.emit(RefuseRequest{ request, ResultCode::KeyIssuerUnreachable, Outcome::Unknown,
                                    timing::shedRetryAfter });
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

void EntrySystem::renewLeases(StepContext &context)
{
    if (context.now - m_renewedAt < timing::leaseRenewalInterval)
        return;
    m_renewedAt = context.now;
    std::map<HostId, LeaseRenewal> renewals;
    for (const AttemptRow &attempt : m_attempts) {
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
    renewLeases(context);
}

} // namespace currantreel
