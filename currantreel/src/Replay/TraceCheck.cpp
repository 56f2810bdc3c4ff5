#include "ReplayRun.h"
#include <algorithm>
#include <fmt/format.h>

namespace currantreel {

namespace {

/// Checks that the configuration declares the names that a trace uses.
class TraceCheck
{
public:
    TraceCheck(const Configuration &configuration, const Trace &trace, std::string file)
        : m_configuration(&configuration), m_trace(&trace), m_file(std::move(file))
    {
    }

    FaultList run()
    {
        for (const TraceArrival &arrival : m_trace->arrivals)
            check(arrival);
        for (const TraceStream &stream : m_trace->streams)
            check(stream.sample);
        for (const TraceFault &fault : m_trace->faults)
            check(fault);
        return std::move(m_faults);
    }

private:
    void require(bool isKnown, const std::string &key, const std::string &name)
    {
        if (!isKnown)
            m_faults.push_back(Fault{ ResultCode::ConfigurationUnknownReference, m_file, 0, key,
                                      fmt::format("'{}' is not declared", name) });
    }

    void check(const TraceArrival &arrival)
    {
        const Configuration &known = *m_configuration;
        require(known.classes.find(ClassId::ofName(arrival.className)), "class", arrival.className);
        require(known.workspaces.find(WorkspaceId::ofName(arrival.workspace)), "workspace",
                arrival.workspace);
        if (!arrival.isService) {
            require(known.models.find(ModelId::ofName(arrival.target)), "model", arrival.target);
            return;
        }
        const ServiceId service = ServiceId::ofName(arrival.target);
        require(std::any_of(known.backendServers.begin(), known.backendServers.end(),
                            [service](const BackendServer &server) {
                                return server.kind == BackendKind::Service
                                       && server.service == service;
                            }),
                "service", arrival.target);
    }

    [[nodiscard]] bool isHost(const std::string &name) const
    {
        return std::any_of(m_trace->hosts.begin(), m_trace->hosts.end(),
                           [&name](const TraceHost &host) { return host.name == name; });
    }

    [[nodiscard]] bool isFailureDomain(const std::string &name) const
    {
        return std::any_of(m_trace->hosts.begin(), m_trace->hosts.end(),
                           [&name](const TraceHost &host) { return host.failureDomain == name; });
    }

    void check(const TraceFault &fault)
    {
        switch (fault.kind) {
        case FaultKind::Straggler:
        case FaultKind::Crash:
        case FaultKind::Silence:
        case FaultKind::Leave:
            require(m_configuration->backendServers.find(BackendServerId::ofName(fault.target)),
                    "target", fault.target);
            break;
        case FaultKind::Partition:
            require(isFailureDomain(fault.target), "target", fault.target);
            require(isFailureDomain(fault.other), "other", fault.other);
            break;
        case FaultKind::Pause:
        case FaultKind::HostCrash:
            require(isHost(fault.target), "target", fault.target);
            break;
        case FaultKind::PlatformOutage:
            break;
        }
    }

    const Configuration *m_configuration;
    const Trace *m_trace;
    std::string m_file;
    FaultList m_faults;
};

} // namespace

FaultList checkTrace(const Trace &trace, const Configuration &configuration,
                     const std::string &file)
{
    return TraceCheck(configuration, trace, file).run();
}

} // namespace currantreel
