#ifndef CURRANTREEL_REPLAY_CALLERSIMULATOR_H
#define CURRANTREEL_REPLAY_CALLERSIMULATOR_H

#include "ExchangeSimulator.h"

namespace currantreel {

/// The callers of a run. Arrivals are open-loop: no caller waits for another's answer.
///
/// A caller of a class which may not be repeated gets a key first, and tries again under the same key
/// at another host when it does not know the outcome; when it gives up, it asks for the key's state.
/// Any other caller tries once more when it does not know the outcome.
class CallerFake
{
public:
    CallerFake(BenchState &state, CallBook &book, ExchangeBench &bench,
               ExchangeBench::Deliver deliver);

    /// Schedules every arrival.
    void start(const std::vector<TraceArrival> &arrivals);

    void onReply(Exchange &exchange, const ExchangeReply &reply);

private:
    [[nodiscard]] bool isKeyed(std::size_t call) const;
    [[nodiscard]] std::size_t liveHost(std::size_t from) const;
    [[nodiscard]] Duration patience(std::size_t call) const;

    void begin(std::size_t call, std::size_t from);
    void askForKey(std::size_t call, std::size_t from);
    void askForState(std::size_t call, std::size_t from);
    void send(std::size_t call, std::size_t from);
    void expect(RequestId exchange, Duration time);
    void leave(RequestId exchange);
    void onUnknown(std::size_t call, std::size_t host);
    void onKey(std::size_t call, std::size_t host, const std::string &key);

    BenchState *m_state;
    CallBook *m_book;
    ExchangeBench *m_bench;
    ExchangeBench::Deliver m_deliver;
};

} // namespace currantreel

#endif
