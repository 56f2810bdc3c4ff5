#ifndef CURRANTREEL_APPS_TOOLQUARANTINE_H
#define CURRANTREEL_APPS_TOOLQUARANTINE_H

#include <string>
#include <vector>

namespace currantreel::tool {

/// Lists the quarantined prompt segments of a host, or ends the quarantine of one.
/// @return exit status.
[[nodiscard]] int quarantine(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
