#include "ToolPublish.h"

#include "ToolSource.h"
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <system_error>
#include <unistd.h>

namespace currantreel::tool {

namespace {

namespace fs = std::filesystem;

/// Number of patches between snapshots.
constexpr std::uint64_t snapshotInterval = 100;

/// Latest snapshot as recorded in the head.
struct PublishedSnapshot
{
    std::uint64_t number = 0;
    std::uint64_t chunks = 0;
};

/// Writes a file atomically, so readers never see partial content.
/// @param mayOverwrite if false, an existing file is kept and the write fails.
bool writeFile(const fs::path &path, std::string_view content, bool mayOverwrite)
{
    std::error_code failure;
    fs::create_directories(path.parent_path(), failure);
    // Two operators may publish the same number at the same time.
    const fs::path temporaryPath = fmt::format("{}.{}.new", path.native(), getpid());
    std::ofstream stream(temporaryPath, std::ios::binary | std::ios::trunc);
    stream << content;
    stream.close();
    if (!stream)
        return false;
    if (mayOverwrite) {
        fs::rename(temporaryPath, path, failure);
        return !failure;
    }
    // Unlike a rename, a hard link fails if another operator has concurrently published the same
    // patch number.
    fs::create_hard_link(temporaryPath, path, failure);
    std::error_code ignored;
    fs::remove(temporaryPath, ignored);
    return !failure;
}

bool writeHead(const fs::path &values, std::uint64_t number, const std::string &digest,
               const PublishedSnapshot &snapshot)
{
    const nlohmann::json head{ { "version", number },
                               { "digest", digest },
                               { "snapshot", snapshot.number },
                               { "parts", snapshot.chunks } };
    return writeFile(values / "head", head.dump() + "\n", true);
}

std::optional<PublishedSnapshot> writeSnapshot(const fs::path &values, std::uint64_t number,
                                               std::string_view text)
{
    PublishedSnapshot snapshot{ number, 0 };
    for (std::size_t offset = 0; offset < text.size(); offset += maxValueBytes) {
        const fs::path chunk =
            values / "snapshot" / std::to_string(number) / std::to_string(snapshot.chunks);
        if (!writeFile(chunk, text.substr(offset, maxValueBytes), true))
            return std::nullopt;
        ++snapshot.chunks;
    }
    return snapshot;
}

PublishedSnapshot snapshotInHead(const fs::path &values)
{
    const auto text = readTextFile((values / "head").string());
    if (isError(text))
        return {};
    const nlohmann::json head = nlohmann::json::parse(value(text), nullptr, false);
    if (!head.is_object())
        return {};
    // A head without a snapshot number stands for a complete document stored as one chunk under
    // the version.
    return { head.value("snapshot", head.value("version", 0UL)), head.value("parts", 1UL) };
}

Error writeError(const std::string &directory)
{
    return Error{ ResultCode::ToolUsage, directory + " cannot be written" };
}

} // namespace

std::optional<Error> publishInitialVersion(const std::string &directory,
                                           const std::string &document)
{
    const fs::path values = fs::path(directory) / "values";
    if (fs::exists(values / "head"))
        return Error{ ResultCode::ToolUsage, directory + " already has a configuration" };
    const auto snapshot = writeSnapshot(values, 1, document);
    if (!snapshot || !writeHead(values, 1, digestOf(document), *snapshot))
        return writeError(directory);
    return std::nullopt;
}

std::optional<Error> publishPatch(const std::string &directory, const ConfigurationLog &log,
                                  const std::string &patch)
{
    const fs::path values = fs::path(directory) / "values";
    PublishedSnapshot snapshot = snapshotInHead(values);
    const std::uint64_t number = log.position();
    if (!writeFile(values / "patch" / std::to_string(number), patch, false))
        return Error{ ResultCode::ToolUsage,
                      fs::exists(values / "patch" / std::to_string(number))
                          ? "another patch was published concurrently; check the patch again"
                          : directory + " cannot be written" };
    if (number >= snapshot.number + snapshotInterval) {
        const auto written = writeSnapshot(values, number, log.snapshot());
        if (!written)
            return writeError(directory);
        snapshot = *written;
    }
    if (!writeHead(values, number, log.digest(), snapshot))
        return writeError(directory);
    return std::nullopt;
}

} // namespace currantreel::tool
