#ifndef CURRANTREEL_LOG_LOG_H
#define CURRANTREEL_LOG_LOG_H

#include "../Core/Time.h"
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace currantreel {

/// One named value of a log line.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Writes structured lines, a JSON object each, with time, host and incarnation.
///
/// Lines are collected and written by flush(), without ever waiting for the reader: what does not fit
/// is dropped, counted, and told by a line once there is room again.
class Log
{
public:
    /// Most bytes that wait for a slow reader.
    static constexpr std::size_t maxPendingBytes = 256UL * 1024;
    /// Most lines in one second; further ones are dropped and counted.
    static constexpr std::uint32_t maxLinesPerSecond = 2'000;

    /// Tells the time of day.
    using Clock = std::chrono::system_clock::time_point (*)();

    /// @param descriptor to write to; it is set not to block.
    Log(std::string_view host, std::uint64_t incarnation, int descriptor = 1,
        Clock clock = &std::chrono::system_clock::now);
    ~Log();
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    /// Adds one line. @param event what happened, in snake case.
    void write(std::string_view event, std::initializer_list<LogField> fields = {}) const;

    /// Hands what waits to the reader, as far as it takes it.
    void flush() const;

    /// Lines that were dropped since the process started.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    [[nodiscard]] bool isOverRate(std::int64_t second) const;
    void tellDropped(std::string_view time) const;
    void append(std::string_view time, std::string_view event,
                std::initializer_list<LogField> fields) const;

    std::string m_prefix;
    int m_descriptor;
    Clock m_clock;
    // Logging changes nothing that callers of a const object could see.
    mutable std::string m_waiting;
    mutable std::uint64_t m_dropped = 0;
    mutable std::uint64_t m_toldDropped = 0;
    mutable std::int64_t m_second = 0;
    mutable std::uint32_t m_linesInSecond = 0;
};

} // namespace currantreel

#endif
