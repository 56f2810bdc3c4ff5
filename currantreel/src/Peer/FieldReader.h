#ifndef CURRANTREEL_PEER_FIELDREADER_H
#define CURRANTREEL_PEER_FIELDREADER_H

#include "../Configuration/ConfigurationMessages.h"
#include "../Settings/Address.h"
#include "../World/PeerMessage.h"
#include "GossipCodec.h"
#include <PeerMessage_generated.h>
#include <cmath>
#include <string>

namespace currantreel::detail {

/// Maximum absolute value of a duration in a message. A correct host sends no larger one, and a
/// larger one could overflow.
inline constexpr Duration maxTime = std::chrono::hours(24);

/// Maximum weight of a workspace; the configuration allows no larger one.
inline constexpr double maxShare = 1'000'000.0;

/// Maximum length of a configuration digest, in characters.
inline constexpr std::size_t maxDigestLength = 64;

/// Validates and converts the fields of one message, and records whether all of them were valid.
class FieldReader
{
public:
    [[nodiscard]] bool isValid() const { return m_isValid; }

    /// Marks the message as invalid: it has a value that no correct host sends.
    void reject() { m_isValid = false; }

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
        require(time >= -maxTime && time <= maxTime);
        return time;
    }

    Tier tier(std::uint8_t tier)
    {
        require(tier < tierCount);
        return tier;
    }

    double share(double share)
    {
        require(std::isfinite(share) && share > 0.0 && share <= maxShare);
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
        require(!digest || digest->size() <= maxDigestLength);
        return isValid() && digest ? digest->str() : std::string();
    }

    /// Chunk of a value: the bytes from @p offset on of @p size in total.
    std::string bytes(const flatbuffers::Vector<std::uint8_t> *bytes, std::uint64_t offset,
                      std::uint64_t size)
    {
        const std::size_t length = bytes ? bytes->size() : 0;
        require(length <= maxMessagePayloadBytes && offset <= size && length <= size - offset);
        return isValid() && bytes ? std::string(bytes->begin(), bytes->end()) : std::string();
    }

    Gossip gossip(const wire::Gossip *table)
    {
        auto gossip = decodeGossip(table);
        require(gossip.has_value());
        return std::move(gossip).value_or(Gossip());
    }

    MemberUpdate memberUpdate(const wire::MemberNews *table)
    {
        const auto update = decodeMemberUpdate(table);
        require(update.has_value());
        return update.value_or(MemberUpdate());
    }

    /// Marks the message as invalid unless @p condition holds.
    void require(bool condition) { m_isValid = m_isValid && condition; }

private:
    bool m_isValid = true;
};

} // namespace currantreel::detail

#endif
