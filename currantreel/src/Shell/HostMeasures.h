#ifndef CURRANTREEL_SHELL_HOSTMEASURES_H
#define CURRANTREEL_SHELL_HOSTMEASURES_H

#include "../Limits/HostBounds.h"

namespace currantreel {

/// What this machine lets the daemon use: as configured in @p limits, or less if the machine has less.
[[nodiscard]] HostResources measuredResources(const HostLimits &limits);

/// Bounds for this machine.
[[nodiscard]] inline HostBounds measuredBounds(const HostLimits &limits)
{
    return hostBounds(measuredResources(limits), limits);
}

} // namespace currantreel

#endif
