#ifndef CURRANTREEL_FLEET_QUARANTINESPREAD_H
#define CURRANTREEL_FLEET_QUARANTINESPREAD_H

#include "../Quarantine/SegmentQuarantine.h"
#include "FleetSystem.h"

namespace currantreel {

/// Reports for another host.
struct OutgoingSegmentReports
{
    HostId to;
    Address address;
    SegmentReports reports;
};

/// Spreads what a host knows of prompt segments under which servers end. Changes are announced at
/// once to some hosts, which announce them in turn. Hosts that quarantine different segments, as
/// after a start or a partition, exchange all that they know of these. Does no I/O and reads no
/// clock.
class QuarantineSpread
{
public:
    /// Another host sent an update with the digest @p digest of its quarantined segments.
    void onUpdate(TimePoint now, HostId from, std::uint64_t digest,
                  const SegmentQuarantine &quarantine);
    /// Another host sent reports, which @p quarantine has merged.
    void onReports(TimePoint now, HostId from, const SegmentReports &reports,
                   const SegmentQuarantine &quarantine);

    /// Returns the messages that are due.
    [[nodiscard]] std::vector<OutgoingSegmentReports> run(TimePoint now, const FleetSystem &fleet,
                                                          SegmentQuarantine &quarantine);

private:
    struct Answer
    {
        HostId to;
        SegmentReports reports;
    };

    void add(TimePoint now, HostId to, bool isAnswerWanted, const SegmentQuarantine &quarantine);

    std::vector<Answer> m_answers;
    TimePoint m_announcedAt;
    /// When hosts with another digest were last asked for their reports; only the latest times.
    std::map<HostId, TimePoint> m_comparedAt;
};

} // namespace currantreel

#endif
