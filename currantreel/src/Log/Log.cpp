#include "Log.h"

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iterator>

namespace currantreel {

namespace {

/// Quotes a value that holds a space, a quote or a control character.
std::string quoted(const std::string &value)
{
    const bool isPlain = value.find_first_of(" \"\n\r\t=") == std::string::npos;
    if (isPlain && !value.empty())
        return value;
    std::string text = "\"";
    for (const char character : value) {
        const bool isControl = static_cast<unsigned char>(character) < ' ';
        if (character == '"' || character == '\\')
            text += '\\';
        text += isControl ? ' ' : character;
    }
    return text + '"';
}

} // namespace

Log::Log(std::string host, std::uint64_t incarnation)
    : m_prefix(fmt::format("host={} incarnation={:x}", host, incarnation))
{
}

void Log::write(std::string_view event, std::initializer_list<LogField> fields) const
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) % 1000;
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {} event={}", fmt::gmtime(now),
                                   milliseconds.count(), m_prefix, event);
    for (const LogField &field : fields)
        fmt::format_to(std::back_inserter(line), " {}={}", field.name, quoted(field.value));
    fmt::print(stderr, "{}\n", line);
}

} // namespace currantreel
