#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONROWS_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONROWS_H

#include "../Settings/CheckedTable.h"
#include "Configuration.h"
#include "ConfigurationPatch.h"

namespace currantreel::detail {

/// The entries that a document or patch may refer to.
struct KnownEntries
{
    const Configuration *declared; ///< By the document itself.
    const Configuration *base; ///< What a patch is applied to; nullptr for a whole document.
    const std::vector<EntryRemoval> *removals; ///< Entries of the base which the patch removes.

    [[nodiscard]] bool has(ClassId id) const;
    [[nodiscard]] bool has(ModelId id) const;

private:
    [[nodiscard]] bool isRemoved(EntryKind kind, std::uint64_t id) const;
};

/// Reads the entries of @p root, which documents and patches declare alike, into @p configuration.
/// @return whether floors are declared.
bool readRows(CheckedTable &root, Configuration &configuration, const KnownEntries &known);

} // namespace currantreel::detail

#endif
