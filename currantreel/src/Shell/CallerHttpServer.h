#ifndef CURRANTREEL_SHELL_CALLERHTTPSERVER_H
#define CURRANTREEL_SHELL_CALLERHTTPSERVER_H

#include "../Settings/HostSettings.h"
#include "../World/Effect.h"
#include "../World/Event.h"
#include "Callers/CallerBuffers.h"
#include "Callers/ReplyBackpressure.h"
#include "EventHandles.h"
#include "OutgoingExchange.h"
#include "ReceiveBudget.h"
#include "ResponseCache.h"
#include "SseScanner.h"
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// Receives the events of the HTTP servers.
using EventSink = std::function<void(Event)>;

/// HTTP server for callers of the model interface: parses requests, carries out attempts at backend
/// servers and relays the responses.
class CallerHttpServer
{
public:
    /// @param buffers bounds the connections; has to outlive this.
    CallerHttpServer(event_base *base, const HostSettings &settings, CallerBuffers &buffers,
                     Incarnation incarnation, EventSink sink);
    ~CallerHttpServer();
    CallerHttpServer(const CallerHttpServer &) = delete;
    CallerHttpServer &operator=(const CallerHttpServer &) = delete;

    /// Starts listening. Returns false if the address cannot be bound.
    [[nodiscard]] bool listen();

    void handle(const StartAttempt &effect);
    void handle(const CancelAttempt &effect);
    void handle(const RelayAttempt &effect);
    void handle(const FinishReply &effect);
    void handle(const RefuseRequest &effect);
    void handle(const ForwardRequest &effect);
    void handle(const KeyIssued &effect);
    void handle(const KeyAssigned &effect);
    void handle(const KeyStateReported &effect);
    void handle(const StoreAnswer &effect);
    void handle(const ReplayAnswer &effect);
    void handle(const DropAnswer &effect);
    void handle(const CloseExchange &effect);

    /// Deletes failed attempts. Must not be called from a callback of an attempt.
    void sweep();

    [[nodiscard]] std::size_t exchanges() const { return m_exchanges.size(); }

private:
    struct Exchange;
    struct Attempt;

    static void onRequest(evhttp_request *request, void *self);
    static void onConnectionClosed(evhttp_connection *connection, void *exchange);

    void handleRequest(evhttp_request *request);
    void handleKeyRequest(evhttp_request *request, const std::string &path);
    Exchange &beginExchange(evhttp_request *request, HeldMemory memory);
    /// Holds memory for @p request, or refuses it.
    std::optional<HeldMemory> holdMemory(evhttp_request *request);
    void startAttempt(Exchange &exchange, AttemptId id, OutgoingRequest outgoing,
                      bool isForwardedToHost);
    OutgoingRequest outgoingOf(const Exchange &exchange, const Address &address) const;
    void onHead(Attempt &attempt, const ResponseHead &head);
    void onBody(Attempt &attempt, evbuffer *body);
    void onDone(Attempt &attempt);
    void onFailed(Attempt &attempt, bool wasWritten);
    void beginRelay(Exchange &exchange, Attempt &attempt);
    void relay(Exchange &exchange, Attempt &attempt, evbuffer *body);
    /// All answers together hold too much: ends @p excessive, or no longer keeps it for its key if it is a
    /// stream, which its caller gets all the same.
    void endExcess(std::optional<AttemptId> excessive);
    /// Keeps @p bytes of a stream for the key of its request.
    void capture(Exchange &exchange, AttemptId attempt, std::string_view bytes);
    void stopCapture(Exchange &exchange, AttemptId attempt);
    void onReplyDrained(RequestId id);
    void finish(Exchange &exchange);
    void detachCaller(Exchange &exchange);
    void close(RequestId id);
    /// Deletes the attempts for which @p isErased returns true.
    void eraseAttempts(const std::function<bool(const Attempt &)> &isErased);
    Exchange *find(RequestId id);
    Attempt *find(AttemptId id);

    event_base *m_base;
    const HostSettings *m_settings;
    CallerBuffers *m_buffers;
    EventSink m_sink;
    ReceiveBudget m_received; ///< Of the answers in progress.
    ReplyBackpressure m_backpressure; ///< Outlives the connections of m_server.
    HttpServerHandle m_server;
    ResponseCache m_responseCache;
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> m_attempts;
    std::uint64_t m_nextRequest;
    std::uint64_t m_nextForwardedAttempt = 1;
};

} // namespace currantreel

#endif
