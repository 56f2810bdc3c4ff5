#ifndef CURRANTREEL_FORWARD_PUBLISHEDREADER_H
#define CURRANTREEL_FORWARD_PUBLISHEDREADER_H

#include "PublishedState.h"
#include <algorithm>
#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantreel {

/// Part of a listing of all published items.
struct PublishedPage
{
    std::vector<PublishedItem> items;
    std::uint64_t revision = 0; ///< Of the platform when it answered.
    bool hasMore = false;
};

/// Changes since the revision that was asked for.
struct PublishedChanges
{
    std::vector<PublishedItem> items;
    std::uint64_t revision = 0; ///< To ask for next.
};

/// Why a call to the platform gave nothing.
enum class ReadFailure : std::uint8_t {
    HistoryLost, ///< Changes since that revision are no longer known: everything is to be read.
    Refused, ///< The platform answered, and did nothing.
    NoAnswer,
};

/// Carries out one call at a time to the platform, each over a connection of its own.
template <typename T>
concept PublishedSource = requires(T &source, const std::string &key, std::uint64_t revision,
                                   Duration wait)
{
    source.list(key, wait);
    source.watch(revision, wait, wait);
};

/// Timing of the reads.
struct PublishedReaderTiming
{
    Duration watch = std::chrono::seconds(2); ///< Longest wait of one watch.
    Duration silence = std::chrono::milliseconds(400); ///< Beyond it, until a call is given up.
    /// Between two watches that bring changes, so that changes in a row come with one call.
    Duration spacing = std::chrono::milliseconds(150);
    /// The same for a while after the start, when many hosts read that will leave it to others.
    Duration startSpacing = std::chrono::milliseconds(600);
    Duration startPeriod = std::chrono::seconds(6);
    Duration shortestBackoff = std::chrono::milliseconds(100);
    Duration longestBackoff = std::chrono::milliseconds(800);
    /// After an outage, entries that are missing are kept for this long: most writers renew theirs in
    /// that time, and a server that really left gets nothing new soon enough.
    Duration lapseHold = std::chrono::milliseconds(1'700);
    /// Time of failing calls that counts as an outage.
    Duration outage = std::chrono::milliseconds(1'000);
};

/// Keeps the published state up to date: reads everything once, then watches for changes, and reads
/// everything again where changes were lost.
/// @tparam Source what carries out the calls.
template <PublishedSource Source>
class PublishedReader
{
public:
    using Timing = PublishedReaderTiming;

    PublishedReader(Source &source, PublishedState &state, const Timing &timing)
        : m_source(&source), m_state(&state), m_timing(timing)
    {
    }

    /// Starts to read.
    void start(TimePoint now)
    {
        m_failingSince = now;
        m_startedAt = now;
        beginListing();
    }

    /// A page of the listing arrived. Returns what is news.
    std::vector<PublishedItem> onPage(TimePoint now, const PublishedPage &page)
    {
        answered(now);
        if (m_listed.empty())
            m_listRevision = page.revision;
        m_listed.insert(m_listed.end(), page.items.begin(), page.items.end());
        if (page.hasMore && !page.items.empty()) {
            m_source->list(page.items.back().key, m_timing.silence);
            return {};
        }
        std::vector<PublishedItem> news =
            m_state->replace(now, "", std::exchange(m_listed, {}), m_listRevision);
        m_watched = m_listRevision;
        m_isComplete = true;
        beginWatch();
        return news;
    }

    /// Changes arrived. Returns what is news.
    std::vector<PublishedItem> onChanges(TimePoint now, const PublishedChanges &changes)
    {
        answered(now);
        m_watched = std::max(m_watched, changes.revision);
        std::vector<PublishedItem> news = m_state->apply(now, changes.items);
        if (changes.items.empty())
            beginWatch();
        else
            m_retryAt = now
                        + (now - m_startedAt < m_timing.startPeriod ? m_timing.startSpacing
                                                                    : m_timing.spacing);
        return news;
    }

    void onFailed(TimePoint now, ReadFailure failure)
    {
        if (failure == ReadFailure::HistoryLost) {
            answered(now);
            beginListing();
            return;
        }
        m_listed.clear();
        if (!isFailing())
            m_failingSince = now;
        m_backoff = std::clamp(m_backoff * 2, m_timing.shortestBackoff, m_timing.longestBackoff);
        m_retryAt = now + m_backoff;
    }

    /// Tries again after a failure, when it is time.
    void run(TimePoint now)
    {
        if (!m_retryAt || now < *m_retryAt)
            return;
        m_retryAt.reset();
        if (m_isComplete)
            beginWatch();
        else
            beginListing();
    }

    /// Whether changes are watched. While they are not, other hosts tell them; a watch that waits is
    /// still answered.
    void setWatching(TimePoint now, bool isWatching)
    {
        m_isWatching = isWatching;
        if (!isWatching || !m_isIdle)
            return;
        m_isIdle = false;
        m_watched = std::max(m_watched, m_state->revision());
        m_retryAt = now;
    }

    [[nodiscard]] bool isWatching() const { return m_isWatching; }
    /// True while changes are watched or everything is read.
    [[nodiscard]] bool isActive() const { return !m_isIdle; }
    /// True once everything was read.
    [[nodiscard]] bool isComplete() const { return m_isComplete; }
    /// True while calls fail.
    [[nodiscard]] bool isFailing() const { return m_backoff > Duration::zero(); }

private:
    void answered(TimePoint now)
    {
        if (isFailing() && now - m_failingSince >= m_timing.outage)
            m_state->holdRemovals(now + m_timing.lapseHold);
        m_backoff = Duration::zero();
        m_retryAt.reset();
    }

    void beginListing()
    {
        m_isComplete = false;
        m_listed.clear();
        m_source->list("", m_timing.silence);
    }

    void beginWatch()
    {
        m_isIdle = !m_isWatching;
        if (!m_isIdle)
            m_source->watch(m_watched, m_timing.watch, m_timing.silence);
    }

    Source *m_source;
    PublishedState *m_state;
    Timing m_timing;
    std::vector<PublishedItem> m_listed; ///< Pages so far.
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_watched = 0;
    bool m_isComplete = false;
    bool m_isWatching = true;
    bool m_isIdle = false; ///< Nothing is asked, since changes are not watched.
    TimePoint m_failingSince; ///< First failed call of the present row.
    TimePoint m_startedAt;
    Duration m_backoff{};
    std::optional<TimePoint> m_retryAt;
};

} // namespace currantreel

#endif
