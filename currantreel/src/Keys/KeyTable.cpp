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
        return KeyState::Burnt;
    case Outcome::Unknown:
        break;
    }
    return KeyState::Unknown;
}

} // namespace

KeyClaim KeyTable::claim(const IdempotencyKey &key, RequestId request, std::uint64_t bodyHash,
                         TimePoint now)
{
    Row *row = m_rows.find(key.id);
    if (!row) {
        if (key.expires <= now)
            return KeyClaim::Expired;
        if (m_rows.size() >= m_capacity)
            return KeyClaim::Full;
        m_rows.insert(Row{ key.id, KeyState::Running, request, bodyHash, key.expires, {} });
        return KeyClaim::Run;
    }
    if (row->state == KeyState::Burnt)
        return KeyClaim::Burnt;
    if (row->bodyHash != bodyHash)
        return KeyClaim::Mismatch;
    switch (row->state) {
    case KeyState::Running:
        row->joined.push_back(request);
        return KeyClaim::Join;
    case KeyState::Completed:
        return KeyClaim::Replay;
    case KeyState::Burnt:
        return KeyClaim::Burnt;
    case KeyState::Unknown:
        break;
    }
    return KeyClaim::Unknown;
}

std::vector<RequestId> KeyTable::finish(KeyId id, Outcome outcome)
{
    Row *row = m_rows.find(id);
    if (!row || row->state != KeyState::Running)
        return {};
    row->state = stateAfter(outcome);
    return std::exchange(row->joined, {});
}

std::optional<KeyState> KeyTable::askState(const IdempotencyKey &key, TimePoint now)
{
    if (const Row *row = m_rows.find(key.id))
        return row->state;
    if (key.expires <= now || m_rows.size() >= m_capacity)
        return std::nullopt;
    m_rows.insert(Row{ key.id, KeyState::Burnt, RequestId(), 0, key.expires, {} });
    return KeyState::Burnt;
}

bool KeyTable::hasJoined(KeyId id) const
{
    const Row *row = m_rows.find(id);
    return row && !row->joined.empty();
}

void KeyTable::leave(KeyId id, RequestId request)
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
