#include "CallerHttpServer.h"

#include "CallerRequest.h"
#include "HttpReply.h"
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace currantreel {

namespace {

constexpr std::string_view keyPath = "/v1/idempotency-keys";
constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

/// Bytes that a caller may send ahead of its reply before its connection is no longer read.
constexpr std::size_t readAheadBytes = 16UL * 1024;
/// A low watermark which the buffer never reaches, so that evhttp's read callback stays silent.
constexpr std::size_t neverReadWatermark = SIZE_MAX;

/// Requests to pass to other hosts have attempt numbers of their own range.
constexpr std::uint64_t forwardRange = 1ULL << 63U;

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

/// Number of generated tokens that an unstreamed answer states.
std::uint32_t statedTokens(std::string_view body)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    const auto pointer = nlohmann::json::json_pointer("/usage/completion_tokens");
    if (!answer.is_object() || !answer.contains(pointer))
        return 0;
    const nlohmann::json &tokens = answer.at(pointer);
    return tokens.is_number_unsigned() ? tokens.get<std::uint32_t>() : 0;
}

std::string_view contentOf(evbuffer *buffer)
{
    const std::size_t length = evbuffer_get_length(buffer);
    const unsigned char *bytes = length ? evbuffer_pullup(buffer, -1) : nullptr;
    return { reinterpret_cast<const char *>(bytes), length };
}

/// Outcome of a request that is refused before its key was looked up: an earlier copy may have run.
Outcome outcomeOfUnread(evhttp_request *request)
{
    return headerOf(request, "Idempotency-Key").empty() ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

/// One caller's exchange.
struct CallerHttpServer::Exchange
{
    CallerHttpServer *front = nullptr;
    RequestId id;
    evhttp_request *request = nullptr; ///< Null once the caller has left or was answered.
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path;
    std::vector<HttpHeader> headers;
    BufferHandle body;
    bool isService = false;
    bool isCaptured = false; ///< The answer may have to be kept.
    bool isStreaming = false; ///< The reply has begun.
    bool isPaused = false;
    std::string capture;
    AttemptId relayed;
};

/// One exchange with a backend server or with another host.
struct CallerHttpServer::Attempt
{
    AttemptId id;
    RequestId request;
    ResponseHead head;
    BufferHandle pending = makeBuffer(); ///< Received and not passed on.
    SseScanner scanner;
    bool isForward = false;
    bool isEventStream = false;
    bool isRelayed = false;
    bool isFailed = false;
    std::unique_ptr<OutgoingExchange> outgoing;
};

CallerHttpServer::CallerHttpServer(event_base *base, const HostSettings &settings,
                                   Incarnation incarnation, EventSink sink)
    : m_base(base),
      m_settings(&settings),
      m_sink(std::move(sink)),
      m_server(evhttp_new(base)),
      m_answers(settings.limits.keptAnswerBytes),
      m_nextRequest(incarnation.value + 1)
{
    evhttp_set_max_body_size(m_server.get(), static_cast<ev_ssize_t>(settings.limits.bodyBytes));
    evhttp_set_max_headers_size(m_server.get(),
                                static_cast<ev_ssize_t>(settings.limits.headerBytes));
    evhttp_set_allowed_methods(m_server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                                   | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(m_server.get(), &CallerHttpServer::onRequest, this);
}

CallerHttpServer::~CallerHttpServer() = default;

bool CallerHttpServer::listen()
{
    return evhttp_bind_socket(m_server.get(), m_settings->callers.ip.c_str(),
                              m_settings->callers.port)
           == 0;
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
    static_cast<CallerHttpServer *>(self)->accept(request);
}

void CallerHttpServer::accept(evhttp_request *request)
{
    const std::string path = pathOf(request);
    if (m_exchanges.size() >= m_settings->limits.requests) {
        sendError(request, ResultCode::QueueFull, outcomeOfUnread(request),
                  std::chrono::seconds(1));
        return;
    }
    if (path.compare(0, keyPath.size(), keyPath) == 0) {
        acceptKeyRequest(request, path);
        return;
    }
    Result<RequestArrived> read = readCallerRequest(request);
    if (isError(read)) {
        sendError(request, error(read).code, outcomeOfUnread(request), {}, error(read).detail);
        return;
    }
    Exchange &exchange = open(request);
    RequestArrived &event = value(read);
    event.request = exchange.id;
    exchange.isService = event.kind == RequestKind::Service;
    exchange.isCaptured = !event.idempotencyKey.empty();
    m_sink(std::move(event));
}

void CallerHttpServer::acceptKeyRequest(evhttp_request *request, const std::string &path)
{
    const bool isIssue = path == keyPath && evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    const bool isQuestion = path.size() > keyPath.size() + 1 && path[keyPath.size()] == '/'
                            && evhttp_request_get_command(request) == EVHTTP_REQ_GET;
    if (!isIssue && !isQuestion) {
        sendError(request, ResultCode::RequestWrongMethod, Outcome::NotRun, {});
        return;
    }
    const bool isForwarded = !headerOf(request, "Currantreel-Forwarded").empty();
    const Exchange &exchange = open(request);
    if (isIssue)
        m_sink(KeyRequested{ exchange.id });
    else
        m_sink(KeyStateQueried{ exchange.id, path.substr(keyPath.size() + 1), isForwarded });
}

CallerHttpServer::Exchange &CallerHttpServer::open(evhttp_request *request)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->front = this;
    exchange->id = RequestId{ m_nextRequest++ };
    exchange->request = request;
    exchange->method = evhttp_request_get_command(request);
    exchange->path = evhttp_request_get_uri(request);
    exchange->body = makeBuffer();
    evbuffer_add_buffer(exchange->body.get(), evhttp_request_get_input_buffer(request));
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header; header = header->next.tqe_next) {
        if (!isHopByHopHeader(header->key))
            exchange->headers.push_back(HttpHeader{ header->key, header->value });
    }
    evhttp_connection *connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, &CallerHttpServer::onConnectionClosed,
                                  exchange.get());
    // Reading makes a closed connection noticed at once. evhttp must not see early bytes of a next
    // request while this one waits, since it ends the process on them; hence the watermarks.
    bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    bufferevent_setwatermark(stream, EV_READ, neverReadWatermark, readAheadBytes);
    bufferevent_enable(stream, EV_READ);
    return *m_exchanges.emplace(exchange->id, std::move(exchange)).first->second;
}

