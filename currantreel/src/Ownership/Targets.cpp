#include "Targets.h"

namespace currantreel {

namespace {

constexpr std::uint64_t serviceTargetSalt = 0x5EBF1CE5ULL;

} // namespace

TargetId targetOfModel(ModelId model)
{
    return TargetId{ model.value };
}

TargetId targetOfService(ServiceId service)
{
    return TargetId{ service.value ^ serviceTargetSalt };
}

std::vector<TargetId> targetsOf(const BackendServer &server)
{
    if (server.kind == BackendKind::Service)
        return { targetOfService(server.service) };
    std::vector<TargetId> targets;
    targets.reserve(server.models.size());
    for (const ModelId model : server.models)
        targets.push_back(targetOfModel(model));
    return targets;
}

} // namespace currantreel
