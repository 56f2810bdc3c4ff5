#ifndef CURRANTREEL_ADMISSION_AFFINITYCHOICE_H
#define CURRANTREEL_ADMISSION_AFFINITYCHOICE_H

#include "PrefixTable.h"
#include "ServerChoice.h"

namespace currantreel {

/// Takes the server that has seen the request's prefix, unless its load is far above the average; else
/// the least loaded one. Load counts a slow server's slots as fewer. The server to avoid is taken only
/// if there is no other.
class AffinityChoice
{
public:
    /// Server that has seen the prefix of @p request, or an invalid identifier.
    [[nodiscard]] BackendServerId preferred(const GrantRequest &request) const
    {
        if (request.prefixHash == 0)
            return {};
        const BackendServerId server = m_prefixes.find(request.prefixHash);
        return server == request.avoid ? BackendServerId() : server;
    }

    [[nodiscard]] std::size_t choose(const std::vector<ServerCandidate> &candidates,
                                     const QueuedGrantRequest &grant) const
    {
        const BackendServerId wanted = preferred(grant.request);
        std::size_t best = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].id == wanted && isWithinBound(candidates[i]))
                return i;
            if (isBetter(candidates[i], candidates[best], grant.request.avoid))
                best = i;
        }
        return best;
    }

    void onGranted(const GrantRequest &request, BackendServerId server)
    {
        if (request.prefixHash != 0)
            m_prefixes.record(request.prefixHash, server);
    }

    void onCacheEvent(const CacheEvent &event) { m_prefixes.onCacheEvent(event); }

private:
    /// Load over the average up to which a cached prefix outweighs a shorter batch.
    static constexpr double loadBound = 1.25;

    static bool isWithinBound(const ServerCandidate &candidate)
    {
        const double oneSlot = 1.0 / std::max(candidate.slots, 1U);
        return candidate.load <= loadBound * candidate.averageLoad + oneSlot;
    }

    static bool isBetter(const ServerCandidate &left, const ServerCandidate &right,
                         BackendServerId avoid)
    {
        if ((left.id == avoid) != (right.id == avoid))
            return right.id == avoid;
        // Of equals the longest unused one, so that each is measured.
        return std::pair(left.load, left.lastGrantSequence)
               < std::pair(right.load, right.lastGrantSequence);
    }

    PrefixTable m_prefixes;
};

static_assert(PrefixAwareServerChoice<AffinityChoice>, "AffinityChoice must prefer and learn");

} // namespace currantreel

#endif
