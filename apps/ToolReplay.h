#ifndef CURRANTREEL_APPS_TOOLREPLAY_H
#define CURRANTREEL_APPS_TOOLREPLAY_H

#include <string>
#include <vector>

namespace currantreel::tool {

/// Runs `replay TRACE`: prints the measurements of the run and, with --expect, whether each
/// expected outcome holds.
/// @return the exit status.
[[nodiscard]] int replay(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
