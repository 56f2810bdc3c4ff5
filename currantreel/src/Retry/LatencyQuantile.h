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

/// Learns a quantile of a latency. Older samples count less, so that it follows changes.
class LatencyQuantile
{
public:
    /// Samples before the quantile is trusted.
    static constexpr std::uint32_t minSamples = 50;
    /// Samples after which the weight of all earlier ones is halved.
    static constexpr std::uint32_t samplesPerHalving = 2'000;

    LatencyQuantile();
    ~LatencyQuantile();
    LatencyQuantile(const LatencyQuantile &other);
    LatencyQuantile &operator=(const LatencyQuantile &other);
    LatencyQuantile(LatencyQuantile &&) noexcept;
    LatencyQuantile &operator=(LatencyQuantile &&) noexcept;

    void add(Duration latency);

    /// Upper edge of the bin that holds the quantile @p fraction, or nothing while too few are known.
    [[nodiscard]] std::optional<Duration> quantile(double fraction) const;

private:
    std::unique_ptr<detail::LatencyHistogram> m_histogram;
    std::uint32_t m_samples = 0; ///< Up to minSamples.
    std::uint32_t m_sinceHalving = 0;
};

} // namespace currantreel

#endif
