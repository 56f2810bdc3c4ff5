#include "ToolPublish.h"

#include "ToolSource.h"
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <system_error>

namespace currantreel::tool {

namespace {

namespace fs = std::filesystem;

/// Patches from one snapshot to the next.
constexpr std::uint64_t snapshotInterval = 100;

/// What the head tells of the snapshot.
struct PublishedSnapshot
{
    std::uint64_t number = 0;
    std::uint64_t parts = 0;
};

/// Writes a file whole or not at all: readers never see a part of it.
/// @param mayReplace whether an existing file is replaced.
bool writeFile(const fs::path &path, std::string_view content, bool mayReplace)
{
    std::error_code failure;
    fs::create_directories(path.parent_path(), failure);
    const fs::path draft = path.string() + ".new";
    std::ofstream stream(draft, std::ios::binary | std::ios::trunc);
    stream << content;
    stream.close();
    if (!stream)
        return false;
    if (mayReplace) {
        fs::rename(draft, path, failure);
        return !failure;
    }
    // Unlike a rename, a hard link fails if another operator has published the number meanwhile.
    fs::create_hard_link(draft, path, failure);
    std::error_code ignored;
    fs::remove(draft, ignored);
    return !failure;
}

bool writeHead(const fs::path &values, std::uint64_t number, const std::string &digest,
               const PublishedSnapshot &snapshot)
{
    const nlohmann::json head{ { "version", number },
                               { "digest", digest },
                               { "snapshot", snapshot.number },
                               { "parts", snapshot.parts } };
    return writeFile(values / "head", head.dump() + "\n", true);
}

std::optional<PublishedSnapshot> writeSnapshot(const fs::path &values, std::uint64_t number,
                                               std::string_view text)
{
    PublishedSnapshot snapshot{ number, 0 };
    for (std::size_t offset = 0; offset < text.size(); offset += maxValueBytes) {
        const fs::path part =
            values / "snapshot" / std::to_string(number) / std::to_string(snapshot.parts);
        if (!writeFile(part, text.substr(offset, maxValueBytes), true))
            return std::nullopt;
        ++snapshot.parts;
    }
    return snapshot;
}

PublishedSnapshot snapshotInHead(const fs::path &values)
{
    const auto text = readText((values / "head").string());
    if (isError(text))
        return {};
    const nlohmann::json head = nlohmann::json::parse(value(text), nullptr, false);
    if (!head.is_object())
        return {};
    // A head without a snapshot's number is of a whole document.
    return { head.value("snapshot", head.value("version", 0UL)), head.value("parts", 1UL) };
}

Error notWritten(const std::string &directory)
{
    return Error{ ResultCode::ToolUsage, directory + " cannot be written" };
}

} // namespace

std::optional<Error> publishFirst(const std::string &directory, const std::string &document)
{
    const fs::path values = fs::path(directory) / "values";
    if (fs::exists(values / "head"))
        return Error{ ResultCode::ToolUsage, directory + " has a configuration already" };
    const auto snapshot = writeSnapshot(values, 1, document);
    if (!snapshot || !writeHead(values, 1, digestOf(document), *snapshot))
        return notWritten(directory);
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
                          ? "another patch was published meanwhile; check the patch again"
                          : directory + " cannot be written" };
    if (number >= snapshot.number + snapshotInterval) {
        const auto written = writeSnapshot(values, number, log.snapshot());
        if (!written)
            return notWritten(directory);
        snapshot = *written;
    }
    if (!writeHead(values, number, log.digest(), snapshot))
        return notWritten(directory);
    return std::nullopt;
}

} // namespace currantreel::tool
