#ifndef CURRANTREEL_APPS_TOOLCONFIG_H
#define CURRANTREEL_APPS_TOOLCONFIG_H

#include <string>
#include <vector>

namespace currantreel::tool {

/// Runs a `config` subcommand.
/// @param arguments positional arguments, starting with `config`.
/// @return the exit status.
[[nodiscard]] int config(const std::vector<std::string> &arguments);

} // namespace currantreel::tool

#endif
