#ifndef CURRANTREEL_QUARANTINE_SEGMENTREPORT_H
#define CURRANTREEL_QUARANTINE_SEGMENTREPORT_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace currantreel {

/// One run of a backend server's process. A restarted server has another one.
using ServerRunId = Id<struct ServerRunTag>;

/// The end of a server's run while a request with the segment was unproven there.
struct RunEnd
{
    ServerRunId run;
    Duration age{}; ///< Time since the end.
};

/// What a host knows of one prompt segment. Times are ages, since hosts have no common clock.
struct SegmentReport
{
    std::uint64_t segment = 0;
    std::vector<RunEnd> ends;
    /// Time since a request with the segment was last proven sound; none if that is not known.
    std::optional<Duration> soundAge;
};

/// Tells other hosts about segments.
struct SegmentReports
{
    std::vector<SegmentReport> reports;
    std::uint64_t digest = 0; ///< Of the sender's quarantined segments.
    bool isAnswerWanted = false; ///< The receiver answers if its own digest differs.
};

} // namespace currantreel

#endif
