#ifndef CURRANTREEL_WORLD_PATCHEXCHANGE_H
#define CURRANTREEL_WORLD_PATCHEXCHANGE_H

#include "../Configuration/ConfigurationLog.h"
#include "../Configuration/ConfigurationMessages.h"
#include "StepContext.h"
#include <string>
#include <vector>

namespace currantreel {

/// Fetches patches and snapshots from hosts that are ahead, and hands them to hosts that are behind.
/// One request is under way at a time; every message is bounded.
class PatchExchange
{
public:
    /// Notes that @p host has the log up to @p position.
    void onAhead(const StepContext &context, HostId host, std::uint64_t position);
    void onRequest(StepContext &context, HostId from, const PatchRequest &request,
                   const ConfigurationLog &log);
    void onRequest(StepContext &context, HostId from, const SnapshotRequest &request,
                   const ConfigurationLog &log);
    void onBatch(const StepContext &context, HostId from, const PatchBatch &batch,
                 ConfigurationLog &log);
    void onChunk(StepContext &context, HostId from, const SnapshotPart &part,
                 ConfigurationLog &log);

    /// Asks the host that is furthest ahead; gives up on one that does not answer.
    void run(StepContext &context, const ConfigurationLog &log);

    /// Highest position that a host has told of.
    [[nodiscard]] std::uint64_t highest() const { return m_highest; }

private:
    /// A host that is ahead.
    struct Source
    {
        HostId host;
        std::uint64_t position = 0;
    };

    void sendPart(StepContext &context, HostId to, std::uint64_t offset) const;
    void sendPatches(StepContext &context, HostId to, const PatchRequest &request,
                     const ConfigurationLog &log) const;
    /// True if the message comes from the host that was asked.
    bool answers(HostId from);
    void dropSource(HostId host);

    std::vector<Source> m_sources;
    std::uint64_t m_highest = 0;
    HostId m_asked; ///< Host whose answer is waited for; invalid if none.
    TimePoint m_answerBy;
    std::uint64_t m_partialNumber = 0; ///< Patch of which a part has arrived.
    std::string m_partial;
    std::uint64_t m_incomingPosition = 0; ///< Snapshot of which a part has arrived.
    std::string m_incoming;
    std::uint64_t m_outgoingPosition = 0; ///< Snapshot that is being handed over.
    std::string m_outgoing;
    TimePoint m_outgoingUsed;
};

} // namespace currantreel

#endif
