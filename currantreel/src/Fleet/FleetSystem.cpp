#include "FleetSystem.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Bytes that a host may spend on regular news in a second.
constexpr double bytesPerSecond = 2'200.0;
/// Estimated size of news without hosts and of a host, with framing.
constexpr double newsBytes = 160.0;
constexpr double hostBytes = 24.0;
/// Hosts that regular news goes to at once; others take turns.
constexpr std::size_t newsRecipients = 2;
/// Hosts that are told of a change at once.
constexpr std::size_t changeRecipients = 4;
/// Other hosts that news names.
constexpr std::size_t hostsPerNews = 16;
constexpr Duration shortestInterval = 150ms;
/// After its start a host tells news this many times as often for a while, to be known soon.
constexpr double startFactor = 3.0;
constexpr Duration startPeriod = 10s;
/// Shortest time between two rounds of news of a change.
constexpr Duration shortestChangeInterval = 50ms;
/// How often hosts that were not heard lately are tried, and how many at once by a host that hears
/// others and by one that hears nobody.
constexpr Duration probeInterval = 1s;
constexpr std::size_t probesAtOnce = 1;
constexpr std::size_t probesAlone = 6;
/// A host counts as present for this long after its heartbeat rose, and longer among many hosts, since
/// word of each one comes as much less often.
constexpr Duration shortestPresence = 3s;
constexpr Duration presencePerHost = 125ms;
/// A host counts in shares of common bounds for this long after its heartbeat rose.
constexpr Duration countedFor = 60s;
/// A host that was not heard and not named for this long is forgotten.
constexpr Duration forgetAfter = 120s;
/// Time in which a host that reads the platform itself learns of a change.
constexpr Duration readingLag = 250ms;
/// Time until published items are asked for once more, at another host.
constexpr Duration fetchTimeout = 800ms;
/// Most bytes of published items in one message.
constexpr std::size_t mostItemBytes = 128UL * 1024;
/// Hosts of a failure domain that read the platform while all is well.
constexpr std::size_t readersPerDomain = 3;
/// A host that hears nobody for this long reads the platform itself.
constexpr Duration longestSilence = 2s;
/// Time for which an owner that did not answer is passed over; it doubles each time.
constexpr Duration shortestPassedOver = 1s;
constexpr Duration longestPassedOver = 8s;

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

/// Rank of @p host as the owner of a part of a service, so that hosts get parts by their weight.
double ownerRank(HostId host, std::uint8_t weight, ServiceId service, std::size_t part)
{
    const std::uint64_t hash =
        XXH3_64bits_withSeed(&host.value, sizeof(host.value), service.value + part);
    constexpr double hashes = 18446744073709551616.0; // 2^64
    const double drawn = (static_cast<double>(hash) + 1.0) / (hashes + 2.0);
    return -static_cast<double>(weight) / std::log(drawn);
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
        meet(TimePoint(), seed, true);
}

void FleetSystem::meet(TimePoint now, const Address &address, bool isSeed)
{
    if (address == m_self)
        return;
    Host &host = m_hosts[idOf(address)];
    host.known.peerAddress = address;
    host.namedAt = std::max(host.namedAt, now);
    host.isSeed = host.isSeed || isSeed;
}

void FleetSystem::beat(TimePoint now, Host &host, const FleetHost &news)
{
    host.known = news;
    host.aliveAt = now;
    host.isAlive = true;
}

void FleetSystem::take(TimePoint now, const FleetHost &news)
{
    if (news.peerAddress == m_self) {
        // Others know a heartbeat of an earlier process that ran ahead of the time of day.
        m_heartbeat = std::max(m_heartbeat, news.heartbeat);
        return;
    }
    meet(now, news.peerAddress, false);
    Host &host = m_hosts[idOf(news.peerAddress)];
    if (news.heartbeat > host.known.heartbeat)
        beat(now, host, news);
}

