#include "ReplayOracle.h"

#include <algorithm>
#include <map>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Resolution of the oracle's clock.
constexpr Duration oracleStep = 10ms;

/// Part of a cached prompt that is still read.
constexpr std::uint32_t uncachedPart = 10;

struct Waiting
{
    Duration firstTokenDeadline{};
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
};

/// Requests that wait, by the end of their answer's target and the order of arrival.
using WaitingQueue = std::map<std::pair<Duration, std::size_t>, Waiting>;

struct OracleEngine
{
    std::string name;
    std::size_t slots = 0;
    std::vector<Duration> ends; ///< Ends of what it runs.
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
        for (Duration now{}; next < arrivals.size() || !m_waiting.empty(); now += oracleStep) {
            for (; next < arrivals.size() && arrivals[next].at <= now; ++next)
                add(arrivals[next], next);
            for (OracleEngine &engine : m_engines)
                std::erase_if(engine.ends, [now](Duration end) { return end <= now; });
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
        m_waiting.emplace(std::pair(arrival.at + requestClass.answerTarget, order),
                          Waiting{ arrival.at + requestClass.firstTokenTarget, arrival.promptTokens,
                                   arrival.answerTokens });
    }

    void dropLate(Duration now)
    {
        std::erase_if(m_waiting, [now](const auto &entry) {
            return entry.first.first <= now || entry.second.firstTokenDeadline <= now;
        });
    }

    /// Factor of the straggler fault of @p engine at @p now, 1 without one.
    [[nodiscard]] double factor(const OracleEngine &engine, Duration now) const
    {
        double slowest = 1.0;
        for (const TraceFault &fault : m_trace->faults) {
            const bool isOn = fault.at <= now && now < fault.at + fault.length;
            if (fault.kind == FaultKind::Straggler && fault.target == engine.name && isOn)
                slowest = std::max(slowest, fault.factor);
        }
        return slowest;
    }

    /// True if @p engine serves without a break from @p from to @p to.
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

    [[nodiscard]] Duration endOn(const OracleEngine &engine, const Waiting &waiting,
                                 Duration now) const
    {
        const EngineShape &shape = m_trace->engine;
        const Duration prefill = shape.prefillPerToken * (waiting.promptTokens / uncachedPart);
        const Duration decode = shape.interval(engine.ends.size() + 1) * waiting.answerTokens;
        const double slowed = static_cast<double>((prefill + decode).count()) * factor(engine, now);
        return now + Duration(static_cast<std::int64_t>(slowed));
    }

    bool startOne(Duration now)
    {
        for (auto position = m_waiting.begin(); position != m_waiting.end(); ++position) {
            bool hasFree = false;
            OracleEngine *best = nullptr;
            Duration bestEnd = Duration::max();
            for (OracleEngine &engine : m_engines) {
                if (engine.ends.size() >= engine.slots || !isUp(engine, now, now))
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
            best->ends.push_back(bestEnd);
            m_tokens += position->second.answerTokens;
            m_waiting.erase(position);
            return true;
        }
        return false;
    }

    const Trace *m_trace;
    const Configuration *m_configuration;
    std::vector<OracleEngine> m_engines;
    WaitingQueue m_waiting;
    std::uint64_t m_tokens = 0;
};

} // namespace

std::uint64_t oracleTokens(const Trace &trace, const Configuration &configuration,
                           const std::vector<TraceArrival> &arrivals)
{
    return Oracle(trace, configuration).run(arrivals);
}

} // namespace currantreel
