#ifndef CURRANTREEL_SHELL_OPERATORHTTPSERVER_H
#define CURRANTREEL_SHELL_OPERATORHTTPSERVER_H

#include "../Settings/HostSettings.h"
#include "../World/World.h"
#include "EventHandles.h"

namespace currantreel {

/// Serves operators on a port of its own: health, readiness, status, configuration and metrics.
class OperatorHttpServer
{
public:
    OperatorHttpServer(event_base *base, const HostSettings &settings, const World &world);

    /// Starts to listen. False if the address cannot be had.
    [[nodiscard]] bool listen();

private:
    static void onRequest(evhttp_request *request, void *self);
    void answer(evhttp_request *request);
    [[nodiscard]] std::string statusBody() const;
    [[nodiscard]] std::string configurationBody(bool isSummary) const;
    [[nodiscard]] std::string auditBody() const;
    [[nodiscard]] std::string metricsBody() const;

    const HostSettings *m_settings;
    const World *m_world;
    HttpServerHandle m_server;
};

} // namespace currantreel

#endif
