#include "RouteTable.h"

#include <algorithm>
#include <utility>

namespace currantreel {

bool RouteTable::update(std::shared_ptr<const RouteConfiguration> configuration)
{
    // In a later era of the store, the operator may have written a version that was lost again.
    const auto position = [](const RouteConfiguration &one) {
        return std::pair(one.version, one.era);
    };
    if (position(*configuration) <= position(*m_configuration))
        return false;
    m_configuration = std::move(configuration);
    m_byHost.clear();
    for (const Route &route : m_configuration->routes)
        m_byHost[route.host].push_back(&route);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    return true;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string name(host.substr(0, host.find(':')));
    const auto found = m_byHost.find(name);
    if (found == m_byHost.end())
        return nullptr;
    for (const Route *route : found->second) {
        if (path.compare(0, route->pathPrefix.size(), route->pathPrefix) == 0)
            return route;
    }
    return nullptr;
}

const KeyedWorkspace *RouteTable::workspace(const std::string &key) const
{
    const auto found = m_configuration->workspaceOfKey.find(key);
    if (found == m_configuration->workspaceOfKey.end())
        return nullptr;
    return &m_configuration->workspaces[found->second];
}

std::string_view RouteTable::workspaceName(WorkspaceId id) const
{
    for (const KeyedWorkspace &workspace : m_configuration->workspaces) {
        if (WorkspaceId::ofName(workspace.name) == id)
            return workspace.name;
    }
    return {};
}

ServiceId RouteTable::service(const Route &route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.shares)
        total += share.weight;
    if (total == 0)
        return {};
    std::uint64_t remaining = draw % total;
    for (const ServiceShare &share : route.shares) {
        if (remaining < share.weight)
            return share.service;
        remaining -= share.weight;
    }
    return {};
}

} // namespace currantreel
