#include <cstring>
#include <currantreel/Peer>
#include <currantreel/Quarantine>
#include <doctest/doctest.h>
#include <random>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

/// One message of each type, with all fields set.
std::vector<PeerMessage> sampleMessages()
{
    const GrantId id{ HostId{ 11 }, RequestId{ 12 } };
    GrantRequest request;
    request.id = id;
    request.target = TargetId{ 1 };
    request.requestClass = ClassId{ 2 };
    request.tier = 3;
    request.workspace = WorkspaceId{ 4 };
    request.share = 2.5;
    request.firstTokenTimeLeft = std::chrono::milliseconds(-5);
    request.answerTimeLeft = std::chrono::seconds(6);
    request.queueBound = std::chrono::seconds(7);
    request.isWorthlessWhenLate = true;
    request.isPreemptible = true;
    request.promptTokens = 8;
    request.predictedTokens = 9;
    request.prefixHash = 10;
    request.avoid = BackendServerId{ 13 };
    LeaseRenewal renewal;
    renewal.entry = HostId{ 11 };
    renewal.items = { { id, LeaseId{ 1 }, BackendServerId{ 2 }, 1 },
                      { id, LeaseId{ 3 }, BackendServerId{ 4 }, 4 } };
    Gossip gossip;
    const MemberVersion version{ Incarnation{ 1U << 20U }, 3 };
    gossip.sender = version;
    gossip.isLeaving = true;
    gossip.updates = { MemberUpdate{ HostId{ 5 }, version, MemberState::Dead } };
    HostEntry host;
    host.name = "edirne-a-1";
    host.id = HostId::ofName(host.name);
    host.failureDomain = FailureDomainId{ 6 };
    host.callerAddress = Address{ "10.0.0.1", 8000 };
    host.peerAddress = Address{ "10.0.0.1", 9000 };
    host.liveness = Liveness::Leaving;
    gossip.introductions = { Introduction{ host, version } };
    gossip.configuration = ConfigurationSummary{ 7, "digest" };
    gossip.ownLoads = { TargetLoad{ TargetId{ 8 }, 16, 9, { 1, 2, 3, 4, 5 } } };
    gossip.domainLoads = { DomainLoad{ FailureDomainId{ 6 }, Duration(4), gossip.ownLoads[0] } };
    return {
        request,
        Granted{ id, LeaseId{ 1 }, BackendServerId{ 2 }, std::chrono::seconds(3) },
        GrantShed{ id, ResultCode::QueueFull, std::chrono::milliseconds(250) },
        GrantWithdrawn{ id },
        LeaseReleased{ id, LeaseId{ 1 }, BackendServerId{ 2 }, LeaseEnd::Failed, 77, Duration(5),
                       Duration(6) },
        renewal,
        ConfigurationAnnounce{ 7, std::string(32, 'f'), true },
        PatchRequest{ 8, 9 },
        PatchBatch{ 10, { { 8, 20, 9, "bytes" }, { 9, 3, 0, "all" } } },
        SnapshotRequest{ 11, 12 },
        SnapshotChunk{ 13, 30, 14, "part" },
        LeavingServers{ { BackendServerId{ 15 }, BackendServerId{ 16 } } },
        LeasePreempted{ id, LeaseId{ 5 } },
        Probe{ 21, gossip },
        ProbeAck{ 22, HostId{ 5 }, version, gossip },
        ProbeRequest{ 23, gossip.updates[0], gossip },
        UpdatePush{ gossip },
        GrantMoved{ id },
        FleetUpdate{ FleetHost{ Address{ "10.0.0.1", 7000 }, FailureDomainId{ 3 }, 98, 25, true,
                                true, true },
                     99,
                     1500ms,
                     { FleetHost{ Address{ "10.0.0.2", 7000 }, FailureDomainId{ 4 }, 97, 50, false,
                                  false, true } } },
        PublishedUpdate{
            99,
            103,
            250ms,
            { PublishedItem{ "key", std::string("v\0w", 3), 100, false },
              PublishedItem{ "gone", "", 101, true, 700ms } },
            false,
            RemovalRecord{ { 90, 1 }, { 95, 1 }, { 97, 1 }, RemovalRecord::never, { 96, 1 } } },
        PublishedRequest{ 102 },
        PlacementGrantRequest{
            AttemptId{ 31 },
            ServiceId{ 18 },
            1,
            2,
            FailureDomainId{ 3 },
            Prompt{ { PromptSegment{ 41, 300 }, PromptSegment{ 42, 20 } }, 320, 90 },
            4'000,
            true,
            4,
            300ms,
            750ms,
            50ms,
            true,
            { BackendServerId{ 17 }, BackendServerId{ 16 } },
            WorkspaceId{ 6 } },
        PlacementGrant{ AttemptId{ 31 }, BackendServerId{ 17 }, 200, Incarnation{ 77 }, true },
        PlacementUpdates{ { { AttemptId{ 31 }, PlacementProgress::AnswerStarted },
                            { AttemptId{ 30 }, PlacementProgress::Unreachable } } },
        ActivePlacements{ ServiceId{ 18 },
                          1,
                          { { AttemptId{ 31 }, BackendServerId{ 17 }, 200, 410, 3, 600ms } } },
        SegmentReports{ { SegmentReport{ 41, { { ServerRunId{ 42 }, 300ms } }, 700ms },
                          SegmentReport{ 43, {}, std::nullopt } },
                        44,
                        true },
    };
}

