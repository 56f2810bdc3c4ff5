#include "WarmUpLimit.h"

#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Part of a server's bound that hosts divide which are not the owner.
constexpr double othersShare = 0.25;
/// Hosts that may believe at the same time that they are the owner.
constexpr std::size_t owners = 2;
/// A host that knows fewer hosts assumes this many, so that it takes no larger share.
constexpr std::size_t minAssumedHosts = 9;
/// Time after which the rank of this host for a server is looked up again.
constexpr Duration rankRefresh = 500ms;
/// How often the partitions owned are looked up. A host that did not look for longer than the maximum
/// may have been stopped, and be no owner any more.
constexpr Duration checkInterval = 200ms;
constexpr Duration maxCheckInterval = 1s;
/// Multiple of a share that is reached at the end of the ramp.
constexpr double rampMultiple = 8.0;

void eraseBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() <= start)
        times.pop_front();
}

/// @p share during the warm-up; after it, the share rises.
double rampedShare(TimePoint now, TimePoint coldUntil, std::size_t share)
{
    if (now < coldUntil)
        return static_cast<double>(share);
    const double passed = std::chrono::duration<double>(now - coldUntil)
                          / std::chrono::duration<double>(WarmUpLimit::rampTime);
    const auto atLeastOne = static_cast<double>(std::max<std::size_t>(share, 1));
    return atLeastOne * (1.0 + (rampMultiple - 1.0) * passed);
}

} // namespace

void WarmUpLimit::configure(const RouteConfiguration &configuration)
{
    m_rates.clear();
    for (const ForwardService &service : configuration.services) {
        if (service.warmUpRate > 0.0)
            m_rates[service.id] = service.warmUpRate;
    }
}

void WarmUpLimit::recordWarmUp(ServiceId service, TimePoint coldUntil)
{
    TimePoint &until = m_coldUntil[service];
    until = std::max(until, coldUntil);
}

bool WarmUpLimit::isWarmingUp(TimePoint now, ServiceId service) const
{
    const auto found = m_coldUntil.find(service);
    return found != m_coldUntil.end() && now < found->second && isLimited(service);
}

WarmUpLimit::Shares WarmUpLimit::sharesOf(ServiceId service) const
{
    const double bound = m_rates.at(service) * m_bound.ratio + m_bound.slack;
    Shares shares;
    shares.others = static_cast<std::size_t>(bound * othersShare);
    shares.owner = (static_cast<std::size_t>(bound) - shares.others) / owners;
    return shares;
}

bool WarmUpLimit::isSettledOwner(TimePoint now, const WarmUpServer &server) const
{
    if (!m_hosts.isOwner)
        return true;
    const auto owned = m_owned.find({ server.service, server.partition });
    return owned != m_owned.end() && now - owned->second.checkedAt < maxCheckInterval
           && owned->second.checkedAt - owned->second.since >= ownerWait;
}

std::size_t WarmUpLimit::shareAmongOthers(TimePoint now, const WarmUpServer &server,
                                          Server &state) const
{
    if (!m_hosts.rankOf)
        return 0;
    if (now - state.rankAt >= rankRefresh) {
        state.rank = m_hosts.rankOf(now, server.id);
        state.rankAt = now;
    }
    const std::size_t others = sharesOf(server.service).others;
    const std::size_t sharing = std::min(others, std::max(state.rank.hosts, minAssumedHosts));
    return state.rank.rank < sharing ? others / sharing : 0;
}

std::size_t WarmUpLimit::shareOf(TimePoint now, const WarmUpServer &server, Server &state)
{
    const bool hasStarted = m_isStarted && now - m_startedAt >= startWait;
    if (m_hosts.isOwner && !hasStarted)
        return 0;
    if (isSettledOwner(now, server))
        return sharesOf(server.service).owner;
    return shareAmongOthers(now, server, state);
}

WarmUpLimit::Server &WarmUpLimit::stateOf(TimePoint now, const WarmUpServer &server)
{
    Server &state = m_servers[server.id];
    eraseBefore(state.placements, now - window);
    const bool hasBegun = now < server.coldUntil && now >= state.coldUntil;
    state.coldUntil = std::max(state.coldUntil, server.coldUntil);
    if (hasBegun) {
        state.isUsedUpLogged = false;
        m_records.push_back({ WarmUpRecord::Kind::Began, server.id, server.coldUntil - now,
                              shareOf(now, server, state) });
    }
    return state;
}

void WarmUpLimit::recordLeftOut(TimePoint now, const WarmUpServer &server, std::size_t share,
                                Server &state)
{
    ++m_timesLeftOut;
    if (std::exchange(state.isUsedUpLogged, true))
        return;
    m_records.push_back({ WarmUpRecord::Kind::UsedUp, server.id, server.coldUntil - now, share });
}

bool WarmUpLimit::hasRoom(TimePoint now, const WarmUpServer &server, std::size_t share,
                          Server &state)
{
    const double limit = rampedShare(now, server.coldUntil, share);
    if (static_cast<double>(state.placements.size()) + 1.0 <= limit)
        return true;
    recordLeftOut(now, server, share, state);
    return false;
}

bool WarmUpLimit::mayPlace(TimePoint now, const WarmUpServer &server)
{
    if (now >= server.coldUntil + rampTime || !isLimited(server.service))
        return true;
    Server &state = stateOf(now, server);
    return hasRoom(now, server, shareOf(now, server, state), state);
}

bool WarmUpLimit::maySendGranted(TimePoint now, const WarmUpServer &server)
{
    if (now >= server.coldUntil || !isLimited(server.service))
        return true;
    return hasRoom(now, server, sharesOf(server.service).owner, stateOf(now, server));
}

void WarmUpLimit::countPlacement(TimePoint now, BackendServerId server, ServiceId service)
{
    // Placements are counted before the warm-up too: that it begins may be learnt late.
    if (!isLimited(service))
        return;
    std::deque<TimePoint> &placements = m_servers[server].placements;
    eraseBefore(placements, now - window);
    placements.push_back(now);
}

void WarmUpLimit::run(TimePoint now, const std::function<std::size_t(ServiceId)> &partitions)
{
    if (!std::exchange(m_isStarted, true))
        m_startedAt = now;
    std::erase_if(m_servers, [now](const auto &entry) {
        const std::deque<TimePoint> &placements = entry.second.placements;
        const bool isIdle = placements.empty() || placements.back() <= now - window;
        return isIdle && now >= entry.second.coldUntil + rampTime;
    });
    if (!m_hosts.isOwner || now - m_checkedAt < checkInterval)
        return;
    m_checkedAt = now;
    std::map<Partition, Ownership> owned;
    for (const auto &[service, rate] : m_rates) {
        const std::size_t count = std::max<std::size_t>(partitions(service), 1);
        for (std::size_t partition = 0; partition < count; ++partition) {
            if (!m_hosts.isOwner(now, service, partition))
                continue;
            const auto known = m_owned.find({ service, partition });
            const bool isContinued =
                known != m_owned.end() && now - known->second.checkedAt < maxCheckInterval;
            owned[{ service, partition }] = { isContinued ? known->second.since : now, now };
        }
    }
    m_owned = std::move(owned);
}

std::size_t WarmUpLimit::warmingUp(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(),
                      [now](const auto &entry) { return now < entry.second.coldUntil; }));
}

} // namespace currantreel
