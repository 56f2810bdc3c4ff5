#ifndef CURRANTREEL_SHELL_DECISIONLOG_H
#define CURRANTREEL_SHELL_DECISIONLOG_H

#include "../Forward/ForwardMessages.h"
#include "../Log/Log.h"
#include <string>

namespace currantreel {

/// @p host as log lines name it.
[[nodiscard]] std::string hexOf(HostId host);

/// Writes the log line of a decision on a request.
void writeDecision(const Log &log, const DecisionRecord &note);

} // namespace currantreel

#endif
