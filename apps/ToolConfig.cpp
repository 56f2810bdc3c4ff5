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

ABSL_FLAG(std::string, author, "", "config propose: who proposes the patch");
ABSL_FLAG(std::string, reason, "", "config propose: why");
ABSL_FLAG(bool, rebase, false, "config propose: FILE is a patch; move it to the version in force");
ABSL_FLAG(bool, unchecked, false, "config submit: publish whatever the verdict");

namespace currantreel::tool {

namespace {

using Arguments = std::vector<std::string>;

int statusOf(const Error &error)
{
    return error.code == ResultCode::ToolHostUnreachable ? exitUnreachable : exitUsage;
}

int failed(const Error &error)
{
    return report(error, statusOf(error));
}

/// Prints the verdict on @p text as the next patch of @p log.
int printVerdict(const ConfigurationLog &log, const std::string &text)
{
    const auto judged = validatePatch(log.position() + 1, text, *log.configuration());
    if (const auto *rejection = std::get_if<PatchRejection>(&judged)) {
        for (const Fault &fault : rejection->faults)
            fmt::print(stderr, "{}\n", toText(fault));
        fmt::print(stderr, "patch {} is rejected; version in force {}\n", log.position() + 1,
                   log.version());
        return report(rejection->error, exitNo);
    }
    fmt::print(stderr, "patch {} is accepted\n", log.position() + 1);
    return exitOk;
}

int checkDocument(const std::string &file)
{
    const auto text = readText(file);
    if (isError(text))
        return failed(error(text));
    const auto parsed = parseConfiguration(value(text), file);
    if (const auto *faults = std::get_if<FaultList>(&parsed))
        return printFaults(*faults);
    fmt::print("{}: all right, digest {}\n", file, digestOf(value(text)));
    return exitOk;
}

int check(const Arguments &arguments)
{
    if (arguments.size() == 3)
        return checkDocument(arguments[2]);
    const auto log = loadLog(arguments[2]);
    if (isError(log))
        return failed(error(log));
    const auto patch = readText(arguments[3]);
    return isError(patch) ? failed(error(patch)) : printVerdict(value(log), value(patch));
}

int init(const Arguments &arguments)
{
    const auto text = readText(arguments[3]);
    if (isError(text))
        return failed(error(text));
    const auto parsed = parseConfiguration(value(text), arguments[3]);
    if (const auto *faults = std::get_if<FaultList>(&parsed))
        return printFaults(*faults);
    if (const auto failure = publishFirst(arguments[2], value(text)))
        return failed(*failure);
    fmt::print("version 1, digest {}\n", digestOf(value(text)));
    return exitOk;
}

/// @p text as a patch on @p version: with a new base, or with a head in front.
std::string onVersion(const std::string &text, std::uint64_t version)
{
    if (!absl::GetFlag(FLAGS_rebase))
        return fmt::format("schema = {}\nbase = {}\nauthor = {}\nreason = {}\n\n{}",
                           supportedSchema, version, quotedToml(absl::GetFlag(FLAGS_author)),
                           quotedToml(absl::GetFlag(FLAGS_reason)), text);
    std::string rebased;
    bool isMoved = false;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size() - 1) + 1;
        const std::string line = text.substr(at, end - at);
        const bool isBase = !isMoved && line.compare(0, 4, "base") == 0;
        rebased += isBase ? fmt::format("base = {}\n", version) : line;
        isMoved = isMoved || isBase;
        at = end;
    }
    return rebased;
}

int propose(const Arguments &arguments)
{
    const bool hasHead =
        absl::GetFlag(FLAGS_rebase)
        || (!absl::GetFlag(FLAGS_author).empty() && !absl::GetFlag(FLAGS_reason).empty());
    if (!hasHead)
        return usageError("config propose takes --author and --reason, or --rebase");
    const auto log = loadLog(arguments[2]);
    if (isError(log))
        return failed(error(log));
    const auto changes = readText(arguments[3]);
    if (isError(changes))
        return failed(error(changes));
    const std::string patch = onVersion(value(changes), value(log).version());
    fmt::print("{}", patch);
    return printVerdict(value(log), patch);
}

