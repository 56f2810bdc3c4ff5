#include "ServerPool.h"

#include "Timing.h"
#include <algorithm>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Pause after a first lost attempt; doubles with each further one.
constexpr Duration failurePause = 1s;
/// Pause of a straggler.
constexpr Duration stragglerPause = 5s;
constexpr std::uint32_t largestBackoff = 5;
/// Time between two looks for stragglers.
constexpr Duration lookInterval = 500ms;
/// Slowness above which a server is ejected for a while.
constexpr double stragglerSlowness = 3.0;
/// Servers with known pace that a median needs.
constexpr std::size_t serversForMedian = 3;
/// Of a target's servers, one in this number may be ejected at once.
constexpr std::size_t ejectedDivisor = 2;

} // namespace

std::uint32_t ServerPool::usableSlots(const Row &row)
{
    return row.isLeaving || row.isPaused ? 0 : row.limit.slots();
}

void ServerPool::detach(Row &row)
{
    for (const TargetId target : row.targets) {
        TargetRow &entry = m_targets[target];
        if (row.isFree)
            entry.free.erase(keyOf(row));
        entry.slots -= row.countedSlots;
        entry.inFlight -= row.countedInFlight;
        entry.ejected -= row.countedEjected;
    }
    row.isFree = false;
    row.countedSlots = 0;
    row.countedInFlight = 0;
    row.countedEjected = 0;
}

void ServerPool::attach(Row &row)
{
    const std::uint32_t slots = usableSlots(row);
    row.isFree = row.inFlight < slots;
    row.countedSlots = slots;
    row.countedInFlight = row.inFlight;
    row.countedEjected = row.isPaused ? 1 : 0;
    // A returning server is compared by its full size, else it would never be tried.
    const std::uint32_t size = row.limit.isInSlowStart() ? row.limit.configuredSlots() : slots;
    row.load = (row.inFlight + 1) * row.slowdown / std::max(size, 1U);
    for (const TargetId target : row.targets) {
        TargetRow &entry = m_targets[target];
        if (row.isFree)
            entry.free.insert(keyOf(row));
        entry.slots += row.countedSlots;
        entry.inFlight += row.countedInFlight;
        entry.ejected += row.countedEjected;
    }
}

void ServerPool::declare(const BackendServer &server, std::vector<TargetId> targets)
{
    if (!m_servers.find(server.id)) {
        Row row;
        row.id = server.id;
        m_servers.insert(std::move(row));
    }
    Row &row = *m_servers.find(server.id);
    detach(row);
    if (row.targets != targets) {
        for (const TargetId target : row.targets)
            std::erase(m_targets[target].servers, row.id);
        for (const TargetId target : targets)
            m_targets[target].servers.push_back(row.id);
        row.targets = std::move(targets);
    }
    row.limit.setConfiguredSlots(server.slots);
    row.kvTokens = server.kvTokens;
    row.isDeclared = true;
    attach(row);
}

void ServerPool::remove(BackendServerId server)
{
    Row &row = *m_servers.find(server);
    detach(row);
    for (const TargetId target : row.targets)
        std::erase(m_targets[target].servers, row.id);
    m_pauses.erase(std::pair(row.pausedUntil, row.id));
    m_servers.remove(server);
}

void ServerPool::removeUndeclared()
{
    std::vector<BackendServerId> gone;
    for (Row &row : m_servers) {
        if (!row.isDeclared)
            gone.push_back(row.id);
        row.isDeclared = false;
    }
    for (const BackendServerId server : gone)
        remove(server);
}

void ServerPool::setLeaving(const std::set<BackendServerId> &leaving)
{
    for (Row &row : m_servers) {
        if (row.isLeaving == leaving.contains(row.id))
            continue;
        detach(row);
        row.isLeaving = !row.isLeaving;
        attach(row);
    }
}

bool ServerPool::hasServer(TargetId target) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return false;
    const std::vector<BackendServerId> &servers = found->second.servers;
    return std::any_of(servers.begin(), servers.end(), [this](BackendServerId server) {
        return !m_servers.find(server)->isLeaving;
    });
}

bool ServerPool::hasFreeSlot(TargetId target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && !found->second.free.empty();
}

bool ServerPool::hasRoom(const Row &row, std::uint64_t tokens)
{
    // A server without work takes any request, else a very long one would never run.
    return row.kvTokens == 0 || row.inFlight == 0 || row.reservedTokens + tokens <= row.kvTokens;
}

ServerCandidate ServerPool::candidateOf(const Row &row, const TargetRow &target)
{
    ServerCandidate candidate{ row.id, row.inFlight, row.limit.slots() };
    candidate.load = row.load;
    candidate.lastGrantSequence = row.lastGrantSequence;
    candidate.averageLoad = static_cast<double>(target.inFlight + 1)
                            / static_cast<double>(std::max<std::uint64_t>(target.slots, 1));
    return candidate;
}

std::vector<ServerCandidate> ServerPool::candidates(TargetId target, std::uint64_t tokens,
                                                    BackendServerId preferred) const
{
    std::vector<ServerCandidate> candidates;
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return candidates;
    const TargetRow &entry = found->second;
    bool hasPreferred = !preferred.isValid();
    for (const auto &[load, lastGrantSequence, server] : entry.free) {
        const Row &row = *m_servers.find(server);
        if (!hasRoom(row, tokens))
            continue;
        candidates.push_back(candidateOf(row, entry));
        hasPreferred = hasPreferred || server == preferred;
        if (candidates.size() == maxCandidates)
            break;
    }
    const Row *row = hasPreferred ? nullptr : m_servers.find(preferred);
    if (row && entry.free.contains(keyOf(*row)) && hasRoom(*row, tokens))
        candidates.push_back(candidateOf(*row, entry));
    std::sort(candidates.begin(), candidates.end(),
              [](const ServerCandidate &left, const ServerCandidate &right) {
                  return left.id < right.id;
              });
    return candidates;
}

