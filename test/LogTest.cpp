#include <currantreel/Log>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>

using namespace currantreel;

namespace {

/// Pipe that is read only by calls of read().
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
        char chunk[4096];
        for (ssize_t length = ::read(ends[0], chunk, sizeof(chunk)); length > 0;
             length = ::read(ends[0], chunk, sizeof(chunk)))
            text.append(chunk, static_cast<std::size_t>(length));
        return text;
    }

    int ends[2] = { -1, -1 };
};

} // namespace

TEST_CASE("a line is one JSON object, whatever characters its values contain")
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

TEST_CASE("writing to a full pipe does not block, and dropped lines are counted")
{
    const Pipe pipe;
    const Log log("host", 7, pipe.ends[1], &stoppedClock);
    const std::string large(1'000, 'x');
    for (int line = 0; line < 1'500; ++line) {
        log.write("event", { { "detail", large } });
        log.flush();
    }
    CHECK(log.dropped() > 0);
    // The capacity is 64 KiB in the pipe, and 256 KiB plus one line in the log's buffer.
    CHECK(1'500 - log.dropped() <= (64 + 256 + 2) * 1024 / 1'000);
    pipe.read();
    log.flush();
    log.write("later");
    std::string remaining;
    for (int turn = 0; turn < 10; ++turn) {
        remaining += pipe.read();
        log.flush();
    }
    CHECK(remaining.find("log_lines_dropped") != std::string::npos);
    CHECK(remaining.find("\"later\"") != std::string::npos);
}

TEST_CASE("a burst of lines is cut off at the rate limit")
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
