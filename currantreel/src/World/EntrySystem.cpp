#include "EntrySystem.h"

#include "../Ownership/Targets.h"
#include "OwnerSystem.h"
#include "Timing.h"
#include <algorithm>

namespace currantreel {

namespace {

bool canServe(const BackendServer &server, TargetId target)
{
    if (server.kind == BackendKind::Service)
        return targetOfService(server.service) == target;
    return std::any_of(server.models.begin(), server.models.end(),
                       [target](ModelId model) { return targetOfModel(model) == target; });
}

} // namespace

EntrySystem::EntrySystem(Incarnation incarnation)
    : m_nextAttempt(incarnation.value + 1), m_backoff(incarnation.value)
{
}

ClassCounters &EntrySystem::countersOf(Counters &counters, ClassId id)
{
    if (ClassCounters *row = counters.classes.find(id))
        return *row;
    ClassCounters row;
    row.id = id;
    return counters.classes.insert(row);
}

std::optional<ResultCode> EntrySystem::resolve(const StepContext &context,
                                               const RequestArrived &event, RequestRow &row)
{
    const Configuration &configuration = *context.configuration;
    if (configuration.version == 0)
        return ResultCode::RequestNoConfiguration;
    const Workspace *workspace =
        configuration.workspaces.find(WorkspaceId::ofName(event.workspace));
    if (!workspace)
        return ResultCode::RequestUnknownWorkspace;
    row.workspace = workspace->id;
    row.requestClass =
        event.className.empty() ? workspace->defaultClass : ClassId::ofName(event.className);
    const RequestClass *requestClass = configuration.classes.find(row.requestClass);
    if (!requestClass)
        return ResultCode::RequestUnknownClass;
    row.firstTokenDeadline = context.now + requestClass->firstTokenTarget;
    row.answerDeadline = context.now + event.deadline.value_or(requestClass->answerTarget);
    return event.kind == RequestKind::Service ? resolveService(configuration, event, row)
                                              : resolveModel(configuration, event, row);
}

std::optional<ResultCode> EntrySystem::resolveService(const Configuration &configuration,
                                                      const RequestArrived &event, RequestRow &row)
{
    row.target = targetOfService(ServiceId::ofName(event.target));
    const auto &servers = configuration.backendServers;
    const bool isKnown =
        std::any_of(servers.begin(), servers.end(),
                    [&](const BackendServer &server) { return canServe(server, row.target); });
    if (isKnown)
        return std::nullopt;
    return ResultCode::RequestUnknownService;
}

std::optional<ResultCode> EntrySystem::resolveModel(const Configuration &configuration,
                                                    const RequestArrived &event, RequestRow &row)
{
    const ModelId model = ModelId::ofName(event.target);
    row.target = targetOfModel(model);
    if (configuration.models.find(model))
        return std::nullopt;
    return ResultCode::RequestUnknownModel;
}

bool EntrySystem::claimKey(StepContext &context, KeySystem &keys, const RequestArrived &event,
                           RequestRow &row)
{
    const KeyDecision decision = keys.claim(context, event.idempotencyKey, event);
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
        context.emit(
            ForwardRequest{ event.request, decision.issuer.id, decision.issuer.callerAddress });
        return false;
    case KeyDecision::Action::Refuse:
        break;
    }
    context.emit(RefuseRequest{ event.request, decision.code, decision.outcome, {} });
    return false;
}

std::optional<ResultCode> EntrySystem::assignKey(StepContext &context, KeySystem &keys,
                                                 const RequestArrived &event, RequestRow &row)
{
    const RequestClass &requestClass = *context.configuration->classes.find(row.requestClass);
    if (requestClass.keys == KeyRule::Required)
        return ResultCode::KeyRequired;
    if (requestClass.repeat == RepeatRule::Idempotent)
        return std::nullopt;
    const std::string key = keys.issue(context);
    const KeyDecision decision = keys.claim(context, key, event);
    if (decision.action != KeyDecision::Action::Run)
        return decision.code;
    row.key = decision.key;
    context.emit(KeyAssigned{ event.request, key });
    return std::nullopt;
}

