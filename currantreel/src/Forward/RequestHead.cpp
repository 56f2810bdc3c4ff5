#include "RequestHead.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace currantreel {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames{
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Expect",
};

bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool isLetter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || marks.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::size_t count(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [name](const HttpHeader &header) { return isSameName(header.name, name); }));
}

/// Names that the Connection headers list.
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
        return "the request target is no path";
    for (const HttpHeader &header : head.headers) {
        if (!isToken(header.name))
            return "a header name is no token";
        if (header.value.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
            return "a header value has a line break";
    }
    if (count(head.headers, "Host") != 1)
        return "there is not exactly one Host";
    const std::size_t lengths = count(head.headers, "Content-Length");
    const std::string_view length = headerValue(head.headers, "Content-Length");
    const bool isChunked = findHeader(head.headers, "Transfer-Encoding") != nullptr;
    if (lengths > 1)
        return "there is more than one Content-Length";
    if (lengths == 1 && !isNumber(length))
        return "Content-Length is no number";
    if (lengths == 1 && isChunked)
        return "there are Content-Length and Transfer-Encoding";
    if (count(head.headers, "Transfer-Encoding") > 1
        || (isChunked && !isSameName(headerValue(head.headers, "Transfer-Encoding"), "chunked")))
        return "the transfer coding is not chunked alone";
    const bool hasBody =
        isChunked || (lengths == 1 && length.find_first_not_of('0') != std::string::npos);
    if (hasBody && !head.mayHaveBody)
        return "a request of this method has a body";
    return std::nullopt;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    const std::vector<std::string> listed = connectionNames(headers);
    const auto isHop = [&listed](const HttpHeader &header) {
        const auto isThis = [&header](std::string_view name) {
            return isSameName(header.name, name);
        };
        return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), isThis)
               || std::any_of(listed.begin(), listed.end(), isThis);
    };
    HttpHeaders kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [&isHop](const HttpHeader &header) { return !isHop(header); });
    return kept;
}

} // namespace currantreel
