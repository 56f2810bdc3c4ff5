#ifndef CURRANTREEL_FORWARD_SERVERDIRECTORY_H
#define CURRANTREEL_FORWARD_SERVERDIRECTORY_H

#include "../Core/Table.h"
#include "../Settings/Address.h"
#include "DomainHealth.h"
#include "PromptCache.h"
#include "RouteConfiguration.h"
#include "ServerHealth.h"
#include "ServerLoad.h"
#include <map>
#include <string>
#include <vector>

namespace currantreel {

/// A backend server as it announces itself.
struct ServerAnnouncement
{
    std::string instance; ///< Name of this run of the server.
    ServiceId service;
    Address address;
    FailureDomainId failureDomain;
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool isLeaving = false;
    Duration coldLeft{}; ///< How much longer it stays slow after its start.
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; 0 if it states none.
};

/// One backend server with what this host knows of its work.
struct ForwardServer
{
    BackendServerId id;
    ServerAnnouncement announced;
    TimePoint coldUntil;
    ServerLoad own; ///< Requests of this host.
    ServerLoad others; ///< Requests of other hosts that this host placed as their owner.
    PromptCache cache;
    ServerHealth health;
    std::uint64_t memoryTokens = 0; ///< 0: no engine.
    std::uint32_t mostRequests = 0; ///< Most requests of all hosts that it is sent at once.

    [[nodiscard]] ServerLoad load() const
    {
        ServerLoad sum = own;
        sum.add(others);
        return sum;
    }
};

/// The backend servers that may be used, by service.
class ServerDirectory
{
public:
    /// Takes over what a server announces. A new run of the same name starts with nothing.
    void announce(TimePoint now, const ServerAnnouncement &server);

    /// The server left or was lost.
    void remove(const std::string &instance);

    /// Takes limits of services from @p configuration.
    void configure(const RouteConfiguration &configuration);

    [[nodiscard]] ForwardServer *find(BackendServerId id) { return m_servers.find(id); }
    [[nodiscard]] const ForwardServer *find(BackendServerId id) const { return m_servers.find(id); }

    /// Servers of @p service that take new requests, in an order that is the same on all hosts and in
    /// which failure domains take turns. Valid until the next change of the directory.
    [[nodiscard]] const std::vector<ForwardServer *> &usable(ServiceId service);

    /// Parts into which the servers of @p service are divided among owners.
    [[nodiscard]] std::size_t partitionCount(ServiceId service);

    /// Usable servers of @p service in part @p part of @p parts, in the order of usable().
    [[nodiscard]] std::vector<ForwardServer *> partition(ServiceId service, std::size_t partition,
                                                         std::size_t partitionCount);

    /// Notes that @p server could not be connected to.
    void noteUnreachable(ForwardServer &server, TimePoint now);
    /// Notes that @p server answered.
    void noteAnswer(const ForwardServer &server);
    /// Whether @p server is to be avoided while others can take a request.
    [[nodiscard]] bool isAvoided(const ForwardServer &server, TimePoint now) const;

    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    [[nodiscard]] const Table<ForwardServer> &servers() const { return m_servers; }

private:
    void configure(ForwardServer &server) const;
    void rebuildUsable();

    Table<ForwardServer> m_servers;
    std::map<ServiceId, std::vector<ForwardServer *>> m_usable;
    bool m_isUsableStale = true;
    std::map<ServiceId, ForwardService> m_services;
    std::map<FailureDomainId, DomainHealth> m_domains;
};

} // namespace currantreel

#endif
