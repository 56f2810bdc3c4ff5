#ifndef CURRANTREEL_WORLD_COUNTERS_H
#define CURRANTREEL_WORLD_COUNTERS_H

#include "../Configuration/Configuration.h"
#include <array>
#include <cstdint>

namespace currantreel {

/// Counts of one request class since the process started.
struct ClassCounters
{
    ClassId id;
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t inTarget = 0; ///< Completed with first token and complete answer in time.
    std::uint64_t refused = 0; ///< Ended with outcome not_run.
    std::uint64_t unknown = 0; ///< Ended with outcome unknown.
    std::uint64_t abandoned = 0; ///< The caller disconnected.
};

/// Counts of one host since the process started.
struct Counters
{
    std::uint64_t attempts = 0;
    std::uint64_t grants = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0; ///< Second attempts started in parallel to a slow one.
    std::uint64_t cancelledTokens = 0; ///< Tokens of cancelled or failed attempts.
    std::uint64_t duplicatedTokens = 0; ///< Tokens of the slower of two attempts.
    std::uint64_t lateTokens = 0; ///< Tokens of answers that missed a target.
    std::uint64_t usefulTokens = 0; ///< Tokens of answers in time.
    std::array<std::uint64_t, tierCount> shed{};
    std::uint64_t controlBytesSent = 0; ///< Estimated bytes of membership messages.
    std::uint64_t controlBytesReceived = 0;
    std::uint64_t reconnects = 0; ///< New connections to unresponsive hosts.
    Table<ClassCounters> classes;
};

} // namespace currantreel

#endif
