#ifndef CURRANTREEL_PEER_PEERFRAME_H
#define CURRANTREEL_PEER_PEERFRAME_H

#include "../World/PeerMessage.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace currantreel {

/// Version of the protocol between hosts. Hosts of another version are refused.
inline constexpr std::uint32_t peerProtocolVersion = 2;

/// Largest frame without its length prefix.
inline constexpr std::size_t maxFrameBytes = 2UL * 1024 * 1024;

/// Random number of one side of a link.
using LinkNonce = std::array<unsigned char, 32>;

/// Keyed hash which proves knowledge of the cluster secret.
using LinkHash = std::array<unsigned char, 32>;

/// First frame of each side of a link.
struct Greeting
{
    std::uint32_t protocol = peerProtocolVersion;
    HostId host;
    Incarnation incarnation;
    LinkNonce nonce{};
};

/// Second frame of each side of a link.
struct Proof
{
    LinkHash hash{};
};

/// Asks for a Pong, to tell a quiet link from a dead one.
struct Ping
{
};

/// Answers a Ping.
struct Pong
{
};

/// One frame on a link between hosts.
struct PeerFrame
{
    Incarnation incarnation; ///< Of the sender.
    std::uint64_t sequence = 0; ///< Rises by at least one with each frame of a link.
    std::variant<Greeting, Proof, Ping, Pong, PeerMessage> body;
};

} // namespace currantreel

#endif
