#ifndef CURRANTREEL_SETTINGS_CHECKEDTABLE_H
#define CURRANTREEL_SETTINGS_CHECKEDTABLE_H

#include "../Core/Time.h"
#include "Address.h"
#include "Fault.h"
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace currantreel::detail {

/// Closed interval of integers.
struct Range
{
    std::int64_t lowest;
    std::int64_t highest;
};

/// Reads typed values from one TOML table, collects all faults and tracks which keys were read.
///
/// This header includes toml++, so only source files that parse documents include it.
class CheckedTable
{
public:
    /// @param file name of the document in reported faults.
    /// @param path dotted path of the table, empty for the root.
    /// @param faults list to which faults are appended. It and @p table must outlive this object.
    CheckedTable(const toml::table &table, std::string file, std::string path, FaultList &faults);

    /// String at @p key, or @p fallback if the key is missing. For this and the following functions
    /// a missing key without a fallback is a fault. After a fault they return an empty value or the
    /// lowest one allowed.
    std::string string(std::string_view key,
                       const std::optional<std::string> &fallback = std::nullopt);
    /// Integer within @p range.
    std::int64_t integer(std::string_view key, Range range,
                         std::optional<std::int64_t> fallback = std::nullopt);
    /// Real number from @p lowest to @p highest.
    double real(std::string_view key, double lowest, double highest,
                std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
    /// Duration given as an integer of milliseconds within @p range.
    Duration milliseconds(std::string_view key, Range range,
                          std::optional<std::int64_t> fallback = std::nullopt);
    /// Duration given in seconds, fractions allowed, from @p lowest to @p highest.
    Duration seconds(std::string_view key, double lowest, double highest, double fallback);
    Address address(std::string_view key);
    std::vector<std::string> strings(std::string_view key, bool isRequired);
    /// Index in @p choices of the string at @p key. @p fallback is an index, too.
    std::size_t choice(std::string_view key, const std::vector<std::string> &choices,
                       std::optional<std::size_t> fallback = std::nullopt);

    [[nodiscard]] bool has(std::string_view key) const { return m_table->get(key) != nullptr; }
    /// Table at @p key; an empty one if the key is missing.
    CheckedTable table(std::string_view key, bool isRequired = true);
    /// Tables of the array at @p key; none if the key is missing.
    std::vector<CheckedTable> tables(std::string_view key);

    /// Reports a fault for each key that was not read.
    void rejectUnknownKeys();
    /// Reports a fault at @p key.
    void fault(ResultCode code, std::string_view key, std::string message);

private:
    const toml::node *node(std::string_view key, bool isRequired);
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    const toml::table *m_table;
    std::string m_file;
    std::string m_path;
    FaultList *m_faults;
    std::set<std::string, std::less<>> m_readKeys;
};

/// Parses @p text as TOML.
/// @return nothing after a syntax error, which is appended to @p faults.
[[nodiscard]] std::optional<toml::table> parseToml(std::string_view text, const std::string &file,
                                                   FaultList &faults);

/// Content of the file at @p path.
/// @return nothing if the file cannot be read, which is appended to @p faults.
[[nodiscard]] std::optional<std::string> readFile(const std::string &path, FaultList &faults);

} // namespace currantreel::detail

#endif
