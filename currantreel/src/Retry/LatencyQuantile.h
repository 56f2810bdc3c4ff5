#ifndef CURRANTREEL_RETRY_LATENCYQUANTILE_H
#define CURRANTREEL_RETRY_LATENCYQUANTILE_H

#include "../Core/Time.h"
#include <cstdint>
#include <memory>
#include <optional>

namespace currantreel {

namespace detail {
struct LatencyHistogram;
} // namespace detail

/// Estimates quantiles of a latency. Older samples weigh less, so that estimates follow changes.
class LatencyQuantile
{
public:
    /// Minimum number of samples for an estimate.
    static constexpr std::uint32_t minSamples = 50;
    /// Number of samples after which the weight of all earlier ones is halved.
    static constexpr std::uint32_t samplesPerHalving = 2'000;

    LatencyQuantile();
    ~LatencyQuantile();
    LatencyQuantile(const LatencyQuantile &other);
    LatencyQuantile &operator=(const LatencyQuantile &other);
    LatencyQuantile(LatencyQuantile &&) noexcept;
    LatencyQuantile &operator=(LatencyQuantile &&) noexcept;

    void add(Duration latency);

    /// Upper edge of the bin with the quantile @p fraction (0 to 1), or nothing below `minSamples`.
    [[nodiscard]] std::optional<Duration> quantile(double fraction) const;

private:
    std::unique_ptr<detail::LatencyHistogram> m_histogram;
    std::uint32_t m_samples = 0; ///< Up to minSamples.
    std::uint32_t m_sinceHalving = 0;
};

} // namespace currantreel

#endif
