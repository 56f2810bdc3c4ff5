#ifndef CURRANTREEL_SETTINGS_ADDRESS_H
#define CURRANTREEL_SETTINGS_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantreel {

/// IP address and TCP port.
struct Address
{
    std::string ip; ///< IPv4 or IPv6 address, without brackets.
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are not accepted.
/// @return nothing if @p text is not an IP address with a port from 1 to 65535.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

/// @p address in the form that parseAddress accepts.
[[nodiscard]] std::string toText(const Address &address);

} // namespace currantreel

#endif
