#ifndef CURRANTREEL_CORE_PARSENUMBER_H
#define CURRANTREEL_CORE_PARSENUMBER_H

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace currantreel {

/// The number that @p text states, which must consist of digits of @p base only.
[[nodiscard]] inline std::optional<std::uint64_t> parseNumber(std::string_view text, int base = 10)
{
    std::uint64_t number = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (fault != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace currantreel

#endif
