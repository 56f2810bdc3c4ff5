#ifndef CURRANTREEL_SHELL_PEERLINK_H
#define CURRANTREEL_SHELL_PEERLINK_H

#include "../Core/Result.h"
#include "../Peer/LinkProof.h"
#include "../Peer/PeerFrame.h"
#include "EventHandles.h"
#include <functional>
#include <string_view>

namespace currantreel {

using StreamHandle = std::unique_ptr<bufferevent, detail::EventDeleter<bufferevent_free>>;

/// Who this side of a link is.
struct LinkIdentity
{
    HostId host;
    Incarnation incarnation;
    std::string_view secret; ///< The cluster secret.
};

class PeerLink;

/// What the owner of a link is told. None may destroy the link.
struct LinkCallbacks
{
    std::function<bool(HostId)> isKnown; ///< Whether a host may be a peer.
    std::function<void(PeerLink &)> onReady; ///< The other side is proven.
    std::function<void(PeerLink &, PeerMessage)> onMessage;
    std::function<void(PeerLink &, const Error &)> onRefused; ///< Wrong frames; the link has ended.
    std::function<void(PeerLink &)> onClosed; ///< The link has ended.
};

/// One TCP connection between two hosts. Each side greets with a nonce, then proves the cluster secret
/// by a keyed hash over the other's nonce; only then do messages pass.
class PeerLink
{
public:
    /// Opens a link to @p peer at @p address.
    PeerLink(event_base *base, const LinkIdentity &self, HostId peer,
             const sockaddr_storage &address, int addressLength, LinkCallbacks callbacks);
    /// Takes over the accepted socket @p descriptor.
    PeerLink(event_base *base, const LinkIdentity &self, evutil_socket_t descriptor,
             LinkCallbacks callbacks);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Sends @p message. @pre isReady().
    void send(const PeerMessage &message);

    /// Asks for a sign of life.
    void ping();

    /// The other side; not valid before an accepted link is greeted.
    [[nodiscard]] HostId peer() const { return m_peer; }
    [[nodiscard]] bool isReady() const { return m_state == State::Ready; }
    [[nodiscard]] bool isEnded() const { return m_state == State::Ended; }
    [[nodiscard]] TimePoint lastReceivedAt() const { return m_receivedAt; }
    [[nodiscard]] TimePoint lastMessageAt() const { return m_messageAt; }
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] std::uint64_t bytesSent() const { return m_bytesSent; }
    [[nodiscard]] std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    enum class State : std::uint8_t { Connecting, Greeting, Proving, Ready, Ended };

    void begin(StreamHandle stream);
    void greet();
    void sendBody(decltype(PeerFrame::body) body);
    void read();
    void receive(const PeerFrame &frame);
    [[nodiscard]] bool isInSequence(const PeerFrame &frame);
    void take(const Greeting &greeting);
    void take(const Proof &proof);
    void take(const Ping &ping);
    void take(const Pong &pong);
    void take(const PeerMessage &message);
    void refuse(ResultCode code, std::string detail);
    void end();
    static void onRead(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    LinkIdentity m_self;
    HostId m_peer;
    LinkSide m_side;
    State m_state = State::Connecting;
    LinkCallbacks m_callbacks;
    StreamHandle m_stream;
    Greeting m_ownGreeting;
    Greeting m_peerGreeting;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    TimePoint m_receivedAt; ///< Last bytes from the other side.
    TimePoint m_messageAt; ///< Last message in either direction.
};

} // namespace currantreel

#endif
