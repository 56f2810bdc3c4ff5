#include "PeerDecoder.h"

#include "../Forward/ServerLoad.h"
#include "../Quarantine/SegmentQuarantine.h"
#include "FieldReader.h"
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

GrantRequest decode(FieldReader &reader, const wire::GrantRequest &table)
{
    GrantRequest message;
    message.id = reader.grantId(table.id());
    message.target = TargetId{ table.target() };
    message.requestClass = ClassId{ table.request_class() };
    message.tier = reader.tier(table.tier());
    message.workspace = WorkspaceId{ table.workspace() };
    message.share = reader.share(table.share());
    message.firstTokenTimeLeft = reader.time(table.first_token_in_us());
    message.answerTimeLeft = reader.time(table.answer_in_us());
    message.queueBound = reader.time(table.queue_bound_us());
    message.isWorthlessWhenLate = table.is_worthless_when_late();
    message.isPreemptible = table.is_preemptible();
    message.promptTokens = table.prompt_tokens();
    message.predictedTokens = table.predicted_tokens();
    message.prefixHash = table.prefix_hash();
    message.avoid = BackendServerId{ table.avoid() };
    return message;
}

Granted decode(FieldReader &reader, const wire::Granted &table)
{
    return Granted{ reader.grantId(table.id()), LeaseId{ table.lease() },
                    BackendServerId{ table.server() }, reader.time(table.lease_for_us()) };
}

GrantShed decode(FieldReader &reader, const wire::GrantShed &table)
{
    return GrantShed{ reader.grantId(table.id()), reader.code(table.code()),
                      reader.time(table.retry_after_us()) };
}

LeasePreempted decode(FieldReader &reader, const wire::LeasePreempted &table)
{
    return LeasePreempted{ reader.grantId(table.id()), LeaseId{ table.lease() } };
}

GrantWithdrawn decode(FieldReader &reader, const wire::GrantWithdrawn &table)
{
    return GrantWithdrawn{ reader.grantId(table.id()) };
}

LeaseReleased decode(FieldReader &reader, const wire::LeaseReleased &table)
{
    reader.require(table.end() <= static_cast<std::uint8_t>(LeaseEnd::Failed));
    return LeaseReleased{ reader.grantId(table.id()),
                          LeaseId{ table.lease() },
                          BackendServerId{ table.server() },
                          static_cast<LeaseEnd>(table.end()),
                          table.tokens(),
                          reader.time(table.first_token_us()),
                          reader.time(table.inter_token_us()) };
}

LeaseRenewal decode(FieldReader &reader, const wire::LeaseRenewal &table)
{
    LeaseRenewal message;
    message.entry = HostId{ table.entry() };
    reader.require(isAligned(table.items()));
    if (!table.items() || !reader.isValid())
        return message;
    for (const wire::LeaseItem *item : *table.items())
        message.items.push_back({ reader.grantId(&item->id()), LeaseId{ item->lease() },
                                  BackendServerId{ item->server() }, reader.tier(item->tier()) });
    return message;
}

ConfigurationAnnounce decode(FieldReader &reader, const wire::ConfigurationAnnounce &table)
{
    return ConfigurationAnnounce{ table.position(), reader.digest(table.digest()),
                                  table.is_answer_wanted() };
}

PatchRequest decode(FieldReader & /*reader*/, const wire::PatchRequest &table)
{
    return PatchRequest{ table.number(), table.offset() };
}

PatchBatch decode(FieldReader &reader, const wire::PatchBatch &table)
{
    PatchBatch message;
    message.position = table.position();
    if (!table.pieces())
        return message;
    for (const wire::PatchPiece *chunk : *table.pieces())
        message.chunks.push_back({ chunk->number(), chunk->size(), chunk->offset(),
                                   reader.bytes(chunk->bytes(), chunk->offset(), chunk->size()) });
    return message;
}

SnapshotRequest decode(FieldReader & /*reader*/, const wire::SnapshotRequest &table)
{
    return SnapshotRequest{ table.position(), table.offset() };
}

SnapshotChunk decode(FieldReader &reader, const wire::SnapshotPart &table)
{
    return SnapshotChunk{ table.position(), table.size(), table.offset(),
                          reader.bytes(table.bytes(), table.offset(), table.size()) };
}

LeavingServers decode(FieldReader &reader, const wire::LeavingServers &table)
{
    LeavingServers message;
    reader.require(isAligned(table.servers()));
    if (!table.servers() || !reader.isValid())
        return message;
    for (const std::uint64_t server : *table.servers())
        message.servers.push_back(BackendServerId{ server });
    return message;
}

Probe decode(FieldReader &reader, const wire::Probe &table)
{
    return Probe{ table.sequence(), reader.gossip(table.gossip()) };
}

