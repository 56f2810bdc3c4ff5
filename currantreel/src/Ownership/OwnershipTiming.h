#ifndef CURRANTREEL_OWNERSHIP_OWNERSHIPTIMING_H
#define CURRANTREEL_OWNERSHIP_OWNERSHIPTIMING_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel::ownership {

using namespace std::chrono_literals;

/// Time before the servers of a failure domain without live hosts are taken over.
inline constexpr Duration domainTakeoverDelay = 5s;
/// Time after a takeover during which only a share of the slots is granted; as long as a lease.
inline constexpr Duration reducedGrantPeriod = 3s;
/// Share of the slots granted during reducedGrantPeriod, in thousandths.
inline constexpr std::uint32_t reducedGrantPermille = 500;
/// Age after which a reported load is ignored.
inline constexpr Duration loadValidity = 5s;

} // namespace currantreel::ownership

#endif
