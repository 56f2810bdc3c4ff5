#ifndef CURRANTREEL_FORWARD_SERVERHEALTH_H
#define CURRANTREEL_FORWARD_SERVERHEALTH_H

#include "../Core/Time.h"
#include "PlacementMessages.h"
#include <cstdint>

namespace currantreel {

/// What this host's own requests say of one backend server. A health check that passes counts for
/// nothing here, since a server may fail requests while its health check is good.
class ServerHealth
{
public:
    /// The server gave a whole answer that was no failure of its own.
    void succeeded();

    /// The server answered with a failure, broke an answer off or stayed silent.
    void failed(TimePoint now);

    /// No connection could be made. The server is avoided for a time that doubles with each failure.
    void unreachable(TimePoint now);

    /// Takes over what @p progress says of the server, if anything.
    void judge(TimePoint now, PlacementProgress progress);

    /// Whether the server is to be avoided while others can take the request.
    [[nodiscard]] bool isAvoided(TimePoint now) const { return now < m_avoidedUntil; }

    /// Share of recent requests that failed, 0 to 1.
    [[nodiscard]] double failureShare() const { return m_failureShare; }

private:
    void avoid(TimePoint now);

    double m_failureShare = 0.0;
    std::uint32_t m_samples = 0;
    std::uint32_t m_failuresInRow = 0;
    Duration m_backoff{};
    TimePoint m_avoidedUntil;
};

} // namespace currantreel

#endif
