#ifndef CURRANTREEL_OWNERSHIP_TARGETS_H
#define CURRANTREEL_OWNERSHIP_TARGETS_H

#include "../Admission/GrantMessages.h"
#include "../Configuration/Configuration.h"
#include <vector>

namespace currantreel {

/// Identifier of what model @p name needs.
[[nodiscard]] TargetId targetOfModel(ModelId model);
/// Identifier of what service @p name needs.
[[nodiscard]] TargetId targetOfService(ServiceId service);
/// Everything that @p server serves.
[[nodiscard]] std::vector<TargetId> targetsOf(const BackendServer &server);

} // namespace currantreel

#endif
