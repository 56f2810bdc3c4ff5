#ifndef CURRANTREEL_PEER_LINKPROOF_H
#define CURRANTREEL_PEER_LINKPROOF_H

#include "PeerFrame.h"
#include <string_view>

namespace currantreel {

/// Which side of a link opened it. Part of the proof, so that a proof cannot be sent back as one's own.
enum class LinkSide : std::uint8_t { Dialer, Acceptor };

/// Proof of @p prover towards a side that sent @p challenge.
/// @param secret the cluster secret of the settings.
/// @param prover greeting of the side that proves itself.
/// @param side side of the prover.
[[nodiscard]] LinkHash computeProof(std::string_view secret, const Greeting &prover,
                                    const LinkNonce &challenge, LinkSide side);

/// True if @p proof is what computeProof gives, compared in constant time.
[[nodiscard]] bool isProofValid(const Proof &proof, std::string_view secret, const Greeting &prover,
                                const LinkNonce &challenge, LinkSide side);

/// A fresh random nonce.
[[nodiscard]] LinkNonce generateNonce();

} // namespace currantreel

#endif
