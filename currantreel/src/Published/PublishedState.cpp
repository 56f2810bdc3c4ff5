#include "PublishedState.h"

#include <algorithm>
#include <set>

namespace currantreel {

void PublishedState::beginEra(TimePoint now)
{
    m_restores += m_revision.number > 0 ? 1 : 0;
    m_eraBeganAt = now;
    // What confirmed the earlier era tells nothing of this one.
    m_confirmedAt = TimePoint();
}

void PublishedState::setWhole()
{
    if (isWhole())
        return;
    m_wholeEra = m_revision.era;
    std::erase_if(m_items, [this](const auto &entry) {
        return entry.second.isRemoved && entry.second.revision.era < m_wholeEra;
    });
}

bool PublishedState::isInUse(const std::string &key) const
{
    const auto known = m_items.find(key);
    return known != m_items.end() && !known->second.isRemoved;
}

bool PublishedState::wasRemoved(const PublishedItem &item) const
{
    return !item.isRemoved && item.revision <= m_revision && !m_items.contains(item.key);
}

void PublishedState::applyItem(TimePoint now, const PublishedItem &item,
                               PublishedRevision presentAt, std::vector<PublishedItem> &applied)
{
    if (item.revision.era < m_revision.era)
        return;
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && known->second.revision >= item.revision)
        return;
    const auto deferred = m_deferred.find(item.key);
    if (deferred != m_deferred.end() && deferred->second.item.revision > item.revision)
        return;
    m_newestItem = std::max(m_newestItem, item.revision);
    const TimePoint dueAt = std::max(now + item.deferral, m_deferUntil);
    if (item.isRemoved && isInUse(item.key) && now < dueAt) {
        // A listing may repeat a deferred removal with a higher revision.
        const PublishedRevision lastPresent = std::min(presentAt, item.revision.before());
        DeferredRemoval &removal =
            m_deferred.try_emplace(item.key, DeferredRemoval{ item, dueAt, lastPresent })
                .first->second;
        removal = DeferredRemoval{ item, std::min(removal.dueAt, dueAt),
                                   std::min(removal.presentAt, lastPresent) };
        return;
    }
    if (deferred != m_deferred.end())
        m_deferred.erase(deferred);
    applied.push_back(item);
    applied.back().deferral = Duration::zero();
    m_items[item.key] = applied.back();
}

std::vector<PublishedItem> PublishedState::applyAll(TimePoint now,
                                                    const std::vector<PublishedItem> &items,
                                                    PublishedRevision revision,
                                                    PublishedRevision presentAt)
{
    std::vector<PublishedItem> applied;
    for (const PublishedItem &item : items)
        applyItem(now, item, presentAt, applied);
    if (revision.era > m_revision.era)
        beginEra(now);
    m_revision = std::max(m_revision, revision);
    return applied;
}

std::vector<PublishedItem> PublishedState::apply(TimePoint now,
                                                 const std::vector<PublishedItem> &items,
                                                 PublishedRevision revision)
{
    std::vector<PublishedItem> applied = applyAll(now, items, revision, m_removals.currentAt);
    m_removals.onChanges(m_revision);
    return applied;
}

bool PublishedState::canFollow(PublishedRevision revision, const RemovalRecord &source) const
{
    RemovalRecord removals = m_removals;
    if (m_newestItem.era < revision.era)
        removals.beginEra();
    return revision <= m_revision || removals.canFollow(source, m_newestItem);
}

std::vector<PublishedItem> PublishedState::takeOver(TimePoint now,
                                                    const std::vector<PublishedItem> &items,
                                                    PublishedRevision revision,
                                                    const RemovalRecord &source)
{
    if (m_newestItem.era < revision.era)
        m_removals.beginEra();
    // The changes may be of before this state was brought up to date.
    std::vector<PublishedItem> changes = items;
    std::erase_if(changes, [this](const PublishedItem &item) { return wasRemoved(item); });
    const PublishedRevision before = m_revision;
    std::vector<PublishedItem> applied =
        applyAll(now, changes, revision, std::min(m_removals.currentAt, source.currentAt));
    m_removals.onTakenOver(before, m_revision, source);
    return applied;
}

