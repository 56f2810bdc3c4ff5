#include "CallerExchanges.h"

#include "HttpReply.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

/// @file
/// Replies to callers: finished and refused requests, idempotency keys and kept answers.

namespace currantreel {

namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;

std::string_view nameOf(KeyState state)
{
    switch (state) {
    case KeyState::Running:
        return "running";
    case KeyState::Completed:
        return "completed";
    case KeyState::Revoked:
        return "not_run";
    case KeyState::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

void CallerHttpServer::detachCaller(Exchange &exchange)
{
    evhttp_connection *connection = evhttp_request_get_connection(exchange.request);
    m_buffers->setCloseCallback(connection, nullptr, nullptr);
    m_backpressure.release(connection);
    m_buffers->endRequest(connection);
    exchange.request = nullptr;
}

void CallerHttpServer::finish(Exchange &exchange)
{
    const Attempt *attempt = find(exchange.relayedAttempt);
    if (!exchange.request || !attempt)
        return;
    evhttp_request *request = exchange.request;
    detachCaller(exchange);
    if (exchange.isStreaming) {
        evhttp_send_reply_end(request);
        return;
    }
    if (!attempt->isForwardedToHost)
        evhttp_add_header(evhttp_request_get_output_headers(request), "Currantreel-Outcome",
                          name(Outcome::Completed).data());
    sendReply(request, attempt->head.status, attempt->pending.get());
}

void CallerHttpServer::handle(const FinishReply &effect)
{
    if (Exchange *exchange = find(effect.request))
        finish(*exchange);
    close(effect.request);
}

void CallerHttpServer::handle(const CloseExchange &effect)
{
    close(effect.request);
}

void CallerHttpServer::close(RequestId id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    if (exchange->request)
        detachCaller(*exchange);
    eraseAttempts([id](const Attempt &attempt) { return attempt.request == id; });
    m_exchanges.erase(id);
}

void CallerHttpServer::handle(const RefuseRequest &effect)
{
    Exchange *exchange = find(effect.request);
    if (!exchange)
        return;
    if (evhttp_request *request = exchange->request) {
        const bool isStreaming = exchange->isStreaming;
        detachCaller(*exchange);
        if (isStreaming) {
            const BufferHandle chunk = makeBuffer();
            const std::string event =
                fmt::format("event: error\ndata: {}\n\n",
                            errorBody(effect.code, effect.outcome, effect.retryAfter));
            evbuffer_add(chunk.get(), event.data(), event.size());
            evhttp_send_reply_chunk(request, chunk.get());
            evhttp_send_reply_end(request);
        } else {
            sendError(request, effect.code, effect.outcome, effect.retryAfter);
        }
    }
    close(effect.request);
}

void CallerHttpServer::handle(const KeyIssued &effect)
{
    Exchange *exchange = find(effect.request);
    if (exchange && exchange->request) {
        evhttp_request *request = exchange->request;
        detachCaller(*exchange);
        sendReply(request, statusCreated, jsonType, nlohmann::json{ { "key", effect.key } }.dump());
    }
    close(effect.request);
}

void CallerHttpServer::handle(const KeyAssigned &effect)
{
    Exchange *exchange = find(effect.request);
    if (!exchange)
        return;
    exchange->isCaptured = true;
    if (exchange->request)
        evhttp_add_header(evhttp_request_get_output_headers(exchange->request), "Idempotency-Key",
                          effect.key.c_str());
}

void CallerHttpServer::handle(const KeyStateReported &effect)
{
    Exchange *exchange = find(effect.request);
    if (exchange && exchange->request) {
        evhttp_request *request = exchange->request;
        detachCaller(*exchange);
        const nlohmann::json body{ { "state", nameOf(effect.state) } };
        sendReply(request, statusOk, jsonType, body.dump());
    }
    close(effect.request);
}

void CallerHttpServer::handle(const StoreAnswer &effect)
{
    Exchange *exchange = find(effect.request);
    const Attempt *attempt = exchange ? find(exchange->relayedAttempt) : nullptr;
    if (!attempt)
        return;
    if (attempt->isEventStream && !exchange->isCaptured)
        return;
    CachedResponse response{ attempt->head.status, attempt->head.contentType, {} };
    if (attempt->isEventStream)
        response.body = std::move(exchange->capturedBody);
    else
        response.body = contentOf(attempt->pending.get());
    if (response.body.size() <= m_settings->limits.answerBytes)
        m_responseCache.store(effect.key, std::move(response));
}

void CallerHttpServer::handle(const ReplayAnswer &effect)
{
    Exchange *exchange = find(effect.request);
    if (exchange && exchange->request) {
        evhttp_request *request = exchange->request;
        detachCaller(*exchange);
        if (const CachedResponse *response = m_responseCache.find(effect.key)) {
            evkeyvalq *headers = evhttp_request_get_output_headers(request);
            evhttp_add_header(headers, "Currantreel-Outcome", name(Outcome::Completed).data());
            evhttp_add_header(headers, "Currantreel-Replayed", "true");
            sendReply(request, response->status, response->contentType, response->body);
        } else {
            sendError(request, ResultCode::KeyResultDropped, Outcome::Completed, {});
        }
    }
    close(effect.request);
}

void CallerHttpServer::handle(const DropAnswer &effect)
{
    m_responseCache.drop(effect.key);
}

} // namespace currantreel
