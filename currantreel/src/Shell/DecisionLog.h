#ifndef CURRANTREEL_SHELL_DECISIONLOG_H
#define CURRANTREEL_SHELL_DECISIONLOG_H

#include "../Forward/ForwardMessages.h"
#include "../Log/Log.h"
#include <string>

namespace currantreel {

/// Identifier of @p host as it is written in log lines, in hexadecimal.
[[nodiscard]] std::string hexOf(HostId host);

/// Logs a decision on a request.
void writeDecision(const Log &log, const DecisionRecord &decision);

/// Logs an attempt that ended without a complete answer.
void writeFailure(const Log &log, const FailureRecord &record);

} // namespace currantreel

#endif
