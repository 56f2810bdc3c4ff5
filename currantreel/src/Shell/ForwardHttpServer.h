#ifndef CURRANTREEL_SHELL_FORWARDHTTPSERVER_H
#define CURRANTREEL_SHELL_FORWARDHTTPSERVER_H

#include "../Forward/EventStreamReader.h"
#include "../Forward/ForwardSystem.h"
#include "../Log/Log.h"
#include "../Settings/HostSettings.h"
#include "ConnectionPool.h"
#include "EventHandles.h"
#include "OutgoingExchange.h"
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace currantreel {

/// Serves callers of published routes: reads their requests, carries out what the forward system
/// decides, and relays the answers of backend servers.
class ForwardHttpServer
{
public:
    /// @param pump is called after each event, to carry out effects.
    ForwardHttpServer(event_base *base, const HostSettings &settings, const Log &log,
                      ForwardSystem &system, std::function<void()> pump);
    ~ForwardHttpServer();
    ForwardHttpServer(const ForwardHttpServer &) = delete;
    ForwardHttpServer &operator=(const ForwardHttpServer &) = delete;

    /// Starts to listen. False if the address cannot be had.
    [[nodiscard]] bool listen();

    /// Takes the limits on what callers send.
    void setLimits(const CallerLimits &limits);

    /// Starts a planned stop: unused connections are closed, and from now on each reply closes its own.
    void beginStop();
    /// Takes no new connections, and refuses what still arrives on open ones.
    void refuseNewRequests();

    void handle(const StartForward &effect);
    void handle(const CancelForward &effect);
    void handle(const RelayForward &effect);
    void handle(const FinishForward &effect);
    void handle(const RefuseForward &effect);
    void handle(const AbortForward &effect);

    /// Frees what has ended. Must not be called from a callback of an exchange.
    void sweep();

    [[nodiscard]] std::size_t exchanges() const { return m_exchanges.size(); }
    /// True while requests are in progress or replies are not wholly sent.
    [[nodiscard]] bool isBusy() const { return !m_exchanges.empty() || !m_sending.empty(); }
    [[nodiscard]] const ConnectionPool &pool() const { return m_pool; }

private:
    struct Exchange;
    struct Attempt;

    static void onRequest(evhttp_request *request, void *self);
    static void onConnectionClosed(evhttp_connection *connection, void *exchange);
    static void onReplyDrained(evhttp_connection *connection, void *exchange);
    static void onReplySent(evhttp_request *request, void *self);
    static void onAnsweredClosed(evhttp_connection *connection, void *self);

    void accept(evhttp_request *request);
    void refuseHead(evhttp_request *request, const std::string &fault);
    void open(evhttp_request *request, const HttpHeaders &headers, CallArrived arrival);
    void onHead(Attempt &attempt, const ResponseHead &head);
    void onBody(Attempt &attempt, evbuffer *body);
    void onDone(Attempt &attempt);
    void onFailed(Attempt &attempt, bool wasWritten);
    void fail(Attempt &attempt, AttemptFailure failure);
    void passEvents(Exchange &exchange, Attempt &attempt);
    void beginReply(Exchange &exchange, const Attempt &attempt);
    void retire(AttemptId id);
    void detachCaller(Exchange &exchange);
    void close(RequestId id);
    [[nodiscard]] Exchange *find(RequestId id);
    [[nodiscard]] Attempt *find(AttemptId id);

    event_base *m_base;
    const HostSettings *m_settings;
    const Log *m_log;
    ForwardSystem *m_system;
    std::function<void()> m_pump;
    HttpServerHandle m_server;
    evhttp_bound_socket *m_socket = nullptr;
    ConnectionPool m_pool;
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> m_attempts;
    std::vector<std::unique_ptr<Attempt>> m_retired; ///< Ended; freed outside of their callbacks.
    std::set<evhttp_connection *>
        m_sending; ///< Callers' connections that have to take a reply's end.
    std::set<evhttp_connection *> m_unused; ///< Callers' connections between two requests.
    std::vector<evhttp_connection *> m_broken; ///< To be closed outside of callbacks.
    std::uint64_t m_nextRequest = 1;
    Duration m_idleTimeout{};
    bool m_isClosing = false;
    bool m_isRefusing = false;
};

} // namespace currantreel

#endif
