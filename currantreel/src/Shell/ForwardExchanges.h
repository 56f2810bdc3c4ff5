#ifndef CURRANTREEL_SHELL_FORWARDEXCHANGES_H
#define CURRANTREEL_SHELL_FORWARDEXCHANGES_H

#include "ForwardHttpServer.h"
#include <platform/ForwardHeaders.h>

namespace currantreel {

/// One caller's exchange.
struct ForwardHttpServer::Exchange
{
    ForwardHttpServer *front = nullptr;
    RequestId id;
    std::string callerId;
    evhttp_request *request = nullptr; ///< Null once the caller has left or was answered.
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target;
    HttpHeaders headers; ///< To pass on.
    BufferHandle body;
    std::string lastEventId; ///< Of the last event that the caller has.
    AttemptId relayed;
    bool hasBegun = false; ///< The reply's head was sent.
    bool isPaused = false; ///< The caller reads too slowly.
};

/// One exchange with a backend server.
struct ForwardHttpServer::Attempt
{
    AttemptId id;
    RequestId request;
    Address address;
    ResponseHead head;
    platform::ResponseMetadata marks;
    BufferHandle body = makeBuffer();
    EventStreamReader events;
    bool isEventStream = false;
    bool isEnded = false; ///< Its end was told, or it was cancelled.
    std::unique_ptr<OutgoingExchange> outgoing;

    [[nodiscard]] AnswerStatus status() const { return { head.status, marks.reportsNotRun }; }
};

} // namespace currantreel

#endif