std::vector<std::uint8_t> encoded(decltype(PeerFrame::body) body)
{
    return encodeFrame(PeerFrame{ Incarnation{ 5 }, 6, std::move(body) });
}

std::span<const std::uint8_t> withoutPrefix(const std::vector<std::uint8_t> &bytes)
{
    return std::span(bytes).subspan(framePrefixBytes);
}

} // namespace

TEST_CASE("every message type survives encoding and decoding")
{
    const std::vector<PeerMessage> messages = sampleMessages();
    // A new alternative of PeerMessage must be added to sampleMessages().
    REQUIRE(messages.size() == std::variant_size_v<PeerMessage>);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        REQUIRE(messages[i].index() == i);
        const std::vector<std::uint8_t> bytes = encoded(messages[i]);
        const Result<std::size_t> length =
            readFrameLength(std::span(bytes).first(framePrefixBytes));
        REQUIRE_FALSE(isError(length));
        CHECK(value(length) == bytes.size() - framePrefixBytes);
        const Result<PeerFrame> frame = decodeFrame(withoutPrefix(bytes));
        REQUIRE_FALSE(isError(frame));
        CHECK(value(frame).incarnation == Incarnation{ 5 });
        CHECK(value(frame).sequence == 6);
        const auto &message = std::get<PeerMessage>(value(frame).body);
        CHECK(message.index() == i);
        // The encoder is deterministic, so equal bytes imply equal fields.
        CHECK(encoded(message) == bytes);
    }
}

TEST_CASE("decoded fields have the encoded values")
{
    const Result<PeerFrame> frame = decodeFrame(withoutPrefix(encoded(sampleMessages().front())));
    const auto &request = std::get<GrantRequest>(std::get<PeerMessage>(value(frame).body));
    CHECK(request.id.entry == HostId{ 11 });
    CHECK(request.share == 2.5);
    CHECK(request.firstTokenTimeLeft == std::chrono::milliseconds(-5));
    CHECK(request.avoid == BackendServerId{ 13 });
}

TEST_CASE("values out of range are rejected")
{
    GrantRequest request = std::get<GrantRequest>(sampleMessages().front());
    request.tier = tierCount;
    CHECK(isError(decodeFrame(withoutPrefix(encoded(request)))));
    request.tier = 0;
    request.share = -1.0;
    CHECK(isError(decodeFrame(withoutPrefix(encoded(request)))));
    request.share = 1.0;
    request.answerTimeLeft = std::chrono::hours(25);
    CHECK(isError(decodeFrame(withoutPrefix(encoded(request)))));
    CHECK(isError(decodeFrame(withoutPrefix(encoded(SnapshotChunk{ 1, 10, 8, "part" })))));
    CHECK(isError(decodeFrame(
        withoutPrefix(encoded(ConfigurationAnnounce{ 1, std::string(65, 'f'), false })))));
}

TEST_CASE("corrupted frames are rejected or decoded without a crash")
{
    std::mt19937 random(20);
    int rejected = 0;
    for (int iteration = 0; iteration < 20'000; ++iteration) {
        const auto messages = sampleMessages();
        std::vector<std::uint8_t> bytes = encoded(messages[random() % messages.size()]);
        const auto corruptedBytes = 1 + random() % 4;
        for (std::uint32_t i = 0; i < corruptedBytes; ++i)
            bytes[framePrefixBytes + random() % (bytes.size() - framePrefixBytes)] =
                static_cast<std::uint8_t>(random());
        if (random() % 3 == 0)
            bytes.resize(framePrefixBytes + random() % (bytes.size() - framePrefixBytes) + 1);
        rejected += isError(decodeFrame(withoutPrefix(bytes))) ? 1 : 0;
    }
    CHECK(rejected > 0);
}

TEST_CASE("frame lengths outside the limits are rejected")
{
    const auto decodeLength = [](std::uint32_t length) {
        std::array<std::uint8_t, framePrefixBytes> prefix{};
        std::memcpy(prefix.data(), &length, sizeof(length));
        return readFrameLength(prefix);
    };
    CHECK(isError(decodeLength(0)));
    CHECK_FALSE(isError(decodeLength(maxFrameBytes)));
    CHECK(isError(decodeLength(maxFrameBytes + 1)));
}

