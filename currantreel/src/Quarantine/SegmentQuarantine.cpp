#include "SegmentQuarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <unordered_set>
#include <xxhash.h>

namespace currantreel {

namespace {

/// A further end replaces the newest of maxEnds kept ones if it is later by this.
constexpr Duration minRenewal = std::chrono::seconds(1);
/// Time after which evidence that concluded something, and other evidence, is forgotten. The first
/// outlasts the quarantine: a single further end then renews it.
constexpr Duration conclusiveRetention = 2 * SegmentQuarantine::period;
constexpr Duration suspicionRetention = 2 * SegmentQuarantine::suspectPeriod;

} // namespace

SegmentQuarantine::Evidence SegmentQuarantine::evidenceOf(const Entry &entry)
{
    Evidence evidence;
    evidence.newest = entry.newestEndAt;
    evidence.wasSound = entry.soundAt.has_value();
    evidence.first = entry.newestEndAt;
    evidence.ends = entry.ends.size();
    for (const auto &[run, at] : entry.ends)
        evidence.first = std::min(evidence.first, at);
    return evidence;
}

bool SegmentQuarantine::isConclusive(const Evidence &evidence)
{
    const std::size_t ends = evidence.wasSound ? endsToConcludeIfSound : endsToConclude;
    const Duration spread = evidence.wasSound ? spreadToConcludeIfSound : spreadToConclude;
    return evidence.ends >= ends && evidence.newest - evidence.first >= spread;
}

bool SegmentQuarantine::isQuarantined(TimePoint now, const Entry &entry)
{
    return now - entry.newestEndAt < period && isConclusive(evidenceOf(entry));
}

const SegmentQuarantine::Entry *SegmentQuarantine::find(std::uint64_t segment) const
{
    const auto found = m_entries.find(segment);
    return found == m_entries.end() ? nullptr : &found->second;
}

SegmentQuarantine::Entry &SegmentQuarantine::entryOf(std::uint64_t segment)
{
    const auto [found, isNew] = m_entries.try_emplace(segment);
    if (isNew)
        found->second.soundAt = lastSound(segment);
    return found->second;
}

void SegmentQuarantine::addEnd(Entry &entry, ServerRunId run, TimePoint at)
{
    if (entry.ends.contains(run))
        return;
    const TimePoint newest = std::max(entry.newestEndAt, at);
    const bool isDiscarded = entry.soundAt && at <= *entry.soundAt;
    if (isDiscarded) {
        entry.newestEndAt = newest;
        return;
    }
    if (entry.ends.size() >= maxEnds) {
        if (at < entry.newestEndAt + minRenewal)
            return;
        std::erase_if(entry.ends, [&](const auto &end) { return end.second == entry.newestEndAt; });
    }
    entry.ends.emplace(run, at);
    entry.newestEndAt = newest;
    entry.isReportChanged = true;
}

void SegmentQuarantine::recordEnd(TimePoint now, ServerRunId run,
                                  std::span<const std::uint64_t> segments)
{
    for (const std::uint64_t segment : segments) {
        addEnd(entryOf(segment), run, now);
        // Many requests may break with one server: the table does not grow with their segments.
        if (m_entries.size() >= 2 * maxSegments)
            dropExcess();
    }
    dropExcess();
}

std::optional<TimePoint> SegmentQuarantine::lastSound(std::uint64_t segment) const
{
    return std::max(m_sound.lastSound(segment), m_soundRequests.lastSound(segment));
}

void SegmentQuarantine::discardEnds(std::uint64_t segment, TimePoint soundAt)
{
    const auto found = m_entries.find(segment);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    const bool isFirst = !entry.soundAt;
    entry.soundAt = std::max(entry.soundAt.value_or(soundAt), soundAt);
    const std::size_t discarded =
        std::erase_if(entry.ends, [&](const auto &end) { return end.second <= *entry.soundAt; });
    if (isFirst || discarded > 0)
        entry.isReportChanged = true;
}

void SegmentQuarantine::recordSound(TimePoint now, std::uint64_t segment)
{
    m_sound.add(now, segment, now);
    discardEnds(segment, now);
}

void SegmentQuarantine::recordSoundRequest(TimePoint now, std::uint64_t digest)
{
    m_soundRequests.add(now, digest);
    discardEnds(digest, now);
}

bool SegmentQuarantine::isKnownSound(std::uint64_t segment) const
{
    if (!lastSound(segment))
        return false;
    const Entry *entry = find(segment);
    return !entry || !isConclusive(evidenceOf(*entry));
}

bool SegmentQuarantine::isSuspect(TimePoint now, std::uint64_t segment) const
{
    const Entry *entry = find(segment);
    if (!entry || now - entry->newestEndAt >= suspectPeriod)
        return false;
    const Evidence evidence = evidenceOf(*entry);
    return evidence.ends > 0 && (!evidence.wasSound || isConclusive(evidence));
}

std::size_t SegmentQuarantine::endsOf(TimePoint now, std::uint64_t segment) const
{
    const Entry *entry = find(segment);
    return entry && now - entry->newestEndAt < suspectPeriod ? entry->ends.size() : 0;
}

bool SegmentQuarantine::explains(const Entry &other, const Entry &entry)
{
    return std::all_of(entry.ends.begin(), entry.ends.end(),
                       [&other](const auto &end) { return other.ends.contains(end.first); });
}

std::vector<const SegmentQuarantine::Entry *>
SegmentQuarantine::quarantinedBut(TimePoint now, std::span<const std::uint64_t> segments) const
{
    const std::unordered_set<std::uint64_t> excluded(segments.begin(), segments.end());
    std::vector<const Entry *> others;
    for (const auto &[segment, entry] : m_entries) {
        if (!excluded.contains(segment) && isQuarantined(now, entry))
            others.push_back(&entry);
    }
    return others;
}

std::optional<Duration>
SegmentQuarantine::quarantineOf(TimePoint now, std::span<const std::uint64_t> segments) const
{
    if (m_entries.empty())
        return std::nullopt;
    std::vector<const Entry *> quarantined;
    for (const std::uint64_t segment : segments) {
        const Entry *entry = find(segment);
        if (entry && isQuarantined(now, *entry))
            quarantined.push_back(entry);
    }
    if (quarantined.empty())
        return std::nullopt;
    const std::vector<const Entry *> others = quarantinedBut(now, segments);
    for (const Entry *entry : quarantined) {
        const bool isExplained = std::any_of(others.begin(), others.end(), [&](const Entry *other) {
            return explains(*other, *entry);
        });
        if (!isExplained)
            return entry->newestEndAt + period - now;
    }
    return std::nullopt;
}

bool SegmentQuarantine::clear(TimePoint now, std::uint64_t segment)
{
    const Entry *entry = find(segment);
    if (!entry || !isQuarantined(now, *entry))
        return false;
    recordSound(now, segment);
    return true;
}

void SegmentQuarantine::merge(TimePoint now, const std::vector<SegmentReport> &reports)
{
    for (const SegmentReport &report : reports) {
        if (report.soundAge) {
            m_sound.add(now, report.segment, now - *report.soundAge);
            discardEnds(report.segment, now - *report.soundAge);
        }
        const bool isCurrent =
            std::any_of(report.ends.begin(), report.ends.end(),
                        [](const RunEnd &end) { return end.age < suspicionRetention; });
        if (report.ends.empty() || (!isCurrent && report.ends.size() < endsToConclude))
            continue;
        Entry &entry = entryOf(report.segment);
        for (const RunEnd &end : report.ends)
            addEnd(entry, end.run, now - end.age);
        // The sender does not know what discards its evidence.
        const bool isNewsToSender = entry.ends.empty() && entry.soundAt;
        entry.isReportChanged = entry.isReportChanged || isNewsToSender;
    }
    dropExcess();
}

void SegmentQuarantine::dropExcess()
{
    if (m_entries.size() <= maxSegments)
        return;
    std::vector<Entries::iterator> weakest;
    weakest.reserve(m_entries.size());
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry)
        weakest.push_back(entry);
    const auto rank = [](Entries::iterator entry) {
        return std::tuple(entry->second.ends.size(), entry->second.newestEndAt, entry->first);
    };
    const auto kept = weakest.begin() + static_cast<std::ptrdiff_t>(weakest.size() - maxSegments);
    std::nth_element(weakest.begin(), kept, weakest.end(),
                     [&](auto left, auto right) { return rank(left) < rank(right); });
    std::for_each(weakest.begin(), kept, [this](auto entry) { m_entries.erase(entry); });
}

