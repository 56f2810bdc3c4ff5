#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include <algorithm>

/// @file
/// Requests under which backend servers end: which runs are checked, what is held back and refused.

namespace currantreel {

void ForwardSystem::recordProof(TimePoint now, Call &call)
{
    if (call.isProven)
        return;
    call.isProven = true;
    for (const std::uint64_t segment : call.sharedSegments)
        m_quarantine.recordSound(now, segment);
}

void ForwardSystem::checkServerRun(const Call &call, const ForwardServer &server)
{
    if (call.sharedSegments.empty())
        return;
    const auto [check, isNew] = m_checkedRuns.try_emplace(server.run());
    std::vector<std::uint64_t> &segments = check->second;
    segments.insert(segments.end(), call.sharedSegments.begin(), call.sharedSegments.end());
    if (!isNew)
        return;
    ++m_counters.serverRunsChecked;
    m_effects.emplace_back(CheckServerRun{ server.run(), server.announced.address });
}

void ForwardSystem::holdUntilChecked(TimePoint now, Call &call, ServerRunId run)
{
    const bool isKnownSound =
        std::all_of(call.sharedSegments.begin(), call.sharedSegments.end(),
                    [this](std::uint64_t segment) { return m_quarantine.isKnownSound(segment); });
    if (!run.isValid() || isKnownSound)
        return;
    call.checkedRun = run;
    call.retryAt = now + timing::serverRunCheckTimeout;
}

void ForwardSystem::onServerRunChecked(TimePoint now, ServerRunId run, ServerRunState state)
{
    const auto found = m_checkedRuns.find(run);
    if (found == m_checkedRuns.end())
        return;
    if (state == ServerRunState::Ended) {
        ++m_counters.serverRunsEnded;
        m_quarantine.recordEnd(now, run, found->second);
    }
    m_checkedRuns.erase(found);
    for (Call &call : m_calls) {
        if (call.checkedRun != run)
            continue;
        call.checkedRun = {};
        call.retryAt = now;
        if (state == ServerRunState::Ended)
            call.heldUntil = now + timing::segmentClearanceWait;
    }
    refuseQuarantined(now);
    dispatchQueued(now);
}

void ForwardSystem::onSegmentReports(TimePoint now, const SegmentReports &reports)
{
    m_quarantine.merge(now, reports.reports);
    refuseQuarantined(now);
    dispatchQueued(now);
}

bool ForwardSystem::isHeld(TimePoint now, const Call &call) const
{
    return call.heldUntil
           && std::any_of(
               call.sharedSegments.begin(), call.sharedSegments.end(),
               [&](std::uint64_t segment) { return m_quarantine.isSuspect(now, segment); });
}

bool ForwardSystem::refuseIfQuarantined(TimePoint now, Call &call)
{
    if (call.isProven || !m_quarantine.quarantineOf(now, call.sharedSegments))
        return false;
    if (call.isWritten && call.attempt.isValid())
        call.mayHaveRun = true;
    refuseOrAbort(now, call, ResultCode::RequestQuarantined);
    return true;
}

void ForwardSystem::refuseQuarantined(TimePoint now)
{
    if (m_quarantine.digest(now) == 0)
        return;
    for (const RequestId id : callIds()) {
        if (Call *call = m_calls.find(id))
            static_cast<void>(refuseIfQuarantined(now, *call));
    }
}

} // namespace currantreel
