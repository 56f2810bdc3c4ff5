#ifndef CURRANTREEL_ADMISSION_TIEREDQUEUE_H
#define CURRANTREEL_ADMISSION_TIEREDQUEUE_H

#include "GrantQueue.h"
#include "VictimRule.h"
#include "WorkspaceFairQueue.h"
#include <array>
#include <map>
#include <optional>

namespace currantreel {

/// Strict tiers with a floor share of grants for each; inside a tier, earliest deadline first among
/// the workspaces that are owed a grant.
///
/// A floor grant is never followed by another one while a higher tier waits, so that a higher tier is
/// delayed by one grant at a time. A tier that has waited for `maxTierWait` without a grant is owed
/// one whatever its floor.
class TieredQueue
{
public:
    /// Longest time that a tier waits without a grant before the next floor grant is its own.
    static constexpr Duration maxTierWait = std::chrono::seconds(5);

    explicit TieredQueue(const std::vector<std::uint32_t> &floorPermille = {});

    /// Adds @p grant; a grant with the same identifier is replaced.
    void push(QueuedGrantRequest grant);

    /// Removes the grant @p id. Returns whether it waited here.
    bool remove(GrantId id);

    /// The grant that `pop` would take, or nullptr. Valid until the queue changes.
    /// @param mayGrantFloor whether a tier whose floor is owed may go before a higher one.
    const QueuedGrantRequest *next(TimePoint now, bool mayGrantFloor = true);

    /// Takes the next to be granted: a tier whose floor is owed, else the highest tier that waits.
    std::optional<QueuedGrantRequest> pop(TimePoint now, bool mayGrantFloor = true);

    /// Takes the one to shed in favour of a newcomer of tier @p newcomer: the last deadline of the
    /// lowest tier present, if that tier is below the newcomer's; nothing otherwise.
    std::optional<QueuedGrantRequest> popVictim(Tier newcomer);

    /// Takes one whose bounded wait has ended, or whose answer would be worthless, if there is any.
    std::optional<QueuedGrantRequest> popExpired(TimePoint now);

    /// Highest tier that waits.
    [[nodiscard]] std::optional<Tier> highestTier() const;

    [[nodiscard]] std::size_t size() const { return m_expiries.size(); }
    /// Grants of tier @p tier and of higher tiers that wait.
    [[nodiscard]] std::size_t sizeAtOrAbove(Tier tier) const;
    /// Grants of @p workspace that wait in tier @p tier.
    [[nodiscard]] std::size_t sizeOf(Tier tier, WorkspaceId workspace) const;
    /// Estimated number of grants to be made before @p grant, were it pushed now.
    [[nodiscard]] double grantsAhead(const QueuedGrantRequest &grant) const;

private:
    using Expiry = std::pair<TimePoint, std::uint64_t>;

    static Expiry expiryOf(const QueuedGrantRequest &grant);
    [[nodiscard]] TierCounts counts() const;
    [[nodiscard]] std::optional<Tier> chooseTier(TimePoint now, bool mayGrantFloor) const;
    [[nodiscard]] bool isOwed(Tier tier, TimePoint now) const;
    void payFloors(Tier granted, TimePoint now);

    std::array<WorkspaceFairQueue, tierCount> m_tiers;
    std::array<std::int64_t, tierCount> m_deficits{}; ///< Thousandths of a grant owed to a tier.
    std::array<std::uint32_t, tierCount> m_floors{};
    std::array<TimePoint, tierCount> m_waitingSince{}; ///< Last grant, or start of the wait.
    std::map<Expiry, GrantId> m_expiries;
    std::uint64_t m_nextSequence = 1;
    bool m_wasFloor = false; ///< The last grant went to a tier below one that waited.
};

static_assert(GrantQueue<TieredQueue>, "TieredQueue must offer every operation of GrantQueue");

} // namespace currantreel

#endif
