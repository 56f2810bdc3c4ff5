#include "ConfigurationRows.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantreel::detail {

namespace {

constexpr Range targetMilliseconds{ 1, 3'600'000 };
constexpr Range slotRange{ 1, 100'000 };
constexpr Range kvTokenRange{ 0, 1'000'000'000 };
constexpr Range permilleRange{ 0, 1'000 };
constexpr double largestShare = 1'000'000.0;
constexpr double smallestShare = 0.001;
constexpr std::int64_t defaultQueueBoundMilliseconds = 60'000;

template <typename Row>
void insertUnique(Table<Row> &table, Row row, CheckedTable &source)
{
    if (table.find(row.id)) {
        source.fault(ResultCode::ConfigurationDuplicateName, "name",
                     fmt::format("'{}' is declared twice", row.name));
        return;
    }
    table.insert(std::move(row));
}

template <typename IdType>
IdType reference(const KnownEntries &known, const std::string &name, CheckedTable &source,
                 std::string_view key)
{
    const auto id = IdType::ofName(name);
    if (!name.empty() && !known.has(id))
        source.fault(ResultCode::ConfigurationUnknownReference, key,
                     fmt::format("'{}' is not declared", name));
    return id;
}

void readClass(CheckedTable source, Configuration &configuration)
{
    RequestClass row;
    row.name = source.string("name");
    row.id = ClassId::ofName(row.name);
    row.tier = static_cast<Tier>(source.integer("tier", { 0, tierCount - 1 }));
    row.firstTokenTarget = source.milliseconds("first_token_ms", targetMilliseconds);
    row.answerTarget = source.milliseconds("answer_ms", targetMilliseconds);
    row.repeat = static_cast<RepeatRule>(source.choice("repeat", { "idempotent", "never" }));
    row.keys = static_cast<KeyRule>(source.choice("keys", { "optional", "required" }, 0));
    row.late = static_cast<LateRule>(source.choice("late", { "useful", "worthless" }, 0));
    row.isPreemptible = source.boolean("preemptible", false);
    row.queueBound =
        source.milliseconds("queue_bound_ms", targetMilliseconds, defaultQueueBoundMilliseconds);
    row.retryPermille = static_cast<std::uint32_t>(
        source.integer("retry_permille", permilleRange, defaultRetryPermille));
    if (row.isPreemptible && row.repeat == RepeatRule::Never)
        source.fault(ResultCode::SettingsOutOfRange, "preemptible",
                     "a class that may not be repeated cannot be preempted");
    source.rejectUnknownKeys();
    insertUnique(configuration.classes, std::move(row), source);
}

void readWorkspace(CheckedTable source, Configuration &configuration, const KnownEntries &known)
{
    Workspace row;
    row.name = source.string("name");
    row.id = WorkspaceId::ofName(row.name);
    row.defaultClass =
        reference<ClassId>(known, source.string("default_class"), source, "default_class");
    row.share = source.real("share", smallestShare, largestShare, 1.0);
    source.rejectUnknownKeys();
    insertUnique(configuration.workspaces, std::move(row), source);
}

void readModel(CheckedTable source, Configuration &configuration)
{
    Model row;
    row.name = source.string("name");
    row.id = ModelId::ofName(row.name);
    source.rejectUnknownKeys();
    insertUnique(configuration.models, std::move(row), source);
}

void readBackendServer(CheckedTable source, Configuration &configuration, const KnownEntries &known)
{
    BackendServer row;
    row.name = source.string("name");
    row.id = BackendServerId::ofName(row.name);
    row.kind = static_cast<BackendKind>(source.choice("kind", { "engine", "service" }));
    row.failureDomainName = source.string("failure_domain");
    row.failureDomain = FailureDomainId::ofName(row.failureDomainName);
    row.address = source.address("address");
    row.slots = static_cast<std::uint32_t>(source.integer("slots", slotRange));
    if (row.kind == BackendKind::Engine) {
        for (const std::string &model : source.strings("models", true))
            row.models.push_back(reference<ModelId>(known, model, source, "models"));
        row.kvTokens = static_cast<std::uint32_t>(source.integer("kv_tokens", kvTokenRange, 0));
    } else {
        row.serviceName = source.string("service");
        row.service = ServiceId::ofName(row.serviceName);
    }
    source.rejectUnknownKeys();
    insertUnique(configuration.backendServers, std::move(row), source);
}

void readFloors(CheckedTable source, Configuration &configuration)
{
    std::int64_t sum = 0;
    for (Tier tier = 0; tier < tierCount; ++tier) {
        const std::int64_t permille = source.integer(fmt::format("tier{}", tier), permilleRange, 0);
        configuration.floorPermille[tier] = static_cast<std::uint32_t>(permille);
        sum += permille;
    }
    if (sum > permilleRange.highest)
        source.fault(ResultCode::SettingsOutOfRange, "tier0",
                     "the floors add up to more than 1000");
    source.rejectUnknownKeys();
}

} // namespace

bool KnownEntries::isRemoved(EntryKind kind, std::uint64_t id) const
{
    return removals
           && std::any_of(removals->begin(), removals->end(), [&](const EntryRemoval &removal) {
                  return removal.kind == kind && removal.id == id;
              });
}

bool KnownEntries::has(ClassId id) const
{
    return declared->classes.find(id)
           || (base && base->classes.find(id) && !isRemoved(EntryKind::Class, id.value));
}

bool KnownEntries::has(ModelId id) const
{
    return declared->models.find(id)
           || (base && base->models.find(id) && !isRemoved(EntryKind::Model, id.value));
}

bool readRows(CheckedTable &root, Configuration &configuration, const KnownEntries &known)
{
    const bool hasFloors = root.has("floor_permille");
    readFloors(root.table("floor_permille", false), configuration);
    for (CheckedTable &source : root.tables("class"))
        readClass(source, configuration);
    for (CheckedTable &source : root.tables("model"))
        readModel(source, configuration);
    for (CheckedTable &source : root.tables("workspace"))
        readWorkspace(source, configuration, known);
    for (CheckedTable &source : root.tables("backend_server"))
        readBackendServer(source, configuration, known);
    return hasFloors;
}

} // namespace currantreel::detail
