// Accounts for the connections of an HTTP server and for the bodies that it holds for them, and decides whose
// connection ends when there is no room. Contains decisions only and does no I/O. Not thread-safe.
//
// Load pattern: many clients that stay open just short of the end of their request. Room that is full goes from those
// who have held much for long to those who come, so that ordinary callers are served beside them.
#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// receiving: no whole request has arrived yet. served: the request is whole and its answer is not known. answering: the
// answer is being sent. idle: between two requests.
enum class http_phase : std::uint8_t { receiving, served, answering, idle };

// One connection.
struct http_link {
    int socket = -1;
    http_phase phase = http_phase::receiving;
    instant since{};             // of the phase
    std::string body;            // of the request that is being received
    std::int64_t held_bytes = 0; // that count for it, until its request is answered
    bool ending = false;         // it was told to end, and still takes its place
};

class http_intake {
public:
    struct limits {
        std::size_t connections_most = 0;
        std::int64_t held_bytes_most = 0; // over all connections
    };

    explicit http_intake(const limits& l) : limits_(l) {}

    void open(http_link& link, instant now);
    // Gives back all that the connection has taken.
    void close(http_link& link);
    void begin_request(http_link& link, instant now);
    // The request is whole: its body, which counts until the request ends. Empty when the connection was told to end.
    std::optional<std::string> take_request(http_link& link, instant now);
    void begin_answer(http_link& link, instant now);
    void end_request(http_link& link, instant now);

    // Whether one more connection is taken, and the connection that is to end for it, or null.
    struct admission {
        bool granted = false;
        http_link* to_end = nullptr;
    };
    admission admit(instant now);

    // Adds to the body of a request. Returns the connections that are to end for that; the connection itself is among
    // them if it is the one that goes. `body_bytes_most`: of this body.
    std::vector<http_link*> append(http_link& link, std::string_view data, std::int64_t body_bytes_most, instant now);

    std::int64_t held_bytes() const { return held_bytes_; }
    std::size_t connections() const { return links_.size(); }

private:
    std::vector<http_link*> grow(http_link& link, std::int64_t bytes, instant now);
    void end(http_link& link);
    void release(http_link& link);
    http_link* find_weightier(const http_link& asking, std::int64_t asked, instant now) const;

    limits limits_;
    absl::flat_hash_set<http_link*> links_;
    std::size_t ending_ = 0;
    std::int64_t held_bytes_ = 0;
};

} // namespace skylarkhub
