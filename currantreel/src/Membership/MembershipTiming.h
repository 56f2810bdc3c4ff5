#ifndef CURRANTREEL_MEMBERSHIP_MEMBERSHIPTIMING_H
#define CURRANTREEL_MEMBERSHIP_MEMBERSHIPTIMING_H

#include "../Core/Time.h"
#include <cstddef>

namespace currantreel::membership {

using namespace std::chrono_literals;

/// Time between two probes of neighbours in the own failure domain.
inline constexpr Duration neighbourInterval = 300ms;
/// Time between two probes of hosts anywhere, and of dead ones.
inline constexpr Duration memberInterval = 1s;
/// Neighbours that a host watches in its failure domain.
inline constexpr std::size_t neighbourCount = 2;
/// Time after which a probe without an answer is sent once more.
inline constexpr Duration repeatTimeout = 120ms;
/// Time after which a probe without an answer is tried through others.
inline constexpr Duration directTimeout = 250ms;
/// Time after which a probe without any answer makes its target suspect.
inline constexpr Duration indirectTimeout = 600ms;
/// Hosts asked for an indirect probe.
inline constexpr std::size_t indirectCount = 3;
/// Time from suspicion to death, own failure domain.
inline constexpr Duration suspicionPeriod = 1s;
/// Time from suspicion to death, other failure domains.
inline constexpr Duration remoteSuspicionPeriod = 4s;
/// Time between two probes of a suspect host.
inline constexpr Duration suspectInterval = 250ms;
/// Shortest time between two pushes of urgent news.
inline constexpr Duration pushInterval = 100ms;
/// Hosts that urgent news is pushed to at once.
inline constexpr std::size_t pushCount = 2;
/// A longer time between two steps is a pause of this process: what it waited for proves nothing.
inline constexpr Duration pauseThreshold = 400ms;
/// Time for which a dead host that no list names is remembered.
inline constexpr Duration forgetAfter = 120s;
/// Time without deaths after which a smaller view counts as the whole.
inline constexpr Duration isolationMemory = 300s;

/// Most hosts in a view.
inline constexpr std::size_t memberCapacity = 4096;
/// Most news in one message.
inline constexpr std::size_t newsPerMessage = 8;
/// Most introductions in one message.
inline constexpr std::size_t introductionsPerMessage = 2;
/// Most loads in one message; longer lists take turns.
inline constexpr std::size_t loadsPerMessage = 2;
/// Time between two messages that carry loads within the failure domain.
inline constexpr Duration loadInterval = 300ms;
/// Time between two messages that carry the digest of the configuration besides its version.
inline constexpr Duration digestInterval = 1s;

} // namespace currantreel::membership

#endif
