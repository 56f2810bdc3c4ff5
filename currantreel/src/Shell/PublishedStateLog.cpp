#include "PublishedStateLog.h"

#include <algorithm>
#include <utility>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Time behind other hosts from which on it is logged; most changes arrive sooner.
constexpr Duration minLoggedBehind = 500ms;

} // namespace

void PublishedStateLog::onApplied(const std::string &source,
                                  const std::vector<PublishedItem> &items) const
{
    std::size_t bytes = 0;
    PublishedRevision revision;
    for (const PublishedItem &item : items) {
        bytes += item.value.size();
        revision = std::max(revision, item.revision);
    }
    m_log->write("published_changes", { { "source", source },
                                        { "items", std::to_string(items.size()) },
                                        { "bytes", std::to_string(bytes) },
                                        { "era", std::to_string(revision.era) },
                                        { "revision", std::to_string(revision.number) } });
}

void PublishedStateLog::run(TimePoint now, const FleetSystem &fleet, const PublishedState &state)
{
    logRestore(state);
    logUnanswered(fleet);
    logBehind(now, fleet, state);
}

void PublishedStateLog::logRestore(const PublishedState &state)
{
    if (!state.isWhole())
        return;
    const PublishedRevision before = std::exchange(m_seen, state.revision());
    if (before.era == m_seen.era || before.number == 0)
        return;
    m_log->write("store_restored", { { "from_era", std::to_string(before.era) },
                                     { "era", std::to_string(m_seen.era) },
                                     { "from_revision", std::to_string(before.number) },
                                     { "revision", std::to_string(m_seen.number) },
                                     { "items", std::to_string(state.size()) },
                                     { "kept", std::to_string(state.deferredRemovals()) } });
}

void PublishedStateLog::logUnanswered(const FleetSystem &fleet)
{
    const FleetCounters &counters = fleet.counters();
    if (counters.itemRequestsUnanswered == m_loggedUnanswered)
        return;
    m_loggedUnanswered = counters.itemRequestsUnanswered;
    m_log->write("published_request_unanswered",
                 { { "peer", toText(fleet.addressOf(counters.lastUnanswered)) },
                   { "total", std::to_string(m_loggedUnanswered) } });
}

void PublishedStateLog::logBehind(TimePoint now, const FleetSystem &fleet,
                                  const PublishedState &state)
{
    const Duration behind = fleet.timeBehind(now);
    const bool isReported = m_behind >= minLoggedBehind;
    if (behind >= minLoggedBehind && !isReported)
        m_log->write("published_behind",
                     { { "revision", std::to_string(state.revision().number) } });
    if (behind == Duration::zero() && isReported)
        m_log->write("published_caught_up",
                     { { "revision", std::to_string(state.revision().number) },
                       { "behind_ms", std::to_string(toMilliseconds(m_behind)) } });
    m_behind = behind;
}

} // namespace currantreel
