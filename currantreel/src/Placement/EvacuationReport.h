#ifndef CURRANTREEL_PLACEMENT_EVACUATIONREPORT_H
#define CURRANTREEL_PLACEMENT_EVACUATIONREPORT_H

#include "ServerDirectory.h"
#include <string>
#include <vector>

namespace currantreel {

/// An evacuated failure domain as an operator sees it on one host.
struct EvacuationReport
{
    std::string failureDomain;
    Duration evacuated{}; ///< Since this host learned of it.
    std::size_t servers = 0; ///< Known servers there.
    std::uint32_t ownRequests = 0; ///< Requests of this host that still run there.
    std::uint32_t othersRequests = 0; ///< Those that this host granted as owner to other hosts.
};

/// Reports on the evacuated failure domains of @p directory.
[[nodiscard]] std::vector<EvacuationReport> evacuationReports(const ServerDirectory &directory,
                                                              TimePoint now);

} // namespace currantreel

#endif
