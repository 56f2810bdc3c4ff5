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

/// Counts of the links between hosts since the process started.
struct PeerCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesDropped = 0; ///< The peer was out of reach for too long.
    std::uint64_t linksOpened = 0;
    std::uint64_t linksRefused = 0; ///< Wrong frames, wrong secret, unknown host.
    std::uint64_t linksReplaced = 0; ///< Fell silent while a new connection worked.
};

/// Links to other hosts, opened when there is something to say and closed when idle.
///
/// A link which was spoken on and stays silent is replaced by a new connection; only the new one's
/// failure speaks against the peer. Reconnects back off exponentially with jitter.
class PeerLinks
{
public:
    PeerLinks(event_base *base, const HostSettings &settings, const LinkIdentity &self,
              const Log &log, std::function<bool(HostId)> isKnown, std::function<void(Event)> sink);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Starts to listen. False if the address cannot be had.
    [[nodiscard]] bool listen();

    /// Sends @p message to @p host, over a new link to @p address if there is none.
    void send(HostId host, const Address &address, const PeerMessage &message);

    /// Opens a new link to @p host, which replaces the present one once it is ready.
    void reconnect(HostId host, const Address &address);

    /// Counts so far, those of open links included.
    [[nodiscard]] PeerCounters counters() const;
    [[nodiscard]] std::size_t links() const { return m_links.size(); }

private:
    /// What is known of one peer.
    struct Peer
    {
        Address address;
        PeerLink *link = nullptr; ///< Ready link in use.
        PeerLink *dialing = nullptr; ///< Link on its way to being ready.
        std::deque<PeerMessage> waiting;
        TimePoint pingedAt; ///< Unanswered ping on `link`; the origin if there is none.
        TimePoint dialedAt;
        TimePoint dialAfter;
        Duration backoff{};
    };

    LinkCallbacks callbacks();
    void dial(HostId host, Peer &peer);
    void onReady(PeerLink &link);
    void onMessage(const PeerLink &link, PeerMessage message);
    void onRefused(PeerLink &link, const Error &error);
    void onEnded(PeerLink &link);
    void failDial(Peer &peer);
    void maintain();
    void maintain(HostId host, Peer &peer, TimePoint now);
    void endUnproven(TimePoint now);
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
    EventHandle m_timer;
    std::vector<std::unique_ptr<PeerLink>> m_links;
    std::vector<PeerLink *> m_retired; ///< To be destroyed outside of their callbacks.
    std::unordered_map<HostId, Peer> m_peers;
    std::minstd_rand m_random;
    PeerCounters m_counters;
};

} // namespace currantreel

#endif
