#ifndef CURRANTREEL_ADMISSION_TIEREDQUEUE_H
#define CURRANTREEL_ADMISSION_TIEREDQUEUE_H

#include "GrantQueue.h"
#include <array>
#include <map>
#include <optional>
#include <unordered_map>

namespace currantreel {

/// Strict tiers, earliest deadline first inside a tier, with a floor share of grants for each tier.
class TieredQueue
{
public:
    explicit TieredQueue(const std::vector<std::uint32_t> &floorPermille = {});

    /// Adds @p grant; a grant with the same identifier is replaced.
    void push(QueuedGrant grant);

    /// Removes the grant @p id. Returns whether it waited here.
    bool remove(GrantId id);

    /// Takes the next to be granted: a tier whose floor is owed, else the highest tier that waits.
    std::optional<QueuedGrant> pop(TimePoint now);

    /// Takes the one to shed in favour of a newcomer of tier @p newcomer: the last deadline of the
    /// lowest tier present, if that tier is below the newcomer's; nothing otherwise.
    std::optional<QueuedGrant> popVictim(Tier newcomer);

    /// Takes one whose bounded wait has ended, if there is any.
    std::optional<QueuedGrant> popExpired(TimePoint now);

    /// Highest tier that waits.
    [[nodiscard]] std::optional<Tier> bestTier() const;

    [[nodiscard]] std::size_t size() const { return m_positions.size(); }

private:
    /// Orders a tier by deadline, then by arrival.
    struct Position
    {
        TimePoint deadline;
        std::uint64_t sequence = 0;
        Tier tier = 0;

        friend auto operator<=>(const Position &, const Position &) = default;
    };
    using Lane = std::map<Position, QueuedGrant>;

    std::optional<QueuedGrant> take(Tier tier, Lane::iterator position);
    [[nodiscard]] std::optional<Tier> owedTier() const;
    void payFloors(Tier granted);

    std::array<Lane, tierCount> m_lanes;
    std::array<std::int64_t, tierCount> m_deficits{}; ///< Thousandths of a grant owed to a tier.
    std::array<std::uint32_t, tierCount> m_floors{};
    std::map<std::pair<TimePoint, std::uint64_t>, GrantId> m_expiries;
    std::unordered_map<GrantId, Position> m_positions;
    std::uint64_t m_nextSequence = 1;
};

static_assert(GrantQueue<TieredQueue>, "TieredQueue must offer every operation of GrantQueue");

} // namespace currantreel

#endif
