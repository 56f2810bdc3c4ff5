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
/// Other hosts that an update lists.
constexpr std::size_t hostsPerUpdate = 16;
constexpr Duration minUpdateInterval = 150ms;
/// For startupPeriod after its start a host sends updates this many times as often, so that the
/// others learn of it soon.
constexpr double startupRateFactor = 3.0;
constexpr Duration startupPeriod = 10s;
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
/// Time for which an owner that did not answer is excluded; it doubles with each exclusion.
constexpr Duration minExclusion = 1s;
constexpr Duration maxExclusion = 8s;

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
    update.quarantineDigest = m_quarantineDigest;
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

bool FleetSystem::isFirstOwner(TimePoint now, ServiceId service, std::size_t partition) const
{
    if (!m_description.canOwn || m_description.isLeaving)
        return false;
    const double own = ownerRank(m_id, m_description.weight, service, partition);
    return std::none_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        const FleetHost &host = entry.second.description;
        return isPresent(entry.second, now) && !host.isLeaving && host.canOwn
               && ownerRank(entry.first, host.weight, service, partition) > own;
    });
}

std::size_t FleetSystem::rankOfSelf(std::uint64_t key) const
{
    const auto hashOf = [key](HostId host) {
        return XXH3_64bits_withSeed(&host.value, sizeof(host.value), key);
    };
    const std::uint64_t own = hashOf(m_id);
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [&](const auto &entry) { return hashOf(entry.first) > own; }));
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
