#ifndef CURRANTREEL_FORWARD_DURATIONHISTOGRAM_H
#define CURRANTREEL_FORWARD_DURATIONHISTOGRAM_H

#include "../Core/Time.h"
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace currantreel {

/// Histogram of durations with bounds that double from 1 ms to 64 s (65,536 ms).
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();
    DurationHistogram(DurationHistogram &&) noexcept;
    DurationHistogram &operator=(DurationHistogram &&) noexcept;

    void add(Duration time);

    /// Number of recorded durations.
    [[nodiscard]] std::uint64_t count() const { return m_count; }

    /// Number of durations up to @p bound.
    /// @param bound a power of two in milliseconds.
    [[nodiscard]] std::uint64_t countUpTo(Duration bound) const;

    /// Appends the histogram to @p text as metric @p name in the Prometheus text format.
    void append(std::string &text, std::string_view name) const;

private:
    struct Bins;

    std::unique_ptr<Bins> m_bins; ///< Hides Boost.Histogram from the header.
    std::uint64_t m_count = 0;
    double m_seconds = 0.0;
};

} // namespace currantreel

#endif
