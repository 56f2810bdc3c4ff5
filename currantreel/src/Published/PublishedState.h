#ifndef CURRANTREEL_PUBLISHED_PUBLISHEDSTATE_H
#define CURRANTREEL_PUBLISHED_PUBLISHEDSTATE_H

#include "../Core/Time.h"
#include "PublishedRevision.h"
#include "RemovalRecord.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantreel {

/// A value published by the platform, or its removal.
struct PublishedItem
{
    std::string key;
    std::string value;
    PublishedRevision revision; ///< Of the change; increases across all keys.
    bool isRemoved = false;
    Duration deferral{}; ///< Of a removal: time until it takes effect.
};

/// Age from which on published state is no longer told apart by its age.
inline constexpr Duration maxPublishedAge = std::chrono::minutes(1);

/// Time for which entries that are removed after an outage or a restore of the platform's store are
/// kept: most writers renew theirs within it, and a server that has really left still stops receiving
/// new requests within 2 s.
inline constexpr Duration removalDeferral = std::chrono::milliseconds(1'700);

/// The values published by the platform, as received from it or from other hosts.
///
/// For each key the highest revision wins, independent of the order of arrival. Entries removed
/// right after an outage of the platform are kept for a while, since their writers may not have had
/// time to renew them. Other hosts are told of such a removal at once, and keep the entry as long.
///
/// A store that was restored from an older copy begins a new era. What is known of earlier eras stays
/// in use until all of the new era is here; entries missing in it are removed as after an outage.
class PublishedState
{
public:
    /// Applies changes that the platform sent, after which the state is complete up to @p revision.
    /// Returns those that took effect.
    std::vector<PublishedItem> apply(TimePoint now, const std::vector<PublishedItem> &items,
                                     PublishedRevision revision);

    /// Whether this state is complete up to @p revision with the changes up to it of another host's
    /// state, of which @p source tells what was removed.
    [[nodiscard]] bool canFollow(PublishedRevision revision, const RemovalRecord &source) const;

    /// Applies changes of another host's state, with which this one is complete up to @p revision;
    /// revision() if it cannot follow. Returns those that took effect.
    std::vector<PublishedItem> takeOver(TimePoint now, const std::vector<PublishedItem> &items,
                                        PublishedRevision revision, const RemovalRecord &source);

    /// Applies a complete listing of the keys that begin with @p prefix, taken at @p revision: keys
    /// missing in it were removed, unless they changed later. Returns the changes that took effect.
    /// @param ended revision at the end of the listing, if it took several calls.
    std::vector<PublishedItem> replace(TimePoint now, const std::string &prefix,
                                       const std::vector<PublishedItem> &items,
                                       PublishedRevision revision, PublishedRevision ended = {});

    /// All items of the era of @p revision are here: those of earlier eras were removed. Does nothing
    /// unless the state has just changed to that era. Returns the changes that took effect.
    std::vector<PublishedItem> completeEra(TimePoint now, PublishedRevision revision);

    /// The platform is reachable again after an outage: removals are deferred until @p until.
    void deferRemovals(TimePoint until) { m_deferUntil = until; }

    /// Applies and returns the deferred removals once their delay is over.
    std::vector<PublishedItem> takeDueRemovals(TimePoint now);

    /// Revision up to which all changes were received. Some later ones may be here too.
    [[nodiscard]] PublishedRevision revision() const { return m_revision; }

    /// What other hosts need to know of removals to take over changesAfter().
    [[nodiscard]] RemovalRecord removals() const;

    /// All items with a revision above @p revision, including removals, deferred ones too.
    [[nodiscard]] std::vector<PublishedItem> changesAfter(TimePoint now,
                                                          PublishedRevision revision) const;

    /// False while some items of the current era may be missing, and some of earlier ones left.
    [[nodiscard]] bool isWhole() const { return m_wholeEra == m_revision.era; }
    /// When the current era began here; the origin in the first one.
    [[nodiscard]] TimePoint eraBeganAt() const { return m_eraBeganAt; }
    /// Number of times that a later era replaced the state of an earlier one.
    [[nodiscard]] std::uint64_t restores() const { return m_restores; }

    /// The state has all changes that the platform had acknowledged at @p time, in the current era.
    void confirm(TimePoint time) { m_confirmedAt = std::max(m_confirmedAt, time); }
    /// Latest time for which the state was confirmed.
    [[nodiscard]] TimePoint confirmedAt() const { return m_confirmedAt; }
    /// Time since confirmedAt(), at most maxPublishedAge.
    [[nodiscard]] Duration age(TimePoint now) const
    {
        return std::clamp(now - m_confirmedAt, Duration::zero(), maxPublishedAge);
    }

    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    /// Number of removals that are deferred now.
    [[nodiscard]] std::size_t deferredRemovals() const { return m_deferred.size(); }

private:
    /// A removal that takes effect later. Another outage of the platform does not delay it further.
    struct DeferredRemoval
    {
        PublishedItem item;
        TimePoint dueAt;
        PublishedRevision presentAt; ///< The item was still there at this revision.
    };

    void beginEra(TimePoint now);
    /// @param presentAt revision at which items that are removed were there for sure.
    std::vector<PublishedItem> applyAll(TimePoint now, const std::vector<PublishedItem> &items,
                                        PublishedRevision revision, PublishedRevision presentAt);
    [[nodiscard]] bool isInUse(const std::string &key) const;
    /// Whether @p item is of a revision up to which this state is complete, but not here any more.
    [[nodiscard]] bool wasRemoved(const PublishedItem &item) const;
    void setWhole();
    void applyItem(TimePoint now, const PublishedItem &item, PublishedRevision presentAt,
                   std::vector<PublishedItem> &applied);

    std::map<std::string, PublishedItem> m_items; ///< Removals are kept to reject outdated changes.
    std::map<std::string, DeferredRemoval> m_deferred;
    RemovalRecord m_removals;
    PublishedRevision m_revision;
    PublishedRevision m_newestItem; ///< Above m_revision if it arrived ahead of others.
    std::uint32_t m_wholeEra = 0; ///< Latest era of which all items are or were here.
    std::uint64_t m_restores = 0;
    TimePoint m_eraBeganAt;
    TimePoint m_deferUntil;
    TimePoint m_confirmedAt;
};

} // namespace currantreel

#endif
