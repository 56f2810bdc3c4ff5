#include "PeerEncoder.h"

#include "../Placement/ServerLoad.h"
#include "GossipCodec.h"
#include "ValueCompression.h"
#include <PeerMessage_generated.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <limits>

namespace currantreel::detail {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

template <typename T>
EncodedBody bodyOf(flatbuffers::Offset<T> table)
{
    return EncodedBody{ static_cast<std::uint8_t>(wire::BodyTraits<T>::enum_value), table.Union() };
}

wire::GrantId toWire(const GrantId &id)
{
    return { id.entry.value, id.request.value };
}

EncodedBody encode(Builder &builder, const GrantRequest &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateGrantRequest(
        builder, &id, message.target.value, message.requestClass.value, message.tier,
        message.workspace.value, message.share, message.firstTokenTimeLeft.count(),
        message.answerTimeLeft.count(), message.queueBound.count(), message.isWorthlessWhenLate,
        message.isPreemptible, message.promptTokens, message.predictedTokens, message.prefixHash,
        message.avoid.value));
}

EncodedBody encode(Builder &builder, const Granted &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateGranted(builder, &id, message.lease.value, message.server.value,
                                      message.leaseDuration.count()));
}

EncodedBody encode(Builder &builder, const GrantShed &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateGrantShed(builder, &id, static_cast<std::uint16_t>(message.code),
                                        message.retryAfter.count()));
}

EncodedBody encode(Builder &builder, const LeasePreempted &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateLeasePreempted(builder, &id, message.lease.value));
}

EncodedBody encode(Builder &builder, const GrantWithdrawn &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateGrantWithdrawn(builder, &id));
}

EncodedBody encode(Builder &builder, const LeaseReleased &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateLeaseReleased(builder, &id, message.lease.value, message.server.value,
                                            static_cast<std::uint8_t>(message.end), message.tokens,
                                            message.firstToken.count(),
                                            message.interToken.count()));
}

EncodedBody encode(Builder &builder, const LeaseRenewal &message)
{
    std::vector<wire::LeaseItem> items;
    items.reserve(message.items.size());
    for (const LeaseRenewal::Item &item : message.items)
        items.emplace_back(toWire(item.id), item.lease.value, item.server.value, item.tier);
    const auto vector = builder.CreateVectorOfStructs(items);
    return bodyOf(wire::CreateLeaseRenewal(builder, message.entry.value, vector));
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> toWire(Builder &builder,
                                                              const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

EncodedBody encode(Builder &builder, const ConfigurationAnnounce &message)
{
    const auto digest = builder.CreateString(message.digest);
    return bodyOf(wire::CreateConfigurationAnnounce(builder, message.position, digest,
                                                    message.isAnswerWanted));
}

EncodedBody encode(Builder &builder, const PatchRequest &message)
{
    return bodyOf(wire::CreatePatchRequest(builder, message.number, message.offset));
}

EncodedBody encode(Builder &builder, const PatchBatch &message)
{
    std::vector<flatbuffers::Offset<wire::PatchPiece>> chunks;
    chunks.reserve(message.chunks.size());
    for (const PatchChunk &chunk : message.chunks)
        chunks.push_back(wire::CreatePatchPiece(builder, chunk.number, chunk.size, chunk.offset,
                                                toWire(builder, chunk.bytes)));
    return bodyOf(wire::CreatePatchBatch(builder, message.position, builder.CreateVector(chunks)));
}

EncodedBody encode(Builder &builder, const SnapshotRequest &message)
{
    return bodyOf(wire::CreateSnapshotRequest(builder, message.position, message.offset));
}

EncodedBody encode(Builder &builder, const SnapshotChunk &message)
{
    return bodyOf(wire::CreateSnapshotPart(builder, message.position, message.size, message.offset,
                                           toWire(builder, message.bytes)));
}

EncodedBody encode(Builder &builder, const LeavingServers &message)
{
    std::vector<std::uint64_t> servers;
    servers.reserve(message.servers.size());
    for (const BackendServerId server : message.servers)
        servers.push_back(server.value);
    return bodyOf(wire::CreateLeavingServers(builder, builder.CreateVector(servers)));
}

EncodedBody encode(Builder &builder, const Probe &message)
{
    const auto gossip = encodeGossip(builder, message.gossip);
    return bodyOf(wire::CreateProbe(builder, message.sequence, gossip));
}

EncodedBody encode(Builder &builder, const ProbeAck &message)
{
    const auto gossip = encodeGossip(builder, message.gossip);
    const wire::MemberVersion version = detail::toWire(message.version);
    return bodyOf(
        wire::CreateProbeAck(builder, message.sequence, message.target.value, &version, gossip));
}

EncodedBody encode(Builder &builder, const ProbeRequest &message)
{
    const auto gossip = encodeGossip(builder, message.gossip);
    const wire::MemberNews target = detail::toWire(message.target);
    return bodyOf(wire::CreateProbeRequest(builder, message.sequence, &target, gossip));
}

EncodedBody encode(Builder &builder, const UpdatePush &message)
{
    return bodyOf(wire::CreateNewsPush(builder, encodeGossip(builder, message.gossip)));
}

EncodedBody encode(Builder &builder, const GrantMoved &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateGrantMoved(builder, &id));
}

/// Durations below zero, or above what the field holds, are encoded as the nearest that it holds.
std::uint32_t toWireMilliseconds(Duration time)
{
    constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(toMilliseconds(time), 0, highest));
}

