#include <currantreel/Forward>
#include <doctest/doctest.h>

using namespace currantreel;

TEST_CASE("no refusal implies that a request has not run when it may have")
{
    for (const ResultCodeInfo &entry : resultCodeTable) {
        if (entry.httpStatus == 0)
            continue;
        CAPTURE(entry.name);
        CHECK_FALSE(impliesNotRun(refusalStatus(entry.code, Outcome::Unknown)));
    }
}

TEST_CASE("a request that timed out in the queue is told that it has not run")
{
    CHECK(refusalStatus(ResultCode::RequestTimedOut, Outcome::NotRun) == 503);
    CHECK(refusalStatus(ResultCode::RequestTimedOut, Outcome::Unknown) == 504);
}
