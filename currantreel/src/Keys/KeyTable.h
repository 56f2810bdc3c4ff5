#ifndef CURRANTREEL_KEYS_KEYTABLE_H
#define CURRANTREEL_KEYS_KEYTABLE_H

#include "../Core/Outcome.h"
#include "../Core/Table.h"
#include "IdempotencyKey.h"
#include <optional>
#include <vector>

namespace currantreel {

/// Where the run under a key stands.
enum class KeyState : std::uint8_t {
    Running, ///< The first request under the key is in progress.
    Completed, ///< It ran and its answer was received whole.
    Revoked, ///< It did not run and never will.
    Unknown, ///< It may have run.
};

/// What a request under a key has to do.
enum class KeyClaimResult : std::uint8_t {
    Run, ///< First use: execute it.
    Join, ///< Wait for the running one.
    Replay, ///< Give the kept answer.
    Revoked,
    Unknown,
    Mismatch, ///< The key was used with another body.
    Full, ///< No room for another key.
    Expired,
};

/// Keys used at this incarnation. Never forgets a key before its expiry, after which none runs.
class KeyTable
{
public:
    explicit KeyTable(std::size_t capacity) : m_capacity(capacity) { }

    /// Claims @p key for @p request, whose body hashes to @p bodyHash.
    KeyClaimResult claim(const IdempotencyKey &key, RequestId request, std::uint64_t bodyHash,
                         TimePoint now);

    /// Ends the run under @p id. Returns the requests that joined it.
    std::vector<RequestId> finish(KeyId id, Outcome outcome);

    /// State of the run under @p key. A key not used so far is burnt by asking. Nothing if the key
    /// has expired or the table is full, in which case nobody can tell.
    std::optional<KeyState> queryState(const IdempotencyKey &key, TimePoint now);

    /// True if a request waits for the run under @p id.
    [[nodiscard]] bool hasJoinedRequests(KeyId id) const;

    /// Forgets a joined request whose caller left.
    void removeJoinedRequest(KeyId id, RequestId request);

    /// Forgets expired keys whose run has ended, and returns them.
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
