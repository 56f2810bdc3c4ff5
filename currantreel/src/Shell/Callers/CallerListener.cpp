#include "CallerListener.h"

#include <algorithm>
#include <limits>
#include <sys/socket.h>

namespace currantreel {

namespace {

/// The system takes twice the size that is set, for what it keeps besides the bytes.
constexpr std::size_t receiveBufferFactor = 2;
/// Of the connections that may be open, this part is closed at a time.
constexpr std::size_t roomDivisor = 64;

/// Listeners by their servers: evhttp passes nothing else to a callback for errors.
std::unordered_map<void *, CallerListener *> &listenersOfServers()
{
    static std::unordered_map<void *, CallerListener *> listeners;
    return listeners;
}

} // namespace

CallerListener::CallerListener(evhttp *server, std::function<void()> onAcceptFailed)
    : m_server(server),
      m_onAcceptFailed(std::move(onAcceptFailed)),
      m_maxConnections(std::numeric_limits<std::size_t>::max())
{
    listenersOfServers()[server] = this;
}

CallerListener::~CallerListener()
{
    listenersOfServers().erase(m_server);
}

evhttp_bound_socket *CallerListener::listen(const Address &address, std::size_t maxConnections,
                                            std::size_t receiveBytes)
{
    m_maxConnections = maxConnections;
    m_socket = evhttp_bind_socket_with_handle(m_server, address.ip.c_str(), address.port);
    if (!m_socket)
        return nullptr;
    // Accepted connections have it from their first packet on.
    const auto bytes = static_cast<int>(receiveBytes / receiveBufferFactor);
    setsockopt(evhttp_bound_socket_get_fd(m_socket), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(m_socket),
                                &CallerListener::onError);
    return m_socket;
}

void CallerListener::close()
{
    if (m_socket)
        evhttp_del_accept_socket(m_server, m_socket);
    m_socket = nullptr;
}

void CallerListener::setAccepting(bool isAccepting)
{
    m_isPaused = !isAccepting;
    if (!m_socket)
        return;
    evconnlistener *listener = evhttp_bound_socket_get_listener(m_socket);
    if (isAccepting)
        evconnlistener_enable(listener);
    else
        evconnlistener_disable(listener);
}

std::size_t CallerListener::roomWanted() const
{
    return std::max<std::size_t>(1, m_maxConnections / roomDivisor);
}

void CallerListener::onError(evconnlistener * /*listener*/, void *server)
{
    const auto found = listenersOfServers().find(server);
    if (found == listenersOfServers().end())
        return;
    found->second->setAccepting(false);
    found->second->m_onAcceptFailed();
}

} // namespace currantreel
