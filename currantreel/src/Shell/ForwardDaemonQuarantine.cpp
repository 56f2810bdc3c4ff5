#include "ForwardDaemon.h"

#include "DecisionLog.h"
#include "SteadyNow.h"

/// @file
/// The daemon's part in the quarantine of prompt segments: checks of servers, exchange with other
/// hosts, log.

namespace currantreel {

void ForwardDaemon::handle(const CheckServerRun &effect)
{
    m_runChecks.start(effect);
}

void ForwardDaemon::onServerRunChecked(ServerRunId run, ServerRunState state)
{
    const TimePoint now = steadyNow();
    writeServerRun(m_log, run, state);
    m_system.onServerRunChecked(now, run, state);
    applyEffects();
    runQuarantine(now);
}

void ForwardDaemon::receive(HostId from, const SegmentReports &reports)
{
    const TimePoint now = steadyNow();
    m_system.onSegmentReports(now, reports);
    applyEffects();
    m_quarantineSpread.onReports(now, from, reports, m_system.quarantine());
    runQuarantine(now);
}

bool ForwardDaemon::clearSegment(std::uint64_t segment)
{
    const TimePoint now = steadyNow();
    if (!m_system.quarantine().clear(now, segment))
        return false;
    m_log.write("segment_cleared_by_operator", { { "segment", hexOf(segment) } });
    runQuarantine(now);
    return true;
}

void ForwardDaemon::runQuarantine(TimePoint now)
{
    SegmentQuarantine &quarantine = m_system.quarantine();
    quarantine.run(now);
    for (const SegmentQuarantine::Change &change : quarantine.takeChanges())
        writeQuarantine(m_log, change);
    m_fleet.setQuarantineDigest(quarantine.digest(now));
    for (const OutgoingSegmentReports &outgoing : m_quarantineSpread.run(now, m_fleet, quarantine))
        m_peers.send(outgoing.to, outgoing.address, outgoing.reports);
}

} // namespace currantreel
