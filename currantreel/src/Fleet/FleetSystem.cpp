#include "FleetSystem.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Bytes of regular updates that a host may send in a second.
constexpr double updateBytesPerSecond = 2'200.0;
/// Estimated sizes, with framing, of an update without hosts and of each host in it.
constexpr double updateBytes = 160.0;
constexpr double hostBytes = 24.0;
/// Recipients of one regular update, drawn anew each time.
constexpr std::size_t updateRecipients = 2;
/// Hosts to which a change is announced at once: the next ones in the order of the identifiers, so
/// that no host is missed while its predecessors know the change, and others drawn anew.
constexpr std::size_t changeSuccessors = 2;
constexpr std::size_t changeRecipients = 4;
/// The same for a confirmation that there is no later change.
constexpr std::size_t confirmationSuccessors = 1;
constexpr std::size_t confirmationRecipients = 2;
/// Shares of the bound for changes: time after which a later confirmation is announced, and age of
/// the published state from which on a host asks the platform itself.
constexpr int confirmationsPerBound = 4;
constexpr int checksPerBound = 2;
/// Other hosts that an update lists.
constexpr std::size_t hostsPerUpdate = 16;
constexpr Duration minUpdateInterval = 150ms;
/// For startupPeriod after its start a host sends updates this many times as often, so that the
/// others learn of it soon.
constexpr double startupRateFactor = 3.0;
constexpr Duration startupPeriod = 10s;
/// Minimum time between two announcements of changes.
constexpr Duration minChangeInterval = 50ms;
/// How often hosts that are not present are probed, and how many at once: by a host that sees
/// others present, and by one that sees none.
constexpr Duration probeInterval = 1s;
constexpr std::size_t probesPerRound = 1;
constexpr std::size_t probesWithoutContact = 6;
/// A host counts as present for minPresence after its heartbeat rose, or for presencePerHost times
/// the number of known hosts if that is longer, since heartbeats arrive less often the more hosts
/// there are.
constexpr Duration minPresence = 3s;
constexpr Duration presencePerHost = 125ms;
/// Time after a rise of its heartbeat during which a host has a share of deployment-wide limits.
constexpr Duration limitSharePeriod = 60s;
/// A host whose heartbeat has not risen and that nobody has named for this long is removed.
constexpr Duration hostRetention = 120s;
/// Time within which a host that watches the platform itself learns of a change.
constexpr Duration watchLag = 250ms;
/// Time after which published items are requested again, from a host drawn anew.
constexpr Duration requestTimeout = 800ms;
/// Maximum bytes of published items in one message, unless a single item is larger.
constexpr std::size_t maxItemBytes = 512UL * 1024;
/// Hosts of a failure domain that watch the platform in normal operation.
constexpr std::size_t watchersPerDomain = 3;
/// A host does not watch the platform for this long after its start: by then it knows most of the
/// others, and a whole deployment that starts does not watch at once.
constexpr Duration startupWatchDelay = 3s;
/// A host that receives no update for this long watches the platform itself.
constexpr Duration updateTimeout = 2s;
/// Time for which an owner that did not answer is excluded; it doubles with each exclusion.
constexpr Duration minExclusion = 1s;
constexpr Duration maxExclusion = 8s;

/// Answer to a request for the changes of @p state after @p revision: those of the lowest revisions
/// that fit into one message, at least one if there are any.
PublishedUpdate makePublishedUpdate(TimePoint now, const PublishedState &state,
                                    std::uint64_t revision)
{
    PublishedUpdate update;
    update.after = revision;
    update.items = state.changesAfter(now, revision);
    std::sort(update.items.begin(), update.items.end(),
              [](const PublishedItem &left, const PublishedItem &right) {
                  return left.revision < right.revision;
              });
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < update.items.size()
           && (count == 0 || bytes + update.items[count].value.size() < maxItemBytes))
        bytes += update.items[count++].value.size();
    if (count == update.items.size()) {
        update.revision = state.revision();
        update.age = state.age(now);
    } else {
        update.revision = std::min(state.revision(), update.items[count].revision - 1);
        update.items.resize(count);
    }
    return update;
}

/// Takes over that the state at @p revision was up to date @p age ago, if @p state includes it.
void confirm(TimePoint now, std::uint64_t revision, Duration age, PublishedState &state)
{
    if (revision <= state.revision() && age < maxPublishedAge)
        state.confirm(now - age);
}

/// Rank of @p host as owner of a partition of a service. Weighted rendezvous hashing: hosts own
/// partitions in proportion to their weight.
double ownerRank(HostId host, std::uint8_t weight, ServiceId service, std::size_t partition)
{
    const std::uint64_t hash =
        XXH3_64bits_withSeed(&host.value, sizeof(host.value), service.value + partition);
    constexpr double hashCount = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(hash) + 1.0) / (hashCount + 2.0);
    return -static_cast<double>(weight) / std::log(uniform);
}

} // namespace

