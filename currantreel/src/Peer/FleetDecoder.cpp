#include "FleetDecoder.h"

#include "../Placement/ServerLoad.h"
#include "../Quarantine/SegmentQuarantine.h"
#include "PeerFrame.h"
#include "ValueCompression.h"
#include "WireVector.h"
#include <arpa/inet.h>
#include <array>
#include <cstring>

namespace currantreel::detail {

namespace {

/// Maximum time for which a removal is deferred; a correct host asks for less.
constexpr Duration maxDeferral = std::chrono::seconds(10);

/// Age of published state. Larger ones than those told apart are reported as the largest.
Duration ageOf(std::uint32_t milliseconds)
{
    return std::min<Duration>(std::chrono::milliseconds(milliseconds), maxPublishedAge);
}

FleetHost fromWire(FieldReader &reader, const wire::FleetHost &host)
{
    FleetHost result;
    in_addr ip{};
    std::memcpy(&ip, host.ip()->Data(), sizeof(ip));
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &ip, text.data(), text.size());
    if (ip.s_addr == 0 || host.port() == 0 || host.weight() == 0)
        reader.reject();
    result.peerAddress = Address{ text.data(), host.port() };
    result.failureDomain = FailureDomainId{ host.failure_domain() };
    result.heartbeat = host.heartbeat();
    result.weight = host.weight();
    result.isLeaving = host.is_leaving();
    result.reachesPlatform = host.reads_platform();
    result.canOwn = host.can_own();
    return result;
}

/// Value of @p item, decompressed if need be.
/// @param room bytes that the values of the message may still take; reduced by those of this one.
std::string valueOf(FieldReader &reader, const wire::PublishedItem &item, std::size_t &room)
{
    if (!item.value())
        return {};
    const std::string_view bytes(reinterpret_cast<const char *>(item.value()->data()),
                                 item.value()->size());
    const std::size_t fullBytes = item.full_bytes() > 0 ? item.full_bytes() : bytes.size();
    if (fullBytes > room) {
        reader.reject();
        return {};
    }
    room -= fullBytes;
    if (item.full_bytes() == 0)
        return std::string(bytes);
    const auto value = decompressValue(bytes, fullBytes);
    reader.require(value.has_value());
    return value.value_or(std::string());
}

PublishedRevision revisionOf(const wire::Revision *revision)
{
    return revision ? PublishedRevision(revision->number(), revision->era()) : PublishedRevision();
}

/// A host that states no record takes all removals for recorded.
RemovalRecord recordOf(const wire::RemovalRecord *table)
{
    RemovalRecord record;
    record.currentAt = {};
    if (!table)
        return record;
    record.completeSince = revisionOf(table->complete_since());
    record.gapBegin = revisionOf(table->gap_begin());
    record.gapEnd = revisionOf(table->gap_end());
    record.currentAt = revisionOf(table->current_at());
    record.mayLackUntil = revisionOf(table->may_lack_until());
    return record;
}

Duration ageOfSegment(std::uint32_t milliseconds)
{
    return std::min<Duration>(std::chrono::milliseconds(milliseconds), maxTime);
}

SegmentReport reportOf(FieldReader &reader, const wire::SegmentReport &table)
{
    SegmentReport report;
    report.segment = table.segment();
    if (table.sound_age_ms() != std::numeric_limits<std::uint32_t>::max())
        report.soundAge = ageOfSegment(table.sound_age_ms());
    reader.require(isAligned(table.ends())
                   && (!table.ends() || table.ends()->size() <= SegmentQuarantine::maxEnds));
    if (!reader.isValid() || !table.ends())
        return report;
    for (const wire::RunEnd *end : *table.ends())
        report.ends.push_back({ ServerRunId{ end->run() }, ageOfSegment(end->age_ms()) });
    return report;
}

} // namespace

FleetUpdate decode(FieldReader &reader, const wire::FleetNews &table)
{
    FleetUpdate update;
    update.revision = PublishedRevision(table.revision(), table.era());
    update.age = ageOf(table.age_ms());
    update.quarantineDigest = table.quarantine_digest();
    if (!table.sender() || !isAligned(table.hosts()))
        reader.reject();
    if (!reader.isValid())
        return update;
    update.sender = fromWire(reader, *table.sender());
    if (table.hosts()) {
        for (const wire::FleetHost *host : *table.hosts())
            update.hosts.push_back(fromWire(reader, *host));
    }
    return update;
}

