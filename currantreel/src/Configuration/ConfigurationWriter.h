#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONWRITER_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONWRITER_H

#include "Configuration.h"
#include <string>

namespace currantreel {

/// The document that declares @p configuration: every entry of a kind in the order of names, so that
/// equal configurations give equal texts. parseConfiguration reads it.
[[nodiscard]] std::string toDocument(const Configuration &configuration);

} // namespace currantreel

#endif
