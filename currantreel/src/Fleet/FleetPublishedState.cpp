#include "FleetSystem.h"

#include <algorithm>

/// @file
/// How published state reaches a host: announcements, requests, and which hosts ask the platform.

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Hosts to which a change is announced at once.
constexpr std::size_t changeRecipientCount = 4;
/// Of these, the next ones in the order of the identifiers; the others are random. So a host is
/// missed only if its predecessors in that order are.
constexpr std::size_t changeSuccessors = 2;
/// The same for a confirmation that there is no later change.
constexpr std::size_t confirmationRecipients = 2;
constexpr std::size_t confirmationSuccessors = 1;
/// A confirmation is announced if it is later than the one before by this part of the bound for
/// changes.
constexpr int confirmationsPerBound = 4;
/// A host asks the platform itself once its published state is as old as this part of the bound.
constexpr int checksPerBound = 2;
/// Minimum time between two announcements of changes.
constexpr Duration minChangeInterval = 50ms;
/// Time within which a host that watches the platform itself learns of a change.
constexpr Duration watchLag = 250ms;
/// Time after which published items are requested again, from a host drawn anew.
constexpr Duration requestTimeout = 800ms;
/// Maximum bytes of published items in one message, unless a single item is larger.
constexpr std::size_t maxItemBytes = 512UL * 1024;
/// Items with values up to this size are sent ahead of their turn: those that only state by their key
/// that something is so must not wait until the host that asks has received large ones.
constexpr std::size_t maxSmallItemBytes = 64;
/// Maximum bytes of these in one message, beside the items that come in their turn.
constexpr std::size_t maxSmallItemsBytes = 64UL * 1024;
/// What an item takes in a message beside its key and value.
constexpr std::size_t itemOverheadBytes = 64;
/// Hosts of a failure domain that watch the platform in normal operation.
constexpr std::size_t watchersPerDomain = 3;
/// A host does not watch the platform for this long after its start: by then it knows most of the
/// others, and a whole deployment that starts does not watch at once.
constexpr Duration startupWatchDelay = 3s;
/// A host that receives no update for this long watches the platform itself.
constexpr Duration updateTimeout = 2s;

std::size_t bytesOf(const PublishedItem &item)
{
    return item.key.size() + item.value.size() + itemOverheadBytes;
}

/// Number of the first ones of @p items that fit into one message, at least one if there are any.
std::size_t countThatFit(const std::vector<PublishedItem> &items)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const PublishedItem &item : items) {
        bytes += bytesOf(item);
        if (count > 0 && bytes > maxItemBytes)
            break;
        ++count;
    }
    return count;
}

bool mustComeInOrder(const PublishedItem &item)
{
    return item.isRemoved || item.value.size() > maxSmallItemBytes;
}

/// Leaves of the @p items after the first @p count the small ones, of the lowest revisions, that may
/// be sent ahead of their turn. And the removals that a listing at @p listed showed: they happened
/// earlier, so that a host without them is not complete up to an earlier revision either.
/// @return false if there are too many of these.
bool eraseLargeAfter(std::vector<PublishedItem> &items, std::size_t count, PublishedRevision listed)
{
    std::size_t smallBytes = 0;
    std::size_t removalBytes = 0;
    const auto isLeftOut = [&](const PublishedItem &item) {
        if (item.isRemoved && item.revision == listed) {
            removalBytes += bytesOf(item);
            return removalBytes > maxItemBytes;
        }
        if (mustComeInOrder(item) || smallBytes + bytesOf(item) > maxSmallItemsBytes)
            return true;
        smallBytes += bytesOf(item);
        return false;
    };
    auto kept = items.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto item = kept; item != items.end(); ++item) {
        if (!isLeftOut(*item))
            std::iter_swap(kept++, item);
    }
    items.erase(kept, items.end());
    return removalBytes <= maxItemBytes;
}

