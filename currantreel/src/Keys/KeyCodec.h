#ifndef CURRANTREEL_KEYS_KEYCODEC_H
#define CURRANTREEL_KEYS_KEYCODEC_H

#include "IdempotencyKey.h"
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace currantreel {

/// Random secret of one incarnation. It never leaves the process.
using KeySecret = std::array<unsigned char, 32>;

/// Writes and reads idempotency keys as callers see them.
///
/// The text holds the issuer, its incarnation, a number, the expiry and a keyed hash over these. Any
/// host can read who issued a key; only the issuer can tell whether it is genuine.
class KeyCodec
{
public:
    explicit KeyCodec(const KeySecret &secret) : m_secret(secret) { }

    [[nodiscard]] std::string encode(const IdempotencyKey &key) const;

    /// Reads the form of a key without checking its hash. Nothing if the form is wrong.
    [[nodiscard]] static std::optional<IdempotencyKey> decode(std::string_view text);

    /// True if this incarnation's secret made @p text.
    [[nodiscard]] bool isGenuine(std::string_view text) const;

private:
    KeySecret m_secret;
};

} // namespace currantreel

#endif
