#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONWRITER_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONWRITER_H

#include "Configuration.h"
#include <string>
#include <string_view>

namespace currantreel {

/// @p text as a quoted and escaped TOML basic string.
[[nodiscard]] std::string quotedToml(std::string_view text);

/// Writes @p configuration as a document that parseConfiguration reads. The entries of each kind
/// are sorted by name, so that equal configurations give equal texts.
[[nodiscard]] std::string toDocument(const Configuration &configuration);

} // namespace currantreel

#endif
