#ifndef CURRANTREEL_SHELL_CALLERBUFFERS_H
#define CURRANTREEL_SHELL_CALLERBUFFERS_H

#include "../../Limits/HostBounds.h"
#include "../../Limits/RequestMemory.h"
#include "../../Log/Log.h"
#include "../EventHandles.h"
#include "CallerListener.h"
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// Size limits on the requests at a listener.
struct RequestSizes
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 64UL * 1024;
};

/// Bounds the bytes that this process holds for the connections of its HTTP listeners: requests that are
/// not complete or not handled yet, and replies that callers do not read. What requests in progress hold is
/// bounded by requests().
///
/// evhttp reads from a connection without a limit while a reply waits to be sent. So reading stops while
/// a reply is unsent, and goes on after it. Connections that hold too much together are closed, the one
/// that holds most first, so that callers with usual requests are spared. So are those that have sent as much
/// as the largest request without a request in it.
///
/// Bounds the number of connections too: idle and unfinished ones give way to new ones, and where all are in
/// use, nothing is accepted until one ends.
///
/// It has to outlive the listeners.
class CallerBuffers
{
public:
    /// Called when a connection closes; as of evhttp_connection_set_closecb().
    using CloseCallback = void (*)(evhttp_connection *, void *);

    /// @param bounds of all connections, and of all requests in progress, together.
    CallerBuffers(event_base *base, const HostBounds &bounds, const Log &log);
    CallerBuffers(const CallerBuffers &) = delete;
    CallerBuffers &operator=(const CallerBuffers &) = delete;
    ~CallerBuffers();

    /// Bounds the connections that @p server accepts from now on.
    void attach(evhttp *server, const RequestSizes &sizes);

    /// Whose connections a listener takes: callers have no part in those of operators.
    enum class Peers : std::uint8_t { Callers, Operators };

    /// Makes @p server, which is attached, listen at @p address. @return false if it cannot be bound.
    [[nodiscard]] bool listen(evhttp *server, const Address &address, Peers peers);
    /// Sets what a caller at @p server is told whose upload there is no room for: a whole reply that says
    /// that the request was not run. Without it the connection is closed.
    void setRefusal(evhttp *server, std::string reply);
    /// Makes @p server listen no more; its connections stay open.
    void stopListening(evhttp *server);

    /// Sets the callback for the closing of @p connection in place of the earlier one; null for none.
    void setCloseCallback(evhttp_connection *connection, CloseCallback callback, void *argument);

    /// The request on @p connection was handed over to its handler, which answers for its bytes from now on.
    /// Not needed where a reply is sent at once.
    void beginRequest(evhttp_connection *connection);

    /// The request on @p connection ends, whose reply may be unsent: bounds what is read from now on.
    void endRequest(evhttp_connection *connection);

    /// Memory of the requests that are in progress, of all listeners.
    [[nodiscard]] RequestMemory &requests() { return m_requests; }
    [[nodiscard]] const RequestMemory &requests() const { return m_requests; }
    /// Bytes held for all connections.
    [[nodiscard]] std::size_t total() const { return m_total; }
    /// Number of connections closed since they, or all together, held too much.
    [[nodiscard]] std::uint64_t closed() const { return m_closed; }
    /// Number of connections closed to make room for new ones.
    [[nodiscard]] std::uint64_t closedForRoom() const { return m_closedForRoom; }

private:
    struct Listener;
    struct Connection;

    static bufferevent *onAccepted(event_base *base, void *listener);
    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *connection);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *connection);
    static void onClosed(evhttp_connection *connection, void *self);
    static void onOverLimit(int descriptor, short events, void *self);
    static void onFullCheck(int descriptor, short events, void *self);
    static void onRoomNeeded(int descriptor, short events, void *self);

    void identify(Connection &connection);
    void setUse(const Connection &connection, CallerListener::Order::Use use);
    void makeRoom();
    void makeRoom(CallerListener &listener);
    /// The connection of @p listener that gives way first; null if none does now.
    Connection *connectionToClose(CallerListener &listener);
    void logClosedForRoom();
    void add(Connection &connection, const evbuffer_cb_info &change);
    static void limitReading(const Connection &connection);
    void keepParsed(Connection &connection, std::size_t taken);
    static bool endsHeaderLine(Connection &connection);
    void releaseParsed(Connection &connection);
    void checkBound();
    void updateBound();
    bool closeLargest();
    void closeFull();
    [[nodiscard]] bool mayRefuse(const Connection &connection) const;
    void refuse(Connection &connection);
    static void onDiscarded(bufferevent *stream, void *connection);
    static void onRefusalEnded(bufferevent *stream, short what, void *connection);
    void close(Connection &connection);
    void closeConnection(Connection &connection);
    [[nodiscard]] Connection *find(evhttp_connection *connection);
    std::unique_ptr<Connection> forget(bufferevent *stream);

    const Log *m_log;
    RequestMemory m_requests;
    HostBounds m_bounds;
    std::size_t m_maxBytes; ///< As configured, or more for the listeners' largest requests.
    std::size_t m_total = 0;
    std::uint64_t m_closed = 0;
    EventHandle m_overLimit; ///< Closes connections outside of their callbacks.
    std::vector<bufferevent *> m_toRefuse; ///< Uploads that there is no room for.
    EventHandle m_roomNeeded; ///< Closes connections that give way, and resumes accepting.
    std::vector<bufferevent *> m_accepted; ///< In this turn of the loop.
    bool m_hasAcceptFailed = false;
    std::uint64_t m_closedForRoom = 0;
    std::uint64_t m_loggedClosedForRoom = 0;
    TimePoint m_closedForRoomLoggedAt;
    EventHandle m_fullCheck; ///< Pending while a connection has sent as much as it may.
    std::unordered_map<evhttp *, std::unique_ptr<Listener>> m_listeners;
    std::unordered_map<bufferevent *, std::unique_ptr<Connection>> m_connections;
};

} // namespace currantreel

#endif
