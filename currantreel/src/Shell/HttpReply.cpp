#include "HttpReply.h"

#include "../Core/HttpHeader.h"
#include "EventHandles.h"
#include <cmath>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace currantreel {

namespace {

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Frees the head of @p request but for what evhttp reads of it while it sends the reply. Otherwise heads of
/// requests that are refused stay in memory until their replies are written.
void freeHead(evhttp_request *request)
{
    evkeyvalq *headers = evhttp_request_get_input_headers(request);
    std::vector<HttpHeader> kept;
    for (const char *name : { "Connection", "Proxy-Connection" }) {
        if (const char *value = evhttp_find_header(headers, name))
            kept.push_back({ name, value });
    }
    evhttp_clear_headers(headers);
    for (const HttpHeader &header : kept)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
}

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/// Whether a reply to @p request has a body.
bool hasReplyBody(evhttp_request *request, int status)
{
    return evhttp_request_get_command(request) != EVHTTP_REQ_HEAD && status >= firstFinalStatus
           && status != statusNoContent && status != statusNotModified;
}

} // namespace

std::string errorBody(ResultCode code, Outcome outcome, Duration retryAfter,
                      std::string_view detail)
{
    nlohmann::json error;
    error["code"] = number(code);
    error["name"] = info(code).name;
    error["outcome"] = name(outcome);
    error["message"] = detail.empty() ? info(code).remedy : detail;
    if (retryAfter > Duration::zero())
        error["retry_after"] = toSeconds(retryAfter);
    return nlohmann::json{ { "error", error } }.dump(-1, ' ', false,
                                                     nlohmann::json::error_handler_t::replace);
}

void sendReply(evhttp_request *request, int status, evbuffer *body)
{
    freeHead(request);
    // evhttp would send the bytes after the head in any case.
    evhttp_send_reply(request, status, nullptr, hasReplyBody(request, status) ? body : nullptr);
}

void sendReply(evhttp_request *request, int status, std::string_view contentType,
               std::string_view body)
{
    const BufferHandle buffer = makeBuffer();
    evbuffer_add(buffer.get(), body.data(), body.size());
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_remove_header(headers, "Content-Type");
    evhttp_add_header(headers, "Content-Type", std::string(contentType).c_str());
    sendReply(request, status, buffer.get());
}

void sendError(evhttp_request *request, ResultCode code, Outcome outcome, Duration retryAfter,
               std::string_view detail)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Currantreel-Code", std::to_string(number(code)).c_str());
    evhttp_add_header(headers, "Currantreel-Outcome", std::string(name(outcome)).c_str());
    if (retryAfter > Duration::zero()) {
        const std::string seconds = std::to_string(std::lround(std::ceil(toSeconds(retryAfter))));
        evhttp_add_header(headers, "Retry-After", seconds.c_str());
    }
    sendReply(request, info(code).httpStatus, jsonType,
              errorBody(code, outcome, retryAfter, detail));
}

std::string_view contentOf(evbuffer *buffer)
{
    const std::size_t length = evbuffer_get_length(buffer);
    const unsigned char *bytes = length ? evbuffer_pullup(buffer, -1) : nullptr;
    return { reinterpret_cast<const char *>(bytes), length };
}

void freeUnanswered(evhttp_request *request)
{
    // evhttp frees the request itself as long as it belongs to the connection.
    if (request && !evhttp_request_get_connection(request))
        evhttp_request_free(request);
}

std::string headerOf(evhttp_request *request, const char *name)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value ? value : "";
}

std::string pathOf(evhttp_request *request)
{
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri ? evhttp_uri_get_path(uri) : nullptr;
    return path ? path : "";
}

std::string queryOf(evhttp_request *request, const char *name)
{
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = uri ? evhttp_uri_get_query(uri) : nullptr;
    if (!query)
        return "";
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(query, &parameters) != 0)
        return "";
    const char *value = evhttp_find_header(&parameters, name);
    std::string text = value ? value : "";
    evhttp_clear_headers(&parameters);
    return text;
}

} // namespace currantreel
