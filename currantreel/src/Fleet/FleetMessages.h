#ifndef CURRANTREEL_FLEET_FLEETMESSAGES_H
#define CURRANTREEL_FLEET_FLEETMESSAGES_H

#include "../Core/Id.h"
#include "../Forward/EngineGroups.h"
#include "../Forward/PublishedState.h"
#include "../Forward/ServerLoad.h"
#include "../Settings/Address.h"
#include <cstdint>
#include <vector>

namespace currantreel {

/// Requests of the sender at one backend server.
struct FleetLoad
{
    BackendServerId server;
    ServerLoad load;
};

/// Recent work of the sender's requests at the engines of a service.
struct FleetDemand
{
    ServiceId service;
    EngineDemand demand;
};

/// What a host tells its peers of itself, some times a second.
struct FleetNews
{
    Address peers; ///< Where other hosts reach the sender.
    std::uint64_t revision = 0; ///< Highest revision of the published state that it knows.
    bool readsPlatform = false; ///< The platform answers it.
    bool isLeaving = false; ///< It stops by plan.
    std::vector<Address> hosts; ///< Some other hosts that it heard from lately.
    std::vector<FleetLoad> loads;
    std::vector<FleetDemand> demands;
};

/// Published items that the receiver seems not to know.
struct PublishedNews
{
    std::vector<PublishedItem> items;
};

} // namespace currantreel

#endif
