#ifndef CURRANTREEL_ADMISSION_LEASTLOADEDCHOICE_H
#define CURRANTREEL_ADMISSION_LEASTLOADEDCHOICE_H

#include "ServerChoice.h"

namespace currantreel {

/// Takes the server with the smallest share of its slots in use, but not the one to avoid if another
/// is free.
class LeastLoadedChoice
{
public:
    [[nodiscard]] std::size_t choose(const std::vector<ServerCandidate> &candidates,
                                     const QueuedGrantRequest &grant) const
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            if (isBetter(candidates[i], candidates[best], grant.request.avoid))
                best = i;
        }
        return best;
    }

private:
    static bool isBetter(const ServerCandidate &left, const ServerCandidate &right,
                         BackendServerId avoid)
    {
        if ((left.id == avoid) != (right.id == avoid))
            return right.id == avoid;
        return std::uint64_t{ left.inFlight } * right.slots
               < std::uint64_t{ right.inFlight } * left.slots;
    }
};

static_assert(ServerChoice<LeastLoadedChoice>, "LeastLoadedChoice must offer choose()");

} // namespace currantreel

#endif
