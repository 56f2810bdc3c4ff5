#ifndef CURRANTREEL_WORLD_KEYSYSTEM_H
#define CURRANTREEL_WORLD_KEYSYSTEM_H

#include "../Keys/KeyCodec.h"
#include "../Keys/KeyTable.h"
#include "Event.h"
#include "StepContext.h"
#include <optional>
#include <string>
#include <vector>

namespace currantreel {

/// What to do with a request that carries a key.
struct KeyDecision
{
    enum class Action : std::uint8_t {
        Run, ///< Execute under `key`.
        Wait, ///< Joined a running one under `key`; its end answers this request too.
        Replay, ///< Answer with what is kept under `key`.
        Forward, ///< Pass on to `issuer`.
        Refuse, ///< Refuse with `code` and `outcome`.
    };
    Action action = Action::Refuse;
    KeyId key;
    HostEntry issuer;
    ResultCode code = ResultCode::KeyMalformed;
    Outcome outcome = Outcome::NotRun;
};

/// Issues idempotency keys and decides what a request under a key has to do.
class KeySystem
{
public:
    KeySystem(const HostIdentity &self, const KeySecret &secret);

    /// Makes a key.
    std::string issue(const StepContext &context, KeyId *id = nullptr);

    /// Decides on a request with key @p text.
    KeyDecision claim(const StepContext &context, const std::string &text,
                      const RequestArrived &request);

    /// Answers a question about a key, or forwards it.
    void onStateQueried(StepContext &context, const KeyStateQueried &event);

    /// Ends the run under @p key by @p runner and answers those who joined it, which it returns.
    std::vector<RequestId> finish(StepContext &context, KeyId key, RequestId runner,
                                  Outcome outcome);

    /// Forgets a joined request whose caller left.
    void removeJoinedRequest(KeyId key, RequestId request)
    {
        m_table.removeJoinedRequest(key, request);
    }

    /// True if a duplicate waits for the run under @p key.
    [[nodiscard]] bool hasJoinedRequests(KeyId key) const { return m_table.hasJoinedRequests(key); }

    /// Drops expired keys.
    void run(StepContext &context);

    [[nodiscard]] std::size_t size() const { return m_table.size(); }

private:
    [[nodiscard]] KeyDecision claimOwn(const StepContext &context, const IdempotencyKey &key,
                                       const RequestArrived &request);
    [[nodiscard]] KeyDecision claimForeign(const StepContext &context, const IdempotencyKey &key,
                                           bool isForwarded) const;

    HostIdentity m_self;
    KeyCodec m_codec;
    KeyTable m_table;
    std::uint64_t m_nextKey = 1;
};

} // namespace currantreel

#endif
