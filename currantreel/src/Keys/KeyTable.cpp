#include "KeyTable.h"

#include <algorithm>

namespace currantreel {

namespace {

KeyState stateAfter(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return KeyState::Completed;
    case Outcome::NotRun:
        return KeyState::Revoked;
    case Outcome::Unknown:
        break;
    }
    return KeyState::Unknown;
}

} // namespace

KeyClaimResult KeyTable::claim(const IdempotencyKey &key, RequestId request, std::uint64_t bodyHash,
                               TimePoint now)
{
    Row *row = m_rows.find(key.id);
    if (!row) {
        if (key.expires <= now)
            return KeyClaimResult::Expired;
        if (m_rows.size() >= m_capacity)
            return KeyClaimResult::Full;
        m_rows.insert(Row{ key.id, KeyState::Running, request, bodyHash, key.expires, {} });
        return KeyClaimResult::Run;
    }
    if (row->state == KeyState::Revoked)
        return KeyClaimResult::Revoked;
    if (row->bodyHash != bodyHash)
        return KeyClaimResult::Mismatch;
    switch (row->state) {
    case KeyState::Running:
        row->joined.push_back(request);
        return KeyClaimResult::Join;
    case KeyState::Completed:
        return KeyClaimResult::Replay;
    case KeyState::Revoked:
        return KeyClaimResult::Revoked;
    case KeyState::Unknown:
        break;
    }
    return KeyClaimResult::Unknown;
}

std::vector<RequestId> KeyTable::finish(KeyId id, Outcome outcome)
{
    Row *row = m_rows.find(id);
    if (!row || row->state != KeyState::Running)
        return {};
    row->state = stateAfter(outcome);
    return std::exchange(row->joined, {});
}

std::optional<KeyState> KeyTable::queryState(const IdempotencyKey &key, TimePoint now)
{
    if (const Row *row = m_rows.find(key.id))
        return row->state;
    if (key.expires <= now || m_rows.size() >= m_capacity)
        return std::nullopt;
    m_rows.insert(Row{ key.id, KeyState::Revoked, RequestId(), 0, key.expires, {} });
    return KeyState::Revoked;
}

bool KeyTable::hasJoinedRequests(KeyId id) const
{
    const Row *row = m_rows.find(id);
    return row && !row->joined.empty();
}

void KeyTable::removeJoinedRequest(KeyId id, RequestId request)
{
    if (Row *row = m_rows.find(id))
        std::erase(row->joined, request);
}

std::vector<KeyId> KeyTable::expire(TimePoint now)
{
    std::vector<KeyId> expired;
    m_rows.removeIf([&](const Row &row) {
        const bool isOver = row.expires <= now && row.state != KeyState::Running;
        if (isOver)
            expired.push_back(row.id);
        return isOver;
    });
    return expired;
}

} // namespace currantreel