void FleetSystem::receive(TimePoint now, HostId from, const FleetUpdate &news)
{
    if (idOf(news.sender.peerAddress) != from || from == m_id)
        return;
    meet(now, news.sender.peerAddress, false);
    Host &host = m_hosts[from];
    FleetHost sender = news.sender;
    sender.heartbeat = std::max(sender.heartbeat, host.known.heartbeat);
    beat(now, host, sender);
    if (news.revision != host.revision)
        host.behindSince = TimePoint();
    host.revision = news.revision;
    host.passedOverFor = Duration::zero();
    for (const FleetHost &other : news.hosts)
        take(now, other);
    m_newsAt = now;
}

void FleetSystem::receive(HostId from, const PublishedRequest &request, const PublishedState &state)
{
    const Address address = addressOf(from);
    std::vector<PublishedItem> items = firstItems(state.changesAfter(request.revision));
    if (!items.empty() && !address.ip.empty())
        m_outgoing.push_back(
            OutgoingFleetMessage{ from, address, PublishedUpdate{ std::move(items) } });
}

bool FleetSystem::isPresent(const Host &host, TimePoint now) const
{
    const Duration presence = presencePerHost * static_cast<Duration::rep>(m_hosts.size());
    return host.isAlive && now - host.aliveAt < std::max(shortestPresence, presence);
}

bool FleetSystem::isPresent(TimePoint now, HostId host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && isPresent(found->second, now);
}

std::vector<HostId> FleetSystem::present(TimePoint now) const
{
    std::vector<HostId> present;
    for (const auto &[id, host] : m_hosts) {
        if (isPresent(host, now))
            present.push_back(id);
    }
    std::shuffle(present.begin(), present.end(), m_random);
    return present;
}

std::vector<HostId> FleetSystem::recipients(TimePoint now)
{
    std::vector<HostId> to = present(now);
    const std::size_t probes = to.empty() ? probesAlone : probesAtOnce;
    to.resize(std::min(to.size(), newsRecipients));
    if (now < m_nextProbeAt)
        return to;
    std::vector<HostId> silent;
    for (const auto &[id, host] : m_hosts) {
        if (!isPresent(host, now))
            silent.push_back(id);
    }
    m_nextProbeAt = now + probeInterval;
    std::shuffle(silent.begin(), silent.end(), m_random);
    silent.resize(std::min(silent.size(), probes));
    to.insert(to.end(), silent.begin(), silent.end());
    return to;
}

FleetUpdate FleetSystem::newsOf(const PublishedState &state) const
{
    FleetUpdate news;
    news.sender = m_told;
    news.sender.peerAddress = m_self;
    news.sender.heartbeat = m_heartbeat;
    news.revision = state.sharedRevision();
    return news;
}

void FleetSystem::addHosts(TimePoint now, FleetUpdate &news)
{
    // What rose last is news to most; some others are named for those that missed them.
    std::vector<HostId> ids = present(now);
    const std::size_t newest = std::min(ids.size(), hostsPerNews / 2);
    std::partial_sort(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(newest), ids.end(),
                      [this](HostId left, HostId right) {
                          return m_hosts[left].aliveAt > m_hosts[right].aliveAt;
                      });
    ids.resize(std::min(ids.size(), hostsPerNews));
    for (const HostId id : ids)
        news.hosts.push_back(m_hosts[id].known);
}

void FleetSystem::send(HostId to, FleetUpdate message)
{
    m_outgoing.push_back(
        OutgoingFleetMessage{ to, m_hosts[to].known.peerAddress, std::move(message) });
}

void FleetSystem::tellChange(TimePoint now, const PublishedState &state)
{
    const bool isNew = state.sharedRevision() > m_toldRevision;
    if (!isNew || now - m_changeToldAt < shortestChangeInterval)
        return;
    m_toldRevision = state.sharedRevision();
    m_changeToldAt = now;
    ++m_heartbeat;
    std::vector<HostId> to = present(now);
    to.resize(std::min(to.size(), changeRecipients));
    for (const HostId id : to)
        send(id, newsOf(state));
}

