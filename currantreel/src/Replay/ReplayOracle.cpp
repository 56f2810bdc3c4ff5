#include "ReplayOracle.h"

#include <algorithm>
#include <map>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Resolution of the oracle's clock.
constexpr Duration oracleStep = 10ms;

/// One in this many tokens of a cached prompt is uncached.
constexpr std::uint32_t uncachedDivisor = 10;

struct QueuedRequest
{
    Duration firstTokenDeadline{};
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
};

/// Queued requests, ordered by answer deadline, then by arrival.
using RequestQueue = std::map<std::pair<Duration, std::size_t>, QueuedRequest>;

struct OracleEngine
{
    std::string name;
    std::size_t slots = 0;
    std::vector<Duration> endTimes; ///< Of the requests that it runs.
};

class Oracle
{
public:
    Oracle(const Trace &trace, const Configuration &configuration)
        : m_trace(&trace), m_configuration(&configuration)
    {
        for (const BackendServer &server : configuration.backendServers) {
            if (server.kind == BackendKind::Engine)
                m_engines.push_back(OracleEngine{ server.name, server.slots, {} });
        }
    }

    std::uint64_t run(const std::vector<TraceArrival> &arrivals)
    {
        std::size_t next = 0;
        for (Duration now{}; next < arrivals.size() || !m_queue.empty(); now += oracleStep) {
            for (; next < arrivals.size() && arrivals[next].at <= now; ++next)
                add(arrivals[next], next);
            for (OracleEngine &engine : m_engines)
                std::erase_if(engine.endTimes, [now](Duration end) { return end <= now; });
            dropLate(now);
            while (startOne(now)) { }
        }
        return m_tokens;
    }

private:
    void add(const TraceArrival &arrival, std::size_t order)
    {
        if (arrival.isService)
            return;
        const RequestClass &requestClass =
            *m_configuration->classes.find(ClassId::ofName(arrival.className));
        m_queue.emplace(std::pair(arrival.at + requestClass.answerTarget, order),
                        QueuedRequest{ arrival.at + requestClass.firstTokenTarget,
                                       arrival.promptTokens, arrival.answerTokens });
    }

    void dropLate(Duration now)
    {
        std::erase_if(m_queue, [now](const auto &entry) {
            return entry.first.first <= now || entry.second.firstTokenDeadline <= now;
        });
    }

    /// Factor of the straggler fault of @p engine at @p now, 1 without one.
    [[nodiscard]] double factor(const OracleEngine &engine, Duration now) const
    {
        double maxFactor = 1.0;
        for (const TraceFault &fault : m_trace->faults) {
            const bool isOn = fault.at <= now && now < fault.at + fault.length;
            if (fault.kind == FaultKind::Straggler && fault.target == engine.name && isOn)
                maxFactor = std::max(maxFactor, fault.factor);
        }
        return maxFactor;
    }

    /// True if @p engine accepts a request at @p from and runs it without interruption until @p to.
    [[nodiscard]] bool isUp(const OracleEngine &engine, Duration from, Duration to) const
    {
        return std::none_of(m_trace->faults.begin(), m_trace->faults.end(),
                            [&](const TraceFault &fault) {
                                const bool leaves = fault.kind == FaultKind::Leave;
                                const bool stops = fault.kind == FaultKind::Crash;
                                const Duration lastStart = leaves ? from : to;
                                return (leaves || stops) && fault.target == engine.name
                                       && fault.at <= lastStart && from < fault.at + fault.length;
                            });
    }

    [[nodiscard]] Duration endOn(const OracleEngine &engine, const QueuedRequest &request,
                                 Duration now) const
    {
        const EngineParameters &parameters = m_trace->engine;
        const Duration prefill =
            parameters.prefillPerToken * (request.promptTokens / uncachedDivisor);
        const Duration decode =
            parameters.interval(engine.endTimes.size() + 1) * request.answerTokens;
        const double slowed = static_cast<double>((prefill + decode).count()) * factor(engine, now);
        return now + Duration(static_cast<std::int64_t>(slowed));
    }

    bool startOne(Duration now)
    {
        for (auto position = m_queue.begin(); position != m_queue.end(); ++position) {
            bool hasFree = false;
            OracleEngine *best = nullptr;
            Duration bestEnd = Duration::max();
            for (OracleEngine &engine : m_engines) {
                if (engine.endTimes.size() >= engine.slots || !isUp(engine, now, now))
                    continue;
                hasFree = true;
                const Duration end = endOn(engine, position->second, now);
                if (end < bestEnd && end <= position->first.first && isUp(engine, now, end)) {
                    best = &engine;
                    bestEnd = end;
                }
            }
            if (!hasFree)
                return false;
            if (!best)
                continue;
            best->endTimes.push_back(bestEnd);
            m_tokens += position->second.answerTokens;
            m_queue.erase(position);
            return true;
        }
        return false;
    }

    const Trace *m_trace;
    const Configuration *m_configuration;
    std::vector<OracleEngine> m_engines;
    RequestQueue m_queue;
    std::uint64_t m_tokens = 0;
};

} // namespace

std::uint64_t oracleTokens(const Trace &trace, const Configuration &configuration,
                           const std::vector<TraceArrival> &arrivals)
{
    return Oracle(trace, configuration).run(arrivals);
}

} // namespace currantreel
