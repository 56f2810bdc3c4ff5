#ifndef CURRANTREEL_APPS_TOOLSOURCE_H
#define CURRANTREEL_APPS_TOOLSOURCE_H

#include <currantreel/Configuration>
#include <nlohmann/json.hpp>
#include <string>

namespace currantreel::tool {

/// Snapshot at which loading of a directory's log starts. LastSnapshot validates the fewest
/// patches; FirstSnapshot validates all later ones, so that the audit trail covers them.
enum class StartFrom : std::uint8_t { LastSnapshot, FirstSnapshot };

/// Loads the configuration log of @p source.
/// @param source a directory of published values, optionally up to a position as in `DIRECTORY@7`,
/// or the operator address of a host.
/// @param start ignored if @p source is a host.
/// @return the error if the log cannot be read or a patch is held. Rejected patches are no error.
[[nodiscard]] Result<ConfigurationLog> loadLog(const std::string &source,
                                               StartFrom start = StartFrom::LastSnapshot);

/// Fetches the JSON object at @p path from the host with operator address @p host.
/// @return ToolHostUnreachable if the host does not respond with status 200 and a JSON object;
/// ToolUsage if @p host is not an address.
[[nodiscard]] Result<nlohmann::json> fetchHostJson(const std::string &host,
                                                   const std::string &path);

/// True if @p source names an existing directory, with or without a position.
[[nodiscard]] bool isDirectory(const std::string &source);

/// Reads the file at @p path.
/// @return SettingsUnreadable if it cannot be opened or is a directory.
[[nodiscard]] Result<std::string> readTextFile(const std::string &path);

} // namespace currantreel::tool

#endif
