#ifndef CURRANTREEL_REPLAY_EXCHANGEBENCH_H
#define CURRANTREEL_REPLAY_EXCHANGEBENCH_H

#include "../World/Effect.h"
#include "../World/Event.h"
#include "BackendBench.h"
#include "BenchState.h"
#include "CallBook.h"
#include <functional>
#include <map>
#include <tuple>

namespace currantreel {

/// End of an exchange, as its caller gets it.
struct ExchangeReply
{
    enum class Kind : std::uint8_t { Answer, Refusal, Key, KeyState, ConnectionLost };
    Kind kind = Kind::ConnectionLost;
    std::optional<ReplayedAnswer> answer;
    ResultCode code = ResultCode::RequestMalformed;
    Outcome outcome = Outcome::Unknown;
    std::string key;
    KeyState state = KeyState::Unknown;
};

/// Carries out the effects of hosts: connections to backend servers, answers to callers, and
/// exchanges passed on between hosts.
class ExchangeBench
{
public:
    using Deliver = std::function<void(std::size_t host, Event event)>;
    using Reply = std::function<void(Exchange &exchange, const ExchangeReply &reply)>;

    ExchangeBench(BenchState &state, CallBook &book, BackendBench &backends,
                  const Configuration &configuration);

    /// @param deliver makes an event happen to a host. @param reply tells the caller.
    void connect(Deliver deliver, Reply reply);

    void handle(std::size_t host, const Effect &effect);
    void onNews(const BackendNews &news);
    /// Every connection of @p host breaks.
    void onHostCrash(std::size_t host);

    /// The event that hands the request of @p exchange to its host.
    [[nodiscard]] RequestArrived arrivalOf(const Exchange &exchange);

private:
    using AttemptKey = std::tuple<std::size_t, std::uint64_t, AttemptId>;
    using KeptKey = std::tuple<std::size_t, std::uint64_t, KeyId>;

    void on(std::size_t host, const StartAttempt &effect);
    void on(std::size_t host, const CancelAttempt &effect);
    void on(std::size_t host, const RelayAttempt &effect);
    void on(std::size_t host, const FinishReply &effect);
    void on(std::size_t host, const RefuseRequest &effect);
    void on(std::size_t host, const ForwardRequest &effect);
    void on(std::size_t host, const KeyIssued &effect);
    void on(std::size_t host, const KeyAssigned &effect);
    void on(std::size_t host, const KeyStateReported &effect);
    void on(std::size_t host, const StoreAnswer &effect);
    void on(std::size_t host, const ReplayAnswer &effect);
    void on(std::size_t host, const DropAnswer &effect);
    void on(std::size_t host, const CloseExchange &effect);
    /// Effects that concern no connection.
    template <typename T>
    void on(std::size_t /*host*/, const T & /*effect*/)
    {
    }

    void open(std::uint64_t job);
    void receive(const BackendNews &news);
    void receiveTokens(Attempt &attempt, std::uint32_t tokens);
    void fail(std::uint64_t job);
    void noteCancel(Attempt &attempt);
    [[nodiscard]] bool isCutOff(const Attempt &attempt) const;
    [[nodiscard]] const BackendServer &serverOf(const Attempt &attempt) const;
    Attempt *find(std::size_t host, AttemptId id);

    void end(Exchange &exchange, const ExchangeReply &reply);
    void endOrigin(RequestId origin, std::size_t from, const ExchangeReply &reply);
    void failForward(RequestId origin, Duration delay);
    void arriveForwarded(RequestId origin, std::size_t to);

    BenchState *m_state;
    CallBook *m_book;
    BackendBench *m_backends;
    const Configuration *m_configuration;
    Deliver m_deliver;
    Reply m_reply;
    std::map<AttemptKey, std::uint64_t> m_jobs;
    std::map<KeptKey, ReplayedAnswer> m_kept;
};

} // namespace currantreel

#endif
