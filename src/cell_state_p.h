// The state of one cell in one entry, and the parts of its decisions, one file each.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell_ledger_p.h"
#include "cell_p.h"
#include "job_record_p.h"
#include "place_crash_p.h"
#include "place_p.h"

namespace skylarkhub::detail {

// The cell's row as this entry last read or wrote it.
struct seen_row {
    bool known = false; // some read has succeeded
    bool present = false;
    wire::cell_row row;
    row_version version;
    instant unrenewed_since{}; // when this version was first seen
    instant read_at{};
};

// What an owner may rely on, and what this entry has promised as a deputy.
struct hold_state {
    instant renewed{}; // when the last renewal that succeeded was sent
    bool ever_renewed = false;
    std::map<incarnation_id, instant> promised_to_us; // until when, in our clock
    instant next_ask{};
    instant promised_by_us{}; // we take over nothing before
};

// A task whose end the pending transaction records: its worker may forget it afterwards.
struct recorded_end {
    worker_id worker;
    task_id task;
    attempt_number attempt;
};

enum class commit_purpose : std::uint8_t { none, take, renew, hand_over };
enum class commit_phase : std::uint8_t { idle, sent, reading_back, waiting };

// One transaction at a time. Its content is frozen until its outcome is certain.
struct commit_state {
    commit_phase phase = commit_phase::idle;
    commit_purpose purpose = commit_purpose::none;
    bool maybe_applied = false; // some try of it may still take effect
    table_transaction transaction;
    wire::cell_row row;
    std::vector<std::pair<job_id, std::uint64_t>> jobs; // with the revision written
    std::vector<job_id> pruned;
    std::vector<recorded_end> ends;
    std::vector<std::string> inbox_keys;
    instant first_sent{};
    instant sent{};
    instant retry_at{};
    int tries = 0;
    std::int64_t operations = 0; // named so far
    instant next_due{};
    duration latency{0}; // smoothed, of those that were answered
    std::size_t rows_last = 1;
};

// An attempt that ended with its worker, or whose lease is over.
struct lost_attempt {
    task_id task;
    attempt_number attempt;
    run_in_crash in_crash;
};

struct cell_worker {
    listed_worker listing;
    bool listed = false;
    bool fenced = false; // has accepted this epoch
    bool leaving = false;
    std::string boot;
    worker_time reading{};
    instant read_at{}; // when that reading arrived
    bool heard = false;
    resources capacity;
    sequence_number sequence;
    bool waiting = false; // for the answer to `sequence`
    instant sent{};
    instant next_exchange{};
    instant no_starts_until{};
    worker_ledger ledger;
    instant last_start{};
    instant unanswered_since{};      // instant{}: it answers
    bool said_leaving = false;       // this boot has, itself; the list may tell of the one before still
    bool restarted = false;          // another boot answers, unplanned, than the one that was told what to run
    std::vector<lost_attempt> lost;  // taken for lapsed; it may have crashed
    std::optional<task_id> kept_for; // a task that may crash it: nothing else is started there
    instant kept_until{};
    std::optional<worker_report> unread; // came before the jobs were read
    sequence_number unread_sequence;
    std::vector<task_report> unread_ends; // that earlier boots told of before the jobs were read
    worker_time usage_learned{};          // measurements up to here have been learned from
};

struct cell_state {
    cell_id id;
    incarnation_id self;
    cell_settings settings;

    instant now{};
    wall_time wall{};
    bool up = false;
    instant up_since{};
    std::vector<cell_action>* out = nullptr; // of the event being decided
    bool ticking = false;                    // that event is a tick

    cell_role role = cell_role::watching;
    bool stop_planned = false;
    instant stop_planned_at{};
    bool stop_announced = false;
    std::vector<incarnation_id> members;
    seen_row seen;
    hold_state hold;
    commit_state commit;
    bool reading_row = false;
    instant row_read_sent{};
    instant next_row_read{};

