#include "FleetSystem.h"

#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Bytes that a host may spend on news in a second.
constexpr double bytesPerSecond = 3'000.0;
/// Estimated size of news without lists, of a load and of an address, with framing.
constexpr double newsBytes = 120.0;
constexpr double loadBytes = 24.0;
constexpr double addressBytes = 24.0;
/// Most hosts that news goes to at once; more take turns.
constexpr std::size_t mostRecipients = 12;
constexpr std::size_t hostsPerNews = 4;
constexpr Duration shortestInterval = 150ms;
/// How often hosts that were not heard lately are tried.
constexpr Duration probeInterval = 1s;
/// A host counts as present for this long after its last word.
constexpr Duration presence = 2500ms;
/// A host counts in shares of common bounds for this long after its last word.
constexpr Duration countedFor = 60s;
/// A host that was not heard and not named for this long is forgotten.
constexpr Duration forgetAfter = 120s;
/// Loads older than this count for nothing.
constexpr Duration loadLifetime = 1500ms;
/// Time in which a host that reads the platform itself learns of a change.
constexpr Duration readingLag = 250ms;
/// Time until published items are sent once more to a host that still is behind.
constexpr Duration itemsInterval = 400ms;
/// Most bytes of published items in one message.
constexpr std::size_t mostItemBytes = 128UL * 1024;

std::vector<PublishedItem> firstItems(std::vector<PublishedItem> items)
{
    std::sort(items.begin(), items.end(),
              [](const PublishedItem &left, const PublishedItem &right) {
                  return left.revision < right.revision;
              });
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < items.size()
           && (count == 0 || bytes + items[count].value.size() < mostItemBytes))
        bytes += items[count++].value.size();
    items.resize(count);
    return items;
}

} // namespace

FleetSystem::FleetSystem(const Address &self, std::uint64_t seed) : m_self(self), m_random(seed) { }

HostId FleetSystem::idOf(const Address &peers)
{
    return HostId::ofName(toText(peers));
}

void FleetSystem::setSeeds(const std::vector<Address> &seeds)
{
    for (auto &[id, host] : m_hosts)
        host.isSeed = false;
    for (const Address &seed : seeds)
        meet(TimePoint(), seed, true);
}

void FleetSystem::meet(TimePoint now, const Address &address, bool isSeed)
{
    if (address == m_self)
        return;
    Host &host = m_hosts[idOf(address)];
    host.address = address;
    host.namedAt = std::max(host.namedAt, now);
    host.isSeed = host.isSeed || isSeed;
}

void FleetSystem::receive(TimePoint now, HostId from, const FleetNews &news)
{
    if (idOf(news.peers) != from)
        return;
    meet(now, news.peers, false);
    for (const Address &other : news.hosts)
        meet(now, other, false);
    const auto found = m_hosts.find(from);
    if (found == m_hosts.end())
        return;
    Host &host = found->second;
    // A restarted host knows nothing of what it was sent.
    if (news.revision < host.news.revision)
        host.sentRevision = 0;
    host.news = news;
    host.heardAt = now;
    host.isHeard = true;
}

bool FleetSystem::isPresent(const Host &host, TimePoint now) const
{
    return host.isHeard && now - host.heardAt < presence;
}

std::vector<HostId> FleetSystem::recipients(TimePoint now)
{
    std::vector<HostId> present;
    std::vector<HostId> silent;
    for (const auto &[id, host] : m_hosts)
        (isPresent(host, now) ? present : silent).push_back(id);
    std::shuffle(present.begin(), present.end(), m_random);
    if (present.size() > mostRecipients)
        present.resize(mostRecipients);
    if (now >= m_nextProbeAt && !silent.empty()) {
        m_nextProbeAt = now + probeInterval;
        std::shuffle(silent.begin(), silent.end(), m_random);
        const std::size_t probes = std::min<std::size_t>(silent.size(), mostRecipients / 2);
        present.insert(present.end(), silent.begin(),
                       silent.begin() + static_cast<std::ptrdiff_t>(probes));
    }
    return present;
}

