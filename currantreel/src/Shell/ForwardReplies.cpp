#include "ForwardExchanges.h"

#include "../Forward/RefusalStatus.h"
#include "../Forward/RequestHead.h"
#include "HttpReply.h"

/// @file
/// Replies to callers: relayed responses, refusals and aborted replies.

namespace currantreel {

void ForwardHttpServer::beginReply(Exchange &exchange, const Attempt &attempt)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(exchange.request);
    for (const HttpHeader &header : endToEndHeaders(attempt.head.headers)) {
        if (!isSameName(header.name, "Content-Length"))
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (m_isStopping)
        evhttp_add_header(headers, "Connection", "close");
}

void ForwardHttpServer::handle(const RelayForward &effect)
{
    Exchange *exchange = find(effect.request);
    Attempt *attempt = find(effect.attempt);
    if (!exchange || !attempt || !exchange->request)
        return;
    exchange->relayedAttempt = effect.attempt;
    if (!attempt->isEventStream)
        return;
    if (!exchange->hasReplyBegun) {
        exchange->hasReplyBegun = true;
        beginReply(*exchange, *attempt);
        evhttp_send_reply_start(exchange->request, attempt->head.status, nullptr);
    }
    relayEvents(*exchange, *attempt);
}

void ForwardHttpServer::relayEvents(Exchange &exchange, Attempt &attempt)
{
    if (!exchange.request || !attempt.events.hasComplete())
        return;
    const std::string events = attempt.events.takeComplete();
    exchange.lastEventId = attempt.events.lastId();
    const BufferHandle chunk = makeBuffer();
    evbuffer_add(chunk.get(), events.data(), events.size());
    if (m_backpressure.send(exchange.id, exchange.request, chunk.get()))
        attempt.outgoing->setReading(false);
}

void ForwardHttpServer::detachCaller(Exchange &exchange)
{
    evhttp_connection *connection = evhttp_request_get_connection(exchange.request);
    m_connections.track(connection, CallerConnections::State::Sending);
    m_backpressure.release(connection);
    bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    m_buffers->endRequest(connection);
    const timeval idle = toTimeval(m_idleTimeout);
    bufferevent_set_timeouts(stream, &idle, &idle);
    exchange.request = nullptr;
}

void ForwardHttpServer::handle(const FinishForward &effect)
{
    Exchange *exchange = find(effect.request);
    Attempt *attempt = exchange ? find(exchange->relayedAttempt) : nullptr;
    if (exchange && attempt && exchange->request) {
        evhttp_request *request = exchange->request;
        if (exchange->hasReplyBegun) {
            detachCaller(*exchange);
            evhttp_send_reply_end(request);
        } else {
            beginReply(*exchange, *attempt);
            detachCaller(*exchange);
            const std::string events = attempt->events.takeComplete();
            evbuffer_add(attempt->body.get(), events.data(), events.size());
            sendReply(request, attempt->head.status, attempt->body.get());
        }
    }
    close(effect.request);
}

void ForwardHttpServer::handle(const RefuseForward &effect)
{
    Exchange *exchange = find(effect.request);
    if (exchange && exchange->request) {
        evhttp_request *request = exchange->request;
        detachCaller(*exchange);
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        if (m_isStopping)
            evhttp_add_header(headers, "Connection", "close");
        HttpHeaders retryHeaders;
        if (effect.retryAfter > Duration::zero())
            platform::addRetryAfter(retryHeaders, effect.retryAfter);
        for (const HttpHeader &header : retryHeaders)
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
        sendReply(request, refusalStatus(effect.code, effect.outcome), jsonType,
                  errorBody(effect.code, effect.outcome, effect.retryAfter));
    }
    close(effect.request);
}

void ForwardHttpServer::handle(const AbortForward &effect)
{
    Exchange *exchange = find(effect.request);
    if (exchange && exchange->request) {
        evhttp_connection *connection = evhttp_request_get_connection(exchange->request);
        m_connections.track(connection, CallerConnections::State::Aborted);
        m_backpressure.release(connection);
        exchange->request = nullptr;
    }
    close(effect.request);
}

} // namespace currantreel
