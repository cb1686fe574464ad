// What an entry's decisions about flows need from outside. The daemon carries these out over the network; tests stand
// in for them under a virtual clock. No function waits; each callback runs once, later, with the time at which it runs.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "flow_types.h"
#include "flow_types_p.h"
#include "log_line_p.h"

namespace skylarkhub {

// What the operator has written since some version.
struct operator_update {
    bool reached = false;
    bool history_compacted = false;
    row_version version;
    std::optional<flow_config> config; // empty when it has not changed
    std::string config_text;           // as the operator wrote it
};

struct flow_edges {
    // One decision for the log: what was decided, and what decided it.
    std::function<void(log_level, std::string_view subject, std::string_view event, std::initializer_list<log_field>)>
        note;
    std::function<void(store_transaction, std::function<void(instant, store_result)>)> commit;
    std::function<void(store_range, std::function<void(instant, store_page)>)> read;
    std::function<void(store_watch, std::function<void(instant, store_page)>)> watch;
    // `timeout`: how long an answer is waited for, not counting a hold's own wait.
    std::function<void(worker_place, worker_order, duration timeout, std::function<void(instant, order_answer)>)> order;
    // The peer's own message in return, empty when there was no answer.
    std::function<void(net_address, const wire::flow_message&,
                       std::function<void(instant, std::optional<wire::flow_message>)>)>
        send_message;
    std::function<void(duration, std::function<void(instant)>)> after;
    std::function<wall_time()> wall;
    // Empty when the platform's list could not be read.
    std::function<void(std::function<void(instant, std::optional<flow_worker_list>)>)> list_workers;
    // `after` 0: everything there is; else waits up to `wait` for a change.
    std::function<void(row_version after, duration wait, std::function<void(instant, operator_update)>)> watch_operator;
    std::function<std::optional<flow_config>(const std::string& text)> parse_config;
};

} // namespace skylarkhub
