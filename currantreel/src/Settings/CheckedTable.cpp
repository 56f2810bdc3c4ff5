#include "CheckedTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <sstream>

namespace currantreel {

std::string toText(const Fault &fault)
{
    return fmt::format("{}:{}: {}: {} ({} {})", fault.file, fault.line, fault.key, fault.message,
                       number(fault.code), info(fault.code).name);
}

namespace detail {

namespace {

const toml::table emptyTable{};

} // namespace

CheckedTable::CheckedTable(const toml::table &table, std::string file, std::string path,
                           FaultList &faults)
    : m_table(&table), m_file(std::move(file)), m_path(std::move(path)), m_faults(&faults)
{
}

std::string CheckedTable::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void CheckedTable::fault(ResultCode code, std::string_view key, std::string message)
{
    const toml::node *found = m_table->get(key);
    const toml::source_region &source = found ? found->source() : m_table->source();
    m_faults->push_back(Fault{ code, m_file, static_cast<int>(source.begin.line), pathOf(key),
                               std::move(message) });
}

const toml::node *CheckedTable::node(std::string_view key, bool isRequired)
{
    m_readKeys.emplace(key);
    const toml::node *found = m_table->get(key);
    if (!found && isRequired)
        fault(ResultCode::SettingsMissingKey, key, "the key is missing");
    return found;
}

std::string CheckedTable::string(std::string_view key, const std::optional<std::string> &fallback)
{
    const toml::node *found = node(key, !fallback);
    if (!found)
        return fallback.value_or("");
    if (const auto text = found->value_exact<std::string>())
        return *text;
    fault(ResultCode::SettingsWrongType, key, "expected a string");
    return "";
}

std::int64_t CheckedTable::integer(std::string_view key, Range range,
                                   std::optional<std::int64_t> fallback)
{
    const toml::node *found = node(key, !fallback);
    if (!found)
        return fallback.value_or(range.lowest);
    const auto number = found->value_exact<std::int64_t>();
    if (!number) {
        fault(ResultCode::SettingsWrongType, key, "expected a whole number");
        return range.lowest;
    }
    if (*number < range.lowest || *number > range.highest) {
        fault(ResultCode::SettingsOutOfRange, key,
              fmt::format("{} is outside {} to {}", *number, range.lowest, range.highest));
        return range.lowest;
    }
    return *number;
}

double CheckedTable::real(std::string_view key, double lowest, double highest,
                          std::optional<double> fallback)
{
    const toml::node *found = node(key, !fallback);
    if (!found)
        return fallback.value_or(lowest);
    if (!found->is_number()) {
        fault(ResultCode::SettingsWrongType, key, "expected a number");
        return lowest;
    }
    const double number = found->value<double>().value_or(lowest);
    if (!(number >= lowest && number <= highest)) {
        fault(ResultCode::SettingsOutOfRange, key,
              fmt::format("{} is outside {} to {}", number, lowest, highest));
        return lowest;
    }
    return number;
}

bool CheckedTable::boolean(std::string_view key, std::optional<bool> fallback)
{
    const toml::node *found = node(key, !fallback);
    if (!found)
        return fallback.value_or(false);
    if (const auto flag = found->value_exact<bool>())
        return *flag;
    fault(ResultCode::SettingsWrongType, key, "expected true or false");
    return false;
}

Duration CheckedTable::milliseconds(std::string_view key, Range range,
                                    std::optional<std::int64_t> fallback)
{
    return std::chrono::milliseconds(integer(key, range, fallback));
}

Duration CheckedTable::seconds(std::string_view key, double lowest, double highest, double fallback)
{
    const std::chrono::duration<double> time(real(key, lowest, highest, fallback));
    return std::chrono::duration_cast<Duration>(time);
}

Address CheckedTable::address(std::string_view key)
{
    const std::string text = string(key);
    if (const auto parsed = parseAddress(text))
        return *parsed;
    if (!text.empty())
        fault(ResultCode::SettingsBadAddress, key,
              fmt::format("'{}' is not an IP number and a port", text));
    return {};
}

std::vector<std::string> CheckedTable::strings(std::string_view key, bool isRequired)
{
    std::vector<std::string> texts;
    const toml::node *found = node(key, isRequired);
    if (!found)
        return texts;
    const toml::array *array = found->as_array();
    if (!array) {
        fault(ResultCode::SettingsWrongType, key, "expected an array of strings");
        return texts;
    }
    for (const toml::node &element : *array) {
        if (const auto text = element.value_exact<std::string>())
            texts.push_back(*text);
        else
            fault(ResultCode::SettingsWrongType, key, "expected an array of strings");
    }
    return texts;
}

std::size_t CheckedTable::choice(std::string_view key, const std::vector<std::string> &choices,
                                 std::optional<std::size_t> fallback)
{
    const std::optional<std::string> fallbackText =
        fallback ? std::optional(choices[*fallback]) : std::nullopt;
    const bool isPresent = m_table->get(key) != nullptr;
    const std::string text = string(key, fallbackText);
    const auto position = std::find(choices.begin(), choices.end(), text);
    if (position != choices.end())
        return static_cast<std::size_t>(position - choices.begin());
    if (isPresent && !text.empty())
        fault(ResultCode::SettingsOutOfRange, key,
              fmt::format("'{}' is not one of: {}", text, fmt::join(choices, ", ")));
    return 0;
}

CheckedTable CheckedTable::table(std::string_view key, bool isRequired)
{
    const toml::node *found = node(key, isRequired);
    if (found && !found->is_table())
        fault(ResultCode::SettingsWrongType, key, "expected a table");
    const toml::table *inner = found ? found->as_table() : nullptr;
    return CheckedTable(inner ? *inner : emptyTable, m_file, pathOf(key), *m_faults);
}

std::vector<CheckedTable> CheckedTable::tables(std::string_view key)
{
    std::vector<CheckedTable> inner;
    const toml::node *found = node(key, false);
    if (!found)
        return inner;
    const toml::array *array = found->as_array();
    if (!array) {
        fault(ResultCode::SettingsWrongType, key, "expected an array of tables");
        return inner;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const std::string path = fmt::format("{}[{}]", pathOf(key), i);
        if (const toml::table *element = (*array)[i].as_table())
            inner.emplace_back(*element, m_file, path, *m_faults);
        else
            fault(ResultCode::SettingsWrongType, key, "expected an array of tables");
    }
    return inner;
}

void CheckedTable::rejectUnknownKeys()
{
    for (const auto &[key, unused] : *m_table) {
        if (m_readKeys.find(key.str()) == m_readKeys.end())
            fault(ResultCode::SettingsUnknownKey, key.str(),
                  fmt::format("the key is not known; known here: {}", fmt::join(m_readKeys, ", ")));
    }
}

std::optional<toml::table> parseToml(std::string_view text, const std::string &file,
                                     FaultList &faults)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &failure) {
        faults.push_back(Fault{ ResultCode::SettingsSyntax, file,
                                static_cast<int>(failure.source().begin.line), "(document)",
                                std::string(failure.description()) });
        return std::nullopt;
    }
}

std::optional<std::string> readFile(const std::string &path, FaultList &faults)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    if (stream)
        content << stream.rdbuf();
    if (!stream) {
        faults.push_back(Fault{ ResultCode::SettingsUnreadable, path, 0, "(document)",
                                "the file cannot be read" });
        return std::nullopt;
    }
    return content.str();
}

} // namespace detail

} // namespace currantreel
