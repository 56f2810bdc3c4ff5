#ifndef CURRANTREEL_PLACEMENT_EVACUATEDDOMAINS_H
#define CURRANTREEL_PLACEMENT_EVACUATEDDOMAINS_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace currantreel {

/// Failure domains whose backend servers get no new requests until the operator takes them back.
///
/// After that, the load of the servers there is limited for a while: they are idle and may be cold,
/// and the requests that waited meanwhile would otherwise all be sent to them at once.
class EvacuatedDomains
{
public:
    /// Time in which the limit of a server rises to its full value after its domain was taken back.
    static constexpr Duration returnPeriod = std::chrono::seconds(2);

    struct Evacuation
    {
        std::string name; ///< Name of the failure domain.
        TimePoint since; ///< When this host learned of it.
    };

    /// Evacuates the failure domain @p name. @return false if it is evacuated already.
    bool evacuate(TimePoint now, const std::string &name);

    /// Takes back the failure domain @p name. @return its evacuation; nothing if there is none.
    std::optional<Evacuation> takeBack(TimePoint now, const std::string &name);

    [[nodiscard]] bool contains(FailureDomainId domain) const
    {
        return m_evacuations.contains(domain);
    }
    [[nodiscard]] const std::map<FailureDomainId, Evacuation> &evacuations() const
    {
        return m_evacuations;
    }

    /// Limit of the requests at a server of @p domain.
    /// @param limit outside of the time after an evacuation.
    [[nodiscard]] std::uint32_t limitAfterReturn(FailureDomainId domain, TimePoint now,
                                                 std::uint32_t limit) const;

private:
    std::map<FailureDomainId, Evacuation> m_evacuations;
    std::map<FailureDomainId, TimePoint> m_returnedAt; ///< Of domains that were taken back.
};

} // namespace currantreel

#endif
