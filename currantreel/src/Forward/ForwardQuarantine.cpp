#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include <algorithm>

/// @file
/// Requests under which backend servers end: which runs are checked, what is held back and refused.

namespace currantreel {

namespace {

/// Ends of servers under the same whole request from which on it is held back.
constexpr std::size_t endsToHoldRepeats = 2;
/// An answer that had been coming for this long shows that its request did not end the server. Without
/// this, sound requests that break with several servers in a row would look like the cause.
constexpr Duration maxAnswerBeforeEnd = std::chrono::milliseconds(50);

} // namespace

void ForwardSystem::recordProof(TimePoint now, Call &call)
{
    if (call.isProven)
        return;
    call.isProven = true;
    for (const std::uint64_t segment : call.sharedSegments())
        m_quarantine.recordSound(now, segment);
    m_quarantine.recordSoundRequest(now, call.digest());
}

void ForwardSystem::checkServerRun(TimePoint now, const Call &call, const ForwardServer &server)
{
    const auto [check, isNew] = m_checkedRuns.try_emplace(server.run());
    std::vector<std::uint64_t> &suspects = check->second;
    const auto segments = call.sharedSegments();
    suspects.insert(suspects.end(), segments.begin(), segments.end());
    const bool wasAnswering =
        call.attemptEventAt && now - *call.attemptEventAt >= maxAnswerBeforeEnd;
    if (!wasAnswering)
        suspects.push_back(call.digest());
    if (!isNew)
        return;
    ++m_counters.serverRunsChecked;
    m_effects.emplace_back(CheckServerRun{ server.run(), server.announced.address });
}

bool ForwardSystem::areSegmentsKnownSound(const Call &call) const
{
    const auto segments = call.sharedSegments();
    return std::all_of(segments.begin(), segments.end(), [this](std::uint64_t segment) {
        return m_quarantine.isKnownSound(segment);
    });
}

void ForwardSystem::holdUntilChecked(TimePoint now, Call &call, ServerRunId run)
{
    if (!run.isValid())
        return;
    // Most requests that break with a server are not the cause of its end. So one that is repeated
    // is held back from its second end on only, unless a segment of it is not known either.
    const bool isFirstEnd = m_quarantine.endsOf(now, call.digest()) == 0;
    if (isFirstEnd && areSegmentsKnownSound(call))
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
    if (!call.heldUntil)
        return false;
    const auto segments = call.sharedSegments();
    return m_quarantine.endsOf(now, call.digest()) >= endsToHoldRepeats
           || std::any_of(segments.begin(), segments.end(), [&](std::uint64_t segment) {
                  return m_quarantine.isSuspect(now, segment);
              });
}

bool ForwardSystem::refuseIfQuarantined(TimePoint now, Call &call)
{
    if (call.isProven || !m_quarantine.quarantineOf(now, call.suspects))
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
