#ifndef CURRANTREEL_QUARANTINE_SOUNDREQUESTS_H
#define CURRANTREEL_QUARANTINE_SOUNDREQUESTS_H

#include "../Core/Time.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace currantreel {

/// Remembers which whole requests were proven sound lately, in bounded memory and at little cost, as
/// there is one for each request: a request is forgotten once another one takes its place.
class SoundRequests
{
public:
    /// Number of requests that are remembered at most.
    static constexpr std::size_t maxRequests = 16'384;

    /// Records that the request with @p digest was proven sound.
    void add(TimePoint now, std::uint64_t digest);

    /// When the request with @p digest was last proven sound; none if that is not remembered.
    [[nodiscard]] std::optional<TimePoint> lastSound(std::uint64_t digest) const;

private:
    struct Proof
    {
        std::uint64_t digest = 0;
        TimePoint at;
    };

    std::vector<Proof> m_proofs; ///< Each at the place that follows from its digest.
};

} // namespace currantreel

#endif
