#ifndef CURRANTREEL_AUDIT_AUDITTRAIL_H
#define CURRANTREEL_AUDIT_AUDITTRAIL_H

#include "../Core/Result.h"
#include "../Core/Time.h"
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace currantreel {

/// One verdict on a published patch.
struct AuditRecord
{
    std::uint64_t position = 0; ///< Number of the patch.
    std::uint64_t version = 0; ///< Version in force afterwards.
    std::string digest; ///< Of the log up to and with the patch; the same on all hosts.
    std::string author;
    std::string reason;
    std::optional<Error> rejection; ///< Nothing if the patch was accepted.
    TimePoint decidedAt; ///< When this host reached the verdict.
};

/// The latest verdicts in the order of the log.
class AuditTrail
{
public:
    /// Most records kept; older ones are dropped.
    static constexpr std::size_t capacity = 1'000;

    void add(AuditRecord record);
    /// Forgets all records: the log goes on from a snapshot, which holds no verdicts.
    void clear() { m_records.clear(); }

    [[nodiscard]] const std::deque<AuditRecord> &records() const { return m_records; }
    /// Record of patch @p position, or nullptr if it is not kept.
    [[nodiscard]] const AuditRecord *find(std::uint64_t position) const;

private:
    std::deque<AuditRecord> m_records;
};

} // namespace currantreel

#endif
