#include "WorldFixture.h"
#include <fmt/format.h>
#include <random>

using namespace test;

namespace {

std::string patchOf(std::uint64_t base, const std::string &changes, int schema = 1)
{
    return fmt::format("schema = {}\nbase = {}\nauthor = \"ayse\"\nreason = \"test\"\n{}", schema,
                       base, changes);
}

std::string workspace(const std::string &name, const std::string &defaultClass = "lookup")
{
    return fmt::format("[[workspace]]\nname = \"{}\"\ndefault_class = \"{}\"\n", name,
                       defaultClass);
}

std::string removal(const std::string &kind, const std::string &name)
{
    return fmt::format("[[remove]]\nkind = \"{}\"\nname = \"{}\"\n", kind, name);
}

ConfigurationLog startedLog()
{
    ConfigurationLog log;
    REQUIRE_FALSE(log.install(1, smallConfiguration));
    return log;
}

/// Code of the verdict on @p changes as patch 2; nothing if they are accepted.
std::optional<ResultCode> verdict(const std::string &text)
{
    ConfigurationLog log = startedLog();
    const std::string before = toDocument(*log.configuration());
    const AppendOutcome outcome = log.append(2, text, TimePoint());
    if (outcome == AppendOutcome::Held)
        return ResultCode::PatchHeld;
    if (outcome == AppendOutcome::Accepted)
        return std::nullopt;
    CHECK(toDocument(*log.configuration()) == before);
    CHECK(log.version() == 1);
    return log.trail().find(2)->rejection->code;
}

/// Patches of every kind of verdict, drawn at random.
std::vector<std::string> drawPatches(unsigned seed, std::size_t count)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t bound) { return random() % bound; };
    std::vector<std::string> patches;
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t next = i + 2;
        const std::uint64_t base = draw(3) == 0 ? draw(next + 1) : next - 1;
        std::string changes;
        const std::string name = fmt::format("w{}", draw(8));
        switch (draw(5)) {
        case 0:
            changes = workspace(name, draw(4) == 0 ? "none" : "gate");
            break;
        case 1:
            changes = removal("workspace", name);
            break;
        case 2:
            changes = removal("class", "gate");
            break;
        case 3:
            changes = workspace(name) + fmt::format("share = {}\n", draw(4));
            break;
        default:
            changes = workspace(name) + workspace(fmt::format("w{}", draw(8)));
        }
        patches.push_back(patchOf(base, changes));
    }
    return patches;
}

} // namespace

TEST_CASE("a patch is accepted whole or rejected whole, with the code of the first fault")
{
    CHECK_FALSE(verdict(patchOf(1, workspace("new"))));
    CHECK_FALSE(verdict(patchOf(1, removal("workspace", "mill") + removal("class", "lookup"))));
    CHECK_FALSE(verdict(patchOf(1, "[floor_permille]\ntier4 = 10\n")));
    CHECK(verdict("schema = ") == ResultCode::PatchMalformed);
    CHECK(verdict(patchOf(1, "colour = 1\n")) == ResultCode::PatchMalformed);
    CHECK(verdict(patchOf(0, workspace("new"))) == ResultCode::PatchStaleBase);
    CHECK(verdict(patchOf(2, workspace("new"))) == ResultCode::PatchStaleBase);
    CHECK(verdict(patchOf(1, workspace("new") + "share = -1\n")) == ResultCode::PatchInvalidValue);
    CHECK(verdict(patchOf(1, workspace("new") + workspace("new")))
          == ResultCode::ConfigurationDuplicateName);
    CHECK(verdict(patchOf(1, workspace("new") + workspace("other", "none")))
          == ResultCode::ConfigurationUnknownReference);
    CHECK(verdict(patchOf(1, removal("class", "lookup"))) == ResultCode::PatchRemovesUsed);
    CHECK(verdict(patchOf(1, removal("model", "m"))) == ResultCode::PatchRemovesUsed);
    CHECK(verdict(patchOf(1, removal("model", "none"))) == ResultCode::PatchRemovesUnknown);
    CHECK(verdict(patchOf(1, "")) == ResultCode::PatchEmpty);
    CHECK(verdict(patchOf(1, workspace("new")) + std::string(maxValueBytes, '#'))
          == ResultCode::PatchTooLarge);
}

TEST_CASE("a patch of an unknown schema is held and nothing after it is applied")
{
    ConfigurationLog log = startedLog();
    CHECK(log.append(2, patchOf(1, "future = true\n", 2), TimePoint()) == AppendOutcome::Held);
    CHECK(log.append(3, patchOf(1, workspace("new")), TimePoint()) == AppendOutcome::OutOfOrder);
    CHECK(log.position() == 1);
    REQUIRE(log.held());
    CHECK(log.held()->number == 2);
    CHECK(log.held()->error.code == ResultCode::PatchHeld);
}

TEST_CASE("the same log gives the same verdicts, versions and digests from any snapshot on")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const std::vector<std::string> patches = drawPatches(seed, 60);
        ConfigurationLog whole = startedLog();
        std::vector<std::string> snapshots;
        std::size_t accepted = 0;
        for (std::size_t i = 0; i < patches.size(); ++i) {
            const std::uint64_t before = whole.version();
            if (whole.append(i + 2, patches[i], TimePoint()) == AppendOutcome::Accepted)
                ++accepted;
            CHECK(whole.version() >= before);
            snapshots.push_back(whole.snapshot());
        }
        CHECK(accepted > 0);
        CHECK(accepted < patches.size());
        for (std::size_t from = 0; from < patches.size(); from += 7) {
            ConfigurationLog late;
            REQUIRE_FALSE(late.install(from + 2, snapshots[from]));
            for (std::size_t i = from + 1; i < patches.size(); ++i) {
                late.append(i + 2, patches[i], TimePoint(1s));
                CHECK(late.snapshot() == snapshots[i]);
                const AuditRecord *mine = late.trail().find(i + 2);
                const AuditRecord *theirs = whole.trail().find(i + 2);
                CHECK(mine->digest == theirs->digest);
                CHECK(mine->rejection.has_value() == theirs->rejection.has_value());
            }
        }
    }
}

TEST_CASE("a snapshot that is not ahead or not whole changes nothing")
{
    ConfigurationLog log = startedLog();
    REQUIRE(log.append(2, patchOf(1, workspace("new")), TimePoint()) == AppendOutcome::Accepted);
    const std::string ahead = log.snapshot();
    CHECK_FALSE(log.install(1, smallConfiguration));
    CHECK(log.version() == 2);
    ConfigurationLog other = startedLog();
    const std::string half = ahead.substr(0, ahead.find("[[workspace]]"));
    CHECK(other.install(2, half)->code == ResultCode::ConfigurationDigestMismatch);
    CHECK(other.install(3, ahead)->code == ResultCode::SnapshotMalformed);
    CHECK(other.version() == 1);
    CHECK_FALSE(other.install(2, ahead));
    CHECK(other.digest() == log.digest());
}
