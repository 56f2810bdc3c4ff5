#include "ConfigurationWriter.h"

#include "ConfigurationDocument.h"
#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <vector>

namespace currantreel {

std::string quotedToml(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    std::string result = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\')
            result += { '\\', character };
        else if (byte < firstPrintable || byte == 0x7F)
            result += fmt::format("\\u{:04X}", byte);
        else
            result += character;
    }
    return result + '"';
}

namespace {

using Output = std::back_insert_iterator<std::string>;

template <typename Row>
std::vector<const Row *> sortedByName(const Table<Row> &table)
{
    std::vector<const Row *> rows;
    rows.reserve(table.size());
    for (const Row &row : table)
        rows.push_back(&row);
    std::sort(rows.begin(), rows.end(),
              [](const Row *left, const Row *right) { return left->name < right->name; });
    return rows;
}

void write(const RequestClass &row, Output out)
{
    fmt::format_to(out, "\n[[class]]\nname = {}\ntier = {}\n", quotedToml(row.name), row.tier);
    fmt::format_to(out, "first_token_ms = {}\nanswer_ms = {}\n",
                   toMilliseconds(row.firstTokenTarget), toMilliseconds(row.answerTarget));
    fmt::format_to(out, "repeat = \"{}\"\nkeys = \"{}\"\nlate = \"{}\"\n",
                   row.repeat == RepeatRule::Never ? "never" : "idempotent",
                   row.keys == KeyRule::Required ? "required" : "optional",
                   row.late == LateRule::Worthless ? "worthless" : "useful");
    fmt::format_to(out, "preemptible = {}\nqueue_bound_ms = {}\nretry_permille = {}\n",
                   row.isPreemptible, toMilliseconds(row.queueBound), row.retryPermille);
}

void write(const Workspace &row, const Configuration &configuration, Output out)
{
    const RequestClass *requestClass = configuration.classes.find(row.defaultClass);
    fmt::format_to(out, "\n[[workspace]]\nname = {}\ndefault_class = {}\nshare = {}\n",
                   quotedToml(row.name), quotedToml(requestClass ? requestClass->name : ""),
                   row.share);
}

void writeModels(const BackendServer &row, const Configuration &configuration, Output out)
{
    fmt::format_to(out, "models = [");
    std::string_view separator;
    for (const ModelId id : row.models) {
        const Model *model = configuration.models.find(id);
        fmt::format_to(out, "{}{}", separator, quotedToml(model ? model->name : ""));
        separator = ", ";
    }
    fmt::format_to(out, "]\nkv_tokens = {}\n", row.kvTokens);
}

void write(const BackendServer &row, const Configuration &configuration, Output out)
{
    const bool isEngine = row.kind == BackendKind::Engine;
    fmt::format_to(out, "\n[[backend_server]]\nname = {}\nkind = \"{}\"\n", quotedToml(row.name),
                   isEngine ? "engine" : "service");
    fmt::format_to(out, "failure_domain = {}\naddress = {}\nslots = {}\n",
                   quotedToml(row.failureDomainName), quotedToml(toText(row.address)), row.slots);
    if (isEngine)
        writeModels(row, configuration, out);
    else
        fmt::format_to(out, "service = {}\n", quotedToml(row.serviceName));
}

} // namespace

std::string toDocument(const Configuration &configuration)
{
    std::string text = fmt::format("schema = {}\n\n[floor_permille]\n", supportedSchema);
    const Output out(text);
    for (std::size_t tier = 0; tier < configuration.floorPermille.size(); ++tier)
        fmt::format_to(out, "tier{} = {}\n", tier, configuration.floorPermille[tier]);
    for (const RequestClass *row : sortedByName(configuration.classes))
        write(*row, out);
    for (const Model *row : sortedByName(configuration.models))
        fmt::format_to(out, "\n[[model]]\nname = {}\n", quotedToml(row->name));
    for (const Workspace *row : sortedByName(configuration.workspaces))
        write(*row, configuration, out);
    for (const BackendServer *row : sortedByName(configuration.backendServers))
        write(*row, configuration, out);
    return text;
}

} // namespace currantreel
