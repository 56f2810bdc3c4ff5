#ifndef CURRANTREEL_SHELL_FORWARDEXCHANGES_H
#define CURRANTREEL_SHELL_FORWARDEXCHANGES_H

#include "ForwardHttpServer.h"
#include <platform/ForwardHeaders.h>

namespace currantreel {

/// A request of a caller and its reply.
struct ForwardHttpServer::Exchange
{
    ForwardHttpServer *server = nullptr;
    RequestId id;
    std::string callerId;
    evhttp_request *request = nullptr; ///< Null once the caller has left or was answered.
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target;
    HttpHeaders headers; ///< To be forwarded.
    BufferHandle body;
    HeldMemory memory; ///< Of the request.
    std::string lastEventId; ///< Of the last event that the caller has received.
    AttemptId relayedAttempt;
    bool hasReplyBegun = false; ///< The reply's headers were sent.
};

/// An attempt of a request at a backend server.
struct ForwardHttpServer::Attempt
{
    AttemptId id;
    RequestId request;
    Address address;
    ResponseHead head;
    platform::ResponseMetadata metadata;
    BufferHandle body = makeBuffer();
    EventStreamReader events;
    std::size_t unparsedBytes = 0; ///< Received and not yet passed on by the HTTP parser.
    bool isOnReusedConnection = false;
    bool isEventStream = false;
    bool hasEvents = false; ///< At least one event of the stream arrived.
    bool isEnded = false; ///< Its end was reported to the forward system, or it was cancelled.
    std::unique_ptr<OutgoingExchange> outgoing;

    /// Bytes of the answer that are held in memory.
    [[nodiscard]] std::size_t heldBytes() const
    {
        const std::size_t headMemory = outgoing ? outgoing->headMemory() : 0;
        return evbuffer_get_length(body.get()) + events.heldBytes() + unparsedBytes + headMemory;
    }

    [[nodiscard]] AnswerStatus status() const
    {
        return { head.status, metadata.reportsNotRun, isEventStream };
    }
};

} // namespace currantreel

#endif
