#ifndef CURRANTREEL_REPLAY_REPLAYORACLE_H
#define CURRANTREEL_REPLAY_REPLAYORACLE_H

#include "../Configuration/Configuration.h"
#include "Trace.h"
#include <vector>

namespace currantreel {

/// Tokens of answers in time which a scheduler reaches that knows every answer's length, every fault
/// and every slot of the fleet, and that nothing has to be told.
///
/// It holds one queue for all engines in order of deadline, starts on the engine that is soonest done
/// and only what it will complete in time, and never stops anything. Prompts count as cached.
[[nodiscard]] std::uint64_t oracleTokens(const Trace &trace, const Configuration &configuration,
                                         const std::vector<TraceArrival> &arrivals);

} // namespace currantreel

#endif
