#ifndef CURRANTREEL_SETTINGS_ADDRESS_H
#define CURRANTREEL_SETTINGS_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantreel {

/// IP number and TCP port.
struct Address
{
    std::string ip; ///< IPv4 or IPv6 number, without brackets.
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
};

/// Reads "127.0.0.1:8080" or "[::1]:8080". Host names are not accepted.
/// @return nothing if @p text is not an IP number with a port from 1 to 65535.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

/// @p address in the form that parseAddress reads.
[[nodiscard]] std::string toText(const Address &address);

} // namespace currantreel

#endif
