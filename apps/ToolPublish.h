#ifndef CURRANTREEL_APPS_TOOLPUBLISH_H
#define CURRANTREEL_APPS_TOOLPUBLISH_H

#include <currantreel/Configuration>
#include <string>

namespace currantreel::tool {

/// Writes @p document as version 1 to @p directory.
/// @return ToolUsage if the directory already has a configuration or cannot be written.
[[nodiscard]] std::optional<Error> publishInitialVersion(const std::string &directory,
                                                         const std::string &document);

/// Publishes @p patch in @p directory at the position of @p log, writes a snapshot if the last one
/// is at least 100 patches old, and updates the head.
/// @param log log to which the patch is already appended.
/// @return ToolUsage if another operator has published a patch at this position or the directory
/// cannot be written.
[[nodiscard]] std::optional<Error>
publishPatch(const std::string &directory, const ConfigurationLog &log, const std::string &patch);

} // namespace currantreel::tool

#endif
