#include "DurationHistogram.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <fmt/format.h>
#include <iterator>

namespace currantreel {

namespace {

namespace bh = boost::histogram;

constexpr unsigned binCount = 16;
constexpr double lowestMilliseconds = 1.0;
constexpr double highestMilliseconds = 65'536.0;
constexpr double millisecondsPerSecond = 1'000.0;

double millisecondsOf(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

struct DurationHistogram::Bins
{
    decltype(bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
        binCount, lowestMilliseconds, highestMilliseconds))) histogram =
        bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
            binCount, lowestMilliseconds, highestMilliseconds));
};

DurationHistogram::DurationHistogram() : m_bins(std::make_unique<Bins>()) { }
DurationHistogram::~DurationHistogram() = default;
DurationHistogram::DurationHistogram(DurationHistogram &&) noexcept = default;
DurationHistogram &DurationHistogram::operator=(DurationHistogram &&) noexcept = default;

void DurationHistogram::add(Duration time)
{
    ++m_count;
    m_seconds += std::chrono::duration<double>(time).count();
    m_bins->histogram(millisecondsOf(time));
}

std::uint64_t DurationHistogram::countUpTo(Duration bound) const
{
    const auto &axis = m_bins->histogram.axis();
    const double limit = millisecondsOf(bound) * (1.0 + 1e-9);
    double sum = m_bins->histogram.at(-1);
    for (int bin = 0; bin < axis.size() && axis.bin(bin).upper() <= limit; ++bin)
        sum += m_bins->histogram.at(bin);
    return static_cast<std::uint64_t>(std::llround(sum));
}

void DurationHistogram::append(std::string &text, std::string_view name) const
{
    const auto out = std::back_inserter(text);
    fmt::format_to(out, "# TYPE {} histogram\n", name);
    const auto &axis = m_bins->histogram.axis();
    double sum = m_bins->histogram.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
        sum += m_bins->histogram.at(bin);
        fmt::format_to(out, "{}_bucket{{le=\"{:.3f}\"}} {:.0f}\n", name,
                       axis.bin(bin).upper() / millisecondsPerSecond, sum);
    }
    fmt::format_to(out, "{}_bucket{{le=\"+Inf\"}} {}\n", name, m_count);
    fmt::format_to(out, "{}_sum {:.6f}\n{}_count {}\n", name, m_seconds, name, m_count);
}

} // namespace currantreel
