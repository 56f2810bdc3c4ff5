#ifndef CURRANTREEL_APPS_TOOLSOURCE_H
#define CURRANTREEL_APPS_TOOLSOURCE_H

#include <currantreel/Configuration>
#include <nlohmann/json.hpp>
#include <string>

namespace currantreel::tool {

/// Snapshot from which a directory's log is read: the last one, or the first one for its verdicts.
enum class StartFrom : std::uint8_t { LastSnapshot, FirstSnapshot };

/// Loads the log of @p source: a directory of published values, the same at a position as in
/// `DIRECTORY@7`, or the operator address of a host.
/// @return an error with what to do next.
[[nodiscard]] Result<ConfigurationLog> loadLog(const std::string &source,
                                               StartFrom start = StartFrom::LastSnapshot);

/// Reads @p path of the host with operator address @p host as JSON.
/// @return ToolHostUnreachable, or ToolUsage if @p host is no address.
[[nodiscard]] Result<nlohmann::json> readHost(const std::string &host, const std::string &path);

/// True if @p source names a directory and not a host.
[[nodiscard]] bool isDirectory(const std::string &source);

/// Content of the file at @p path. @return SettingsUnreadable
[[nodiscard]] Result<std::string> readText(const std::string &path);

} // namespace currantreel::tool

#endif
