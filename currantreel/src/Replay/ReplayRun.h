#ifndef CURRANTREEL_REPLAY_REPLAYRUN_H
#define CURRANTREEL_REPLAY_REPLAYRUN_H

#include "../Configuration/Configuration.h"
#include "../Settings/Fault.h"
#include "ReplayReport.h"
#include "Trace.h"
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace currantreel {

/// Names of the policies that a trace can be run with; the production policy first.
[[nodiscard]] const std::vector<std::string_view> &replayPolicies();

/// Faults of @p trace against the configuration that it names: unknown classes, workspaces, models,
/// services, backend servers and hosts.
[[nodiscard]] FaultList checkTrace(const Trace &trace, const Configuration &configuration,
                                   const std::string &file);

/// Runs @p trace in virtual time. The same trace, policy and seed give the same report.
/// @pre checkTrace() found nothing; @p policy is one of replayPolicies().
[[nodiscard]] ReplayReport runReplay(const Trace &trace,
                                     const std::shared_ptr<const Configuration> &configuration,
                                     std::string_view policy, std::uint64_t seed);

} // namespace currantreel

#endif
