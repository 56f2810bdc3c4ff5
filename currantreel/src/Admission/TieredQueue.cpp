#include "TieredQueue.h"

#include <algorithm>

namespace currantreel {

namespace {

/// Deficit that entitles a tier to one grant, in thousandths of a grant.
constexpr std::int64_t deficitPerGrant = 1000;

/// Maximum deficit of a tier, so that a long wait does not lead to a long run of floor grants.
constexpr std::int64_t maxDeficit = 2 * deficitPerGrant;

/// Initial deficit: half a grant, so that a floor also holds over short periods.
constexpr std::int64_t initialDeficit = deficitPerGrant / 2;

} // namespace

TieredQueue::TieredQueue(const std::vector<std::uint32_t> &floorPermille)
{
    const std::size_t count = std::min<std::size_t>(floorPermille.size(), tierCount);
    std::copy_n(floorPermille.begin(), count, m_floors.begin());
    m_deficits.fill(initialDeficit);
}

TieredQueue::Expiry TieredQueue::expiryOf(const QueuedGrantRequest &queued)
{
    const TimePoint latestStart = queued.firstTokenDeadline - queued.expectedTimeToFirstToken;
    const bool mayRefuse = queued.request.isWorthlessWhenLate && queued.request.tier != topTier;
    const bool endsEarly = mayRefuse && latestStart < queued.grantDeadline;
    return { endsEarly ? latestStart : queued.grantDeadline, queued.sequence };
}

TierCounts TieredQueue::counts() const
{
    TierCounts counts{};
    for (Tier tier = 0; tier < tierCount; ++tier)
        counts[tier] = m_tiers[tier].size();
    return counts;
}

void TieredQueue::push(QueuedGrantRequest queued)
{
    remove(queued.request.id);
    queued.request.tier = std::min<Tier>(queued.request.tier, tierCount - 1);
    queued.sequence = m_nextSequence++;
    queued.isPostponed = false;
    const Tier tier = queued.request.tier;
    if (m_tiers[tier].size() == 0)
        m_waitingSince[tier] = queued.queuedAt;
    m_expiries.emplace(expiryOf(queued), queued.request.id);
    m_tiers[tier].push(std::move(queued));
}

bool TieredQueue::remove(GrantId id)
{
    const auto found =
        std::find_if(m_tiers.begin(), m_tiers.end(),
                     [id](const WorkspaceFairQueue &queue) { return queue.contains(id); });
    if (found == m_tiers.end())
        return false;
    m_expiries.erase(expiryOf(found->remove(id)));
    return true;
}

std::optional<Tier> TieredQueue::highestTier() const
{
    for (Tier tier = 0; tier < tierCount; ++tier) {
        if (m_tiers[tier].size() > 0)
            return tier;
    }
    return std::nullopt;
}

bool TieredQueue::isDue(Tier tier, TimePoint now) const
{
    if (m_tiers[tier].size() == 0)
        return false;
    return m_deficits[tier] >= deficitPerGrant || now - m_waitingSince[tier] >= maxTierWait;
}

std::optional<Tier> TieredQueue::chooseTier(TimePoint now, bool mayGrantFloor) const
{
    const std::optional<Tier> highest = highestTier();
    if (!highest || m_wasFloorGrant || !mayGrantFloor)
        return highest;
    std::optional<Tier> due;
    for (Tier tier = *highest + 1; tier < tierCount; ++tier) {
        // Of several tiers that are due a grant, the one that has waited longest goes first.
        if (isDue(tier, now) && (!due || m_waitingSince[tier] < m_waitingSince[*due]))
            due = tier;
    }
    return due ? due : highest;
}

void TieredQueue::updateDeficits(Tier granted, TimePoint now)
{
    m_wasFloorGrant = granted != highestTier();
    for (Tier tier = 0; tier < tierCount; ++tier) {
        if (m_tiers[tier].size() > 0)
            m_deficits[tier] = std::min(m_deficits[tier] + m_floors[tier], maxDeficit);
    }
    m_deficits[granted] = std::max<std::int64_t>(m_deficits[granted] - deficitPerGrant, 0);
    m_waitingSince[granted] = now;
}

const QueuedGrantRequest *TieredQueue::next(TimePoint now, bool mayGrantFloor)
{
    const std::optional<Tier> tier = chooseTier(now, mayGrantFloor);
    return tier ? m_tiers[*tier].next(now) : nullptr;
}

std::optional<QueuedGrantRequest> TieredQueue::pop(TimePoint now, bool mayGrantFloor)
{
    const std::optional<Tier> tier = chooseTier(now, mayGrantFloor);
    if (!tier)
        return std::nullopt;
    updateDeficits(*tier, now);
    m_tiers[*tier].next(now);
    QueuedGrantRequest queued = m_tiers[*tier].takeNext();
    m_expiries.erase(expiryOf(queued));
    return queued;
}

std::optional<QueuedGrantRequest> TieredQueue::popVictim(Tier incoming)
{
    const std::optional<Tier> tier = victimTier(counts(), incoming);
    if (!tier)
        return std::nullopt;
    QueuedGrantRequest queued = m_tiers[*tier].takeLast();
    m_expiries.erase(expiryOf(queued));
    return queued;
}

std::optional<QueuedGrantRequest> TieredQueue::popExpired(TimePoint now)
{
    if (m_expiries.empty() || m_expiries.begin()->first.first > now)
        return std::nullopt;
    const GrantId id = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    const auto found =
        std::find_if(m_tiers.begin(), m_tiers.end(),
                     [id](const WorkspaceFairQueue &queue) { return queue.contains(id); });
    return found->remove(id);
}

std::size_t TieredQueue::sizeAtOrAbove(Tier tier) const
{
    std::size_t total = 0;
    for (Tier higher = 0; higher <= tier; ++higher)
        total += m_tiers.at(higher).size();
    return total;
}

std::size_t TieredQueue::sizeOf(Tier tier, WorkspaceId workspace) const
{
    return m_tiers.at(tier).sizeOf(workspace);
}

double TieredQueue::grantsAhead(const QueuedGrantRequest &queued) const
{
    const Tier tier = std::min<Tier>(queued.request.tier, tierCount - 1);
    const std::size_t higher = tier > 0 ? sizeAtOrAbove(tier - 1) : 0;
    return static_cast<double>(higher) + m_tiers[tier].grantsAhead(queued);
}

} // namespace currantreel
