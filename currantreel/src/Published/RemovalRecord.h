#ifndef CURRANTREEL_PUBLISHED_REMOVALRECORD_H
#define CURRANTREEL_PUBLISHED_REMOVALRECORD_H

#include "PublishedRevision.h"
#include <algorithm>
#include <limits>

namespace currantreel {

/// Which removals a copy of the published state has recorded, and whether another copy can take over
/// its changes.
///
/// A listing of the platform tells what there is, but not what was removed before. A host that only
/// took over what is new would keep an item that was removed unrecorded.
struct RemovalRecord
{
    /// Later than any revision.
    static constexpr PublishedRevision never{ std::numeric_limits<std::uint64_t>::max(),
                                              std::numeric_limits<std::uint32_t>::max() };

    PublishedRevision completeSince; ///< Later removals are recorded, but for the gap.
    /// Removals up to the end of the gap are not recorded if the item was published after its begin.
    PublishedRevision gapBegin;
    PublishedRevision gapEnd;
    /// No item here had been removed at this revision; as late as can be while there are none.
    PublishedRevision currentAt = never;
    /// Items that were removed later than at the revision of the copy, but not later than at this one,
    /// may be missing here without a record: a listing takes a while.
    PublishedRevision mayLackUntil;

    /// Whether the changes of the copy with the record @p source are all that this one lacks.
    /// @param newestItem revision of the newest item of this copy.
    [[nodiscard]] bool canFollow(const RemovalRecord &source, PublishedRevision newestItem) const
    {
        return currentAt >= source.completeSince
               && (currentAt >= source.gapEnd || newestItem <= source.gapBegin);
    }

    /// The copy holds nothing of the era yet that it takes over from now on. What it holds of earlier
    /// ones is removed as a whole.
    void beginEra() { currentAt = never; }

    /// The copy got all changes up to @p revision from the platform.
    void onChanges(PublishedRevision revision) { currentAt = revision; }

    /// The copy, complete up to @p before, was compared with a listing that began at @p begun and
    /// ended at @p ended.
    void onListed(PublishedRevision before, PublishedRevision begun, PublishedRevision ended)
    {
        if (begun > before) {
            addGap(mayLackUntil <= before ? before : PublishedRevision(), begun);
            currentAt = begun;
        }
        mayLackUntil = std::max(mayLackUntil, ended);
    }

    /// The copy, complete up to @p before, took over changes of the copy with the record @p source,
    /// and is complete up to @p after. The two are equal if it could not follow.
    void onTakenOver(PublishedRevision before, PublishedRevision after, const RemovalRecord &source)
    {
        currentAt = std::max(std::min(currentAt, source.currentAt), after);
        if (after <= before)
            return;
        mayLackUntil = std::max({ mayLackUntil, source.mayLackUntil, currentAt });
        if (source.completeSince > before)
            completeSince = std::max(completeSince, source.completeSince);
        if (source.gapEnd > before)
            addGap(source.gapBegin, source.gapEnd);
    }

private:
    void addGap(PublishedRevision begin, PublishedRevision end)
    {
        // One gap is kept apart; of an earlier one, no removal counts as recorded.
        if (gapEnd != end)
            completeSince = std::max(completeSince, gapEnd);
        gapBegin = gapEnd == end ? std::min(gapBegin, begin) : begin;
        gapEnd = end;
    }
};

} // namespace currantreel

#endif
