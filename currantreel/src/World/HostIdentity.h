#ifndef CURRANTREEL_WORLD_HOSTIDENTITY_H
#define CURRANTREEL_WORLD_HOSTIDENTITY_H

#include "../Core/Id.h"
#include <string>

namespace currantreel {

/// Identity of this host process; the incarnation differs after each restart.
struct HostIdentity
{
    HostId id;
    std::string name;
    FailureDomainId failureDomain;
    Incarnation incarnation;
};

} // namespace currantreel

#endif
