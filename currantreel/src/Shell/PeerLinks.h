#ifndef CURRANTREEL_SHELL_PEERLINKS_H
#define CURRANTREEL_SHELL_PEERLINKS_H

#include "../Log/Log.h"
#include "../Settings/HostSettings.h"
#include "../World/Event.h"
#include "EventHandles.h"
#include "PeerLink.h"
#include <deque>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// Counters of the links to other hosts since the process started.
struct PeerCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesDropped = 0; ///< The peer's queue or output buffer was full.
    std::uint64_t linksOpened = 0;
    std::uint64_t linksRefused = 0; ///< Invalid frames or proof, unknown host, too many links.
    std::uint64_t linksReplaced = 0; ///< Reconnects because a link was unresponsive.
};

/// Links to other hosts, opened when a message is sent and closed when idle.
///
/// A link in use that becomes unresponsive is replaced by a new connection, since a connection can
/// be lost while its peer is up; only if the new one fails too is the peer taken to be unreachable.
/// Reconnects back off exponentially with jitter.
class PeerLinks
{
public:
    PeerLinks(event_base *base, const HostSettings &settings, const LinkIdentity &self,
              const Log &log, std::function<bool(HostId)> isKnown, std::function<void(Event)> sink);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Starts listening. Returns false if the address cannot be bound.
    [[nodiscard]] bool listen();

    /// Sends @p message to @p host, or queues it while a link to @p address is opened.
    void send(HostId host, const Address &address, const PeerMessage &message);

    /// Opens a new link to @p host, which replaces the current one once it is ready.
    void reconnect(HostId host, const Address &address);

    /// Current counters, including those of open links.
    [[nodiscard]] PeerCounters counters() const;
    [[nodiscard]] std::size_t links() const { return m_links.size(); }

private:
    /// State of one peer.
    struct Peer
    {
        Address address;
        PeerLink *link = nullptr; ///< Link in use, ready.
        PeerLink *dialing = nullptr; ///< Link being established.
        std::deque<PeerMessage> queued;
        TimePoint pingedAt; ///< Time of the unanswered ping on `link`; the origin if none.
        TimePoint dialedAt;
        TimePoint dialAfter;
        Duration backoff{};
    };

    LinkCallbacks callbacks();
    /// Makes room among the links whose peers have not proven to be hosts: the oldest is closed.
    void closeUnproven();
    void dial(HostId host, Peer &peer);
    void onReady(PeerLink &link);
    void onMessage(const PeerLink &link, PeerMessage message);
    void onRefused(PeerLink &link, const Error &error);
    void onEnded(PeerLink &link);
    void failDial(Peer &peer);
    void maintain();
    void maintain(HostId host, Peer &peer, TimePoint now);
    void closeUnused(TimePoint now);
    void sweep();
    void retire(PeerLink *link);
    static void onAccept(evconnlistener *listener, evutil_socket_t descriptor, sockaddr *address,
                         int length, void *self);
    static void onTimer(evutil_socket_t descriptor, short what, void *self);

    event_base *m_base;
    const HostSettings *m_settings;
    LinkIdentity m_self;
    const Log *m_log;
    std::function<bool(HostId)> m_isKnown;
    std::function<void(Event)> m_sink;
    std::unique_ptr<evconnlistener, detail::EventDeleter<evconnlistener_free>> m_listener;
    std::size_t m_maxUnproven; ///< Accepted links that are not ready yet.
    EventHandle m_timer;
    std::vector<std::unique_ptr<PeerLink>> m_links; ///< In the order in which they were opened.
    std::vector<PeerLink *> m_retired; ///< To be deleted outside of their callbacks.
    std::unordered_map<HostId, Peer> m_peers;
    std::minstd_rand m_random;
    PeerCounters m_counters;
};

} // namespace currantreel

#endif
