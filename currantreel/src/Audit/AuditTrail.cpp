#include "AuditTrail.h"

#include <utility>

namespace currantreel {

void AuditTrail::add(AuditRecord record)
{
    m_records.push_back(std::move(record));
    if (m_records.size() > capacity)
        m_records.pop_front();
}

const AuditRecord *AuditTrail::find(std::uint64_t position) const
{
    // The positions are consecutive, so the offset from the first one is the index.
    if (m_records.empty() || position < m_records.front().position
        || position > m_records.back().position)
        return nullptr;
    return &m_records[position - m_records.front().position];
}

} // namespace currantreel
