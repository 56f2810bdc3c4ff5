#ifndef CURRANTREEL_APPS_TOOLREPLAY_H
#define CURRANTREEL_APPS_TOOLREPLAY_H

#include <string>
#include <vector>

namespace currantreel::tool {

/// Runs `replay TRACE`: prints what the run measured and, with --expect, whether the stated outcomes
/// hold. Returns the exit status.
[[nodiscard]] int replay(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