SegmentReport SegmentQuarantine::reportOf(TimePoint now, std::uint64_t segment, const Entry &entry)
{
    SegmentReport report;
    report.segment = segment;
    for (const auto &[run, at] : entry.ends)
        report.ends.push_back({ run, now - at });
    if (entry.soundAt)
        report.soundAge = now - *entry.soundAt;
    return report;
}

bool SegmentQuarantine::hasChangedReports() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [](const auto &entry) { return entry.second.isReportChanged; });
}

std::vector<SegmentReport> SegmentQuarantine::takeChangedReports(TimePoint now)
{
    std::vector<Entries::value_type *> changed;
    for (auto &entry : m_entries) {
        if (entry.second.isReportChanged)
            changed.push_back(&entry);
    }
    std::stable_sort(changed.begin(), changed.end(), [](const auto *left, const auto *right) {
        return left->second.ends.size() > right->second.ends.size();
    });
    changed.resize(std::min(changed.size(), maxReports));
    std::vector<SegmentReport> reports;
    for (auto *entry : changed) {
        entry->second.isReportChanged = false;
        reports.push_back(reportOf(now, entry->first, entry->second));
    }
    return reports;
}

std::vector<SegmentReport> SegmentQuarantine::conclusiveReports(TimePoint now) const
{
    std::vector<SegmentReport> reports;
    for (const auto &[segment, entry] : m_entries) {
        if (entry.isConcluded && reports.size() < maxReports)
            reports.push_back(reportOf(now, segment, entry));
    }
    return reports;
}

