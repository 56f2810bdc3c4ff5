#ifndef CURRANTREEL_WORLD_HOSTIDENTITY_H
#define CURRANTREEL_WORLD_HOSTIDENTITY_H

#include "../Core/Id.h"
#include <string>

namespace currantreel {

/// Who this host is.
struct HostIdentity
{
    HostId id;
    std::string name;
    FailureDomainId failureDomain;
    Incarnation incarnation;
};

} // namespace currantreel

#endif
