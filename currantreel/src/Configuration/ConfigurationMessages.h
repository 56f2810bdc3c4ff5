#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONMESSAGES_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONMESSAGES_H

#include "../Core/Id.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantreel {

/// Most bytes of patches or of a snapshot in one message; with the rest it stays below 64 KiB.
inline constexpr std::size_t maxMessagePayloadBytes = 60'000;

/// Tells a host how far the sender's log is.
struct ConfigurationAnnounce
{
    std::uint64_t position = 0;
    std::string digest; ///< Of the log up to the position.
    bool isAnswerWanted = false;
};

/// Asks for the log from one patch on.
struct PatchRequest
{
    std::uint64_t number = 0;
    std::uint64_t offset = 0; ///< Bytes of that patch which the sender has already.
};

/// Bytes of one patch.
struct PatchChunk
{
    std::uint64_t number = 0;
    std::uint64_t size = 0; ///< Of the whole patch.
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Patches in the order of the log; the last one may be cut off.
struct PatchBatch
{
    std::uint64_t position = 0; ///< Of the sender's log.
    std::vector<PatchChunk> chunks;
};

/// Asks for the next bytes of a snapshot which a SnapshotChunk began.
struct SnapshotRequest
{
    std::uint64_t position = 0;
    std::uint64_t offset = 0;
};

/// Bytes of a snapshot.
struct SnapshotChunk
{
    std::uint64_t position = 0; ///< Of the snapshot.
    std::uint64_t size = 0; ///< Of the whole snapshot.
    std::uint64_t offset = 0;
    std::string bytes;
};

/// The backend servers that leave by the platform's list; sent by config readers within their failure
/// domain, so that the other hosts need not read the list often.
struct LeavingServers
{
    std::vector<BackendServerId> servers;
};

} // namespace currantreel

#endif
