#ifndef CURRANTREEL_SHELL_FORWARDOPERATORHTTPSERVER_H
#define CURRANTREEL_SHELL_FORWARDOPERATORHTTPSERVER_H

#include "../Forward/ForwardSystem.h"
#include "../Log/Log.h"
#include "../Settings/HostSettings.h"
#include "EventHandles.h"
#include <functional>

namespace currantreel {

/// Serves operators of a host that forwards published routes: readiness, status and metrics.
class ForwardOperatorHttpServer
{
public:
    ForwardOperatorHttpServer(event_base *base, const HostSettings &settings, const Log &log,
                              const ForwardSystem &system, std::function<bool()> isReady);

    /// Starts to listen. False if the address cannot be had.
    [[nodiscard]] bool listen();

private:
    static void onRequest(evhttp_request *request, void *self);
    void answer(evhttp_request *request);
    [[nodiscard]] std::string statusBody() const;
    [[nodiscard]] std::string metricsBody() const;

    const HostSettings *m_settings;
    const Log *m_log;
    const ForwardSystem *m_system;
    std::function<bool()> m_isReady;
    HttpServerHandle m_server;
};

} // namespace currantreel

#endif
