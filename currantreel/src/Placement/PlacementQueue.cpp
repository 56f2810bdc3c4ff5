#include "PlacementQueue.h"

#include "TargetMiss.h"
#include <algorithm>
#include <vector>

namespace currantreel {

PlacementQueue::Pool PlacementQueue::poolOf(const PlacementGrantRequest &request)
{
    return Pool{ request.rank, request.service, request.partition };
}

bool PlacementQueue::hasRoom(WorkspaceId workspace) const
{
    const std::size_t own = m_order.sizeOf(workspace);
    const std::size_t workspaces = m_order.workspaceCount() + (own == 0 ? 1 : 0);
    if (own >= maxWaiting / workspaces)
        return false;
    return m_waiting.size() < maxWaiting + (workspaces > 1 ? reserve : 0);
}

bool PlacementQueue::add(TimePoint now, HostId from, const PlacementGrantRequest &request)
{
    const Key key{ from, request.attempt };
    if (m_waiting.contains(key))
        return true;
    if (!hasRoom(request.workspace))
        return false;
    Waiting waiting;
    waiting.request = request;
    waiting.targetAt = now + request.target - request.waited;
    waiting.expiresAt = now + request.timeLeft;
    waiting.missesTarget = missesTarget(now, waiting.targetAt, request.target);
    m_order.add(key,
                { poolOf(request), request.workspace, waiting.missesTarget, waiting.targetAt });
    m_waiting.emplace(key, std::move(waiting));
    return true;
}

void PlacementQueue::remove(const Key &key)
{
    m_order.remove(key);
    m_waiting.erase(key);
}

void PlacementQueue::removeAllOf(HostId host)
{
    auto waiting = m_waiting.lower_bound({ host, AttemptId{} });
    while (waiting != m_waiting.end() && waiting->first.first == host) {
        m_order.remove(waiting->first);
        waiting = m_waiting.erase(waiting);
    }
}

void PlacementQueue::removeExpired(TimePoint now, const std::function<bool(HostId)> &isPresent)
{
    std::vector<Key> expired;
    for (const auto &[key, waiting] : m_waiting) {
        if (now >= waiting.expiresAt || !isPresent(key.first))
            expired.push_back(key);
    }
    for (const Key &key : expired)
        remove(key);
}

void PlacementQueue::demoteLate(TimePoint now)
{
    for (auto &[key, waiting] : m_waiting) {
        if (waiting.missesTarget || !missesTarget(now, waiting.targetAt, waiting.request.target))
            continue;
        waiting.missesTarget = true;
        m_order.setMissesTarget(key);
    }
}

void PlacementQueue::placeAll(TimePoint now, const Place &place)
{
    demoteLate(now);
    std::size_t withoutCapacity = 0;
    m_order.visit([&](const Key &key) {
        const auto found = m_waiting.find(key);
        Waiting &waiting = found->second;
        waiting.request.waited = now - (waiting.targetAt - waiting.request.target);
        if (const auto cost = place(key.first, waiting.request)) {
            m_waiting.erase(found);
            return QueueStep{ QueueStep::Kind::Taken, *cost };
        }
        ++withoutCapacity;
        return QueueStep{ withoutCapacity < maxAttemptsWithoutCapacity ? QueueStep::Kind::Left
                                                                       : QueueStep::Kind::Stop };
    });
}

bool PlacementQueue::mustWait(const PlacementGrantRequest &request) const
{
    return request.mayWait && m_order.mustQueue(poolOf(request), request.workspace);
}

void PlacementQueue::charge(const PlacementGrantRequest &request, double cost)
{
    m_order.charge(poolOf(request), request.workspace, cost);
}

} // namespace currantreel
