#ifndef CURRANTREEL_APPS_TOOLPUBLISH_H
#define CURRANTREEL_APPS_TOOLPUBLISH_H

#include <currantreel/Configuration>
#include <string>

namespace currantreel::tool {

/// Lays out @p document as version 1 of @p directory. @return the failure, if any.
[[nodiscard]] std::optional<Error> publishFirst(const std::string &directory,
                                                const std::string &document);

/// Publishes @p patch as number @p number of @p directory, with a snapshot now and then, and moves the
/// head. @param log the log with the patch appended. @return the failure, if any.
[[nodiscard]] std::optional<Error>
publishPatch(const std::string &directory, const ConfigurationLog &log, const std::string &patch);

} // namespace currantreel::tool

#endif