std::uint64_t SegmentQuarantine::digest(TimePoint now) const
{
    std::uint64_t digest = 0;
    for (const auto &[segment, entry] : m_entries) {
        if (isQuarantined(now, entry))
            digest ^= XXH3_64bits(&segment, sizeof(segment));
    }
    return digest;
}

SegmentQuarantine::Change SegmentQuarantine::changeOf(std::uint64_t segment, const Entry &entry,
                                                      Belief belief)
{
    const Evidence evidence = evidenceOf(entry);
    Change change;
    change.segment = segment;
    change.belief = belief;
    change.ends = evidence.ends;
    change.spread = evidence.newest - evidence.first;
    change.wasSound = evidence.wasSound;
    return change;
}

void SegmentQuarantine::run(TimePoint now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        auto &[segment, state] = *entry;
        const bool isNow = isQuarantined(now, state);
        if (isNow != state.wasQuarantined) {
            const Belief ended = state.ends.empty() ? Belief::Cleared : Belief::Expired;
            m_changes.push_back(changeOf(segment, state, isNow ? Belief::Quarantined : ended));
            state.wasQuarantined = isNow;
            state.isConcluded = true;
        }
        const Duration retention = state.isConcluded ? conclusiveRetention : suspicionRetention;
        const TimePoint newest = std::max(state.newestEndAt, state.soundAt.value_or(TimePoint()));
        entry = now - newest >= retention ? m_entries.erase(entry) : std::next(entry);
    }
}

std::vector<SegmentQuarantine::Listing> SegmentQuarantine::listing(TimePoint now) const
{
    std::vector<Listing> listing;
    for (const auto &[segment, entry] : m_entries) {
        if (isQuarantined(now, entry))
            listing.push_back({ changeOf(segment, entry, Belief::Quarantined),
                                entry.newestEndAt + period - now });
    }
    return listing;
}

std::size_t SegmentQuarantine::quarantined(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [now](const auto &entry) { return isQuarantined(now, entry.second); }));
}

} // namespace currantreel
