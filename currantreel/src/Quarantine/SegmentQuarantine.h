#ifndef CURRANTREEL_QUARANTINE_SEGMENTQUARANTINE_H
#define CURRANTREEL_QUARANTINE_SEGMENTQUARANTINE_H

#include "SegmentReport.h"
#include "SoundRequests.h"
#include "SoundSegments.h"
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace currantreel {

/// Finds the prompt segments and the whole requests under which backend servers end, and quarantines
/// them. A whole request that is sent again and again counts as a segment of its own, identified by
/// its digest: then it alone is refused, and not those that share its segments.
///
/// Evidence against a segment are different runs of servers that ended while a request with it was
/// unproven there. A request is proven once its answer is complete or has been coming for a while.
/// A proven request discards all earlier evidence against its segments, so that sound segments,
/// which others request too, are cleared within moments. Evidence is shared by all hosts; merging
/// reports gives the same result in any order.
class SegmentQuarantine
{
public:
    /// An answer that has been coming for this long proves its request.
    static constexpr Duration proofTime = std::chrono::milliseconds(250);
    /// Time for which a segment is quarantined after the last end of a server under it.
    static constexpr Duration period = std::chrono::minutes(10);
    /// Time after an end for which a segment is suspect.
    static constexpr Duration suspectPeriod = std::chrono::seconds(30);
    /// Ends that conclude about a segment that was not known to be sound, and the time that they
    /// have to be apart: many servers that are lost at once have another cause.
    static constexpr std::size_t endsToConclude = 3;
    static constexpr Duration spreadToConclude = std::chrono::milliseconds(200);
    /// The same for a segment that was proven within SoundSegments::minMemory before.
    static constexpr std::size_t endsToConcludeIfSound = 8;
    static constexpr Duration spreadToConcludeIfSound = std::chrono::seconds(3);
    /// Segments with evidence. Of more, those with the least evidence are dropped.
    static constexpr std::size_t maxSegments = 512;
    /// Segments in one message.
    static constexpr std::size_t maxReports = 24;
    /// Ends that are kept for one segment.
    static constexpr std::size_t maxEnds = 16;

    enum class Belief : std::uint8_t { Quarantined, Cleared, Expired };

    /// A changed belief about a segment, with what it was derived from.
    struct Change
    {
        std::uint64_t segment = 0;
        Belief belief = Belief::Quarantined;
        std::size_t ends = 0; ///< Ends that count as evidence.
        Duration spread{}; ///< Time between the first and the last of them.
        bool wasSound = false; ///< It was proven sound before the ends.
    };

    /// A quarantined segment, for operators.
    struct Listing
    {
        Change evidence;
        Duration timeLeft{};
    };

    /// The run @p run ended while a request with the segments @p segments was unproven there.
    void recordEnd(TimePoint now, ServerRunId run, std::span<const std::uint64_t> segments);
    /// A request with @p segment was proven sound.
    void recordSound(TimePoint now, std::uint64_t segment);
    /// A request with the digest @p digest was proven sound.
    void recordSoundRequest(TimePoint now, std::uint64_t digest);

    /// Whether a request with the segment was proven sound lately, unless the evidence since then is
    /// conclusive.
    [[nodiscard]] bool isKnownSound(std::uint64_t segment) const;
    /// Whether there is evidence against a segment that was not known to be sound.
    [[nodiscard]] bool isSuspect(TimePoint now, std::uint64_t segment) const;
    /// Ends of servers that speak against a segment, if the newest is recent enough for suspicion.
    [[nodiscard]] std::size_t endsOf(TimePoint now, std::uint64_t segment) const;
    /// Remaining time of the quarantine that applies to a request with these segments; none if it
    /// may be sent: also if another quarantined segment, which it does not have, was present at all
    /// ends that speak against it.
    [[nodiscard]] std::optional<Duration>
    quarantineOf(TimePoint now, std::span<const std::uint64_t> segments) const;

    /// Ends the quarantine of @p segment on behalf of an operator, here and at other hosts.
    /// @return false if it is not quarantined.
    [[nodiscard]] bool clear(TimePoint now, std::uint64_t segment);

    /// Takes over what another host reports.
    void merge(TimePoint now, const std::vector<SegmentReport> &reports);
    /// Reports what changed since the last call, most evidence first, up to maxReports segments.
    [[nodiscard]] std::vector<SegmentReport> takeChangedReports(TimePoint now);
    [[nodiscard]] bool hasChangedReports() const;
    /// Reports all segments that were ever concluded about, up to maxReports of them.
    [[nodiscard]] std::vector<SegmentReport> conclusiveReports(TimePoint now) const;
    /// Equal on hosts that quarantine the same segments; 0 if there are none.
    [[nodiscard]] std::uint64_t digest(TimePoint now) const;

    /// Forgets old evidence and notes which quarantines began or ended.
    void run(TimePoint now);
    /// Changes of belief that run() noted since the last call.
    [[nodiscard]] std::vector<Change> takeChanges() { return std::exchange(m_changes, {}); }

    [[nodiscard]] std::vector<Listing> listing(TimePoint now) const;
    [[nodiscard]] std::size_t quarantined(TimePoint now) const;

private:
    struct Entry
    {
        std::map<ServerRunId, TimePoint> ends;
        TimePoint newestEndAt;
        std::optional<TimePoint> soundAt;
        bool isReportChanged = false; ///< Other hosts have not been told of its current state.
        bool wasQuarantined = false; ///< As of the last run().
        bool isConcluded = false; ///< Was quarantined at any time.
    };
    using Entries = std::map<std::uint64_t, Entry>;

    struct Evidence
    {
        std::size_t ends = 0;
        TimePoint first;
        TimePoint newest;
        bool wasSound = false;
    };

    [[nodiscard]] static Evidence evidenceOf(const Entry &entry);
    [[nodiscard]] static bool isConclusive(const Evidence &evidence);
    [[nodiscard]] static bool isQuarantined(TimePoint now, const Entry &entry);
    [[nodiscard]] const Entry *find(std::uint64_t segment) const;
    /// Whether the segment of @p other was present at all ends of @p entry, so that the entry's segment
    /// may be sound.
    [[nodiscard]] static bool explains(const Entry &other, const Entry &entry);
    /// Entries of quarantined segments that are not in @p segments.
    [[nodiscard]] std::vector<const Entry *>
    quarantinedBut(TimePoint now, std::span<const std::uint64_t> segments) const;
    Entry &entryOf(std::uint64_t segment);
    void addEnd(Entry &entry, ServerRunId run, TimePoint at);
    [[nodiscard]] std::optional<TimePoint> lastSound(std::uint64_t segment) const;
    void discardEnds(std::uint64_t segment, TimePoint soundAt);
    void dropExcess();
    [[nodiscard]] static SegmentReport reportOf(TimePoint now, std::uint64_t segment,
                                                const Entry &entry);
    [[nodiscard]] static Change changeOf(std::uint64_t segment, const Entry &entry, Belief belief);

    Entries m_entries;
    SoundSegments m_sound;
    SoundRequests m_soundRequests;
    std::vector<Change> m_changes;
};

} // namespace currantreel

#endif
