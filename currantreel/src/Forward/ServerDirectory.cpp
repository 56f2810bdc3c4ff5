#include "ServerDirectory.h"

#include <algorithm>

namespace currantreel {

namespace {

/// Requests beyond its slots that an engine is sent, as a share of the slots: they wait in the engine's
/// own queue, which knows its state best.
constexpr double engineQueueShare = 0.5;
/// The same for a plain service, whose queue is short.
constexpr double serviceQueueShare = 1.0;

} // namespace

void ServerDirectory::announce(TimePoint now, const ServerAnnouncement &server)
{
    const auto id = BackendServerId::ofName(server.instance);
    ForwardServer *known = m_servers.find(id);
    const bool isNewRun = known && known->announced.startedAt != server.startedAt;
    if (!known || isNewRun) {
        ForwardServer row;
        row.id = id;
        // Attempts at the earlier run are still counted down when they end.
        if (known)
            row.own = known->own;
        known = &m_servers.insert(std::move(row));
    }
    known->announced = server;
    known->coldUntil = now + server.coldLeft;
    configure(*known);
}

void ServerDirectory::remove(const std::string &instance)
{
    m_servers.remove(BackendServerId::ofName(instance));
}

void ServerDirectory::configure(const RouteConfiguration &configuration)
{
    m_services.clear();
    for (const ForwardService &service : configuration.services)
        m_services[service.id] = service;
    for (ForwardServer &server : m_servers)
        configure(server);
}

void ServerDirectory::configure(ForwardServer &server) const
{
    const auto found = m_services.find(server.announced.service);
    const bool isEngine = found != m_services.end() && found->second.engine.has_value();
    const double share = isEngine ? engineQueueShare : serviceQueueShare;
    const double slots = std::max<double>(server.announced.slots, 1.0);
    server.mostRequests = static_cast<std::uint32_t>(slots * (1.0 + share));
    server.memoryTokens = isEngine ? found->second.engine->memoryTokens : 0;
    server.cache.setCapacity(server.memoryTokens);
}

std::vector<ForwardServer *> ServerDirectory::usable(ServiceId service)
{
    std::vector<ForwardServer *> servers;
    for (ForwardServer &server : m_servers) {
        if (server.announced.service == service && !server.announced.isLeaving)
            servers.push_back(&server);
    }
    return servers;
}

void ServerDirectory::clearOthers()
{
    for (ForwardServer &server : m_servers)
        server.others = ServerLoad{};
}

} // namespace currantreel
