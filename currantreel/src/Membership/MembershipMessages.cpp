#include "MembershipMessages.h"

#include <algorithm>

namespace currantreel {

namespace {

// Sizes are those of the FlatBuffers forms with alignment; a test holds them against the codec.
/// Length prefix, frame, message and gossip tables with their offsets.
constexpr std::size_t framingBytes = 96;
constexpr std::size_t idBytes = 8;
constexpr std::size_t countBytes = 4;
constexpr std::size_t versionBytes = 16;
/// Target of an answer with its offsets.
constexpr std::size_t ackBytes = 16;
constexpr std::size_t newsBytes = 32;
/// Offset, length prefix and padding of a string or a list.
constexpr std::size_t lengthBytes = 12;
constexpr std::size_t loadBytes = 40;
constexpr std::size_t domainLoadBytes = 56;
/// Table of an introduction with its offsets.
constexpr std::size_t introductionBytes = 48;

std::size_t sizeOf(const std::string &text)
{
    return lengthBytes + text.size();
}

std::size_t sizeOf(const Introduction &introduction)
{
    const HostEntry &host = introduction.host;
    const std::size_t texts =
        sizeOf(host.name) + sizeOf(host.callerAddress.ip) + sizeOf(host.peerAddress.ip);
    return introductionBytes + 2 * idBytes + 2 * countBytes + versionBytes + texts;
}

/// Empty lists take no bytes.
template <typename Item>
std::size_t sizeOf(const std::vector<Item> &items, std::size_t itemBytes)
{
    return items.empty() ? 0 : lengthBytes + items.size() * itemBytes;
}

std::size_t sizeOf(const Gossip &gossip)
{
    std::size_t size = versionBytes + countBytes + idBytes;
    if (!gossip.configuration.digest.empty())
        size += sizeOf(gossip.configuration.digest);
    size += sizeOf(gossip.updates, newsBytes);
    for (const Introduction &introduction : gossip.introductions)
        size += sizeOf(introduction);
    size += sizeOf(gossip.ownLoads, loadBytes);
    size += sizeOf(gossip.domainLoads, domainLoadBytes);
    return size;
}

} // namespace

std::size_t wireSize(const Probe &message)
{
    return framingBytes + idBytes + sizeOf(message.gossip);
}

std::size_t wireSize(const ProbeAck &message)
{
    return framingBytes + idBytes + ackBytes + versionBytes + sizeOf(message.gossip);
}

std::size_t wireSize(const ProbeRequest &message)
{
    return framingBytes + idBytes + newsBytes + sizeOf(message.gossip);
}

std::size_t wireSize(const UpdatePush &message)
{
    return framingBytes + sizeOf(message.gossip);
}

} // namespace currantreel
