#include "CallerExchanges.h"

#include "CallerRequest.h"
#include "HostMeasures.h"
#include "HttpInput.h"
#include "HttpReply.h"
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace currantreel {

namespace {

constexpr std::string_view keyPath = "/v1/idempotency-keys";
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

/// Identifiers of attempts that forward a request to another host have this bit set, which
/// separates them from those of attempts at backend servers.
constexpr std::uint64_t forwardedAttemptBit = 1ULL << 63U;

/// Number of generated tokens that a non-streamed response reports; 0 if it reports none.
std::uint32_t reportedTokens(std::string_view body)
{
    const nlohmann::json response = nlohmann::json::parse(body, nullptr, false);
    const auto pointer = nlohmann::json::json_pointer("/usage/completion_tokens");
    if (!response.is_object() || !response.contains(pointer))
        return 0;
    const nlohmann::json &tokens = response.at(pointer);
    return tokens.is_number_unsigned() ? tokens.get<std::uint32_t>() : 0;
}

/// Outcome of a request that is refused before its idempotency key is looked up. With a key, an
/// earlier request with the same key may have run.
Outcome outcomeBeforeKeyLookup(evhttp_request *request)
{
    return headerOf(request, "Idempotency-Key").empty() ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

CallerHttpServer::CallerHttpServer(event_base *base, const HostSettings &settings,
                                   CallerBuffers &buffers, Incarnation incarnation, EventSink sink)
    : m_base(base),
      m_settings(&settings),
      m_buffers(&buffers),
      m_sink(std::move(sink)),
      m_received(measuredBounds(settings.limits).answerBytes),
      m_backpressure(settings.limits.streamBufferBytes,
                     [this](RequestId id) { onReplyDrained(id); }),
      m_server(evhttp_new(base)),
      m_responseCache(settings.limits.cachedResponseBytes),
      m_nextRequest(incarnation.value + 1)
{
    buffers.attach(m_server.get(), { settings.limits.headerBytes, settings.limits.bodyBytes });
    evhttp_set_allowed_methods(m_server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                                   | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(m_server.get(), &CallerHttpServer::onRequest, this);
}

CallerHttpServer::~CallerHttpServer() = default;

bool CallerHttpServer::listen()
{
    return m_buffers->listen(m_server.get(), m_settings->callers, CallerBuffers::Peers::Callers);
}

CallerHttpServer::Exchange *CallerHttpServer::find(RequestId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

CallerHttpServer::Attempt *CallerHttpServer::find(AttemptId id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : found->second.get();
}

void CallerHttpServer::onRequest(evhttp_request *request, void *self)
{
    static_cast<CallerHttpServer *>(self)->handleRequest(request);
}

void CallerHttpServer::handleRequest(evhttp_request *request)
{
    const std::string path = pathOf(request);
    if (m_exchanges.size() >= m_settings->limits.requests) {
        sendError(request, ResultCode::QueueFull, outcomeBeforeKeyLookup(request),
                  std::chrono::seconds(1));
        return;
    }
    if (path.compare(0, keyPath.size(), keyPath) == 0) {
        handleKeyRequest(request, path);
        return;
    }
    std::optional<HeldMemory> memory = holdMemory(request);
    if (!memory)
        return;
    Result<RequestArrived> read = readCallerRequest(request);
    if (isError(read)) {
        sendError(request, error(read).code, outcomeBeforeKeyLookup(request), {},
                  error(read).detail);
        return;
    }
    Exchange &exchange = beginExchange(request, std::move(*memory));
    RequestArrived &event = value(read);
    event.request = exchange.id;
    exchange.isService = event.kind == RequestKind::Service;
    exchange.isCaptured = !event.idempotencyKey.empty();
    m_sink(std::move(event));
}

void CallerHttpServer::handleKeyRequest(evhttp_request *request, const std::string &path)
{
    const bool isIssue = path == keyPath && evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    const bool isKeyQuery = path.size() > keyPath.size() + 1 && path[keyPath.size()] == '/'
                            && evhttp_request_get_command(request) == EVHTTP_REQ_GET;
    if (!isIssue && !isKeyQuery) {
        sendError(request, ResultCode::RequestWrongMethod, Outcome::NotRun, {});
        return;
    }
    const bool isForwarded = !headerOf(request, "Currantreel-Forwarded").empty();
    std::optional<HeldMemory> memory = holdMemory(request);
    if (!memory)
        return;
    const Exchange &exchange = beginExchange(request, std::move(*memory));
    if (isIssue)
        m_sink(KeyRequested{ exchange.id });
    else
        m_sink(KeyStateQueried{ exchange.id, path.substr(keyPath.size() + 1), isForwarded });
}

std::optional<HeldMemory> CallerHttpServer::holdMemory(evhttp_request *request)
{
    evbuffer *body = evhttp_request_get_input_buffer(request);
    std::optional<HeldMemory> memory = m_buffers->requests().hold(
        memoryOfRequest(inputHeaders(request), evbuffer_get_length(body)));
    if (!memory) {
        evbuffer_drain(body, evbuffer_get_length(body));
        sendError(request, ResultCode::HostMemoryFull, outcomeBeforeKeyLookup(request),
                  std::chrono::seconds(1));
    }
    return memory;
}

CallerHttpServer::Exchange &CallerHttpServer::beginExchange(evhttp_request *request,
                                                            HeldMemory memory)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->server = this;
    exchange->id = RequestId{ m_nextRequest++ };
    exchange->request = request;
    exchange->method = evhttp_request_get_command(request);
    exchange->path = evhttp_request_get_uri(request);
    exchange->body = makeBuffer();
    exchange->memory = std::move(memory);
    evbuffer_add_buffer(exchange->body.get(), evhttp_request_get_input_buffer(request));
    exchange->headers = headersToForward(request);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    m_buffers->setCloseCallback(connection, &CallerHttpServer::onConnectionClosed, exchange.get());
    m_buffers->beginRequest(connection);
    detectCloseInProgress(connection);
    return *m_exchanges.emplace(exchange->id, std::move(exchange)).first->second;
}

void CallerHttpServer::onConnectionClosed(evhttp_connection *connection, void *exchange)
{
    auto *closed = static_cast<Exchange *>(exchange);
    closed->server->m_backpressure.release(connection);
    freeUnanswered(std::exchange(closed->request, nullptr));
    // A run with a key goes on, and its answer is no longer held back by the caller.
    closed->server->onReplyDrained(closed->id);
    closed->server->m_sink(CallerDisconnected{ closed->id });
}

void CallerHttpServer::onReplyDrained(RequestId id)
{
    const Exchange *drained = find(id);
    const Attempt *attempt = drained ? find(drained->relayedAttempt) : nullptr;
    if (attempt)
        attempt->outgoing->setReading(true);
}

OutgoingRequest CallerHttpServer::outgoingOf(const Exchange &exchange, const Address &address) const
{
    OutgoingRequest outgoing;
    outgoing.address = address;
    outgoing.method = exchange.method;
    outgoing.path = exchange.path;
    outgoing.headers = exchange.headers;
    outgoing.body = exchange.body.get();
    return outgoing;
}

void CallerHttpServer::startAttempt(Exchange &exchange, AttemptId id, OutgoingRequest outgoing,
                                    bool isForwardedToHost)
{
    auto newAttempt = std::make_unique<Attempt>();
    Attempt *attempt = newAttempt.get();
    attempt->id = id;
    attempt->request = exchange.id;
    attempt->isForwardedToHost = isForwardedToHost;
    OutgoingCallbacks callbacks;
    callbacks.onHead = [this, attempt](const ResponseHead &head) { onHead(*attempt, head); };
    callbacks.onBody = [this, attempt](evbuffer *body) { onBody(*attempt, body); };
    callbacks.onDone = [this, attempt] { onDone(*attempt); };
    callbacks.onFailed = [this, attempt](bool wasWritten) { onFailed(*attempt, wasWritten); };
    m_attempts.emplace(id, std::move(newAttempt));
    attempt->outgoing =
        std::make_unique<OutgoingExchange>(m_base, std::move(outgoing), std::move(callbacks));
}

void CallerHttpServer::handle(const StartAttempt &effect)
{
    Exchange *exchange = find(effect.request);
    if (!exchange)
        return;
    OutgoingRequest outgoing = outgoingOf(*exchange, effect.address);
    outgoing.headers.push_back(HttpHeader{ "X-Priority", std::to_string(effect.tier) });
    if (exchange->isService) {
        constexpr std::string_view prefix = "/v1/services/";
        const std::size_t slash = outgoing.path.find('/', prefix.size());
        outgoing.path = slash == std::string::npos ? "/" : outgoing.path.substr(slash);
    }
    startAttempt(*exchange, effect.attempt, std::move(outgoing), false);
}

void CallerHttpServer::handle(const ForwardRequest &effect)
{
    Exchange *exchange = find(effect.request);
    if (!exchange)
        return;
    OutgoingRequest outgoing = outgoingOf(*exchange, effect.address);
    outgoing.headers.push_back(HttpHeader{ "Currantreel-Forwarded", m_settings->name });
    startAttempt(*exchange, AttemptId{ forwardedAttemptBit | m_nextForwardedAttempt++ },
                 std::move(outgoing), true);
}

void CallerHttpServer::onHead(Attempt &attempt, const ResponseHead &head)
{
    attempt.head = head;
    attempt.isEventStream =
        head.contentType.compare(0, eventStreamType.size(), eventStreamType) == 0;
    Exchange *exchange = find(attempt.request);
    if (!exchange)
        return;
    if (attempt.isForwardedToHost) {
        beginRelay(*exchange, attempt);
        return;
    }
    const bool isBusy = head.status == statusTooManyRequests || head.status == statusUnavailable;
    const bool reportsNotRun =
        head.outcome == name(Outcome::NotRun) || (isBusy && !exchange->isService);
    m_sink(AttemptHead{ attempt.id, head.status, reportsNotRun });
}

void CallerHttpServer::handle(const RelayAttempt &effect)
{
    Exchange *exchange = find(effect.request);
    Attempt *attempt = find(effect.attempt);
    if (!exchange || !attempt)
        return;
    beginRelay(*exchange, *attempt);
    if (attempt->isEventStream)
        relay(*exchange, *attempt, attempt->pending.get());
}

void CallerHttpServer::beginRelay(Exchange &exchange, Attempt &attempt)
{
    attempt.isRelayed = true;
    exchange.relayedAttempt = attempt.id;
    if (!exchange.request)
        return;
    evkeyvalq *headers = evhttp_request_get_output_headers(exchange.request);
    const auto addIfNotEmpty = [headers](const char *header, const std::string &value) {
        if (!value.empty())
            evhttp_add_header(headers, header, value.c_str());
    };
    addIfNotEmpty("Content-Type", attempt.head.contentType);
    if (attempt.isForwardedToHost) {
        addIfNotEmpty("Currantreel-Outcome", attempt.head.outcome);
        addIfNotEmpty("Idempotency-Key", attempt.head.key);
        addIfNotEmpty("Retry-After", attempt.head.retryAfter);
    }
    if (!attempt.isEventStream)
        return;
    exchange.isStreaming = true;
    evhttp_send_reply_start(exchange.request, attempt.head.status, nullptr);
}

void CallerHttpServer::onBody(Attempt &attempt, evbuffer *body)
{
    if (attempt.isEventStream) {
        const std::uint32_t tokens = attempt.scanner.scan(contentOf(body));
        if (tokens > 0 && !attempt.isForwardedToHost)
            m_sink(AttemptTokens{ attempt.id, tokens });
    }
    Exchange *exchange = find(attempt.request);
    if (exchange && attempt.isRelayed && attempt.isEventStream) {
        relay(*exchange, attempt, body);
        return;
    }
    evbuffer_add_buffer(attempt.pending.get(), body);
    const std::size_t held = evbuffer_get_length(attempt.pending.get());
    const auto excessive = m_received.update(attempt.id, held);
    if (held > m_settings->limits.answerBytes)
        onFailed(attempt, true);
    else
        endExcess(excessive);
}

void CallerHttpServer::endExcess(std::optional<AttemptId> excessive)
{
    Attempt *largest = excessive ? find(*excessive) : nullptr;
    Exchange *exchange = largest ? find(largest->request) : nullptr;
    if (!largest)
        return;
    if (exchange && exchange->isCaptured && largest->isRelayed && largest->isEventStream)
        stopCapture(*exchange, largest->id);
    else
        onFailed(*largest, true);
}

void CallerHttpServer::capture(Exchange &exchange, AttemptId attempt, std::string_view bytes)
{
    exchange.capturedBody += bytes;
    if (exchange.capturedBody.size() > m_settings->limits.answerBytes)
        stopCapture(exchange, attempt);
    else
        endExcess(m_received.update(attempt, exchange.capturedBody.capacity()));
}

void CallerHttpServer::stopCapture(Exchange &exchange, AttemptId attempt)
{
    exchange.isCaptured = false;
    exchange.capturedBody = std::string();
    m_received.release(attempt);
}

void CallerHttpServer::relay(Exchange &exchange, Attempt &attempt, evbuffer *body)
{
    if (exchange.isCaptured)
        capture(exchange, attempt.id, contentOf(body));
    else
        m_received.release(attempt.id);
    if (!exchange.request) {
        evbuffer_drain(body, evbuffer_get_length(body));
        return;
    }
    if (evbuffer_get_length(body) == 0)
        return;
    if (m_backpressure.send(exchange.id, exchange.request, body))
        attempt.outgoing->setReading(false);
}

void CallerHttpServer::onDone(Attempt &attempt)
{
    const bool isComplete =
        attempt.isEventStream ? attempt.scanner.isEnded() : attempt.head.isFramed;
    if (attempt.isFailed)
        return;
    if (!isComplete) {
        onFailed(attempt, true);
        return;
    }
    if (attempt.isForwardedToHost) {
        if (Exchange *exchange = find(attempt.request))
            finish(*exchange);
        m_sink(ForwardDone{ attempt.request });
        return;
    }
    const Exchange *exchange = find(attempt.request);
    if (exchange && !exchange->isService && !attempt.isEventStream) {
        const std::uint32_t tokens = reportedTokens(contentOf(attempt.pending.get()));
        if (tokens > 0)
            m_sink(AttemptTokens{ attempt.id, tokens });
    }
    m_sink(AttemptDone{ attempt.id });
}

void CallerHttpServer::onFailed(Attempt &attempt, bool wasWritten)
{
    if (attempt.isFailed)
        return;
    attempt.isFailed = true;
    if (attempt.isForwardedToHost)
        m_sink(ForwardFailed{ attempt.request });
    else
        m_sink(AttemptFailed{ attempt.id, wasWritten });
}

void CallerHttpServer::sweep()
{
    eraseAttempts([](const Attempt &attempt) { return attempt.isFailed; });
}

void CallerHttpServer::handle(const CancelAttempt &effect)
{
    m_received.release(effect.attempt);
    m_attempts.erase(effect.attempt);
}

void CallerHttpServer::eraseAttempts(const std::function<bool(const Attempt &)> &isErased)
{
    std::erase_if(m_attempts, [&](const auto &item) {
        if (!isErased(*item.second))
            return false;
        m_received.release(item.first);
        return true;
    });
}

} // namespace currantreel
