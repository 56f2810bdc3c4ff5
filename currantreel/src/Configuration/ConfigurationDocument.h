#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONDOCUMENT_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONDOCUMENT_H

#include "../Settings/Fault.h"
#include "Configuration.h"
#include <string>
#include <string_view>
#include <variant>

namespace currantreel {

/// Highest schema level that this build understands.
inline constexpr std::int64_t supportedSchema = 1;

/// Checks a configuration document in TOML.
/// @param file name used in faults.
/// @return the configuration without version and digest, or every fault found.
[[nodiscard]] std::variant<Configuration, FaultList> parseConfiguration(std::string_view text,
                                                                        const std::string &file);

/// Digest of a published value, in hexadecimal.
[[nodiscard]] std::string digestOf(std::string_view text);

} // namespace currantreel

#endif
