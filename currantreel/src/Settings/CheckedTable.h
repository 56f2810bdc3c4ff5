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

/// Closed range of whole numbers.
struct Range
{
    std::int64_t lowest;
    std::int64_t highest;
};

/// Reads the keys of one TOML table, notes every fault and remembers which keys were read.
///
/// Includes toml++, so only source files that parse documents include this header.
class CheckedTable
{
public:
    /// @param path dotted path of the table, empty for the root.
    CheckedTable(const toml::table &table, std::string file, std::string path, FaultList &faults);

    /// String at @p key, or @p fallback. Without a fallback a missing key is a fault.
    std::string string(std::string_view key,
                       const std::optional<std::string> &fallback = std::nullopt);
    /// Whole number within @p range.
    std::int64_t integer(std::string_view key, Range range,
                         std::optional<std::int64_t> fallback = std::nullopt);
    /// Real number from @p lowest to @p highest.
    double real(std::string_view key, double lowest, double highest,
                std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
    /// Milliseconds within @p range.
    Duration milliseconds(std::string_view key, Range range,
                          std::optional<std::int64_t> fallback = std::nullopt);
    /// Seconds from @p lowest to @p highest, fractions included.
    Duration seconds(std::string_view key, double lowest, double highest, double fallback);
    Address address(std::string_view key);
    std::vector<std::string> strings(std::string_view key, bool isRequired);
    /// Index of the string at @p key among @p choices.
    std::size_t choice(std::string_view key, const std::vector<std::string> &choices,
                       std::optional<std::size_t> fallback = std::nullopt);

    /// True if the table has @p key.
    [[nodiscard]] bool has(std::string_view key) const { return m_table->get(key) != nullptr; }
    /// Table at @p key; an empty one if it is missing.
    CheckedTable table(std::string_view key, bool isRequired = true);
    /// Tables of the array at @p key; none if it is missing.
    std::vector<CheckedTable> tables(std::string_view key);

    /// Notes a fault for each key that was not read.
    void rejectUnknownKeys();
    /// Notes a fault at @p key.
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

/// Parses @p text. A syntax error goes to @p faults and gives nothing.
[[nodiscard]] std::optional<toml::table> parseToml(std::string_view text, const std::string &file,
                                                   FaultList &faults);

/// Whole content of the file at @p path, or a fault.
[[nodiscard]] std::optional<std::string> readFile(const std::string &path, FaultList &faults);

} // namespace currantreel::detail

#endif
