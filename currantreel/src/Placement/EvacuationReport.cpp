#include "EvacuationReport.h"

namespace currantreel {

namespace {

void countServers(const ServerDirectory &directory, FailureDomainId domain,
                  EvacuationReport &report)
{
    for (const ForwardServer &server : directory.servers()) {
        if (server.announced.failureDomain != domain)
            continue;
        ++report.servers;
        report.ownRequests += server.own.total().requests;
        report.othersRequests += server.others.total().requests;
    }
}

} // namespace

std::vector<EvacuationReport> evacuationReports(const ServerDirectory &directory, TimePoint now)
{
    std::vector<EvacuationReport> reports;
    for (const auto &[domain, evacuation] : directory.evacuated().evacuations()) {
        EvacuationReport report;
        report.failureDomain = evacuation.name;
        report.evacuated = now - evacuation.since;
        countServers(directory, domain, report);
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace currantreel
