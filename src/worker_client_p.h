// A worker as the owner of its cell meets it: one call carries fence, renewals, commands and inventory.
#pragma once

#include <functional>
#include <string>

#include "http_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct worker_answer {
    bool answered = false;
    bool may_have_arrived = true; // false only when no byte can have left
    worker_report report;         // meaningful when answered
    std::string reason;
};

// Sends without waiting; `done` runs once on the client's thread and must not block.
void send_to_worker(http_client& http, const net_address& address, const worker_request& request, duration timeout,
                    std::function<void(worker_answer)> done);

// The JSON of docs/PROTOCOLS.md, both ways; the stand-in uses the other halves. Empty when malformed, with the reason.
std::string format_worker_request(const worker_request& request);
std::optional<worker_request> parse_worker_request(const std::string& json, std::string* last_reason);
std::string format_worker_report(const worker_report& report);
std::optional<worker_report> parse_worker_report(const std::string& json, std::string* last_reason);

} // namespace skylarkhub
