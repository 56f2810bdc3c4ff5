#ifndef CURRANTREEL_KEYS_KEYTABLE_H
#define CURRANTREEL_KEYS_KEYTABLE_H

#include "../Core/Outcome.h"
#include "../Core/Table.h"
#include "IdempotencyKey.h"
#include <optional>
#include <vector>

namespace currantreel {

/// State of the run under a key.
enum class KeyState : std::uint8_t {
    Running, ///< The first request under the key is in progress.
    Completed, ///< It ran and its complete answer was received.
    Revoked, ///< It did not run and never will (`key_burnt` to callers).
    Unknown, ///< It may have run.
};

/// How a request under a key is to be handled.
enum class KeyClaimResult : std::uint8_t {
    Run, ///< First use of the key: execute the request.
    Join, ///< Wait for the answer of the request in progress.
    Replay, ///< Return the stored answer.
    Revoked,
    Unknown,
    Mismatch, ///< The key was used with a different body.
    Full, ///< The table has no room for another key.
    Expired,
};

/// Keys used at this incarnation. A key is not removed before it expires, and no run starts under
/// an expired key.
class KeyTable
{
public:
    explicit KeyTable(std::size_t capacity) : m_capacity(capacity) { }

    /// Claims @p key for @p request, whose body has the hash @p bodyHash.
    KeyClaimResult claim(const IdempotencyKey &key, RequestId request, std::uint64_t bodyHash,
                         TimePoint now);

    /// Ends the run under @p id with @p outcome. Returns the requests that joined it.
    std::vector<RequestId> finish(KeyId id, Outcome outcome);

    /// State of the run under @p key. A query revokes a key that was not used before. Returns
    /// nothing if a key without an entry has expired or the table is full; its state is then
    /// unknown.
    std::optional<KeyState> queryState(const IdempotencyKey &key, TimePoint now);

    /// True if a request has joined the run under @p id.
    [[nodiscard]] bool hasJoinedRequests(KeyId id) const;

    /// Removes a joined request whose caller disconnected.
    void removeJoinedRequest(KeyId id, RequestId request);

    /// Removes expired keys whose run has ended, and returns them.
    std::vector<KeyId> expire(TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_rows.size(); }

private:
    struct Row
    {
        KeyId id;
        KeyState state = KeyState::Running;
        RequestId runner;
        std::uint64_t bodyHash = 0;
        TimePoint expires;
        std::vector<RequestId> joined;
    };

    std::size_t m_capacity;
    Table<Row> m_rows;
};

} // namespace currantreel

#endif
