#ifndef CURRANTREEL_APPS_TOOLWAIT_H
#define CURRANTREEL_APPS_TOOLWAIT_H

#include <string>
#include <vector>

namespace currantreel::tool {

/// `config wait VERSION HOST...`: asks the hosts until all that can be reached have the version in
/// force, or a later one, with the same digest.
/// @return 0 if so; 1 if the patch was rejected or the time is up; 3 if no host could be reached.
[[nodiscard]] int wait(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
