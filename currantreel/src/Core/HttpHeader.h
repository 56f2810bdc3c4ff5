#ifndef CURRANTREEL_CORE_HTTPHEADER_H
#define CURRANTREEL_CORE_HTTPHEADER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace currantreel {

/// One HTTP header field.
struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// True if @p left and @p right are equal as header names, that is, ignoring ASCII case.
[[nodiscard]] inline bool isSameName(std::string_view left, std::string_view right)
{
    const auto lower = [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character + 'a' - 'A')
                                                    : character;
    };
    if (left.size() != right.size())
        return false;
    for (std::size_t i = 0; i < left.size(); ++i) {
        if (lower(left[i]) != lower(right[i]))
            return false;
    }
    return true;
}

/// First header named @p name, or nullptr.
[[nodiscard]] inline const HttpHeader *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (isSameName(header.name, name))
            return &header;
    }
    return nullptr;
}

/// Value of the first header named @p name, or an empty string.
[[nodiscard]] inline std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    const HttpHeader *header = findHeader(headers, name);
    return header ? std::string_view(header->value) : std::string_view();
}

/// Number of headers named @p name.
[[nodiscard]] inline std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    std::size_t count = 0;
    for (const HttpHeader &header : headers)
        count += isSameName(header.name, name) ? 1 : 0;
    return count;
}

} // namespace currantreel

#endif
