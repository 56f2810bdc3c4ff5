#ifndef CURRANTREEL_OWNERSHIP_OWNERSHIPTIMING_H
#define CURRANTREEL_OWNERSHIP_OWNERSHIPTIMING_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel::ownership {

using namespace std::chrono_literals;

/// Time for which a failure domain without hosts is left alone.
inline constexpr Duration domainTakeoverDelay = 5s;
/// Time after a takeover in which only a share is granted; as long as a lease.
inline constexpr Duration cautionPeriod = 3s;
/// Share of the slots granted during that time, in thousandths.
inline constexpr std::uint32_t cautionPermille = 500;
/// Age after which a load says nothing any more.
inline constexpr Duration loadValidity = 5s;

} // namespace currantreel::ownership

#endif
