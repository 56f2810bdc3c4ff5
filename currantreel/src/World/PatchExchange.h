#ifndef CURRANTREEL_WORLD_PATCHEXCHANGE_H
#define CURRANTREEL_WORLD_PATCHEXCHANGE_H

#include "../Configuration/ConfigurationLog.h"
#include "../Configuration/ConfigurationMessages.h"
#include "StepContext.h"
#include <string>
#include <vector>

namespace currantreel {

/// Fetches patches and snapshots from hosts that are ahead, and sends them to hosts that are
/// behind. At most one request is outstanding, and the size of every message is bounded.
class PatchExchange
{
public:
    /// Records that the log of @p host has reached @p position.
    void onAhead(const StepContext &context, HostId host, std::uint64_t position);
    void onRequest(StepContext &context, HostId from, const PatchRequest &request,
                   const ConfigurationLog &log);
    void onRequest(StepContext &context, HostId from, const SnapshotRequest &request,
                   const ConfigurationLog &log);
    void onBatch(const StepContext &context, HostId from, const PatchBatch &batch,
                 ConfigurationLog &log);
    void onChunk(StepContext &context, HostId from, const SnapshotChunk &part,
                 ConfigurationLog &log);

    /// Sends a request to the host that is furthest ahead; drops a host that does not answer in
    /// time.
    void run(StepContext &context, const ConfigurationLog &log);

    /// Highest position reported by any host.
    [[nodiscard]] std::uint64_t highestPosition() const { return m_highestPosition; }

private:
    /// A host that is ahead.
    struct Source
    {
        HostId host;
        std::uint64_t position = 0;
    };

    void sendChunk(StepContext &context, HostId to, std::uint64_t offset) const;
    void sendPatches(StepContext &context, HostId to, const PatchRequest &request,
                     const ConfigurationLog &log) const;
    /// Completes the outstanding request if @p from is its recipient.
    /// @return whether it is.
    bool completeRequest(HostId from);
    void dropSource(HostId host);

    std::vector<Source> m_sources;
    std::uint64_t m_highestPosition = 0;
    HostId m_requestedFrom; ///< Recipient of the outstanding request; invalid if none.
    TimePoint m_answerDeadline;
    std::uint64_t m_partialPatchNumber = 0; ///< Patch that was received in part.
    std::string m_partialPatch;
    std::uint64_t m_incomingPosition = 0; ///< Snapshot that was received in part.
    std::string m_incomingSnapshot;
    std::uint64_t m_outgoingPosition = 0; ///< Snapshot that is being sent.
    std::string m_outgoingSnapshot;
    TimePoint m_outgoingUsedAt;
};

} // namespace currantreel

#endif