FleetSystem::FleetSystem(const Address &self, std::uint64_t heartbeat, std::uint64_t seed)
    : m_self(self), m_id(idOf(self)), m_heartbeat(heartbeat), m_random(seed)
{
}

HostId FleetSystem::idOf(const Address &peerAddress)
{
    return HostId::ofName(toText(peerAddress));
}

void FleetSystem::setSeeds(const std::vector<Address> &seeds)
{
    for (auto &[id, host] : m_hosts)
        host.isSeed = false;
    for (const Address &seed : seeds)
        addHost(TimePoint(), seed, true);
}

void FleetSystem::addHost(TimePoint now, const Address &address, bool isSeed)
{
    if (address == m_self)
        return;
    Host &host = m_hosts[idOf(address)];
    host.description.peerAddress = address;
    host.listedAt = std::max(host.listedAt, now);
    host.isSeed = host.isSeed || isSeed;
}

void FleetSystem::recordHeartbeat(TimePoint now, Host &host, const FleetHost &description)
{
    host.description = description;
    host.heartbeatAt = now;
    host.hasHeartbeat = true;
}

void FleetSystem::merge(TimePoint now, const FleetHost &description)
{
    if (description.peerAddress == m_self) {
        // Other hosts remember a heartbeat of an earlier process, whose clock was ahead.
        m_heartbeat = std::max(m_heartbeat, description.heartbeat);
        return;
    }
    addHost(now, description.peerAddress, false);
    Host &host = m_hosts[idOf(description.peerAddress)];
    if (description.heartbeat > host.description.heartbeat)
        recordHeartbeat(now, host, description);
}

void FleetSystem::receive(TimePoint now, HostId from, const FleetUpdate &update,
                          PublishedState &state)
{
    if (idOf(update.sender.peerAddress) != from || from == m_id)
        return;
    addHost(now, update.sender.peerAddress, false);
    Host &host = m_hosts[from];
    FleetHost sender = update.sender;
    sender.heartbeat = std::max(sender.heartbeat, host.description.heartbeat);
    recordHeartbeat(now, host, sender);
    if (update.revision != host.revision)
        host.aheadSince = TimePoint();
    host.revision = update.revision;
    host.exclusion = Duration::zero();
    for (const FleetHost &other : update.hosts)
        merge(now, other);
    m_lastUpdateAt = now;
    confirm(now, update.revision, update.age, state);
}

void FleetSystem::receive(TimePoint now, HostId from, const PublishedRequest &request,
                          const PublishedState &state)
{
    const Address address = addressOf(from);
    if (!address.ip.empty())
        m_outgoing.push_back(OutgoingFleetMessage{
            from, address, makePublishedUpdate(now, state, request.revision) });
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
    const bool isGapless = update.after <= state.revision();
    std::vector<PublishedItem> applied =
        state.apply(now, update.items, isGapless ? update.revision : 0);
    confirm(now, update.revision, update.age, state);
    return applied;
}

bool FleetSystem::isPresent(const Host &host, TimePoint now) const
{
    const Duration presence = presencePerHost * static_cast<Duration::rep>(m_hosts.size());
    return host.hasHeartbeat && now - host.heartbeatAt < std::max(minPresence, presence);
}

bool FleetSystem::isPresent(TimePoint now, HostId host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && isPresent(found->second, now);
}

std::vector<HostId> FleetSystem::shuffledPresentHosts(TimePoint now) const
{
    std::vector<HostId> hosts;
    for (const auto &[id, host] : m_hosts) {
        if (isPresent(host, now))
            hosts.push_back(id);
    }
    std::shuffle(hosts.begin(), hosts.end(), m_random);
    return hosts;
}

std::vector<HostId> FleetSystem::selectRecipients(TimePoint now)
{
    std::vector<HostId> recipients = shuffledPresentHosts(now);
    const std::size_t probes = recipients.empty() ? probesWithoutContact : probesPerRound;
    recipients.resize(std::min(recipients.size(), updateRecipients));
    if (now < m_nextProbeAt)
        return recipients;
    std::vector<HostId> unresponsive;
    for (const auto &[id, host] : m_hosts) {
        if (!isPresent(host, now))
            unresponsive.push_back(id);
    }
    m_nextProbeAt = now + probeInterval;
    std::shuffle(unresponsive.begin(), unresponsive.end(), m_random);
    unresponsive.resize(std::min(unresponsive.size(), probes));
    recipients.insert(recipients.end(), unresponsive.begin(), unresponsive.end());
    return recipients;
}

FleetUpdate FleetSystem::makeUpdate(TimePoint now, const PublishedState &state) const
{
    FleetUpdate update;
    update.sender = m_description;
    update.sender.peerAddress = m_self;
    update.sender.heartbeat = m_heartbeat;
    update.revision = state.revision();
    update.age = state.age(now);
    return update;
}

