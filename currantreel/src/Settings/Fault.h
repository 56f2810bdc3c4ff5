#ifndef CURRANTREEL_SETTINGS_FAULT_H
#define CURRANTREEL_SETTINGS_FAULT_H

#include "../Core/ResultCode.h"
#include <string>
#include <vector>

namespace currantreel {

/// Fault found in a TOML document.
struct Fault
{
    ResultCode code;
    std::string file;
    int line = 0; ///< Line of the fault, from 1; 0 if it concerns the document as a whole.
    std::string key; ///< Dotted path of the key.
    std::string message;
};

using FaultList = std::vector<Fault>;

/// Formats @p fault as one line: "file:line: key: message (code name)".
[[nodiscard]] std::string toText(const Fault &fault);

} // namespace currantreel

#endif
