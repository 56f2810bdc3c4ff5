#include "SoundRequests.h"

namespace currantreel {

void SoundRequests::add(TimePoint now, std::uint64_t digest)
{
    m_proofs.resize(maxRequests);
    m_proofs[digest % maxRequests] = Proof{ digest, now };
}

std::optional<TimePoint> SoundRequests::lastSound(std::uint64_t digest) const
{
    if (m_proofs.empty() || m_proofs[digest % maxRequests].digest != digest)
        return std::nullopt;
    return m_proofs[digest % maxRequests].at;
}

} // namespace currantreel
