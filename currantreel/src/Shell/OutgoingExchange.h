#ifndef CURRANTREEL_SHELL_OUTGOINGEXCHANGE_H
#define CURRANTREEL_SHELL_OUTGOINGEXCHANGE_H

#include "../Core/HttpHeader.h"
#include "../Core/Time.h"
#include "../Settings/Address.h"
#include "EventHandles.h"
#include <functional>
#include <string>
#include <vector>

namespace currantreel {

/// A request to a backend server, another host or the platform.
struct OutgoingRequest
{
    Address address;
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path;
    std::vector<HttpHeader> headers;
    const evbuffer *body = nullptr; ///< Read during construction only.
    Duration inactivityTimeout{}; ///< Closes the connection without traffic; zero for none.
    HttpConnectionHandle connection; ///< Open connection to reuse; null for a new one.
    /// Bytes received and not parsed yet at which the exchange fails, as a line or chunk without an
    /// end would make them grow for ever.
    std::size_t maxUnparsedBytes = 1024UL * 1024;
    bool usesKeepAlive = false; ///< Keeps the connection open for further requests.
};

/// Status and headers of a response.
struct ResponseHead
{
    int status = 0;
    std::string contentType;
    std::string outcome; ///< Header Currantreel-Outcome; empty if missing.
    std::string key; ///< Header Idempotency-Key.
    std::string retryAfter; ///< Header Retry-After.
    bool isFramed = false; ///< Has a Content-Length or Transfer-Encoding header.
    HttpHeaders headers; ///< All headers.
};

/// Callbacks of an exchange. None of them may destroy the exchange.
struct OutgoingCallbacks
{
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(evbuffer *)> onBody; ///< Consumes the bytes of the buffer.
    std::function<void()> onDone; ///< The response is complete as far as its framing tells.
    std::function<void(bool wasWritten)> onFailed;
    /// Bytes arrived, or the head is complete, and so many bytes were not parsed yet; optional.
    std::function<void(std::size_t unparsed)> onReceived = {};
    std::function<void()> onWritten = {}; ///< The first byte was handed to the socket; optional.
};

/// One HTTP request and its response on a connection of its own. The destructor closes the
/// connection unless takeConnection() has released it.
class OutgoingExchange
{
public:
    OutgoingExchange(event_base *base, OutgoingRequest request, OutgoingCallbacks callbacks);
    ~OutgoingExchange();
    OutgoingExchange(const OutgoingExchange &) = delete;
    OutgoingExchange &operator=(const OutgoingExchange &) = delete;

    /// Pauses or resumes reading from the connection, for flow control.
    void setReading(bool isEnabled);

    /// Releases the connection for reuse; null if the exchange did not end or left it unusable.
    [[nodiscard]] HttpConnectionHandle takeConnection();

    /// Memory of a head of unusual size, estimated. @return bytes; 0 for a head of usual size.
    [[nodiscard]] std::size_t headMemory() const;

    /// True once the first byte was handed to the socket.
    [[nodiscard]] bool wasWritten() const { return m_wasWritten; }

private:
    static int onHead(evhttp_request *request, void *self);
    static void onChunk(evhttp_request *request, void *self);
    static void onEnd(evhttp_request *request, void *self);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    [[nodiscard]] std::size_t unparsedBytes() const;
    void endHead();
    void fail();
    void removeBufferCallbacks();

    HttpConnectionHandle m_connection;
    OutgoingCallbacks m_callbacks;
    std::size_t m_maxUnparsedBytes;
    std::size_t m_receivedBytes = 0;
    std::size_t m_headBytes = 0; ///< Of the head and the interim responses before it.
    bool m_wasWritten = false;
    bool m_hasHead = false;
    bool m_isEnded = false;
    bool m_isReusable = false;
};

} // namespace currantreel

#endif
