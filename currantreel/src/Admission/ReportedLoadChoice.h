#ifndef CURRANTREEL_ADMISSION_REPORTEDLOADCHOICE_H
#define CURRANTREEL_ADMISSION_REPORTEDLOADCHOICE_H

#include "ServerChoice.h"
#include <map>

namespace currantreel {

/// Takes the server with the least load as it was reported last; a report is taken every
/// `reportInterval`, so that the choice lags behind. A baseline for measurements.
class ReportedLoadChoice
{
public:
    [[nodiscard]] std::size_t choose(const std::vector<ServerCandidate> &candidates,
                                     const QueuedGrantRequest &grant)
    {
        // The arrival of the request is the latest time known here.
        if (grant.queuedAt - m_reportedAt >= reportInterval) {
            m_reportedAt = grant.queuedAt;
            m_reported.clear();
        }
        std::size_t best = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (reported(candidates[i]) < reported(candidates[best]))
                best = i;
        }
        return best;
    }

private:
    static constexpr Duration reportInterval = std::chrono::seconds(1);

    std::uint32_t reported(const ServerCandidate &candidate)
    {
        return m_reported.try_emplace(candidate.id, candidate.inFlight).first->second;
    }

    TimePoint m_reportedAt;
    std::map<BackendServerId, std::uint32_t> m_reported;
};

static_assert(ServerChoice<ReportedLoadChoice>, "ReportedLoadChoice must offer choose()");

} // namespace currantreel

#endif