/// Answer to @p request for changes of @p state: those of the lowest revisions
/// that fit into one message, at least one if there are any.
PublishedUpdate makePublishedUpdate(TimePoint now, const PublishedState &state,
                                    const PublishedRequest &request)
{
    const PublishedRevision current = state.revision();
    PublishedUpdate update;
    // A host of an earlier version orders by the number alone: it is told of the items that are new
    // by that order, as it would be by a host of its own version, and never of all for each request.
    update.after = request.knowsEras ? request.revision
                                     : PublishedRevision(request.revision.number, current.era);
    update.items = state.changesAfter(now, update.after);
    update.removals = state.removals();
    std::sort(update.items.begin(), update.items.end(),
              [](const PublishedItem &left, const PublishedItem &right) {
                  return left.revision < right.revision;
              });
    const std::size_t count = countThatFit(update.items);
    if (count == update.items.size()) {
        update.revision = current;
        update.age = state.age(now);
        update.isWhole = current.era > 0 && state.isWhole();
    } else {
        update.revision = std::min(current, update.items[count].revision.before());
        // Without all of them, no host can follow that needs one.
        if (!eraseLargeAfter(update.items, count, update.removals.gapEnd))
            update.removals.gapBegin = {};
    }
    return update;
}

} // namespace

void FleetSystem::confirm(TimePoint now, PublishedRevision revision, Duration age,
                          PublishedState &state)
{
    const bool isOfEra = state.isWhole() && revision.era == state.revision().era;
    if (isOfEra && revision <= state.revision() && age < maxPublishedAge)
        state.confirm(now - age);
}

void FleetSystem::receive(TimePoint now, HostId from, const PublishedRequest &request,
                          const PublishedState &state)
{
    const Address address = addressOf(from);
    if (!address.ip.empty())
        m_outgoing.push_back(
            OutgoingFleetMessage{ from, address, makePublishedUpdate(now, state, request) });
}

std::vector<PublishedItem> FleetSystem::receive(TimePoint now, HostId from,
                                                const PublishedUpdate &update,
                                                PublishedState &state)
{
    m_requestPendingUntil = TimePoint();
    m_requestedFrom = {};
    const auto sender = m_hosts.find(from);
    if (sender != m_hosts.end() && update.items.empty())
        sender->second.revision = update.revision;
    const bool isInOrder = update.after <= state.revision();
    const bool isGapless = isInOrder && state.canFollow(update.revision, update.removals);
    std::vector<PublishedItem> applied = state.takeOver(
        now, update.items, isGapless ? update.revision : state.revision(), update.removals);
    if (isInOrder && !isGapless && sender != m_hosts.end())
        onUnfollowable(now, sender->second, state);
    if (isGapless && update.isWhole) {
        const std::vector<PublishedItem> removed = state.completeEra(now, update.revision);
        applied.insert(applied.end(), removed.begin(), removed.end());
    }
    confirm(now, update.revision, update.age, state);
    return applied;
}

void FleetSystem::onUnfollowable(TimePoint now, Host &host, const PublishedState &state)
{
    ++m_counters.itemAnswersWithGaps;
    const bool isKnown = host.unfollowableAt == state.revision();
    host.unfollowableAt = state.revision();
    if (isKnown)
        m_requestPendingUntil = now + requestTimeout;
}

std::vector<HostId> FleetSystem::successors(TimePoint now, std::size_t count) const
{
    std::vector<HostId> hosts;
    const auto self = m_hosts.upper_bound(m_id);
    const auto add = [&](auto begin, auto end) {
        for (auto entry = begin; entry != end && hosts.size() < count; ++entry) {
            if (isPresent(entry->second, now))
                hosts.push_back(entry->first);
        }
    };
    add(self, m_hosts.end());
    add(m_hosts.begin(), self);
    return hosts;
}

void FleetSystem::announceChange(TimePoint now, const PublishedState &state)
{
    const bool isNew = state.revision() > m_announcedRevision;
    const bool isConfirmedLater =
        state.confirmedAt() - m_announcedConfirmation >= m_changeBound / confirmationsPerBound;
    if (!(isNew || isConfirmedLater) || now - m_changeAnnouncedAt < minChangeInterval)
        return;
    m_announcedRevision = state.revision();
    m_announcedConfirmation = state.confirmedAt();
    m_changeAnnouncedAt = now;
    ++m_heartbeat;
    const std::vector<HostId> recipients =
        isNew ? changeRecipients(now)
              : selectHosts(now, confirmationRecipients, confirmationSuccessors);
    for (const HostId id : recipients)
        send(id, makeUpdate(now, state));
}

