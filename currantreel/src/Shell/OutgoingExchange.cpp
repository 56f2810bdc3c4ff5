#include "OutgoingExchange.h"

#include "../Forward/MessageFraming.h"
#include "HttpInput.h"
#include <algorithm>
#include <event2/http_struct.h>
#include <sys/socket.h>

namespace currantreel {

namespace {

constexpr Duration unlimitedTimeout = std::chrono::hours(24);
/// Maximum size of the head of a response, with the interim responses before it; a longer one fails the
/// exchange.
constexpr std::size_t maxHeadBytes = 16UL * 1024;
/// Maximum size of the trailers after a chunked body; longer ones fail the exchange.
constexpr std::size_t maxTrailerBytes = 4UL * 1024;
/// Heads up to this size do not count as memory.
constexpr std::size_t usualHeadBytes = 2UL * 1024;
/// Bytes that the system may keep for a connection until they are read.
constexpr int receiveBytes = 64 * 1024;
/// Memory for each byte of a head: evhttp stores every header in three allocations, which take a
/// multiple of the bytes of a short header.
constexpr std::size_t memoryPerHeadByte = 12;

constexpr int firstStatus = 100;
constexpr int lastStatus = 599;
constexpr int statusContinue = 100;
constexpr int statusSwitchingProtocols = 101;
/// Answers with a lower status are interim: another one follows.
constexpr int firstFinalStatus = 200;

/// Results of a header callback of evhttp.
constexpr int continueExchange = 0;
constexpr int failExchange = -1;

std::string headerOf(const evkeyvalq *headers, const char *name)
{
    const char *value = evhttp_find_header(headers, name);
    return value ? value : "";
}

/// Sets the only framing of a request: a length if it has a body or its method usually has one. evhttp
/// itself states a length for some methods only, and sends the body without one for the others.
void setLength(evkeyvalq *headers, evhttp_cmd_type method, std::size_t bodyBytes)
{
    while (evhttp_remove_header(headers, "Content-Length") == 0) { }
    if (bodyBytes > 0 || mayHaveBody(method))
        evhttp_add_header(headers, "Content-Length", std::to_string(bodyBytes).c_str());
}

ResponseHead responseHeadOf(evhttp_request *request)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    ResponseHead head;
    head.status = evhttp_request_get_response_code(request);
    head.contentType = headerOf(headers, "Content-Type");
    head.outcome = headerOf(headers, "Currantreel-Outcome");
    head.key = headerOf(headers, "Idempotency-Key");
    head.retryAfter = headerOf(headers, "Retry-After");
    head.isFramed = evhttp_find_header(headers, "Content-Length") != nullptr
                    || evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
    head.headers = inputHeaders(request);
    return head;
}

bool isServedStatus(int status)
{
    return status >= firstStatus && status <= lastStatus && status != statusSwitchingProtocols;
}

/// Makes evhttp read a body without framing until the server closes the connection. It does so only if
/// there is no Connection header or its value is "close", and otherwise takes the body as empty.
void readUntilClosed(evhttp_request *request)
{
    evkeyvalq *headers = evhttp_request_get_input_headers(request);
    while (evhttp_remove_header(headers, "Connection") == 0) { }
}

/// Makes evhttp read the next head in place of a body. It does so for status 100 only, and would add the
/// headers of the next head to those of this one.
void skipInterim(evhttp_request *request)
{
    request->response_code = statusContinue;
    evhttp_clear_headers(evhttp_request_get_input_headers(request));
}

} // namespace

OutgoingExchange::OutgoingExchange(event_base *base, OutgoingRequest request,
                                   OutgoingCallbacks callbacks)
    : m_connection(std::move(request.connection)),
      m_callbacks(std::move(callbacks)),
      m_maxUnparsedBytes(request.maxUnparsedBytes),
      m_isReusable(request.usesKeepAlive)
{
    const bool isNew = !m_connection;
    if (isNew)
        m_connection.reset(evhttp_connection_base_new(base, nullptr, request.address.ip.c_str(),
                                                      request.address.port));
    const timeval inactivityTimeout =
        toTimeval(request.inactivityTimeout == Duration::zero() ? unlimitedTimeout
                                                                : request.inactivityTimeout);
    evhttp_connection_set_timeout_tv(m_connection.get(), &inactivityTimeout);
    evhttp_connection_set_max_headers_size(m_connection.get(), ev_ssize_t{ maxHeadBytes });
    bufferevent *stream = evhttp_connection_get_bufferevent(m_connection.get());
    bufferevent_setwatermark(stream, EV_READ, 0, m_maxUnparsedBytes);
    evbuffer_add_cb(bufferevent_get_output(stream), &OutgoingExchange::onOutput, this);
    evbuffer_add_cb(bufferevent_get_input(stream), &OutgoingExchange::onInput, this);

    evhttp_request *outgoing = evhttp_request_new(&OutgoingExchange::onEnd, this);
    evhttp_request_set_header_cb(outgoing, &OutgoingExchange::onHead);
    evhttp_request_set_chunked_cb(outgoing, &OutgoingExchange::onChunk);
    evkeyvalq *headers = evhttp_request_get_output_headers(outgoing);
    if (!findHeader(request.headers, "Host"))
        evhttp_add_header(headers, "Host", toText(request.address).c_str());
    if (!request.usesKeepAlive)
        evhttp_add_header(headers, "Connection", "close");
    for (const HttpHeader &header : request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    setLength(headers, request.method, request.body ? evbuffer_get_length(request.body) : 0);
    if (request.body) {
        evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(outgoing),
                                      const_cast<evbuffer *>(request.body));
    }
    evhttp_make_request(m_connection.get(), outgoing, request.method, request.path.c_str());
    // The system would let it grow to megabytes, which fill once a caller reads no more. It takes twice the
    // size that is set, for what it keeps besides the bytes.
    if (isNew)
        setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_RCVBUF, &receiveBytes,
                   sizeof(receiveBytes));
}

