#include "ToolSource.h"

#include "ToolHttp.h"
#include "ToolReport.h"
#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <vector>

namespace currantreel::tool {

namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

constexpr Duration hostTimeout = 2s;
constexpr int statusOk = 200;

/// A directory of published values, read up to a position.
struct DirectorySource
{
    std::string directory;
    std::uint64_t maxPosition = UINT64_MAX;
};

/// The directory and position in @p source; the whole is a directory if no number follows an '@'.
DirectorySource parseDirectorySource(const std::string &source)
{
    const std::size_t at = source.rfind('@');
    if (at == std::string::npos)
        return { source };
    const auto position = parseNumber(std::string_view(source).substr(at + 1));
    return position ? DirectorySource{ source.substr(0, at), *position }
                    : DirectorySource{ source };
}

std::vector<std::uint64_t> snapshotsOf(const fs::path &values)
{
    std::vector<std::uint64_t> numbers;
    std::error_code failure;
    for (const fs::directory_entry &entry : fs::directory_iterator(values / "snapshot", failure))
        if (const auto number = parseNumber(entry.path().filename().native()))
            numbers.push_back(*number);
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

std::string readChunks(const fs::path &directory)
{
    std::string text;
    for (int chunk = 0;; ++chunk) {
        auto content = readTextFile((directory / std::to_string(chunk)).string());
        if (isError(content))
            return text;
        text += value(content);
    }
}

Result<ConfigurationLog> loadDirectory(const DirectorySource &source, StartFrom start)
{
    const fs::path values = fs::path(source.directory) / "values";
    const auto head = readTextFile((values / "head").string());
    if (isError(head))
        return Error{ ResultCode::ToolUsage,
                      source.directory + " has no configuration; create one with config init" };
    const nlohmann::json published = nlohmann::json::parse(value(head), nullptr, false);
    const std::uint64_t last =
        std::min(source.maxPosition, published.is_object() ? published.value("version", 0UL) : 0UL);
    std::vector<std::uint64_t> snapshots = snapshotsOf(values);
    std::erase_if(snapshots, [last](std::uint64_t number) { return number > last; });
    ConfigurationLog log;
    if (!snapshots.empty()) {
        const std::uint64_t number =
            start == StartFrom::FirstSnapshot ? snapshots.front() : snapshots.back();
        const std::string text = readChunks(values / "snapshot" / std::to_string(number));
        if (auto failure = log.install(number, text))
            return *failure;
    }
    while (log.position() < last) {
        const std::uint64_t next = log.position() + 1;
        auto patch = readTextFile((values / "patch" / std::to_string(next)).string());
        if (isError(patch))
            return error(patch);
        if (log.append(next, value(patch), TimePoint()) == AppendOutcome::Held)
            return log.held()->error;
    }
    return log;
}

} // namespace

bool isDirectory(const std::string &source)
{
    return fs::is_directory(parseDirectorySource(source).directory);
}

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream || fs::is_directory(path))
        return Error{ ResultCode::SettingsUnreadable, path };
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

Result<nlohmann::json> fetchHostJson(const std::string &host, const std::string &path)
{
    const auto address = parseAddress(host);
    if (!address)
        return Error{ ResultCode::ToolUsage,
                      fmt::format("'{}' is neither a directory nor an IP address and port number",
                                  host) };
    const Result<HttpAnswer> answer = httpGet(*address, path, hostTimeout);
    if (isError(answer))
        return error(answer);
    nlohmann::json body = nlohmann::json::parse(value(answer).body, nullptr, false);
    if (value(answer).status != statusOk || !body.is_object())
        return Error{ ResultCode::ToolHostUnreachable, host + " gave no valid answer" };
    return body;
}

Result<ConfigurationLog> loadLog(const std::string &source, StartFrom start)
{
    if (isDirectory(source))
        return loadDirectory(parseDirectorySource(source), start);
    const Result<nlohmann::json> answer = fetchHostJson(source, "/v1/config");
    if (isError(answer))
        return error(answer);
    ConfigurationLog log;
    const nlohmann::json &body = value(answer);
    if (auto failure = log.install(body.value("position", 0UL), body.value("document", "")))
        return *failure;
    return log;
}

} // namespace currantreel::tool
