#ifndef CURRANTREEL_SHELL_FORWARDHTTPSERVER_H
#define CURRANTREEL_SHELL_FORWARDHTTPSERVER_H

#include "../Forward/EventStreamReader.h"
#include "../Forward/ForwardSystem.h"
#include "../Limits/RequestMemory.h"
#include "../Log/Log.h"
#include "../Settings/HostSettings.h"
#include "Callers/CallerBuffers.h"
#include "Callers/CallerConnections.h"
#include "Callers/ReplyBackpressure.h"
#include "ConnectionPool.h"
#include "EventHandles.h"
#include "OutgoingExchange.h"
#include "ReceiveBudget.h"
#include <functional>
#include <memory>
#include <unordered_map>

namespace currantreel {

/// HTTP server for callers of published routes: parses requests, carries out the effects of the
/// forward system, and relays the responses of backend servers.
class ForwardHttpServer
{
public:
    /// @param buffers bounds the connections; has to outlive this.
    /// @param applyEffects called after each event to carry out the effects of the forward system.
    ForwardHttpServer(event_base *base, const HostSettings &settings, const Log &log,
                      CallerBuffers &buffers, ForwardSystem &system,
                      std::function<void()> applyEffects);
    ~ForwardHttpServer();
    ForwardHttpServer(const ForwardHttpServer &) = delete;
    ForwardHttpServer &operator=(const ForwardHttpServer &) = delete;

    /// Starts listening. Returns false if the address cannot be bound.
    [[nodiscard]] bool listen();

    /// Sets the size limits and the idle timeout for callers' connections.
    void setLimits(const CallerLimits &limits);

    /// Starts a graceful shutdown: closes idle connections at once and others after their replies.
    void beginStop();
    /// Stops accepting connections, and refuses requests that arrive on open ones.
    void refuseNewRequests();

    void handle(const StartForward &effect);
    void handle(const CancelForward &effect);
    void handle(const RelayForward &effect);
    void handle(const FinishForward &effect);
    void handle(const RefuseForward &effect);
    void handle(const AbortForward &effect);

    /// Closes connections to backend servers that have been idle for too long.
    void closeIdle(TimePoint now) { m_pool.closeIdle(now); }

    /// Deletes ended attempts and closes aborted connections. Must not be called from a callback of
    /// an exchange.
    void sweep();

    [[nodiscard]] std::size_t exchanges() const { return m_exchanges.size(); }
    /// True while requests are in progress or replies are not completely sent.
    [[nodiscard]] bool isBusy() const
    {
        return !m_exchanges.empty() || m_connections.has(CallerConnections::State::Sending);
    }
    [[nodiscard]] bool isAccepting() const { return m_isAccepting; }
    /// When the last request arrived.
    [[nodiscard]] TimePoint lastRequestAt() const { return m_lastRequestAt; }
    [[nodiscard]] const ConnectionPool &pool() const { return m_pool; }

private:
    struct Exchange;
    struct Attempt;

    static void onRequest(evhttp_request *request, void *self);
    static void onConnectionClosed(evhttp_connection *connection, void *exchange);
    static void onReplySent(evhttp_request *request, void *self);

    void handleRequest(evhttp_request *request);
    void refuseHead(evhttp_request *request, const std::string &fault);
    void refuseForMemory(evhttp_request *request);
    /// The same as text, for requests that are not complete.
    [[nodiscard]] static std::string refusalForMemory();
    void beginExchange(evhttp_request *request, const HttpHeaders &headers, CallArrived arrival,
                       HeldMemory memory);
    void onHead(Attempt &attempt, const ResponseHead &head);
    void onServerState(const Attempt &attempt);
    void onLeavingReported(const Attempt &attempt);
    void onReceived(Attempt &attempt, std::size_t unparsed);
    void onBody(Attempt &attempt, evbuffer *body);
    void addBody(Attempt &attempt, evbuffer *body);
    void addEvents(Attempt &attempt, evbuffer *body);
    void updateBudget(const Attempt &attempt);
    void onDone(Attempt &attempt);
    /// Whether a stream that ended without an error of its connection is not complete.
    [[nodiscard]] static bool endsEarly(const Attempt &attempt);
    void onFailed(Attempt &attempt, bool wasWritten);
    void fail(Attempt &attempt, AttemptFailure failure);
    void relayEvents(Exchange &exchange, Attempt &attempt);
    void onReplyDrained(RequestId id);
    void beginReply(Exchange &exchange, const Attempt &attempt);
    void retire(AttemptId id);
    void detachCaller(Exchange &exchange);
    void close(RequestId id);
    [[nodiscard]] Exchange *find(RequestId id);
    [[nodiscard]] Attempt *find(AttemptId id);

    event_base *m_base;
    const HostSettings *m_settings;
    const Log *m_log;
    CallerBuffers *m_buffers;
    ForwardSystem *m_system;
    std::function<void()> m_applyEffects;
    ReceiveBudget m_received; ///< Of the answers in progress.
    ReplyBackpressure m_backpressure; ///< Outlives the connections of m_server.
    HttpServerHandle m_server;
    ConnectionPool m_pool;
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> m_attempts;
    std::vector<std::unique_ptr<Attempt>> m_retired; ///< Ended; deleted outside of their callbacks.
    CallerConnections m_connections; ///< Those without a request that waits for its reply.
    std::uint64_t m_nextRequest = 1;
    TimePoint m_lastRequestAt;
    Duration m_idleTimeout{};
    bool m_isAccepting = false;
    bool m_isStopping = false;
    bool m_isRefusing = false;
};

} // namespace currantreel

#endif
