#include "PeerEncoder.h"

#include "GossipCodec.h"
#include <PeerMessage_generated.h>

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
        message.workspace.value, message.share, message.firstTokenIn.count(),
        message.answerIn.count(), message.queueBound.count(), message.isWorthlessWhenLate,
        message.isPreemptible, message.promptTokens, message.predictedTokens, message.prefixHash,
        message.avoid.value));
}

EncodedBody encode(Builder &builder, const Granted &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateGranted(builder, &id, message.lease.value, message.server.value,
                                      message.leaseFor.count()));
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
    std::vector<flatbuffers::Offset<wire::PatchPiece>> pieces;
    pieces.reserve(message.pieces.size());
    for (const PatchPiece &piece : message.pieces)
        pieces.push_back(wire::CreatePatchPiece(builder, piece.number, piece.size, piece.offset,
                                                toWire(builder, piece.bytes)));
    return bodyOf(wire::CreatePatchBatch(builder, message.position, builder.CreateVector(pieces)));
}

EncodedBody encode(Builder &builder, const SnapshotRequest &message)
{
    return bodyOf(wire::CreateSnapshotRequest(builder, message.position, message.offset));
}

EncodedBody encode(Builder &builder, const SnapshotPart &message)
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

EncodedBody encode(Builder &builder, const NewsPush &message)
{
    return bodyOf(wire::CreateNewsPush(builder, encodeGossip(builder, message.gossip)));
}

EncodedBody encode(Builder &builder, const GrantMoved &message)
{
    const wire::GrantId id = toWire(message.id);
    return bodyOf(wire::CreateGrantMoved(builder, &id));
}

EncodedBody encode(Builder &builder, const FleetNews &message)
{
    const auto peers = builder.CreateString(toText(message.peers));
    std::vector<flatbuffers::Offset<flatbuffers::String>> hosts;
    hosts.reserve(message.hosts.size());
    for (const Address &host : message.hosts)
        hosts.push_back(builder.CreateString(toText(host)));
    std::vector<wire::FleetLoad> loads;
    loads.reserve(message.loads.size());
    for (const FleetLoad &load : message.loads)
        loads.emplace_back(load.server.value, load.load.requests,
                           static_cast<std::uint32_t>(load.load.unreadTokens),
                           static_cast<std::uint32_t>(load.load.heldTokens));
    const auto hostVector = builder.CreateVector(hosts);
    const auto loadVector = builder.CreateVectorOfStructs(loads);
    std::vector<wire::FleetDemand> demands;
    demands.reserve(message.demands.size());
    for (const FleetDemand &demand : message.demands)
        demands.emplace_back(demand.service.value, demand.demand.readTokens,
                             demand.demand.runSeconds);
    const auto demandVector = builder.CreateVectorOfStructs(demands);
    return bodyOf(wire::CreateFleetNews(builder, peers, message.revision, message.readsPlatform,
                                        message.isLeaving, hostVector, loadVector, demandVector));
}

EncodedBody encode(Builder &builder, const PublishedNews &message)
{
    std::vector<flatbuffers::Offset<wire::PublishedItem>> items;
    items.reserve(message.items.size());
    for (const PublishedItem &item : message.items) {
        const auto key = builder.CreateString(item.key);
        const auto value = toWire(builder, item.value);
        items.push_back(
            wire::CreatePublishedItem(builder, key, value, item.revision, item.isRemoved));
    }
    return bodyOf(wire::CreatePublishedNews(builder, builder.CreateVector(items)));
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
        [&builder]<typename Message>(const Message &one) {
            static_assert(Encodable<Message>,
                          "a PeerMessage alternative lacks its wire form: add a table to "
                          "PeerMessage.fbs and its union, run scripts/generate.sh, and add "
                          "encode() in PeerEncoder.cpp and decode() in PeerDecoder.cpp");
            return encode(builder, one);
        },
        message);
}

} // namespace currantreel::detail