OutgoingExchange::~OutgoingExchange()
{
    m_isEnded = true;
    if (m_connection)
        removeBufferCallbacks();
}

void OutgoingExchange::removeBufferCallbacks()
{
    bufferevent *stream = evhttp_connection_get_bufferevent(m_connection.get());
    evbuffer_remove_cb(bufferevent_get_output(stream), &OutgoingExchange::onOutput, this);
    evbuffer_remove_cb(bufferevent_get_input(stream), &OutgoingExchange::onInput, this);
}

HttpConnectionHandle OutgoingExchange::takeConnection()
{
    if (!m_isEnded || !m_isReusable || !m_connection)
        return {};
    bufferevent *stream = evhttp_connection_get_bufferevent(m_connection.get());
    // Surplus bytes would be parsed as the response to the next request.
    const bool hasSurplus = evbuffer_get_length(bufferevent_get_input(stream)) > 0;
    const bool hasUnsent = evbuffer_get_length(bufferevent_get_output(stream)) > 0;
    if (hasSurplus || hasUnsent)
        return {};
    removeBufferCallbacks();
    return std::move(m_connection);
}

void OutgoingExchange::setReading(bool isEnabled)
{
    if (m_isEnded)
        return;
    bufferevent *stream = evhttp_connection_get_bufferevent(m_connection.get());
    if (isEnabled)
        bufferevent_enable(stream, EV_READ);
    else
        bufferevent_disable(stream, EV_READ);
}

void OutgoingExchange::onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    auto *exchange = static_cast<OutgoingExchange *>(self);
    if (info->n_deleted == 0 || exchange->m_wasWritten)
        return;
    exchange->m_wasWritten = true;
    if (exchange->m_callbacks.onWritten)
        exchange->m_callbacks.onWritten();
}

void OutgoingExchange::onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *self)
{
    auto *exchange = static_cast<OutgoingExchange *>(self);
    if (info->n_added == 0 || exchange->m_isEnded)
        return;
    exchange->m_receivedBytes += info->n_added;
    const std::size_t unparsed = evbuffer_get_length(buffer);
    if (unparsed >= exchange->m_maxUnparsedBytes) {
        exchange->fail();
        return;
    }
    if (!exchange->m_hasHead)
        exchange->m_headBytes = std::min(exchange->m_receivedBytes, maxHeadBytes);
    if (exchange->m_callbacks.onReceived)
        exchange->m_callbacks.onReceived(unparsed);
}

std::size_t OutgoingExchange::headMemory() const
{
    return (m_headBytes - std::min(m_headBytes, usualHeadBytes)) * memoryPerHeadByte;
}

std::size_t OutgoingExchange::unparsedBytes() const
{
    return evbuffer_get_length(
        bufferevent_get_input(evhttp_connection_get_bufferevent(m_connection.get())));
}

void OutgoingExchange::endHead()
{
    m_hasHead = true;
    // evhttp counts the trailers on top of the head.
    evhttp_connection_set_max_headers_size(m_connection.get(),
                                           static_cast<ev_ssize_t>(m_headBytes + maxTrailerBytes));
    if (m_callbacks.onReceived)
        m_callbacks.onReceived(unparsedBytes());
}

int OutgoingExchange::onHead(evhttp_request *request, void *self)
{
    auto *exchange = static_cast<OutgoingExchange *>(self);
    const ResponseHead head = responseHeadOf(request);
    exchange->m_headBytes = exchange->m_receivedBytes - exchange->unparsedBytes();
    if (exchange->m_headBytes > maxHeadBytes || !isServedStatus(head.status)
        || findFramingFault(head.headers))
        return failExchange;
    if (head.status < firstFinalStatus) {
        skipInterim(request);
        return continueExchange;
    }
    exchange->endHead();
    if (!head.isFramed || isSameName(headerValue(head.headers, "Connection"), "close"))
        exchange->m_isReusable = false;
    if (!head.isFramed)
        readUntilClosed(request);
    exchange->m_callbacks.onHead(head);
    return continueExchange;
}

void OutgoingExchange::onChunk(evhttp_request *request, void *self)
{
    auto *exchange = static_cast<OutgoingExchange *>(self);
    exchange->m_callbacks.onBody(evhttp_request_get_input_buffer(request));
}

void OutgoingExchange::onEnd(evhttp_request *request, void *self)
{
    auto *exchange = static_cast<OutgoingExchange *>(self);
    if (exchange->m_isEnded)
        return;
    const bool isComplete = request && exchange->m_hasHead;
    if (!isComplete) {
        exchange->fail();
        return;
    }
    evbuffer *remaining = evhttp_request_get_input_buffer(request);
    if (evbuffer_get_length(remaining) > 0)
        exchange->m_callbacks.onBody(remaining);
    exchange->m_isEnded = true;
    exchange->m_callbacks.onDone();
}

void OutgoingExchange::fail()
{
    m_isEnded = true;
    m_isReusable = false;
    m_callbacks.onFailed(m_wasWritten);
}

} // namespace currantreel
