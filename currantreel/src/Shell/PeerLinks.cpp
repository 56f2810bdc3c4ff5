#include "PeerLinks.h"

#include "HostMeasures.h"
#include "SteadyNow.h"
#include <algorithm>
#include <fmt/format.h>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr Duration maintenanceInterval = 250ms;
/// Time without received bytes on a link in use after which a ping is sent.
constexpr Duration pingAfter = 1s;
/// Time without a response to a ping after which a new connection is tried.
constexpr Duration pongTimeout = 1s;
/// Time limit for a new link to become ready.
constexpr Duration dialTimeout = 2s;
/// Time without messages after which a link is closed.
constexpr Duration idleTimeout = 30s;
/// Time after a message for which a link counts as in use, and is pinged.
constexpr Duration inUseAfterMessage = 5s;
constexpr Duration minBackoff = 100ms;
constexpr Duration maxBackoff = 5s;
/// Maximum number of messages queued for a link; the oldest are dropped first.
constexpr std::size_t queueCapacity = 256;
/// Unsent bytes of a link from which on further messages are dropped.
constexpr std::size_t unsentCapacity = 4UL * 1024 * 1024;
/// Maximum number of links, including unauthenticated ones.
constexpr std::size_t linkCapacity = 2'048;
constexpr int listenBacklog = 128;
/// Bytes that the system may keep for an accepted link until they are read.
constexpr int receiveBytes = 64 * 1024;

/// Socket address of @p address; not valid if its host is not an IP address.
struct SocketAddress
{
    sockaddr_storage storage{};
    int length = sizeof(sockaddr_storage);
    bool isValid = false;

    explicit SocketAddress(const Address &address)
    {
        const std::string text = toText(address);
        isValid = evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&storage),
                                             &length)
                  == 0;
    }
};

} // namespace

PeerLinks::PeerLinks(event_base *base, const HostSettings &settings, const LinkIdentity &self,
                     const Log &log, std::function<bool(HostId)> isKnown,
                     std::function<void(Event)> sink)
    : m_base(base),
      m_settings(&settings),
      m_self(self),
      m_log(&log),
      m_isKnown(std::move(isKnown)),
      m_sink(std::move(sink)),
      m_maxUnproven(measuredBounds(settings.limits).unprovenLinks),
      m_timer(event_new(base, -1, EV_PERSIST, &PeerLinks::onTimer, this)),
      m_random(static_cast<std::minstd_rand::result_type>(self.incarnation.value ^ self.host.value))
{
}

PeerLinks::~PeerLinks() = default;

bool PeerLinks::listen()
{
    const SocketAddress address(m_settings->peers);
    m_listener.reset(evconnlistener_new_bind(
        m_base, &PeerLinks::onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        listenBacklog, reinterpret_cast<const sockaddr *>(&address.storage), address.length));
    const timeval interval = toTimeval(maintenanceInterval);
    event_add(m_timer.get(), &interval);
    if (!address.isValid || !m_listener)
        return false;
    setsockopt(evconnlistener_get_fd(m_listener.get()), SOL_SOCKET, SO_RCVBUF, &receiveBytes,
               sizeof(receiveBytes));
    // Accepting goes on with the next maintenance.
    evconnlistener_set_error_cb(m_listener.get(), [](evconnlistener *listener, void * /*self*/) {
        evconnlistener_disable(listener);
    });
    return true;
}

LinkCallbacks PeerLinks::callbacks()
{
    LinkCallbacks callbacks;
    callbacks.isKnown = m_isKnown;
    callbacks.onReady = [this](PeerLink &link) { onReady(link); };
    callbacks.onMessage = [this](const PeerLink &link, PeerMessage message) {
        onMessage(link, std::move(message));
    };
    callbacks.onRefused = [this](PeerLink &link, const Error &error) { onRefused(link, error); };
    callbacks.onClosed = [this](PeerLink &link) { onEnded(link); };
    return callbacks;
}

void PeerLinks::onAccept(evconnlistener * /*listener*/, evutil_socket_t descriptor,
                         sockaddr * /*address*/, int /*length*/, void *self)
{
    auto *links = static_cast<PeerLinks *>(self);
    if (links->m_links.size() >= linkCapacity) {
        evutil_closesocket(descriptor);
        ++links->m_counters.linksRefused;
        return;
    }
    links->closeUnproven();
    links->m_links.push_back(
        std::make_unique<PeerLink>(links->m_base, links->m_self, descriptor, links->callbacks()));
}

void PeerLinks::closeUnproven()
{
    const auto isUnproven = [](const auto &link) { return link->isAccepted() && !link->isReady(); };
    const auto count = std::count_if(m_links.begin(), m_links.end(), isUnproven);
    if (static_cast<std::size_t>(count) < m_maxUnproven)
        return;
    // It may wait in m_retired to be deleted, and must not be deleted twice.
    const auto oldest = std::find_if(m_links.begin(), m_links.end(), isUnproven);
    std::erase(m_retired, oldest->get());
    ++m_counters.linksRefused;
    m_links.erase(oldest);
}

void PeerLinks::send(HostId host, const Address &address, const PeerMessage &message)
{
    Peer &peer = m_peers[host];
    peer.address = address;
    if (peer.link && peer.link->unsentBytes() < unsentCapacity) {
        ++m_counters.messagesSent;
        peer.link->send(message);
        return;
    }
    if (peer.link) {
        ++m_counters.messagesDropped;
        return;
    }
    if (peer.queued.size() >= queueCapacity) {
        peer.queued.pop_front();
        ++m_counters.messagesDropped;
    }
    peer.queued.push_back(message);
    dial(host, peer);
}

