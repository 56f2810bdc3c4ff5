#include "ReplayRun.h"

#include "CallerSimulator.h"
#include "HostSimulator.h"
#include "ReplayOracle.h"

namespace currantreel {

namespace {

/// One run: the bench's parts, wired together.
template <RoutingPolicy Policy>
class ReplayRun
{
public:
    ReplayRun(const Trace &trace, const std::shared_ptr<const Configuration> &configuration,
              std::uint64_t seed)
        : m_trace(&trace),
          m_book(trace.name, *configuration),
          m_state(stateOf(trace)),
          m_backends(m_state.schedule, trace, *configuration,
                     [this](const BackendNews &news) { m_exchanges.onNews(news); }),
          m_exchanges(m_state, m_book, m_backends, *configuration),
          m_hosts(
              m_state, configuration, seed,
              [this](std::size_t host, const Effect &effect) { m_exchanges.handle(host, effect); }),
          m_callers(m_state, m_book, m_exchanges, deliver())
    {
        m_exchanges.connect(deliver(), [this](Exchange &exchange, const ExchangeReply &reply) {
            m_callers.onReply(exchange, reply);
        });
    }

    ReplayReport run(const std::vector<TraceArrival> &arrivals)
    {
        m_hosts.start(m_backends);
        m_callers.start(arrivals);
        for (const TraceFault &fault : m_trace->faults) {
            m_state.schedule.at(TimePoint(fault.at), [this, &fault] { begin(fault); });
            m_state.schedule.at(TimePoint(fault.at + fault.length), [this, &fault] { end(fault); });
        }
        m_state.schedule.runUntil(TimePoint(m_trace->length + replaytiming::drain));
        ReplayReport report = m_book.report(m_backends);
        report.committedTokens = m_backends.committedTokens(m_trace->length);
        return report;
    }

private:
    static BenchState stateOf(const Trace &trace)
    {
        BenchState state;
        for (const TraceHost &host : trace.hosts)
            state.hosts.push_back(HostState{ HostId::ofName(host.name), host.name,
                                             host.failureDomain, 0, true, TimePoint() });
        return state;
    }

    ExchangeBench::Deliver deliver()
    {
        return [this](std::size_t host, Event event) { m_hosts.deliver(host, std::move(event)); };
    }

    [[nodiscard]] std::size_t hostOf(const TraceFault &fault) const
    {
        std::size_t host = 0;
        while (m_state.hosts[host].name != fault.target)
            ++host;
        return host;
    }

    void begin(const TraceFault &fault)
    {
        const BackendServerId server = BackendServerId::ofName(fault.target);
        switch (fault.kind) {
        case FaultKind::Straggler:
            m_backends.slowDown(server, fault.factor);
            break;
        case FaultKind::Crash:
            m_backends.crash(server);
            break;
        case FaultKind::Silence:
            m_backends.silence(server);
            break;
        case FaultKind::Leave:
            m_backends.setLeaving(server, true);
            break;
        case FaultKind::Partition:
            m_state.partitions.cut(fault.target, fault.other);
            break;
        case FaultKind::PlatformOutage:
            m_hosts.setPlatformUp(false);
            break;
        case FaultKind::Pause:
            m_hosts.pause(hostOf(fault), fault.length);
            break;
        case FaultKind::HostCrash:
            m_hosts.crash(hostOf(fault));
            m_exchanges.onHostCrash(hostOf(fault));
            break;
        }
    }

    void end(const TraceFault &fault)
    {
        const BackendServerId server = BackendServerId::ofName(fault.target);
        switch (fault.kind) {
        case FaultKind::Straggler:
            m_backends.slowDown(server, 1.0);
            break;
        case FaultKind::Crash:
            m_backends.restart(server);
            break;
        case FaultKind::Leave:
            m_backends.setLeaving(server, false);
            break;
        case FaultKind::Partition:
            m_state.partitions.heal(fault.target, fault.other);
            break;
        case FaultKind::PlatformOutage:
            m_hosts.setPlatformUp(true);
            break;
        case FaultKind::HostCrash:
            m_hosts.restart(hostOf(fault));
            break;
        case FaultKind::Silence:
        case FaultKind::Pause:
            break;
        }
    }

    const Trace *m_trace;
    CallBook m_book;
    BenchState m_state;
    BackendBench m_backends;
    ExchangeBench m_exchanges;
    HostBench<Policy> m_hosts;
    CallerFake m_callers;
};

template <RoutingPolicy Policy>
ReplayReport runWith(const Trace &trace, const std::shared_ptr<const Configuration> &configuration,
                     std::uint64_t seed, const std::vector<TraceArrival> &arrivals)
{
    return ReplayRun<Policy>(trace, configuration, seed).run(arrivals);
}

using Runner = ReplayReport (*)(const Trace &, const std::shared_ptr<const Configuration> &,
                                std::uint64_t, const std::vector<TraceArrival> &);

struct NamedRunner
{
    std::string_view name;
    Runner run;
};

constexpr std::array<NamedRunner, 5> runners{
    NamedRunner{ "tiered", runWith<TieredPolicy> },
    NamedRunner{ "fifo", runWith<FifoPolicy> },
    NamedRunner{ "round-robin", runWith<RoundRobinPolicy> },
    NamedRunner{ "least-reported-load", runWith<ReportedLoadPolicy> },
    NamedRunner{ "no-owner", runWith<NoOwnerPolicy> },
};

} // namespace

const std::vector<std::string_view> &replayPolicies()
{
    static const std::vector<std::string_view> names = [] {
        std::vector<std::string_view> all(runners.size());
        std::transform(runners.begin(), runners.end(), all.begin(),
                       [](const NamedRunner &runner) { return runner.name; });
        return all;
    }();
    return names;
}

ReplayReport runReplay(const Trace &trace,
                       const std::shared_ptr<const Configuration> &configuration,
                       std::string_view policy, std::uint64_t seed)
{
    const std::vector<TraceArrival> arrivals = expandArrivals(trace, seed);
    const auto *const runner =
        std::find_if(runners.begin(), runners.end(),
                     [policy](const NamedRunner &candidate) { return candidate.name == policy; });
    ReplayReport report = runner->run(trace, configuration, seed, arrivals);
    report.policy = policy;
    report.oracleTokens = oracleTokens(trace, *configuration, arrivals);
    return report;
}

} // namespace currantreel
