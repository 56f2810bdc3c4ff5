#ifndef CURRANTREEL_FORWARD_DURATIONHISTOGRAM_H
#define CURRANTREEL_FORWARD_DURATIONHISTOGRAM_H

#include "../Core/Time.h"
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace currantreel {

/// Counts of times in bins that double in width, from 1 ms to 64 s.
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();
    DurationHistogram(DurationHistogram &&) noexcept;
    DurationHistogram &operator=(DurationHistogram &&) noexcept;

    void add(Duration time);

    /// Times that were added.
    [[nodiscard]] std::uint64_t count() const { return m_count; }

    /// Times not above @p bound. @param bound a power of two in milliseconds.
    [[nodiscard]] std::uint64_t countUpTo(Duration bound) const;

    /// Appends the histogram called @p name to @p text, as Prometheus reads it.
    void append(std::string &text, std::string_view name) const;

private:
    struct Bins;

    std::unique_ptr<Bins> m_bins; ///< Keeps Boost.Histogram out of headers.
    std::uint64_t m_count = 0;
    double m_seconds = 0.0;
};

} // namespace currantreel

#endif
