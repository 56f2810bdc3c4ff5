#ifndef CURRANTREEL_FORWARD_MESSAGEFRAMING_H
#define CURRANTREEL_FORWARD_MESSAGEFRAMING_H

#include "../Core/HttpHeader.h"
#include <optional>
#include <string>

namespace currantreel {

/// Checks the headers of a request or an answer for anything that two readers may understand differently,
/// so that they would not agree on the message's end. Source: RFC 9112, sections 5 and 6.
/// @return a description of the fault, or nothing.
[[nodiscard]] std::optional<std::string> findFramingFault(const HttpHeaders &headers);

} // namespace currantreel

#endif
