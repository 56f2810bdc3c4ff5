#include "PublishedState.h"

#include <algorithm>
#include <set>
#include <utility>

namespace currantreel {

void PublishedState::takeOne(TimePoint now, const PublishedItem &item,
                             std::vector<PublishedItem> &news)
{
    m_revision = std::max(m_revision, item.revision);
    const auto known = m_items.find(item.key);
    const auto held = m_held.find(item.key);
    if (known != m_items.end() && known->second.revision >= item.revision)
        return;
    if (held != m_held.end() && held->second.revision >= item.revision)
        return;
    if (item.isRemoved && now < m_holdUntil && known != m_items.end() && !known->second.isRemoved) {
        m_held[item.key] = item;
        return;
    }
    if (held != m_held.end())
        m_held.erase(held);
    m_items[item.key] = item;
    news.push_back(item);
}

std::vector<PublishedItem> PublishedState::apply(TimePoint now,
                                                 const std::vector<PublishedItem> &items)
{
    std::vector<PublishedItem> news;
    for (const PublishedItem &item : items)
        takeOne(now, item, news);
    return news;
}

std::vector<PublishedItem> PublishedState::replace(TimePoint now, const std::string &prefix,
                                                   const std::vector<PublishedItem> &items,
                                                   std::uint64_t revision)
{
    std::vector<PublishedItem> changes = items;
    std::set<std::string> listed;
    for (const PublishedItem &item : items)
        listed.insert(item.key);
    for (const auto &[key, known] : m_items) {
        const bool isInRange = key.compare(0, prefix.size(), prefix) == 0;
        if (isInRange && !known.isRemoved && known.revision < revision && !listed.contains(key))
            changes.push_back(PublishedItem{ key, {}, revision, true });
    }
    std::vector<PublishedItem> news = apply(now, changes);
    m_revision = std::max(m_revision, revision);
    return news;
}

std::vector<PublishedItem> PublishedState::takeDueRemovals(TimePoint now)
{
    std::vector<PublishedItem> news;
    if (now < m_holdUntil || m_held.empty())
        return news;
    const std::map<std::string, PublishedItem> held = std::exchange(m_held, {});
    for (const auto &[key, item] : held)
        takeOne(now, item, news);
    return news;
}

std::uint64_t PublishedState::sharedRevision() const
{
    std::uint64_t shared = m_revision;
    for (const auto &[key, removal] : m_held)
        shared = std::min(shared, removal.revision - 1);
    return shared;
}

std::vector<PublishedItem> PublishedState::changesAfter(std::uint64_t revision) const
{
    std::vector<PublishedItem> changes;
    const std::uint64_t last = sharedRevision();
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision && item.revision <= last)
            changes.push_back(item);
    }
    return changes;
}

} // namespace currantreel
