#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONROWS_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONROWS_H

#include "../Settings/CheckedTable.h"
#include "Configuration.h"
#include "ConfigurationPatch.h"

namespace currantreel::detail {

/// Entries that a document or patch may refer to.
struct KnownEntries
{
    const Configuration *declared; ///< Entries that the document or patch itself declares.
    const Configuration *base; ///< What a patch changes; nullptr for a complete document.
    const std::vector<EntryRemoval> *removals; ///< Entries of the base that the patch removes.

    [[nodiscard]] bool has(ClassId id) const;
    [[nodiscard]] bool has(ModelId id) const;

private:
    [[nodiscard]] bool isRemoved(EntryKind kind, std::uint64_t id) const;
};

/// Reads the entries of @p root, a document or a patch, into @p configuration.
/// @return whether @p root declares minimum shares of the tiers.
bool readRows(CheckedTable &root, Configuration &configuration, const KnownEntries &known);

} // namespace currantreel::detail

#endif
