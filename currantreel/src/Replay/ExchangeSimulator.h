#ifndef CURRANTREEL_REPLAY_EXCHANGESIMULATOR_H
#define CURRANTREEL_REPLAY_EXCHANGESIMULATOR_H

#include "../World/Effect.h"
#include "../World/Event.h"
#include "BackendSimulator.h"
#include "CallRecorder.h"
#include "SimulationState.h"
#include <functional>
#include <map>
#include <tuple>

namespace currantreel {

/// End of an exchange, as its caller receives it.
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

/// Executes the effects of hosts: connections to backend servers, answers to callers, and exchanges
/// forwarded between hosts.
class ExchangeSimulator
{
public:
    using Deliver = std::function<void(std::size_t host, Event event)>;
    using Reply = std::function<void(Exchange &exchange, const ExchangeReply &reply)>;

    ExchangeSimulator(SimulationState &state, CallRecorder &recorder, BackendSimulator &backends,
                      const Configuration &configuration);

    /// @param deliver hands an event to a host. @param reply hands a reply to its caller.
    void setCallbacks(Deliver deliver, Reply reply);

    void handle(std::size_t host, const Effect &effect);
    void onBackendEvent(const BackendEvent &event);
    /// Breaks every connection of @p host.
    void onHostCrash(std::size_t host);

    /// Event by which the request of @p exchange arrives at its host.
    [[nodiscard]] RequestArrived arrivalOf(const Exchange &exchange);

private:
    using AttemptKey = std::tuple<std::size_t, std::uint64_t, AttemptId>;
    using StoredAnswerKey = std::tuple<std::size_t, std::uint64_t, KeyId>;

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

    void openConnection(std::uint64_t job);
    void onAttemptEvent(const BackendEvent &event);
    void receiveTokens(Attempt &attempt, std::uint32_t tokens);
    void failAttempt(std::uint64_t job);
    void recordCancellation(Attempt &attempt);
    [[nodiscard]] bool crossesPartition(const Attempt &attempt) const;
    [[nodiscard]] const BackendServer &serverOf(const Attempt &attempt) const;
    Attempt *findAttempt(std::size_t host, AttemptId id);

    void endExchange(Exchange &exchange, const ExchangeReply &reply);
    void endOrigin(RequestId origin, std::size_t from, const ExchangeReply &reply);
    void failForward(RequestId origin, Duration delay);
    void deliverForwarded(RequestId origin, std::size_t to);

    SimulationState *m_state;
    CallRecorder *m_recorder;
    BackendSimulator *m_backends;
    const Configuration *m_configuration;
    Deliver m_deliver;
    Reply m_reply;
    std::map<AttemptKey, std::uint64_t> m_jobs;
    std::map<StoredAnswerKey, ReplayedAnswer> m_storedAnswers;
};

} // namespace currantreel

#endif
