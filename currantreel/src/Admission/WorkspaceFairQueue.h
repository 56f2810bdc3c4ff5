#ifndef CURRANTREEL_ADMISSION_WORKSPACEFAIRQUEUE_H
#define CURRANTREEL_ADMISSION_WORKSPACEFAIRQUEUE_H

#include "GrantQueue.h"
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace currantreel {

/// The waiting grants of one tier: a lane for each workspace, ordered by deadline.
///
/// A workspace is owed grants in proportion to its share while it waits. Among the workspaces that
/// are owed one (or are less than a small allowance ahead), the earliest deadline goes first. Every
/// operation is logarithmic in the number of grants that wait; workspaces without any cost nothing.
class WorkspaceFairQueue
{
public:
    void push(QueuedGrantRequest grant);

    /// Takes out grant @p id, which must wait here.
    QueuedGrantRequest remove(GrantId id);

    /// The next to be granted, or nullptr. A grant that is late already waits for the end of its
    /// bounded wait as its next deadline, so that it does not make others late too.
    const QueuedGrantRequest *next(TimePoint now);

    /// Takes what `next` gave last and charges it to its workspace. @pre next() gave a grant.
    QueuedGrantRequest takeNext();

    /// Takes the grant with the last deadline. @pre size() > 0.
    QueuedGrantRequest takeLast();

    [[nodiscard]] bool contains(GrantId id) const { return m_positions.contains(id); }
    [[nodiscard]] std::size_t size() const { return m_positions.size(); }
    /// Grants of @p workspace that wait.
    [[nodiscard]] std::size_t sizeOf(WorkspaceId workspace) const;

    /// Estimated number of grants to be made before @p grant, were it pushed now.
    [[nodiscard]] double grantsAhead(const QueuedGrantRequest &grant) const;

private:
    /// Orders grants by deadline, then by arrival.
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

    struct Lane
    {
        std::map<Key, QueuedGrantRequest> grants;
        double weight = 1.0;
        double served = 0.0; ///< Grants received over weight, on the scale of m_fairTime.
        bool isEligible = false;
    };

    using LaneOrder = std::set<std::pair<Key, WorkspaceId>>;
    using TimeOrder = std::set<std::pair<double, WorkspaceId>>;

    static double eligibleAt(const Lane &lane);
    void link(WorkspaceId workspace, Lane &lane);
    void unlink(WorkspaceId workspace, const Lane &lane);
    void admitEligible();
    void forgetSettled();
    QueuedGrantRequest take(WorkspaceId workspace, Key key, bool isCharged);
    void leave(WorkspaceId workspace, Lane &lane);
    void postpone(WorkspaceId workspace, Key key);

    std::unordered_map<WorkspaceId, Lane> m_lanes;
    std::unordered_map<GrantId, Position> m_positions;
    std::map<Key, WorkspaceId> m_order; ///< Every grant of the tier.
    LaneOrder m_eligible; ///< Lanes that are owed a grant, by their first deadline.
    TimeOrder m_ineligible; ///< Lanes that are ahead, by the fair time at which they no longer are.
    TimeOrder m_idle; ///< Empty lanes that are ahead, by the fair time at which they no longer are.
    double m_fairTime = 0.0; ///< Grants that a waiting workspace of weight 1 should have received.
    double m_weight = 0.0; ///< Sum of the weights of the workspaces that wait.
};

} // namespace currantreel

#endif
