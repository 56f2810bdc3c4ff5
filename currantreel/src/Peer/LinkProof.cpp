#include "LinkProof.h"

#include <sodium.h>

namespace currantreel {

namespace {

template <typename T>
void add(crypto_generichash_state &state, const T &value)
{
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&value),
                              sizeof(value));
}

} // namespace

LinkHash computeProof(std::string_view secret, const Greeting &prover, const LinkNonce &challenge,
                      LinkSide side)
{
    // The secret may be of any length, the key of the hash may not.
    std::array<unsigned char, crypto_generichash_KEYBYTES> key{};
    crypto_generichash(key.data(), key.size(),
                       reinterpret_cast<const unsigned char *>(secret.data()), secret.size(),
                       nullptr, 0);
    crypto_generichash_state state;
    LinkHash hash{};
    crypto_generichash_init(&state, key.data(), key.size(), hash.size());
    add(state, side);
    add(state, prover.protocol);
    add(state, prover.host.value);
    add(state, prover.incarnation.value);
    crypto_generichash_update(&state, prover.nonce.data(), prover.nonce.size());
    crypto_generichash_update(&state, challenge.data(), challenge.size());
    crypto_generichash_final(&state, hash.data(), hash.size());
    return hash;
}

bool isProofValid(const Proof &proof, std::string_view secret, const Greeting &prover,
                  const LinkNonce &challenge, LinkSide side)
{
    const LinkHash expected = computeProof(secret, prover, challenge, side);
    return sodium_memcmp(expected.data(), proof.hash.data(), expected.size()) == 0;
}

LinkNonce generateNonce()
{
    LinkNonce nonce{};
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

} // namespace currantreel
