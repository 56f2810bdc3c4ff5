#ifndef CURRANTREEL_ADMISSION_TIEREDQUEUE_H
#define CURRANTREEL_ADMISSION_TIEREDQUEUE_H

#include "GrantQueue.h"
#include "VictimRule.h"
#include "WorkspaceFairQueue.h"
#include <array>
#include <map>
#include <optional>

namespace currantreel {

/// Strict priority between tiers, with a minimum share of the grants (floor) for each; within a
/// tier, earliest deadline first among the eligible workspaces.
///
/// A floor grant goes to a tier although a higher one has requests queued. Two floor grants never
/// follow each other while a higher tier has requests queued, so that it is delayed by one grant at
/// a time. A tier that got no grant for `maxTierWait` is due one whatever its floor.
class TieredQueue
{
public:
    /// Time without a grant after which a tier with queued requests is due a floor grant.
    static constexpr Duration maxTierWait = std::chrono::seconds(5);

    explicit TieredQueue(const std::vector<std::uint32_t> &floorPermille = {});

    /// Adds @p queued; a request with the same identifier is replaced.
    void push(QueuedGrantRequest queued);

    /// Removes request @p id. Returns whether it was queued here.
    bool remove(GrantId id);

    /// The request that `pop` would remove, or nullptr. Valid until the queue changes.
    /// @param mayGrantFloor whether a tier that is due a floor grant may go before a higher one.
    const QueuedGrantRequest *next(TimePoint now, bool mayGrantFloor = true);

    /// Removes the next request to be granted: of a tier that is due a floor grant, else of the
    /// highest tier with queued requests.
    std::optional<QueuedGrantRequest> pop(TimePoint now, bool mayGrantFloor = true);

    /// Removes the request to shed in favour of one of tier @p incoming: that with the latest
    /// deadline in the lowest tier present, if that tier is below @p incoming; nothing otherwise.
    std::optional<QueuedGrantRequest> popVictim(Tier incoming);

    /// Removes a request whose maximum time in the queue is over, or whose answer would be
    /// worthless, if there is any.
    std::optional<QueuedGrantRequest> popExpired(TimePoint now);

    /// Highest tier with queued requests.
    [[nodiscard]] std::optional<Tier> highestTier() const;

    [[nodiscard]] std::size_t size() const { return m_expiries.size(); }
    /// Number of queued requests of tier @p tier and of higher tiers.
    [[nodiscard]] std::size_t sizeAtOrAbove(Tier tier) const;
    /// Number of queued requests of @p workspace in tier @p tier.
    [[nodiscard]] std::size_t sizeOf(Tier tier, WorkspaceId workspace) const;
    /// Estimated number of grants that would precede that of @p queued if it were pushed now.
    [[nodiscard]] double grantsAhead(const QueuedGrantRequest &queued) const;

private:
    using Expiry = std::pair<TimePoint, std::uint64_t>;

    static Expiry expiryOf(const QueuedGrantRequest &queued);
    [[nodiscard]] TierCounts counts() const;
    [[nodiscard]] std::optional<Tier> chooseTier(TimePoint now, bool mayGrantFloor) const;
    [[nodiscard]] bool isDue(Tier tier, TimePoint now) const;
    void updateDeficits(Tier granted, TimePoint now);

    std::array<WorkspaceFairQueue, tierCount> m_tiers;
    std::array<std::int64_t, tierCount> m_deficits{}; ///< Thousandths of a grant due to a tier.
    std::array<std::uint32_t, tierCount> m_floors{};
    std::array<TimePoint, tierCount> m_waitingSince{}; ///< Last grant, or start of the wait.
    std::map<Expiry, GrantId> m_expiries;
    std::uint64_t m_nextSequence = 1;
    bool m_wasFloorGrant = false; ///< The last grant went to a tier below one with queued requests.
};

static_assert(GrantQueue<TieredQueue>, "TieredQueue must offer every operation of GrantQueue");

} // namespace currantreel

#endif
