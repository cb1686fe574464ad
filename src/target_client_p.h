// A target as an entry meets it: one caller's request goes out, and only a whole answer to that very request comes back
// as done.
#pragma once

#include <functional>
#include <string>

#include "config.h"
#include "http_client_p.h"
#include "request_gate_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct target_request {
    net_address address;
    std::string request_id;      // unique among all sends of all entries; tells answers apart
    std::string idempotency_key; // empty: none
    std::string body;
    duration time_left{0}; // passed on as Deadline-Ms, and the most to wait for the answer
    bool send_once = false;
    std::int64_t answer_bytes_most = config::body_bytes_most;
};

struct target_answer {
    send_outcome outcome = send_outcome::unknown;
    std::string body;        // of a done answer
    duration retry_after{0}; // of a refusal, 0 when the target gave none
    std::string reason;      // why it is not done
};

// Sends without waiting and never twice; `done` runs once on the client's thread and must not block.
void send_to_target(http_client& http, target_request request, std::function<void(target_answer)> done);

// GET /healthz, before a target that failed or left gets work again.
void check_target(http_client& http, const net_address& address, duration timeout,
                  std::function<void(probe_outcome)> done);

} // namespace skylarkhub
