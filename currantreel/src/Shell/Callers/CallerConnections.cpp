#include "CallerConnections.h"

#include <algorithm>
#include <vector>

namespace currantreel {

CallerConnections::~CallerConnections()
{
    for (const auto &[connection, state] : m_connections)
        m_buffers->setCloseCallback(connection, nullptr, nullptr);
}

void CallerConnections::track(evhttp_connection *connection, State state)
{
    m_connections[connection] = state;
    m_buffers->setCloseCallback(connection, &CallerConnections::onClosed, this);
}

void CallerConnections::release(evhttp_connection *connection)
{
    m_connections.erase(connection);
    m_buffers->setCloseCallback(connection, nullptr, nullptr);
}

void CallerConnections::close(State state)
{
    std::vector<evhttp_connection *> closing;
    for (const auto &[connection, current] : m_connections) {
        if (current == state)
            closing.push_back(connection);
    }
    for (evhttp_connection *connection : closing) {
        release(connection);
        evhttp_connection_free(connection);
    }
}

bool CallerConnections::has(State state) const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [state](const auto &entry) { return entry.second == state; });
}

void CallerConnections::onClosed(evhttp_connection *connection, void *self)
{
    static_cast<CallerConnections *>(self)->m_connections.erase(connection);
}

} // namespace currantreel
