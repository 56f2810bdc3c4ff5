#include "ServerRunChecks.h"

#include "../Forward/ForwardTiming.h"
#include <arpa/inet.h>
#include <cerrno>

namespace currantreel {

/// A check in progress, or a completed one that is not deleted yet.
struct ServerRunChecks::Check
{
    ServerRunChecks *owner = nullptr;
    ServerRunId run;
    BuffereventHandle connection;
    EventHandle timer;
    bool isCompleted = false;
};

ServerRunChecks::ServerRunChecks(event_base *base, Callback onChecked)
    : m_base(base), m_onChecked(std::move(onChecked))
{
}

ServerRunChecks::~ServerRunChecks() = default;

void ServerRunChecks::start(const CheckServerRun &check)
{
    Check &started = *m_checks.emplace_back(std::make_unique<Check>());
    started.owner = this;
    started.run = check.run;
    started.timer.reset(evtimer_new(m_base, &ServerRunChecks::onTimeout, &started));
    const timeval timeout = toTimeval(timing::serverRunCheckTimeout);
    evtimer_add(started.timer.get(), &timeout);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(check.address.port);
    // Without a valid address the check ends with its timer.
    if (inet_pton(AF_INET, check.address.ip.c_str(), &address.sin_addr) != 1)
        return;
    started.connection.reset(
        bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(started.connection.get(), nullptr, nullptr, &ServerRunChecks::onEvent,
                      &started);
    // A connection that fails at once is reported by the deferred callback or by the timer.
    static_cast<void>(bufferevent_socket_connect(
        started.connection.get(), reinterpret_cast<sockaddr *>(&address), sizeof(address)));
}

void ServerRunChecks::onEvent(bufferevent * /*connection*/, short what, void *check)
{
    auto *checked = static_cast<Check *>(check);
    ServerRunState state = ServerRunState::Unknown;
    if (what & BEV_EVENT_CONNECTED)
        state = ServerRunState::Running;
    else if (EVUTIL_SOCKET_ERROR() == ECONNREFUSED)
        state = ServerRunState::Ended;
    checked->owner->complete(*checked, state);
}

void ServerRunChecks::onTimeout(evutil_socket_t /*descriptor*/, short /*what*/, void *check)
{
    auto *checked = static_cast<Check *>(check);
    checked->owner->complete(*checked, ServerRunState::Unknown);
}

void ServerRunChecks::complete(Check &check, ServerRunState state)
{
    if (check.isCompleted)
        return;
    check.isCompleted = true;
    m_onChecked(check.run, state);
}

void ServerRunChecks::sweep()
{
    std::erase_if(m_checks, [](const auto &check) { return check->isCompleted; });
}

} // namespace currantreel