void EntrySystem::onArrived(StepContext &context, Counters &counters, KeySystem &keys,
                            const RequestArrived &event, bool isStopping)
{
    RequestRow row;
    row.id = event.request;
    row.arrivedAt = context.now;
    row.promptTokens = event.promptTokens;
    row.prefixHash = event.prefixHash;
    // What became of a key is told before anything else can refuse the request, for a duplicate of a
    // run must never hear "not run".
    const bool hasKey = !event.idempotencyKey.empty();
    if (hasKey && !claimKey(context, keys, event, row))
        return;
    std::optional<ResultCode> fault =
        isStopping ? ResultCode::Stopping : resolve(context, event, row);
    if (!fault && !hasKey)
        fault = assignKey(context, keys, event, row);
    if (fault) {
        context.emit(RefuseRequest{ event.request, *fault, Outcome::NotRun, {} });
        finishKey(context, keys, row.key, row.id, Outcome::NotRun);
        return;
    }
    ++countersOf(counters, row.requestClass).arrived;
    const RequestClass &requestClass = *context.configuration->classes.find(row.requestClass);
    retryBudgetOf(row.requestClass).earn(1, requestClass.retryPermille);
    askForGrant(context, m_requests.insert(row), BackendServerId());
}

HostId EntrySystem::ownerFor(StepContext &context, const RequestRow &row, Tier tier)
{
    // Who did not answer is asked again only if there is no other.
    const bool isSilent =
        row.owner.isValid() && context.now - row.askedAt > timing::grantResponseTimeout;
    const HostId avoid = isSilent ? row.owner : HostId();
    const HostId owner = context.router.choose(context.now, row.target, tier, avoid);
    return owner.isValid() ? owner : context.self.id;
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
    request.firstTokenTimeLeft = row.firstTokenDeadline - context.now;
    request.answerTimeLeft = row.answerDeadline - context.now;
    request.promptTokens = row.promptTokens;
    request.prefixHash = row.prefixHash;
    request.avoid = avoid;
    if (requestClass) {
        request.tier = requestClass->tier;
        request.queueBound = requestClass->queueBound - (context.now - row.arrivedAt);
        request.isWorthlessWhenLate = requestClass->late == LateRule::Worthless;
        request.isPreemptible = requestClass->isPreemptible && !row.wasPreempted;
    }
    if (row.isHedgeAsked) {
        // A second attempt takes only a slot that nobody waits for.
        request.tier = tierCount - 1;
        request.queueBound = timing::hedgeQueueBound;
        request.isPreemptible = false;
    }
    row.owner = ownerFor(context, row, request.tier);
    row.askedAt = context.now;
    context.send(row.owner, request);
}

void EntrySystem::withdraw(StepContext &context, const RequestRow &row)
{
    context.send(row.owner, GrantWithdrawn{ GrantId{ context.self.id, row.id } });
}

bool EntrySystem::isStale(const StepContext &context, const RequestRow &row, const Granted &message)
{
    // A grant of this host itself is delivered in the step that made it.
    if (row.owner == context.self.id)
        return false;
    return context.isAfterPause || context.now - row.askedAt > message.leaseDuration;
}

bool EntrySystem::isWorthless(const StepContext &context, const RequestRow &row)
{
    const RequestClass *requestClass = context.configuration->classes.find(row.requestClass);
    return requestClass && requestClass->late == LateRule::Worthless
           && context.now > row.answerDeadline;
}

void EntrySystem::onGranted(StepContext &context, Counters &counters, KeySystem &keys, HostId owner,
                            const Granted &message)
{
    RequestRow *row = m_requests.find(message.id.request);
    const BackendServer *server = context.configuration->backendServers.find(message.server);
    if (row && row->state == State::Running && row->isHedgeAsked && row->owner == owner) {
        onHedgeGranted(context, counters, *row, message);
        return;
    }
    const bool isAwaited = row && row->state == State::Waiting && row->owner == owner;
    if (isAwaited && server && !isStale(context, *row, message) && !isWorthless(context, *row)) {
        startAttempt(context, counters, *row, *server, message);
        return;
    }
    context.send(
        owner,
        LeaseReleased{ message.id, message.lease, message.server, LeaseEnd::Cancelled, 0, {}, {} });
    if (!isAwaited)
        return;
    if (isWorthless(context, *row))
        refuse(context, counters, keys, *row, ResultCode::AnswerLate, Outcome::NotRun, {});
    else
        askForGrant(context, *row, BackendServerId());
}

