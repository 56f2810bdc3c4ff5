#include "PeerDecoder.h"

#include "GossipCodec.h"
#include "WireVector.h"
#include <PeerMessage_generated.h>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <cstring>

namespace currantreel::detail {

namespace {

/// Longest time in a message. Longer ones come from no correct host and could overflow.
constexpr Duration longestTime = std::chrono::hours(24);

/// Largest weight of a workspace; the configuration allows no larger one.
constexpr double largestShare = 1'000'000.0;

/// Longest digest of a configuration, in characters.
constexpr std::size_t longestDigest = 64;

/// Checks and converts the values of one message, and remembers whether all were right.
class Reader
{
public:
    [[nodiscard]] bool isValid() const { return m_isValid; }

    /// The message has a value that no correct host sends.
    void refuse() { m_isValid = false; }

    Address address(const flatbuffers::String *text)
    {
        const auto parsed = text ? parseAddress(text->string_view()) : std::nullopt;
        require(parsed.has_value());
        return parsed.value_or(Address{});
    }

    GrantId grantId(const wire::GrantId *id)
    {
        require(id && id->request() != 0);
        return id ? GrantId{ HostId{ id->entry() }, RequestId{ id->request() } } : GrantId();
    }

    Duration time(std::int64_t microseconds)
    {
        const Duration time(microseconds);
        require(time >= -longestTime && time <= longestTime);
        return time;
    }

    Tier tier(std::uint8_t tier)
    {
        require(tier < tierCount);
        return tier;
    }

    double share(double share)
    {
        require(std::isfinite(share) && share > 0.0 && share <= largestShare);
        return share;
    }

    ResultCode code(std::uint16_t code)
    {
        const auto result = static_cast<ResultCode>(code);
        require(info(result).code == result);
        return result;
    }

    std::string digest(const flatbuffers::String *digest)
    {
        require(!digest || digest->size() <= longestDigest);
        return isValid() && digest ? digest->str() : std::string();
    }

    /// Bytes from @p offset on of a value of @p size bytes.
    std::string bytes(const flatbuffers::Vector<std::uint8_t> *bytes, std::uint64_t offset,
                      std::uint64_t size)
    {
        const std::size_t length = bytes ? bytes->size() : 0;
        require(length <= messagePayloadBytes && offset <= size && length <= size - offset);
        return isValid() && bytes ? std::string(bytes->begin(), bytes->end()) : std::string();
    }

    Gossip gossip(const wire::Gossip *table)
    {
        auto gossip = decodeGossip(table);
        require(gossip.has_value());
        return std::move(gossip).value_or(Gossip());
    }

    MemberUpdate news(const wire::MemberNews *table)
    {
        const auto news = decodeNews(table);
        require(news.has_value());
        return news.value_or(MemberUpdate());
    }

