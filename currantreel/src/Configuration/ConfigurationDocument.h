#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONDOCUMENT_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONDOCUMENT_H

#include "../Settings/Fault.h"
#include "Configuration.h"
#include <string>
#include <string_view>
#include <variant>

namespace currantreel {

/// Highest schema level that this build supports.
inline constexpr std::int64_t supportedSchema = 1;

/// Parses and validates a configuration document in TOML.
/// @param file name of the document in reported faults.
/// @return the configuration without version and digest, or all faults found.
[[nodiscard]] std::variant<Configuration, FaultList> parseConfiguration(std::string_view text,
                                                                        const std::string &file);

/// Digest of a published value: its 128-bit XXH3 hash as 32 hexadecimal digits.
[[nodiscard]] std::string digestOf(std::string_view text);

} // namespace currantreel

#endif
