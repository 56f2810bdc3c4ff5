#include "PeerDecoder.h"

#include "FieldReader.h"
#include "FleetDecoder.h"
#include "PeerFrame.h"
#include "WireVector.h"

namespace currantreel::detail {

namespace {

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
