#include "ConfigurationPatch.h"

#include "ConfigurationDocument.h"
#include "ConfigurationRows.h"
#include <algorithm>
#include <fmt/format.h>

namespace currantreel {

namespace {

using detail::CheckedTable;

const std::vector<std::string> kindNames{ "class", "workspace", "model", "backend_server" };

PatchHeader readHead(CheckedTable &root)
{
    PatchHeader header;
    header.schema = root.integer("schema", { 1, INT32_MAX });
    header.base = static_cast<std::uint64_t>(root.integer("base", { 0, INT64_MAX }));
    header.author = root.string("author");
    header.reason = root.string("reason");
    return header;
}

template <typename Row>
bool isIn(const Table<Row> &table, std::uint64_t id)
{
    return table.find(typename Table<Row>::IdType{ id }) != nullptr;
}

bool isDeclared(const Configuration &configuration, const EntryRemoval &removal)
{
    switch (removal.kind) {
    case EntryKind::Class:
        return isIn(configuration.classes, removal.id);
    case EntryKind::Workspace:
        return isIn(configuration.workspaces, removal.id);
    case EntryKind::Model:
        return isIn(configuration.models, removal.id);
    case EntryKind::BackendServer:
        return isIn(configuration.backendServers, removal.id);
    }
    return false;
}

bool removes(const ConfigurationPatch &patch, EntryKind kind, std::uint64_t id)
{
    return std::any_of(
        patch.removals.begin(), patch.removals.end(),
        [&](const EntryRemoval &removal) { return removal.kind == kind && removal.id == id; });
}

void readRemoval(CheckedTable source, const Configuration &base, ConfigurationPatch &patch)
{
    EntryRemoval removal;
    removal.kind = static_cast<EntryKind>(source.choice("kind", kindNames));
    removal.name = source.string("name");
    removal.id = WorkspaceId::ofName(removal.name).value;
    source.rejectUnknownKeys();
    if (!isDeclared(base, removal))
        source.fault(ResultCode::PatchRemovesUnknown, "name",
                     fmt::format("there is no {} '{}'",
                                 kindNames[static_cast<std::size_t>(removal.kind)], removal.name));
    if (removes(patch, removal.kind, removal.id))
        source.fault(ResultCode::ConfigurationDuplicateName, "name",
                     fmt::format("'{}' is removed twice", removal.name));
    patch.removals.push_back(std::move(removal));
}

/// Name of an entry of @p base which the patch leaves and which refers to @p removal; empty if none.
std::string userOf(const EntryRemoval &removal, const ConfigurationPatch &patch,
                   const Configuration &base)
{
    if (removal.kind == EntryKind::Class) {
        for (const Workspace &row : base.workspaces) {
            const bool isKept = !patch.declared.workspaces.find(row.id)
                                && !removes(patch, EntryKind::Workspace, row.id.value);
            if (row.defaultClass.value == removal.id && isKept)
                return row.name;
        }
    }
    if (removal.kind == EntryKind::Model) {
        for (const BackendServer &row : base.backendServers) {
            const bool isUser =
                std::find(row.models.begin(), row.models.end(), ModelId{ removal.id })
                != row.models.end();
            if (isUser && !patch.declared.backendServers.find(row.id)
                && !removes(patch, EntryKind::BackendServer, row.id.value))
                return row.name;
        }
    }
    return {};
}

void checkRemovals(CheckedTable &root, const ConfigurationPatch &patch, const Configuration &base)
{
    for (const EntryRemoval &removal : patch.removals) {
        if (isDeclared(patch.declared, removal))
            root.fault(ResultCode::ConfigurationDuplicateName, "remove",
                       fmt::format("'{}' is removed and declared", removal.name));
        if (const std::string user = userOf(removal, patch, base); !user.empty())
            root.fault(ResultCode::PatchRemovesUsed, "remove",
                       fmt::format("'{}' is in use by '{}'", removal.name, user));
    }
}

bool isEmpty(const ConfigurationPatch &patch)
{
    const Configuration &declared = patch.declared;
    return patch.removals.empty() && !patch.hasFloors && declared.classes.isEmpty()
           && declared.workspaces.isEmpty() && declared.models.isEmpty()
           && declared.backendServers.isEmpty();
}

/// Code of a verdict for the code of a fault in the text.
ResultCode verdictOf(ResultCode fault)
{
    switch (fault) {
    case ResultCode::SettingsOutOfRange:
    case ResultCode::SettingsBadAddress:
        return ResultCode::PatchInvalidValue;
    case ResultCode::ConfigurationDuplicateName:
    case ResultCode::ConfigurationUnknownReference:
    case ResultCode::PatchRemovesUsed:
    case ResultCode::PatchRemovesUnknown:
        return fault;
    default:
        return ResultCode::PatchMalformed;
    }
}

PatchRejection refusalOf(PatchHeader header, FaultList faults)
{
    Error error{ verdictOf(faults.front().code), toText(faults.front()) };
    return PatchRejection{ std::move(header), std::move(error), std::move(faults) };
}

PatchRejection refusalOf(PatchHeader header, ResultCode code, std::string detail)
{
    return PatchRejection{ std::move(header), Error{ code, std::move(detail) }, {} };
}

} // namespace

std::variant<ConfigurationPatch, PatchRejection>
validatePatch(std::uint64_t number, std::string_view text, const Configuration &base)
{
    if (text.size() > maxValueBytes)
        return refusalOf({}, ResultCode::PatchTooLarge, fmt::format("{} bytes", text.size()));
    const std::string file = fmt::format("patch/{}", number);
    FaultList faults;
    const auto document = detail::parseToml(text, file, faults);
    if (!document)
        return refusalOf({}, std::move(faults));
    CheckedTable root(*document, file, "", faults);
    ConfigurationPatch patch;
    patch.header = readHead(root);
    if (patch.header.schema > supportedSchema)
        return refusalOf(
            patch.header, ResultCode::PatchHeld,
            fmt::format("schema {} is newer than {}", patch.header.schema, supportedSchema));
    // A rejected patch changes nothing, so a base after the version in force is as good as that.
    if (faults.empty() && (patch.header.base < base.version || patch.header.base >= number))
        return refusalOf(
            patch.header, ResultCode::PatchStaleBase,
            fmt::format("base {}, version in force {}", patch.header.base, base.version));
    for (CheckedTable &source : root.tables("remove"))
        readRemoval(source, base, patch);
    patch.hasFloors =
        detail::readRows(root, patch.declared, { &patch.declared, &base, &patch.removals });
    checkRemovals(root, patch, base);
    root.rejectUnknownKeys();
    if (!faults.empty())
        return refusalOf(patch.header, std::move(faults));
    if (isEmpty(patch))
        return refusalOf(patch.header, ResultCode::PatchEmpty, "the patch states no change");
    return patch;
}

namespace {

void remove(const EntryRemoval &removal, Configuration &configuration)
{
    switch (removal.kind) {
    case EntryKind::Class:
        configuration.classes.remove(ClassId{ removal.id });
        break;
    case EntryKind::Workspace:
        configuration.workspaces.remove(WorkspaceId{ removal.id });
        break;
    case EntryKind::Model:
        configuration.models.remove(ModelId{ removal.id });
        break;
    case EntryKind::BackendServer:
        configuration.backendServers.remove(BackendServerId{ removal.id });
        break;
    }
}

template <typename Row>
void moveRows(Table<Row> &from, Table<Row> &to)
{
    for (Row &row : from)
        to.insert(std::move(row));
}

} // namespace

void applyPatch(ConfigurationPatch &&patch, Configuration &configuration)
{
    for (const EntryRemoval &removal : patch.removals)
        remove(removal, configuration);
    moveRows(patch.declared.classes, configuration.classes);
    moveRows(patch.declared.workspaces, configuration.workspaces);
    moveRows(patch.declared.models, configuration.models);
    moveRows(patch.declared.backendServers, configuration.backendServers);
    if (patch.hasFloors)
        configuration.floorPermille = patch.declared.floorPermille;
}

} // namespace currantreel
