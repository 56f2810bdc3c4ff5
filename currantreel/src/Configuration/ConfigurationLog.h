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

/// What became of a patch handed to the log.
enum class AppendOutcome : std::uint8_t { Accepted, Rejected, Held, OutOfOrder };

/// A patch that this build does not understand. Nothing after it is applied.
struct HeldPatch
{
    std::uint64_t number = 0;
    Error error;
};

/// The ordered log of patches and the configuration that it leads to.
///
/// Position n means that patches 1 to n have been judged; the version in force is the number of the
/// last accepted one. Verdicts, versions and digests depend on the log alone, so hosts agree on them
/// without talking. Neither position nor version ever falls.
class ConfigurationLog
{
public:
    /// Most patches and bytes of patches kept for other hosts.
    static constexpr std::size_t maxRetainedPatches = 1'024;
    static constexpr std::size_t maxRetainedBytes = 4'000'000;

    ConfigurationLog() = default;
    // The configuration is changed in place, so a copy would share it.
    ConfigurationLog(const ConfigurationLog &) = delete;
    ConfigurationLog &operator=(const ConfigurationLog &) = delete;
    ConfigurationLog(ConfigurationLog &&) = default;
    ConfigurationLog &operator=(ConfigurationLog &&) = default;

    /// Judges patch @p number and, if it is accepted, applies it whole.
    /// @return OutOfOrder unless @p number follows the position and no patch is held.
    AppendOutcome append(std::uint64_t number, std::string text, TimePoint decidedAt);

    /// Goes on from snapshot @p number if it is ahead of the position.
    /// @return SnapshotMalformed, ConfigurationDigestMismatch or ConfigurationUnknownSchema; nothing
    /// if the snapshot was taken or is not ahead.
    std::optional<Error> install(std::uint64_t number, std::string_view text);

    /// The snapshot of the present position.
    [[nodiscard]] std::string snapshot() const;

    [[nodiscard]] std::uint64_t position() const { return m_position; }
    [[nodiscard]] std::uint64_t version() const { return m_configuration->version; }
    /// Digest of the log up to the position.
    [[nodiscard]] const std::string &digest() const { return m_digest; }
    /// The configuration in force. It changes in place with each accepted patch.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const
    {
        return m_configuration;
    }
    [[nodiscard]] const std::optional<HeldPatch> &held() const { return m_held; }
    [[nodiscard]] const AuditTrail &trail() const { return m_trail; }
    /// Text of patch @p number, or nullptr if it is not kept.
    [[nodiscard]] const std::string *patch(std::uint64_t number) const;

private:
    void keep(std::string text);

    std::shared_ptr<Configuration> m_configuration = std::make_shared<Configuration>();
    std::uint64_t m_position = 0;
    std::string m_digest;
    std::optional<HeldPatch> m_held;
    AuditTrail m_trail;
    std::deque<std::string> m_patches; ///< The last ones, up to the position.
    std::size_t m_patchBytes = 0;
};

} // namespace currantreel

#endif
