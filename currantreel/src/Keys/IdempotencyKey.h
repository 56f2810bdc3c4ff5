#ifndef CURRANTREEL_KEYS_IDEMPOTENCYKEY_H
#define CURRANTREEL_KEYS_IDEMPOTENCYKEY_H

#include "../Core/Id.h"
#include "../Core/Time.h"

namespace currantreel {

/// Identifies a key within the incarnation that issued it.
using KeyId = Id<struct KeyTag>;

/// Decoded idempotency key.
struct IdempotencyKey
{
    HostId issuer;
    Incarnation incarnation;
    KeyId id;
    TimePoint expires; ///< On the issuer's clock, so no other host can interpret it.
};

} // namespace currantreel

#endif