ProbeAck decode(FieldReader &reader, const wire::ProbeAck &table)
{
    return ProbeAck{ table.sequence(), HostId{ table.target() }, decodeVersion(table.version()),
                     reader.gossip(table.gossip()) };
}

ProbeRequest decode(FieldReader &reader, const wire::ProbeRequest &table)
{
    return ProbeRequest{ table.sequence(), reader.memberUpdate(table.target()),
                         reader.gossip(table.gossip()) };
}

UpdatePush decode(FieldReader &reader, const wire::NewsPush &table)
{
    return UpdatePush{ reader.gossip(table.gossip()) };
}

GrantMoved decode(FieldReader &reader, const wire::GrantMoved &table)
{
    return GrantMoved{ reader.grantId(table.id()) };
}

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

FleetUpdate decode(FieldReader &reader, const wire::FleetNews &table)
{
    FleetUpdate update;
    update.revision = table.revision();
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
    if (!isAligned(table.prompt()) || !isAligned(table.avoid()))
        reader.reject();
    if (!reader.isValid())
        return request;
    if (table.prompt()) {
        for (const wire::PromptPart *segment : *table.prompt())
            request.prompt.segments.push_back(PromptSegment{ segment->id(), segment->tokens() });
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
    return PublishedRequest{ table.revision() };
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

PublishedUpdate decode(FieldReader &reader, const wire::PublishedNews &table)
{
    PublishedUpdate update;
    update.after = table.after();
    update.revision = table.revision();
    update.age = ageOf(table.age_ms());
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
        published.revision = item->revision();
        published.isRemoved = item->is_removed();
        published.deferral =
            std::min<Duration>(std::chrono::milliseconds(item->deferral_ms()), maxDeferral);
        update.items.push_back(std::move(published));
    }
    return update;
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

template <typename Table>
std::optional<PeerMessage> decodeAs(const wire::Frame &frame)
{
    FieldReader reader;
    PeerMessage message = decode(reader, *static_cast<const Table *>(frame.body()));
    if (!reader.isValid())
        return std::nullopt;
    return message;
}

} // namespace

std::optional<PeerMessage> decodeMessage(const wire::Frame &frame)
{
    switch (frame.body_type()) {
    case wire::Body::GrantRequest:
        return decodeAs<wire::GrantRequest>(frame);
    case wire::Body::Granted:
        return decodeAs<wire::Granted>(frame);
    case wire::Body::GrantShed:
        return decodeAs<wire::GrantShed>(frame);
    case wire::Body::LeasePreempted:
        return decodeAs<wire::LeasePreempted>(frame);
    case wire::Body::GrantWithdrawn:
        return decodeAs<wire::GrantWithdrawn>(frame);
    case wire::Body::LeaseReleased:
        return decodeAs<wire::LeaseReleased>(frame);
    case wire::Body::LeaseRenewal:
        return decodeAs<wire::LeaseRenewal>(frame);
    case wire::Body::ConfigurationAnnounce:
        return decodeAs<wire::ConfigurationAnnounce>(frame);
    case wire::Body::PatchRequest:
        return decodeAs<wire::PatchRequest>(frame);
    case wire::Body::PatchBatch:
        return decodeAs<wire::PatchBatch>(frame);
    case wire::Body::SnapshotRequest:
        return decodeAs<wire::SnapshotRequest>(frame);
    case wire::Body::SnapshotPart:
        return decodeAs<wire::SnapshotPart>(frame);
    case wire::Body::LeavingServers:
        return decodeAs<wire::LeavingServers>(frame);
    case wire::Body::Probe:
        return decodeAs<wire::Probe>(frame);
    case wire::Body::ProbeAck:
        return decodeAs<wire::ProbeAck>(frame);
    case wire::Body::ProbeRequest:
        return decodeAs<wire::ProbeRequest>(frame);
    case wire::Body::NewsPush:
        return decodeAs<wire::NewsPush>(frame);
    case wire::Body::GrantMoved:
        return decodeAs<wire::GrantMoved>(frame);
    case wire::Body::FleetNews:
        return decodeAs<wire::FleetNews>(frame);
    case wire::Body::PublishedNews:
        return decodeAs<wire::PublishedNews>(frame);
    case wire::Body::PublishedRequest:
        return decodeAs<wire::PublishedRequest>(frame);
    case wire::Body::PlacementAsk:
        return decodeAs<wire::PlacementAsk>(frame);
    case wire::Body::PlacementGrant:
        return decodeAs<wire::PlacementGrant>(frame);
    case wire::Body::PlacementNotes:
        return decodeAs<wire::PlacementNotes>(frame);
    case wire::Body::PlacementsHeld:
        return decodeAs<wire::PlacementsHeld>(frame);
    case wire::Body::SegmentReports:
        return decodeAs<wire::SegmentReports>(frame);
    default:
        return std::nullopt;
    }
}

} // namespace currantreel::detail
