#include <currantreel/Forward>
#include <doctest/doctest.h>

using namespace currantreel;

TEST_CASE("only whole events are passed on, whatever the pieces")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        EventStreamReader reader;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            reader.add(std::string_view(stream).substr(at, piece));
            passed += reader.takeComplete();
            CHECK((passed.empty() || passed.ends_with("\n\n")));
        }
        CHECK(passed == stream);
        CHECK(reader.lastId() == "2");
        CHECK_FALSE(reader.isWithinEvent());
    }
}

TEST_CASE("half an event counts neither for the caller nor for the place to go on")
{
    EventStreamReader reader;
    reader.add("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(reader.takeComplete() == "id: 1\ndata: a\n\n");
    CHECK(reader.isWithinEvent());
    CHECK(reader.lastId() == "1");
}

TEST_CASE("a stream that goes on with an event that the caller has is out of order")
{
    EventStreamReader reader("7");
    reader.add("id: 8\n\n");
    CHECK_FALSE(reader.isOutOfOrder());
    reader.add("id: 8\n\n");
    CHECK(reader.isOutOfOrder());
}

TEST_CASE("line ends of both kinds end lines")
{
    EventStreamReader reader;
    reader.add("id: 3\r\ndata: x\r\n\r\n");
    CHECK(reader.hasComplete());
    CHECK(reader.lastId() == "3");
}
