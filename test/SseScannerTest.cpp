#include <currantreel/src/Shell/SseScanner.h>
#include <doctest/doctest.h>
#include <string>

using namespace currantreel;

TEST_CASE("events and the end marker are seen however the bytes are split")
{
    const std::string stream = "data: {\"a\":1}\n\n: note\r\n\r\ndata:{\"b\":\"[DONE]\"}\n\n"
                               "event: x\ndata: [DONE] not\n\ndata: [DONE]\r\n\r\n";
    for (std::size_t chunkSize = 1; chunkSize <= stream.size(); ++chunkSize) {
        SseScanner scanner;
        std::uint32_t events = 0;
        for (std::size_t begin = 0; begin < stream.size(); begin += chunkSize) {
            if (begin + chunkSize < stream.size())
                CHECK((begin + chunkSize >= stream.size() - 3 || !scanner.isEnded()));
            events += scanner.scan(std::string_view(stream).substr(begin, chunkSize));
        }
        CHECK(events == 3);
        CHECK(scanner.isEnded());
    }
}
