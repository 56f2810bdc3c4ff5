#ifndef CURRANTREEL_PUBLISHED_PUBLISHEDREVISION_H
#define CURRANTREEL_PUBLISHED_PUBLISHEDREVISION_H

#include <compare>
#include <cstdint>

namespace currantreel {

/// Point in the history of the platform's store. The era rises when the store is restored from an
/// older copy; revisions below the restored one are given out again in it, so the era orders first.
struct PublishedRevision
{
    constexpr PublishedRevision() = default;
    /// @param revisionNumber revision within the era, which increases across all keys.
    /// @param revisionEra 0 for a store that states no era.
    constexpr PublishedRevision(std::uint64_t revisionNumber, std::uint32_t revisionEra = 0)
        : era(revisionEra), number(revisionNumber)
    {
    }

    /// The revision before this one in the same era, at least number 0.
    [[nodiscard]] constexpr PublishedRevision before() const
    {
        return { number > 0 ? number - 1 : 0, era };
    }

    friend constexpr auto operator<=>(const PublishedRevision &,
                                      const PublishedRevision &) = default;

    std::uint32_t era = 0;
    std::uint64_t number = 0;
};

} // namespace currantreel

#endif
