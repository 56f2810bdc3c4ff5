#ifndef CURRANTREEL_SHELL_HTTPINPUT_H
#define CURRANTREEL_SHELL_HTTPINPUT_H

#include "../Core/HttpHeader.h"
#include <event2/http.h>

namespace currantreel {

/// Whether requests with @p method usually have a body, which is stated even if it is empty. evhttp reads
/// a body for these methods only.
[[nodiscard]] inline bool mayHaveBody(evhttp_cmd_type method)
{
    return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
}

/// Headers that @p request has received: those of a caller's request, or of a server's answer.
[[nodiscard]] HttpHeaders inputHeaders(evhttp_request *request);

/// Reads from a caller's @p connection while its request is in progress, to notice at once that the caller
/// has closed it. Bytes of a next request stay in the buffer, of limited size, as evhttp would abort the
/// process on them.
void detectCloseInProgress(evhttp_connection *connection);

} // namespace currantreel

#endif
