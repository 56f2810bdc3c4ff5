#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include "RefusalStatus.h"
#include <algorithm>

/// @file
/// Attempts at backend servers: progress, retries and the end of a request.

namespace currantreel {

namespace {

constexpr int firstFailureStatus = 500;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// True if the server states that it did not execute the request.
bool isNotRun(const AnswerStatus &answer)
{
    return answer.reportsNotRun || answer.status == detail::statusMisdirected;
}

/// True for answers that may call for a retry instead of being relayed.
bool isFailure(const AnswerStatus &answer)
{
    return answer.status >= firstFailureStatus || impliesNotRun(answer.status) || isNotRun(answer);
}

/// True if @p answer can continue a stream of which the caller has events already.
bool continuesStream(const AnswerStatus &answer)
{
    return answer.isEventStream && isSuccess(answer.status);
}

} // namespace

ForwardSystem::Call *ForwardSystem::callOf(AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : m_calls.find(found->second);
}

void ForwardSystem::onWritten(AttemptId attempt)
{
    Call *call = callOf(attempt);
    if (!call || call->isWritten)
        return;
    call->isWritten = true;
    ++call->sends;
}

void ForwardSystem::settlePrefill(Call &call)
{
    if (call.uncached > 0)
        reportProgress(call, PlacementProgress::AnswerStarted);
    if (ForwardServer *server = m_directory.find(call.server))
        server->own.finishPrefill(call.rank, call.uncached);
    call.uncached = 0;
}

void ForwardSystem::recordFirstEvent(TimePoint now, const Call &call)
{
    ForwardServer *server = m_directory.find(call.server);
    if (server && call.tokensToFirstEvent)
        m_groups.recordFirstEvent(now, *server, *call.tokensToFirstEvent, now - call.sentAt);
}

void ForwardSystem::releaseLoad(Call &call)
{
    reportProgress(call, call.progress);
    call.owner = {};
    settlePrefill(call);
    if (ForwardServer *server = m_directory.find(call.server))
        server->own.finish(call.rank, call.prompt.reservedTokens());
}

void ForwardSystem::cancelAttempt(Call &call)
{
    if (!call.attempt.isValid())
        return;
    m_effects.emplace_back(CancelForward{ call.attempt });
    m_attempts.erase(call.attempt);
    releaseLoad(call);
    call.attempt = {};
}

void ForwardSystem::onEvents(TimePoint now, AttemptId attempt, const AnswerStatus &answer)
{
    Call *call = callOf(attempt);
    if (!call)
        return;
    if (call->hasBegun)
        call->maxPause = std::max(call->maxPause, now - call->eventAt);
    else
        call->firstEvent = now - call->arrivedAt;
    call->eventAt = now;
    if (!call->attemptEventAt)
        call->attemptEventAt = now;
    call->progressAt = now;
    call->mayHaveRun = true;
    if (now - *call->attemptEventAt >= SegmentQuarantine::proofTime)
        recordProof(now, *call);
    if (call->state == State::Relayed)
        return;
    recordFirstEvent(now, *call);
    settlePrefill(*call);
    if (const ForwardServer *server = m_directory.find(call->server))
        m_directory.recordAnswer(*server);
    if (!isSuccess(answer.status))
        return;
    call->state = State::Relayed;
    if (!call->hasBegun && now > call->targetAt)
        countLate(*call);
    call->hasBegun = true;
    m_effects.emplace_back(RelayForward{ call->id, attempt });
}

void ForwardSystem::onLeavingReported(TimePoint now, AttemptId attempt, const AnswerStatus &answer)
{
    const Call *call = callOf(attempt);
    // A misdirected request was answered by another server.
    if (!call || answer.status == detail::statusMisdirected
        || !m_directory.recordLeaving(now, call->server, call->run))
        return;
    ++m_counters.leavingReports;
    const ForwardServer *server = m_directory.find(call->server);
    m_effects.emplace_back(LeavingRecord{ call->callerId, server->announced.instance });
    dispatchQueued(now);
}

void ForwardSystem::onEvacuated(TimePoint now)
{
    for (const RequestId id : callIds()) {
        Call *call = m_calls.find(id);
        if (!call || call->state != State::Sent || call->isWritten)
            continue;
        const ForwardServer *server = m_directory.find(call->server);
        if (!server || !m_directory.isEvacuated(*server))
            continue;
        ++m_counters.evacuatedAttempts;
        cancelAttempt(*call);
        call->queuedUntil = std::max(call->queuedUntil, now + (call->endAt - now) / 2);
        enqueue(*call);
        addRecord(recordOf(now, *call, DecisionKind::Queued));
    }
    dispatchQueued(now);
}

void ForwardSystem::countLate(const Call &call)
{
    ++m_counters.late;
    if (WorkspaceCounters *own = countersOf(call))
        ++own->late;
}

void ForwardSystem::onWarmUpReported(TimePoint now, AttemptId attempt, const AnswerStatus &answer,
                                     Duration coldLeft)
{
    const Call *call = callOf(attempt);
    // A misdirected request was answered by another server.
    if (call && answer.status != detail::statusMisdirected)
        m_directory.recordWarmUp(now, call->server, call->run, coldLeft);
}

bool ForwardSystem::mayRetry(const Call &call, bool hasRun) const
{
    if (call.sends >= call.route->maxAttempts)
        return false;
    if (!hasRun)
        return !call.hasBegun || call.route->isResumable;
    if (call.hasBegun)
        return call.route->isResumable;
    return call.route->repeat == RepeatRule::Idempotent || call.route->isResumable;
}

bool ForwardSystem::hasUntriedServer(const Call &call)
{
    for (const ForwardServer *server : m_directory.usable(call.service)) {
        if (std::find(call.tried.begin(), call.tried.end(), server->id) == call.tried.end())
            return true;
    }
    return false;
}

bool ForwardSystem::retry(TimePoint now, Call &call, bool hasRun)
{
    const bool isRetry = call.sends > 0;
    if (!mayRetry(call, hasRun))
        return false;
    if (isRetry && !m_retries.tryConsume(call.service, now))
        return false;
    if (isRetry)
        ++m_counters.retries;
    if (call.hasBegun)
        ++m_counters.streamsResumed;
    addRecord(recordOf(now, call, call.hasBegun ? DecisionKind::Resumed : DecisionKind::Retried));
    call.queuedUntil = std::max(call.queuedUntil, now + (call.endAt - now) / 2);
    enqueue(call);
    return true;
}

void ForwardSystem::recordOutcome(TimePoint now, Call &call, const AnswerStatus &answer)
{
    if (answer.status == detail::statusMisdirected)
        call.progress = PlacementProgress::Unreachable;
    else if (!isNotRun(answer))
        call.progress =
            isFailure(answer) ? PlacementProgress::Failed : PlacementProgress::Succeeded;
    if (isSuccess(answer.status))
        recordProof(now, call);
    ForwardServer *server = m_directory.find(call.server);
    if (!server)
        return;
    m_directory.recordAnswer(*server);
    server->health.recordProgress(now, call.progress);
}

void ForwardSystem::onAnswer(TimePoint now, AttemptId attempt, const AnswerStatus &answer)
{
    Call *call = callOf(attempt);
    if (!call)
        return;
    recordOutcome(now, *call, answer);
    const bool canRelay = !isFailure(answer) && (!call->hasBegun || continuesStream(answer));
    if (canRelay) {
        relay(now, *call, answer);
        return;
    }
    const bool hasRun = !isNotRun(answer);
    if (hasRun)
        call->mayHaveRun = true;
    if (mayRetry(*call, hasRun)) {
        if (!hasUntriedServer(*call))
            call->retryAt = now + timing::retryDelay;
        if (retry(now, *call, hasRun)) {
            cancelAttempt(*call);
            dispatchQueued(now);
            return;
        }
    }
    // A server failure is relayed unchanged unless its status would wrongly imply that the request
    // was not executed.
    if (hasRun && !impliesNotRun(answer.status) && !call->hasBegun) {
        relay(now, *call, answer);
        return;
    }
    refuseOrAbort(now, *call,
                  hasRun ? ResultCode::BackendServerLost : ResultCode::BackendServersBusy);
}

void ForwardSystem::relay(TimePoint now, Call &call, const AnswerStatus &answer)
{
    if (call.state != State::Relayed) {
        if (now > call.targetAt)
            countLate(call);
        m_effects.emplace_back(RelayForward{ call.id, call.attempt });
    }
    finish(now, call, answer);
}

void ForwardSystem::onFailed(TimePoint now, AttemptId attempt, AttemptFailure failure)
{
    Call *call = callOf(attempt);
    if (!call)
        return;
    addFailureRecord(now, *call, failure);
    const bool wasWritten = failure != AttemptFailure::NotConnected;
    call->progress = wasWritten ? PlacementProgress::Failed : PlacementProgress::Unreachable;
    ServerRunId brokenRun;
    if (ForwardServer *server = m_directory.find(call->server)) {
        if (wasWritten)
            server->health.recordFailure(now);
        else
            m_directory.recordUnreachable(*server, now);
        if (failure == AttemptFailure::Broken && !call->isProven) {
            brokenRun = server->run();
            checkServerRun(now, *call, *server);
        }
    }
    cancelAttempt(*call);
    if (wasWritten)
        call->mayHaveRun = true;
    else
        ++call->connectFailures;
    const bool hasTooManyFailures = call->connectFailures >= timing::maxConnectFailures;
    if (!hasTooManyFailures && retry(now, *call, wasWritten)) {
        holdUntilChecked(now, *call, brokenRun);
        dispatchQueued(now);
        return;
    }
    refuseOrAbort(now, *call,
                  wasWritten ? ResultCode::BackendServerLost : ResultCode::NoBackendServer);
}

void ForwardSystem::refuseOrAbort(TimePoint now, Call &call, ResultCode code)
{
    cancelAttempt(call);
    const Outcome outcome = call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    DecisionRecord refusal =
        recordOf(now, call, call.hasBegun ? DecisionKind::Broken : DecisionKind::Refused);
    refusal.code = code;
    refusal.outcome = outcome;
    addRecord(std::move(refusal));
    if (call.hasBegun) {
        ++m_counters.repliesAborted;
        m_effects.emplace_back(AbortForward{ call.id });
    } else {
        ++m_counters.refused[code];
        if (WorkspaceCounters *own = countersOf(call))
            ++own->refused;
        Duration retryAfter{};
        if (outcome == Outcome::NotRun)
            retryAfter = m_quarantine.quarantineOf(now, call.suspects)
                             .value_or(code == ResultCode::BackendServersEvacuated
                                           ? timing::evacuatedRetryAfter
                                           : timing::defaultRetryAfter);
        m_effects.emplace_back(RefuseForward{ call.id, code, outcome, retryAfter });
    }
    end(call.id);
    dispatchQueued(now);
}

void ForwardSystem::finish(TimePoint now, Call &call, const AnswerStatus &answer)
{
    ++m_counters.completed;
    m_durations.add(now, call.route->name, now - call.arrivedAt);
    m_counters.firstEvents.add(call.hasBegun ? call.firstEvent : now - call.arrivedAt);
    if (call.hasBegun)
        m_counters.pauses.add(call.maxPause);
    DecisionRecord ended = recordOf(now, call, DecisionKind::Ended);
    ended.status = answer.status;
    addRecord(std::move(ended));
    m_effects.emplace_back(FinishForward{ call.id });
    if (!call.owner.isValid()) {
        m_groups.countSlotTime(call.service, now, now - call.sentAt);
        if (call.route->hasPrompt && !call.isLongPrompt)
            m_groups.countStream(call.service, now, now - call.sentAt);
    }
    m_attempts.erase(call.attempt);
    releaseLoad(call);
    end(call.id);
    dispatchQueued(now);
}

} // namespace currantreel
