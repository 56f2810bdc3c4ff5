#ifndef CURRANTREEL_SHELL_CALLEREXCHANGES_H
#define CURRANTREEL_SHELL_CALLEREXCHANGES_H

#include "CallerHttpServer.h"

namespace currantreel {

/// A request of a caller and its reply.
struct CallerHttpServer::Exchange
{
    CallerHttpServer *server = nullptr;
    RequestId id;
    evhttp_request *request = nullptr; ///< Null once the caller has left or was answered.
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path;
    std::vector<HttpHeader> headers;
    BufferHandle body;
    HeldMemory memory; ///< Of the request.
    bool isService = false;
    bool isCaptured = false; ///< The response may have to be kept for its idempotency key.
    bool isStreaming = false; ///< The reply's headers were sent.
    std::string capturedBody;
    AttemptId relayedAttempt;
};

/// An attempt of a request at a backend server, or its forwarding to another host.
struct CallerHttpServer::Attempt
{
    AttemptId id;
    RequestId request;
    ResponseHead head;
    BufferHandle pending = makeBuffer(); ///< Received and not relayed yet.
    SseScanner scanner;
    bool isForwardedToHost = false;
    bool isEventStream = false;
    bool isRelayed = false;
    bool isFailed = false;
    std::unique_ptr<OutgoingExchange> outgoing;
};

} // namespace currantreel

#endif
