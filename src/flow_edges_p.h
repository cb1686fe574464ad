// The functions through which the flow logic of an entry reaches the network, the table and the platform. The daemon
// implements them over the network; tests simulate them under a virtual clock. No function blocks; each callback runs
// once, later, and receives the time at which it runs.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "flow_types.h"
#include "flow_types_p.h"
#include "log_line_p.h"

namespace skylarkhub {

// The operator's changes since a given row version.
struct operator_update {
    bool reached = false;
    bool history_compacted = false;
    bool more = false; // further changes may follow
    row_version version;
    std::optional<flow_config> config; // empty if the configuration has not changed, or cannot be read
    row_version config_row;            // version of the row that `config` was read from
    bool config_unreadable = false;    // the configuration has changed and cannot be read
    std::string config_text;           // the unparsed text of `config`
    flow_evacuation_update evacuations;
};

struct flow_edges {
    // Logs one decision and the values that led to it.
    std::function<void(log_level, std::string_view subject, std::string_view event, std::initializer_list<log_field>)>
        note;
    std::function<void(store_transaction, std::function<void(instant, store_result)>)> commit;
    std::function<void(store_range, std::function<void(instant, store_page)>)> read;
    std::function<void(store_watch, std::function<void(instant, store_page)>)> watch;
    // `timeout`: how long to wait for the answer, in addition to the wait that a hold itself requests. A hold is the
    // exchange that renews a worker's leases and returns what it runs; an order is a command to a worker.
    std::function<void(worker_place, worker_order, duration timeout, std::function<void(instant, order_answer)>)> order;
    // The callback receives the peer's reply, or nothing if the peer did not answer.
    std::function<void(net_address, const wire::flow_message&,
                       std::function<void(instant, std::optional<wire::flow_message>)>)>
        send_message;
    std::function<void(duration, std::function<void(instant)>)> after;
    std::function<wall_time()> wall;
    // The callback receives nothing if the platform's worker list could not be read.
    std::function<void(std::function<void(instant, std::optional<flow_worker_list>)>)> list_workers;
    // With `after` 0 the current state is returned at once; otherwise the call waits up to `wait` for a change.
    std::function<void(row_version after, duration wait, std::function<void(instant, operator_update)>)> watch_operator;
    // The row of the table whose value parse_config() reads.
    store_key config_key;
    std::function<std::optional<flow_config>(const std::string& text)> parse_config;
};

} // namespace skylarkhub
