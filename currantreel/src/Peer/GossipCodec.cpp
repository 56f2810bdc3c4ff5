#include "GossipCodec.h"

#include "WireVector.h"

#include <algorithm>

namespace currantreel::detail {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

/// Longest list and longest text that a correct host sends.
constexpr std::size_t longestList = 64;
constexpr std::size_t longestText = 256;
/// Oldest load worth telling.
constexpr Duration oldestLoad = std::chrono::hours(1);

static_assert(tierCount == 5, "TargetLoad.queued in PeerMessage.fbs has one entry a tier");

wire::TargetLoad loadToWire(const TargetLoad &load)
{
    const flatbuffers::span<const std::uint32_t, tierCount> queued(load.queued.data(), tierCount);
    return { load.target.value, load.slots, load.freeSlots, queued };
}

flatbuffers::Offset<wire::Introduction> encode(Builder &builder, const Introduction &introduction)
{
    const HostEntry &host = introduction.host;
    const auto name = builder.CreateString(host.name);
    const auto callersIp = builder.CreateString(host.callerAddress.ip);
    const auto peersIp = builder.CreateString(host.peerAddress.ip);
    const wire::MemberVersion version = detail::toWire(introduction.version);
    return wire::CreateIntroduction(
        builder, host.id.value, name, host.failureDomain.value, callersIp, host.callerAddress.port,
        peersIp, host.peerAddress.port, host.liveness == Liveness::Leaving, &version);
}

/// Wire forms of @p items, in a vector that is left out when empty.
template <typename Wire, typename Item, typename Convert>
flatbuffers::Offset<flatbuffers::Vector<const Wire *>>
encodeStructs(Builder &builder, const std::vector<Item> &items, Convert convert)
{
    if (items.empty())
        return 0;
    std::vector<Wire> wires;
    wires.reserve(items.size());
    for (const Item &item : items)
        wires.push_back(convert(item));
    return builder.CreateVectorOfStructs(wires);
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::Introduction>>>
encodeIntroductions(Builder &builder, const std::vector<Introduction> &introductions)
{
    if (introductions.empty())
        return 0;
    std::vector<flatbuffers::Offset<wire::Introduction>> tables;
    tables.reserve(introductions.size());
    for (const Introduction &introduction : introductions)
        tables.push_back(encode(builder, introduction));
    return builder.CreateVector(tables);
}

TargetLoad decode(const wire::TargetLoad &load)
{
    TargetLoad result;
    result.target = TargetId{ load.target() };
    result.slots = load.slots();
    result.freeSlots = load.free_slots();
    for (std::size_t tier = 0; tier < tierCount; ++tier)
        result.queued[tier] = load.queued()->Get(static_cast<flatbuffers::uoffset_t>(tier));
    return result;
}

bool isShort(const flatbuffers::String *text)
{
    return !text || text->size() <= longestText;
}

std::string textOf(const flatbuffers::String *text)
{
    return text ? text->str() : std::string();
}

std::optional<Introduction> decode(const wire::Introduction &table)
{
    if (!isShort(table.name()) || !isShort(table.callers_ip()) || !isShort(table.peers_ip()))
        return std::nullopt;
    Introduction introduction;
    HostEntry &host = introduction.host;
    host.id = HostId{ table.id() };
    host.name = textOf(table.name());
    host.failureDomain = FailureDomainId{ table.failure_domain() };
    host.callerAddress = Address{ textOf(table.callers_ip()), table.callers_port() };
    host.peerAddress = Address{ textOf(table.peers_ip()), table.peers_port() };
    host.liveness = table.is_leaving() ? Liveness::Leaving : Liveness::Live;
    introduction.version = decodeVersion(table.version());
    // The identifier of a host is made from its name.
    if (host.id != HostId::ofName(host.name))
        return std::nullopt;
    return introduction;
}

template <typename Vector>
bool isBounded(const Vector *items)
{
    return !items || items->size() <= longestList;
}

bool isBounded(const wire::Gossip &table)
{
    const bool areAligned =
        isAligned(table.news()) && isAligned(table.own_loads()) && isAligned(table.domain_loads());
    return areAligned && isBounded(table.news()) && isBounded(table.introductions())
           && isBounded(table.own_loads()) && isBounded(table.domain_loads())
           && isShort(table.configuration_digest());
}

bool decodeNewsOf(const wire::Gossip &table, Gossip &gossip)
{
    if (!table.news())
        return true;
    for (const wire::MemberNews *item : *table.news()) {
        const auto update = decodeNews(item);
        if (!update)
            return false;
        gossip.updates.push_back(*update);
    }
    return true;
}

bool decodeIntroductionsOf(const wire::Gossip &table, Gossip &gossip)
{
    if (!table.introductions())
        return true;
    for (const wire::Introduction *item : *table.introductions()) {
        auto introduction = decode(*item);
        if (!introduction)
            return false;
        gossip.introductions.push_back(std::move(*introduction));
    }
    return true;
}

bool decodeLoadsOf(const wire::Gossip &table, Gossip &gossip)
{
    if (table.own_loads()) {
        for (const wire::TargetLoad *load : *table.own_loads())
            gossip.ownLoads.push_back(decode(*load));
    }
    if (!table.domain_loads())
        return true;
    for (const wire::DomainLoad *item : *table.domain_loads()) {
        const Duration age(item->age_us());
        if (age < Duration() || age > oldestLoad)
            return false;
        gossip.domainLoads.push_back(
            DomainLoad{ FailureDomainId{ item->failure_domain() }, age, decode(item->load()) });
    }
    return true;
}

} // namespace

wire::MemberVersion toWire(const MemberVersion &version)
{
    return { version.incarnation.value, version.refutation };
}

wire::MemberNews toWire(const MemberUpdate &updates)
{
    return { updates.id.value, toWire(updates.version), static_cast<std::uint8_t>(updates.state) };
}

flatbuffers::Offset<wire::Gossip> encodeGossip(Builder &builder, const Gossip &gossip)
{
    const auto updates = encodeStructs<wire::MemberNews>(
        builder, gossip.updates, [](const MemberUpdate &one) { return toWire(one); });
    const auto introductions = encodeIntroductions(builder, gossip.introductions);
    flatbuffers::Offset<flatbuffers::String> digest = 0;
    if (!gossip.configuration.digest.empty())
        digest = builder.CreateString(gossip.configuration.digest);
    const auto ownLoads = encodeStructs<wire::TargetLoad>(
        builder, gossip.ownLoads, [](const TargetLoad &one) { return loadToWire(one); });
    const auto domainLoads =
        encodeStructs<wire::DomainLoad>(builder, gossip.domainLoads, [](const DomainLoad &one) {
            return wire::DomainLoad(one.failureDomain.value, one.age.count(), loadToWire(one.load));
        });
    const wire::MemberVersion sender = toWire(gossip.sender);
    return wire::CreateGossip(builder, &sender, gossip.isLeaving, updates, introductions,
                              gossip.configuration.version, digest, ownLoads, domainLoads);
}

MemberVersion decodeVersion(const wire::MemberVersion *version)
{
    if (!version)
        return {};
    return MemberVersion{ Incarnation{ version->incarnation() }, version->refutation() };
}

std::optional<MemberUpdate> decodeNews(const wire::MemberNews *updates)
{
    if (!updates || updates->state() > static_cast<std::uint8_t>(MemberState::Dead))
        return std::nullopt;
    return MemberUpdate{ HostId{ updates->id() }, decodeVersion(&updates->version()),
                         static_cast<MemberState>(updates->state()) };
}

std::optional<Gossip> decodeGossip(const wire::Gossip *table)
{
    if (!table || !isBounded(*table))
        return std::nullopt;
    Gossip gossip;
    gossip.sender = decodeVersion(table->sender());
    gossip.isLeaving = table->is_leaving();
    gossip.configuration.version = table->configuration_version();
    gossip.configuration.digest = textOf(table->configuration_digest());
    const bool isValid = decodeNewsOf(*table, gossip) && decodeIntroductionsOf(*table, gossip)
                         && decodeLoadsOf(*table, gossip);
    if (!isValid)
        return std::nullopt;
    return gossip;
}

} // namespace currantreel::detail
