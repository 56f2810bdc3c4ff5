#ifndef CURRANTREEL_REPLAY_CALLERSIMULATOR_H
#define CURRANTREEL_REPLAY_CALLERSIMULATOR_H

#include "ExchangeSimulator.h"

namespace currantreel {

/// Simulates the callers of a run. Arrivals are open-loop: no caller waits for another's answer.
///
/// A caller of a class that requires a key, or that forbids repetition, requests a key first. If
/// the outcome is unknown it retries with the same key at another host, and after the last try it
/// queries the state of the key. Any other caller retries once if the outcome is unknown.
class CallerSimulator
{
public:
    CallerSimulator(SimulationState &state, CallRecorder &recorder, ExchangeSimulator &exchanges,
                    ExchangeSimulator::Deliver deliver);

    /// Schedules every arrival.
    void start(const std::vector<TraceArrival> &arrivals);

    void onReply(Exchange &exchange, const ExchangeReply &reply);

private:
    [[nodiscard]] bool isKeyed(std::size_t call) const;
    [[nodiscard]] std::size_t liveHost(std::size_t from) const;
    [[nodiscard]] Duration replyTimeout(std::size_t call) const;

    void begin(std::size_t call, std::size_t from);
    void requestKey(std::size_t call, std::size_t from);
    void requestKeyState(std::size_t call, std::size_t from);
    void send(std::size_t call, std::size_t from);
    void startTimeout(RequestId exchange, Duration time);
    void disconnect(RequestId exchange);
    void onUnknown(std::size_t call, std::size_t host);
    void onKey(std::size_t call, std::size_t host, const std::string &key);

    SimulationState *m_state;
    CallRecorder *m_recorder;
    ExchangeSimulator *m_exchanges;
    ExchangeSimulator::Deliver m_deliver;
};

} // namespace currantreel

#endif
