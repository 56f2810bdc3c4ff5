#include <currantreel/Configuration>
#include <currantreel/Settings>
#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace currantreel;

namespace {

using Keys = std::set<std::string>;

/// The keys that a parser reads: a table with one unknown key is answered with the known ones.
Keys keysOf(const FaultList &faults)
{
    constexpr std::string_view mark = "known here: ";
    Keys keys;
    for (const Fault &fault : faults) {
        const std::size_t at = fault.message.find(mark);
        if (fault.code != ResultCode::SettingsUnknownKey || at == std::string::npos)
            continue;
        // "class[0].zz" is of table "class".
        std::string prefix = fault.key.substr(0, fault.key.rfind("zz"));
        if (const std::size_t bracket = prefix.find('['); bracket != std::string::npos)
            prefix = prefix.substr(0, bracket) + ".";
        std::istringstream list(fault.message.substr(at + mark.size()));
        for (std::string key; std::getline(list >> std::ws, key, ',');)
            keys.insert(prefix + key);
    }
    return keys;
}

/// First column of every table of the page whose header begins with "key".
Keys keysOfPage()
{
    std::ifstream page(SOURCE_DIR "/docs/CONFIGURATION.md");
    Keys keys;
    bool isKeyTable = false;
    for (std::string line; std::getline(page, line);) {
        if (line.compare(0, 7, "| key |") == 0)
            isKeyTable = true;
        else if (line.compare(0, 1, "|") != 0)
            isKeyTable = false;
        else if (isKeyTable && line.compare(0, 3, "| `") == 0)
            keys.insert(line.substr(3, line.find('`', 3) - 3));
    }
    return keys;
}

} // namespace

TEST_CASE("docs/CONFIGURATION.md lists exactly the keys that the parsers read")
{
    const std::string entries = "zz = 1\n[floor_permille]\nzz = 1\n[[class]]\nzz = 1\n"
                                "[[workspace]]\nzz = 1\n[[model]]\nzz = 1\n"
                                "[[backend_server]]\nzz = 1\nkind = \"engine\"\n"
                                "[[backend_server]]\nzz = 1\nkind = \"service\"\n";
    const auto judged = validatePatch(2,
                                      "schema = 1\nbase = 0\nauthor = \"a\"\nreason = \"r\"\n"
                                          + entries + "[[remove]]\nzz = 1\n",
                                      Configuration());
    const auto settings = parseHostSettings("zz = 1\n[host]\nzz = 1\n[listen]\nzz = 1\n[platform]\n"
                                            "zz = 1\n[cluster]\nzz = 1\n[limits]\nzz = 1\n",
                                            "settings");
    const auto forwarding = parseHostSettings("zz = 1\nstop_grace_s = 1\n[host]\nzz = 1\n[listen]\n"
                                              "zz = 1\n[platform]\nzz = 1\n[forward]\nzz = 1\n",
                                              "settings");
    Keys keys = keysOf(std::get<PatchRejection>(judged).faults);
    keys.merge(keysOf(std::get<FaultList>(settings)));
    keys.merge(keysOf(std::get<FaultList>(forwarding)));
    // Tables stand in the page by their keys.
    for (const char *table :
         { "floor_permille", "class", "workspace", "model", "backend_server", "remove", "host",
           "listen", "platform", "cluster", "limits", "forward" })
        CHECK(keys.erase(table) == 1);
    const Keys page = keysOfPage();
    CHECK(keys.size() > 40);
    for (const std::string &key : keys)
        CHECK_MESSAGE(page.contains(key), key);
    for (const std::string &key : page)
        CHECK_MESSAGE(keys.contains(key), key);
}
