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
    Duration inactivityTimeout{}; ///< Longest silence of the connection; zero: no limit.
    HttpConnectionHandle connection; ///< Open connection to the address to use; null for a new one.
    bool usesKeepAlive = false; ///< The connection may be used again afterwards.
};

/// Head of an answer.
struct ResponseHead
{
    int status = 0;
    std::string contentType;
    std::string outcome; ///< Header Currantreel-Outcome of a server that states one.
    std::string key; ///< Header Idempotency-Key.
    std::string retryAfter; ///< Header Retry-After.
    bool isFramed = false; ///< The end of the body is marked by length or chunks.
    HttpHeaders headers; ///< All of them.
};

/// What the owner of an exchange is told. Neither may destroy the exchange.
struct OutgoingCallbacks
{
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(evbuffer *)> onBody; ///< Takes the bytes out of the buffer.
    std::function<void()> onDone; ///< The body ended as its framing says.
    std::function<void(bool wasWritten)> onFailed;
    std::function<void()>
        onWritten = {}; ///< The first byte was handed to the socket; may be empty.
};

/// One HTTP exchange on a connection of its own. Destruction closes the connection, unless it was taken
/// for another exchange.
class OutgoingExchange
{
public:
    OutgoingExchange(event_base *base, OutgoingRequest request, OutgoingCallbacks callbacks);
    ~OutgoingExchange();
    OutgoingExchange(const OutgoingExchange &) = delete;
    OutgoingExchange &operator=(const OutgoingExchange &) = delete;

    /// Stops and resumes reading from the connection.
    void setReading(bool isOn);

    /// The connection, if the exchange ended so that another one can use it; null otherwise.
    [[nodiscard]] HttpConnectionHandle takeConnection();

    /// True once a byte was handed to the socket.
    [[nodiscard]] bool wasWritten() const { return m_wasWritten; }

private:
    static int onHead(evhttp_request *request, void *self);
    static void onChunk(evhttp_request *request, void *self);
    static void onEnd(evhttp_request *request, void *self);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    void fail();
    void stopListening();

    HttpConnectionHandle m_connection;
    OutgoingCallbacks m_callbacks;
    bool m_wasWritten = false;
    bool m_hasHead = false;
    bool m_isEnded = false;
    bool m_isReusable = false;
};

} // namespace currantreel

#endif
