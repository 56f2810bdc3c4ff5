#ifndef CURRANTREEL_FORWARD_REQUESTHEAD_H
#define CURRANTREEL_FORWARD_REQUESTHEAD_H

#include "../Core/HttpHeader.h"
#include <optional>
#include <string>

namespace currantreel {

/// Head of a caller's request as parsed by the HTTP library.
struct RequestHead
{
    std::string target; ///< Path and query.
    HttpHeaders headers;
    bool mayHaveBody = false; ///< The library accepts a body for the request's method.
};

/// Checks for anything that makes the end of the request ambiguous and so allows request smuggling.
/// Such a request is refused and its connection closed.
/// @return a description of the fault, or nothing.
[[nodiscard]] std::optional<std::string> findHeadFault(const RequestHead &head);

/// Returns @p headers without the hop-by-hop headers and those that the Connection header lists.
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers);

} // namespace currantreel

#endif
