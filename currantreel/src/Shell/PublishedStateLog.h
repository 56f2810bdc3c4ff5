#ifndef CURRANTREEL_SHELL_PUBLISHEDSTATELOG_H
#define CURRANTREEL_SHELL_PUBLISHEDSTATELOG_H

#include "../Fleet/FleetSystem.h"
#include "../Log/Log.h"
#include "../Published/PublishedState.h"
#include <string>
#include <vector>

namespace currantreel {

/// Logs how changes of the published state reach this host: where each came from, requests for them
/// that stayed without an answer, and how long this host was behind others.
class PublishedStateLog
{
public:
    explicit PublishedStateLog(const Log &log) : m_log(&log) { }

    /// Logs that @p items took effect. @param source the platform, or the address of a host.
    void onApplied(const std::string &source, const std::vector<PublishedItem> &items) const;

    /// Logs what changed in @p fleet since the last call.
    void run(TimePoint now, const FleetSystem &fleet, const PublishedState &state);

private:
    void logRestore(const PublishedState &state);
    void logUnanswered(const FleetSystem &fleet);
    void logBehind(TimePoint now, const FleetSystem &fleet, const PublishedState &state);

    const Log *m_log;
    PublishedRevision m_seen; ///< Of the state as of the last call, while it was whole.
    std::uint64_t m_loggedUnanswered = 0;
    Duration m_behind{}; ///< For how long this host is behind others, as of the last call.
};

} // namespace currantreel

#endif
