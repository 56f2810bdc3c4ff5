#include "LatencyQuantile.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace currantreel {

namespace {

namespace histogram = boost::histogram;
using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned bins = 120;
constexpr double lowestMicroseconds = 1e3;
constexpr double highestMicroseconds = 1e9;
constexpr double halfWeight = 0.5;

LogAxis makeAxis()
{
    return { bins, lowestMicroseconds, highestMicroseconds };
}

} // namespace

namespace detail {

struct LatencyHistogram
{
    decltype(histogram::make_weighted_histogram(makeAxis())) bins =
        histogram::make_weighted_histogram(makeAxis());
};

} // namespace detail

LatencyQuantile::LatencyQuantile() : m_histogram(std::make_unique<detail::LatencyHistogram>()) { }

LatencyQuantile::~LatencyQuantile() = default;
LatencyQuantile::LatencyQuantile(LatencyQuantile &&) noexcept = default;
LatencyQuantile &LatencyQuantile::operator=(LatencyQuantile &&) noexcept = default;

LatencyQuantile::LatencyQuantile(const LatencyQuantile &other)
    : m_histogram(std::make_unique<detail::LatencyHistogram>(*other.m_histogram)),
      m_samples(other.m_samples),
      m_sinceHalving(other.m_sinceHalving)
{
}

LatencyQuantile &LatencyQuantile::operator=(const LatencyQuantile &other)
{
    LatencyQuantile copy(other);
    *this = std::move(copy);
    return *this;
}

void LatencyQuantile::add(Duration latency)
{
    if (++m_sinceHalving > samplesPerHalving) {
        m_histogram->bins *= halfWeight;
        m_sinceHalving = 0;
    }
    m_samples = std::min(m_samples + 1, minSamples);
    m_histogram->bins(static_cast<double>(latency.count()));
}

std::optional<Duration> LatencyQuantile::quantile(double fraction) const
{
    if (m_samples < minSamples)
        return std::nullopt;
    const auto &counts = m_histogram->bins;
    const auto &axis = counts.axis(0);
    double total = 0;
    for (int i = -1; i <= axis.size(); ++i)
        total += counts.at(i).value();
    double below = 0;
    for (int i = -1; i < axis.size(); ++i) {
        below += counts.at(i).value();
        if (below >= fraction * total)
            return Duration(static_cast<Duration::rep>(axis.value(i + 1)));
    }
    return Duration(static_cast<Duration::rep>(highestMicroseconds));
}

} // namespace currantreel