void FleetSystem::fetch(TimePoint now, const PublishedState &state)
{
    if (now < m_fetchUntil)
        return;
    // A host that reads the platform itself is behind only if it still is some time after another one
    // learned of a change: its connection may have gone silent.
    const Duration lag = m_told.watchesPlatform ? readingLag : Duration::zero();
    std::vector<HostId> ahead;
    for (auto &[id, host] : m_hosts) {
        if (!isPresent(host, now) || host.revision <= state.revision()) {
            host.behindSince = TimePoint();
            continue;
        }
        if (host.behindSince == TimePoint())
            host.behindSince = now;
        if (now - host.behindSince >= lag)
            ahead.push_back(id);
    }
    if (ahead.empty())
        return;
    m_fetchUntil = now + fetchTimeout;
    const HostId chosen = ahead[m_random() % ahead.size()];
    m_outgoing.push_back(OutgoingFleetMessage{ chosen, m_hosts[chosen].known.peerAddress,
                                               PublishedRequest{ state.revision() } });
}

std::vector<OutgoingFleetMessage> FleetSystem::run(TimePoint now, const FleetHost &self,
                                                   const PublishedState &state)
{
    m_told = self;
    tellChange(now, state);
    fetch(now, state);
    if (m_isStarted && now < m_nextNewsAt)
        return std::exchange(m_outgoing, {});
    if (!std::exchange(m_isStarted, true))
        m_startedAt = now;
    ++m_heartbeat;
    FleetUpdate news = newsOf(state);
    addHosts(now, news);
    const std::vector<HostId> to = recipients(now);
    for (const HostId id : to)
        send(id, news);
    const double factor = now - m_startedAt < startPeriod ? startFactor : 1.0;
    const double bytes = newsBytes + hostBytes * static_cast<double>(news.hosts.size());
    const std::chrono::duration<double> interval(bytes * static_cast<double>(to.size())
                                                 / (factor * bytesPerSecond));
    m_nextNewsAt = now + std::max(shortestInterval, std::chrono::duration_cast<Duration>(interval));
    forget(now);
    return std::exchange(m_outgoing, {});
}

void FleetSystem::forget(TimePoint now)
{
    std::erase_if(m_hosts, [now](const auto &entry) {
        const Host &host = entry.second;
        const TimePoint known = std::max(host.namedAt, host.aliveAt);
        return !host.isSeed && now - known >= forgetAfter;
    });
}

bool FleetSystem::mustWatchPlatform(TimePoint now) const
{
    if (now - m_newsAt >= longestSilence)
        return true;
    const auto isEarlierReader = [&](const auto &entry) {
        const Host &host = entry.second;
        return entry.first < m_id && isPresent(host, now) && host.known.watchesPlatform
               && !host.known.isLeaving && host.known.failureDomain == m_told.failureDomain;
    };
    const auto readers = std::count_if(m_hosts.begin(), m_hosts.end(), isEarlierReader);
    return static_cast<std::size_t>(readers) < readersPerDomain;
}

HostId FleetSystem::ownerOf(TimePoint now, ServiceId service, std::size_t part) const
{
    const bool canOwn = m_told.canOwn && !m_told.isLeaving;
    HostId best;
    double bestRank = canOwn ? ownerRank(m_id, m_told.weight, service, part) : 0.0;
    for (const auto &[id, host] : m_hosts) {
        if (!isPresent(host, now) || host.known.isLeaving || !host.known.canOwn)
            continue;
        const double rank = ownerRank(id, host.known.weight, service, part);
        if (rank <= bestRank || now < host.passedOverUntil)
            continue;
        best = id;
        bestRank = rank;
    }
    return best;
}

bool FleetSystem::exclude(TimePoint now, HostId host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || now < found->second.passedOverUntil)
        return false;
    Host &silent = found->second;
    silent.passedOverFor =
        std::clamp(silent.passedOverFor * 2, shortestPassedOver, longestPassedOver);
    silent.passedOverUntil = now + silent.passedOverFor;
    return true;
}

Address FleetSystem::addressOf(HostId host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? Address{} : found->second.known.peerAddress;
}

std::size_t FleetSystem::hostsSharingLimits(TimePoint now) const
{
    const auto counts = [now](const auto &entry) {
        const Host &host = entry.second;
        return !host.isAlive || now - host.aliveAt < countedFor;
    };
    return 1 + static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), counts));
}

std::size_t FleetSystem::presentHostCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [&](const auto &entry) { return isPresent(entry.second, now); }));
}

} // namespace currantreel
