#include "ToolReport.h"

#include "ToolCommands.h"
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

int printFaults(const FaultList &faults)
{
    for (const Fault &fault : faults)
        fmt::print(stderr, "{}\n", toText(fault));
    return exitUsage;
}

} // namespace currantreel::tool