std::vector<HostId> FleetSystem::selectHosts(TimePoint now, std::size_t count,
                                             std::size_t successorCount) const
{
    std::vector<HostId> hosts = successors(now, successorCount);
    for (const HostId id : shuffledPresentHosts(now)) {
        if (hosts.size() >= count)
            break;
        if (std::find(hosts.begin(), hosts.end(), id) == hosts.end())
            hosts.push_back(id);
    }
    return hosts;
}

std::vector<HostId> FleetSystem::changeRecipients(TimePoint now) const
{
    return selectHosts(now, changeRecipientCount, changeSuccessors);
}

std::vector<HostId> FleetSystem::hostsAhead(TimePoint now, const PublishedState &state)
{
    // A host that watches the platform requests a change only if it still lacks it some time after
    // another host has it: its connection may have stopped delivering.
    const bool watchesPlatform = m_description.reachesPlatform && mustWatchPlatform(now);
    const Duration lag = watchesPlatform ? watchLag : Duration::zero();
    std::vector<HostId> ahead;
    std::vector<HostId> unfollowable;
    m_behindSince.reset();
    for (auto &[id, host] : m_hosts) {
        if (!isPresent(host, now) || host.revision <= state.revision()) {
            host.aheadSince = TimePoint();
            continue;
        }
        if (host.aheadSince == TimePoint())
            host.aheadSince = now;
        m_behindSince = std::min(m_behindSince.value_or(now), host.aheadSince);
        if (now - host.aheadSince >= lag)
            (host.unfollowableAt == state.revision() ? unfollowable : ahead).push_back(id);
    }
    // The platform tells more than they do. Without it, what is new there is better than nothing.
    return ahead.empty() && !m_description.reachesPlatform ? unfollowable : ahead;
}

void FleetSystem::countUnanswered()
{
    if (!m_requestedFrom.isValid())
        return;
    ++m_counters.itemRequestsUnanswered;
    m_counters.lastUnanswered = std::exchange(m_requestedFrom, {});
}

void FleetSystem::requestItems(TimePoint now, const PublishedState &state)
{
    const std::vector<HostId> ahead = hostsAhead(now, state);
    if (now < m_requestPendingUntil)
        return;
    countUnanswered();
    if (ahead.empty())
        return;
    ++m_counters.itemRequests;
    m_requestPendingUntil = now + requestTimeout;
    m_requestedFrom = ahead[m_random() % ahead.size()];
    m_outgoing.push_back(OutgoingFleetMessage{ m_requestedFrom, addressOf(m_requestedFrom),
                                               PublishedRequest{ state.revision() } });
}

bool FleetSystem::mustWatchPlatform(TimePoint now) const
{
    const bool isStarting = !m_isStarted || now - m_startedAt < startupWatchDelay;
    if (isStarting && !m_hosts.empty())
        return false;
    if (now - m_lastUpdateAt >= updateTimeout)
        return true;
    const auto isEarlierWatcher = [&](const auto &entry) {
        const Host &host = entry.second;
        return entry.first < m_id && isPresent(host, now) && host.description.reachesPlatform
               && !host.description.isLeaving
               && host.description.failureDomain == m_description.failureDomain;
    };
    const auto watchers = std::count_if(m_hosts.begin(), m_hosts.end(), isEarlierWatcher);
    return static_cast<std::size_t>(watchers) < watchersPerDomain;
}

bool FleetSystem::mustCheckPlatform(TimePoint now, const PublishedState &state) const
{
    // Other hosts are given time to hand on a new era before this one lists it from the platform.
    const Duration checkAge = m_changeBound / checksPerBound;
    const bool isReceivingEra = !state.isWhole() && now - state.eraBeganAt() < checkAge;
    return m_isStarted && !isReceivingEra && state.age(now) >= checkAge;
}

} // namespace currantreel
