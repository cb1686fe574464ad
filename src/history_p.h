// What happened, as one observer with one clock saw it, and the checks of what must always hold over it. Filled by the
// fault matrix in virtual time and by tools from the stand-ins' own records; it knows nothing of how the work was done.
#pragma once

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// --- batch work and workers ---

struct worker_capacity_told {
    worker_id worker;
    resources capacity;
};
// A worker began to run an attempt. `committed` is what it set aside; `progress` is where the attempt took up the work,
// 0 when afresh.
struct task_began {
    worker_id worker;
    task_id task;
    attempt_number attempt;
    resources committed;
    bool exclusive = false;
    double progress = 0;
};
// The worker sets aside another amount for an attempt that runs.
struct task_resized {
    worker_id worker;
    task_id task;
    attempt_number attempt;
    resources committed;
};
// The attempt no longer runs there, at the true time of its end, whoever knew of it by then. A task that died with its
// worker counts as lapsed.
struct task_ended {
    worker_id worker;
    task_id task;
    attempt_number attempt;
    task_state how = task_state::finished;
    double checkpoint_progress = 0; // of its newest durable checkpoint
};
// The caller was told that the job is accepted: from here on each of its tasks must finish once.
struct job_accepted {
    job_id job;
    operation_id operation; // the caller's key
    std::int32_t task_count = 1;
    bool is_service = false; // runs until removed and never finishes
};
struct job_refused { // the caller was told that it did not run and will not
    job_id job;
    operation_id operation;
};
enum class task_record : std::uint8_t { finished, cancelled, parked, resumed };
// The table now says this of the task, durably.
struct task_recorded {
    task_id task;
    attempt_number attempt;
    task_record record = task_record::finished;
};

// --- requests ---

enum class call_outcome : std::uint8_t { done, did_not_run, unknown };
// "Did not run" speaks of one call. Of calls with the same key it covers those that the same entry had at the same
// time; of an earlier call elsewhere an entry that cannot read the claims knows nothing, and its caller keeps the key.
struct call_made {
    std::string request; // unique to this call
    entry_id entry;
    std::string key; // the caller's idempotency key, may be empty
    bool idempotent = true;
    bool exclusive = false;
};
struct call_answered {
    std::string request;
    call_outcome outcome = call_outcome::done;
    std::string answer;
};
struct request_sent { // bytes left for the target
    std::string request;
    entry_id entry;
    target_id target;
};
struct run_began {
    std::string request;
    target_id target;
};
struct run_ended {
    std::string request;
    target_id target;
    std::string answer; // the whole of it
};
struct target_leaving {
    target_id target;
};
// `process` is an entry or a target, by the name that requests in flight are told apart by.
struct stop_planned {
    std::string process;
};
struct process_died {
    std::string process;
};
struct request_cut {
    std::string process;
    std::string request;
};

// --- settings and standing work ---

struct settings_accepted { // an operator was told so
    std::string path;
    settings_version version;
    operation_id operation;
};
struct settings_in_force {
    entry_id entry;
    std::string path;
    settings_version version;
};
// An entry that is down, paused or cut off owes nothing until it is back.
struct entry_away {
    entry_id entry;
};
struct entry_back {
    entry_id entry;
    bool fresh = false; // a new process, which has nothing in force yet
};
struct standing_set {
    std::string name; // "TEAM/NAME"
    wall_time first_due;
    duration period{0};
};
struct standing_removed {
    std::string name;
};
struct standing_ran {
    std::string name;
    wall_time due;
    job_id job;
};
struct standing_missed { // told to the operators
    std::string name;
    wall_time due;
};

using history_event =
    std::variant<worker_capacity_told, task_began, task_resized, task_ended, job_accepted, job_refused, task_recorded,
                 call_made, call_answered, request_sent, run_began, run_ended, target_leaving, stop_planned,
                 process_died, request_cut, settings_accepted, settings_in_force, entry_away, entry_back, standing_set,
                 standing_removed, standing_ran, standing_missed>;

struct history_record {
    wall_time at;
    history_event event;
};

// Records in the order of their times; those of the same time stay in the order in which they were added.
class history {
public:
    void add(wall_time at, history_event event);
    const std::vector<history_record>& records() const;
    wall_time end() const;

private:
    mutable std::vector<history_record> records_;
    mutable bool sorted_ = true;
};

struct history_limits {
    duration leaving{std::chrono::seconds(5)};   // after which a leaving target gets nothing new
    duration settings{std::chrono::seconds(19)}; // within which a change is in force on every entry
    duration standing{std::chrono::minutes(1)};  // within which a due time has run or is told as missed
    bool complete = true;                        // the run went on until nothing was left to do
};

struct violation {
    std::string_view promise;
    wall_time at;
    std::string text;
};
using violations = std::vector<violation>;

// One check for each promise of the brief's "What must always hold", and one for standing work.
struct promise_check {
    std::string_view promise;
    violations (*check)(const history& h, const history_limits& limits);
};
std::span<const promise_check> promise_checks();

// All checks, in the order of promise_checks().
violations check_history(const history& h, const history_limits& limits);

// One line each, with the time in seconds since the first record.
std::string format_violations(const history& h, const violations& found);

namespace detail {
violations check_capacity(const history& h, const history_limits& limits);
violations check_exclusive(const history& h, const history_limits& limits);
violations check_resume_once(const history& h, const history_limits& limits);
violations check_finish_once(const history& h, const history_limits& limits);
violations check_whole_answer(const history& h, const history_limits& limits);
violations check_did_not_run(const history& h, const history_limits& limits);
violations check_at_most_once(const history& h, const history_limits& limits);
violations check_leaving_target(const history& h, const history_limits& limits);
violations check_planned_stop(const history& h, const history_limits& limits);
violations check_settings(const history& h, const history_limits& limits);
violations check_standing(const history& h, const history_limits& limits);

// Visits each record whose event the visitor takes, in order, as visit(at, event).
template <class... Visitors> void each_event(const history& h, Visitors... visitors)
{
    const auto visit = overloaded{visitors...};
    for (const history_record& record : h.records()) {
        std::visit(
            [&](const auto& event) {
                if constexpr (requires { visit(record.at, event); }) {
                    visit(record.at, event);
                }
            },
            record.event);
    }
}
} // namespace detail

} // namespace skylarkhub
