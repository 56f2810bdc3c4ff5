#ifndef CURRANTREEL_SHELL_SERVERRUNCHECKS_H
#define CURRANTREEL_SHELL_SERVERRUNCHECKS_H

#include "../Forward/ForwardMessages.h"
#include "EventHandles.h"
#include <functional>
#include <memory>
#include <vector>

namespace currantreel {

/// Finds out whether runs of backend servers have ended, by connections to their addresses.
class ServerRunChecks
{
public:
    using Callback = std::function<void(ServerRunId run, ServerRunState state)>;

    ServerRunChecks(event_base *base, Callback onChecked);
    ~ServerRunChecks();
    ServerRunChecks(const ServerRunChecks &) = delete;
    ServerRunChecks &operator=(const ServerRunChecks &) = delete;

    /// Starts a check. The callback is called once, never before this returns.
    void start(const CheckServerRun &check);

    /// Deletes completed checks. Must not be called from a callback of a check.
    void sweep();

private:
    struct Check;

    static void onEvent(bufferevent *connection, short what, void *check);
    static void onTimeout(evutil_socket_t descriptor, short what, void *check);
    void complete(Check &check, ServerRunState state);

    event_base *m_base;
    Callback m_onChecked;
    std::vector<std::unique_ptr<Check>> m_checks;
};

} // namespace currantreel

#endif
