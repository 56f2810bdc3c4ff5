#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONPATCH_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONPATCH_H

#include "../Core/Result.h"
#include "../Settings/Fault.h"
#include "Configuration.h"
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantreel {

/// Maximum size of a patch and of a published chunk of a snapshot, in bytes.
inline constexpr std::size_t maxValueBytes = 1'000'000;

/// Kind of an entry that a patch can remove.
enum class EntryKind : std::uint8_t { Class, Workspace, Model, BackendServer };

/// Entry that a patch removes.
struct EntryRemoval
{
    EntryKind kind = EntryKind::Class;
    std::uint64_t id = 0; ///< Value of the entry's identifier.
    std::string name;
};

/// Metadata of a patch: schema, base version, author and reason.
struct PatchHeader
{
    std::int64_t schema = 0;
    std::uint64_t base = 0; ///< Version that the author's changes are based on.
    std::string author;
    std::string reason;
};

/// A patch whose entries have been validated against a configuration.
struct ConfigurationPatch
{
    PatchHeader header;
    Configuration declared; ///< Entries to add or replace.
    bool hasFloors = false; ///< The patch replaces the tiers' minimum shares.
    std::vector<EntryRemoval> removals;
};

/// Why a patch is not accepted.
struct PatchRejection
{
    PatchHeader header; ///< The fields that could be read; the others have default values.
    Error error;
    FaultList faults; ///< All faults of the text; empty if the patch is rejected for other reasons.
};

/// Validates patch @p number against the configuration that it would change.
///
/// A pure function of its arguments: hosts with the same log reach the same verdict.
/// @param base configuration in force before the patch.
/// @return the validated patch or the rejection. Code PatchHeld means that the schema is not
/// supported and that there is no verdict.
[[nodiscard]] std::variant<ConfigurationPatch, PatchRejection>
validatePatch(std::uint64_t number, std::string_view text, const Configuration &base);

/// Applies in place a patch that validatePatch accepted against @p configuration.
void applyPatch(ConfigurationPatch &&patch, Configuration &configuration);

} // namespace currantreel

#endif
