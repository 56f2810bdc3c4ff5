#include "ConfigurationLog.h"

#include "ConfigurationDocument.h"
#include "ConfigurationWriter.h"
#include <array>
#include <cinttypes>
#include <cstdio>
#include <fmt/format.h>

namespace currantreel {

namespace {

constexpr std::size_t digestLength = 32;

/// First line of a snapshot, a comment to a reader of TOML.
struct SnapshotHead
{
    std::uint64_t position = 0;
    std::uint64_t version = 0;
    std::string digest; ///< Of the log up to the position.
    std::string content; ///< Digest of the document after the first line.
};

constexpr std::string_view snapshotMark = "# snapshot ";

std::string toText(const SnapshotHead &header)
{
    return fmt::format("{}{} {} {} {}\n", snapshotMark, header.position, header.version,
                       header.digest, header.content);
}

/// Reads the first line and takes it off @p text. Nothing if it is malformed.
std::optional<SnapshotHead> takeHead(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string line(text.substr(snapshotMark.size(), end - snapshotMark.size()));
    SnapshotHead header;
    std::array<char, digestLength + 1> digest{};
    std::array<char, digestLength + 1> content{};
    const int fields =
        std::sscanf(line.c_str(), "%" SCNu64 " %" SCNu64 " %32s %32s", &header.position,
                    &header.version, digest.data(), content.data());
    if (fields != 4)
        return std::nullopt;
    header.digest = digest.data();
    header.content = content.data();
    text.remove_prefix(end + 1);
    return header;
}

/// Digest of the log with one more verdict.
std::string extend(const std::string &digest, std::uint64_t number, std::string_view text, int code)
{
    return digestOf(fmt::format("{}\n{}\n{}\n{}", digest, number, digestOf(text), code));
}

} // namespace

AppendOutcome ConfigurationLog::append(std::uint64_t number, std::string text, TimePoint decidedAt)
{
    if (number != m_position + 1 || m_held)
        return AppendOutcome::OutOfOrder;
    auto judged = validatePatch(number, text, *m_configuration);
    auto *rejection = std::get_if<PatchRejection>(&judged);
    if (rejection && rejection->error.code == ResultCode::PatchHeld) {
        m_held = HeldPatch{ number, rejection->error };
        return AppendOutcome::Held;
    }
    AuditRecord record;
    record.decidedAt = decidedAt;
    const PatchHeader &header =
        rejection ? rejection->header : std::get<ConfigurationPatch>(judged).header;
    record.author = header.author;
    record.reason = header.reason;
    m_digest =
        extend(m_digest, number, text, rejection ? currantreel::number(rejection->error.code) : 0);
    m_position = number;
    if (rejection) {
        record.rejection = std::move(rejection->error);
    } else {
        applyPatch(std::get<ConfigurationPatch>(std::move(judged)), *m_configuration);
        m_configuration->version = number;
        m_configuration->digest = m_digest;
    }
    record.position = number;
    record.version = m_configuration->version;
    record.digest = m_digest;
    m_trail.add(std::move(record));
    keep(std::move(text));
    return rejection ? AppendOutcome::Rejected : AppendOutcome::Accepted;
}

std::optional<Error> ConfigurationLog::install(std::uint64_t number, std::string_view text)
{
    if (number <= m_position)
        return std::nullopt;
    // A document without the mark is the first one that operators published.
    SnapshotHead header{ number, number, digestOf(text), digestOf(text) };
    if (text.substr(0, snapshotMark.size()) == snapshotMark) {
        const auto read = takeHead(text);
        const bool isRight = read && read->position == number && read->version <= number;
        if (!isRight)
            return Error{ ResultCode::SnapshotMalformed, fmt::format("snapshot/{}", number) };
        header = *read;
    }
    if (digestOf(text) != header.content)
        return Error{ ResultCode::ConfigurationDigestMismatch, fmt::format("snapshot/{}", number) };
    auto parsed = parseConfiguration(text, fmt::format("snapshot/{}", number));
    if (const auto *faults = std::get_if<FaultList>(&parsed)) {
        const bool isNewer = faults->front().code == ResultCode::ConfigurationUnknownSchema;
        return Error{ isNewer ? faults->front().code : ResultCode::SnapshotMalformed,
                      currantreel::toText(faults->front()) };
    }
    m_configuration = std::make_shared<Configuration>(std::get<Configuration>(std::move(parsed)));
    m_configuration->version = header.version;
    m_configuration->digest = header.digest;
    m_position = number;
    m_digest = header.digest;
    m_held.reset();
    m_trail.clear();
    m_patches.clear();
    m_patchBytes = 0;
    return std::nullopt;
}

std::string ConfigurationLog::snapshot() const
{
    const std::string document = toDocument(*m_configuration);
    return toText(
               SnapshotHead{ m_position, m_configuration->version, m_digest, digestOf(document) })
           + document;
}

const std::string *ConfigurationLog::patch(std::uint64_t number) const
{
    if (number > m_position || number + m_patches.size() <= m_position)
        return nullptr;
    return &m_patches[m_patches.size() - 1 - (m_position - number)];
}

void ConfigurationLog::keep(std::string text)
{
    m_patchBytes += text.size();
    m_patches.push_back(std::move(text));
    while (m_patches.size() > maxRetainedPatches || m_patchBytes > maxRetainedBytes) {
        m_patchBytes -= m_patches.front().size();
        m_patches.pop_front();
    }
}

} // namespace currantreel
