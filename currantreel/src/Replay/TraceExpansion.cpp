#include "ReplayRandom.h"
#include "Trace.h"
#include <algorithm>
#include <cmath>

namespace currantreel {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr std::uint64_t permilleBase = 1000;

std::uint32_t draw(ReplayRandom &random, const TokenDistribution &distribution)
{
    const double drawn = distribution.median * std::exp(distribution.sigma * random.normal());
    const auto minimum = static_cast<double>(distribution.minimum);
    const auto maximum = static_cast<double>(distribution.maximum);
    return static_cast<std::uint32_t>(std::clamp(drawn, minimum, maximum));
}

void expand(const TraceStream &stream, std::size_t hosts, std::uint64_t seed,
            std::vector<TraceArrival> &arrivals)
{
    ReplayRandom random(stream.seed + (seed << 32U));
    const Duration end = stream.from + stream.length;
    Duration at = stream.from;
    while (true) {
        at += Duration(
            static_cast<std::int64_t>(random.exponential(microsecondsPerSecond / stream.rate)));
        if (at >= end)
            return;
        TraceArrival arrival = stream.sample;
        arrival.at = at;
        arrival.promptTokens = draw(random, stream.prompt);
        arrival.answerTokens = draw(random, stream.answer);
        arrival.prefix = stream.seed * permilleBase + random.below(stream.prefixes) + 1;
        arrival.host = random.below(hosts);
        if (random.below(permilleBase) < stream.duplicatePermille)
            arrival.duplicateAfter = stream.duplicateAfter;
        arrivals.push_back(std::move(arrival));
    }
}

} // namespace

Duration EngineParameters::interval(std::size_t size) const
{
    const auto additional = static_cast<std::int64_t>(size > 0 ? size - 1 : 0);
    const std::int64_t permille =
        static_cast<std::int64_t>(permilleBase) + additional * slowdownPermille;
    return tokenInterval * permille / static_cast<std::int64_t>(permilleBase);
}

std::vector<TraceArrival> expandArrivals(const Trace &trace, std::uint64_t seed)
{
    std::vector<TraceArrival> arrivals = trace.arrivals;
    for (const TraceStream &stream : trace.streams)
        expand(stream, trace.hosts.size(), seed, arrivals);
    std::stable_sort(
        arrivals.begin(), arrivals.end(),
        [](const TraceArrival &left, const TraceArrival &right) { return left.at < right.at; });
    return arrivals;
}

} // namespace currantreel