void PeerLinks::reconnect(HostId host, const Address &address)
{
    Peer &peer = m_peers[host];
    peer.address = address;
    peer.dialAfter = TimePoint();
    dial(host, peer);
}

void PeerLinks::dial(HostId host, Peer &peer)
{
    const TimePoint now = steadyNow();
    const SocketAddress address(peer.address);
    if (peer.dialing || now < peer.dialAfter || !address.isValid || m_links.size() >= linkCapacity)
        return;
    auto link = std::make_unique<PeerLink>(m_base, m_self, host, address.storage, address.length,
                                           callbacks());
    peer.dialing = link.get();
    peer.dialedAt = now;
    m_links.push_back(std::move(link));
    if (peer.dialing->isEnded())
        onEnded(*peer.dialing);
}

void PeerLinks::onReady(PeerLink &link)
{
    ++m_counters.linksOpened;
    Peer &peer = m_peers[link.peer()];
    if (peer.dialing == &link)
        peer.dialing = nullptr;
    peer.link = &link;
    peer.backoff = Duration::zero();
    peer.dialAfter = TimePoint();
    peer.pingedAt = TimePoint();
    for (const PeerMessage &message : std::exchange(peer.queued, {})) {
        ++m_counters.messagesSent;
        link.send(message);
    }
}

void PeerLinks::onMessage(const PeerLink &link, PeerMessage message)
{
    ++m_counters.messagesReceived;
    m_sink(PeerMessageReceived{ link.peer(), std::move(message), link.peerProcess() });
}

void PeerLinks::onRefused(PeerLink &link, const Error &error)
{
    ++m_counters.linksRefused;
    m_log->write("peer_link_refused", { { "peer", fmt::format("{:x}", link.peer().value) },
                                        { "code", std::to_string(number(error.code)) },
                                        { "name", std::string(info(error.code).name) },
                                        { "detail", error.detail } });
    onEnded(link);
}

void PeerLinks::onEnded(PeerLink &link)
{
    retire(&link);
    const auto found = m_peers.find(link.peer());
    if (found == m_peers.end())
        return;
    Peer &peer = found->second;
    if (peer.link == &link)
        peer.link = nullptr;
    if (peer.dialing == &link)
        failDial(peer);
}

void PeerLinks::failDial(Peer &peer)
{
    peer.dialing = nullptr;
    peer.backoff = std::clamp(peer.backoff * 2, minBackoff, maxBackoff);
    std::uniform_int_distribution<Duration::rep> jitter(peer.backoff.count() / 2,
                                                        peer.backoff.count());
    peer.dialAfter = steadyNow() + Duration(jitter(m_random));
    // The replacement of an unresponsive link failed too: the link is closed.
    if (peer.link && peer.pingedAt != TimePoint()) {
        retire(peer.link);
        peer.link = nullptr;
    }
}

void PeerLinks::retire(PeerLink *link)
{
    m_retired.push_back(link);
    event_active(m_timer.get(), EV_TIMEOUT, 0);
}

void PeerLinks::onTimer(evutil_socket_t /*descriptor*/, short /*what*/, void *self)
{
    static_cast<PeerLinks *>(self)->maintain();
}

void PeerLinks::maintain()
{
    const TimePoint now = steadyNow();
    evconnlistener_enable(m_listener.get());
    for (auto &[host, peer] : m_peers)
        maintain(host, peer, now);
    closeUnused(now);
    sweep();
    std::erase_if(m_peers, [now](const auto &item) {
        const Peer &peer = item.second;
        return !peer.link && !peer.dialing && peer.queued.empty() && peer.dialAfter <= now;
    });
}

void PeerLinks::maintain(HostId host, Peer &peer, TimePoint now)
{
    if (peer.dialing && now - peer.dialedAt > dialTimeout) {
        retire(peer.dialing);
        failDial(peer);
    }
    if (!peer.link) {
        if (!peer.queued.empty())
            dial(host, peer);
        return;
    }
    if (now - peer.link->lastMessageAt() > idleTimeout) {
        retire(peer.link);
        peer.link = nullptr;
        return;
    }
    const bool hasAnswered = peer.link->lastReceivedAt() >= peer.pingedAt;
    if (hasAnswered)
        peer.pingedAt = TimePoint();
    const bool isInUse = now - peer.link->lastMessageAt() < inUseAfterMessage;
    const bool isSilent = now - peer.link->lastReceivedAt() > pingAfter;
    if (isInUse && isSilent && peer.pingedAt == TimePoint()) {
        peer.pingedAt = now;
        peer.link->ping();
    } else if (peer.pingedAt != TimePoint() && now - peer.pingedAt > pongTimeout && !peer.dialing) {
        ++m_counters.linksReplaced;
        dial(host, peer);
    }
}

void PeerLinks::closeUnused(TimePoint now)
{
    for (const auto &link : m_links) {
        const bool isUsed = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
            return item.second.link == link.get() || item.second.dialing == link.get();
        });
        if (!isUsed && now - link->lastReceivedAt() > (link->isReady() ? idleTimeout : dialTimeout))
            m_retired.push_back(link.get());
    }
}

PeerCounters PeerLinks::counters() const
{
    PeerCounters counters = m_counters;
    for (const auto &link : m_links) {
        counters.bytesSent += link->bytesSent();
        counters.bytesReceived += link->bytesReceived();
    }
    return counters;
}

void PeerLinks::sweep()
{
    for (PeerLink *retired : std::exchange(m_retired, {})) {
        const auto found =
            std::find_if(m_links.begin(), m_links.end(),
                         [retired](const auto &link) { return link.get() == retired; });
        if (found == m_links.end())
            continue;
        m_counters.bytesSent += retired->bytesSent();
        m_counters.bytesReceived += retired->bytesReceived();
        m_links.erase(found);
    }
}

} // namespace currantreel
