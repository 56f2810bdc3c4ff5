#ifndef CURRANTREEL_WORLD_HOSTENTRY_H
#define CURRANTREEL_WORLD_HOSTENTRY_H

#include "../Core/Id.h"
#include "../Settings/Address.h"
#include <cstdint>
#include <string>

namespace currantreel {

/// State of a host or backend server in the platform's list.
enum class Liveness : std::uint8_t { Live, Leaving };

/// One host of ours in the platform's list.
struct HostEntry
{
    HostId id;
    std::string name;
    FailureDomainId failureDomain;
    Address callerAddress;
    Address peerAddress;
    Liveness liveness = Liveness::Live;
};

/// One backend server in the platform's list.
struct BackendServerEntry
{
    BackendServerId id;
    Liveness liveness = Liveness::Live;
};

} // namespace currantreel

#endif
