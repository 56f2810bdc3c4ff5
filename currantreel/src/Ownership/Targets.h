#ifndef CURRANTREEL_OWNERSHIP_TARGETS_H
#define CURRANTREEL_OWNERSHIP_TARGETS_H

#include "../Admission/GrantMessages.h"
#include "../Configuration/Configuration.h"
#include <vector>

namespace currantreel {

/// Target of requests for @p model.
[[nodiscard]] TargetId targetOfModel(ModelId model);
/// Target of requests for @p service.
[[nodiscard]] TargetId targetOfService(ServiceId service);
/// Targets that @p server serves: its service, or each of its models.
[[nodiscard]] std::vector<TargetId> targetsOf(const BackendServer &server);

} // namespace currantreel

#endif
