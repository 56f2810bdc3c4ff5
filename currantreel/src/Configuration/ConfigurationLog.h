#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATIONLOG_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATIONLOG_H

#include "../Audit/AuditTrail.h"
#include "Configuration.h"
#include "ConfigurationPatch.h"
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace currantreel {

/// Result of appending a patch to the log.
enum class AppendOutcome : std::uint8_t { Accepted, Rejected, Held, OutOfOrder };

/// A patch whose schema this build does not support. No later patch is applied.
struct HeldPatch
{
    std::uint64_t number = 0;
    Error error;
};

/// The ordered log of patches and the configuration that results from it.
///
/// Position n means that patches 1 to n have been validated; the version in force is the number of
/// the last accepted one. Verdicts, versions and digests depend on the log alone, so hosts agree on
/// them without communication. Neither position nor version ever decreases.
class ConfigurationLog
{
public:
    /// Limits on the patches, and their bytes, that are retained to be sent to other hosts.
    static constexpr std::size_t maxRetainedPatches = 1'024;
    static constexpr std::size_t maxRetainedBytes = 4'000'000;

    ConfigurationLog() = default;
    // The configuration is modified in place, so a copy of the log would share it.
    ConfigurationLog(const ConfigurationLog &) = delete;
    ConfigurationLog &operator=(const ConfigurationLog &) = delete;
    ConfigurationLog(ConfigurationLog &&) = default;
    ConfigurationLog &operator=(ConfigurationLog &&) = default;

    /// Validates patch @p number and, if it is accepted, applies all of its changes.
    /// @param decidedAt time at which this host reaches the verdict, for the audit trail.
    /// @return OutOfOrder unless @p number directly follows the position and no patch is held.
    AppendOutcome append(std::uint64_t number, std::string text, TimePoint decidedAt);

    /// Replaces the log by snapshot @p number if that is ahead of the position.
    /// @return SnapshotMalformed, ConfigurationDigestMismatch or ConfigurationUnknownSchema;
    /// nothing if the snapshot was installed or is not ahead.
    std::optional<Error> install(std::uint64_t number, std::string_view text);

    /// Snapshot of the log at its position.
    [[nodiscard]] std::string snapshot() const;

    [[nodiscard]] std::uint64_t position() const { return m_position; }
    [[nodiscard]] std::uint64_t version() const { return m_configuration->version; }
    /// Digest of the log up to the position.
    [[nodiscard]] const std::string &digest() const { return m_digest; }
    /// The configuration in force. Each accepted patch modifies it in place.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const
    {
        return m_configuration;
    }
    [[nodiscard]] const std::optional<HeldPatch> &held() const { return m_held; }
    [[nodiscard]] const AuditTrail &trail() const { return m_trail; }
    /// Text of patch @p number, or nullptr if it is not retained.
    [[nodiscard]] const std::string *patch(std::uint64_t number) const;

private:
    void retain(std::string text);

    std::shared_ptr<Configuration> m_configuration = std::make_shared<Configuration>();
    std::uint64_t m_position = 0;
    std::string m_digest;
    std::optional<HeldPatch> m_held;
    AuditTrail m_trail;
    std::deque<std::string> m_patches; ///< The latest patches, up to the position.
    std::size_t m_patchBytes = 0;
};

} // namespace currantreel

#endif
