#ifndef CURRANTREEL_REPLAY_REPLAYORACLE_H
#define CURRANTREEL_REPLAY_REPLAYORACLE_H

#include "../Configuration/Configuration.h"
#include "Trace.h"
#include <vector>

namespace currantreel {

/// Number of answer tokens that an omniscient scheduler delivers in time: it knows every answer
/// length, every fault and every slot of the fleet, without any messages.
///
/// It keeps one queue for all engines in order of deadline, starts only requests that will complete
/// in time, each on the engine that completes it first, and cancels none. Prompts count as cached.
[[nodiscard]] std::uint64_t oracleTokens(const Trace &trace, const Configuration &configuration,
                                         const std::vector<TraceArrival> &arrivals);

} // namespace currantreel

#endif