/// Value of sound_age_ms that says that no proof is known.
constexpr std::uint32_t noSoundAge = std::numeric_limits<std::uint32_t>::max();

wire::FleetHost toWire(const FleetHost &host)
{
    in_addr ip{};
    // An address that is not IPv4 is encoded as 0.0.0.0, which receivers reject.
    inet_pton(AF_INET, host.peerAddress.ip.c_str(), &ip);
    std::array<std::uint8_t, sizeof(ip)> bytes{};
    std::memcpy(bytes.data(), &ip, sizeof(ip));
    return wire::FleetHost(host.failureDomain.value, host.heartbeat, flatbuffers::make_span(bytes),
                           host.peerAddress.port, host.weight, host.isLeaving, host.reachesPlatform,
                           host.canOwn);
}

EncodedBody encode(Builder &builder, const FleetUpdate &message)
{
    const wire::FleetHost sender = toWire(message.sender);
    std::vector<wire::FleetHost> hosts;
    hosts.reserve(message.hosts.size());
    for (const FleetHost &host : message.hosts)
        hosts.push_back(toWire(host));
    const auto hostVector = builder.CreateVectorOfStructs(hosts);
    return bodyOf(wire::CreateFleetNews(builder, &sender, message.revision.number, hostVector,
                                        toWireMilliseconds(message.age), message.quarantineDigest,
                                        message.revision.era));
}

std::uint8_t toWireRank(std::uint32_t rank)
{
    return static_cast<std::uint8_t>(std::min(rank, rankCount - 1));
}

EncodedBody encode(Builder &builder, const PlacementGrantRequest &message)
{
    std::vector<wire::PromptPart> segments;
    segments.reserve(message.prompt.segments.size());
    for (const PromptSegment &segment : message.prompt.segments)
        segments.emplace_back(segment.id, segment.tokens);
    std::vector<std::uint64_t> avoid;
    avoid.reserve(message.avoid.size());
    for (const BackendServerId server : message.avoid)
        avoid.push_back(server.value);
    const auto promptVector = builder.CreateVectorOfStructs(segments);
    const auto avoidVector = builder.CreateVector(avoid);
    return bodyOf(wire::CreatePlacementAsk(
        builder, message.attempt.value, message.service.value, message.partition,
        message.partitionCount, message.failureDomain.value, promptVector, message.prompt.tokens,
        message.prompt.maxAnswerTokens, message.bytes, message.isLongPrompt,
        message.timeLeft.count(), avoidVector, message.target.count(), toWireRank(message.rank),
        message.waited.count(), message.mayWait, message.workspace.value));
}

EncodedBody encode(Builder &builder, const PlacementGrant &message)
{
    return bodyOf(wire::CreatePlacementGrant(builder, message.attempt.value, message.server.value,
                                             message.uncached, message.owner.value,
                                             message.isQueued));
}

EncodedBody encode(Builder &builder, const PlacementUpdates &message)
{
    std::vector<wire::PlacementNote> updates;
    updates.reserve(message.updates.size());
    for (const PlacementUpdate &update : message.updates)
        updates.emplace_back(update.attempt.value, static_cast<std::uint8_t>(update.progress));
    return bodyOf(wire::CreatePlacementNotes(builder, builder.CreateVectorOfStructs(updates)));
}

