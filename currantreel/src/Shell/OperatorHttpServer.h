#ifndef CURRANTREEL_SHELL_OPERATORHTTPSERVER_H
#define CURRANTREEL_SHELL_OPERATORHTTPSERVER_H

#include "../Settings/HostSettings.h"
#include "../World/World.h"
#include "Callers/CallerBuffers.h"
#include "EventHandles.h"

namespace currantreel {

/// HTTP server for operators on a separate port: health, readiness, status, configuration, audit
/// trail and metrics.
class OperatorHttpServer
{
public:
    /// @param buffers bounds the connections; has to outlive this.
    OperatorHttpServer(event_base *base, const HostSettings &settings, CallerBuffers &buffers,
                       const World &world);

    /// Starts listening. Returns false if the address cannot be bound.
    [[nodiscard]] bool listen();

private:
    static void onRequest(evhttp_request *request, void *self);
    void reply(evhttp_request *request);
    [[nodiscard]] std::string statusBody() const;
    [[nodiscard]] std::string configurationBody(bool isSummary) const;
    [[nodiscard]] std::string auditBody() const;
    [[nodiscard]] std::string metricsBody() const;

    const HostSettings *m_settings;
    CallerBuffers *m_buffers;
    const World *m_world;
    HttpServerHandle m_server;
};

} // namespace currantreel

#endif