int submit(const Arguments &arguments)
{
    if (!isDirectory(arguments[2]) || arguments[2].find('@') != std::string::npos)
        return usageError("config submit takes the operators' directory");
    auto log = loadLog(arguments[2]);
    if (isError(log))
        return failed(error(log));
    const auto patch = readText(arguments[3]);
    if (isError(patch))
        return failed(error(patch));
    const int verdict = printVerdict(value(log), value(patch));
    if (verdict != exitOk && !absl::GetFlag(FLAGS_unchecked))
        return verdict;
    const std::uint64_t number = value(log).position() + 1;
    if (value(log).append(number, value(patch), TimePoint()) == AppendOutcome::Held)
        return exitNo;
    if (const auto failure = publishPatch(arguments[2], value(log), value(patch)))
        return failed(*failure);
    fmt::print("patch {}, version {}, digest {}\n", number, value(log).version(),
               value(log).digest());
    return exitOk;
}

int show(const Arguments &arguments)
{
    const auto log = loadLog(arguments[2]);
    if (isError(log))
        return failed(error(log));
    fmt::print("{}", value(log).snapshot());
    return exitOk;
}

/// The entries of a document, each with its lines.
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

void printOnlyIn(const std::set<std::string> &entries, const std::set<std::string> &others,
                 char sign)
{
    for (const std::string &entry : entries) {
        if (others.contains(entry))
            continue;
        fmt::print("{} ", sign);
        for (const char letter : entry)
            fmt::print("{}", letter == '\n' ? fmt::format("\n{} ", sign) : std::string(1, letter));
        fmt::print("\n");
    }
}

/// The configuration after a patch in a file, or of another source.
Result<ConfigurationLog> loadOther(const std::string &source, const std::string &other)
{
    const auto patch = readText(other);
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
        return failed(error(from));
    const auto to = loadOther(arguments[2], arguments[3]);
    if (isError(to))
        return failed(error(to));
    const auto before = entriesOf(*value(from).configuration());
    const auto after = entriesOf(*value(to).configuration());
    printOnlyIn(before, after, '-');
    printOnlyIn(after, before, '+');
    return before == after ? exitOk : exitNo;
}

void printRecord(std::uint64_t patch, int code, std::string_view name, std::string_view seen,
                 std::string_view author, std::string_view reason, std::string_view digest)
{
    fmt::print("patch {:<6} {:<8} {:<5} {:<30} {:<20} {}  {}: {}\n", patch,
               code == 0 ? "accepted" : "rejected", code, name, seen, digest, author, reason);
}

int auditHost(const std::string &host)
{
    const auto answer = readHost(host, "/v1/audit");
    if (isError(answer))
        return failed(error(answer));
    for (const nlohmann::json &row : value(answer).at("records"))
        printRecord(row.value("patch", 0UL), row.value("code", 0), row.value("name", ""),
                    row.value("seen", ""), row.value("author", ""), row.value("reason", ""),
                    row.value("digest", ""));
    return exitOk;
}

int audit(const Arguments &arguments)
{
    if (!isDirectory(arguments[2]))
        return auditHost(arguments[2]);
    const auto log = loadLog(arguments[2], StartFrom::FirstSnapshot);
    if (isError(log))
        return failed(error(log));
    for (const AuditRecord &row : value(log).trail().records())
        printRecord(row.position, row.rejection ? number(row.rejection->code) : 0,
                    row.rejection ? info(row.rejection->code).name : "", "", row.author, row.reason,
                    row.digest);
    return exitOk;
}

/// One `config` command.
struct Command
{
    std::string_view name;
    std::size_t fewest; ///< Arguments, with `config` and the name.
    std::size_t most;
    int (*run)(const Arguments &);
};

constexpr std::size_t anyNumber = 1'000;
constexpr std::array commands{
    Command{ "init", 4, 4, &init },         Command{ "check", 3, 4, &check },
    Command{ "propose", 4, 4, &propose },   Command{ "submit", 4, 4, &submit },
    Command{ "show", 3, 3, &show },         Command{ "diff", 4, 4, &diff },
    Command{ "wait", 4, anyNumber, &wait }, Command{ "audit", 3, 3, &audit },
};

} // namespace

int config(const Arguments &arguments)
{
    for (const Command &command : commands) {
        if (arguments.size() < 2 || arguments[1] != command.name)
            continue;
        if (arguments.size() < command.fewest || arguments.size() > command.most)
            return usageError(fmt::format("config {}: wrong number of arguments", command.name));
        return command.run(arguments);
    }
    return usageError("config takes one of: init, check, propose, submit, show, diff, wait, audit");
}

} // namespace currantreel::tool
