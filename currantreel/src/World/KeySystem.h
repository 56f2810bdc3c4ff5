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

/// How to handle a request with an idempotency key.
struct KeyDecision
{
    enum class Action : std::uint8_t {
        Run, ///< Execute under `key`.
        Wait, ///< Joined a running request under `key`, whose result answers this one too.
        Replay, ///< Reply with the answer stored under `key`.
        Forward, ///< Forward to `issuer`.
        Refuse, ///< Refuse with `code` and `outcome`.
    };
    Action action = Action::Refuse;
    KeyId key;
    HostEntry issuer;
    ResultCode code = ResultCode::KeyMalformed;
    Outcome outcome = Outcome::NotRun;
};

/// Issues idempotency keys and decides how requests with a key are handled.
class KeySystem
{
public:
    KeySystem(const HostIdentity &self, const KeySecret &secret);

    /// Issues a key.
    /// @param id receives the identifier of the key, unless null.
    std::string issue(const StepContext &context, KeyId *id = nullptr);

    /// Decides how to handle a request with key @p text.
    KeyDecision claim(const StepContext &context, const std::string &text,
                      const RequestArrived &request);

    /// Answers a query for the state of a key, or forwards it to the issuer.
    void onStateQueried(StepContext &context, const KeyStateQueried &event);

    /// Ends the run of @p runner under @p key and answers the requests that joined it.
    /// @return the requests that joined it.
    std::vector<RequestId> finish(StepContext &context, KeyId key, RequestId runner,
                                  Outcome outcome);

    /// Removes a joined request whose caller disconnected.
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