std::vector<PublishedItem> PublishedState::replace(TimePoint now, const std::string &prefix,
                                                   const std::vector<PublishedItem> &items,
                                                   PublishedRevision revision,
                                                   PublishedRevision ended)
{
    if (revision.era < m_revision.era)
        return {};
    if (revision.era > m_revision.era)
        deferRemovals(std::max(m_deferUntil, now + removalDeferral));
    const PublishedRevision before = m_revision;
    std::vector<PublishedItem> changes;
    std::set<std::string> listed;
    for (const PublishedItem &item : items) {
        listed.insert(item.key);
        // Other hosts may have brought the state up to date meanwhile.
        if (revision >= before || !wasRemoved(item))
            changes.push_back(item);
    }
    for (const auto &[key, known] : m_items) {
        const bool isInRange = key.compare(0, prefix.size(), prefix) == 0;
        const bool isMissing =
            !known.isRemoved && known.revision < revision && !listed.contains(key);
        const Duration deferral =
            known.revision.era < revision.era ? removalDeferral : Duration::zero();
        if (isInRange && isMissing)
            changes.push_back(PublishedItem{ key, {}, revision, true, deferral });
    }
    std::vector<PublishedItem> applied = applyAll(now, changes, revision, m_removals.currentAt);
    m_removals.onListed(before, revision, std::max(revision, ended));
    if (prefix.empty())
        setWhole();
    return applied;
}

std::vector<PublishedItem> PublishedState::completeEra(TimePoint now, PublishedRevision revision)
{
    if (isWhole() || revision.era != m_revision.era)
        return {};
    std::vector<PublishedItem> removals;
    for (const auto &[key, known] : m_items) {
        const auto deferred = m_deferred.find(key);
        const bool isHandled =
            deferred != m_deferred.end() && deferred->second.item.revision.era == revision.era;
        if (!known.isRemoved && known.revision.era < revision.era && !isHandled)
            removals.push_back(PublishedItem{ key, {}, revision, true, removalDeferral });
    }
    std::vector<PublishedItem> applied = applyAll(now, removals, revision, m_removals.currentAt);
    setWhole();
    return applied;
}

RemovalRecord PublishedState::removals() const
{
    RemovalRecord record = m_removals;
    // An item whose removal arrived ahead is left out at once, its removal comes in its turn.
    if (m_newestItem > m_revision)
        record.mayLackUntil = std::max(record.mayLackUntil, m_newestItem);
    // These items are handed on, and their removals may follow in a later message.
    for (const auto &[key, removal] : m_deferred)
        record.currentAt = std::min(record.currentAt, removal.presentAt);
    return record;
}

std::vector<PublishedItem> PublishedState::takeDueRemovals(TimePoint now)
{
    std::vector<PublishedItem> applied;
    for (auto removal = m_deferred.begin(); removal != m_deferred.end();) {
        if (now < removal->second.dueAt) {
            ++removal;
            continue;
        }
        removal->second.item.deferral = Duration::zero();
        m_items[removal->first] = removal->second.item;
        applied.push_back(removal->second.item);
        removal = m_deferred.erase(removal);
    }
    return applied;
}

std::vector<PublishedItem> PublishedState::changesAfter(TimePoint now,
                                                        PublishedRevision revision) const
{
    std::vector<PublishedItem> changes;
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision)
            changes.push_back(item);
    }
    for (const auto &[key, removal] : m_deferred) {
        if (removal.item.revision <= revision)
            continue;
        changes.push_back(removal.item);
        changes.back().deferral = std::max(removal.dueAt - now, Duration::zero());
    }
    return changes;
}

} // namespace currantreel
