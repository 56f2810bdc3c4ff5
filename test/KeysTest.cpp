#include "WorldFixture.h"

using namespace test;

TEST_CASE_FIXTURE(WorldFixture, "a duplicate joins the running request and both get its answer")
{
    step(KeyRequested{ RequestId{ 1 } });
    const std::string key = only<KeyIssued>().key;
    step(payment(2, key));
    const auto start = only<StartAttempt>();
    step(payment(3, key));
    CHECK(count<StartAttempt>() == 0);
    step(AttemptHead{ start.attempt, 200, false });
    step(AttemptDone{ start.attempt });
    CHECK(only<StoreAnswer>().request == RequestId{ 2 });
    CHECK(only<ReplayAnswer>().request == RequestId{ 3 });
    step(payment(4, key));
    CHECK(only<ReplayAnswer>().request == RequestId{ 4 });
    step(KeyStateQueried{ RequestId{ 5 }, key, false });
    CHECK(only<KeyStateReported>().state == KeyState::Completed);
}

TEST_CASE_FIXTURE(WorldFixture, "asking for the state of an unused key burns it")
{
    step(KeyRequested{ RequestId{ 1 } });
    const std::string key = only<KeyIssued>().key;
    step(KeyStateQueried{ RequestId{ 2 }, key, false });
    CHECK(only<KeyStateReported>().state == KeyState::Revoked);
    step(payment(3, key));
    CHECK(count<StartAttempt>() == 0);
    CHECK(only<RefuseRequest>().code == ResultCode::KeyBurnt);
}

TEST_CASE_FIXTURE(WorldFixture, "a key with another body is refused")
{
    step(KeyRequested{ RequestId{ 1 } });
    const std::string key = only<KeyIssued>().key;
    step(payment(2, key, 7));
    step(payment(3, key, 8));
    CHECK(only<RefuseRequest>().code == ResultCode::KeyMismatch);
}

TEST_CASE_FIXTURE(WorldFixture, "a forged or malformed key is refused")
{
    step(KeyRequested{ RequestId{ 1 } });
    std::string key = only<KeyIssued>().key;
    key.back() = key.back() == '0' ? '1' : '0';
    step(payment(2, key));
    CHECK(only<RefuseRequest>().code == ResultCode::KeyNotIssuedHere);
    step(payment(3, "made-up"));
    CHECK(only<RefuseRequest>().code == ResultCode::KeyMalformed);
}

TEST_CASE("a key goes to its issuer, and an issuer out of reach is unknown")
{
    WorldFixture issuer("a-1");
    issuer.step(KeyRequested{ RequestId{ 1 } });
    const std::string key = issuer.only<KeyIssued>().key;

    WorldFixture other("a-2");
    other.step(other.payment(2, key));
    CHECK(other.only<RefuseRequest>().outcome == Outcome::Unknown);
    HostEntry entry;
    entry.id = HostId::ofName("a-1");
    entry.callerAddress = Address{ "127.0.0.1", 8080 };
    other.step(HostListRead{ { entry }, {} });
    other.step(other.payment(3, key));
    CHECK(other.only<ForwardRequest>().host == HostId::ofName("a-1"));
    other.step(ForwardFailed{ RequestId{ 3 } });
    CHECK(other.only<RefuseRequest>().code == ResultCode::KeyIssuerUnreachable);
    CHECK(other.only<RefuseRequest>().outcome == Outcome::Unknown);
}
