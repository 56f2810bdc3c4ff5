#ifndef CURRANTREEL_ADMISSION_REPORTEDLOADCHOICE_H
#define CURRANTREEL_ADMISSION_REPORTEDLOADCHOICE_H

#include "ServerChoice.h"
#include <map>

namespace currantreel {

/// Chooses the server with the lowest load by its last report. Reports are `reportInterval` apart,
/// so that the choice lags behind the actual load. A baseline for measurements.
class ReportedLoadChoice
{
public:
    [[nodiscard]] std::size_t choose(const std::vector<ServerCandidate> &candidates,
                                     const QueuedGrantRequest &queued)
    {
        // There is no clock here; the arrival of the request is the latest time known.
        if (queued.queuedAt - m_reportedAt >= reportInterval) {
            m_reportedAt = queued.queuedAt;
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
