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

/// First line of a snapshot; a comment in TOML.
struct SnapshotHeader
{
    std::uint64_t position = 0;
    std::uint64_t version = 0;
    std::string digest; ///< Digest of the log up to the position.
    std::string content; ///< Digest of the document after the first line.
};

constexpr std::string_view snapshotPrefix = "# snapshot ";

std::string toText(const SnapshotHeader &header)
{
    return fmt::format("{}{} {} {} {}\n", snapshotPrefix, header.position, header.version,
                       header.digest, header.content);
}

/// Parses the first line of @p text and removes it.
/// @return nothing if the line is malformed; @p text is then unchanged.
std::optional<SnapshotHeader> consumeHeader(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string line(text.substr(snapshotPrefix.size(), end - snapshotPrefix.size()));
    SnapshotHeader header;
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

/// Digest of the log after one more verdict.
/// @param digest digest of the log before patch @p number.
/// @param code number of the verdict's result code; 0 if the patch was accepted.
std::string extendDigest(const std::string &digest, std::uint64_t number, std::string_view text,
                         int code)
{
    return digestOf(fmt::format("{}\n{}\n{}\n{}", digest, number, digestOf(text), code));
}

} // namespace

AppendOutcome ConfigurationLog::append(std::uint64_t number, std::string text, TimePoint decidedAt)
{
    if (number != m_position + 1 || m_held)
        return AppendOutcome::OutOfOrder;
    auto validated = validatePatch(number, text, *m_configuration);
    auto *rejection = std::get_if<PatchRejection>(&validated);
    if (rejection && rejection->error.code == ResultCode::PatchHeld) {
        m_held = HeldPatch{ number, rejection->error };
        return AppendOutcome::Held;
    }
    AuditRecord record;
    record.decidedAt = decidedAt;
    const PatchHeader &header =
        rejection ? rejection->header : std::get<ConfigurationPatch>(validated).header;
    record.author = header.author;
    record.reason = header.reason;
    m_digest = extendDigest(m_digest, number, text,
                            rejection ? currantreel::number(rejection->error.code) : 0);
    m_position = number;
    if (rejection) {
        record.rejection = std::move(rejection->error);
    } else {
        applyPatch(std::get<ConfigurationPatch>(std::move(validated)), *m_configuration);
        m_configuration->version = number;
        m_configuration->digest = m_digest;
    }
    record.position = number;
    record.version = m_configuration->version;
    record.digest = m_digest;
    m_trail.add(std::move(record));
    retain(std::move(text));
    return rejection ? AppendOutcome::Rejected : AppendOutcome::Accepted;
}

std::optional<Error> ConfigurationLog::install(std::uint64_t number, std::string_view text)
{
    if (number <= m_position)
        return std::nullopt;
    // A document without the prefix is the initial one, as operators published it.
    SnapshotHeader header{ number, number, digestOf(text), digestOf(text) };
    if (text.substr(0, snapshotPrefix.size()) == snapshotPrefix) {
        const auto parsedHeader = consumeHeader(text);
        const bool isConsistent =
            parsedHeader && parsedHeader->position == number && parsedHeader->version <= number;
        if (!isConsistent)
            return Error{ ResultCode::SnapshotMalformed, fmt::format("snapshot/{}", number) };
        header = *parsedHeader;
    }
    if (digestOf(text) != header.content)
        return Error{ ResultCode::ConfigurationDigestMismatch, fmt::format("snapshot/{}", number) };
    auto parsed = parseConfiguration(text, fmt::format("snapshot/{}", number));
    if (const auto *faults = std::get_if<FaultList>(&parsed)) {
        const bool isNewerSchema = faults->front().code == ResultCode::ConfigurationUnknownSchema;
        return Error{ isNewerSchema ? faults->front().code : ResultCode::SnapshotMalformed,
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
               SnapshotHeader{ m_position, m_configuration->version, m_digest, digestOf(document) })
           + document;
}

const std::string *ConfigurationLog::patch(std::uint64_t number) const
{
    if (number > m_position || number + m_patches.size() <= m_position)
        return nullptr;
    return &m_patches[m_patches.size() - 1 - (m_position - number)];
}

void ConfigurationLog::retain(std::string text)
{
    m_patchBytes += text.size();
    m_patches.push_back(std::move(text));
    while (m_patches.size() > maxRetainedPatches || m_patchBytes > maxRetainedBytes) {
        m_patchBytes -= m_patches.front().size();
        m_patches.pop_front();
    }
}

} // namespace currantreel
