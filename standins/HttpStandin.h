#ifndef CURRANTREEL_STANDINS_HTTPSTANDIN_H
#define CURRANTREEL_STANDINS_HTTPSTANDIN_H

#include <currantreel/src/Settings/Address.h>
#include <currantreel/src/Shell/EventHandles.h>
#include <currantreel/src/Shell/HttpReply.h>
#include <functional>
#include <string>

namespace standins {

/// An HTTP server on a loop of its own, as every stand-in has one.
class HttpStandin
{
public:
    using Handler = std::function<void(evhttp_request *)>;

    /// @param listen address as in 127.0.0.1:9000. Ends the process with status 2 if it cannot be had.
    HttpStandin(const std::string &listen, Handler handler);

    [[nodiscard]] event_base *base() const { return m_base.get(); }
    /// Runs until SIGTERM or SIGINT.
    void run();

private:
    static void onRequest(evhttp_request *request, void *self);

    currantreel::EventBaseHandle m_base;
    currantreel::HttpServerHandle m_server;
    Handler m_handler;
};

/// Content of the request's body.
[[nodiscard]] std::string bodyOf(evhttp_request *request);

} // namespace standins

#endif
