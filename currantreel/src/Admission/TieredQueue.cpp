#include "TieredQueue.h"

#include <algorithm>
#include <iterator>

namespace currantreel {

namespace {

/// Thousandths of a grant that make a whole one.
constexpr std::int64_t wholeGrant = 1000;

/// Most that a tier can be owed, so that a long wait cannot lead to a long run of floor grants.
constexpr std::int64_t largestDeficit = 2 * wholeGrant;

} // namespace

TieredQueue::TieredQueue(const std::vector<std::uint32_t> &floorPermille)
{
    const std::size_t count = std::min<std::size_t>(floorPermille.size(), tierCount);
    std::copy_n(floorPermille.begin(), count, m_floors.begin());
}

void TieredQueue::push(QueuedGrant grant)
{
    remove(grant.request.id);
    const Tier tier = std::min<Tier>(grant.request.tier, tierCount - 1);
    const Position position{ grant.firstTokenBy, m_nextSequence++, tier };
    m_positions.emplace(grant.request.id, position);
    m_expiries.emplace(std::pair(grant.grantBy, position.sequence), grant.request.id);
    m_lanes[tier].emplace(position, std::move(grant));
}

bool TieredQueue::remove(GrantId id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return false;
    const Position position = found->second;
    Lane &lane = m_lanes[position.tier];
    take(position.tier, lane.find(position));
    return true;
}

std::optional<QueuedGrant> TieredQueue::take(Tier tier, Lane::iterator position)
{
    QueuedGrant grant = std::move(position->second);
    m_expiries.erase(std::pair(grant.grantBy, position->first.sequence));
    m_positions.erase(grant.request.id);
    m_lanes[tier].erase(position);
    return grant;
}

std::optional<Tier> TieredQueue::bestTier() const
{
    for (Tier tier = 0; tier < tierCount; ++tier) {
        if (!m_lanes[tier].empty())
            return tier;
    }
    return std::nullopt;
}

std::optional<Tier> TieredQueue::owedTier() const
{
    for (Tier tier = 0; tier < tierCount; ++tier) {
        if (!m_lanes[tier].empty() && m_deficits[tier] >= wholeGrant)
            return tier;
    }
    return std::nullopt;
}

void TieredQueue::payFloors(Tier granted)
{
    for (Tier tier = 0; tier < tierCount; ++tier) {
        if (m_lanes[tier].empty())
            continue;
        m_deficits[tier] = std::min(m_deficits[tier] + m_floors[tier], largestDeficit);
    }
    m_deficits[granted] = std::max<std::int64_t>(m_deficits[granted] - wholeGrant, 0);
}

std::optional<QueuedGrant> TieredQueue::pop(TimePoint /*now*/)
{
    std::optional<Tier> tier = owedTier();
    if (!tier)
        tier = bestTier();
    if (!tier)
        return std::nullopt;
    payFloors(*tier);
    return take(*tier, m_lanes[*tier].begin());
}

std::optional<QueuedGrant> TieredQueue::popVictim(Tier newcomer)
{
    for (Tier tier = tierCount; tier-- > newcomer + 1;) {
        if (!m_lanes[tier].empty())
            return take(tier, std::prev(m_lanes[tier].end()));
    }
    return std::nullopt;
}

std::optional<QueuedGrant> TieredQueue::popExpired(TimePoint now)
{
    if (m_expiries.empty() || m_expiries.begin()->first.first > now)
        return std::nullopt;
    const Position position = m_positions.at(m_expiries.begin()->second);
    return take(position.tier, m_lanes[position.tier].find(position));
}

} // namespace currantreel