void CallerHttpServer::onConnectionClosed(evhttp_connection * /*connection*/, void *exchange)
{
    auto *closed = static_cast<Exchange *>(exchange);
    closed->request = nullptr;
    if (Attempt *attempt = closed->front->find(closed->relayed); attempt && closed->isPaused)
        attempt->outgoing->setReading(true);
    closed->isPaused = false;
    closed->front->m_sink(CallerDisconnected{ closed->id });
}

void CallerHttpServer::onReplyDrained(evhttp_connection * /*connection*/, void *exchange)
{
    auto *drained = static_cast<Exchange *>(exchange);
    if (!drained->isPaused)
        return;
    drained->isPaused = false;
    if (Attempt *attempt = drained->front->find(drained->relayed))
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
                                    bool isForward)
{
    auto owned = std::make_unique<Attempt>();
    Attempt *attempt = owned.get();
    attempt->id = id;
    attempt->request = exchange.id;
    attempt->isForward = isForward;
    OutgoingCallbacks callbacks;
    callbacks.onHead = [this, attempt](const ResponseHead &head) { onHead(*attempt, head); };
    callbacks.onBody = [this, attempt](evbuffer *body) { onBody(*attempt, body); };
    callbacks.onDone = [this, attempt] { onDone(*attempt); };
    callbacks.onFailed = [this, attempt](bool wasWritten) { onFailed(*attempt, wasWritten); };
    m_attempts.emplace(id, std::move(owned));
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
    startAttempt(*exchange, AttemptId{ forwardRange | m_nextForward++ }, std::move(outgoing), true);
}

