#ifndef CURRANTREEL_ROUTES_ROUTETABLE_H
#define CURRANTREEL_ROUTES_ROUTETABLE_H

#include "RouteConfiguration.h"
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace currantreel {

/// The configuration in force, indexed for the lookup of requests. Its version never decreases.
class RouteTable
{
public:
    /// Replaces the configuration if the version of @p configuration is higher, or the same in a
    /// later era of the store. Returns whether it is.
    bool update(std::shared_ptr<const RouteConfiguration> configuration);

    /// Route of @p host with the longest prefix of @p path, or nullptr.
    /// @param host host name as sent by the caller; a port is ignored.
    /// @param path path with or without a query.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /// Workspace that holds @p key, or nullptr.
    [[nodiscard]] const KeyedWorkspace *workspace(const std::string &key) const;

    /// Name of the workspace with identifier @p id; empty if the configuration has none.
    [[nodiscard]] std::string_view workspaceName(WorkspaceId id) const;

    /// Selects a service for one request at random by weight.
    /// @param draw uniformly distributed random number.
    [[nodiscard]] static ServiceId service(const Route &route, std::uint64_t draw);

    [[nodiscard]] const std::shared_ptr<const RouteConfiguration> &configuration() const
    {
        return m_configuration;
    }
    [[nodiscard]] std::uint64_t version() const { return m_configuration->version; }

private:
    std::shared_ptr<const RouteConfiguration> m_configuration =
        std::make_shared<RouteConfiguration>();
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
};

} // namespace currantreel

#endif
