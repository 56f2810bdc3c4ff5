#ifndef CURRANTREEL_TEST_WORLDFIXTURE_H
#define CURRANTREEL_TEST_WORLDFIXTURE_H

#include <algorithm>
#include <currantreel/Configuration>
#include <currantreel/World>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace test {

using namespace currantreel;
using namespace std::chrono_literals;

/// A small configuration: one engine with two slots, one service, three classes.
inline const char *const smallConfiguration = R"(
schema = 1
[[class]]
name = "gate"
tier = 0
first_token_ms = 500
answer_ms = 3000
repeat = "idempotent"
[[class]]
name = "payment"
tier = 1
first_token_ms = 1000
answer_ms = 2000
repeat = "never"
[[class]]
name = "lookup"
tier = 4
first_token_ms = 5000
answer_ms = 9000
repeat = "idempotent"
queue_bound_ms = 2000
[[workspace]]
name = "mill"
default_class = "lookup"
[[model]]
name = "m"
[[backend_server]]
name = "engine-1"
kind = "engine"
failure_domain = "a"
address = "127.0.0.1:9101"
models = ["m"]
slots = 2
[[backend_server]]
name = "payment-1"
kind = "service"
failure_domain = "a"
address = "127.0.0.1:9201"
service = "payment"
slots = 2
)";

inline std::shared_ptr<const Configuration> makeConfiguration(std::uint64_t version = 1,
                                                              const char *text = smallConfiguration)
{
    auto parsed = parseConfiguration(text, "test");
    if (const auto *faults = std::get_if<FaultList>(&parsed)) {
        for (const Fault &fault : *faults)
            MESSAGE(toText(fault));
    }
    auto configuration =
        std::make_shared<Configuration>(std::get<Configuration>(std::move(parsed)));
    configuration->version = version;
    return configuration;
}

/// One world under a virtual clock.
struct WorldFixture
{
    explicit WorldFixture(const std::string &host = "a-1")
        : world(HostIdentity{ HostId::ofName(host), host, FailureDomainId::ofName("a"),
                              Incarnation{ 1U << 20U } },
                KeySecret{})
    {
        step(ConfigurationRead{ makeConfiguration() });
        step(HostListRead{});
    }

    /// Steps with one event at the present time.
    const EffectList &step(Event event)
    {
        effects = world.step(now, std::span<const Event>(&event, 1));
        return effects;
    }

    /// Lets @p time pass in ticks.
    void advance(Duration time)
    {
        const TimePoint end = now + time;
        while (now < end) {
            now = std::min(end, now + Duration(20ms));
            const EffectList &stepped = world.step(now, {});
            tickEffects.insert(tickEffects.end(), stepped.begin(), stepped.end());
        }
    }

    /// The only effect of type T of the last step; the test fails unless there is exactly one.
    template <typename T>
    T only() const
    {
        REQUIRE(count<T>() == 1);
        for (const Effect &effect : effects) {
            if (const T *found = std::get_if<T>(&effect))
                return *found;
        }
        return T{};
    }

    template <typename T>
    [[nodiscard]] std::size_t count() const
    {
        return static_cast<std::size_t>(
            std::count_if(effects.begin(), effects.end(),
                          [](const Effect &effect) { return std::holds_alternative<T>(effect); }));
    }

    RequestArrived chat(std::uint64_t request, std::string className)
    {
        RequestArrived event;
        event.request = RequestId{ request };
        event.className = std::move(className);
        event.workspace = "mill";
        event.target = "m";
        return event;
    }

    RequestArrived payment(std::uint64_t request, std::string key, std::uint64_t bodyHash = 7)
    {
        RequestArrived event = chat(request, "payment");
        event.kind = RequestKind::Service;
        event.target = "payment";
        event.idempotencyKey = std::move(key);
        event.bodyHash = bodyHash;
        return event;
    }

    TimePoint now = TimePoint(Duration(10s));
    World world;
    EffectList effects; ///< Of the last step.
    EffectList tickEffects; ///< Of all ticks of `advance`.
};

} // namespace test

#endif
