#include "AnswerLengths.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <unordered_map>

namespace currantreel {

namespace {

namespace histogram = boost::histogram;

/// Bins on a logarithmic scale; neighbours differ by a sixth.
using LengthAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using LengthHistogram =
    histogram::histogram<std::tuple<LengthAxis>, histogram::dense_storage<double>>;

constexpr unsigned binCount = 90;
constexpr double shortest = 1.0;
constexpr double longest = 1'000'000.0;
constexpr double upperQuantile = 0.9;
constexpr double lowerQuantile = 0.25;
constexpr double samplesNeeded = 20.0;
/// Weight at which all counts are halved, so that older answers fade.
constexpr double fadingWeight = 2000.0;

struct ClassLengths
{
    LengthHistogram counts{ LengthAxis(binCount, shortest, longest) };
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
        return static_cast<std::uint32_t>(longest);
    }
};

} // namespace

struct AnswerLengths::Learned
{
    std::unordered_map<ClassId, ClassLengths> classes;
};

AnswerLengths::AnswerLengths() : m_learned(std::make_unique<Learned>()) { }
AnswerLengths::~AnswerLengths() = default;
AnswerLengths::AnswerLengths(AnswerLengths &&) noexcept = default;
AnswerLengths &AnswerLengths::operator=(AnswerLengths &&) noexcept = default;

void AnswerLengths::add(ClassId requestClass, std::uint32_t tokens)
{
    ClassLengths &lengths = m_learned->classes[requestClass];
    lengths.counts(std::clamp(static_cast<double>(tokens), shortest, longest - 1.0));
    lengths.total += 1.0;
    if (lengths.total >= fadingWeight) {
        lengths.counts *= 0.5;
        lengths.total *= 0.5;
    }
    if (lengths.total < samplesNeeded)
        return;
    lengths.upper = lengths.quantile(upperQuantile);
    lengths.lower = lengths.quantile(lowerQuantile);
}

std::uint32_t AnswerLengths::upper(ClassId requestClass) const
{
    const auto found = m_learned->classes.find(requestClass);
    return found == m_learned->classes.end() ? defaultLength : found->second.upper;
}

std::uint32_t AnswerLengths::lower(ClassId requestClass) const
{
    const auto found = m_learned->classes.find(requestClass);
    return found == m_learned->classes.end() ? 0 : found->second.lower;
}

} // namespace currantreel
