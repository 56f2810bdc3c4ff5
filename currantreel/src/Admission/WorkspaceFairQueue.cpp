#include "WorkspaceFairQueue.h"

#include <algorithm>
#include <iterator>

namespace currantreel {

namespace {

/// Grants by which a workspace may be ahead of its share and still be eligible.
constexpr double eligibilityAllowance = 2.0;

/// Minimum weight, which keeps a share of zero from a division by zero.
constexpr double minWeight = 0.001;

TimePoint deadlineOf(const QueuedGrantRequest &queued)
{
    return queued.firstTokenDeadline - queued.expectedTimeToFirstToken;
}

} // namespace

double WorkspaceFairQueue::eligibleAt(const WorkspaceQueue &queue)
{
    return queue.virtualTime - eligibilityAllowance / queue.weight;
}

void WorkspaceFairQueue::addToOrder(WorkspaceId workspace, WorkspaceQueue &queue)
{
    queue.isEligible = eligibleAt(queue) <= m_virtualTime;
    if (queue.isEligible)
        m_eligible.emplace(queue.requests.begin()->first, workspace);
    else
        m_ineligible.emplace(eligibleAt(queue), workspace);
}

void WorkspaceFairQueue::removeFromOrder(WorkspaceId workspace, const WorkspaceQueue &queue)
{
    if (queue.isEligible)
        m_eligible.erase(std::pair(queue.requests.begin()->first, workspace));
    else
        m_ineligible.erase(std::pair(eligibleAt(queue), workspace));
}

void WorkspaceFairQueue::push(QueuedGrantRequest queued)
{
    const WorkspaceId workspace = queued.request.workspace;
    const Key key{ deadlineOf(queued), queued.sequence };
    WorkspaceQueue &queue = m_queues[workspace];
    if (queue.requests.empty()) {
        m_idle.erase(std::pair(queue.virtualTime, workspace));
        queue.virtualTime = std::max(queue.virtualTime, m_virtualTime);
        queue.weight = std::max(queued.request.share, minWeight);
        m_totalWeight += queue.weight;
    } else {
        removeFromOrder(workspace, queue);
    }
    m_positions.emplace(queued.request.id, Position{ workspace, key });
    m_byDeadline.emplace(key, workspace);
    queue.requests.emplace(key, std::move(queued));
    addToOrder(workspace, queue);
}

void WorkspaceFairQueue::deactivate(WorkspaceId workspace, WorkspaceQueue &queue)
{
    m_totalWeight -= queue.weight;
    if (m_positions.empty()) {
        m_queues.clear();
        m_idle.clear();
        m_virtualTime = 0.0;
        m_totalWeight = 0.0;
    } else if (queue.virtualTime > m_virtualTime) {
        m_idle.emplace(queue.virtualTime, workspace);
    } else {
        m_queues.erase(workspace);
    }
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
    if (isCharged) {
        queue.virtualTime += 1.0 / queue.weight;
        m_virtualTime += 1.0 / m_totalWeight;
    }
    if (queue.requests.empty())
        deactivate(workspace, queue);
    else
        addToOrder(workspace, queue);
    promoteEligible();
    eraseCaughtUp();
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
        m_virtualTime = std::max(m_virtualTime, m_ineligible.begin()->first);
    while (!m_ineligible.empty() && m_ineligible.begin()->first <= m_virtualTime) {
        const WorkspaceId workspace = m_ineligible.begin()->second;
        m_ineligible.erase(m_ineligible.begin());
        addToOrder(workspace, m_queues.at(workspace));
    }
}

void WorkspaceFairQueue::eraseCaughtUp()
{
    while (!m_idle.empty() && m_idle.begin()->first <= m_virtualTime) {
        m_queues.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
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
    return std::min(ownAhead * m_totalWeight / queue.weight, static_cast<double>(size()));
}

} // namespace currantreel