TEST_CASE("a proof is valid only for its secret, side, challenge and host")
{
    const std::string secret = "a secret of the cluster";
    const Greeting prover{ peerProtocolVersion, HostId{ 1 }, Incarnation{ 2 }, generateNonce() };
    const LinkNonce challenge = generateNonce();
    const Proof proof{ computeProof(secret, prover, challenge, LinkSide::Dialer) };
    CHECK(isProofValid(proof, secret, prover, challenge, LinkSide::Dialer));
    CHECK_FALSE(
        isProofValid(proof, "another secret entirely", prover, challenge, LinkSide::Dialer));
    CHECK_FALSE(isProofValid(proof, secret, prover, challenge, LinkSide::Acceptor));
    CHECK_FALSE(isProofValid(proof, secret, prover, generateNonce(), LinkSide::Dialer));
    Greeting other = prover;
    other.host = HostId{ 3 };
    CHECK_FALSE(isProofValid(proof, secret, other, challenge, LinkSide::Dialer));
}

TEST_CASE("the largest value that the platform publishes fits in one frame")
{
    constexpr std::size_t maxValueBytes = 1024UL * 1024;
    const PublishedUpdate update{
        0, 7, 0ms, { PublishedItem{ "configuration", std::string(maxValueBytes, 'x'), 7, false } }
    };
    const std::vector<std::uint8_t> bytes = encoded(PeerMessage(update));
    CHECK_FALSE(isError(readFrameLength(std::span(bytes).first(framePrefixBytes))));
    CHECK_FALSE(isError(decodeFrame(withoutPrefix(bytes))));
}

TEST_CASE("a fleet update with default values and no hosts is decoded")
{
    FleetUpdate update;
    update.sender.peerAddress = Address{ "10.0.0.1", 7000 };
    const std::vector<std::uint8_t> bytes = encoded(PeerMessage(update));
    CHECK_FALSE(isError(decodeFrame(withoutPrefix(bytes))));
}

TEST_CASE("wireSize() of a membership message is at least the size of its frame")
{
    Gossip gossip;
    gossip.sender = MemberVersion{ Incarnation{ 1U << 20U }, 3 };
    gossip.configuration = ConfigurationSummary{ 7, std::string(64, 'd') };
    const auto check = [](const auto &message) {
        const std::size_t size = encoded(message).size();
        MESSAGE(size << " bytes, estimated " << wireSize(message));
        CHECK(size <= wireSize(message));
    };
    check(Probe{ 21, gossip });
    check(ProbeAck{ 22, HostId{ 5 }, gossip.sender, gossip });
    gossip.updates.resize(8, MemberUpdate{ HostId{ 5 }, gossip.sender, MemberState::Dead });
    gossip.ownLoads.resize(4, TargetLoad{ TargetId{ 8 }, 16, 9, {} });
    check(Probe{ 21, gossip });
}

TEST_CASE("a large value takes a fraction of its size on the way between hosts")
{
    std::string text;
    for (int route = 0; route < 1'400; ++route)
        text += "{\"name\":\"" + std::to_string(route * 7'919 % 100'003)
                + "\",\"kind\":\"streaming\",\"timeout-ms\":15000,\"service\":\"engines\"},";
    const PublishedUpdate update{ 6, 7, 0ms, { PublishedItem{ "configuration", text, 7, false } } };
    const std::vector<std::uint8_t> bytes = encoded(PeerMessage(update));
    CHECK(bytes.size() < text.size() / 5);
    const Result<PeerFrame> frame = decodeFrame(withoutPrefix(bytes));
    REQUIRE_FALSE(isError(frame));
    const auto &message = std::get<PeerMessage>(value(frame).body);
    CHECK(std::get<PublishedUpdate>(message).items[0].value == text);
}

TEST_CASE("a message whose values would take more memory than a frame is refused")
{
    // Half a frame each, and almost nothing compressed.
    const std::string zeros(maxFrameBytes / 2, '0');
    PublishedUpdate update{ 6, 9, 0ms, {} };
    for (std::uint64_t revision = 7; revision <= 9; ++revision)
        update.items.push_back({ "key " + std::to_string(revision), zeros, revision, false });
    const std::vector<std::uint8_t> bytes = encoded(PeerMessage(update));
    CHECK(bytes.size() < 10'000);
    CHECK(isError(decodeFrame(withoutPrefix(bytes))));
}

TEST_CASE(
    "reports with more segments or ends than a host sends are refused, ages beyond a day are cut")
{
    const auto decoded = [](const SegmentReports &reports) {
        return decodeFrame(withoutPrefix(encoded(PeerMessage(reports))));
    };
    SegmentReports reports;
    reports.reports.resize(SegmentQuarantine::maxReports + 1);
    CHECK(isError(decoded(reports)));
    reports.reports.resize(1);
    reports.reports[0].ends.resize(SegmentQuarantine::maxEnds + 1);
    CHECK(isError(decoded(reports)));
    reports.reports[0].ends = { { ServerRunId{ 1 }, std::chrono::hours(900) } };
    reports.reports[0].soundAge = std::chrono::hours(10'000);
    const Result<PeerFrame> frame = decoded(reports);
    REQUIRE_FALSE(isError(frame));
    const auto &message = std::get<SegmentReports>(std::get<PeerMessage>(value(frame).body));
    CHECK(message.reports[0].ends[0].age == Duration(24h));
    CHECK(message.reports[0].soundAge == Duration(24h));
}
