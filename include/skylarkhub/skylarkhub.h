// The whole interface of skylarkhub's decisions, grouped by subject: vocabulary, work, table, worker, cell, member,
// route, place. Decisions do no I/O: each takes its state, the time and an event, and says what is to be done.
#pragma once

#include <absl/hash/hash.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace skylarkhub {

namespace detail {

// A string that names one kind of thing only; the empty string is the invalid value.
template <class Tag> class name {
public:
    name() = default;
    explicit name(std::string_view text) : text_(text) {}

    const std::string& str() const { return text_; }
    bool valid() const { return !text_.empty(); }

    friend auto operator<=>(const name&,
                            const name&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    friend std::ostream& operator<<(std::ostream& out, const name& n) { return out << n.text_; }
    template <typename H> friend H AbslHashValue(H state, const name& n)
    {
        return H::combine(std::move(state), n.text_);
    }

private:
    std::string text_;
};

// A counter that is never mixed up with another one. Counters start at 0, which stands for "none yet".
template <class Tag> class counter {
public:
    constexpr counter() = default;
    constexpr explicit counter(std::int64_t value) : value_(value) {}

    constexpr std::int64_t value() const { return value_; }
    constexpr counter next() const { return counter(value_ + 1); }

    friend constexpr auto
    operator<=>(const counter&, const counter&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    friend std::ostream& operator<<(std::ostream& out, const counter& c) { return out << c.value_; }
    template <typename H> friend H AbslHashValue(H state, const counter& c)
    {
        return H::combine(std::move(state), c.value_);
    }

private:
    std::int64_t value_ = 0;
};

template <class... Visitors> struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors> overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace detail

// --- ids ---

using team_id = detail::name<struct team_tag>;
using kind_id = detail::name<struct kind_tag>;
using job_id = detail::name<struct job_tag>;
using service_id = detail::name<struct service_tag>; // "TEAM/NAME"
using worker_id = detail::name<struct worker_tag>;
using target_id = detail::name<struct target_tag>;
using rack_id = detail::name<struct rack_tag>;
using data_centre_id = detail::name<struct data_centre_tag>;
using cell_id = detail::name<struct cell_tag>; // "DATA_CENTRE.RACK"
using entry_id = detail::name<struct entry_tag>;
using operation_id = detail::name<struct operation_tag>;
using net_address = detail::name<struct address_tag>; // "IP:port"

// One life of one entry process: its entry's name and its start stamp. A restarted entry is another incarnation, so it
// can have no promise or ownership to forget.
using incarnation_id = detail::name<struct incarnation_tag>;

using epoch = detail::counter<struct epoch_tag>;              // of a cell; the worker refuses lower ones
using sequence_number = detail::counter<struct sequence_tag>; // of commands within an epoch
using attempt_number = detail::counter<struct attempt_tag>;   // of a task; unique and rising over its life
using row_version = detail::counter<struct row_version_tag>;  // of a table row; 0 when absent
using settings_version = detail::counter<struct settings_version_tag>;

// One task of a job, written "JOB/INDEX" towards workers.
struct task_id {
    job_id job;
    std::int32_t index = 0;

    friend auto operator<=>(const task_id&,
                            const task_id&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    template <typename H> friend H AbslHashValue(H state, const task_id& t)
    {
        return H::combine(std::move(state), t.job, t.index);
    }
};

// --- time ---

using duration = std::chrono::microseconds;

namespace detail {
// Clocks that are only told apart by type; nothing here reads a real clock.
struct entry_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
};
struct worker_clock : entry_clock {};
struct wall_clock : entry_clock {};
} // namespace detail

using instant = std::chrono::time_point<detail::entry_clock, duration>;      // this entry's monotonic clock
using worker_time = std::chrono::time_point<detail::worker_clock, duration>; // one worker's monotonic clock
using wall_time = std::chrono::time_point<detail::wall_clock, duration>; // since 1970, for due times and records only

// --- units and resources ---

struct resources {
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mib = 0;
    std::int32_t accelerators = 0;

    friend bool operator==(const resources&, const resources&) = default;
};
constexpr resources operator+(const resources& a, const resources& b)
{
    return {a.cpu_millis + b.cpu_millis, a.memory_mib + b.memory_mib, a.accelerators + b.accelerators};
}
constexpr resources operator-(const resources& a, const resources& b)
{
    return {a.cpu_millis - b.cpu_millis, a.memory_mib - b.memory_mib, a.accelerators - b.accelerators};
}

// True when `need` fits into `room` in every dimension.
constexpr bool fits(const resources& need, const resources& room)
{
    return need.cpu_millis <= room.cpu_millis && need.memory_mib <= room.memory_mib &&
           need.accelerators <= room.accelerators;
}

// --- work ---

enum class urgency : std::uint8_t { patient, normal, urgent };

// What a kind of work is owed and what it forbids. Kinds are settings.
struct work_kind {
    kind_id id;
    bool latency_critical = false;
    bool idempotent = true;
    bool exclusive = false; // never in two places at once
    bool billed = false;
    duration latency_target{0}; // 0 when it has none
    duration deadline{0};       // 0 when it has none
};

// What one job asks for; a service is a job whose tasks serve requests until it is removed.
struct job_spec {
    team_id team;
    std::string name;
    kind_id kind;
    resources declared; // per task, as the team believes
    std::int32_t task_count = 1;
    skylarkhub::urgency urgency = skylarkhub::urgency::normal;
    duration run_time{0}; // declared, 0 when unknown
    std::int32_t attempt_limit = 5;
    bool is_service = false;
    std::int32_t slots = 0;       // of one service task
    std::int32_t connections = 0; // of one service task
    std::string payload;
    std::string standing; // standing work that created this job
    wall_time due{};
};

// --- table (the platform's transactional table service) ---

// applied: in force. conflict: not in force, a check failed. refused: not in force, never will be. unknown: may take
// effect now, later or never; settled by reading the operation id back, never reported as refused.
enum class table_outcome : std::uint8_t { applied, conflict, refused, unknown };

struct table_row {
    std::string key;
    std::optional<std::string> value; // empty when the row is absent
    row_version version;
    operation_id operation; // of the transaction that wrote it; the table client keeps it in front of the value
};
struct table_check {
    std::string key;
    row_version version; // 0: must be absent
};
struct table_write {
    std::string key;
    std::optional<std::string> value; // empty removes the row
};
struct table_transaction {
    operation_id operation;
    std::vector<table_check> checks;
    std::vector<table_write> writes;
};
struct table_result {
    operation_id operation;
    table_outcome outcome = table_outcome::unknown;
    std::vector<table_row> rows; // applied: key and new version of each write; conflict: rows of the failed checks
    std::string reason;
};
struct table_scan_result {
    std::string prefix;
    bool complete = false; // false when the read failed; rows are then meaningless
    std::vector<table_row> rows;
    std::string reason;
};

// --- worker (its published interface, see docs/PROTOCOLS.md) ---

struct task_start {
    task_id task;
    attempt_number attempt;
    worker_time lease_until;
    job_spec spec;
    resources committed;     // what the worker's ledger is to hold for it; all 0: what the spec declares
    std::string resume_from; // object key of a checkpoint, empty to start afresh
    bool persistent = false; // a service keeps its place when its lease is not renewed
};
// A delayed renewal cannot extend a lease: the owner computes the end from the worker's last reading.
struct task_renew {
    task_id task;
    attempt_number attempt;
    worker_time lease_until;
    resources committed; // what its ledger is to hold from now on; all 0: as before. Ignored if there is no room for it
};
struct task_checkpoint {
    task_id task;
    attempt_number attempt;
};
struct task_throttle {
    task_id task;
    attempt_number attempt;
    std::int32_t percent = 100; // of its processors
};
struct task_stop {
    task_id task;
    attempt_number attempt;
};
// The outcome is durable, the worker may drop it from its inventory.
struct task_forget {
    task_id task;
    attempt_number attempt;
};
using worker_command = std::variant<task_start, task_renew, task_checkpoint, task_throttle, task_stop, task_forget>;

struct worker_request {
    worker_id worker;
    skylarkhub::epoch epoch;
    sequence_number sequence;
    incarnation_id owner;
    std::string
        boot; // life of the worker whose clock the leases are in, empty before its first report; another refuses
    std::vector<worker_command> commands;
};

enum class task_state : std::uint8_t { running, finished, failed, stopped, lapsed };

struct task_report {
    task_id task;
    attempt_number attempt;
    task_state state = task_state::running;
    worker_time lease_until{};
    double progress = 0;
    std::string checkpoint; // object key of the newest durable checkpoint
    double checkpoint_progress = 0;
    std::string reason;
    net_address address; // of a service task's listener
    resources used;      // measured at worker_report::usage_taken
    resources committed; // what the worker's own ledger holds for it, as its start or a later renewal said
    std::int32_t throttle = 100;
    worker_time started{};
};
struct interference_report {
    task_id service_task;
    double slowdown = 1; // service time over its undisturbed service time, at worker_report::usage_taken
};
struct worker_report {
    bool accepted = false;   // false: a higher epoch or sequence was seen, nothing was done
    skylarkhub::epoch epoch; // highest the worker has seen
    std::string boot;
    worker_time now{};
    resources capacity;
    bool leaving = false;
    worker_time usage_taken{};
    std::vector<task_report> tasks;
    std::vector<interference_report> interference;
    std::vector<std::pair<task_id, std::string>> refused; // starts it refused, with the reason
};
// A worker as the platform's lagging list shows it.
struct listed_worker {
    worker_id worker;
    data_centre_id data_centre;
    rack_id rack;
    net_address address;
    resources capacity;
    bool leaving = false;
};

// --- cell: ownership, leases and job life of one rack's workers ---

struct cell_tick {
    wall_time wall{};
};
// The owner's row as read now; `reached` is false when the table could not be read.
struct cell_row_seen {
    bool reached = false;
    table_row row;
};
struct cell_committed {
    table_result result;
};
struct cell_jobs_read {
    table_scan_result scan;
};
struct cell_inbox_read {
    table_scan_result scan;
};
struct cell_workers_listed {
    std::vector<listed_worker> workers;
};
struct cell_worker_answered {
    worker_id worker;
    sequence_number sequence;
    instant sent;
    worker_report report;
};
struct cell_worker_failed {
    worker_id worker;
    sequence_number sequence;
    bool may_have_arrived = true;
    std::string reason;
};
// Live entries of the cell's data centre as this entry believes, itself included, sorted.
struct cell_members_seen {
    std::vector<incarnation_id> live;
};
struct cell_hold_asked {
    incarnation_id owner;
    skylarkhub::epoch epoch;
    duration promise{0};
};
struct cell_hold_answered {
    incarnation_id deputy;
    skylarkhub::epoch epoch;
    bool promised = false;
    instant asked; // when this entry sent the question
    duration promise{0};
};
struct cell_inbox_hinted {};
// A planned stop of this entry: hand the cell over, cut nothing off.
struct cell_stop_planned {};

using cell_event = std::variant<cell_tick, cell_row_seen, cell_committed, cell_jobs_read, cell_inbox_read,
                                cell_workers_listed, cell_worker_answered, cell_worker_failed, cell_members_seen,
                                cell_hold_asked, cell_hold_answered, cell_inbox_hinted, cell_stop_planned>;

struct read_cell_row {};
struct read_cell_jobs {};
struct read_cell_inbox {};
struct commit_cell {
    table_transaction transaction;
};
struct send_worker {
    worker_request request;
};
struct ask_hold {
    incarnation_id deputy;
    skylarkhub::epoch epoch;
    duration promise{0};
};
struct answer_hold {
    incarnation_id owner;
    skylarkhub::epoch epoch;
    bool promised = false;
    std::string reason;
};
struct cell_handed_over {}; // after cell_stop_planned: nothing is left to wait for
struct cell_notice {
    std::string event; // one word with underscores, e.g. "cell_taken"
    std::string detail;
};
using cell_action = std::variant<read_cell_row, read_cell_jobs, read_cell_inbox, commit_cell, send_worker, ask_hold,
                                 answer_hold, cell_handed_over, cell_notice>;

} // namespace skylarkhub
