#include <currantreel/Core>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace currantreel;

TEST_CASE("docs/RESULT-CODES.md lists exactly the codes of resultCodeTable")
{
    std::ifstream stream(SOURCE_DIR "/docs/RESULT-CODES.md");
    std::ostringstream page;
    page << stream.rdbuf();
    const std::string text = page.str();
    std::size_t rows = 0;
    for (std::size_t at = text.find("\n| "); at != std::string::npos;
         at = text.find("\n| ", at + 1))
        ++rows;
    CHECK(rows == resultCodeTable.size() + 1);
    for (const ResultCodeInfo &entry : resultCodeTable) {
        const std::string row =
            fmt::format("| {} | `{}` | {} | {} |", number(entry.code), entry.name,
                        entry.httpStatus ? std::to_string(entry.httpStatus) : "-", entry.remedy);
        CHECK_MESSAGE(text.find(row) != std::string::npos, row);
    }
}

TEST_CASE("result codes are in ascending order and have unique names")
{
    for (std::size_t i = 1; i < resultCodeTable.size(); ++i) {
        CHECK(number(resultCodeTable[i - 1].code) < number(resultCodeTable[i].code));
        for (std::size_t j = 0; j < i; ++j)
            CHECK(resultCodeTable[i].name != resultCodeTable[j].name);
    }
}
