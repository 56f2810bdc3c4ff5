#include <currantreel/Forward>
#include <doctest/doctest.h>

using namespace currantreel;

TEST_CASE("no refusal implies that a request was not executed if it may have been")
{
    for (const ResultCodeInfo &entry : resultCodeTable) {
        if (entry.httpStatus == 0)
            continue;
        CAPTURE(entry.name);
        CHECK_FALSE(impliesNotRun(refusalStatus(entry.code, Outcome::Unknown)));
    }
}

TEST_CASE("the status for a request that timed out in the queue implies that it was not executed")
{
    CHECK(refusalStatus(ResultCode::RequestTimedOut, Outcome::NotRun) == 503);
    CHECK(refusalStatus(ResultCode::RequestTimedOut, Outcome::Unknown) == 504);
}
