#include "TieredQueue.h"

#include <algorithm>

namespace currantreel {

namespace {

/// Thousandths of a grant that make a whole one.
constexpr std::int64_t wholeGrant = 1000;

/// Most that a tier can be owed, so that a long wait cannot lead to a long run of floor grants.
constexpr std::int64_t largestDeficit = 2 * wholeGrant;

/// What a tier is owed at first: half a grant, so that a floor is also met in short spans.
constexpr std::int64_t firstDeficit = wholeGrant / 2;

} // namespace

TieredQueue::TieredQueue(const std::vector<std::uint32_t> &floorPermille)
{
    const std::size_t count = std::min<std::size_t>(floorPermille.size(), tierCount);
    std::copy_n(floorPermille.begin(), count, m_floors.begin());
    m_deficits.fill(firstDeficit);
}

TieredQueue::Expiry TieredQueue::expiryOf(const QueuedGrantRequest &grant)
{
    const TimePoint latestStart = grant.firstTokenDeadline - grant.expectedTimeToFirstToken;
    const bool mayRefuse = grant.request.isWorthlessWhenLate && grant.request.tier != topTier;
    const bool endsEarly = mayRefuse && latestStart < grant.grantDeadline;
    return { endsEarly ? latestStart : grant.grantDeadline, grant.sequence };
}

TierCounts TieredQueue::counts() const
{
    TierCounts counts{};
    for (Tier tier = 0; tier < tierCount; ++tier)
        counts[tier] = m_tiers[tier].size();
    return counts;
}

void TieredQueue::push(QueuedGrantRequest grant)
{
    remove(grant.request.id);
    grant.request.tier = std::min<Tier>(grant.request.tier, tierCount - 1);
    grant.sequence = m_nextSequence++;
    grant.isPostponed = false;
    const Tier tier = grant.request.tier;
    if (m_tiers[tier].size() == 0)
        m_waitingSince[tier] = grant.queuedAt;
    m_expiries.emplace(expiryOf(grant), grant.request.id);
    m_tiers[tier].push(std::move(grant));
}

bool TieredQueue::remove(GrantId id)
{
    const auto lanes =
        std::find_if(m_tiers.begin(), m_tiers.end(),
                     [id](const WorkspaceFairQueue &one) { return one.contains(id); });
    if (lanes == m_tiers.end())
        return false;
    m_expiries.erase(expiryOf(lanes->remove(id)));
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

bool TieredQueue::isOwed(Tier tier, TimePoint now) const
{
    if (m_tiers[tier].size() == 0)
        return false;
    return m_deficits[tier] >= wholeGrant || now - m_waitingSince[tier] >= maxTierWait;
}

std::optional<Tier> TieredQueue::chooseTier(TimePoint now, bool mayGrantFloor) const
{
    const std::optional<Tier> best = highestTier();
    if (!best || m_wasFloor || !mayGrantFloor)
        return best;
    std::optional<Tier> owed;
    for (Tier tier = *best + 1; tier < tierCount; ++tier) {
        // Of two that are owed a grant, the one that has waited longer without one goes first.
        if (isOwed(tier, now) && (!owed || m_waitingSince[tier] < m_waitingSince[*owed]))
            owed = tier;
    }
    return owed ? owed : best;
}

void TieredQueue::payFloors(Tier granted, TimePoint now)
{
    m_wasFloor = granted != highestTier();
    for (Tier tier = 0; tier < tierCount; ++tier) {
        if (m_tiers[tier].size() > 0)
            m_deficits[tier] = std::min(m_deficits[tier] + m_floors[tier], largestDeficit);
    }
    m_deficits[granted] = std::max<std::int64_t>(m_deficits[granted] - wholeGrant, 0);
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
    payFloors(*tier, now);
    m_tiers[*tier].next(now);
    QueuedGrantRequest grant = m_tiers[*tier].takeNext();
    m_expiries.erase(expiryOf(grant));
    return grant;
}

std::optional<QueuedGrantRequest> TieredQueue::popVictim(Tier newcomer)
{
    const std::optional<Tier> tier = victimTier(counts(), newcomer);
    if (!tier)
        return std::nullopt;
    QueuedGrantRequest grant = m_tiers[*tier].takeLast();
    m_expiries.erase(expiryOf(grant));
    return grant;
}

std::optional<QueuedGrantRequest> TieredQueue::popExpired(TimePoint now)
{
    if (m_expiries.empty() || m_expiries.begin()->first.first > now)
        return std::nullopt;
    const GrantId id = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    const auto lanes =
        std::find_if(m_tiers.begin(), m_tiers.end(),
                     [id](const WorkspaceFairQueue &one) { return one.contains(id); });
    return lanes->remove(id);
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

double TieredQueue::grantsAhead(const QueuedGrantRequest &grant) const
{
    const Tier tier = std::min<Tier>(grant.request.tier, tierCount - 1);
    const std::size_t higher = tier > 0 ? sizeAtOrAbove(tier - 1) : 0;
    return static_cast<double>(higher) + m_tiers[tier].grantsAhead(grant);
}

} // namespace currantreel
