#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include "RefusalStatus.h"
#include <algorithm>

/// @file
/// What becomes of a request while it is at a backend server and after.

namespace currantreel {

namespace {

constexpr int firstFailureStatus = 500;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// True if the server states that it did not run the request.
bool isNotRun(const AnswerStatus &answer)
{
    return answer.reportsNotRun || answer.status == detail::statusMisdirected;
}

/// True for answers that are not simply passed on.
bool isFailure(const AnswerStatus &answer)
{
    return answer.status >= firstFailureStatus || impliesNotRun(answer.status) || isNotRun(answer);
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

void ForwardSystem::settleRead(Call &call)
{
    if (call.uncached > 0)
        tell(call, PlacementProgress::AnswerStarted);
    if (ForwardServer *server = m_directory.find(call.server))
        server->own.finishReading(call.uncached);
    call.uncached = 0;
}

void ForwardSystem::settleLoad(Call &call)
{
    tell(call, call.progress);
    call.owner = {};
    settleRead(call);
    if (ForwardServer *server = m_directory.find(call.server))
        server->own.finish(call.prompt.heldTokens());
}

void ForwardSystem::dropAttempt(Call &call)
{
    if (!call.attempt.isValid())
        return;
    m_effects.emplace_back(CancelForward{ call.attempt });
    m_attempts.erase(call.attempt);
    settleLoad(call);
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
    call->progressAt = now;
    call->mayHaveRun = true;
    if (call->state == State::Relayed)
        return;
    settleRead(*call);
    if (const ForwardServer *server = m_directory.find(call->server))
        m_directory.noteAnswer(*server);
    if (!isSuccess(answer.status))
        return;
    call->state = State::Relayed;
    if (!call->hasBegun && now > call->targetAt)
        ++m_counters.late;
    call->hasBegun = true;
    m_effects.emplace_back(RelayForward{ call->id, attempt });
}

bool ForwardSystem::mayRepeat(const Call &call, bool hasRun) const
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

bool ForwardSystem::tryAgain(TimePoint now, Call &call, bool hasRun)
{
    const bool isRepeat = call.sends > 0;
    if (!mayRepeat(call, hasRun))
        return false;
    if (isRepeat && !m_retries.take(call.service, now))
        return false;
    if (isRepeat)
        ++m_counters.retries;
    if (call.hasBegun)
        ++m_counters.streamsResumed;
    note(noteOf(now, call, call.hasBegun ? DecisionKind::Resumed : DecisionKind::Retried));
    call.queuedUntil = std::max(call.queuedUntil, now + (call.endAt - now) / 2);
    enqueue(call);
    return true;
}

void ForwardSystem::judgeServer(TimePoint now, Call &call, const AnswerStatus &answer)
{
    if (answer.status == detail::statusMisdirected)
        call.progress = PlacementProgress::Unreachable;
    else if (!isNotRun(answer))
        call.progress =
            isFailure(answer) ? PlacementProgress::Failed : PlacementProgress::Succeeded;
    ForwardServer *server = m_directory.find(call.server);
    if (!server)
        return;
    m_directory.noteAnswer(*server);
    server->health.judge(now, call.progress);
}

void ForwardSystem::onAnswer(TimePoint now, AttemptId attempt, const AnswerStatus &answer)
{
    Call *call = callOf(attempt);
    if (!call)
        return;
    judgeServer(now, *call, answer);
    if (!isFailure(answer)) {
        passOn(now, *call, answer);
        return;
    }
    const bool hasRun = !isNotRun(answer);
    if (hasRun)
        call->mayHaveRun = true;
    if (mayRepeat(*call, hasRun)) {
        if (!hasUntriedServer(*call))
            call->retryAt = now + timing::retryDelay;
        if (tryAgain(now, *call, hasRun)) {
            dropAttempt(*call);
            dispatchWaiting(now);
            return;
        }
    }
    // A failure of the server's own is passed on as it is, unless its status would wrongly imply that
    // the request did not run.
    if (hasRun && !impliesNotRun(answer.status) && !call->hasBegun) {
        passOn(now, *call, answer);
        return;
    }
    giveUp(now, *call, hasRun ? ResultCode::BackendServerLost : ResultCode::BackendServersBusy);
}

void ForwardSystem::passOn(TimePoint now, Call &call, const AnswerStatus &answer)
{
    if (call.state != State::Relayed) {
        if (now > call.targetAt)
            ++m_counters.late;
        m_effects.emplace_back(RelayForward{ call.id, call.attempt });
    }
    finish(now, call, answer);
}

void ForwardSystem::onFailed(TimePoint now, AttemptId attempt, AttemptFailure failure)
{
    Call *call = callOf(attempt);
    if (!call)
        return;
    const bool wasWritten = failure != AttemptFailure::NotConnected;
    call->progress = wasWritten ? PlacementProgress::Failed : PlacementProgress::Unreachable;
    if (ForwardServer *server = m_directory.find(call->server)) {
        if (wasWritten)
            server->health.failed(now);
        else
            m_directory.noteUnreachable(*server, now);
    }
    dropAttempt(*call);
    if (wasWritten)
        call->mayHaveRun = true;
    else
        ++call->connectFailures;
    const bool isHopeless = call->connectFailures >= timing::mostConnectFailures;
    if (!isHopeless && tryAgain(now, *call, wasWritten)) {
        dispatchWaiting(now);
        return;
    }
    giveUp(now, *call, wasWritten ? ResultCode::BackendServerLost : ResultCode::NoBackendServer);
}

void ForwardSystem::giveUp(TimePoint now, Call &call, ResultCode code)
{
    dropAttempt(call);
    const Outcome outcome = call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    DecisionRecord refusal =
        noteOf(now, call, call.hasBegun ? DecisionKind::Broken : DecisionKind::Refused);
    refusal.code = code;
    refusal.outcome = outcome;
    note(std::move(refusal));
    if (call.hasBegun) {
        ++m_counters.repliesAborted;
        m_effects.emplace_back(AbortForward{ call.id });
    } else {
        ++m_counters.refused[code];
        const bool isNotRun = outcome == Outcome::NotRun;
        m_effects.emplace_back(RefuseForward{
            call.id, code, outcome, isNotRun ? timing::defaultRetryAfter : Duration::zero() });
    }
    end(call.id);
    dispatchWaiting(now);
}

void ForwardSystem::finish(TimePoint now, Call &call, const AnswerStatus &answer)
{
    ++m_counters.completed;
    m_counters.firstEvents.add(call.hasBegun ? call.firstEvent : now - call.arrivedAt);
    if (call.hasBegun)
        m_counters.pauses.add(call.maxPause);
    DecisionRecord ended = noteOf(now, call, DecisionKind::Ended);
    ended.status = answer.status;
    note(std::move(ended));
    m_effects.emplace_back(FinishForward{ call.id });
    if (call.route->hasPrompt && !call.isLongPrompt && !call.owner.isValid())
        m_groups.countRunning(call.service, now, now - call.sentAt);
    m_attempts.erase(call.attempt);
    settleLoad(call);
    end(call.id);
    dispatchWaiting(now);
}

bool ForwardSystem::isSilent(TimePoint now, const Call &call) const
{
    const Duration silence = now - call.progressAt;
    if (call.state == State::Relayed) {
        const Duration pauses = call.route->pauseTarget * timing::silencePauses;
        return silence >= std::max(pauses, timing::shortestSilence);
    }
    const Duration targets = call.route->target * timing::silenceTargets;
    return silence >= std::max(targets, timing::shortestSilence);
}

void ForwardSystem::putBehind(TimePoint now, Call &call)
{
    const auto needed =
        std::chrono::duration_cast<Duration>(call.route->target * timing::neededShareOfTarget);
    if (call.isBehind || call.hasBegun || now < call.targetAt - needed)
        return;
    dequeue(call);
    call.isBehind = true;
    enqueue(call);
}

void ForwardSystem::checkCall(TimePoint now, Call &call)
{
    if (now >= call.endAt) {
        if (call.isWritten && call.attempt.isValid())
            call.mayHaveRun = true;
        giveUp(now, call, ResultCode::RequestTimedOut);
        return;
    }
    if (call.state == State::Asked) {
        checkAsk(now, call);
        return;
    }
    if (call.state == State::Waiting) {
        putBehind(now, call);
        const bool hasServers = !m_directory.usable(call.service).empty();
        if (!hasServers && !call.hasBegun && now >= call.retryAt)
            giveUp(now, call, ResultCode::NoBackendServer);
        else if (now >= call.queuedUntil)
            giveUp(now, call, ResultCode::QueueFull);
        return;
    }
    if (!call.isWritten && now - call.sentAt >= timing::forwardConnect) {
        onFailed(now, call.attempt, AttemptFailure::NotConnected);
        return;
    }
    if (!call.isWritten || !isSilent(now, call) || !mayRepeat(call, true))
        return;
    call.mayHaveRun = true;
    call.progress = PlacementProgress::Failed;
    if (ForwardServer *server = m_directory.find(call.server))
        server->health.failed(now);
    if (!tryAgain(now, call, true)) {
        // No room in the allowance: look again after another silence.
        call.progressAt = now;
        return;
    }
    dropAttempt(call);
    dispatchWaiting(now);
}

void ForwardSystem::run(TimePoint now)
{
    checkOwners(now);
    dispatchWaiting(now);
    std::vector<RequestId> ids;
    ids.reserve(m_calls.size());
    for (const Call &call : m_calls)
        ids.push_back(call.id);
    for (const RequestId id : ids) {
        if (Call *call = m_calls.find(id))
            checkCall(now, *call);
    }
    flushNotes();
}

} // namespace currantreel
