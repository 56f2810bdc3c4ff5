#include "ToolReport.h"

#include "ToolCommands.h"
#include <charconv>
#include <fmt/format.h>

namespace currantreel::tool {

int report(const Error &error, int status)
{
    const ResultCodeInfo &entry = info(error.code);
    fmt::print(stderr, "{} ({} {}: {})\n", error.detail, number(error.code), entry.name,
               entry.remedy);
    return status;
}

int usageError(const std::string &detail)
{
    return report(Error{ ResultCode::ToolUsage, detail }, exitUsage);
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (fault != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

int printFaults(const FaultList &faults)
{
    for (const Fault &fault : faults)
        fmt::print(stderr, "{}\n", toText(fault));
    return exitUsage;
}

} // namespace currantreel::tool
