#ifndef CURRANTREEL_APPS_TOOLWAIT_H
#define CURRANTREEL_APPS_TOOLWAIT_H

#include <string>
#include <vector>

namespace currantreel::tool {

/// Runs `config wait VERSION HOST...`: polls the hosts until all reachable ones have this or a
/// later version in force, with the same position and digest.
/// @return the exit status: 0 on success, 1 if the patch was rejected or hosts are still behind or
/// diverged at the timeout, 2 if the version is invalid, 3 if no host could be reached.
[[nodiscard]] int waitForVersion(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