void ServerPool::acquire(BackendServerId server, std::uint64_t tokens)
{
    Row *row = m_servers.find(server);
    if (!row)
        return;
    detach(*row);
    ++row->inFlight;
    row->lastGrantSequence = ++m_grants;
    row->reservedTokens += tokens;
    attach(*row);
}

void ServerPool::release(BackendServerId server, std::uint64_t tokens)
{
    Row *row = m_servers.find(server);
    if (!row || row->inFlight == 0)
        return;
    detach(*row);
    --row->inFlight;
    row->reservedTokens -= std::min(row->reservedTokens, tokens);
    attach(*row);
}

bool ServerPool::mayEject(const Row &row) const
{
    return std::all_of(row.targets.begin(), row.targets.end(), [&](TargetId target) {
        const TargetRow &entry = m_targets.at(target);
        return (entry.ejected + 1) * ejectedDivisor <= entry.servers.size();
    });
}

void ServerPool::pause(TimePoint now, Row &row, Duration first)
{
    const Duration length = first * (1U << std::min(row.failures, largestBackoff));
    detach(row);
    m_pauses.erase(std::pair(row.pausedUntil, row.id));
    row.pausedUntil = std::max(row.pausedUntil, now + length);
    row.isPaused = true;
    m_pauses.emplace(row.pausedUntil, row.id);
    ++row.failures;
    attach(row);
}

void ServerPool::onFailed(TimePoint now, Row &row)
{
    if (mayEject(row)) {
        row.limit.slowStart();
        pause(now, row, failurePause);
        return;
    }
    // Without another server a first failure is no reason to wait, further ones in a row are.
    if (row.failures++ > 0)
        pause(now, row, timing::refusalPause);
}

void ServerPool::learn(TimePoint now, const ServerReport &report)
{
    Row *row = m_servers.find(report.server);
    if (!row || report.end == LeaseEnd::Cancelled)
        return;
    if (report.end == LeaseEnd::Refused) {
        pause(now, *row, timing::refusalPause);
        return;
    }
    if (report.end == LeaseEnd::Failed) {
        onFailed(now, *row);
        return;
    }
    detach(*row);
    row->failures = 0;
    row->pace.add(report.firstToken, report.interToken);
    row->limit.onCompleted(now, report.firstToken, report.interToken, report.firstTokenTarget);
    attach(*row);
    m_changed.insert(row->targets.begin(), row->targets.end());
}

Duration ServerPool::median(const TargetRow &target, Duration (ServerLatency::*time)() const) const
{
    std::vector<Duration> times;
    for (const BackendServerId server : target.servers) {
        const Row &row = *m_servers.find(server);
        if (row.pace.isKnown())
            times.push_back((row.pace.*time)());
    }
    if (times.size() < serversForMedian)
        return {};
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

void ServerPool::ejectStragglers(TimePoint now, TargetRow &target)
{
    const Duration firstToken = median(target, &ServerLatency::firstToken);
    const Duration interToken = median(target, &ServerLatency::interToken);
    for (const BackendServerId server : target.servers) {
        Row &row = *m_servers.find(server);
        if (!row.pace.isKnown())
            continue;
        detach(row);
        row.slowdown = row.pace.slowdown(firstToken, interToken);
        attach(row);
        if (row.slowdown < stragglerSlowness || row.isPaused || !mayEject(row))
            continue;
        pause(now, row, stragglerPause);
        row.limit.slowStart();
        row.pace.reset();
    }
}

void ServerPool::run(TimePoint now)
{
    while (!m_pauses.empty() && m_pauses.begin()->first <= now) {
        Row &row = *m_servers.find(m_pauses.begin()->second);
        m_pauses.erase(m_pauses.begin());
        detach(row);
        row.isPaused = false;
        attach(row);
    }
    if (m_changed.empty() || now - m_lookedAt < lookInterval)
        return;
    m_lookedAt = now;
    for (const TargetId target : m_changed)
        ejectStragglers(now, m_targets[target]);
    m_changed.clear();
}

std::uint64_t ServerPool::slots(TargetId target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.slots;
}

std::vector<TargetLoad> ServerPool::loads() const
{
    std::vector<TargetLoad> list;
    for (const auto &[target, row] : m_targets) {
        // Zero slots would say that the servers leave, not that they are another host's.
        if (row.servers.empty())
            continue;
        TargetLoad load;
        load.target = target;
        load.slots = static_cast<std::uint32_t>(row.slots);
        load.freeSlots = static_cast<std::uint32_t>(row.slots - std::min(row.slots, row.inFlight));
        list.push_back(load);
    }
    return list;
}

std::uint64_t ServerPool::freeSlots(TargetId target) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return 0;
    const TargetRow &entry = found->second;
    return entry.slots > entry.inFlight ? entry.slots - entry.inFlight : 0;
}

std::uint32_t ServerPool::inFlight(BackendServerId server) const
{
    const Row *row = m_servers.find(server);
    return row ? row->inFlight : 0;
}

std::uint32_t ServerPool::limit(BackendServerId server) const
{
    const Row *row = m_servers.find(server);
    return row ? usableSlots(*row) : 0;
}

} // namespace currantreel
