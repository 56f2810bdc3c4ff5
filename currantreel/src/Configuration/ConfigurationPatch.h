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

/// Largest patch and largest part of a snapshot, in bytes.
inline constexpr std::size_t maxValueBytes = 1'000'000;

/// Kind of an entry that a patch can remove.
enum class EntryKind : std::uint8_t { Class, Workspace, Model, BackendServer };

/// One entry to remove.
struct EntryRemoval
{
    EntryKind kind = EntryKind::Class;
    std::uint64_t id = 0; ///< Value of the entry's identifier.
    std::string name;
};

/// Who publishes a patch, against what and why.
struct PatchHeader
{
    std::int64_t schema = 0;
    std::uint64_t base = 0; ///< Version that the author had in view.
    std::string author;
    std::string reason;
};

/// A patch whose entries have been checked against a configuration.
struct ConfigurationPatch
{
    PatchHeader header;
    Configuration declared; ///< Entries to add or replace.
    bool hasFloors = false; ///< The floors are replaced.
    std::vector<EntryRemoval> removals;
};

/// Why a patch cannot be accepted.
struct PatchRejection
{
    PatchHeader header; ///< As far as it could be read.
    Error error;
    FaultList faults; ///< Every fault, for a person; empty if the text itself is all right.
};

/// Judges patch @p number against the configuration that it would change.
///
/// A pure function of its arguments: hosts with the same log reach the same verdict.
/// @param base configuration in force before the patch.
/// @return the checked patch; or a refusal. Code PatchHeld means that the schema is not understood and
/// that no verdict is given.
[[nodiscard]] std::variant<ConfigurationPatch, PatchRejection>
validatePatch(std::uint64_t number, std::string_view text, const Configuration &base);

/// Applies a patch which validatePatch accepted against @p configuration, in place.
void applyPatch(ConfigurationPatch &&patch, Configuration &configuration);

} // namespace currantreel

#endif
