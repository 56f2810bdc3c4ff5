#ifndef CURRANTREEL_ADMISSION_AFFINITYCHOICE_H
#define CURRANTREEL_ADMISSION_AFFINITYCHOICE_H

#include "PrefixTable.h"
#include "ServerChoice.h"

namespace currantreel {

/// Chooses the server to which the request's prompt prefix was sent last, unless its load is far
/// above the average; else the least loaded one. The load of a slow server counts as higher. The
/// server to avoid is chosen only if there is no other.
class AffinityChoice
{
public:
    /// Server to which the prefix of @p request was sent last, or an invalid identifier.
    [[nodiscard]] BackendServerId preferred(const GrantRequest &request) const
    {
        if (request.prefixHash == 0)
            return {};
        const BackendServerId server = m_prefixes.find(request.prefixHash);
        return server == request.avoid ? BackendServerId() : server;
    }

    [[nodiscard]] std::size_t choose(const std::vector<ServerCandidate> &candidates,
                                     const QueuedGrantRequest &queued) const
    {
        const BackendServerId preferredServer = preferred(queued.request);
        std::size_t best = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].id == preferredServer && isWithinBound(candidates[i]))
                return i;
            if (isBetter(candidates[i], candidates[best], queued.request.avoid))
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
    /// Ratio of the load to the average up to which a cached prefix outweighs a smaller batch.
    static constexpr double maxLoadRatio = 1.25;

    static bool isWithinBound(const ServerCandidate &candidate)
    {
        const double oneSlot = 1.0 / std::max(candidate.slots, 1U);
        return candidate.load <= maxLoadRatio * candidate.averageLoad + oneSlot;
    }

    static bool isBetter(const ServerCandidate &left, const ServerCandidate &right,
                         BackendServerId avoid)
    {
        if ((left.id == avoid) != (right.id == avoid))
            return right.id == avoid;
        // Ties go to the least recently used server, so that every server is measured.
        return std::pair(left.load, left.lastGrantSequence)
               < std::pair(right.load, right.lastGrantSequence);
    }

    PrefixTable m_prefixes;
};

static_assert(PrefixAwareServerChoice<AffinityChoice>,
              "AffinityChoice must offer preferred() and onGranted()");

} // namespace currantreel

#endif
