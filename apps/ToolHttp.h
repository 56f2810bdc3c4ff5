#ifndef CURRANTREEL_APPS_TOOLHTTP_H
#define CURRANTREEL_APPS_TOOLHTTP_H

#include <currantreel/Core>
#include <currantreel/Settings>
#include <string>

namespace currantreel::tool {

/// Complete response to an HTTP request.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// Sends a GET for @p path to @p address and blocks until the response is complete.
/// @param timeout maximum inactivity of the connection.
/// @return ToolHostUnreachable if no complete response arrives.
[[nodiscard]] Result<HttpAnswer> httpGet(const Address &address, const std::string &path,
                                         Duration timeout);

/// As httpGet(), but sends a DELETE.
[[nodiscard]] Result<HttpAnswer> httpDelete(const Address &address, const std::string &path,
                                            Duration timeout);

} // namespace currantreel::tool

#endif
