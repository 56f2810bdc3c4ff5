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

/// A message from one role of this host to another role, of another host or of this one.
struct OutgoingMessage
{
    HostId to;
    PeerMessage message;
};

/// State that the systems share during one step.
struct StepContext
{
    HostIdentity self;
    TimePoint now;
    /// The previous step was longer ago than a lease lasts, so received messages may be as old.
    bool isAfterPause = false;
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    Ownership ownership;
    Router router;
    Table<HostEntry> hosts; ///< All known hosts of the fleet.
    EffectList effects;
    std::deque<OutgoingMessage> outbox;

    template <typename T>
    void emit(T effect)
    {
        effects.emplace_back(std::move(effect));
    }

    /// Queues @p message for @p to, which may be this host.
    template <typename T>
    void send(HostId to, T message)
    {
        outbox.push_back(OutgoingMessage{ to, PeerMessage(std::move(message)) });
    }
};

} // namespace currantreel

#endif
