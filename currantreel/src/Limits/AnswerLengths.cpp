#include "AnswerLengths.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <unordered_map>

namespace currantreel {

namespace {

namespace histogram = boost::histogram;

/// Bins on a logarithmic scale; the bounds of a bin differ by a sixth.
using LengthAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using LengthHistogram =
    histogram::histogram<std::tuple<LengthAxis>, histogram::dense_storage<double>>;

constexpr unsigned binCount = 90;
constexpr double minTokens = 1.0;
constexpr double maxTokens = 1'000'000.0;
constexpr double upperQuantile = 0.9;
constexpr double lowerQuantile = 0.25;
constexpr double minSamples = 20.0;
/// Total weight at which all counts are halved, so that older answers weigh less.
constexpr double halvingWeight = 2000.0;

struct ClassLengths
{
    LengthHistogram counts{ LengthAxis(binCount, minTokens, maxTokens) };
    double total = 0.0;
    std::uint32_t upper = AnswerLengths::defaultLength;
    std::uint32_t lower = 0;

    [[nodiscard]] std::uint32_t quantile(double share) const
    {
        double sum = 0.0;
        for (int bin = 0; bin < static_cast<int>(binCount); ++bin) {
            sum += counts.at(bin);
            if (sum >= share * total)
                return static_cast<std::uint32_t>(std::ceil(counts.axis().bin(bin).upper()));
        }
        return static_cast<std::uint32_t>(maxTokens);
    }
};

} // namespace

struct AnswerLengths::State
{
    std::unordered_map<ClassId, ClassLengths> classes;
};

AnswerLengths::AnswerLengths() : m_state(std::make_unique<State>()) { }
AnswerLengths::~AnswerLengths() = default;
AnswerLengths::AnswerLengths(AnswerLengths &&) noexcept = default;
AnswerLengths &AnswerLengths::operator=(AnswerLengths &&) noexcept = default;

void AnswerLengths::add(ClassId requestClass, std::uint32_t tokens)
{
    ClassLengths &lengths = m_state->classes[requestClass];
    lengths.counts(std::clamp(static_cast<double>(tokens), minTokens, maxTokens - 1.0));
    lengths.total += 1.0;
    if (lengths.total >= halvingWeight) {
        lengths.counts *= 0.5;
        lengths.total *= 0.5;
    }
    if (lengths.total < minSamples)
        return;
    lengths.upper = lengths.quantile(upperQuantile);
    lengths.lower = lengths.quantile(lowerQuantile);
}

std::uint32_t AnswerLengths::upper(ClassId requestClass) const
{
    const auto found = m_state->classes.find(requestClass);
    return found == m_state->classes.end() ? defaultLength : found->second.upper;
}

std::uint32_t AnswerLengths::lower(ClassId requestClass) const
{
    const auto found = m_state->classes.find(requestClass);
    return found == m_state->classes.end() ? 0 : found->second.lower;
}

} // namespace currantreel