PlacementGrantRequest decode(FieldReader &reader, const wire::PlacementAsk &table)
{
    PlacementGrantRequest request;
    request.attempt = AttemptId{ table.attempt() };
    request.service = ServiceId{ table.service() };
    request.partition = table.part();
    request.partitionCount = table.parts();
    request.failureDomain = FailureDomainId{ table.failure_domain() };
    request.prompt.tokens = table.prompt_tokens();
    request.prompt.maxAnswerTokens = table.most_answer_tokens();
    request.bytes = table.bytes();
    request.isLongPrompt = table.is_long_prompt();
    request.rank = table.rank();
    request.target = reader.time(table.target_us());
    request.timeLeft = reader.time(table.time_left_us());
    request.waited = reader.time(table.waited_us());
    request.mayWait = table.may_wait();
    request.workspace = WorkspaceId{ table.workspace() };
    if (!isAligned(table.prompt()) || !isAligned(table.avoid()))
        reader.reject();
    if (!reader.isValid())
        return request;
    if (table.prompt()) {
        for (const wire::PromptPart *segment : *table.prompt())
            request.prompt.segments.push_back(PromptSegment{ segment->id(), segment->tokens() });
        request.prompt.limitSegments(); // earlier versions send all
    }
    if (table.avoid()) {
        for (const std::uint64_t server : *table.avoid())
            request.avoid.push_back(BackendServerId{ server });
    }
    return request;
}

PlacementGrant decode(FieldReader & /*reader*/, const wire::PlacementGrant &table)
{
    PlacementGrant grant;
    grant.attempt = AttemptId{ table.attempt() };
    grant.server = BackendServerId{ table.server() };
    grant.isQueued = table.is_queued();
    grant.uncached = table.unread();
    grant.owner = Incarnation{ table.owner() };
    return grant;
}

PlacementUpdates decode(FieldReader &reader, const wire::PlacementNotes &table)
{
    PlacementUpdates result;
    if (!isAligned(table.notes()))
        reader.reject();
    if (!reader.isValid() || !table.notes())
        return result;
    for (const wire::PlacementNote *update : *table.notes()) {
        if (update->progress() > static_cast<std::uint8_t>(PlacementProgress::Unreachable))
            reader.reject();
        result.updates.push_back(
            { AttemptId{ update->attempt() }, static_cast<PlacementProgress>(update->progress()) });
    }
    return result;
}

ActivePlacements decode(FieldReader &reader, const wire::PlacementsHeld &table)
{
    ActivePlacements active;
    active.service = ServiceId{ table.service() };
    active.partition = table.part();
    if (!isAligned(table.placements()))
        reader.reject();
    if (!reader.isValid() || !table.placements())
        return active;
    for (const wire::HeldPlacement *placement : *table.placements()) {
        // Hosts of an older version do not state ranks.
        const std::size_t index = active.placements.size();
        const bool hasRank = table.ranks() && index < table.ranks()->size();
        active.placements.push_back(
            { AttemptId{ placement->attempt() }, BackendServerId{ placement->server() },
              placement->unread(), placement->held(),
              hasRank ? table.ranks()->Get(static_cast<flatbuffers::uoffset_t>(index))
                      : rankCount - 1,
              reader.time(placement->time_left_us()) });
    }
    return active;
}

PublishedRequest decode(FieldReader & /*reader*/, const wire::PublishedRequest &table)
{
    return PublishedRequest{ PublishedRevision(table.revision(), table.era()), table.knows_eras() };
}

PublishedUpdate decode(FieldReader &reader, const wire::PublishedNews &table)
{
    PublishedUpdate update;
    update.after = PublishedRevision(table.after(), table.after_era());
    update.revision = PublishedRevision(table.revision(), table.era());
    update.age = ageOf(table.age_ms());
    update.isWhole = table.is_whole();
    update.removals = recordOf(table.removals());
    if (!table.items())
        return update;
    std::size_t room = maxFrameBytes;
    for (const wire::PublishedItem *item : *table.items()) {
        reader.require(item->key() != nullptr);
        if (!reader.isValid())
            return update;
        PublishedItem published;
        published.key = item->key()->str();
        published.value = valueOf(reader, *item, room);
        published.revision = PublishedRevision(item->revision(), item->era());
        published.isRemoved = item->is_removed();
        published.deferral =
            std::min<Duration>(std::chrono::milliseconds(item->deferral_ms()), maxDeferral);
        update.items.push_back(std::move(published));
    }
    return update;
}

SegmentReports decode(FieldReader &reader, const wire::SegmentReports &table)
{
    SegmentReports message;
    message.digest = table.digest();
    message.isAnswerWanted = table.is_answer_wanted();
    reader.require(!table.reports() || table.reports()->size() <= SegmentQuarantine::maxReports);
    if (!reader.isValid() || !table.reports())
        return message;
    for (const wire::SegmentReport *report : *table.reports())
        message.reports.push_back(reportOf(reader, *report));
    return message;
}

} // namespace currantreel::detail
