#ifndef CURRANTREEL_SHELL_CALLERREQUEST_H
#define CURRANTREEL_SHELL_CALLERREQUEST_H

#include "../Core/HttpHeader.h"
#include "../Core/Result.h"
#include "../World/Event.h"
#include <event2/http.h>
#include <string>

namespace currantreel {

/// Parses a caller's HTTP request.
/// @return the event without the request's identifier, or one of the errors RequestMalformed,
/// RequestUnknownPath, RequestWrongMethod and RequestBadDeadline.
[[nodiscard]] Result<RequestArrived> readCallerRequest(evhttp_request *request);

/// Headers of a caller's request without the hop-by-hop headers and those that are set for each attempt.
[[nodiscard]] HttpHeaders headersToForward(evhttp_request *request);

} // namespace currantreel

#endif
