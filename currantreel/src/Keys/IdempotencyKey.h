#ifndef CURRANTREEL_KEYS_IDEMPOTENCYKEY_H
#define CURRANTREEL_KEYS_IDEMPOTENCYKEY_H

#include "../Core/Id.h"
#include "../Core/Time.h"

namespace currantreel {

/// Number of a key within the incarnation that issued it.
using KeyId = Id<struct KeyTag>;

/// Content of an idempotency key.
struct IdempotencyKey
{
    HostId issuer;
    Incarnation incarnation;
    KeyId id;
    TimePoint expires; ///< By the issuer's clock; meaningless elsewhere.
};

} // namespace currantreel

#endif
