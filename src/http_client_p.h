// HTTP client over libcurl: one thread drives many transfers, callers never wait for each other.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "connection_number_p.h"
#include "http_message_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct http_call {
    std::string method = "GET";
    net_address address;
    std::string target = "/"; // path and query, already encoded
    http_fields headers;
    std::string body;
    duration timeout{std::chrono::seconds(5)};
    // For an answer that may be large: once some of it is there, `timeout` no longer ends the call, but a stretch of
    // this length without a byte does. 0: `timeout` ends it.
    duration stall_timeout{0};
    duration connect_timeout{std::chrono::seconds(1)};
    std::int64_t answer_bytes_most = 16 << 20;
    // A fresh connection for this call alone, so that no leftover of another call's answer can be read as its own.
    bool send_once = false;
    // The call goes only over a kept connection that the client opened no later than this one; empty: over any. When
    // none is free, it is not sent.
    std::optional<connection_number> newest_connection;
};

struct http_result {
    bool answered = false;           // the whole answer arrived
    bool may_have_arrived = true;    // false only when no byte of the request can have left
    bool kept_connection = false;    // it went over a connection that had carried other calls
    connection_number connection;    // over which it went; 0: none was established
    bool connection_too_new = false; // it was not sent, since `newest_connection` excludes the one that was free
    int status = 0;
    http_fields headers;
    std::string body;
    std::string reason; // why there is no whole answer
};

class http_client {
public:
    struct limits {
        long connections_per_host = 0; // 0: no limit
        long connections_kept = 64;
    };

    http_client();
    explicit http_client(limits l);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Sends without waiting, and never sends a call again once a byte of it has left. `done` runs once, on the client's
    // thread, and must not block.
    void send(http_call call, std::function<void(http_result)> done);

    // Sends and waits. Not from within `done`.
    http_result call(http_call call);

private:
    struct engine;
    std::unique_ptr<engine> engine_;
};

} // namespace skylarkhub
