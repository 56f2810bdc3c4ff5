#ifndef CURRANTREEL_APPS_TOOLREPORT_H
#define CURRANTREEL_APPS_TOOLREPORT_H

#include <currantreel/Core>
#include <currantreel/Settings>
#include <string>

namespace currantreel::tool {

/// Prints @p error to standard error with its result code, name and remedy.
/// @return @p status.
int report(const Error &error, int status);

/// Prints @p detail as a ToolUsage error.
/// @return exitUsage.
int usageError(const std::string &detail);

/// Prints each fault to standard error.
/// @return exitUsage.
int printFaults(const FaultList &faults);

} // namespace currantreel::tool

#endif
