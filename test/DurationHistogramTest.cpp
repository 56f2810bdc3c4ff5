#include <currantreel/Forward>
#include <doctest/doctest.h>

using namespace currantreel;
using namespace std::chrono_literals;

TEST_CASE("durations are counted up to each bound")
{
    DurationHistogram histogram;
    for (const Duration time : { Duration(500us), Duration(3ms), Duration(100ms), Duration(90s) })
        histogram.add(time);
    CHECK(histogram.count() == 4);
    CHECK(histogram.countUpTo(1ms) == 1);
    CHECK(histogram.countUpTo(4ms) == 2);
    CHECK(histogram.countUpTo(128ms) == 3);
    CHECK(histogram.countUpTo(65'536ms) == 3);
}

TEST_CASE("the Prometheus text has cumulative buckets, a sum and a count")
{
    DurationHistogram histogram;
    histogram.add(3ms);
    histogram.add(90s);
    std::string text;
    histogram.append(text, "x_seconds");
    CHECK(text.find("# TYPE x_seconds histogram\n") == 0);
    CHECK(text.find("x_seconds_bucket{le=\"0.004\"} 1\n") != std::string::npos);
    CHECK(text.find("x_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("x_seconds_sum 90.003000\n") != std::string::npos);
    CHECK(text.find("x_seconds_count 2\n") != std::string::npos);
}
