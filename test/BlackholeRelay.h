#ifndef CURRANTREEL_TEST_BLACKHOLERELAY_H
#define CURRANTREEL_TEST_BLACKHOLERELAY_H

#include <cstring>
#include <currantreel/src/Shell/PeerLink.h>
#include <event2/listener.h>
#include <list>
#include <string>

namespace test {

using namespace currantreel;

/// Stands between two ends of a connection and can lose track of the connections it has: they stay
/// open and their bytes vanish, while new connections work.
class BlackholeRelay
{
public:
    BlackholeRelay(event_base *base, const std::string &listen, const std::string &target)
        : m_base(base), m_target(target)
    {
        sockaddr_storage address{};
        int length = sizeof(address);
        evutil_parse_sockaddr_port(listen.c_str(), reinterpret_cast<sockaddr *>(&address), &length);
        constexpr int backlog = 16;
        m_listener.reset(evconnlistener_new_bind(base, &BlackholeRelay::onAccept, this,
                                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
                                                 reinterpret_cast<sockaddr *>(&address), length));
    }

    /// From now on, nothing passes on the connections that are open.
    void blackholeConnections()
    {
        for (Pair &pair : m_pairs)
            pair.isForgotten = true;
    }

private:
    struct Pair
    {
        StreamHandle left;
        StreamHandle right;
        bool isForgotten = false;
    };

    static void onAccept(evconnlistener * /*listener*/, evutil_socket_t descriptor,
                         sockaddr * /*address*/, int /*length*/, void *self)
    {
        auto *relay = static_cast<BlackholeRelay *>(self);
        Pair &pair = relay->m_pairs.emplace_back();
        pair.left.reset(bufferevent_socket_new(relay->m_base, descriptor, BEV_OPT_CLOSE_ON_FREE));
        pair.right.reset(bufferevent_socket_new(relay->m_base, -1, BEV_OPT_CLOSE_ON_FREE));
        sockaddr_storage address{};
        int length = sizeof(address);
        evutil_parse_sockaddr_port(relay->m_target.c_str(), reinterpret_cast<sockaddr *>(&address),
                                   &length);
        bufferevent_socket_connect(pair.right.get(), reinterpret_cast<sockaddr *>(&address),
                                   length);
        for (bufferevent *stream : { pair.left.get(), pair.right.get() }) {
            bufferevent_setcb(stream, &BlackholeRelay::onRead, nullptr, nullptr, &pair);
            bufferevent_enable(stream, EV_READ | EV_WRITE);
        }
    }

    static void onRead(bufferevent *stream, void *argument)
    {
        auto *pair = static_cast<Pair *>(argument);
        bufferevent *other = stream == pair->left.get() ? pair->right.get() : pair->left.get();
        evbuffer *input = bufferevent_get_input(stream);
        if (pair->isForgotten)
            evbuffer_drain(input, evbuffer_get_length(input));
        else
            bufferevent_write_buffer(other, input);
    }

    event_base *m_base;
    std::string m_target;
    std::unique_ptr<evconnlistener, detail::EventDeleter<evconnlistener_free>> m_listener;
    std::list<Pair> m_pairs;
};

} // namespace test

#endif
