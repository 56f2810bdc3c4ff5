#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONMESSAGES_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONMESSAGES_H

#include "../Core/Id.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantreel {

/// Maximum bytes of patches or of a snapshot in one message, which is below 64 KiB when encoded.
inline constexpr std::size_t maxMessagePayloadBytes = 60'000;

/// Announces the position of the sender's log.
struct ConfigurationAnnounce
{
    std::uint64_t position = 0;
    std::string digest; ///< Digest of the log up to the position.
    bool isAnswerWanted = false; ///< The receiver is to announce its own position.
};

/// Requests the log from patch `number` on.
struct PatchRequest
{
    std::uint64_t number = 0;
    std::uint64_t offset = 0; ///< Bytes of that patch that the sender already has.
};

/// Chunk of one patch.
struct PatchChunk
{
    std::uint64_t number = 0;
    std::uint64_t size = 0; ///< Size of the complete patch, in bytes.
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Patches in the order of the log; the last one may be incomplete.
struct PatchBatch
{
    std::uint64_t position = 0; ///< Position of the sender's log.
    std::vector<PatchChunk> chunks;
};

/// Requests the next chunk of a snapshot whose first SnapshotChunk has arrived.
struct SnapshotRequest
{
    std::uint64_t position = 0;
    std::uint64_t offset = 0;
};

/// Chunk of a snapshot.
struct SnapshotChunk
{
    std::uint64_t position = 0; ///< Position of the log that the snapshot holds.
    std::uint64_t size = 0; ///< Size of the complete snapshot, in bytes.
    std::uint64_t offset = 0;
    std::string bytes;
};

/// The backend servers that the platform's list marks as leaving. Hosts that watch the platform
/// send it within their failure domain, so that the other hosts need not read the list often.
struct LeavingServers
{
    std::vector<BackendServerId> servers;
};

} // namespace currantreel

#endif