EncodedBody encode(Builder &builder, const ActivePlacements &message)
{
    std::vector<wire::HeldPlacement> placements;
    std::vector<std::uint8_t> ranks;
    placements.reserve(message.placements.size());
    ranks.reserve(message.placements.size());
    for (const ActivePlacement &placement : message.placements) {
        placements.emplace_back(placement.attempt.value, placement.server.value,
                                placement.timeLeft.count(), placement.uncached, placement.reserved);
        ranks.push_back(toWireRank(placement.rank));
    }
    const auto vector = builder.CreateVectorOfStructs(placements);
    const auto rankVector = builder.CreateVector(ranks);
    return bodyOf(wire::CreatePlacementsHeld(builder, message.service.value, message.partition,
                                             vector, rankVector));
}

EncodedBody encode(Builder &builder, const PublishedRequest &message)
{
    return bodyOf(wire::CreatePublishedRequest(builder, message.revision.number,
                                               message.revision.era, message.knowsEras));
}

flatbuffers::Offset<wire::PublishedItem> encodeItem(Builder &builder, const PublishedItem &item)
{
    const auto compressed =
        item.value.size() >= minCompressedValueBytes ? compressValue(item.value) : std::nullopt;
    const auto fullBytes = static_cast<std::uint32_t>(compressed ? item.value.size() : 0);
    const auto key = builder.CreateString(item.key);
    const auto value = toWire(builder, compressed ? *compressed : item.value);
    return wire::CreatePublishedItem(builder, key, value, item.revision.number, item.isRemoved,
                                     toWireMilliseconds(item.deferral), fullBytes,
                                     item.revision.era);
}

wire::Revision toWire(PublishedRevision revision)
{
    return { revision.number, revision.era };
}

flatbuffers::Offset<wire::RemovalRecord> encodeRecord(Builder &builder, const RemovalRecord &record)
{
    const wire::Revision completeSince = toWire(record.completeSince);
    const wire::Revision gapBegin = toWire(record.gapBegin);
    const wire::Revision gapEnd = toWire(record.gapEnd);
    const wire::Revision currentAt = toWire(record.currentAt);
    const wire::Revision mayLackUntil = toWire(record.mayLackUntil);
    return wire::CreateRemovalRecord(builder, &completeSince, &gapBegin, &gapEnd, &currentAt,
                                     &mayLackUntil);
}

EncodedBody encode(Builder &builder, const PublishedUpdate &message)
{
    std::vector<flatbuffers::Offset<wire::PublishedItem>> items;
    items.reserve(message.items.size());
    for (const PublishedItem &item : message.items)
        items.push_back(encodeItem(builder, item));
    const auto vector = builder.CreateVector(items);
    const auto removals = encodeRecord(builder, message.removals);
    return bodyOf(wire::CreatePublishedNews(builder, vector, message.after.number,
                                            message.revision.number,
                                            toWireMilliseconds(message.age), message.after.era,
                                            message.revision.era, message.isWhole, removals));
}

flatbuffers::Offset<wire::SegmentReport> encodeReport(Builder &builder, const SegmentReport &report)
{
    std::vector<wire::RunEnd> ends;
    ends.reserve(report.ends.size());
    for (const RunEnd &end : report.ends)
        ends.emplace_back(end.run.value, toWireMilliseconds(end.age));
    const auto vector = builder.CreateVectorOfStructs(ends);
    const std::uint32_t soundAge =
        report.soundAge ? std::min(toWireMilliseconds(*report.soundAge), noSoundAge - 1)
                        : noSoundAge;
    return wire::CreateSegmentReport(builder, report.segment, vector, soundAge);
}

EncodedBody encode(Builder &builder, const SegmentReports &message)
{
    std::vector<flatbuffers::Offset<wire::SegmentReport>> reports;
    reports.reserve(message.reports.size());
    for (const SegmentReport &report : message.reports)
        reports.push_back(encodeReport(builder, report));
    return bodyOf(wire::CreateSegmentReports(builder, builder.CreateVector(reports), message.digest,
                                             message.isAnswerWanted));
}

template <typename Message>
concept Encodable = requires(Builder &builder, const Message &message)
{
    encode(builder, message);
};

} // namespace

EncodedBody encodeBody(Builder &builder, const PeerMessage &message)
{
    return std::visit(
        [&builder]<typename Message>(const Message &alternative) {
            static_assert(Encodable<Message>,
                          "a PeerMessage alternative has no wire format: add a table to "
                          "PeerMessage.fbs and its union, run scripts/generate.sh, and add "
                          "encode() in PeerEncoder.cpp and decode() in PeerDecoder.cpp");
            return encode(builder, alternative);
        },
        message);
}

} // namespace currantreel::detail
