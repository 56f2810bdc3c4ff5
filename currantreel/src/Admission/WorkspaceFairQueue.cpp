#include "WorkspaceFairQueue.h"

#include <algorithm>
#include <iterator>

namespace currantreel {

namespace {

/// Grants that a workspace may be ahead of its share and still go by deadline.
constexpr double allowance = 2.0;

/// Smallest weight, so that a share of zero does not divide by zero.
constexpr double smallestWeight = 0.001;

TimePoint deadlineOf(const QueuedGrantRequest &grant)
{
    return grant.firstTokenDeadline - grant.expectedTimeToFirstToken;
}

} // namespace

double WorkspaceFairQueue::eligibleAt(const Lane &lane)
{
    return lane.served - allowance / lane.weight;
}

void WorkspaceFairQueue::link(WorkspaceId workspace, Lane &lane)
{
    lane.isEligible = eligibleAt(lane) <= m_fairTime;
    if (lane.isEligible)
        m_eligible.emplace(lane.grants.begin()->first, workspace);
    else
        m_ineligible.emplace(eligibleAt(lane), workspace);
}

void WorkspaceFairQueue::unlink(WorkspaceId workspace, const Lane &lane)
{
    if (lane.isEligible)
        m_eligible.erase(std::pair(lane.grants.begin()->first, workspace));
    else
        m_ineligible.erase(std::pair(eligibleAt(lane), workspace));
}

void WorkspaceFairQueue::push(QueuedGrantRequest grant)
{
    const WorkspaceId workspace = grant.request.workspace;
    const Key key{ deadlineOf(grant), grant.sequence };
    Lane &lane = m_lanes[workspace];
    if (lane.grants.empty()) {
        m_idle.erase(std::pair(lane.served, workspace));
        lane.served = std::max(lane.served, m_fairTime);
        lane.weight = std::max(grant.request.share, smallestWeight);
        m_weight += lane.weight;
    } else {
        unlink(workspace, lane);
    }
    m_positions.emplace(grant.request.id, Position{ workspace, key });
    m_order.emplace(key, workspace);
    lane.grants.emplace(key, std::move(grant));
    link(workspace, lane);
}

void WorkspaceFairQueue::leave(WorkspaceId workspace, Lane &lane)
{
    m_weight -= lane.weight;
    if (m_positions.empty()) {
        m_lanes.clear();
        m_idle.clear();
        m_fairTime = 0.0;
        m_weight = 0.0;
    } else if (lane.served > m_fairTime) {
        m_idle.emplace(lane.served, workspace);
    } else {
        m_lanes.erase(workspace);
    }
}

QueuedGrantRequest WorkspaceFairQueue::take(WorkspaceId workspace, Key key, bool isCharged)
{
    Lane &lane = m_lanes.at(workspace);
    unlink(workspace, lane);
    const auto found = lane.grants.find(key);
    QueuedGrantRequest grant = std::move(found->second);
    lane.grants.erase(found);
    m_order.erase(key);
    m_positions.erase(grant.request.id);
    if (isCharged) {
        lane.served += 1.0 / lane.weight;
        m_fairTime += 1.0 / m_weight;
    }
    if (lane.grants.empty())
        leave(workspace, lane);
    else
        link(workspace, lane);
    admitEligible();
    forgetSettled();
    return grant;
}

QueuedGrantRequest WorkspaceFairQueue::remove(GrantId id)
{
    const Position position = m_positions.at(id);
    return take(position.workspace, position.key, false);
}

QueuedGrantRequest WorkspaceFairQueue::takeLast()
{
    const auto last = std::prev(m_order.end());
    return take(last->second, last->first, false);
}

QueuedGrantRequest WorkspaceFairQueue::takeNext()
{
    const auto [key, workspace] = *m_eligible.begin();
    return take(workspace, key, true);
}

void WorkspaceFairQueue::admitEligible()
{
    if (m_eligible.empty() && !m_ineligible.empty())
        m_fairTime = std::max(m_fairTime, m_ineligible.begin()->first);
    while (!m_ineligible.empty() && m_ineligible.begin()->first <= m_fairTime) {
        const WorkspaceId workspace = m_ineligible.begin()->second;
        m_ineligible.erase(m_ineligible.begin());
        link(workspace, m_lanes.at(workspace));
    }
}

void WorkspaceFairQueue::forgetSettled()
{
    while (!m_idle.empty() && m_idle.begin()->first <= m_fairTime) {
        m_lanes.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

void WorkspaceFairQueue::postpone(WorkspaceId workspace, Key key)
{
    Lane &lane = m_lanes.at(workspace);
    unlink(workspace, lane);
    auto node = lane.grants.extract(key);
    const Key later{ std::max(node.mapped().grantDeadline, key.deadline), key.sequence };
    node.mapped().isPostponed = true;
    node.key() = later;
    m_positions.at(node.mapped().request.id).key = later;
    m_order.erase(key);
    m_order.emplace(later, workspace);
    lane.grants.insert(std::move(node));
    link(workspace, lane);
}

const QueuedGrantRequest *WorkspaceFairQueue::next(TimePoint now)
{
    while (!m_eligible.empty()) {
        const auto [key, workspace] = *m_eligible.begin();
        const QueuedGrantRequest &grant = m_lanes.at(workspace).grants.begin()->second;
        if (grant.isPostponed || key.deadline >= now)
            return &grant;
        postpone(workspace, key);
    }
    return nullptr;
}

std::size_t WorkspaceFairQueue::sizeOf(WorkspaceId workspace) const
{
    const auto found = m_lanes.find(workspace);
    return found == m_lanes.end() ? 0 : found->second.grants.size();
}

double WorkspaceFairQueue::grantsAhead(const QueuedGrantRequest &grant) const
{
    const auto found = m_lanes.find(grant.request.workspace);
    if (found == m_lanes.end() || found->second.grants.empty())
        return 0.0;
    const Lane &lane = found->second;
    const TimePoint first = lane.grants.begin()->first.deadline;
    const TimePoint last = lane.grants.rbegin()->first.deadline;
    const TimePoint own = std::clamp(deadlineOf(grant), first, last);
    // Without counts in the tree, the place in the lane is taken to grow evenly with the deadline.
    const double place = last > first ? static_cast<double>((own - first).count())
                                            / static_cast<double>((last - first).count())
                                      : 1.0;
    const double inLane = place * static_cast<double>(lane.grants.size());
    return std::min(inLane * m_weight / lane.weight, static_cast<double>(size()));
}

} // namespace currantreel
