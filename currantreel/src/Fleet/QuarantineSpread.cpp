#include "QuarantineSpread.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Minimum time between two announcements, and between two requests to one host with another digest.
constexpr Duration minAnnounceInterval = 50ms;
constexpr Duration minCompareInterval = 500ms;

} // namespace

void QuarantineSpread::add(TimePoint now, HostId to, bool isAnswerWanted,
                           const SegmentQuarantine &quarantine)
{
    SegmentReports reports;
    reports.reports = quarantine.conclusiveReports(now);
    reports.digest = quarantine.digest(now);
    reports.isAnswerWanted = isAnswerWanted;
    m_answers.push_back({ to, std::move(reports) });
}

void QuarantineSpread::onUpdate(TimePoint now, HostId from, std::uint64_t digest,
                                const SegmentQuarantine &quarantine)
{
    if (digest == quarantine.digest(now))
        return;
    std::erase_if(m_comparedAt, [now](const auto &compared) {
        return now - compared.second >= minCompareInterval;
    });
    if (m_comparedAt.try_emplace(from, now).second)
        add(now, from, true, quarantine);
}

void QuarantineSpread::onReports(TimePoint now, HostId from, const SegmentReports &reports,
                                 const SegmentQuarantine &quarantine)
{
    if (reports.isAnswerWanted && reports.digest != quarantine.digest(now))
        add(now, from, false, quarantine);
}

std::vector<OutgoingSegmentReports> QuarantineSpread::run(TimePoint now, const FleetSystem &fleet,
                                                          SegmentQuarantine &quarantine)
{
    std::vector<OutgoingSegmentReports> messages;
    const auto send = [&](HostId to, const SegmentReports &reports) {
        const Address address = fleet.addressOf(to);
        if (!address.ip.empty())
            messages.push_back({ to, address, reports });
    };
    for (const Answer &answer : std::exchange(m_answers, {}))
        send(answer.to, answer.reports);
    if (!quarantine.hasChangedReports() || now - m_announcedAt < minAnnounceInterval)
        return messages;
    m_announcedAt = now;
    SegmentReports announcement;
    announcement.reports = quarantine.takeChangedReports(now);
    announcement.digest = quarantine.digest(now);
    for (const HostId to : fleet.changeRecipients(now))
        send(to, announcement);
    return messages;
}

} // namespace currantreel
