// Serves the calls of other entries: Thrift, framed, compact protocol (schema/peer.thrift, service entry_peer).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config.h"
#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// What is done for each call. Runs on one of a few threads and may wait a little; a handler that throws answers the
// caller with an error.
struct peer_handlers {
    std::function<wire::probe_reply(const wire::probe_request&)> probe;
    std::function<wire::hold_reply(const wire::hold_request&)> hold;
    std::function<void(const std::string& sender, const std::vector<wire::cell_news>& news)> tell_cells;
    std::function<void(const cell_id&)> inbox_hint;
    std::function<std::int64_t(const wire::settings_push&)> push_settings;
    std::function<wire::settings_push(std::int64_t newer_than)> pull_settings;
    std::function<std::string(const std::string& what)> report;
};

class peer_server {
public:
    struct options {
        net_address address; // "IP:port"; port 0 takes a free one
        std::size_t threads = config::peer_server_threads;
        std::size_t connections_most = config::peer_server_connections;
        std::int64_t message_bytes_most = config::peer_message_bytes_most;
        std::int64_t held_bytes_most = std::int64_t{64} << 20; // of the messages of all connections
    };

    // Empty when the address cannot be bound, with the reason in `last_reason`. Calls without a handler are answered
    // with an error.
    static std::unique_ptr<peer_server> start(const options& o, peer_handlers handlers, std::string* last_reason);

    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    // The address it listens on, with the port really taken.
    net_address address() const;

    // Closes the listener and all connections after the handlers that run have returned. Not from within a handler.
    void stop();

private:
    struct engine;
    explicit peer_server(std::unique_ptr<engine> e);
    std::unique_ptr<engine> engine_;
};

} // namespace skylarkhub
