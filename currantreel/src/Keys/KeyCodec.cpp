#include "KeyCodec.h"

#include <charconv>
#include <fmt/format.h>
#include <sodium.h>

namespace currantreel {

namespace {

constexpr std::string_view keyPrefix = "ck1-";
constexpr std::size_t fieldDigits = 16;
constexpr std::size_t fieldCount = 4;
constexpr std::size_t hashBytes = 16;
constexpr std::size_t bodyLength = keyPrefix.size() + fieldCount * (fieldDigits + 1);
constexpr std::size_t keyLength = bodyLength + 2 * hashBytes;

std::string keyedHash(std::string_view text, const KeySecret &secret)
{
    std::array<unsigned char, hashBytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(text.data()), text.size(),
                       secret.data(), secret.size());
    std::array<char, 2 * hashBytes + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    return hex.data();
}

std::optional<std::uint64_t> parseField(std::string_view text, std::size_t field)
{
    const std::size_t begin = keyPrefix.size() + field * (fieldDigits + 1);
    const char *const first = text.data() + begin;
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(first, first + fieldDigits, number, 16);
    if (failure != std::errc() || end != first + fieldDigits || *end != '-')
        return std::nullopt;
    return number;
}

} // namespace

std::string KeyCodec::encode(const IdempotencyKey &key) const
{
    const auto expires = static_cast<std::uint64_t>(key.expires.time_since_epoch().count());
    const std::string body =
        fmt::format("{}{:016x}-{:016x}-{:016x}-{:016x}-", keyPrefix, key.issuer.value,
                    key.incarnation.value, key.id.value, expires);
    return body + keyedHash(body, m_secret);
}

std::optional<IdempotencyKey> KeyCodec::decode(std::string_view text)
{
    if (text.size() != keyLength || text.substr(0, keyPrefix.size()) != keyPrefix)
        return std::nullopt;
    std::array<std::uint64_t, fieldCount> fields{};
    for (std::size_t i = 0; i < fieldCount; ++i) {
        const auto field = parseField(text, i);
        if (!field)
            return std::nullopt;
        fields[i] = *field;
    }
    const Duration expires(static_cast<Duration::rep>(fields[3]));
    return IdempotencyKey{ HostId{ fields[0] }, Incarnation{ fields[1] }, KeyId{ fields[2] },
                           TimePoint(expires) };
}

bool KeyCodec::isGenuine(std::string_view text) const
{
    if (text.size() != keyLength)
        return false;
    const std::string expected = keyedHash(text.substr(0, bodyLength), m_secret);
    return sodium_memcmp(expected.data(), text.data() + bodyLength, expected.size()) == 0;
}

} // namespace currantreel
