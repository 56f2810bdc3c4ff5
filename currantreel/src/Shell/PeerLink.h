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

/// Identity of the local host on a link.
struct LinkIdentity
{
    HostId host;
    Incarnation incarnation;
    std::string_view secret; ///< The cluster secret.
};

class PeerLink;

/// Callbacks of a link. None of them may destroy the link.
struct LinkCallbacks
{
    std::function<bool(HostId)> isKnown; ///< Whether a host is accepted as a peer.
    std::function<void(PeerLink &)> onReady; ///< The peer is authenticated.
    std::function<void(PeerLink &, PeerMessage)> onMessage;
    std::function<void(PeerLink &, const Error &)>
        onRefused; ///< Protocol violation; the link has ended.
    std::function<void(PeerLink &)> onClosed; ///< The link has ended.
};

/// One TCP connection between two hosts with mutual authentication. Each side sends a greeting with
/// a nonce, then proves knowledge of the cluster secret by a keyed hash over the peer's nonce.
/// Messages are accepted only after that.
class PeerLink
{
public:
    /// Opens a link to @p peer at @p address.
    PeerLink(event_base *base, const LinkIdentity &self, HostId peer,
             const sockaddr_storage &address, int addressLength, LinkCallbacks callbacks);
    /// Takes ownership of the accepted socket @p descriptor.
    PeerLink(event_base *base, const LinkIdentity &self, evutil_socket_t descriptor,
             LinkCallbacks callbacks);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Sends @p message. @pre isReady().
    void send(const PeerMessage &message);

    /// Sends a ping, which the peer answers at once.
    void ping();

    /// The peer; not valid on an accepted link before its greeting was received.
    [[nodiscard]] HostId peer() const { return m_peer; }
    /// Run of the peer's process.
    [[nodiscard]] Incarnation peerProcess() const { return m_peerGreeting.incarnation; }
    [[nodiscard]] bool isAccepted() const { return m_side == LinkSide::Acceptor; }
    [[nodiscard]] bool isReady() const { return m_state == State::Ready; }
    [[nodiscard]] bool isEnded() const { return m_state == State::Ended; }
    [[nodiscard]] TimePoint lastReceivedAt() const { return m_lastReceivedAt; }
    [[nodiscard]] TimePoint lastMessageAt() const { return m_lastMessageAt; }
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] std::uint64_t bytesSent() const { return m_bytesSent; }
    [[nodiscard]] std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    enum class State : std::uint8_t { Connecting, Greeting, Proving, Ready, Ended };

    void begin(StreamHandle stream);
    void sendGreeting();
    void sendBody(decltype(PeerFrame::body) body);
    void read();
    void receive(const PeerFrame &frame);
    [[nodiscard]] bool isInSequence(const PeerFrame &frame);
    void handle(const Greeting &greeting);
    void handle(const Proof &proof);
    void handle(const Ping &ping);
    void handle(const Pong &pong);
    void handle(const PeerMessage &message);
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
    Greeting m_localGreeting;
    Greeting m_peerGreeting;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    TimePoint m_lastReceivedAt; ///< When bytes were last received.
    TimePoint m_lastMessageAt; ///< When a message was last sent or received.
};

} // namespace currantreel

#endif
