#ifndef CURRANTREEL_FORWARD_PUBLISHEDSTATE_H
#define CURRANTREEL_FORWARD_PUBLISHEDSTATE_H

#include "../Core/Time.h"
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
    std::uint64_t revision = 0; ///< Revision of the change; increases across all keys.
    bool isRemoved = false;
};

/// The values published by the platform, as received from it or from other hosts.
///
/// For each key the highest revision wins, independent of the order of arrival. Entries removed
/// right after an outage of the platform are kept for a while, since their writers may not have had
/// time to renew them.
class PublishedState
{
public:
    /// Applies changes, after which the state is complete up to @p revision. Returns those that took
    /// effect.
    std::vector<PublishedItem> apply(TimePoint now, const std::vector<PublishedItem> &items,
                                     std::uint64_t revision);

    /// Applies a complete listing of the keys that begin with @p prefix, taken at @p revision: keys
    /// missing in it were removed, unless they changed later. Returns the changes that took effect.
    std::vector<PublishedItem> replace(TimePoint now, const std::string &prefix,
                                       const std::vector<PublishedItem> &items,
                                       std::uint64_t revision);

    /// The platform is reachable again after an outage: removals are deferred until @p until.
    void deferRemovals(TimePoint until) { m_deferUntil = until; }

    /// Applies and returns the deferred removals once their delay is over.
    std::vector<PublishedItem> takeDueRemovals(TimePoint now);

    /// Revision up to which all changes were received. Some later ones may be here too.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /// Highest revision that is sent to other hosts: below that of any deferred removal, which is
    /// sent only once it takes effect here.
    [[nodiscard]] std::uint64_t sharedRevision() const;

    /// All items with a revision above @p revision and up to sharedRevision(), including removals.
    [[nodiscard]] std::vector<PublishedItem> changesAfter(std::uint64_t revision) const;

    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    /// Number of removals that are deferred now.
    [[nodiscard]] std::size_t deferredRemovals() const { return m_deferred.size(); }

private:
    /// A removal that takes effect later. Another outage of the platform does not delay it further.
    struct DeferredRemoval
    {
        PublishedItem item;
        TimePoint dueAt;
    };

    void applyItem(TimePoint now, const PublishedItem &item, std::vector<PublishedItem> &applied);

    std::map<std::string, PublishedItem> m_items; ///< Removals are kept to reject outdated changes.
    std::map<std::string, DeferredRemoval> m_deferred;
    std::uint64_t m_revision = 0;
    TimePoint m_deferUntil;
};

} // namespace currantreel

#endif
