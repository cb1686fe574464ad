// Vocabulary of flows: jobs made of dependent steps, the runs of their tasks on workers, and the rows that keep them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

using queue_id = detail::name<struct queue_tag>;
using run_number = detail::counter<struct run_tag>;        // of a task; rises with every start over the task's life
using end_number = detail::counter<struct worker_end_tag>; // of the ends that one life of a worker has listed

// --- work ---

struct flow_step {
    std::int32_t count = 1;
    resources need; // of one task
    duration estimate{0};
    std::vector<std::int32_t> after; // steps all tasks of which must be done first
    bool checkpointing = false;
    bool gang = false;                 // the tasks run together or not at all
    bool same_rack = false;            // a gang that is slow across racks
    bool speculative = false;          // copies may run side by side
    bool lasting = false;              // runs until the job is cancelled
    bool filling = false;              // its processors come from what other tasks leave unused
    std::string label;                 // the worker must have it; empty: any
    rack_id data_rack;                 // slower on any other
    std::int32_t per_worker_most = 0;  // tasks of one occurrence on one worker; 0: no limit
    std::string image;                 // tasks of one image behave alike
    duration tail_target{0};           // of a lasting task's own response times; 0: none
    std::int32_t unavailable_most = 0; // tasks that may be away by our doing at a time; 0: not limited
};

struct flow_spec {
    std::string payload;
    std::vector<flow_step> steps;
    std::int32_t occurrences = 0; // 0: once, at once
    wall_time first_due{};
    duration interval{0};
};

struct flow_task_id {
    job_id job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    friend auto operator<=>(const flow_task_id&,
                            const flow_task_id&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    template <typename H> friend H AbslHashValue(H state, const flow_task_id& t)
    {
        return H::combine(std::move(state), t.job, t.occurrence, t.step, t.index);
    }
};

enum class flow_state : std::uint8_t { queued, running, done, failed, cancelled };

// --- the operator's configuration ---

// A queue takes the jobs of one host and path prefix and names the service whose workers run them.
struct flow_queue {
    queue_id name;
    std::string host;
    std::string prefix;
    std::string service;
    std::int32_t priority = 0; // 0 first
    std::int32_t failures_most = 1;
    double slack_factor = 1;      // of the longest chain, for the latency objective
    duration latency_target{0};   // on top of it
    bool requires_ticket = false; // starts need a ticket of the advice service
};

struct flow_service {
    std::string name;
    bool guards_room = false; // its workers refuse what does not fit
    bool standby = false;
};

struct flow_config {
    settings_version version;
    std::vector<flow_queue> queues;
    std::vector<flow_service> services;
    std::int64_t body_bytes_most = 1 << 20;
};

// --- workers ---

// One life of a worker, as the platform's list shows it.
struct flow_listed_worker {
    worker_id worker; // names the life, not the instance
    net_address address;
    data_centre_id data_centre;
    std::string service;
    resources room;
    std::vector<std::string> labels;
    rack_id rack;
    bool draining = false;
};

// An entry of the list that names no worker to use.
struct flow_unusable_entry {
    worker_id worker;
    std::string reason;
};

struct flow_worker_list {
    std::vector<flow_listed_worker> workers;
    std::vector<flow_unusable_entry> unusable;
};

struct start_run {
    flow_task_id task;
    run_number run;
    std::string payload;
    std::string checkpoint; // empty: from the beginning
    worker_time lease_until;
    epoch fence;
    std::string ticket;
};
struct stop_run {
    flow_task_id task;
    run_number run;
    epoch fence;
};
// Renews the lease of everything on the worker, confirms ends, and asks what runs.
struct hold_worker {
    std::optional<worker_time> lease_until; // empty: renews nothing
    epoch fence;
    end_number confirmed;
    duration wait{0}; // for an end that is not confirmed
};
struct pace_run {
    flow_task_id task;
    run_number run;
    std::int32_t percent = 100;
    epoch fence;
};
using worker_order = std::variant<start_run, stop_run, hold_worker, pace_run>;

enum class order_result : std::uint8_t {
    accepted,
    fenced,    // a higher fencing token was seen
    stale_run, // this run or a higher one was stopped or has ended there
    expired,   // its lease had ended
    no_room,
    no_ticket,
    other_life, // the address belongs to another life of a worker by now
    unhealthy,  // did nothing
    invalid,
    no_answer // may have been carried out, or may be later
};

enum class run_end : std::uint8_t { done, failed, stopped, lapsed, broken, alone };

struct reported_run {
    flow_task_id task;
    run_number run;
    std::string checkpoint;
    std::int32_t progress_percent = 0; // of a lasting task: 100 when it is at work
    std::int64_t measure = 0;          // a serving task: tail latency in ms; others: processors in use, in thousandths
};
struct reported_end {
    end_number number;
    flow_task_id task;
    run_number run;
    run_end how = run_end::done;
    std::string checkpoint;
};
struct order_answer {
    order_result result = order_result::no_answer;
    std::optional<worker_time> clock;
    std::vector<reported_run> running; // of a hold
    std::vector<reported_end> ends;    // of a hold
    std::string reason;
};

struct worker_place {
    worker_id worker;
    net_address address;
};

// --- table rows by table, part and key; a transaction keeps to one part ---

struct store_key {
    std::string table;
    std::string part;
    std::string key;

    friend auto operator<=>(const store_key&,
                            const store_key&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};
struct store_row {
    store_key key;
    std::string value; // bytes
    row_version version;
    bool removed = false;
};
struct store_check {
    store_key key;
    row_version version; // 0: must be absent
};
struct store_put {
    store_key key;
    std::string value;
};
struct store_transaction {
    std::vector<store_check> checks;
    std::vector<store_put> puts;
    std::vector<store_key> removes;
};
struct store_result {
    table_outcome outcome = table_outcome::unknown;
    row_version version;         // of what was written
    std::vector<store_row> rows; // after a conflict: the rows checked, as they are
    std::string reason;
};
struct store_range {
    std::string table;
    std::string part;
    std::string from;  // keys; empty: the first
    std::string to;    // excluded; empty: to the end
    int rows_most = 0; // in one page; 0: as many as the table gives
};
struct store_watch {
    std::string table;
    row_version after;
    duration wait{0};
};
struct store_page {
    bool reached = false;
    bool history_compacted = false; // of a watch: read the table anew
    bool more = false;
    row_version version;
    std::vector<store_row> rows;
    std::string reason;
};

} // namespace skylarkhub
