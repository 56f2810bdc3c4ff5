#include "ToolConfig.h"

#include "ToolCommands.h"
#include "ToolPublish.h"
#include "ToolReport.h"
#include "ToolSource.h"
#include "ToolWait.h"
#include <absl/flags/flag.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>
#include <set>

ABSL_FLAG(std::string, author, "", "config propose: author of the patch");
ABSL_FLAG(std::string, reason, "", "config propose: reason for the patch");
ABSL_FLAG(bool, rebase, false,
          "config propose: FILE is a patch; replace its base by the version in force");
ABSL_FLAG(bool, unchecked, false, "config submit: publish the patch whatever the verdict");

namespace currantreel::tool {

namespace {

using Arguments = std::vector<std::string>;

int exitStatusFor(const Error &error)
{
    return error.code == ResultCode::ToolHostUnreachable ? exitUnreachable : exitUsage;
}

int reportFailure(const Error &error)
{
    return report(error, exitStatusFor(error));
}

/// Validates @p text as the next patch of @p log and prints whether it is accepted.
/// @return the exit status.
int printVerdict(const ConfigurationLog &log, const std::string &text)
{
    const auto validated = validatePatch(log.position() + 1, text, *log.configuration());
    if (const auto *rejection = std::get_if<PatchRejection>(&validated)) {
        for (const Fault &fault : rejection->faults)
            fmt::print(stderr, "{}\n", toText(fault));
        fmt::print(stderr, "patch {} is rejected; version in force {}\n", log.position() + 1,
                   log.version());
        return report(rejection->error, exitNegative);
    }
    fmt::print(stderr, "patch {} is accepted\n", log.position() + 1);
    return exitOk;
}

int checkDocument(const std::string &file)
{
    const auto text = readTextFile(file);
    if (isError(text))
        return reportFailure(error(text));
    const auto parsed = parseConfiguration(value(text), file);
    if (const auto *faults = std::get_if<FaultList>(&parsed))
        return printFaults(*faults);
    fmt::print("{}: valid, digest {}\n", file, digestOf(value(text)));
    return exitOk;
}

int check(const Arguments &arguments)
{
    if (arguments.size() == 3)
        return checkDocument(arguments[2]);
    const auto log = loadLog(arguments[2]);
    if (isError(log))
        return reportFailure(error(log));
    const auto patch = readTextFile(arguments[3]);
    return isError(patch) ? reportFailure(error(patch)) : printVerdict(value(log), value(patch));
}

int init(const Arguments &arguments)
{
    const auto text = readTextFile(arguments[3]);
    if (isError(text))
        return reportFailure(error(text));
    const auto parsed = parseConfiguration(value(text), arguments[3]);
    if (const auto *faults = std::get_if<FaultList>(&parsed))
        return printFaults(*faults);
    if (const auto failure = publishInitialVersion(arguments[2], value(text)))
        return reportFailure(*failure);
    fmt::print("version 1, digest {}\n", digestOf(value(text)));
    return exitOk;
}

/// Returns @p text as a patch with base @p version: with --rebase the base line of the patch is
/// replaced, otherwise schema, base, author and reason are prepended.
std::string withBaseVersion(const std::string &text, std::uint64_t version)
{
    if (!absl::GetFlag(FLAGS_rebase))
        return fmt::format("schema = {}\nbase = {}\nauthor = {}\nreason = {}\n\n{}",
                           supportedSchema, version, quotedToml(absl::GetFlag(FLAGS_author)),
                           quotedToml(absl::GetFlag(FLAGS_reason)), text);
    const auto isBaseLine = [](std::string_view line) {
        constexpr std::string_view key = "base";
        if (line.compare(0, key.size(), key) != 0)
            return false;
        const std::size_t next = line.find_first_not_of(" \t", key.size());
        return next != std::string_view::npos && line[next] == '=';
    };
    std::string rebased;
    bool hasReplacedBase = false;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size() - 1) + 1;
        const std::string line = text.substr(at, end - at);
        const bool isBase = !hasReplacedBase && isBaseLine(line);
        rebased += isBase ? fmt::format("base = {}\n", version) : line;
        hasReplacedBase = hasReplacedBase || isBase;
        at = end;
    }
    return rebased;
}

int propose(const Arguments &arguments)
{
    const bool hasMetadata =
        absl::GetFlag(FLAGS_rebase)
        || (!absl::GetFlag(FLAGS_author).empty() && !absl::GetFlag(FLAGS_reason).empty());
    if (!hasMetadata)
        return usageError("config propose requires --author and --reason, or --rebase");
    const auto log = loadLog(arguments[2]);
    if (isError(log))
        return reportFailure(error(log));
    const auto changes = readTextFile(arguments[3]);
    if (isError(changes))
        return reportFailure(error(changes));
    const std::string patch = withBaseVersion(value(changes), value(log).version());
    fmt::print("{}", patch);
    return printVerdict(value(log), patch);
}

int submit(const Arguments &arguments)
{
    if (!isDirectory(arguments[2]) || arguments[2].find('@') != std::string::npos)
        return usageError("config submit requires the operators' directory without a position");
    auto log = loadLog(arguments[2]);
    if (isError(log))
        return reportFailure(error(log));
    const auto patch = readTextFile(arguments[3]);
    if (isError(patch))
        return reportFailure(error(patch));
    const int verdict = printVerdict(value(log), value(patch));
    if (verdict != exitOk && !absl::GetFlag(FLAGS_unchecked))
        return verdict;
    const std::uint64_t number = value(log).position() + 1;
    if (value(log).append(number, value(patch), TimePoint()) == AppendOutcome::Held)
        return exitNegative;
    if (const auto failure = publishPatch(arguments[2], value(log), value(patch)))
        return reportFailure(*failure);
    fmt::print("patch {}, version {}, digest {}\n", number, value(log).version(),
               value(log).digest());
    return exitOk;
}

