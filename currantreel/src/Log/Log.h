#ifndef CURRANTREEL_LOG_LOG_H
#define CURRANTREEL_LOG_LOG_H

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

/// Writes changes of state to standard error, one line each, with time, host and incarnation.
class Log
{
public:
    Log(std::string host, std::uint64_t incarnation);

    /// Writes one line. @param event what changed, in snake case.
    void write(std::string_view event, std::initializer_list<LogField> fields = {}) const;

private:
    std::string m_prefix;
};

} // namespace currantreel

#endif
