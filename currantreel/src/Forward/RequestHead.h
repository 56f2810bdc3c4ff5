#ifndef CURRANTREEL_FORWARD_REQUESTHEAD_H
#define CURRANTREEL_FORWARD_REQUESTHEAD_H

#include "../Core/HttpHeader.h"
#include <optional>
#include <string>

namespace currantreel {

/// Head of a caller's request as the HTTP library read it.
struct RequestHead
{
    std::string target; ///< Path with query.
    HttpHeaders headers;
    bool mayHaveBody = false; ///< The library reads a body for the request's method.
};

/// Looks for what makes the end of a request ambiguous, so that the next bytes on the connection could
/// be taken for another request. Such a request is refused and its connection closed.
/// @return what is wrong, or nothing.
[[nodiscard]] std::optional<std::string> findHeadFault(const RequestHead &head);

/// Headers of @p headers that concern more than one connection: hop-by-hop ones, and those that the
/// Connection header names, are left out.
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers);

} // namespace currantreel

#endif