void EntrySystem::startAttempt(StepContext &context, Counters &counters, RequestRow &row,
                               const BackendServer &server, const Granted &message)
{
    const RequestClass *requestClass = context.configuration->classes.find(row.requestClass);
    AttemptRow attempt;
    attempt.id = AttemptId{ m_nextAttempt++ };
    attempt.request = row.id;
    attempt.grant = message.id;
    attempt.lease = message.lease;
    attempt.server = message.server;
    attempt.owner = row.owner;
    attempt.tier = requestClass ? requestClass->tier : tierCount - 1;
    attempt.startedAt = context.now;
    attempt.lastProgressAt = context.now;
    row.state = State::Running;
    row.attempt = attempt.id;
    ++row.attempts;
    ++counters.attempts;
    context.emit(StartAttempt{ attempt.id, row.id, server.id, server.address, attempt.tier,
                               context.now + message.leaseDuration });
    m_attempts.insert(attempt);
}

void EntrySystem::onShed(StepContext &context, Counters &counters, KeySystem &keys, HostId owner,
                         const GrantShed &message)
{
    RequestRow *row = m_requests.find(message.id.request);
    if (!row || row->owner != owner)
        return;
    row->isHedgeAsked = false;
    if (row->state == State::Waiting)
        refuse(context, counters, keys, *row, message.code, Outcome::NotRun, message.retryAfter);
}

void EntrySystem::onMoved(StepContext &context, HostId owner, const GrantMoved &message)
{
    RequestRow *row = m_requests.find(message.id.request);
    if (!row || row->state != State::Waiting || row->owner != owner)
        return;
    // Without another one, the view of that host or of this one is about to change.
    if (context.router.hasOtherOwner(context.now, row->target, owner)) {
        TargetLoad none;
        none.target = row->target;
        context.router.recordLoad(context.now, owner, none);
    }
    askForGrant(context, *row, BackendServerId());
}

void EntrySystem::onHostLost(StepContext &context, HostId host)
{
    for (RequestRow &row : m_requests) {
        if (row.state == State::Waiting && row.owner == host)
            askForGrant(context, row, BackendServerId());
    }
}

void EntrySystem::askAgain(StepContext &context)
{
    for (RequestRow &row : m_requests) {
        const bool isSilent = row.state == State::Waiting && row.owner != context.self.id
                              && context.now - row.askedAt > timing::grantResponseTimeout;
        if (!isSilent)
            continue;
        withdraw(context, row);
        askForGrant(context, row, BackendServerId());
    }
}

void EntrySystem::onCallerDisconnected(StepContext &context, Counters &counters, KeySystem &keys,
                                       const CallerDisconnected &event)
{
    RequestRow *found = m_requests.find(event.request);
    if (!found) {
        context.emit(CloseExchange{ event.request });
        return;
    }
    found->hasCaller = false;
    // The answer of a keyed run is kept for the caller's next try, so the run goes on; so does one
    // that has not started while a duplicate waits for it.
    const bool isKeyedRun = found->state == State::Running && found->key.isValid();
    const bool isJoined = found->state != State::Joined && keys.hasJoinedRequests(found->key);
    if (isKeyedRun || isJoined)
        return;
    const RequestRow row = *found;
    m_requests.remove(row.id);
    context.emit(CloseExchange{ row.id });
    if (row.state == State::Joined)
        keys.removeJoinedRequest(row.key, row.id);
    if (row.state == State::Joined || row.state == State::Forwarded)
        return;
    ++countersOf(counters, row.requestClass).abandoned;
    if (row.state == State::Waiting || row.isHedgeAsked)
        withdraw(context, row);
    if (row.state != State::Running)
        finishKey(context, keys, row.key, row.id, outcomeOf(row, Outcome::NotRun));
    cancelAll(context, counters.cancelledTokens, row);
}

void EntrySystem::cancel(StepContext &context, std::uint64_t &wastedTokens,
                         const AttemptRow &running)
{
    const AttemptRow attempt = running;
    context.emit(CancelAttempt{ attempt.id });
    wastedTokens += attempt.tokens;
    release(context, attempt, LeaseEnd::Cancelled);
    m_attempts.remove(attempt.id);
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

} // namespace currantreel
