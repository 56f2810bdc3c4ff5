#ifndef CURRANTREEL_SHELL_CALLERREQUEST_H
#define CURRANTREEL_SHELL_CALLERREQUEST_H

#include "../Core/Result.h"
#include "../World/Event.h"
#include <event2/http.h>
#include <string>

namespace currantreel {

/// Reads what the world needs from a caller's HTTP request.
/// @return the event without its identifier; RequestMalformed, RequestUnknownPath, RequestWrongMethod
/// or RequestBadDeadline.
[[nodiscard]] Result<RequestArrived> readCallerRequest(evhttp_request *request);

/// True for headers that concern one connection or this router, which are not passed on.
[[nodiscard]] bool isHopByHopHeader(const char *name);

} // namespace currantreel

#endif
