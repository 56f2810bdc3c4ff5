#ifndef CURRANTREEL_ADMISSION_ROUNDROBINCHOICE_H
#define CURRANTREEL_ADMISSION_ROUNDROBINCHOICE_H

#include "ServerChoice.h"

namespace currantreel {

/// Takes one server after the other. A baseline for measurements.
class RoundRobinChoice
{
public:
    [[nodiscard]] std::size_t choose(const std::vector<ServerCandidate> &candidates,
                                     const QueuedGrantRequest & /*grant*/)
    {
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
};

static_assert(ServerChoice<RoundRobinChoice>, "RoundRobinChoice must offer choose()");

} // namespace currantreel

#endif