    // --- of an owner ---
    skylarkhub::epoch epoch;
    instant taken_at{};
    bool accounted = false; // nothing of an earlier epoch can run unseen any more
    bool held = false;      // at the last look
    bool checkpoints_asked = false;
    std::map<worker_id, cell_worker> workers;
    std::vector<worker_id> awake;      // have something to be told now
    bool names_changed = false;        // the workers listed may not all be in the row
    std::set<worker_id> workers_named; // in the row as it stands in the table
    std::map<job_id, job_record> jobs;
    std::set<job_id> unwritten; // their rows are behind
    std::set<job_id> awaited;   // their tasks may run unseen until `accounted`
    crash_watch<task_id> recent_crashes;
    std::set<task_id> suspects; // tasks that are started alone
    bool jobs_read = false;
    bool inbox_read = false;
    bool reading_jobs = false;
    bool reading_inbox = false;
    instant jobs_read_sent{};
    instant inbox_read_sent{};
    instant next_jobs_read{};
    instant next_inbox_read{};
    bool inbox_hinted = false;
    std::set<std::string> inbox_folded;           // to be removed by a transaction to come
    std::set<std::string> inbox_removed;          // removed, but a scan on its way may still show them
    std::set<std::string> inbox_removed_before;   // since before the scan on its way was asked for
    std::map<std::string, instant> inbox_waiting; // rows not acted on yet, since when
    std::vector<recorded_end> ends;               // their jobs' rows are still to be written
    bool place_wanted = false;
    bool urgent_commit = false;
    bool place_urgent = false;
    instant placed_at{};
    instant next_idle_place{};
    instant next_checkpoint_record{};
    instant next_checkpoint_turn{};
    instant next_prune{};
    std::unique_ptr<placement> placer;
    cell_stats stats;
};

// --- time (cell_hold.cpp) ---

// The least wait on this entry's clock after which `d` has certainly passed on any other clock.
duration certainly(const cell_state& s, duration d);

// True while nobody else can own the cell, so that leases may be given.
bool holds(const cell_state& s);
void note_renewed(cell_state& s, instant sent);
void check_hold(cell_state& s);
void ask_deputies(cell_state& s);
void on_hold_asked(cell_state& s, const cell_hold_asked& event);
void on_hold_answered(cell_state& s, const cell_hold_answered& event);

// --- ownership (cell_takeover.cpp, cell_rank.cpp) ---

// This entry's place among the live members for this cell, 0 the first; empty when it is not among them.
std::optional<int> rank(const cell_state& s);
std::vector<incarnation_id> choose_deputies(const cell_state& s);
bool is_deputy(const cell_state& s);
void watch(cell_state& s);
void note_row(cell_state& s, const table_row& row);
void on_row_seen(cell_state& s, const cell_row_seen& event);
void become_owner(cell_state& s);
void become_watcher(cell_state& s, const std::string& reason);
void check_accounted(cell_state& s);
bool owns(const cell_state& s); // fencing or owning: the row names this incarnation
void plan_stop(cell_state& s);
void finish_stop(cell_state& s);

// --- commits (cell_commit.cpp, cell_settle.cpp) ---

void commit_takeover(cell_state& s);
void commit_due(cell_state& s);
void on_committed(cell_state& s, const cell_committed& event);
void settle_by_row(cell_state& s, const table_row& row);
void retry_commit(cell_state& s);
void read_back(cell_state& s);
void settle_applied(cell_state& s, row_version version);
void settle_lost(cell_state& s);
void note_end(cell_state& s, const worker_id& worker, const task_id& task, attempt_number attempt);

// --- workers (cell_workers.cpp, cell_report.cpp) ---

void on_workers_listed(cell_state& s, const cell_workers_listed& event);
void on_worker_answered(cell_state& s, const cell_worker_answered& event);
void on_worker_failed(cell_state& s, const cell_worker_failed& event);
void exchange_due(cell_state& s);
void wake_worker(cell_state& s, const worker_id& worker); // it has something to be told now
void drop_lapsed(cell_state& s);
void checkpoint_due(cell_state& s);
void take_report(cell_state& s, cell_worker& worker, const worker_report& report, sequence_number sequence);
void take_unread_reports(cell_state& s);
void keep_unread_ends(cell_worker& worker);
void release_lapsed(cell_state& s, const worker_id& worker, const ledger_entry& entry);

// --- workers that crash (cell_crashes.cpp) ---

void note_unanswered(cell_state& s, cell_worker& worker);
void note_boot(cell_state& s, cell_worker& worker, const std::string& boot);
// An attempt that is given up as lapsed: charged if the worker answers under another boot.
void remember_lost(cell_state& s, cell_worker& worker, const ledger_entry& entry);
void charge_restart(cell_state& s, cell_worker& worker);
void note_suspects(cell_state& s, const job_record& job);
// Its crashes, and what may have been some, suffice for it to be started alone.
bool is_suspect(const cell_state& s, const task_id& task);
void park_crashers(cell_state& s);
bool is_kept(const cell_state& s, const cell_worker& worker);
bool is_watched(const cell_state& s, const cell_worker& worker);
// A worker to itself, once nothing has been started there for a while; null until then.
cell_worker* choose_alone(cell_state& s, const job_record& job, const task_id& task);

// --- jobs (cell_jobs.cpp, cell_inbox.cpp) ---

job_record* find_job(cell_state& s, const job_id& job);
void touch(cell_state& s, const job_record& job); // after a change of its record
const work_kind* find_kind(const cell_state& s, const kind_id& kind);
void read_due(cell_state& s);
void on_jobs_read(cell_state& s, const cell_jobs_read& event);
void on_inbox_read(cell_state& s, const cell_inbox_read& event);
void cancel_job(cell_state& s, job_record& job);
void end_if_done(cell_state& s, job_record& job);
void stop_run(cell_state& s, const task_id& task, const task_run& run, duration grace);
void park_job(cell_state& s, job_record& job, const std::string& reason);

// --- placement (cell_placing.cpp) ---

void place_due(cell_state& s);
// Takes starts, but for what it may be kept for.
bool is_usable(const cell_state& s, const worker_id& id, const cell_worker& worker);
// No worker is committed beyond what it has.
bool has_room(const cell_worker& worker, const resources& need);

void notice(cell_state& s, std::string event, std::string detail);

} // namespace skylarkhub::detail

namespace skylarkhub {
struct cell::state : detail::cell_state {};
} // namespace skylarkhub
