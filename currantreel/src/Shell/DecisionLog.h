#ifndef CURRANTREEL_SHELL_DECISIONLOG_H
#define CURRANTREEL_SHELL_DECISIONLOG_H

#include "../Forward/ForwardMessages.h"
#include "../Log/Log.h"
#include "../Quarantine/SegmentQuarantine.h"
#include <string>

namespace currantreel {

/// Identifiers as they are written in log lines, in hexadecimal.
[[nodiscard]] std::string hexOf(std::uint64_t identifier);
[[nodiscard]] std::string hexOf(HostId host);

/// Logs a decision on a request.
void writeDecision(const Log &log, const DecisionRecord &decision);

/// Logs an attempt that ended without a complete answer.
void writeFailure(const Log &log, const FailureRecord &record);

/// Logs the result of a check of a server's run.
void writeServerRun(const Log &log, ServerRunId run, ServerRunState state);

/// Logs a changed belief about a prompt segment.
void writeQuarantine(const Log &log, const SegmentQuarantine::Change &change);

} // namespace currantreel

#endif
