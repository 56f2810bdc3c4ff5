#ifndef CURRANTREEL_SHELL_CALLERS_CALLERBUFFERENTRIES_H
#define CURRANTREEL_SHELL_CALLERS_CALLERBUFFERENTRIES_H

#include "CallerBuffers.h"

namespace currantreel {

struct CallerBuffers::Listener
{
    Listener(evhttp *server, CallerBuffers &buffers)
        : owner(&buffers), socket(server, [&buffers] {
              buffers.m_hasAcceptFailed = true;
              event_active(buffers.m_roomNeeded.get(), EV_TIMEOUT, 0);
          })
    {
    }

    CallerBuffers *owner;
    CallerListener socket;
    std::size_t readLimit = 0; ///< Of a connection between two replies.
    std::size_t maxHeadMemory = 0; ///< Of a request that evhttp has taken in.
    std::size_t maxParsed = 0; ///< Of a request that evhttp has taken in.
    RequestSizes sizes;
    std::string refusal; ///< Reply to a caller whose upload there is no room for.
};

struct CallerBuffers::Connection
{
    CallerBuffers *owner = nullptr;
    const Listener *listener = nullptr;
    CallerListener *socket = nullptr;
    bufferevent *stream = nullptr;
    evhttp_connection *connection = nullptr; ///< Null until evhttp has set it up.
    TimePoint acceptedAt;
    bool isRefused = false; ///< The rest of its request is discarded.
    std::size_t discarded = 0; ///< Bytes of that.
    bool isInProgress = false; ///< Its request was handed over and has not ended.
    std::size_t readLimit = 0;
    std::size_t maxHeadMemory = 0;
    std::size_t maxParsed = 0;
    std::size_t bytes = 0; ///< Of the buffers, and parsed.
    std::size_t parsed = 0; ///< Taken by evhttp for a request that is not handled yet.
    bool isInHead = true; ///< Of that request.
    bool isLineTaken = false; ///< But not its end yet.
    bool isFull = false; ///< As much as readLimit was read, and nothing of it taken since.
    bool wasFull = false; ///< At the last check.
    CloseCallback onClosed = nullptr;
    void *closedArgument = nullptr;
};

} // namespace currantreel

#endif
