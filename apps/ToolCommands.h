#ifndef CURRANTREEL_APPS_TOOLCOMMANDS_H
#define CURRANTREEL_APPS_TOOLCOMMANDS_H

#include <string>
#include <vector>

namespace currantreel::tool {

inline constexpr int exitOk = 0;
inline constexpr int exitNegative = 1; ///< Rejected, different, unmet, or not reached in time.
inline constexpr int exitUsage = 2; ///< Invalid usage or input.
inline constexpr int exitUnreachable = 3;

/// Runs the command line @p arguments, which exclude the program name.
/// @return the exit status.
[[nodiscard]] int run(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