void FleetSystem::addHosts(TimePoint now, FleetUpdate &update)
{
    // Half are the hosts whose heartbeat rose last, which few others know yet. The other half is
    // random, for hosts that missed earlier updates.
    std::vector<HostId> ids = shuffledPresentHosts(now);
    const std::size_t newest = std::min(ids.size(), hostsPerUpdate / 2);
    std::partial_sort(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(newest), ids.end(),
                      [this](HostId left, HostId right) {
                          return m_hosts[left].heartbeatAt > m_hosts[right].heartbeatAt;
                      });
    ids.resize(std::min(ids.size(), hostsPerUpdate));
    for (const HostId id : ids)
        update.hosts.push_back(m_hosts[id].description);
}

void FleetSystem::send(HostId to, FleetUpdate message)
{
    m_outgoing.push_back(
        OutgoingFleetMessage{ to, m_hosts[to].description.peerAddress, std::move(message) });
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
    std::vector<HostId> recipients =
        successors(now, isNew ? changeSuccessors : confirmationSuccessors);
    const std::size_t count = isNew ? changeRecipients : confirmationRecipients;
    for (const HostId id : shuffledPresentHosts(now)) {
        if (recipients.size() >= count)
            break;
        if (std::find(recipients.begin(), recipients.end(), id) == recipients.end())
            recipients.push_back(id);
    }
    for (const HostId id : recipients)
        send(id, makeUpdate(now, state));
}

std::vector<HostId> FleetSystem::hostsAhead(TimePoint now, const PublishedState &state)
{
    // A host that watches the platform requests a change only if it still lacks it some time after
    // another host has it: its connection may have stopped delivering.
    const bool watchesPlatform = m_description.reachesPlatform && mustWatchPlatform(now);
    const Duration lag = watchesPlatform ? watchLag : Duration::zero();
    std::vector<HostId> ahead;
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
            ahead.push_back(id);
    }
    return ahead;
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

std::vector<OutgoingFleetMessage> FleetSystem::run(TimePoint now, const FleetHost &self,
                                                   const PublishedState &state)
{
    m_description = self;
    announceChange(now, state);
    requestItems(now, state);
    if (m_isStarted && now < m_nextUpdateAt)
        return std::exchange(m_outgoing, {});
    if (!std::exchange(m_isStarted, true))
        m_startedAt = now;
    ++m_heartbeat;
    FleetUpdate update = makeUpdate(now, state);
    addHosts(now, update);
    const std::vector<HostId> recipients = selectRecipients(now);
    for (const HostId id : recipients)
        send(id, update);
    const double factor = now - m_startedAt < startupPeriod ? startupRateFactor : 1.0;
    const double bytes = updateBytes + hostBytes * static_cast<double>(update.hosts.size());
    const std::chrono::duration<double> interval(bytes * static_cast<double>(recipients.size())
                                                 / (factor * updateBytesPerSecond));
    m_nextUpdateAt =
        now + std::max(minUpdateInterval, std::chrono::duration_cast<Duration>(interval));
    removeExpired(now);
    return std::exchange(m_outgoing, {});
}

void FleetSystem::removeExpired(TimePoint now)
{
    std::erase_if(m_hosts, [now](const auto &entry) {
        const Host &host = entry.second;
        const TimePoint seenAt = std::max(host.listedAt, host.heartbeatAt);
        return !host.isSeed && now - seenAt >= hostRetention;
    });
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
    return m_isStarted && state.age(now) >= m_changeBound / checksPerBound;
}

HostId FleetSystem::ownerOf(TimePoint now, ServiceId service, std::size_t partition) const
{
    const bool canOwn = m_description.canOwn && !m_description.isLeaving;
    HostId best;
    double bestRank = canOwn ? ownerRank(m_id, m_description.weight, service, partition) : 0.0;
    for (const auto &[id, host] : m_hosts) {
        if (!isPresent(host, now) || host.description.isLeaving || !host.description.canOwn)
            continue;
        const double rank = ownerRank(id, host.description.weight, service, partition);
        if (rank <= bestRank || now < host.excludedUntil)
            continue;
        best = id;
        bestRank = rank;
    }
    return best;
}

bool FleetSystem::exclude(TimePoint now, HostId host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || now < found->second.excludedUntil)
        return false;
    Host &unresponsive = found->second;
    unresponsive.exclusion = std::clamp(unresponsive.exclusion * 2, minExclusion, maxExclusion);
    unresponsive.excludedUntil = now + unresponsive.exclusion;
    return true;
}

Address FleetSystem::addressOf(HostId host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? Address{} : found->second.description.peerAddress;
}

std::size_t FleetSystem::hostsSharingLimits(TimePoint now) const
{
    const auto hasShare = [now](const auto &entry) {
        const Host &host = entry.second;
        return !host.hasHeartbeat || now - host.heartbeatAt < limitSharePeriod;
    };
    return 1 + static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), hasShare));
}

std::size_t FleetSystem::presentHostCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [&](const auto &entry) { return isPresent(entry.second, now); }));
}

} // namespace currantreel
