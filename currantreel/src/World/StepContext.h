#ifndef CURRANTREEL_WORLD_STEPCONTEXT_H
#define CURRANTREEL_WORLD_STEPCONTEXT_H

#include "../Configuration/Configuration.h"
#include "../Ownership/Ownership.h"
#include "../Ownership/Router.h"
#include "Effect.h"
#include "HostEntry.h"
#include "HostIdentity.h"
#include <deque>
#include <memory>

namespace currantreel {

/// A message on its way from this host in one role to a host in another.
struct OutgoingMessage
{
    HostId to;
    PeerMessage message;
};

/// What the systems share during one step.
struct StepContext
{
    HostIdentity self;
    TimePoint now;
    bool isAfterPause = false; ///< No step for longer than a lease lasts: news may be as old.
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    Ownership ownership;
    Router router;
    Table<HostEntry> hosts; ///< Every host of ours that is known.
    EffectList effects;
    std::deque<OutgoingMessage> outbox;

    /// Adds an effect.
    template <typename T>
    void emit(T effect)
    {
        effects.emplace_back(std::move(effect));
    }

    /// Sends @p message to @p to, which may be this host.
    template <typename T>
    void send(HostId to, T message)
    {
        outbox.push_back(OutgoingMessage{ to, PeerMessage(std::move(message)) });
    }
};

} // namespace currantreel

#endif
