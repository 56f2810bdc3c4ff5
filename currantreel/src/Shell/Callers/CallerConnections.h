#ifndef CURRANTREEL_SHELL_CALLERCONNECTIONS_H
#define CURRANTREEL_SHELL_CALLERCONNECTIONS_H

#include "CallerBuffers.h"
#include <unordered_map>

namespace currantreel {

/// Connections of callers that are used between two requests or after a reply has begun.
///
/// evhttp owns the connections of callers and frees one as soon as the caller closes or resets it,
/// also between two events of the same turn of the loop. So no pointer to one may be stored except
/// here, or in an exchange whose close callback clears it: a connection that evhttp frees leaves this
/// collection at once.
class CallerConnections
{
public:
    enum class State : std::uint8_t {
        Sending, ///< The reply is not completely sent.
        Idle, ///< Waits for a next request.
        Aborted, ///< Is to be closed, since its reply cannot be completed.
    };

    /// @param buffers passes on the closing of connections; has to outlive this.
    explicit CallerConnections(CallerBuffers &buffers) : m_buffers(&buffers) { }
    ~CallerConnections();
    CallerConnections(const CallerConnections &) = delete;
    CallerConnections &operator=(const CallerConnections &) = delete;

    /// Tracks @p connection, in @p state from now on. Replaces its close callback.
    void track(evhttp_connection *connection, State state);

    /// No longer tracks @p connection, and clears its close callback.
    void release(evhttp_connection *connection);

    /// Closes the connections in @p state. Must not be called from a callback of a connection.
    void close(State state);

    [[nodiscard]] bool has(State state) const;

private:
    static void onClosed(evhttp_connection *connection, void *self);

    CallerBuffers *m_buffers;
    std::unordered_map<evhttp_connection *, State> m_connections;
};

} // namespace currantreel

#endif