int show(const Arguments &arguments)
{
    const auto log = loadLog(arguments[2]);
    if (isError(log))
        return reportFailure(error(log));
    fmt::print("{}", value(log).snapshot());
    return exitOk;
}

/// Returns the entries of the document of @p configuration, each as the text of its lines.
std::set<std::string> entriesOf(const Configuration &configuration)
{
    const std::string document = toDocument(configuration);
    std::set<std::string> entries;
    for (std::size_t at = 0; at < document.size();) {
        const std::size_t end = std::min(document.find("\n\n", at), document.size() - 1);
        entries.insert(document.substr(at, end - at));
        at = end + 2;
    }
    return entries;
}

void printEntriesNotIn(const std::set<std::string> &entries, const std::set<std::string> &others,
                       char sign)
{
    for (const std::string &entry : entries) {
        if (others.contains(entry))
            continue;
        fmt::print("{} ", sign);
        for (const char character : entry)
            fmt::print("{}",
                       character == '\n' ? fmt::format("\n{} ", sign) : std::string(1, character));
        fmt::print("\n");
    }
}

/// Returns the log of @p source after applying the patch in file @p other. If @p other is not a
/// readable file, returns the log of the source @p other instead.
Result<ConfigurationLog> loadComparison(const std::string &source, const std::string &other)
{
    const auto patch = readTextFile(other);
    if (isError(patch))
        return loadLog(other);
    auto log = loadLog(source);
    if (isError(log))
        return log;
    const std::uint64_t number = value(log).position() + 1;
    if (value(log).append(number, value(patch), TimePoint()) != AppendOutcome::Accepted) {
        const AuditRecord *record = value(log).trail().find(number);
        return record ? *record->rejection : value(log).held()->error;
    }
    return log;
}

int diff(const Arguments &arguments)
{
    const auto from = loadLog(arguments[2]);
    if (isError(from))
        return reportFailure(error(from));
    const auto to = loadComparison(arguments[2], arguments[3]);
    if (isError(to))
        return reportFailure(error(to));
    const auto before = entriesOf(*value(from).configuration());
    const auto after = entriesOf(*value(to).configuration());
    printEntriesNotIn(before, after, '-');
    printEntriesNotIn(after, before, '+');
    return before == after ? exitOk : exitNegative;
}

void printRecord(std::uint64_t patch, int code, std::string_view name, std::string_view seen,
                 std::string_view author, std::string_view reason, std::string_view digest)
{
    fmt::print("patch {:<6} {:<8} {:<5} {:<30} {:<20} {}  {}: {}\n", patch,
               code == 0 ? "accepted" : "rejected", code, name, seen, digest, author, reason);
}

int auditHost(const std::string &host)
{
    const auto answer = fetchHostJson(host, "/v1/audit");
    if (isError(answer))
        return reportFailure(error(answer));
    try {
        for (const nlohmann::json &row : value(answer).at("records"))
            printRecord(row.value("patch", 0UL), row.value("code", 0), row.value("name", ""),
                        row.value("seen", ""), row.value("author", ""), row.value("reason", ""),
                        row.value("digest", ""));
    } catch (const nlohmann::json::exception &failure) {
        return reportFailure(Error{ ResultCode::ToolHostUnreachable,
                                    host + " sent no audit records: " + failure.what() });
    }
    return exitOk;
}

int audit(const Arguments &arguments)
{
    if (!isDirectory(arguments[2]))
        return auditHost(arguments[2]);
    const auto log = loadLog(arguments[2], StartFrom::FirstSnapshot);
    if (isError(log))
        return reportFailure(error(log));
    for (const AuditRecord &row : value(log).trail().records())
        printRecord(row.position, row.rejection ? number(row.rejection->code) : 0,
                    row.rejection ? info(row.rejection->code).name : "", "", row.author, row.reason,
                    row.digest);
    return exitOk;
}

/// A subcommand of `config` and the number of arguments it accepts.
struct ConfigCommand
{
    std::string_view name;
    std::size_t minArguments; ///< Includes `config` and the subcommand name.
    std::size_t maxArguments;
    int (*run)(const Arguments &);
};

constexpr std::size_t unlimitedArguments = 1'000;
constexpr std::array configCommands{
    ConfigCommand{ "init", 4, 4, &init },
    ConfigCommand{ "check", 3, 4, &check },
    ConfigCommand{ "propose", 4, 4, &propose },
    ConfigCommand{ "submit", 4, 4, &submit },
    ConfigCommand{ "show", 3, 3, &show },
    ConfigCommand{ "diff", 4, 4, &diff },
    ConfigCommand{ "wait", 4, unlimitedArguments, &waitForVersion },
    ConfigCommand{ "audit", 3, 3, &audit },
};

} // namespace

int config(const Arguments &arguments)
{
    for (const ConfigCommand &command : configCommands) {
        if (arguments.size() < 2 || arguments[1] != command.name)
            continue;
        if (arguments.size() < command.minArguments || arguments.size() > command.maxArguments)
            return usageError(fmt::format("config {}: wrong number of arguments", command.name));
        return command.run(arguments);
    }
    return usageError(
        "config requires one of: init, check, propose, submit, show, diff, wait, audit");
}

} // namespace currantreel::tool