FleetNews FleetSystem::newsOf(const FleetSelf &self, TimePoint now)
{
    FleetNews news;
    news.peers = m_self;
    news.revision = self.revision;
    news.readsPlatform = self.readsPlatform;
    news.isLeaving = self.isLeaving;
    news.loads = self.loads;
    news.demands = self.demands;
    std::vector<Address> known;
    for (const auto &[id, host] : m_hosts) {
        if (isPresent(host, now) && !host.news.isLeaving)
            known.push_back(host.address);
    }
    std::shuffle(known.begin(), known.end(), m_random);
    known.resize(std::min(known.size(), hostsPerNews));
    news.hosts = std::move(known);
    return news;
}

bool FleetSystem::isBehind(const Host &host, TimePoint now, std::uint64_t revision) const
{
    if (!isPresent(host, now) || host.news.revision >= revision)
        return false;
    // A host that reads the platform itself is behind only if it still is some time after the change:
    // its connection may have gone silent.
    return !host.news.readsPlatform || host.heardAt >= m_revisionAt + readingLag;
}

void FleetSystem::sendItems(TimePoint now, const PublishedState &state,
                            std::vector<FleetOutgoing> &outgoing)
{
    if (state.revision() > m_revision) {
        m_revision = state.revision();
        m_revisionAt = now;
    }
    for (auto &[id, host] : m_hosts) {
        const bool isDue =
            host.sentRevision < state.revision() || now - host.sentItemsAt >= itemsInterval;
        if (!isBehind(host, now, state.revision()) || !isDue)
            continue;
        std::vector<PublishedItem> items = firstItems(state.changesAfter(host.news.revision));
        if (items.empty())
            continue;
        host.sentItemsAt = now;
        host.sentRevision = state.revision();
        outgoing.push_back(FleetOutgoing{ id, host.address, PublishedNews{ std::move(items) } });
    }
}

std::vector<FleetOutgoing> FleetSystem::run(TimePoint now, const FleetSelf &self,
                                            const PublishedState &state)
{
    std::vector<FleetOutgoing> outgoing;
    sendItems(now, state, outgoing);
    if (m_isStarted && now < m_nextNewsAt)
        return outgoing;
    m_isStarted = true;
    const FleetNews news = newsOf(self, now);
    const std::vector<HostId> to = recipients(now);
    for (const HostId id : to)
        outgoing.push_back(FleetOutgoing{ id, m_hosts[id].address, news });
    const double bytes = newsBytes + loadBytes * static_cast<double>(news.loads.size())
                         + addressBytes * static_cast<double>(news.hosts.size());
    const std::chrono::duration<double> interval(bytes * static_cast<double>(to.size())
                                                 / bytesPerSecond);
    m_nextNewsAt = now + std::max(shortestInterval, std::chrono::duration_cast<Duration>(interval));
    std::erase_if(m_hosts, [now](const auto &entry) {
        const Host &host = entry.second;
        const TimePoint known = std::max(host.namedAt, host.heardAt);
        return !host.isSeed && now - known >= forgetAfter;
    });
    return outgoing;
}

std::map<BackendServerId, ServerLoad> FleetSystem::othersLoads(TimePoint now) const
{
    std::map<BackendServerId, ServerLoad> sums;
    for (const auto &[id, host] : m_hosts) {
        if (!host.isHeard || now - host.heardAt >= loadLifetime)
            continue;
        for (const FleetLoad &load : host.news.loads)
            sums[load.server].add(load.load);
    }
    return sums;
}

std::map<ServiceId, EngineDemand> FleetSystem::othersDemands(TimePoint now) const
{
    std::map<ServiceId, EngineDemand> sums;
    for (const auto &[id, host] : m_hosts) {
        if (!isPresent(host, now))
            continue;
        for (const FleetDemand &demand : host.news.demands)
            sums[demand.service].add(demand.demand);
    }
    return sums;
}

std::size_t FleetSystem::countedHosts(TimePoint now) const
{
    const auto counts = [now](const auto &entry) {
        const Host &host = entry.second;
        return !host.isHeard || now - host.heardAt < countedFor;
    };
    return 1 + static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), counts));
}

std::size_t FleetSystem::presentHosts(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [&](const auto &entry) { return isPresent(entry.second, now); }));
}

} // namespace currantreel
