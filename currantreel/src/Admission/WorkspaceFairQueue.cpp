#include "WorkspaceFairQueue.h"

#include <algorithm>
#include <iterator>

namespace currantreel {

namespace {

/// Each grant costs the same, as its answer's length is not known.
constexpr double grantCost = 1.0;

TimePoint deadlineOf(const QueuedGrantRequest &queued)
{
    return queued.firstTokenDeadline - queued.expectedTimeToFirstToken;
}

} // namespace

void WorkspaceFairQueue::addToOrder(WorkspaceId workspace, WorkspaceQueue &queue)
{
    queue.eligibleAt = m_shares.eligibleAt(workspace);
    queue.isEligible = m_shares.isEligible(workspace);
    if (queue.isEligible)
        m_eligible.emplace(queue.requests.begin()->first, workspace);
    else
        m_ineligible.emplace(queue.eligibleAt, workspace);
}

void WorkspaceFairQueue::removeFromOrder(WorkspaceId workspace, const WorkspaceQueue &queue)
{
    if (queue.isEligible)
        m_eligible.erase(std::pair(queue.requests.begin()->first, workspace));
    else
        m_ineligible.erase(std::pair(queue.eligibleAt, workspace));
}

void WorkspaceFairQueue::push(QueuedGrantRequest queued)
{
    const WorkspaceId workspace = queued.request.workspace;
    const Key key{ deadlineOf(queued), queued.sequence };
    WorkspaceQueue &queue = m_queues[workspace];
    if (queue.requests.empty())
        m_shares.activate(workspace, queued.request.share);
    else
        removeFromOrder(workspace, queue);
    m_positions.emplace(queued.request.id, Position{ workspace, key });
    m_byDeadline.emplace(key, workspace);
    queue.requests.emplace(key, std::move(queued));
    addToOrder(workspace, queue);
}

QueuedGrantRequest WorkspaceFairQueue::take(WorkspaceId workspace, Key key, bool isCharged)
{
    WorkspaceQueue &queue = m_queues.at(workspace);
    removeFromOrder(workspace, queue);
    const auto found = queue.requests.find(key);
    QueuedGrantRequest queued = std::move(found->second);
    queue.requests.erase(found);
    m_byDeadline.erase(key);
    m_positions.erase(queued.request.id);
    if (isCharged)
        m_shares.charge(workspace, grantCost);
    if (queue.requests.empty()) {
        m_shares.deactivate(workspace);
        m_queues.erase(workspace);
    } else {
        addToOrder(workspace, queue);
    }
    promoteEligible();
    return queued;
}

QueuedGrantRequest WorkspaceFairQueue::remove(GrantId id)
{
    const Position position = m_positions.at(id);
    return take(position.workspace, position.key, false);
}

QueuedGrantRequest WorkspaceFairQueue::takeLast()
{
    const auto last = std::prev(m_byDeadline.end());
    return take(last->second, last->first, false);
}

QueuedGrantRequest WorkspaceFairQueue::takeNext()
{
    const auto [key, workspace] = *m_eligible.begin();
    return take(workspace, key, true);
}

void WorkspaceFairQueue::promoteEligible()
{
    if (m_eligible.empty() && !m_ineligible.empty())
        m_shares.advanceTo(m_ineligible.begin()->first);
    while (!m_ineligible.empty() && m_ineligible.begin()->first <= m_shares.virtualTime()) {
        const WorkspaceId workspace = m_ineligible.begin()->second;
        m_ineligible.erase(m_ineligible.begin());
        addToOrder(workspace, m_queues.at(workspace));
    }
}

void WorkspaceFairQueue::postpone(WorkspaceId workspace, Key key)
{
    WorkspaceQueue &queue = m_queues.at(workspace);
    removeFromOrder(workspace, queue);
    auto node = queue.requests.extract(key);
    const Key later{ std::max(node.mapped().grantDeadline, key.deadline), key.sequence };
    node.mapped().isPostponed = true;
    node.key() = later;
    m_positions.at(node.mapped().request.id).key = later;
    m_byDeadline.erase(key);
    m_byDeadline.emplace(later, workspace);
    queue.requests.insert(std::move(node));
    addToOrder(workspace, queue);
}

const QueuedGrantRequest *WorkspaceFairQueue::next(TimePoint now)
{
    while (!m_eligible.empty()) {
        const auto [key, workspace] = *m_eligible.begin();
        const QueuedGrantRequest &queued = m_queues.at(workspace).requests.begin()->second;
        if (queued.isPostponed || key.deadline >= now)
            return &queued;
        postpone(workspace, key);
    }
    return nullptr;
}

std::size_t WorkspaceFairQueue::sizeOf(WorkspaceId workspace) const
{
    const auto found = m_queues.find(workspace);
    return found == m_queues.end() ? 0 : found->second.requests.size();
}

double WorkspaceFairQueue::grantsAhead(const QueuedGrantRequest &queued) const
{
    const auto found = m_queues.find(queued.request.workspace);
    if (found == m_queues.end() || found->second.requests.empty())
        return 0.0;
    const WorkspaceQueue &queue = found->second;
    const TimePoint first = queue.requests.begin()->first.deadline;
    const TimePoint last = queue.requests.rbegin()->first.deadline;
    const TimePoint deadline = std::clamp(deadlineOf(queued), first, last);
    // std::map keeps no subtree sizes, so the position is interpolated linearly by deadline.
    const double fraction = last > first ? static_cast<double>((deadline - first).count())
                                               / static_cast<double>((last - first).count())
                                         : 1.0;
    const double ownAhead = fraction * static_cast<double>(queue.requests.size());
    return std::min(ownAhead / m_shares.shareOf(queued.request.workspace),
                    static_cast<double>(size()));
}

} // namespace currantreel