    void require(bool isRight) { m_isValid = m_isValid && isRight; }

private:
    bool m_isValid = true;
};

GrantRequest decode(Reader &reader, const wire::GrantRequest &table)
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

Granted decode(Reader &reader, const wire::Granted &table)
{
    return Granted{ reader.grantId(table.id()), LeaseId{ table.lease() },
                    BackendServerId{ table.server() }, reader.time(table.lease_for_us()) };
}

GrantShed decode(Reader &reader, const wire::GrantShed &table)
{
    return GrantShed{ reader.grantId(table.id()), reader.code(table.code()),
                      reader.time(table.retry_after_us()) };
}

LeasePreempted decode(Reader &reader, const wire::LeasePreempted &table)
{
    return LeasePreempted{ reader.grantId(table.id()), LeaseId{ table.lease() } };
}

GrantWithdrawn decode(Reader &reader, const wire::GrantWithdrawn &table)
{
    return GrantWithdrawn{ reader.grantId(table.id()) };
}

LeaseReleased decode(Reader &reader, const wire::LeaseReleased &table)
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

LeaseRenewal decode(Reader &reader, const wire::LeaseRenewal &table)
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

ConfigurationAnnounce decode(Reader &reader, const wire::ConfigurationAnnounce &table)
{
    return ConfigurationAnnounce{ table.position(), reader.digest(table.digest()),
                                  table.is_answer_wanted() };
}

PatchRequest decode(Reader & /*reader*/, const wire::PatchRequest &table)
{
    return PatchRequest{ table.number(), table.offset() };
}

PatchBatch decode(Reader &reader, const wire::PatchBatch &table)
{
    PatchBatch message;
    message.position = table.position();
    if (!table.pieces())
        return message;
    for (const wire::PatchPiece *piece : *table.pieces())
        message.pieces.push_back({ piece->number(), piece->size(), piece->offset(),
                                   reader.bytes(piece->bytes(), piece->offset(), piece->size()) });
    return message;
}

SnapshotRequest decode(Reader & /*reader*/, const wire::SnapshotRequest &table)
{
    return SnapshotRequest{ table.position(), table.offset() };
}

SnapshotPart decode(Reader &reader, const wire::SnapshotPart &table)
{
    return SnapshotPart{ table.position(), table.size(), table.offset(),
                         reader.bytes(table.bytes(), table.offset(), table.size()) };
}

LeavingServers decode(Reader &reader, const wire::LeavingServers &table)
{
    LeavingServers message;
    reader.require(isAligned(table.servers()));
    if (!table.servers() || !reader.isValid())
        return message;
    for (const std::uint64_t server : *table.servers())
        message.servers.push_back(BackendServerId{ server });
    return message;
}

Probe decode(Reader &reader, const wire::Probe &table)
{
    return Probe{ table.sequence(), reader.gossip(table.gossip()) };
}

ProbeAck decode(Reader &reader, const wire::ProbeAck &table)
{
    return ProbeAck{ table.sequence(), HostId{ table.target() }, decodeVersion(table.version()),
                     reader.gossip(table.gossip()) };
}

ProbeRequest decode(Reader &reader, const wire::ProbeRequest &table)
{
    return ProbeRequest{ table.sequence(), reader.news(table.target()),
                         reader.gossip(table.gossip()) };
}

UpdatePush decode(Reader &reader, const wire::NewsPush &table)
{
    return UpdatePush{ reader.gossip(table.gossip()) };
}

GrantMoved decode(Reader &reader, const wire::GrantMoved &table)
{
    return GrantMoved{ reader.grantId(table.id()) };
}

FleetHost fromWire(Reader &reader, const wire::FleetHost &host)
{
    FleetHost known;
    in_addr ip{};
    std::memcpy(&ip, host.ip()->Data(), sizeof(ip));
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &ip, text.data(), text.size());
    if (ip.s_addr == 0 || host.port() == 0 || host.weight() == 0)
        reader.refuse();
    known.peerAddress = Address{ text.data(), host.port() };
    known.failureDomain = FailureDomainId{ host.failure_domain() };
    known.heartbeat = host.heartbeat();
    known.weight = host.weight();
    known.isLeaving = host.is_leaving();
    known.watchesPlatform = host.reads_platform();
    known.canOwn = host.can_own();
    return known;
}

FleetUpdate decode(Reader &reader, const wire::FleetNews &table)
{
    FleetUpdate news;
    news.revision = table.revision();
    if (!table.sender() || !isAligned(table.hosts()))
        reader.refuse();
    if (!reader.isValid())
        return news;
    news.sender = fromWire(reader, *table.sender());
    if (table.hosts()) {
        for (const wire::FleetHost *host : *table.hosts())
            news.hosts.push_back(fromWire(reader, *host));
    }
    return news;
}

PlacementGrantRequest decode(Reader &reader, const wire::PlacementAsk &table)
{
    PlacementGrantRequest ask;
    ask.attempt = AttemptId{ table.attempt() };
    ask.service = ServiceId{ table.service() };
    ask.partition = table.part();
    ask.partitionCount = table.parts();
    ask.failureDomain = FailureDomainId{ table.failure_domain() };
    ask.prompt.tokens = table.prompt_tokens();
    ask.prompt.maxAnswerTokens = table.most_answer_tokens();
    ask.bytes = table.bytes();
    ask.isLongPrompt = table.is_long_prompt();
    ask.isUrgent = table.is_urgent();
    ask.target = reader.time(table.target_us());
    ask.timeLeft = reader.time(table.time_left_us());
    if (!isAligned(table.prompt()) || !isAligned(table.avoid()))
        reader.refuse();
    if (!reader.isValid())
        return ask;
    if (table.prompt()) {
        for (const wire::PromptPart *segment : *table.prompt())
            ask.prompt.segments.push_back(PromptSegment{ segment->id(), segment->tokens() });
    }
    if (table.avoid()) {
        for (const std::uint64_t server : *table.avoid())
            ask.avoid.push_back(BackendServerId{ server });
    }
    return ask;
}

PlacementGrant decode(Reader & /*reader*/, const wire::PlacementGrant &table)
{
    return PlacementGrant{ AttemptId{ table.attempt() }, BackendServerId{ table.server() },
                           table.unread(), Incarnation{ table.owner() } };
}

PlacementUpdates decode(Reader &reader, const wire::PlacementNotes &table)
{
    PlacementUpdates updates;
    if (!isAligned(table.notes()))
        reader.refuse();
    if (!reader.isValid() || !table.notes())
        return updates;
    for (const wire::PlacementNote *note : *table.notes()) {
        if (note->progress() > static_cast<std::uint8_t>(PlacementProgress::Unreachable))
            reader.refuse();
        updates.updates.push_back(
            { AttemptId{ note->attempt() }, static_cast<PlacementProgress>(note->progress()) });
    }
    return updates;
}

ActivePlacements decode(Reader &reader, const wire::PlacementsHeld &table)
{
    ActivePlacements held;
    held.service = ServiceId{ table.service() };
    held.partition = table.part();
    if (!isAligned(table.placements()))
        reader.refuse();
    if (!reader.isValid() || !table.placements())
        return held;
    for (const wire::HeldPlacement *one : *table.placements())
        held.placements.push_back({ AttemptId{ one->attempt() }, BackendServerId{ one->server() },
                                    one->unread(), one->held(), reader.time(one->time_left_us()) });
    return held;
}

PublishedRequest decode(Reader & /*reader*/, const wire::PublishedRequest &table)
{
    return PublishedRequest{ table.revision() };
}

PublishedUpdate decode(Reader &reader, const wire::PublishedNews &table)
{
    PublishedUpdate news;
    if (!table.items())
        return news;
    for (const wire::PublishedItem *item : *table.items()) {
        if (!item->key()) {
            reader.refuse();
            return news;
        }
        PublishedItem published;
        published.key = item->key()->str();
        if (item->value())
            published.value.assign(item->value()->begin(), item->value()->end());
        published.revision = item->revision();
        published.isRemoved = item->is_removed();
        news.items.push_back(std::move(published));
    }
    return news;
}

template <typename Table>
std::optional<PeerMessage> decodeAs(const wire::Frame &frame)
{
    Reader reader;
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
    default:
        return std::nullopt;
    }
}

} // namespace currantreel::detail
