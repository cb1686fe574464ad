// Shared types of flows: jobs made of dependent steps, runs of their tasks on workers, commands to workers and
// requests to the table in which flow state is stored.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "connection_number_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

using queue_id = detail::name<struct queue_tag>;
using run_number = detail::counter<struct run_tag>; // one start of a task; increases with every start of that task
using end_number = detail::counter<struct worker_end_tag>; // position of a run's end in the list of one worker process

// --- jobs, steps and tasks ---

// A set of equal tasks within a job.
struct flow_step {
    std::int32_t count = 1;
    resources need;                    // of one task
    duration estimate{0};              // expected run time of one task; 0: unknown
    std::vector<std::int32_t> after;   // indices of the steps that must be done before this one starts
    bool checkpointing = false;        // a new run resumes from the newest checkpoint
    bool gang = false;                 // all tasks of the step run at the same time or none does
    bool same_rack = false;            // a gang that runs slowly when its tasks are on several racks
    bool speculative = false;          // several runs of one task may be active at the same time
    bool lasting = false;              // each task runs until the job is cancelled
    bool filling = false;              // background work: uses processors that other tasks reserved but leave idle
    std::string label;                 // label that the worker must have; empty: any worker
    rack_id data_rack;                 // rack of the input data; a task is slower on any other rack
    std::int32_t per_worker_most = 0;  // tasks of one occurrence on one worker; 0: no limit
    std::string image;                 // program that the tasks run; tasks of one image load a worker alike
    duration tail_target{0};           // tail latency target of a serving (lasting) task; 0: none
    std::int32_t unavailable_most = 0; // tasks that may be stopped at a time by planned moves; 0: no limit
};

// A job as its submitter specified it.
struct flow_spec {
    std::string payload;
    std::vector<flow_step> steps;
    std::int32_t occurrences = 0; // runs of the whole job, one every `interval`; 0: a single run without delay
    wall_time first_due{};        // start of the first occurrence
    duration interval{0};
};

// One task: the `index`-th of its step, in one occurrence of the job.
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

// The first task of the stage, which stands for the stage.
inline flow_task_id first_of_stage(flow_task_id task)
{
    task.index = 0;
    return task;
}

