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
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const bool isLetter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || symbols.find(character) != std::string_view::npos;
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
    for (const HttpHeader &header : head.headers) {
        if (!isToken(header.name))
            return "header name is not a valid token";
        if (header.value.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
            return "header value contains a line break or NUL";
    }
    if (count(head.headers, "Host") != 1)
        return "request does not have exactly one Host header";
    const std::size_t lengths = count(head.headers, "Content-Length");
    const std::string_view length = headerValue(head.headers, "Content-Length");
    const bool isChunked = findHeader(head.headers, "Transfer-Encoding") != nullptr;
    if (lengths > 1)
        return "more than one Content-Length header";
    if (lengths == 1 && !isNumber(length))
        return "Content-Length is not a number";
    if (lengths == 1 && isChunked)
        return "both Content-Length and Transfer-Encoding are present";
    if (count(head.headers, "Transfer-Encoding") > 1
        || (isChunked && !isSameName(headerValue(head.headers, "Transfer-Encoding"), "chunked")))
        return "Transfer-Encoding is not exactly \"chunked\"";
    const bool hasBody =
        isChunked || (lengths == 1 && length.find_first_not_of('0') != std::string::npos);
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
