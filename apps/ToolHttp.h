#ifndef CURRANTREEL_APPS_TOOLHTTP_H
#define CURRANTREEL_APPS_TOOLHTTP_H

#include <currantreel/Core>
#include <currantreel/Settings>
#include <string>

namespace currantreel::tool {

/// Whole answer to a read.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// Reads @p path at @p address and waits for the answer, @p timeout at most.
/// @return ToolHostUnreachable if none came.
[[nodiscard]] Result<HttpAnswer> httpGet(const Address &address, const std::string &path,
                                         Duration timeout);

} // namespace currantreel::tool

#endif
