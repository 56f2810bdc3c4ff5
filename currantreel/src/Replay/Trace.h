#ifndef CURRANTREEL_REPLAY_TRACE_H
#define CURRANTREEL_REPLAY_TRACE_H

#include "../Core/Time.h"
#include "../Settings/Fault.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantreel {

/// Number of tokens, drawn from a log-normal distribution and clamped at both ends.
struct TokenDistribution
{
    double median = 1.0;
    double sigma = 0.0; ///< Standard deviation of the logarithm; 0 makes every draw the median.
    std::uint32_t minimum = 1;
    std::uint32_t maximum = 1;
};

/// One request of a caller.
struct TraceArrival
{
    Duration at{}; ///< From the start of the trace.
    std::string className;
    std::string workspace;
    std::string target; ///< Model or service.
    bool isService = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint64_t prefix = 0;
    std::size_t host = 0; ///< Index of the entry host.
    std::optional<Duration> duplicateAfter; ///< Sent again at the next host after this time.
};

/// A stream of requests, expanded into arrivals by its seed.
struct TraceStream
{
    TraceArrival sample; ///< Class, workspace and target of every arrival.
    Duration from{};
    Duration length{};
    double rate = 0.0; ///< Mean arrivals per second; intervals are exponential.
    TokenDistribution prompt;
    TokenDistribution answer;
    std::uint64_t prefixes = 1; ///< Number of different prompt prefixes.
    std::uint32_t duplicatePermille = 0; ///< Share of requests that the caller sends twice.
    Duration duplicateAfter{};
    std::uint64_t seed = 0;
};

/// Kind of an injected fault.
enum class FaultKind : std::uint8_t {
    Straggler, ///< Engine `target` is slower by `factor`.
    Crash, ///< Backend server `target` is down.
    Silence, ///< Open connections of backend server `target` become permanently unresponsive.
    Leave, ///< Backend server `target` drains and is listed as leaving.
    Partition, ///< Failure domains `target` and `other` cannot communicate.
    PlatformOutage, ///< The platform does not respond.
    Pause, ///< Host `target` is suspended and resumes later.
    HostCrash, ///< Host `target` is down; it restarts with a new incarnation.
};

/// One fault of a trace.
struct TraceFault
{
    Duration at{};
    FaultKind kind = FaultKind::Crash;
    std::string target;
    std::string other;
    Duration length{};
    double factor = 1.0;
};

/// One host of the deployment.
struct TraceHost
{
    std::string name;
    std::string failureDomain;
};

/// Performance parameters of the engines of a trace.
struct EngineParameters
{
    Duration prefillPerToken = Duration(100); ///< Prompts are prefilled one after the other.
    Duration tokenInterval = Duration(20'000); ///< With a batch of one request.
    std::uint32_t slowdownPermille = 40; ///< Added to the interval per additional request.
    std::uint32_t cachedPrefixes = 16; ///< Capacity of the prefix cache of an engine.

    /// Time between two tokens of each request in a batch of @p size.
    [[nodiscard]] Duration interval(std::size_t size) const;
};

/// A recorded trace.
struct Trace
{
    std::string name;
    std::string configuration; ///< Path of the configuration, relative to the trace.
    EngineParameters engine;
    Duration serviceTime = Duration(150'000);
    Duration length{};
    std::vector<TraceHost> hosts;
    std::vector<TraceArrival> arrivals; ///< As written, before expansion of the streams.
    std::vector<TraceStream> streams;
    std::vector<TraceFault> faults;
};

/// Parses a trace document.
/// @param file name used in faults.
/// @return the trace, or every fault found.
[[nodiscard]] std::variant<Trace, FaultList> parseTrace(std::string_view text,
                                                        const std::string &file);

/// All arrivals of @p trace, ordered by time. @param seed is added to the seed of each stream.
[[nodiscard]] std::vector<TraceArrival> expandArrivals(const Trace &trace, std::uint64_t seed);

} // namespace currantreel

#endif
