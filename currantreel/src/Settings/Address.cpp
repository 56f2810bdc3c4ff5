#include "Address.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace currantreel {

namespace {

bool isIpAddress(const std::string &ip)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, ip.c_str(), buffer.data()) == 1
           || inet_pton(AF_INET6, ip.c_str(), buffer.data()) == 1;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    Address address{ std::string(ip), 0 };
    const auto [end, errorCode] =
        std::from_chars(port.data(), port.data() + port.size(), address.port);
    const bool isValidPort =
        errorCode == std::errc() && end == port.data() + port.size() && address.port != 0;
    if (!isValidPort || !isIpAddress(address.ip))
        return std::nullopt;
    return address;
}

std::string toText(const Address &address)
{
    const bool isIpV6 = address.ip.find(':') != std::string::npos;
    const std::string ip = isIpV6 ? "[" + address.ip + "]" : address.ip;
    return ip + ":" + std::to_string(address.port);
}

} // namespace currantreel
