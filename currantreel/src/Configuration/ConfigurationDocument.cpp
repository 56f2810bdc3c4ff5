#include "ConfigurationDocument.h"

#include "ConfigurationRows.h"
#include <fmt/format.h>
#include <xxhash.h>

namespace currantreel {

using detail::CheckedTable;

std::variant<Configuration, FaultList> parseConfiguration(std::string_view text,
                                                          const std::string &file)
{
    FaultList faults;
    const auto document = detail::parseToml(text, file, faults);
    if (!document)
        return faults;
    Configuration configuration;
    CheckedTable root(*document, file, "", faults);
    const std::int64_t schema = root.integer("schema", { 1, INT32_MAX });
    if (schema > supportedSchema) {
        root.fault(ResultCode::ConfigurationUnknownSchema, "schema",
                   fmt::format("schema {} is newer than {}", schema, supportedSchema));
        return faults;
    }
    detail::readRows(root, configuration, { &configuration, nullptr, nullptr });
    root.rejectUnknownKeys();
    if (!faults.empty())
        return faults;
    return configuration;
}

std::string digestOf(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace currantreel
