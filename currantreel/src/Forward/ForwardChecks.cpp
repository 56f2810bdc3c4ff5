#include "ForwardSystem.h"

#include "../Placement/TargetMiss.h"
#include "ForwardTiming.h"
#include <algorithm>

/// @file
/// Periodic checks of requests: deadlines, silent servers, queues; and the end of all requests.

namespace currantreel {

bool ForwardSystem::isUnresponsive(TimePoint now, const Call &call) const
{
    const Duration silence = now - call.progressAt;
    if (call.state == State::Relayed) {
        const Duration pauses = call.route->pauseTarget * timing::silencePauseMultiple;
        return silence >= std::max(pauses, timing::minSilence);
    }
    const Duration targets = call.route->target * timing::silenceTargetMultiple;
    return silence >= std::max(targets, timing::minSilence);
}

void ForwardSystem::demote(TimePoint now, Call &call)
{
    const bool isLate = missesTarget(now, call.targetAt, call.route->target);
    if (call.missesTarget || call.hasBegun || !isLate)
        return;
    call.missesTarget = true;
    m_queues[call.service].setMissesTarget(call.id);
}

void ForwardSystem::checkQueued(TimePoint now, Call &call)
{
    const bool hasServers = !m_directory.usable(call.service).empty();
    if (isHeld(now, call) && now >= *call.heldUntil)
        refuseOrAbort(now, call, ResultCode::BackendServerLost);
    else if (!hasServers && !call.hasBegun && now >= call.retryAt)
        refuseOrAbort(now, call,
                      m_directory.hasEvacuated(call.service) ? ResultCode::BackendServersEvacuated
                                                             : ResultCode::NoBackendServer);
    else if (now >= call.queuedUntil)
        refuseOrAbort(now, call, ResultCode::QueueFull);
}

void ForwardSystem::checkCall(TimePoint now, Call &call)
{
    if (now >= call.endAt) {
        if (call.isWritten && call.attempt.isValid())
            call.mayHaveRun = true;
        refuseOrAbort(now, call, ResultCode::RequestTimedOut);
        return;
    }
    if (refuseIfQuarantined(now, call))
        return;
    if (call.state == State::Requested) {
        checkOwnerRequest(now, call);
        return;
    }
    if (call.state == State::Queued) {
        demote(now, call);
        checkQueued(now, call);
        return;
    }
    if (!call.isWritten && now - call.sentAt >= timing::connectTimeout) {
        onFailed(now, call.attempt, AttemptFailure::NotConnected);
        return;
    }
    if (!call.isWritten || !isUnresponsive(now, call) || !mayRetry(call, true))
        return;
    call.mayHaveRun = true;
    call.progress = PlacementProgress::Failed;
    if (ForwardServer *server = m_directory.find(call.server))
        server->health.recordFailure(now);
    if (!retry(now, call, true)) {
        // The retry budget is exhausted: check again after another silence timeout.
        call.progressAt = now;
        return;
    }
    cancelAttempt(call);
    dispatchQueued(now);
}

void ForwardSystem::endAll(TimePoint now)
{
    for (const RequestId id : callIds()) {
        Call *call = m_calls.find(id);
        if (!call)
            continue;
        if (call->isWritten && call->attempt.isValid())
            call->mayHaveRun = true;
        refuseOrAbort(now, *call, ResultCode::Stopping);
    }
}

std::vector<RequestId> ForwardSystem::callIds() const
{
    std::vector<RequestId> ids;
    ids.reserve(m_calls.size());
    for (const Call &call : m_calls)
        ids.push_back(call.id);
    return ids;
}

void ForwardSystem::run(TimePoint now)
{
    m_quarantine.run(now);
    m_directory.runWarmUp(now);
    checkOwners(now);
    dispatchQueued(now);
    for (const RequestId id : callIds()) {
        if (Call *call = m_calls.find(id))
            checkCall(now, *call);
    }
    flushUpdates();
}

} // namespace currantreel
