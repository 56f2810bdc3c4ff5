#include "EvacuationLog.h"

#include "../Placement/EvacuationReport.h"

namespace currantreel {

void EvacuationLog::onEvacuated(const std::string &failureDomain, std::uint64_t revision)
{
    m_busy.insert(failureDomain);
    m_log->write("failure_domain_evacuated",
                 { { "failure_domain", failureDomain }, { "revision", std::to_string(revision) } });
}

void EvacuationLog::onTakenBack(TimePoint now, const EvacuatedDomains::Evacuation &evacuation,
                                std::uint64_t revision)
{
    m_busy.erase(evacuation.name);
    m_log->write("failure_domain_taken_back",
                 { { "failure_domain", evacuation.name },
                   { "evacuated_ms", std::to_string(toMilliseconds(now - evacuation.since)) },
                   { "revision", std::to_string(revision) } });
}

void EvacuationLog::run(TimePoint now, const ServerDirectory &directory)
{
    if (m_busy.empty())
        return;
    for (const EvacuationReport &report : evacuationReports(directory, now)) {
        if (report.ownRequests > 0 || m_busy.erase(report.failureDomain) == 0)
            continue;
        m_log->write("failure_domain_empty",
                     { { "failure_domain", report.failureDomain },
                       { "servers", std::to_string(report.servers) },
                       { "evacuated_ms", std::to_string(toMilliseconds(report.evacuated)) } });
    }
}

} // namespace currantreel
