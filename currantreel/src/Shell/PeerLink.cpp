#include "PeerLink.h"

#include "../Peer/FramePrefix.h"
#include "../Peer/PeerCodec.h"
#include "SteadyNow.h"

namespace currantreel {

namespace {

/// A greeting and a proof are smaller.
constexpr std::size_t maxUnprovenFrameBytes = 4UL * 1024;

} // namespace

PeerLink::PeerLink(event_base *base, const LinkIdentity &self, HostId peer,
                   const sockaddr_storage &address, int addressLength, LinkCallbacks callbacks)
    : m_self(self), m_peer(peer), m_side(LinkSide::Dialer), m_callbacks(std::move(callbacks))
{
    begin(StreamHandle(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)));
    const int failure = bufferevent_socket_connect(
        m_stream.get(), reinterpret_cast<const sockaddr *>(&address), addressLength);
    // The owner checks isEnded() after construction: onClosed must not be called before the owner
    // has stored the link.
    if (failure != 0)
        m_state = State::Ended;
}

PeerLink::PeerLink(event_base *base, const LinkIdentity &self, evutil_socket_t descriptor,
                   LinkCallbacks callbacks)
    : m_self(self), m_side(LinkSide::Acceptor), m_callbacks(std::move(callbacks))
{
    begin(StreamHandle(bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE)));
    sendGreeting();
}

void PeerLink::begin(StreamHandle stream)
{
    m_stream = std::move(stream);
    m_lastReceivedAt = steadyNow();
    m_lastMessageAt = m_lastReceivedAt;
    m_localGreeting =
        Greeting{ peerProtocolVersion, m_self.host, m_self.incarnation, generateNonce() };
    bufferevent_setcb(m_stream.get(), &PeerLink::onRead, nullptr, &PeerLink::onEvent, this);
    bufferevent_setwatermark(m_stream.get(), EV_READ, framePrefixBytes,
                             maxUnprovenFrameBytes + framePrefixBytes);
    bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
}

void PeerLink::sendGreeting()
{
    m_state = State::Greeting;
    sendBody(m_localGreeting);
}

void PeerLink::sendBody(decltype(PeerFrame::body) body)
{
    const std::vector<std::uint8_t> bytes =
        encodeFrame(PeerFrame{ m_self.incarnation, m_nextSequence++, std::move(body) });
    m_bytesSent += bytes.size();
    bufferevent_write(m_stream.get(), bytes.data(), bytes.size());
}

void PeerLink::send(const PeerMessage &message)
{
    m_lastMessageAt = steadyNow();
    sendBody(message);
}

void PeerLink::ping()
{
    sendBody(Ping());
}

std::size_t PeerLink::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_stream.get()));
}

void PeerLink::onRead(bufferevent * /*stream*/, void *self)
{
    static_cast<PeerLink *>(self)->read();
}

void PeerLink::onEvent(bufferevent * /*stream*/, short what, void *self)
{
    auto *link = static_cast<PeerLink *>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0)
        link->sendGreeting();
    else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        link->end();
}

void PeerLink::read()
{
    evbuffer *input = bufferevent_get_input(m_stream.get());
    m_lastReceivedAt = steadyNow();
    while (m_state != State::Ended && evbuffer_get_length(input) >= framePrefixBytes) {
        std::array<std::uint8_t, framePrefixBytes> prefix{};
        evbuffer_copyout(input, prefix.data(), prefix.size());
        const Result<std::size_t> length = readFrameLength(prefix);
        if (isError(length)) {
            refuse(error(length).code, error(length).detail);
            return;
        }
        if (m_state != State::Ready && value(length) > maxUnprovenFrameBytes) {
            refuse(ResultCode::PeerFrameMalformed, "frame too long before the proof");
            return;
        }
        const std::size_t frameBytes = framePrefixBytes + value(length);
        if (evbuffer_get_length(input) < frameBytes)
            return;
        const unsigned char *bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(frameBytes));
        const Result<PeerFrame> frame =
            decodeFrame(std::span(bytes + framePrefixBytes, value(length)));
        evbuffer_drain(input, frameBytes);
        m_bytesReceived += frameBytes;
        if (isError(frame))
            refuse(error(frame).code, error(frame).detail);
        else
            receive(value(frame));
    }
}

bool PeerLink::isInSequence(const PeerFrame &frame)
{
    const bool isNewer = frame.sequence > m_lastSequence;
    const bool isSameSender =
        m_state == State::Greeting || frame.incarnation == m_peerGreeting.incarnation;
    m_lastSequence = frame.sequence;
    return isNewer && isSameSender;
}

void PeerLink::receive(const PeerFrame &frame)
{
    if (!isInSequence(frame)) {
        refuse(ResultCode::PeerSequence, std::to_string(frame.sequence));
        return;
    }
    std::visit([this](const auto &body) { handle(body); }, frame.body);
}

void PeerLink::handle(const Greeting &greeting)
{
    if (m_state != State::Greeting) {
        refuse(ResultCode::PeerSequence, "greeting");
        return;
    }
    if (greeting.protocol != peerProtocolVersion) {
        refuse(ResultCode::PeerProtocolVersion, std::to_string(greeting.protocol));
        return;
    }
    const bool isExpected = m_side == LinkSide::Acceptor || greeting.host == m_peer;
    if (!isExpected || greeting.host == m_self.host || !m_callbacks.isKnown(greeting.host)) {
        refuse(ResultCode::PeerUnknown, std::to_string(greeting.host.value));
        return;
    }
    m_peer = greeting.host;
    m_peerGreeting = greeting;
    m_state = State::Proving;
    sendBody(Proof{ computeProof(m_self.secret, m_localGreeting, greeting.nonce, m_side) });
}

void PeerLink::handle(const Proof &proof)
{
    const LinkSide peerSide = m_side == LinkSide::Dialer ? LinkSide::Acceptor : LinkSide::Dialer;
    const bool isValid =
        m_state == State::Proving
        && isProofValid(proof, m_self.secret, m_peerGreeting, m_localGreeting.nonce, peerSide);
    if (!isValid) {
        refuse(ResultCode::PeerNotProven, std::to_string(m_peer.value));
        return;
    }
    m_state = State::Ready;
    bufferevent_setwatermark(m_stream.get(), EV_READ, framePrefixBytes,
                             maxFrameBytes + framePrefixBytes);
    m_callbacks.onReady(*this);
}

void PeerLink::handle(const Ping & /*ping*/)
{
    if (m_state == State::Ready)
        sendBody(Pong());
    else
        refuse(ResultCode::PeerNotProven, "ping");
}

void PeerLink::handle(const Pong & /*pong*/)
{
    if (m_state != State::Ready)
        refuse(ResultCode::PeerNotProven, "pong");
}

void PeerLink::handle(const PeerMessage &message)
{
    if (m_state != State::Ready) {
        refuse(ResultCode::PeerNotProven, "message");
        return;
    }
    m_lastMessageAt = steadyNow();
    m_callbacks.onMessage(*this, message);
}

void PeerLink::refuse(ResultCode code, std::string detail)
{
    if (m_state == State::Ended)
        return;
    m_state = State::Ended;
    bufferevent_disable(m_stream.get(), EV_READ | EV_WRITE);
    m_callbacks.onRefused(*this, Error{ code, std::move(detail) });
}

void PeerLink::end()
{
    if (m_state == State::Ended)
        return;
    m_state = State::Ended;
    bufferevent_disable(m_stream.get(), EV_READ | EV_WRITE);
    m_callbacks.onClosed(*this);
}

} // namespace currantreel
