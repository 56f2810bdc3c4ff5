#ifndef CURRANTREEL_SHELL_CALLERS_CALLERLISTENER_H
#define CURRANTREEL_SHELL_CALLERS_CALLERLISTENER_H

#include "../../Settings/Address.h"
#include "../EventHandles.h"
#include "ClosingOrder.h"
#include <event2/listener.h>
#include <functional>

namespace currantreel {

/// Listening socket of an HTTP server, and which of its connections give way to new ones.
///
/// While there is no room, nothing is accepted: new callers wait in the system's queue. Otherwise the
/// loop would be told of them again and again.
class CallerListener
{
public:
    using Order = ClosingOrder<bufferevent *>;

    /// @param onAcceptFailed called if the system has no descriptor for a new connection; the listener is
    /// paused then.
    CallerListener(evhttp *server, std::function<void()> onAcceptFailed);
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;
    ~CallerListener();

    /// Starts listening. @return the socket; null if the address cannot be bound.
    /// @param maxConnections connections that are open at once.
    /// @param receiveBytes that the system may keep for each of them.
    evhttp_bound_socket *listen(const Address &address, std::size_t maxConnections,
                                std::size_t receiveBytes);

    /// Stops listening; connections stay open.
    void close();

    /// Pauses or resumes accepting.
    void setAccepting(bool isAccepting);
    [[nodiscard]] bool isPaused() const { return m_isPaused; }

    [[nodiscard]] Order &order() { return m_order; }
    /// Whether as many connections are open as may be.
    [[nodiscard]] bool isFull() const { return m_order.size() >= m_maxConnections; }
    /// Connections that are closed at a time, if so many can be, so that not each one waits for a turn.
    [[nodiscard]] std::size_t roomWanted() const;

private:
    static void onError(evconnlistener *listener, void *server);

    evhttp *m_server;
    evhttp_bound_socket *m_socket = nullptr;
    std::function<void()> m_onAcceptFailed;
    std::size_t m_maxConnections;
    Order m_order;
    bool m_isPaused = false;
};

} // namespace currantreel

#endif
