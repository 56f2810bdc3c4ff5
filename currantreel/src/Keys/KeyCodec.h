#ifndef CURRANTREEL_KEYS_KEYCODEC_H
#define CURRANTREEL_KEYS_KEYCODEC_H

#include "IdempotencyKey.h"
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace currantreel {

/// Random secret with which one incarnation authenticates its keys. It never leaves the process.
using KeySecret = std::array<unsigned char, 32>;

/// Encodes and decodes the text form of idempotency keys.
///
/// The text holds the issuer, its incarnation, the key identifier, the expiry and a keyed hash over
/// these. Any host can decode the issuer of a key; only the issuer can verify the hash.
class KeyCodec
{
public:
    explicit KeyCodec(const KeySecret &secret) : m_secret(secret) { }

    [[nodiscard]] std::string encode(const IdempotencyKey &key) const;

    /// Decodes @p text without verifying its hash. Returns nothing if it is malformed.
    [[nodiscard]] static std::optional<IdempotencyKey> decode(std::string_view text);

    /// True if the hash in @p text was made with this incarnation's secret.
    [[nodiscard]] bool isGenuine(std::string_view text) const;

private:
    KeySecret m_secret;
};

} // namespace currantreel

#endif
