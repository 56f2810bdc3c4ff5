#ifndef CURRANTREEL_SHELL_CALLERREQUEST_H
#define CURRANTREEL_SHELL_CALLERREQUEST_H

#include "../Core/Result.h"
#include "../World/Event.h"
#include <event2/http.h>
#include <string>

namespace currantreel {

/// Parses a caller's HTTP request.
/// @return the event without the request's identifier, or one of the errors RequestMalformed,
/// RequestUnknownPath, RequestWrongMethod and RequestBadDeadline.
[[nodiscard]] Result<RequestArrived> readCallerRequest(evhttp_request *request);

/// True for hop-by-hop headers and those that the router sets itself, which are not forwarded.
[[nodiscard]] bool isHopByHopHeader(const char *name);

} // namespace currantreel

#endif
