#ifndef CURRANTREEL_APPS_TOOLREPORT_H
#define CURRANTREEL_APPS_TOOLREPORT_H

#include <currantreel/Core>
#include <currantreel/Settings>
#include <string>

namespace currantreel::tool {

/// Prints @p error with its number and what to do next. Returns @p status.
int report(const Error &error, int status);

/// Prints @p detail as a ToolUsage error. Returns the exit status of wrong usage.
int usageError(const std::string &detail);

/// Prints every fault. Returns the exit status of wrong input.
int printFaults(const FaultList &faults);

} // namespace currantreel::tool

#endif
