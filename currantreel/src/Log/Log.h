#ifndef CURRANTREEL_LOG_LOG_H
#define CURRANTREEL_LOG_LOG_H

#include "../Core/Time.h"
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace currantreel {

/// Name and value of a field of a log line.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Structured log. Each line is a JSON object with time, host, incarnation, event and fields.
///
/// Lines are buffered and written by flush(), which never blocks. Lines beyond the limits are
/// dropped and counted, and the count is logged once there is room again.
class Log
{
public:
    /// Bytes in the buffer from which on lines are dropped, since the reader is too slow.
    static constexpr std::size_t maxPendingBytes = 256UL * 1024;
    /// Maximum number of lines per second; further ones are dropped.
    static constexpr std::uint32_t maxLinesPerSecond = 2'000;

    /// Returns the wall-clock time.
    using Clock = std::chrono::system_clock::time_point (*)();

    /// @param descriptor file descriptor to write to; it is set to non-blocking mode.
    Log(std::string_view host, std::uint64_t incarnation, int descriptor = 1,
        Clock clock = &std::chrono::system_clock::now);
    ~Log();
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    /// Appends one line to the buffer. @param event name of the event in snake case.
    void write(std::string_view event, std::initializer_list<LogField> fields = {}) const;

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush() const;

    /// Number of lines dropped since the process started.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    [[nodiscard]] bool isOverRate(std::int64_t second) const;
    void logDropped(std::string_view time) const;
    void append(std::string_view time, std::string_view event,
                std::initializer_list<LogField> fields) const;

    std::string m_prefix;
    int m_descriptor;
    Clock m_clock;
    // Mutable, since logging does not change the observable state of the object that logs.
    mutable std::string m_pending;
    mutable std::uint64_t m_dropped = 0;
    mutable std::uint64_t m_loggedDropped = 0;
    mutable std::int64_t m_second = 0;
    mutable std::uint32_t m_linesInSecond = 0;
};

} // namespace currantreel

#endif
