#ifndef CURRANTREEL_MEMBERSHIP_MEMBERSHIPTIMING_H
#define CURRANTREEL_MEMBERSHIP_MEMBERSHIPTIMING_H

#include "../Core/Time.h"
#include <cstddef>

namespace currantreel::membership {

using namespace std::chrono_literals;

/// Time between two probes of neighbours in the own failure domain.
inline constexpr Duration neighbourProbeInterval = 300ms;
/// Time between two probes of hosts of any failure domain, and between two probes of dead hosts.
inline constexpr Duration memberProbeInterval = 1s;
/// Neighbours in the own failure domain that a host probes in turn.
inline constexpr std::size_t neighbourCount = 2;
/// Time after which an unanswered probe is resent once.
inline constexpr Duration resendTimeout = 120ms;
/// Time after which other hosts are asked to probe the target of an unanswered probe.
inline constexpr Duration directTimeout = 250ms;
/// Time after which a probe without a direct or indirect answer makes its target suspect.
inline constexpr Duration indirectTimeout = 600ms;
/// Number of hosts asked for an indirect probe.
inline constexpr std::size_t indirectProbeCount = 3;
/// Time from suspicion to death of a host of the own failure domain.
inline constexpr Duration suspicionPeriod = 1s;
/// Time from suspicion to death of a host of another failure domain.
inline constexpr Duration remoteSuspicionPeriod = 4s;
/// Time between two probes of a suspect host.
inline constexpr Duration suspectProbeInterval = 250ms;
/// Minimum time between two pushes of urgent updates.
inline constexpr Duration pushInterval = 100ms;
/// Number of hosts to which urgent updates are pushed at once.
inline constexpr std::size_t pushRecipients = 2;
/// A longer time between two steps is a pause of this process, during which answers may have been
/// missed: an expired probe is no evidence of a failure then.
inline constexpr Duration pauseThreshold = 400ms;
/// Time for which a dead or leaving host that no list names is remembered.
inline constexpr Duration memberRetention = 120s;
/// Time without deaths after which the present number of hosts, even a lower one, becomes the
/// reference for isolation.
inline constexpr Duration referenceSizePeriod = 300s;

/// Maximum number of other hosts in a view.
inline constexpr std::size_t maxMembers = 4096;
/// Maximum number of updates in one message.
inline constexpr std::size_t maxUpdatesPerMessage = 8;
/// Maximum number of introductions in one message.
inline constexpr std::size_t maxIntroductionsPerMessage = 2;
/// Maximum number of loads in one message; longer lists are sent in round-robin order.
inline constexpr std::size_t maxLoadsPerMessage = 2;
/// Time between two messages that carry loads within the failure domain.
inline constexpr Duration loadInterval = 300ms;
/// Time between two messages that carry the configuration's digest in addition to its version.
inline constexpr Duration digestInterval = 1s;

} // namespace currantreel::membership

#endif
