// Carries framed messages to peers: one thread drives all connections, callers never wait for each other and a peer
// that does not answer holds up only the calls to itself.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct peer_frame_result {
    bool answered = false;         // the whole answer arrived; of a one-way message: all bytes left
    bool may_have_arrived = false; // false only when no byte of the message can have left
    std::string frame;
    std::string reason; // why there is no answer
};

class peer_channel {
public:
    struct limits {
        std::size_t connections_each = config::peer_connections_each;
        std::size_t connections_most = config::peer_connections_most;
        std::size_t calls_most = config::peer_calls_most;
        std::int64_t message_bytes_most = config::peer_message_bytes_most;
        duration idle = config::peer_idle;
    };
    struct message {
        net_address to;
        std::string frame; // without its length
        bool one_way = false;
        duration timeout{}; // from now, waiting for a connection included
    };
    struct stats {
        std::int64_t calls = 0;
        std::int64_t failed = 0;
        std::int64_t connects = 0;
        std::int64_t bytes_in = 0;
        std::int64_t bytes_out = 0;
    };

    explicit peer_channel(limits l);
    ~peer_channel();
    peer_channel(const peer_channel&) = delete;
    peer_channel& operator=(const peer_channel&) = delete;

    // Returns at once. `done` runs once, on the channel's thread, and must not block.
    void send(message m, std::function<void(peer_frame_result)> done);

    stats read_stats() const;

private:
    struct engine;
    std::unique_ptr<engine> engine_;
};

} // namespace skylarkhub
