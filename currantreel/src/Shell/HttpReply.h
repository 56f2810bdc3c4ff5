#ifndef CURRANTREEL_SHELL_HTTPREPLY_H
#define CURRANTREEL_SHELL_HTTPREPLY_H

#include "../Core/Outcome.h"
#include "../Core/ResultCode.h"
#include "../Core/Time.h"
#include <event2/http.h>
#include <string>
#include <string_view>

namespace currantreel {

inline constexpr std::string_view jsonType = "application/json";
inline constexpr std::string_view eventStreamType = "text/event-stream";

/// JSON error object for callers: code, name, outcome, message and retry_after in seconds.
/// @param detail message; the advice text of @p code if empty.
[[nodiscard]] std::string errorBody(ResultCode code, Outcome outcome, Duration retryAfter,
                                    std::string_view detail = "");

/// The bytes in @p buffer; valid until the buffer changes.
[[nodiscard]] std::string_view contentOf(evbuffer *buffer);

/// Sends a complete reply with the headers added so far. @p body is left out if a reply to this
/// method, or with this status, has none.
void sendReply(evhttp_request *request, int status, evbuffer *body);

/// Sends a complete reply with a body of type @p contentType, as above.
void sendReply(evhttp_request *request, int status, std::string_view contentType,
               std::string_view body);

/// Sends an error reply with the HTTP status of @p code and the body of errorBody().
void sendError(evhttp_request *request, ResultCode code, Outcome outcome, Duration retryAfter,
               std::string_view detail = "");

/// Frees @p request, whose connection is closing, if it was not answered: evhttp leaves such a request
/// to its user. Only to be called from the close callback of the connection; invalidates @p request.
void freeUnanswered(evhttp_request *request);

/// Value of the request's header @p name, or an empty string.
[[nodiscard]] std::string headerOf(evhttp_request *request, const char *name);

/// Path of the request's URI, without its query.
[[nodiscard]] std::string pathOf(evhttp_request *request);

/// Value of parameter @p name in the request's query, or an empty string.
[[nodiscard]] std::string queryOf(evhttp_request *request, const char *name);

} // namespace currantreel

#endif
