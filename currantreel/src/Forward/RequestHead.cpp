#include "RequestHead.h"

#include "MessageFraming.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace currantreel {

namespace {

constexpr std::array<std::string_view, 10> hopByHopNames{
    "Connection", "Keep-Alive",       "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",          "Transfer-Encoding",  "Upgrade",
    "Expect",     "Proxy-Connection",
};

/// Whether @p character would end a request's target for some readers, and not for others.
bool isBlankOrControl(char character)
{
    constexpr char deleteCharacter = 0x7f;
    return static_cast<unsigned char>(character) <= ' ' || character == deleteCharacter;
}

/// Header names listed in the Connection headers.
std::vector<std::string> connectionNames(const HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const HttpHeader &header : headers) {
        if (!isSameName(header.name, "Connection"))
            continue;
        std::string name;
        for (const char character : header.value + ",") {
            if (character == ',') {
                names.push_back(std::exchange(name, {}));
            } else if (character != ' ' && character != '\t') {
                name += character;
            }
        }
    }
    return names;
}

} // namespace

std::optional<std::string> findHeadFault(const RequestHead &head)
{
    if (head.target.empty() || head.target.front() != '/')
        return "request target is not a path";
    if (std::any_of(head.target.begin(), head.target.end(), isBlankOrControl))
        return "request target contains a blank or control character";
    if (auto fault = findFramingFault(head.headers))
        return fault;
    if (countHeaders(head.headers, "Host") != 1)
        return "request does not have exactly one Host header";
    const bool hasBody =
        findHeader(head.headers, "Transfer-Encoding")
        || headerValue(head.headers, "Content-Length").find_first_not_of('0') != std::string::npos;
    if (hasBody && !head.mayHaveBody)
        return "request method does not allow a body";
    return std::nullopt;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    const std::vector<std::string> listed = connectionNames(headers);
    const auto isHopByHop = [&listed](const HttpHeader &header) {
        const auto hasName = [&header](std::string_view name) {
            return isSameName(header.name, name);
        };
        return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), hasName)
               || std::any_of(listed.begin(), listed.end(), hasName);
    };
    HttpHeaders kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [&isHopByHop](const HttpHeader &header) { return !isHopByHop(header); });
    return kept;
}

} // namespace currantreel
