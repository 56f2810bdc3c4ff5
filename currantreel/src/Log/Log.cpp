#include "Log.h"

#include <chrono>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iterator>
#include <unistd.h>

namespace currantreel {

namespace {

/// Appends @p value as a JSON string. Bytes above 127 pass through.
void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            line += ' ';
        } else {
            line += character;
        }
    }
    line += '"';
}

} // namespace

Log::Log(std::string_view host, std::uint64_t incarnation, int descriptor, Clock clock)
    : m_descriptor(descriptor), m_clock(clock)
{
    m_prefix = R"(,"host":)";
    appendQuoted(m_prefix, host);
    m_prefix += fmt::format(R"(,"incarnation":"{:x}","event":)", incarnation);
    const int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
}

Log::~Log()
{
    flush();
}

bool Log::isOverRate(std::int64_t second) const
{
    if (second != m_second) {
        m_second = second;
        m_linesInSecond = 0;
    }
    return ++m_linesInSecond > maxLinesPerSecond;
}

void Log::append(std::string_view time, std::string_view event,
                 std::initializer_list<LogField> fields) const
{
    m_waiting += R"({"time":")";
    m_waiting += time;
    m_waiting += '"';
    m_waiting += m_prefix;
    appendQuoted(m_waiting, event);
    for (const LogField &field : fields) {
        m_waiting += ',';
        appendQuoted(m_waiting, field.name);
        m_waiting += ':';
        appendQuoted(m_waiting, field.value);
    }
    m_waiting += "}\n";
}

void Log::tellDropped(std::string_view time) const
{
    if (m_dropped == m_toldDropped)
        return;
    append(time, "log_lines_dropped", { { "count", std::to_string(m_dropped - m_toldDropped) } });
    m_toldDropped = m_dropped;
}

void Log::write(std::string_view event, std::initializer_list<LogField> fields) const
{
    const auto now = m_clock();
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    constexpr std::int64_t millisecondsPerSecond = 1'000;
    if (isOverRate(sinceEpoch / millisecondsPerSecond) || m_waiting.size() >= maxPendingBytes) {
        ++m_dropped;
        return;
    }
    const std::string time = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(now),
                                         sinceEpoch % millisecondsPerSecond);
    tellDropped(time);
    append(time, event, fields);
}

void Log::flush() const
{
    while (!m_waiting.empty()) {
        const ssize_t written = ::write(m_descriptor, m_waiting.data(), m_waiting.size());
        if (written <= 0)
            return;
        m_waiting.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace currantreel
