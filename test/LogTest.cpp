#include <currantreel/Log>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>

using namespace currantreel;

namespace {

/// A pipe whose reading end nobody reads unless told to.
struct Pipe
{
    Pipe() { REQUIRE(pipe(ends) == 0); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string read() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char piece[4096];
        for (ssize_t length = ::read(ends[0], piece, sizeof(piece)); length > 0;
             length = ::read(ends[0], piece, sizeof(piece)))
            text.append(piece, static_cast<std::size_t>(length));
        return text;
    }

    int ends[2] = { -1, -1 };
};

} // namespace

TEST_CASE("a line is one JSON object, whatever its values hold")
{
    const Pipe pipe;
    const Log log("host \"a\"", 7, pipe.ends[1]);
    log.write("event", { { "detail", "a \"b\"\n\\c" }, { "empty", "" } });
    log.flush();
    const std::string text = pipe.read();
    REQUIRE(text.back() == '\n');
    CHECK(text.find('\n') == text.size() - 1);
    const nlohmann::json line = nlohmann::json::parse(text);
    CHECK(line["host"] == "host \"a\"");
    CHECK(line["event"] == "event");
    CHECK(line["detail"] == "a \"b\" \\c");
}

namespace {

std::chrono::system_clock::time_point stoppedClock()
{
    return std::chrono::system_clock::time_point(std::chrono::hours(24));
}

} // namespace

TEST_CASE("a pipe that nobody reads holds up nothing, and what is dropped is counted")
{
    const Pipe pipe;
    const Log log("host", 7, pipe.ends[1], &stoppedClock);
    const std::string large(1'000, 'x');
    for (int line = 0; line < 1'500; ++line) {
        log.write("event", { { "detail", large } });
        log.flush();
    }
    CHECK(log.dropped() > 0);
    // The pipe holds 64 KiB and the log 256 KiB and one line.
    CHECK(1'500 - log.dropped() <= (64 + 256 + 2) * 1024 / 1'000);
    pipe.read();
    log.flush();
    log.write("later");
    std::string rest;
    for (int turn = 0; turn < 10; ++turn) {
        rest += pipe.read();
        log.flush();
    }
    CHECK(rest.find("log_lines_dropped") != std::string::npos);
    CHECK(rest.find("\"later\"") != std::string::npos);
}

TEST_CASE("a burst of lines is cut at the rate")
{
    const Pipe pipe;
    const Log log("host", 7, pipe.ends[1], &stoppedClock);
    for (std::uint32_t line = 0; line < 3 * Log::maxLinesPerSecond; ++line) {
        log.write("e");
        log.flush();
        pipe.read();
    }
    CHECK(log.dropped() == 2 * Log::maxLinesPerSecond);
}
