#ifndef CURRANTREEL_PLACEMENT_PLACEMENTQUEUE_H
#define CURRANTREEL_PLACEMENT_PLACEMENTQUEUE_H

#include "../Shares/SharedQueue.h"
#include "PlacementMessages.h"
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace currantreel {

/// Requests of all hosts that wait at an owner for capacity, in one order of importance. A host
/// that queued its requests itself would compete with other hosts for each slot, whatever is more
/// urgent.
///
/// Workspaces share each partition's servers, within each rank; see SharedQueue.
class PlacementQueue
{
public:
    /// Maximum number of requests that wait, in equal parts for the workspaces that wait together.
    /// A workspace that holds its part or more may add nothing; what it already holds stays.
    static constexpr std::size_t maxWaiting = 8'192;
    /// Further places, which are for the others meanwhile.
    static constexpr std::size_t reserve = 1'024;
    /// Maximum number of requests that one pass finds without capacity; bounds its time.
    static constexpr std::size_t maxAttemptsWithoutCapacity = 64;

    /// Identifies a waiting request.
    using Key = std::pair<HostId, AttemptId>;
    /// Tries to place a request. Returns what that cost, or nothing if there is no capacity.
    using Place =
        std::function<std::optional<double>(HostId from, const PlacementGrantRequest &request)>;

    /// Adds a request; has no effect if it waits already.
    /// @return false if too many requests wait, or too many of its workspace.
    bool add(TimePoint now, HostId from, const PlacementGrantRequest &request);

    /// Removes a request that its host withdrew or that was placed otherwise.
    void remove(const Key &key);

    /// Removes all requests of @p host.
    void removeAllOf(HostId host);

    /// Removes requests that are past their deadline, or whose host is not present.
    void removeExpired(TimePoint now, const std::function<bool(HostId)> &isPresent);

    /// Passes requests to @p place in their order, and removes those that were placed.
    void placeAll(TimePoint now, const Place &place);

    /// Whether a request that arrives now must wait behind those of other workspaces, since its own
    /// is ahead of its share.
    [[nodiscard]] bool mustWait(const PlacementGrantRequest &request) const;

    /// Charges the cost of a request that did not wait to its workspace.
    void charge(const PlacementGrantRequest &request, double cost);

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }
    /// Workspaces ahead of their share while others wait, with the number of their requests.
    [[nodiscard]] std::map<WorkspaceId, std::size_t> aheadOfShare() const
    {
        return m_order.aheadOfShare();
    }

private:
    struct Pool
    {
        std::uint32_t rank = 0;
        ServiceId service;
        std::uint32_t partition = 0;

        friend auto operator<=>(const Pool &, const Pool &) = default;
    };
    struct Waiting
    {
        PlacementGrantRequest request;
        TimePoint targetAt;
        TimePoint expiresAt;
        bool missesTarget = false;
    };

    [[nodiscard]] static Pool poolOf(const PlacementGrantRequest &request);
    [[nodiscard]] bool hasRoom(WorkspaceId workspace) const;
    void demoteLate(TimePoint now);

    std::map<Key, Waiting> m_waiting;
    SharedQueue<Key, Pool> m_order;
};

} // namespace currantreel

#endif
