#ifndef CURRANTREEL_ADMISSION_VICTIMRULE_H
#define CURRANTREEL_ADMISSION_VICTIMRULE_H

#include "../Configuration/Configuration.h"
#include <array>
#include <cstddef>
#include <optional>

namespace currantreel {

/// Number of possible victims in each tier.
using TierCounts = std::array<std::size_t, tierCount>;

/// Tier whose work is shed or preempted in favour of a request of tier @p incoming: the lowest tier
/// present, and only if it is strictly below @p incoming.
[[nodiscard]] constexpr std::optional<Tier> victimTier(const TierCounts &present, Tier incoming)
{
    for (Tier tier = tierCount; tier-- > 0;) {
        if (present.at(tier) == 0)
            continue;
        return tier > incoming ? std::optional<Tier>(tier) : std::nullopt;
    }
    return std::nullopt;
}

namespace detail {

/// Checks victimTier for every set of tiers present and every tier of the incoming request.
constexpr bool isVictimAlwaysLowest()
{
    for (unsigned set = 0; set < (1U << tierCount); ++set) {
        TierCounts present{};
        Tier lowest = 0;
        for (Tier tier = 0; tier < tierCount; ++tier) {
            present.at(tier) = (set >> tier) & 1U;
            lowest = present.at(tier) > 0 ? tier : lowest;
        }
        for (Tier incoming = 0; incoming < tierCount; ++incoming) {
            const std::optional<Tier> victim = victimTier(present, incoming);
            if (victim && (*victim <= incoming || *victim != lowest || present.at(*victim) == 0))
                return false;
            if (!victim && set != 0 && lowest > incoming)
                return false;
        }
    }
    return true;
}

static_assert(
    isVictimAlwaysLowest(),
    "a victim is of the lowest tier present and strictly below the incoming request's tier");

} // namespace detail

} // namespace currantreel

#endif
