#include "CallerBufferEntries.h"

#include "../SteadyNow.h"
#include <utility>

/// @file
/// The number of connections: which are closed to make room, and when nothing is accepted.

namespace currantreel {

namespace {

/// Interval at which room is sought while nothing is accepted.
constexpr Duration roomCheckInterval = std::chrono::milliseconds(100);
/// Time that a new connection has for its request before it gives way.
constexpr Duration minUnfinishedTime = std::chrono::milliseconds(250);
/// Shortest time between two log lines about connections closed for room.
constexpr Duration logInterval = std::chrono::seconds(1);

/// The connection of evhttp that @p stream belongs to; evhttp passes it to its own callbacks.
evhttp_connection *connectionOf(bufferevent *stream)
{
    void *argument = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, nullptr, &argument);
    return static_cast<evhttp_connection *>(argument);
}

} // namespace

bool CallerBuffers::listen(evhttp *server, const Address &address, Peers peers)
{
    const std::size_t connections =
        peers == Peers::Callers ? m_bounds.callerConnections : m_bounds.operatorConnections;
    return m_listeners.at(server)->socket.listen(address, connections, m_bounds.receiveBytes);
}

void CallerBuffers::stopListening(evhttp *server)
{
    m_listeners.at(server)->socket.close();
}

void CallerBuffers::identify(Connection &connection)
{
    connection.connection = connectionOf(connection.stream);
    evhttp_connection_set_closecb(connection.connection, &CallerBuffers::onClosed, this);
}

void CallerBuffers::setUse(const Connection &connection, CallerListener::Order::Use use)
{
    connection.socket->order().setUse(connection.stream, use);
    if (use != CallerListener::Order::Use::InUse && connection.socket->isPaused())
        event_active(m_roomNeeded.get(), EV_TIMEOUT, 0);
}

void CallerBuffers::onRoomNeeded(int /*descriptor*/, short /*events*/, void *self)
{
    static_cast<CallerBuffers *>(self)->makeRoom();
}

void CallerBuffers::makeRoom()
{
    // This comes before the first event of an accepted connection, which may end it.
    for (bufferevent *stream : std::exchange(m_accepted, {}))
        identify(*m_connections.at(stream));
    for (const auto &[server, listener] : m_listeners) {
        if (listener->socket.isFull() || m_hasAcceptFailed)
            makeRoom(listener->socket);
        if (!listener->socket.isFull() && listener->socket.isPaused() && !m_hasAcceptFailed)
            listener->socket.setAccepting(true);
    }
    logClosedForRoom();
    m_hasAcceptFailed = false;
    const timeval interval = toTimeval(roomCheckInterval);
    for (const auto &[server, listener] : m_listeners) {
        if (listener->socket.isPaused())
            event_add(m_roomNeeded.get(), &interval);
    }
}

void CallerBuffers::makeRoom(CallerListener &listener)
{
    for (std::size_t room = listener.roomWanted(); room > 0; --room) {
        Connection *connection = connectionToClose(listener);
        if (!connection)
            return;
        ++m_closedForRoom;
        closeConnection(*connection);
    }
}

CallerBuffers::Connection *CallerBuffers::connectionToClose(CallerListener &listener)
{
    using Use = CallerListener::Order::Use;
    if (const auto unfinished = listener.order().oldest(Use::Unfinished)) {
        Connection *connection = m_connections.at(*unfinished).get();
        if (steadyNow() - connection->acceptedAt >= minUnfinishedTime)
            return connection;
    }
    const auto idle = listener.order().oldest(Use::Idle);
    return idle ? m_connections.at(*idle).get() : nullptr;
}

void CallerBuffers::logClosedForRoom()
{
    const TimePoint now = steadyNow();
    if (m_closedForRoom == m_loggedClosedForRoom || now - m_closedForRoomLoggedAt < logInterval)
        return;
    m_log->write("callers_closed_for_room",
                 { { "connections", std::to_string(m_closedForRoom - m_loggedClosedForRoom) },
                   { "connections_left", std::to_string(m_connections.size()) } });
    m_loggedClosedForRoom = m_closedForRoom;
    m_closedForRoomLoggedAt = now;
}

} // namespace currantreel