void CallerHttpServer::onHead(Attempt &attempt, const ResponseHead &head)
{
    attempt.head = head;
    attempt.isEventStream =
        head.contentType.compare(0, eventStreamType.size(), eventStreamType) == 0;
    Exchange *exchange = find(attempt.request);
    if (!exchange)
        return;
    if (attempt.isForward) {
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
    exchange.relayed = attempt.id;
    if (!exchange.request)
        return;
    evkeyvalq *headers = evhttp_request_get_output_headers(exchange.request);
    const auto pass = [headers](const char *header, const std::string &value) {
        if (!value.empty())
            evhttp_add_header(headers, header, value.c_str());
    };
    pass("Content-Type", attempt.head.contentType);
    if (attempt.isForward) {
        pass("Currantreel-Outcome", attempt.head.outcome);
        pass("Idempotency-Key", attempt.head.key);
        pass("Retry-After", attempt.head.retryAfter);
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
        if (tokens > 0 && !attempt.isForward)
            m_sink(AttemptTokens{ attempt.id, tokens });
    }
    Exchange *exchange = find(attempt.request);
    if (exchange && attempt.isRelayed && attempt.isEventStream) {
        relay(*exchange, attempt, body);
        return;
    }
    evbuffer_add_buffer(attempt.pending.get(), body);
    if (evbuffer_get_length(attempt.pending.get()) > m_settings->limits.answerBytes)
        onFailed(attempt, true);
}

void CallerHttpServer::relay(Exchange &exchange, Attempt &attempt, evbuffer *body)
{
    if (exchange.isCaptured && exchange.capture.size() <= m_settings->limits.answerBytes)
        exchange.capture += contentOf(body);
    if (!exchange.request) {
        evbuffer_drain(body, evbuffer_get_length(body));
        return;
    }
    if (evbuffer_get_length(body) == 0)
        return;
    const std::size_t unsent =
        sendChunk(exchange.request, body, &CallerHttpServer::onReplyDrained, &exchange);
    if (unsent > m_settings->limits.streamBufferBytes && !exchange.isPaused) {
        exchange.isPaused = true;
        attempt.outgoing->setReading(false);
    }
}

void CallerHttpServer::onDone(Attempt &attempt)
{
    const bool isWhole = attempt.isEventStream ? attempt.scanner.isEnded() : attempt.head.isFramed;
    if (attempt.isFailed)
        return;
    if (!isWhole) {
        onFailed(attempt, true);
        return;
    }
    if (attempt.isForward) {
        if (Exchange *exchange = find(attempt.request))
            finish(*exchange);
        m_sink(ForwardDone{ attempt.request });
        return;
    }
    const Exchange *exchange = find(attempt.request);
    if (exchange && !exchange->isService && !attempt.isEventStream) {
        const std::uint32_t tokens = statedTokens(contentOf(attempt.pending.get()));
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
    if (attempt.isForward)
        m_sink(ForwardFailed{ attempt.request });
    else
        m_sink(AttemptFailed{ attempt.id, wasWritten });
}

void CallerHttpServer::sweep()
{
    std::erase_if(m_attempts, [](const auto &item) { return item.second->isFailed; });
}

void CallerHttpServer::handle(const CancelAttempt &effect)
{
    m_attempts.erase(effect.attempt);
}

void CallerHttpServer::detachCaller(Exchange &exchange)
{
    evhttp_connection *connection = evhttp_request_get_connection(exchange.request);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection), EV_READ, 0, 0);
    exchange.request = nullptr;
}

void CallerHttpServer::finish(Exchange &exchange)
{
    const Attempt *attempt = find(exchange.relayed);
    if (!exchange.request || !attempt)
        return;
    evhttp_request *request = exchange.request;
    detachCaller(exchange);
    if (exchange.isStreaming) {
        evhttp_send_reply_end(request);
        return;
    }
    if (!attempt->isForward)
        evhttp_add_header(evhttp_request_get_output_headers(request), "Currantreel-Outcome",
                          name(Outcome::Completed).data());
    evhttp_send_reply(request, attempt->head.status, nullptr, attempt->pending.get());
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
    std::erase_if(m_attempts, [id](const auto &item) { return item.second->request == id; });
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
    const Attempt *attempt = exchange ? find(exchange->relayed) : nullptr;
    if (!attempt)
        return;
    CachedResponse answer{ attempt->head.status, attempt->head.contentType, {} };
    if (attempt->isEventStream)
        answer.body = std::move(exchange->capture);
    else
        answer.body = contentOf(attempt->pending.get());
    if (answer.body.size() <= m_settings->limits.answerBytes)
        m_answers.keep(effect.key, std::move(answer));
}

void CallerHttpServer::handle(const ReplayAnswer &effect)
{
    Exchange *exchange = find(effect.request);
    if (exchange && exchange->request) {
        evhttp_request *request = exchange->request;
        detachCaller(*exchange);
        if (const CachedResponse *answer = m_answers.find(effect.key)) {
            evkeyvalq *headers = evhttp_request_get_output_headers(request);
            evhttp_add_header(headers, "Currantreel-Outcome", name(Outcome::Completed).data());
            evhttp_add_header(headers, "Currantreel-Replayed", "true");
            sendReply(request, answer->status, answer->contentType, answer->body);
        } else {
            sendError(request, ResultCode::KeyResultDropped, Outcome::Completed, {});
        }
    }
    close(effect.request);
}

void CallerHttpServer::handle(const DropAnswer &effect)
{
    m_answers.drop(effect.key);
}

} // namespace currantreel
