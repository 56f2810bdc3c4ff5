#ifndef CURRANTREEL_APPS_TOOLREPORT_H
#define CURRANTREEL_APPS_TOOLREPORT_H

#include <cstdint>
#include <currantreel/Core>
#include <currantreel/Settings>
#include <optional>
#include <string>
#include <string_view>

namespace currantreel::tool {

/// Prints @p error to standard error with its result code, name and remedy.
/// @return @p status.
int report(const Error &error, int status);

/// Prints @p detail as a ToolUsage error.
/// @return exitUsage.
int usageError(const std::string &detail);

/// Parses @p text, which must consist of decimal digits only.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Prints each fault to standard error.
/// @return exitUsage.
int printFaults(const FaultList &faults);

} // namespace currantreel::tool

#endif
