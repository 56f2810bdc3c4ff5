#ifndef CURRANTREEL_FORWARD_PUBLISHEDSTATE_H
#define CURRANTREEL_FORWARD_PUBLISHEDSTATE_H

#include "../Core/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantreel {

/// One value that the platform publishes, or the news that it was removed.
struct PublishedItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of the change; rises over all keys together.
    bool isRemoved = false;
};

/// What the platform publishes, as far as this host has heard from it or from other hosts.
///
/// For each key the highest revision counts, whatever the order of arrival. Entries that are missing
/// right after an outage of the platform are kept for a while, since their writers may only be late to
/// renew them.
class PublishedState
{
public:
    /// Takes over changes. Returns those that were news.
    std::vector<PublishedItem> apply(TimePoint now, const std::vector<PublishedItem> &items);

    /// Takes over a whole listing of the keys that begin with @p prefix, read at @p revision: what is
    /// missing in it was removed, unless it changed later. Returns what was news.
    std::vector<PublishedItem> replace(TimePoint now, const std::string &prefix,
                                       const std::vector<PublishedItem> &items,
                                       std::uint64_t revision);

    /// The platform answers again after an outage: removals are held back until @p until.
    void holdRemovals(TimePoint until) { m_holdUntil = until; }

    /// Removals whose time has come.
    std::vector<PublishedItem> takeDueRemovals(TimePoint now);

    /// Highest revision that was seen.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /// Up to which everything known is told to other hosts: below removals that wait, which they may
    /// hear of only once they count here.
    [[nodiscard]] std::uint64_t sharedRevision() const;

    /// Everything known with a revision above @p revision and up to the shared one, removals included.
    [[nodiscard]] std::vector<PublishedItem> changesAfter(std::uint64_t revision) const;

    [[nodiscard]] std::size_t size() const { return m_items.size(); }

private:
    void takeOne(TimePoint now, const PublishedItem &item, std::vector<PublishedItem> &news);

    std::map<std::string, PublishedItem> m_items; ///< Removals stay, so that old news stays old.
    std::map<std::string, PublishedItem> m_held; ///< Removals that wait.
    std::uint64_t m_revision = 0;
    TimePoint m_holdUntil;
};

} // namespace currantreel

#endif
