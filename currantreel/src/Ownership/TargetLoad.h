#ifndef CURRANTREEL_OWNERSHIP_TARGETLOAD_H
#define CURRANTREEL_OWNERSHIP_TARGETLOAD_H

#include "../Admission/GrantMessages.h"
#include "../Configuration/Configuration.h"
#include <array>
#include <cstdint>

namespace currantreel {

/// Load of an owner, or of all owners of a failure domain together, for one target.
struct TargetLoad
{
    TargetId target;
    std::uint32_t slots = 0; ///< Slots of the servers that serve the target.
    std::uint32_t freeSlots = 0;
    std::array<std::uint32_t, tierCount> queued{}; ///< Waiting requests by tier.
};

/// Load of a failure domain for one target, as it is told to other failure domains.
struct DomainLoad
{
    FailureDomainId failureDomain;
    Duration age{}; ///< Since the owners told it.
    TargetLoad load;
};

} // namespace currantreel

#endif
