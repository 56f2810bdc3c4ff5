#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONWRITER_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONWRITER_H

#include "Configuration.h"
#include <string>
#include <string_view>

namespace currantreel {

/// @p text as a basic string of TOML.
[[nodiscard]] std::string quotedToml(std::string_view text);

/// The document that declares @p configuration: every entry of a kind in the order of names, so that
/// equal configurations give equal texts. parseConfiguration reads it.
[[nodiscard]] std::string toDocument(const Configuration &configuration);

} // namespace currantreel

#endif
