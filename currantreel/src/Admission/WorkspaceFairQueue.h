#ifndef CURRANTREEL_ADMISSION_WORKSPACEFAIRQUEUE_H
#define CURRANTREEL_ADMISSION_WORKSPACEFAIRQUEUE_H

#include "../Shares/FairShares.h"
#include "GrantQueue.h"
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace currantreel {

/// The queued requests of one tier: weighted fair queueing between workspaces, with the earliest
/// deadline first among the eligible ones.
///
/// While it has requests queued, a workspace is entitled to grants in proportion to its weight. It
/// is eligible as long as it is ahead of that by no more than a small allowance. Every operation is
/// logarithmic in the number of queued requests; workspaces without any cost nothing.
class WorkspaceFairQueue
{
public:
    void push(QueuedGrantRequest queued);

    /// Removes request @p id. @pre contains(id).
    QueuedGrantRequest remove(GrantId id);

    /// The next request to be granted, or nullptr. A request that has missed its deadline gets the
    /// end of its maximum time in the queue as its new one, so that it does not make others late
    /// too.
    const QueuedGrantRequest *next(TimePoint now);

    /// Removes the request that `next` returned last and charges the grant to its workspace.
    /// @pre next() returned a request.
    QueuedGrantRequest takeNext();

    /// Removes the request with the latest deadline. @pre size() > 0.
    QueuedGrantRequest takeLast();

    [[nodiscard]] bool contains(GrantId id) const { return m_positions.contains(id); }
    [[nodiscard]] std::size_t size() const { return m_positions.size(); }
    /// Number of queued requests of @p workspace.
    [[nodiscard]] std::size_t sizeOf(WorkspaceId workspace) const;

    /// Estimated number of grants that would precede that of @p queued if it were pushed now.
    [[nodiscard]] double grantsAhead(const QueuedGrantRequest &queued) const;

private:
    /// Orders requests by deadline, then by arrival.
    struct Key
    {
        TimePoint deadline;
        std::uint64_t sequence = 0;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    struct Position
    {
        WorkspaceId workspace;
        Key key;
    };

    struct WorkspaceQueue
    {
        std::map<Key, QueuedGrantRequest> requests;
        double eligibleAt = 0.0; ///< Virtual time of m_shares from which it is eligible.
        bool isEligible = false;
    };

    using DeadlineOrder = std::set<std::pair<Key, WorkspaceId>>;
    using VirtualTimeOrder = std::set<std::pair<double, WorkspaceId>>;

    void addToOrder(WorkspaceId workspace, WorkspaceQueue &queue);
    void removeFromOrder(WorkspaceId workspace, const WorkspaceQueue &queue);
    void promoteEligible();
    QueuedGrantRequest take(WorkspaceId workspace, Key key, bool isCharged);
    void postpone(WorkspaceId workspace, Key key);

    std::unordered_map<WorkspaceId, WorkspaceQueue> m_queues;
    std::unordered_map<GrantId, Position> m_positions;
    std::map<Key, WorkspaceId> m_byDeadline; ///< All requests of the tier.
    DeadlineOrder m_eligible; ///< Eligible workspaces, by their earliest deadline.
    /// Workspaces too far ahead of their share, by the virtual time from which they are eligible.
    VirtualTimeOrder m_ineligible;
    FairShares m_shares; ///< Accounts in grants.
};

} // namespace currantreel

#endif
