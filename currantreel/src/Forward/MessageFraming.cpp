#include "MessageFraming.h"

#include <algorithm>
#include <string_view>

namespace currantreel {

namespace {

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

} // namespace

std::optional<std::string> findFramingFault(const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        if (!isToken(header.name))
            return "header name is not a valid token";
        if (header.value.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
            return "header value contains a line break or NUL";
    }
    const std::size_t lengths = countHeaders(headers, "Content-Length");
    const std::size_t codings = countHeaders(headers, "Transfer-Encoding");
    if (lengths > 1)
        return "more than one Content-Length header";
    if (lengths == 1 && !isNumber(headerValue(headers, "Content-Length")))
        return "Content-Length is not a number";
    if (lengths > 0 && codings > 0)
        return "both Content-Length and Transfer-Encoding are present";
    if (codings > 1
        || (codings == 1 && !isSameName(headerValue(headers, "Transfer-Encoding"), "chunked")))
        return "Transfer-Encoding is not exactly \"chunked\"";
    return std::nullopt;
}

} // namespace currantreel
