#ifndef CURRANTREEL_SHELL_EVACUATIONLOG_H
#define CURRANTREEL_SHELL_EVACUATIONLOG_H

#include "../Log/Log.h"
#include "../Placement/ServerDirectory.h"
#include <set>
#include <string>

namespace currantreel {

/// Logs the evacuations of failure domains: when they begin and end on this host, and when the last
/// of its requests there has ended.
class EvacuationLog
{
public:
    explicit EvacuationLog(const Log &log) : m_log(&log) { }

    /// Logs that @p failureDomain was evacuated by the published item of @p revision.
    void onEvacuated(const std::string &failureDomain, std::uint64_t revision);

    /// Logs the end of @p evacuation by the published item of @p revision.
    void onTakenBack(TimePoint now, const EvacuatedDomains::Evacuation &evacuation,
                     std::uint64_t revision);

    /// Logs the domains of @p directory in which no request of this host runs any more.
    void run(TimePoint now, const ServerDirectory &directory);

private:
    const Log *m_log;
    std::set<std::string> m_busy; ///< Evacuated domains that were not yet logged as empty.
};

} // namespace currantreel

#endif