// Whether two tasks are of the same step and occurrence of a job.
inline bool same_stage(const flow_task_id& a, const flow_task_id& b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

enum class flow_state : std::uint8_t { queued, running, done, failed, cancelled };

// --- the operator's configuration ---

// A queue takes the jobs of one host and path prefix and names the service whose workers run them.
struct flow_queue {
    queue_id name;
    std::string host;
    std::string prefix;
    std::string service;
    std::int32_t priority = 0;      // lower values start first
    std::int32_t failures_most = 1; // failed runs of one task after which the job fails
    double slack_factor = 1;        // latency objective: multiple of the estimated time of the longest chain of steps
    duration latency_target{0};     // added to that multiple
    bool requires_ticket = false;   // every start carries a ticket issued by the advice service
};

struct flow_service {
    std::string name;
    bool guards_room = false; // its workers refuse a task that exceeds their free resources
    bool standby = false;     // its workers are kept in reserve
};

struct flow_config {
    settings_version version;
    std::vector<flow_queue> queues;
    std::vector<flow_service> services;
    std::int64_t body_bytes_most = 1 << 20;
};

// A data centre in which the operator wants no further tasks to be started, or wants that no longer.
struct flow_evacuation {
    data_centre_id data_centre;
    bool evacuated = true; // false: taken back
};

// The operator's evacuations, or what has changed of them.
struct flow_evacuation_update {
    bool whole = false; // every evacuation in force is named; otherwise only what has changed
    std::vector<flow_evacuation> evacuations;
};

// --- workers ---

// When a worker process started, in Unix milliseconds of the worker's clock; 0: not told.
using worker_birth = detail::counter<struct worker_birth_tag>;

// One life of a worker: a worker that restarts may keep its id, but it runs nothing of before and counts anew.
struct worker_life {
    worker_id worker;
    worker_birth born;

    friend auto operator<=>(const worker_life&,
                            const worker_life&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    template <typename H> friend H AbslHashValue(H state, const worker_life& l)
    {
        return H::combine(std::move(state), l.worker, l.born);
    }
};

// A worker process in the platform's list of workers.
struct flow_listed_worker {
    worker_id worker; // a restarted worker may have the same one
    net_address address;
    data_centre_id data_centre;
    std::string service;
    resources room; // total capacity
    std::vector<std::string> labels;
    rack_id rack;
    bool draining = false;
    worker_birth born;
};

// An entry of the platform's list that cannot be parsed as a worker.
struct flow_unusable_entry {
    worker_id worker;
    std::string reason;
};

struct flow_worker_list {
    std::vector<flow_listed_worker> workers;
    std::vector<flow_unusable_entry> unusable;
};

// An order is a command to a worker: one of the four structs that follow. Every order carries the fencing token (the
// owner's epoch), so that a worker refuses the orders of an owner that has been replaced.

// Starts a run of a task.
struct start_run {
    flow_task_id task;
    run_number run;
    std::string payload;
    std::string checkpoint; // to resume from; empty: start from the beginning
    worker_time lease_until;
    epoch fence;
    std::string ticket;
};
// Ends a run.
struct stop_run {
    flow_task_id task;
    run_number run;
    epoch fence;
};
// A hold: renews the leases of all runs on the worker, confirms ended runs, and requests the list of active and ended
// runs.
struct hold_worker {
    std::optional<worker_time> lease_until; // empty: renews no lease
    epoch fence;
    end_number confirmed; // ended runs up to this number are stored and need not be listed again
    duration wait{0};     // longest time the worker may delay its answer until a run ends that is not confirmed
};
// Limits the speed of a run to `percent` of full speed.
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
    stale_run, // this run or a newer run of the task was stopped or has ended on the worker
    expired,   // the lease in the order was already over
    no_room,
    no_ticket,
    other_life,    // a restarted worker process now has the address
    no_connection, // not sent: no connection to the life that the order is meant for is free
    unhealthy,     // the worker is unhealthy and did not carry out the order
    invalid,
    no_answer // the order may have been carried out, or may be carried out later
};

enum class run_end : std::uint8_t { done, failed, stopped, lapsed, broken, alone };

// An active run in the answer to a hold.
struct reported_run {
    flow_task_id task;
    run_number run;
    std::string checkpoint;
    std::int32_t progress_percent = 0; // a lasting task reports 100 once it is operational
    std::int64_t measure = 0; // serving task: tail latency in ms; other tasks: processors in use, in thousandths
};
// An ended run in the answer to a hold.
struct reported_end {
    end_number number;
    flow_task_id task;
    run_number run;
    run_end how = run_end::done;
    std::string checkpoint;
};
struct order_answer {
    order_result result = order_result::no_answer;
    std::optional<worker_time> clock;  // of the worker when it answered
    std::vector<reported_run> running; // only in the answer to a hold
    std::vector<reported_end> ends;    // only in the answer to a hold
    bool ends_cut = false; // the worker may have more ends than these, which it lists once these are confirmed
    std::string reason;
    worker_birth born;            // of the life that answered; only in the answer to a hold
    connection_number connection; // on which the answer came; 0: there is no answer
};

// Where an order goes. A connection ends with the life of the worker that has accepted it, so an order that goes over
// one opened before a later life began never reaches that life.
struct worker_place {
    worker_id worker;
    net_address address;
    std::optional<connection_number> newest_connection; // the newest one that the order may go over; empty: any
};

// --- the table: rows are addressed by table, part and key; a transaction changes rows of one part only ---

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
// A condition of a transaction: the row has this version.
struct store_check {
    store_key key;
    row_version version; // 0: the row must not exist
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
    row_version version;         // of the rows that the transaction wrote
    std::vector<store_row> rows; // after a conflict: current values of the checked rows
    std::string reason;
    bool invalid = false; // refused for what it holds: the table never takes it as it is
};
struct store_range {
    std::string table;
    std::string part;
    std::string from;  // first key; empty: from the first key of the part
    std::string to;    // end of the range, excluded; empty: to the last key of the part
    int rows_most = 0; // in one page; 0: the table's own limit
};
// Requests the changes of a table after a version; the table waits up to `wait` for one.
struct store_watch {
    std::string table;
    row_version after;
    duration wait{0};
};
// The answer to the read of a range or to a watch.
struct store_page {
    bool reached = false;           // the table answered
    bool history_compacted = false; // watch only: changes are missing, the whole table has to be read again
    bool more = false;              // further rows follow; after a watch, they may follow whenever it shows any
    row_version version;
    std::vector<store_row> rows;
    std::string reason;
};

} // namespace skylarkhub
