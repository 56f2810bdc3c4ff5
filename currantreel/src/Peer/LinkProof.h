#ifndef CURRANTREEL_PEER_LINKPROOF_H
#define CURRANTREEL_PEER_LINKPROOF_H

#include "PeerFrame.h"
#include <string_view>

namespace currantreel {

/// Role of a host on a link: the dialer opened it. The role is included in the proof, which
/// prevents reflection attacks: a host cannot return the proof that it received as its own.
enum class LinkSide : std::uint8_t { Dialer, Acceptor };

/// Computes the proof of knowledge of the cluster secret.
/// @param secret the cluster secret from the settings.
/// @param prover greeting of the host that authenticates itself.
/// @param challenge nonce of the host that verifies the proof.
/// @param side role of the prover.
[[nodiscard]] LinkHash computeProof(std::string_view secret, const Greeting &prover,
                                    const LinkNonce &challenge, LinkSide side);

/// Returns true if @p proof equals the result of computeProof() for the other arguments. The hashes
/// are compared in constant time.
[[nodiscard]] bool isProofValid(const Proof &proof, std::string_view secret, const Greeting &prover,
                                const LinkNonce &challenge, LinkSide side);

/// Generates a random nonce.
[[nodiscard]] LinkNonce generateNonce();

} // namespace currantreel

#endif
