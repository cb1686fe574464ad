// HTTP server over libmicrohttpd. A handler may answer later and from any thread; a waiting request holds no thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http_message_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Answers one request; calls after the first do nothing.
using http_reply = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_reply)>;

class http_server {
public:
    struct options {
        net_address address; // "IP:port"; port 0 takes a free one
        unsigned threads = 2;
        std::int64_t body_bytes_most = 1 << 20; // of one body; a larger one is answered 413 or closed, unread
        // For one connection more, the one ends that has stood still longest; it is closed at accept when none has.
        std::size_t connections_most = 4096;
        // Of all bodies until their requests are answered. For one more, connections end that have held much for long.
        std::int64_t held_bytes_most = std::int64_t{64} << 20;
        // Of what has arrived in the socket of a connection and is not read, and of what is to be sent; 0: the
        // kernel's.
        int socket_buffer_bytes = 0;
        unsigned idle_seconds = 60;
    };

    // Empty when the address cannot be bound, with the reason in `last_reason`.
    static std::unique_ptr<http_server> start(const options& o, http_handler handler, std::string* last_reason);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // The address it listens on, with the port really taken.
    net_address address() const;

    // Requests taken and not answered yet.
    std::int64_t in_flight() const;

    // Connections open now, idle ones included.
    std::int64_t connections() const;

    // Of each body that begins from now on; never more than at the start.
    void limit_bodies(std::int64_t bytes_most);

    // Takes no new connections from now on; those open are served on, each until its next answer, which says that it is
    // the last. A request sent over a connection that is kept and then closed would be of unknown outcome.
    void stop_accepting();

private:
    struct engine;
    explicit http_server(std::unique_ptr<engine> e);
    std::unique_ptr<engine> engine_;
};

} // namespace skylarkhub
