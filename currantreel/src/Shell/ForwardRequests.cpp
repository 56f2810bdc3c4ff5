#include "ForwardExchanges.h"

#include "../../../platform/ForwardHeaders.h"
#include "../Forward/ForwardTiming.h"
#include "../Forward/RequestHead.h"
#include "HttpInput.h"
#include "HttpReply.h"
#include "SteadyNow.h"
#include <algorithm>
#include <vector>
#include <xxhash.h>

/// @file
/// Requests of callers: checks of their heads, and the exchanges that they begin.

namespace currantreel {

namespace {

/// Digest of the bytes in @p body, which are not moved together: that would take as much memory again.
std::uint64_t contentDigest(evbuffer *body, std::uint64_t seed)
{
    std::vector<evbuffer_iovec> parts(
        static_cast<std::size_t>(std::max(0, evbuffer_peek(body, -1, nullptr, nullptr, 0))));
    evbuffer_peek(body, -1, nullptr, parts.data(), static_cast<int>(parts.size()));
    const std::unique_ptr<XXH3_state_t, detail::EventDeleter<XXH3_freeState>> state(
        XXH3_createState());
    XXH3_64bits_reset_withSeed(state.get(), seed);
    for (const evbuffer_iovec &part : parts)
        XXH3_64bits_update(state.get(), part.iov_base, part.iov_len);
    return XXH3_64bits_digest(state.get());
}

/// Digest of the request's method, target and body.
std::uint64_t contentDigestOf(evhttp_request *request)
{
    const std::string_view target = evhttp_request_get_uri(request);
    const std::uint64_t digest =
        XXH3_64bits_withSeed(target.data(), target.size(),
                             static_cast<std::uint64_t>(evhttp_request_get_command(request)));
    return contentDigest(evhttp_request_get_input_buffer(request), digest);
}

} // namespace

void ForwardHttpServer::onRequest(evhttp_request *request, void *self)
{
    static_cast<ForwardHttpServer *>(self)->handleRequest(request);
}

void ForwardHttpServer::handleRequest(evhttp_request *request)
{
    evhttp_connection *connection = evhttp_request_get_connection(request);
    m_connections.release(connection);
    m_lastRequestAt = steadyNow();
    evhttp_request_set_on_complete_cb(request, &ForwardHttpServer::onReplySent, this);
    if (m_isRefusing) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
        sendError(request, ResultCode::Stopping, Outcome::NotRun, timing::defaultRetryAfter);
        return;
    }
    if (evhttp_request_get_command(request) == EVHTTP_REQ_CONNECT) {
        refuseHead(request, "method is not served");
        return;
    }
    const HttpHeaders headers = inputHeaders(request);
    RequestHead head;
    head.target = evhttp_request_get_uri(request);
    head.headers = headers;
    head.mayHaveBody = mayHaveBody(evhttp_request_get_command(request));
    if (const auto fault = findHeadFault(head)) {
        refuseHead(request, *fault);
        return;
    }
    evbuffer *body = evhttp_request_get_input_buffer(request);
    auto memory = m_buffers->requests().hold(memoryOfRequest(headers, evbuffer_get_length(body)));
    if (!memory) {
        refuseForMemory(request);
        return;
    }
    CallArrived arrival = platform::readCallerHeaders(headers);
    arrival.host = headerValue(headers, "Host");
    arrival.path = head.target;
    arrival.bytes = evbuffer_get_length(body);
    arrival.contentDigest = contentDigestOf(request);
    beginExchange(request, headers, std::move(arrival), std::move(*memory));
}

void ForwardHttpServer::refuseForMemory(evhttp_request *request)
{
    evbuffer *body = evhttp_request_get_input_buffer(request);
    evbuffer_drain(body, evbuffer_get_length(body));
    HttpHeaders retryHeaders;
    platform::addRetryAfter(retryHeaders, timing::defaultRetryAfter);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const HttpHeader &header : retryHeaders)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    sendReply(request, info(ResultCode::HostMemoryFull).httpStatus, jsonType,
              errorBody(ResultCode::HostMemoryFull, Outcome::NotRun, timing::defaultRetryAfter));
}

void ForwardHttpServer::refuseHead(evhttp_request *request, const std::string &fault)
{
    m_log->write(
        "request_refused",
        { { "code", std::to_string(number(ResultCode::RequestBadHead)) }, { "detail", fault } });
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    sendError(request, ResultCode::RequestBadHead, Outcome::NotRun, {}, fault);
}

std::string ForwardHttpServer::refusalForMemory()
{
    const std::string body =
        errorBody(ResultCode::HostMemoryFull, Outcome::NotRun, timing::defaultRetryAfter);
    HttpHeaders headers{ { "Content-Type", std::string(jsonType) },
                         { "Content-Length", std::to_string(body.size()) },
                         { "Connection", "close" } };
    platform::addRetryAfter(headers, timing::defaultRetryAfter);
    std::string text = "HTTP/1.1 " + std::to_string(info(ResultCode::HostMemoryFull).httpStatus)
                       + " Service Unavailable\r\n";
    for (const HttpHeader &header : headers)
        text += header.name + ": " + header.value + "\r\n";
    return text + "\r\n" + body;
}

void ForwardHttpServer::beginExchange(evhttp_request *request, const HttpHeaders &headers,
                                      CallArrived arrival, HeldMemory memory)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->server = this;
    exchange->id = RequestId{ m_nextRequest++ };
    exchange->callerId = arrival.callerId;
    exchange->request = request;
    exchange->method = evhttp_request_get_command(request);
    exchange->target = arrival.path;
    exchange->headers = platform::headersToForward(headers);
    exchange->lastEventId = platform::lastEventId(headers);
    exchange->body = makeBuffer();
    exchange->memory = std::move(memory);
    evbuffer_add_buffer(exchange->body.get(), evhttp_request_get_input_buffer(request));
    evhttp_connection *connection = evhttp_request_get_connection(request);
    m_buffers->setCloseCallback(connection, &ForwardHttpServer::onConnectionClosed, exchange.get());
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(connection), nullptr, nullptr);
    m_buffers->beginRequest(connection);
    detectCloseInProgress(connection);
    arrival.request = exchange->id;
    m_exchanges.emplace(exchange->id, std::move(exchange));
    m_system->onArrived(steadyNow(), arrival);
    m_applyEffects();
}

void ForwardHttpServer::onConnectionClosed(evhttp_connection *connection, void *exchange)
{
    auto *closed = static_cast<Exchange *>(exchange);
    ForwardHttpServer *server = closed->server;
    server->m_backpressure.release(connection);
    freeUnanswered(std::exchange(closed->request, nullptr));
    server->m_system->onCallerDisconnected(steadyNow(), closed->id);
    server->close(closed->id);
    server->m_applyEffects();
}

} // namespace currantreel
