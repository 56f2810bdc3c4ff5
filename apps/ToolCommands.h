#ifndef CURRANTREEL_APPS_TOOLCOMMANDS_H
#define CURRANTREEL_APPS_TOOLCOMMANDS_H

#include <string>
#include <vector>

namespace currantreel::tool {

inline constexpr int exitOk = 0;
inline constexpr int exitNo = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitUnreachable = 3;

/// Runs the command line @p arguments, without the program's name. Returns the exit status.
[[nodiscard]] int run(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
