// A flow cell: the workers of some or all racks of a data centre, with the flows (jobs of tasks) bound to them. One
// entry, a process of this service, owns the cell. The owner decides where tasks run, renews the workers' leases, and
// writes the ends of runs to the table before it confirms them to the workers. Other entries watch the cell's row in
// the table, and one of them takes the cell over when the owner is gone.
//
// Terms:
// - hold: the exchange with a worker that renews its leases and returns what it runs and which runs have ended.
// - order: a command to a worker.
// - news: what an entry publishes to its peers; of a job: a row that another cell wrote for this one.
// - hello: the periodic message in which peers exchange news.
// - gang: a step whose tasks have to run at the same time.
// - filling: work that uses processor time left over by serving tasks and is slowed down for them.
// - lasting: a task that runs until it is stopped, for instance a serving task.
// - fenced: of a worker: it has accepted the owner's epoch, and so refuses orders of earlier owners, and has reported
//   its runs. The fence row of a part of the job rows makes the table refuse writes of earlier owners.
// - epoch: a number that grows by one with each takeover of the cell.
// - part: one of job_parts groups of a cell's job rows, each written under a fence of its own.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "flow_demand_p.h"
#include "flow_edges_p.h"
#include "flow_evacuation_p.h"
#include "flow_interference_p.h"
#include "flow_job_p.h"
#include "flow_limits_p.h"
#include "flow_load_p.h"
#include "flow_metrics_p.h"
#include "flow_pending_p.h"
#include "flow_place_p.h"
#include "flow_promises_p.h"
#include "flow_urgency_p.h"
#include "place_crash_p.h"

namespace skylarkhub {

// This entry: its name, its incarnation (one run of its process), and the address at which its peers reach it.
struct entry_identity {
    entry_id entry;
    incarnation_id incarnation;
    net_address address;
    data_centre_id data_centre;
    double cores = 1; // processor cores that the entry may use
};

// The number of further tasks of a certain step that a cell has room for.
struct flow_cell_room {
    cell_id cell;
    skylarkhub::epoch epoch;
    std::int32_t tasks = 0;
};

// free: a worker has the room now. reservable: a worker has it once the tasks there that are not lasting have ended.
// any: it may have to wait for room; the cell with the most is chosen.
enum class room_kind : std::uint8_t { free, reservable, any };

// Functions of the surrounding entry that a cell calls.
struct flow_cell_hooks {
    std::function<const flow_queue*(const queue_id&)> queue; // null: the queue is not in the configuration
    // Another cell that has room of this kind for one more task of the step, with its epoch; empty if none is known.
    std::function<std::optional<std::pair<cell_id, epoch>>(instant, const cell_id& from, const std::string& service,
                                                           const flow_step&, room_kind)>
        find_cell_with_room;
    // The other cells that, by their last reports, have room of this kind for one more task of the step, the best
    // first.
    std::function<std::vector<cell_id>(instant, const cell_id& from, const std::string& service, const flow_step&,
                                       room_kind)>
        list_cells_for_task;
    // Asks the owner of another cell for a place. The callback runs later, with a refusal if no owner answers.
    std::function<void(instant, const cell_id& to, const place_need&, bool reserve,
                       std::function<void(instant, place_answer)>)>
        ask_for_place;
    // The other cells with room for tasks of the step, the one with the most room first.
    std::function<std::vector<flow_cell_room>(instant, const cell_id& from, const std::string& service,
                                              const flow_step&)>
        list_cells_with_room;
    // The share of a service's processors, over all cells with known news, that is used by tasks other than filling
    // ones.
    std::function<double(instant, const std::string& service)> non_filling_cpu_share;
    // Sends a job's row to the owner of the cell that the row's name contains.
    std::function<void(instant, const job_row_name&, const wire::flow_job_row&, row_version)> notify_cell_owner;
    // The newest count of pending jobs that peers reported for a cell; empty if unknown.
    std::function<std::optional<pending_count>(const cell_id&)> reported_pending_count;
    // Whether tasks may be started in the cell's data centre.
    std::function<skylarkhub::start_permission(instant)> start_permission;
    // Whether the list of workers is recent enough to start tasks by.
    std::function<bool(instant)> has_recent_worker_list;
    // Whether the table has answered none of the entries known to this one since `since`, while most entries can be
    // heard.
    std::function<bool(instant now, instant since)> table_outage;
    // Publishes a job's state that the table has applied, for the entry that answers the caller.
    std::function<void(instant, const wire::flow_job_row&, const job_id&, flow_state)> publish_job_state;
    // Memory for the occurrences of one recurring job.
    std::function<std::int64_t()> recurring_job_bytes;
    // The same that is left for the further occurrences of all recurring jobs; what is taken is subtracted from it.
    std::function<std::int64_t&(instant)> recurring_job_bytes_left;
};

// Why a ready task is not placed.
enum class task_wait_reason : std::uint8_t {
    not_received,       // the hand-off to this cell is not yet in this cell's row of the job
    may_still_run,      // started by a previous owner, on a worker that has not reported its runs
    owner_silent,       // the last renewal of the cell is too old, so this owner sends no orders
    workers_not_listed, // no list of workers has arrived since the takeover, or the last one is too old
    evacuated,          // the cell's data centre is evacuated
    evacuation_unknown, // whether it is evacuated is not known
    no_worker,          // no worker with its service and label accepts starts
    no_room,            // no worker has enough free resources
    row_full,           // its start cannot be recorded, as the job's row has no room for it
};

// This entry as a candidate for taking the cell over, and what is known of the current owner.
struct cell_candidacy {
    bool owner_live = false;      // the owner's incarnation answers its peers
    bool owner_leaving = false;   // the owner announces that it is stopping
    bool owner_restarted = false; // a later incarnation of the owner's entry is known
    bool same_data_centre = false;
    int rank = 0;         // among live candidates of the same kind, 0 first
    bool leaving = false; // this entry is stopping
};

class flow_cell {
public:
    // taking: a takeover is being written. reading: owned, the job rows are being read. released: given up on a stop.
    enum class role : std::uint8_t { watching, taking, reading, owning, released };

    // `row_bytes_most`: what the table takes as the value of one row.
    flow_cell(cell_id id, entry_identity self, const flow_edges& edges, flow_cell_hooks hooks,
              std::size_t row_bytes_most);
    flow_cell(const flow_cell&) = delete;
    flow_cell& operator=(const flow_cell&) = delete;

    const cell_id& id() const { return id_; }
    role current_role() const { return role_; }
    // True while this entry owns the cell or a takeover is under way.
    bool owns_or_is_taking_over() const { return owns() || role_ == role::taking; }
    bool owns() const { return role_ == role::owning || role_ == role::reading; }
    // Whether news of jobs can be processed. While the rows are read, an unknown job cannot be told from one that ended
    // before.
    bool accepts_job_news() const { return role_ == role::owning; }
    skylarkhub::epoch epoch() const { return epoch_; }
    const wire::flow_cell_row& row() const { return row_; }
    const flow_cell_stats& stats() const { return stats_; }
    std::size_t job_count() const { return jobs_.size(); }
    // Memory that the jobs take, as an estimate.
    std::int64_t job_bytes() const;
    std::size_t waiting_count() const { return ready_.size(); } // jobs with ready tasks

    // --- events ---
    void on_workers_listed(instant now, const std::vector<flow_listed_worker>& workers);
    // The cell's row as read now; null if there is none.
    void on_row_read(instant now, const store_row* row);
    // The evacuation of this cell's data centre has begun or ended.
    void on_evacuation_changed(instant now);
    // Handles renewals, takeovers and lapsed leases. Called every tick_interval.
    void tick(instant now, const cell_candidacy& candidacy);
    // A row of a job that is received while accepts_job_news() is false. The sender has to send it again later.
    void on_early_news(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version);
    // A row of a job in the table that may concern this cell.
    void on_job_row(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version);
    // The version up to which this owner knows the table of jobs; empty while the table is read as a whole, or the cell
    // is not owned.
    std::optional<row_version> job_watch_version() const;
    // The time up to which this owner knows all changes of the table of jobs; empty as above.
    std::optional<instant> job_news_complete_at() const;
    // Every row of the table of jobs that changed after the first version and up to the second was given to
    // on_job_row(). Ignored if this owner's own version is older than `after`, as after a takeover during the read; the
    // changes are then requested from that version on. `asked`: when the read was requested, if it returned all changes
    // there were.
    void on_job_watch_advanced(row_version after, row_version up_to, std::optional<instant> asked);
    // All news up to the version, which include those that existed at the time `asked`, were given to on_job_row().
    void on_news_read(row_version up_to, instant asked);
    // The table has discarded changes that this entry had not read, so an owner reads all job rows again.
    void on_job_history_compacted(instant now);
    // Does the work that the events since the last call have made due. Called after every event.
    void run_deferred_work(instant now);
    // Begins a planned stop: no more tasks are started, unwritten changes are written, the row is released.
    void plan_stop(instant now);
    // Promises a place here to a lasting task, which another cell may have. With `reserve` a worker is kept free of
    // short work for the task if none has room now.
    place_answer promise_place(instant now, const place_need& need, bool reserve);
    bool stopped() const { return (role_ == role::released && !row_request_in_flight_) || role_ == role::watching; }

    // The news that peers receive of this cell; only valid for an owner.
    wire::flow_cell_news news(instant now) const;
    // The same for a hello, rebuilt only every news_cache_ttl. Some of them include the learned presses: coefficients,
    // by pair of serving and filling image, of how strongly the filling work slows the serving tasks beside it.
    const wire::flow_cell_news& cached_news(instant now);
    // Learned presses, as received from the owner of another cell.
    void hint_presses(const std::map<std::string, double>& presses);
    // The number of pending jobs, by queue. Empty while the rows are read, and when this owner may have been followed
    // unnoticed.
    std::optional<timestamped_count> count_pending(instant now) const;
    // A job that is bound to this cell and has not ended; null if unknown.
    const flow_job* find_job(const job_id& job) const;

private:
    // An end of a run that a worker reported; it is confirmed to the worker once the job's row with it is written.
    struct unconfirmed_end {
        end_number number;
        job_id job;
        std::uint64_t changes = 0; // change count of the job that includes this end
    };
    // The serving tasks of one job's step on a worker. They share an image and a load.
    struct serving_group {
        job_id job;
        int image = 0;
        std::int32_t tasks = 0;
        // Pressure of filling work at which the tail latencies stay below target, at the present load.
        double tolerated_pressure = 0;
        // The same, averaged over the next seconds; for work that runs longer.
        double mean_tolerated_pressure = 0;
    };
    // What a worker reported before the rows of the cell's jobs had been read.
    struct buffered_inventory {
        instant sent{};
        order_answer answer;
    };
    // A start without an answer on a worker that was given up: a later life may still execute it.
    struct late_start {
        flow_task_id task;
        run_number run;
        instant comes_until{};
        instant stop_sent{}; // instant{}: none was sent since the worker answered last
    };
    struct cell_worker {
        flow_listed_worker listing;
        bool listed = false;
        worker_birth born;                   // of the life that answered last
        connection_number newest_connection; // of those over which that life has answered; 0: none
        worker_life life() const { return {listing.worker, born}; }
        // A later incarnation answers at its address, even if the list still has this one.
        bool incarnation_ended = false;
        bool named = false;                      // the cell's row in the table names the worker
        bool fenced = false;                     // it has accepted this epoch and reported its runs
        bool inherited = false;                  // the previous owner may have started tasks there
        std::optional<buffered_inventory> early; // set while the rows are read, once it has accepted this epoch
        bool reported_in_part = false;           // it has accepted this epoch; of its ends, more are to come
        bool has_accepted_epoch() const { return fenced || early || reported_in_part; }
        bool lapsed = false;           // inherited, not fenced by the time every lease of previous owners had ended
        bool published_silent = false; // the cell's row may mark it as silent: it is given no lease
        std::optional<worker_time> reading;
        instant clock_read_at{};
        instant lapsed_after{}; // when every lease given by owners of this cell has certainly ended
        bool hold_in_flight = false;
        std::uint64_t hold_exchange = 0; // number of the hold in flight; the answer to one before is dropped
        bool hold_looks = false;         // the next hold only asks, and so may go over any connection
        int looks_in_a_row = 0;          // that were answered, and left no connection for the next hold
        instant hold_planned_at{};       // when the next hold is sent; instant{}: none is planned
        instant last_answer{};
        std::int32_t silent = 0;    // consecutive holds without an answer
        instant unanswered_since{}; // when the first of these holds was due; instant{}: there is none
        end_number seen;
        end_number confirmed;
        end_number cursor_sent;      // in the newest hold
        end_number acknowledged;     // the highest cursor in a hold that the present life has answered
        instant heard_sent{};        // when the newest hold was sent that the present life has answered
        instant start_answered_at{}; // when the newest answer to a start arrived
        std::vector<unconfirmed_end> unconfirmed;
        std::vector<reported_end> unknown_job_ends;       // ends of runs of unknown jobs, whose rows are being read
        absl::btree_map<flow_task_id, ledger_run> ledger; // runs here, with those whose start is not yet sent
        std::int32_t untracked_runs = 0;                  // runs that the worker lists and the ledger does not have
        resources held;                                   // by the runs in the ledger
        std::int64_t filling_cpu = 0;
        std::int32_t serving = 0;
        std::int32_t filling_task_count = 0;
        instant no_starts_until{};
        // Of a hold that carries a cursor and is under way; instant{}: there is none.
        instant cursor_sent_at{};
        // By when a cursor to this life that was not answered has been executed; instant{}: there is none.
        instant cursor_may_come_until{};
        // The same for cursors to earlier lives.
        instant old_cursor_may_come_until{};
        bool may_forget_ends(instant now) const
        {
            const bool late = cursor_sent_at != instant{} && now - cursor_sent_at > flow_limits::worker_answer_timeout;
            return late || now < old_cursor_may_come_until;
        }
        double distrust = 0; // grows with failures of the worker
        instant distrust_at{};
        // Interference.
        std::vector<serving_group> serving_groups; // one for each job that serves there
        std::vector<double> shares;                // measured share of its processors by filling image, smoothed
        std::vector<double> wanted;                // share by filling image at full pace, from the ledger
        std::vector<int> paces;                    // percent, by filling image
        instant measured_at{};
        instant tightened_at{};
        instant over_target_since{}; // since when a serving task is over its target; instant{}: none is
        // Factor on the tolerated pressure; lowered after a serving task was over its target.
        double tolerance_margin = 1;
        double tail = 0; // worst tail latency at the last measurement, as a share of its target
        instant next_evict{};
        // Millicores committed to lasting tasks, which use less than half of them on average.
        std::int64_t lasting_cpu = 0;
        std::int64_t lasting_memory = 0;
        instant reserved_until{};      // reserved for a waiting lasting task: nothing else is started there
        std::uint64_t reserved_in = 0; // the placement pass in which it was last reserved
        bool is_reserved(instant now) const { return now < reserved_until; }
        std::optional<flow_task_id> dedicated_to; // the worker runs only this task, which may crash it
        instant dedicated_until{};
        std::map<flow_task_id, std::int32_t> paced;
        instant draining_since{};
        std::vector<late_start> late_starts; // those that the worker has not been told to stop yet
    };
    // What another cell has answered to requests for places for the tasks of one stage, which are alike.
    struct place_answers {
        int awaited = 0; // requests without an answer
        instant refused_until{};
        instant promised_at{};
    };
    // A lasting task here for which a place in another cell is sought.
    struct place_search {
        instant wanted_at{};             // when a pass last sought a place for it
        std::optional<instant> asked_at; // of a request that waits for its answer
        bool reserve = false;            // of the last request
        std::optional<cell_id> held_in;  // the cell that last promised a place or reserved a worker
    };

    // A renewal of the cell's row as it was sent to the table.
    struct sent_renewal {
        wire::flow_cell_row row;
        instant sent{};
    };
    // A job's row as it was sent to the table.
    struct committed_row {
        job_id job;
        std::uint64_t changes = 0; // change count of the job that the row includes
        wire::flow_job_row row;
        std::vector<cell_id> told; // the cells for which the same write has news
        std::string bytes;         // of the row

        // The owner of the job's home cell knows the specification of the job; other owners may not know the job yet.
        wire::flow_job_row news_for(const cell_id& cell) const
        {
            return cell.str() == row.cell ? without_spec(row) : row;
        }
    };

    // The state of the rows of one part that this owner writes.
    struct part_state {
        std::optional<row_version> fence;  // version of this owner's fence row; empty: the fence is being written
        row_version unknown_outcome_fence; // fence version that a write of unknown outcome was checked against
        bool read = false;                 // the rows have been read since the takeover
        bool planned = false;              // a commit is scheduled for `due`
        instant due{};
        instant no_commit_before{};                         // wait after a failed commit
        std::map<job_id, instant> dirty;                    // jobs with unwritten changes, and since when
        std::map<job_id, std::vector<store_key>> removable; // rows of jobs that have ended
        instant removals_due{};
        std::map<job_id, std::vector<committed_row>> unanswered; // rows that may be in the table
        std::set<job_id> sent_alone; // jobs of a write that the table never takes, until their rows are written
        bool in_flight = false;      // a write is under way
        duration backoff{0};

        bool is_settled() const { return dirty.empty() && !in_flight; }
        bool is_due(instant now) const
        {
            const bool rows = planned && !dirty.empty() && due <= now;
            const bool removals = !removable.empty() && removals_due <= now;
            return (rows || removals) && no_commit_before <= now && !in_flight && fence;
        }
    };

    // flow_cell_ownership.cpp
    void consider_takeover(instant now, const cell_candidacy& candidacy);
    // Takes the cell only if one of its workers answers this entry.
    void probe_then_take();
    void take(instant now);
    void on_taken(instant now, const wire::flow_cell_row& wanted, const store_result& result);
    void fence_part(const std::string& part, row_version known);
    void on_fenced(instant now, const std::string& part, const store_result& result);
    void adopt_fence(instant now, const std::string& part, row_version version);
    // Writes a part's fence again, so that a write of unknown outcome is refused if it arrives later.
    void refence_part(const std::string& part);
    void read_all_jobs(instant now);
    // Parts are fenced and read one after another, several at a time.
    void begin_next_part();
    void read_part(const std::string& part, const char* table, const std::string& from);
    void on_part_read(instant now, const std::string& part, const char* table, const store_page& page);
    void finish_part_read(instant now, const std::string& part);
    void process_part_rows(instant now, const std::string& part);
    void become_owner(instant now);
    void write_row(const wire::flow_cell_row& wanted, std::function<void(instant, const store_result&)> done);
    void renew(instant now);
    void on_renewed(const wire::flow_cell_row& renewal, instant sent);
    // Does the same if the row that was found is that of a renewal without an answer.
    void find_unanswered_renewal(instant now, const std::string& found);
    // The workers for the cell's row, with remaining lease times for a follower.
    std::vector<wire::flow_worker_name> build_worker_names(instant now, bool releasing);
    wire::flow_pending_row pending_row(instant now) const;
    // Records which workers the row that is now in the table names.
    void mark_named_workers(const wire::flow_cell_row& row);
    // Adds workers that the previous owner's row names.
    void inherit_named_workers(const wire::flow_cell_row& row);
    // Sets when the leases given by previous owners have certainly ended.
    void bound_inherited_leases(const wire::flow_cell_row& row);
    void lose_ownership(instant now, const std::string& reason);
    void release(instant now);
    // Whether nothing is left to wait for before a release.
    bool is_settled() const;
    void write_release(const wire::flow_cell_row& wanted);
    void on_released(instant now, const wire::flow_cell_row& wanted, const store_result& result);
    bool may_send_orders(instant now) const;
    // Whether a start may be sent now: this owner may send orders, and the data centre is known not to be evacuated.
    bool may_send_starts(instant now) const;
    bool is_evacuated(instant now) const;
    bool may_renew_leases(instant now) const;
    bool may_expire_leases(instant now) const;
    // Whether no other entry can have taken the cell: the last renewal is recent enough, or the table is down.
    bool is_unfollowed(instant now, duration max_renewal_age) const;
    void read_row(instant now);

    // flow_cell_workers.cpp
    void look_at_worker(instant now, cell_worker& w);
    void schedule_hold(instant now, const worker_id& id, duration wait);
    void send_hold(instant now, const worker_id& id);
    void on_hold_result(instant now, const worker_id& id, instant sent, duration wait, const order_answer& answer);
    void process_buffered_inventories(instant now);
    void process_inventory(instant now, cell_worker& w, instant sent, const order_answer& answer);
    void process_end(instant now, cell_worker& w, const reported_end& end);
    // Write ends known to a superseded owner into rows that the current owner reads.
    void write_late_ends(const job_id& job, const std::vector<reported_end>& ends);
    void notify_late_ends(instant now, const job_row_name& name, const wire::flow_job_row& late_ends,
                          row_version version);
    void persist_listed_ends(const order_answer& answer);
    void persist_unwritten_ends();
    // Reads the rows of a job that this owner does not know, to learn whether it has ended or belongs to this cell.
    void read_unknown_job(const job_id& job);
    void ask_unknown_job(const job_id& job);
    // Processes ends that workers reported of a job before its rows were read.
    void process_unknown_ends(instant now, const job_id& job);
    void process_running(instant now, cell_worker& w, const reported_run& run);
    void process_stray_run(instant now, const cell_worker& w, const reported_run& run);
    // Adopts runs that workers listed of a job before its rows were read.
    void adopt_stray_runs(instant now, flow_job& job);
    void notify_job_ended(instant now, const job_id& job, const wire::flow_job_row& index,
                          const std::vector<store_row>& rows);
    void on_unknown_index(const job_id& job, const store_page& page);
    void on_unknown_job(instant now, const job_id& job, const std::vector<store_row>& rows);
    // Adds a run that a worker lists and that is not in the ledger of this owner.
    void adopt_run(instant now, cell_worker& w, flow_job& job, const reported_run& run);
    void drop_vanished_runs(instant now, cell_worker& w, instant sent, const order_answer& answer);
    void confirm_ends(cell_worker& w);
    enum class worker_loss_cause : std::uint8_t { crashed, lapsed };
    void on_incarnation_ended(instant now, cell_worker& w);
    // Marks a worker that was never fenced as lapsed once its last lease has certainly ended.
    void note_lapsed(instant now, cell_worker& w);
    void declare_lost_if_lapsed(instant now, cell_worker& w);
    void on_worker_lost(instant now, cell_worker& w, worker_loss_cause how);
    void log_lost_run(instant now, const cell_worker& w, const flow_task_id& task, run_number run) const;
    // Handles an answer that shows a follower of this owner, or the end of the worker's incarnation.
    bool handle_fatal_result(instant now, cell_worker& w, order_result result);
    // Nothing runs there, and every end that the worker reported is stored.
    static bool is_idle(const cell_worker& w);
    // Whether the worker can be forgotten.
    static bool is_idle_and_unlisted(const cell_worker& w);
    void check_lapsed(instant now);
    // The end of a lease given now, on the worker's clock; empty if that clock was never read.
    std::optional<worker_time> lease_end(const cell_worker& w, instant now) const;
    void note_lease(cell_worker& w, instant now) const;
    static void note_epoch_accepted(cell_worker& w, instant now);
    worker_place place_of(const cell_worker& w) const { return {w.listing.worker, w.listing.address, std::nullopt}; }
    // The same for an order that no later life of the worker may execute.
    static worker_place place_of_life(const cell_worker& w);
    // Whether every inherited worker is fenced, or has lapsed without an answer.
    bool all_workers_reconciled(instant now) const;
    // Once all workers are reconciled, tasks that none of them lists may be started.
    void finish_reconciliation(instant now);
    // Adds to the worker's distrust, a score that decays over time.
    void distrust(instant now, cell_worker& w, double amount);

    // flow_cell_lives.cpp
    static void note_late_start(instant now, cell_worker& w, const flow_task_id& task, const live_run& live);
    // Stops the late starts of earlier lives, and forgets each once the worker has answered.
    void stop_late_starts(instant now, cell_worker& w);
    static bool lacks_birth(const cell_worker& w, const order_answer& answer);
    void hear_life(instant now, cell_worker& w, instant sent, const order_answer& answer);
    bool hear_look(instant now, cell_worker& w, instant sent, const order_answer& answer);
    void begin_life(instant now, cell_worker& w, instant sent, const order_answer& answer);
    static void forget_life(cell_worker& w);
    static bool is_over(const worker_life& life, const flow_task_id& task, run_number run, const order_answer& answer);
    bool is_over_at_takeover(const worker_life& life, const flow_task_id& task, run_number run) const;
    static bool may_be_later_life(const cell_worker& w, const flow_listed_worker& listing);
    end_number cursor_for(const cell_worker& w);
    static bool ran_before(const live_run& live, worker_birth born, instant sent);
    void drop_runs_of_earlier_lives(instant now, cell_worker& w, instant sent);

    // flow_cell_crashes.cpp
    struct lost_run {
        flow_task_id task;
        run_number run;
        run_in_crash in_crash;
    };
    // The runs lost on a worker whose leases have ended, and which may have crashed.
    struct lapsed_worker {
        worker_life life;
        std::vector<lost_run> runs;
        instant at{};
    };
    // Records the runs on a worker that stopped answering as possible causes of a crash.
    void note_silence(instant now, const cell_worker& w);
    // The number of runs on the worker whose tasks are charged with a crash.
    std::int64_t count_charged(const cell_worker& w) const;
    std::vector<lost_run> list_lost_runs(const cell_worker& w);
    void charge_runs(instant now, const worker_life& worker, const std::vector<lost_run>& lost);
    std::optional<wire::crash_row> add_crash_row(instant now, const worker_life& worker, const lost_run& lost,
                                                 crash_persistence persistence);
    void record_crash(instant now, const worker_life& worker, const lost_run& lost);
    // Charges a crash to tasks whose start record names a life of a worker that is over.
    using recorded_start_filter = std::function<bool(const worker_life&, const flow_task_id&, run_number)>;
    void charge_noted(instant now, const recorded_start_filter& is_over);
    // What the previous owner told of workers that did not answer it, for as long as it is not known what became of
    // them.
    duration longest_age_of(const wire::flow_start_row& start);
    void inherit_silences(instant now, const wire::flow_cell_row& row);
    void tell_silences(instant now, wire::flow_cell_row& row);
    std::vector<wire::flow_lost_run_row> undecided_runs(const worker_silence& silence);
    void charge_inherited(instant now, const recorded_start_filter& is_over);
    std::optional<lost_run> inherited_run(const wire::flow_lost_run_row& run);
    void take_over_start(instant now, cell_worker& w, const flow_task_id& id, const flow_task& task, live_run& live);
    bool has_crashed_unread(const worker_id& worker, const flow_task_id& task, run_number run) const;
    void suspect_tasks_not_found(flow_job& job);
    void charge_crash_of(instant now, const cell_worker& w);
    void record_lapsed_worker(instant now, const cell_worker& w);
    // Removes the crashes charged for a worker that turned out to have been cut off.
    void retract_lapsed_crashes(const lapsed_worker& life);
    void charge_lapsed_worker(instant now, const flow_listed_worker& listing);
    void charge_lapsed_life(instant now, const cell_worker& w);
    void log_given_up(const flow_job& job) const;
    bool needs_dedicated_worker(instant now, const flow_step& step, const flow_task& task) const;
    static bool starts_without_checkpoint(const flow_job& job, const flow_stage& stage, const flow_task& task);
    static bool is_dedicated(instant now, const cell_worker& w);
    // Whether no run on the worker started so recently that it may still crash it.
    bool is_settled_on(instant now, const cell_worker& w);
    bool needs_frequent_polling(instant now, const cell_worker& w);
    bool has_unsettled_dedicated_run(instant now, const flow_job& job);
    cell_worker* find_dedicated(instant now, const flow_task_id& task);
    cell_worker* choose_to_dedicate(instant now, const flow_job& job, const flow_stage& stage,
                                    const flow_task_id& task);
    cell_worker* choose_dedicated(instant now, const flow_job& job, const flow_stage& stage, const flow_task_id& id);
    void advance_hold(instant now, cell_worker& w, duration wait);
    void begin_dedicated_run(instant now, cell_worker& w, const flow_task& task);

    // flow_cell_start_records.cpp
    // Whether it is certain that the task runs nowhere and may be started here.
    bool may_start(const flow_job& job, const flow_stage& stage, const flow_task& task) const;
    // Whether the cell's row may say that every run has a start record.
    bool are_all_starts_recorded(instant now) const;
    // Writes a start record; send_recorded_starts() sends the start once the record is written.
    void record_then_start(instant now, flow_job& job, const flow_task_id& task, live_run& live);
    void send_recorded_starts(instant now, flow_job& job);
    bool has_room_for_start(instant now, const flow_job& job, std::size_t chosen) const;
    void withdraw_unsent_starts(instant now, flow_job& job);
    // Drops runs whose start was recorded but not sent.
    void drop_unsent(instant now, const flow_task& task, const flow_task_id& id);

    // flow_cell_drain.cpp
    void drain_workers(instant now);
    static bool lapses_soon(instant now, const cell_worker& w);
    void seek_places_before_lapse(instant now);
    void seek_places_of_recorded_starts(instant now, flow_job& job);
    void seek_place_before_lapse(instant now, flow_job& job, const flow_task_id& task);
    void move_lasting_tasks_off(instant now, cell_worker& w);

    // flow_cell_runs.cpp
    // What is known of a run; each pointer is null if its object is unknown.
    struct run_lookup {
        cell_worker* worker = nullptr;
        flow_job* job = nullptr;
        flow_task* task = nullptr;
        live_run* live = nullptr;
    };
    run_lookup look_up_run(const worker_id& id, const flow_task_id& task, run_number run);
    void send_start(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void repeat_start(const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void on_start_not_sent(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void look_before_start(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void on_look_failed(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries,
                        const order_answer& answer);
    void stop_late_gang(instant now, flow_job& job, const flow_task_id& task, const live_run& live);
    // `sent_to`: the life of the worker that was known when the start was sent.
    void on_started(instant now, const worker_life& sent_to, const flow_task_id& task, run_number run, int tries,
                    const order_answer& answer);
    void send_stop(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void stop_gang(instant now, flow_job& job, flow_stage& stage, run_number run);
    void stop_again(const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void stop_job_runs(instant now, flow_job& job);
    void stop_task_runs(instant now, flow_task& task, const flow_task_id& id);
    void stop_run_once(instant now, live_run& live, const flow_task_id& id);
    // Whether the job is known to be cancelled or to have ended.
    bool is_over(const job_id& job) const;
    // Stop the runs of jobs that are over, as listed by workers while the job rows are being read.
    void stop_early_runs(instant now, const cell_worker& w);
    void stop_early_runs_of(instant now, const job_id& job);
    void drop_run(instant now, cell_worker& w, const flow_task_id& task, run_number run);
    void ledger_add(cell_worker& w, const flow_step& step, const flow_task_id& task, run_number run);
    void adjust_usage(cell_worker& w, const job_id& job, const ledger_run& run, int change);
    void ledger_remove(cell_worker& w, const flow_task_id& task, run_number run);
    void mitigate_straggler(instant now, cell_worker& w, flow_job& job, ledger_run& run, const reported_run& seen);
    void start_on(instant now, flow_job& job, flow_stage& stage, std::size_t index, cell_worker& w, run_number run);
    // The worker has accepted the run.
    void confirm_start(instant now, flow_job& job, live_run& live);
    // Handles a start that was not accepted, or must not be sent any more.
    void withdraw_start(instant now, cell_worker& w, flow_job& job, const flow_task_id& task, run_number run,
                        int tries);
    void requeue(instant now, flow_job& job, const flow_task_id& task);
    // Stops other runs of a task that is done, and ends the job or continues with its next steps.
    void after_done(instant now, flow_job& job, const flow_task_id& task);
    bool out_of_attempts(const flow_job& job, const flow_task& task) const;
    bool has_exhausted_task(const flow_job& job) const;
    void end_job(instant now, flow_job& job, flow_state outcome);
    // Adds the job to the demand of its service, if this is its home cell.
    void note_demand(instant now, const flow_job& job);
    std::unique_ptr<flow_job> read_job(const job_id& id, const std::vector<store_row>& rows) const;
    void process_job_rows(instant now, const job_id& id, const std::vector<store_row>& rows);
    void schedule_row_removal(instant now, const job_id& id, std::vector<store_key> keys);
    void read_rows(const job_id& job, std::function<void(instant, const std::vector<store_row>*)> done);
    void on_new_row(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version);
    void adopt_job(instant now, std::unique_ptr<flow_job> made);
    // Ends the job if its outcome is certain, in its home cell only.
    void end_if_decided(instant now, flow_job& job);
    void mark_job_dirty(instant now, flow_job& job, bool urgent);
    // Gives up ownership if the job's rows show a later epoch of this cell.
    bool step_down_if_superseded(instant now, const flow_job& job);
    void forget_job(instant now, job_id id);

    // flow_cell_placing.cpp
    void schedule_placement() { placement_scheduled_ = true; }
    void place_ready(instant now);
    void place_stages(instant now, flow_job& job);
    bool place_stage(instant now, flow_job& job, flow_stage& stage);
    void reserve_for_waiting(instant now, const flow_job& job, const flow_stage& stage, std::size_t index);
    bool open_stages(instant now, flow_job& job);
    // `near`: the rack where the rest of a gang is; invalid: none. `patience`: how long filling work waits for a worker
    // whose serving tasks tolerate it.
    cell_worker* choose_worker(instant now, const flow_job& job, const flow_stage& stage, const flow_task_id& id,
                               const rack_id& near = rack_id(),
                               duration patience = flow_limits::fill_interference_wait);
    duration patience_of(instant now, const flow_job& job, const flow_task& task) const;
    static bool is_schedulable(instant now, const cell_worker& w);
    static bool is_open_to(instant now, const cell_worker& w, const std::string& service, const flow_step& step);
    bool takes_starts_of(instant now, const cell_worker& w, const std::string& service, const flow_step& step) const;
    bool can_take(instant now, const cell_worker& w, const std::string& service, const flow_step& step,
                  const flow_task_id& task) const;
    bool is_spread_limit_reached(const cell_worker& w, const flow_step& step, const flow_task_id& task) const;
    placement_candidate option_of(instant now, const cell_worker& w) const;
    void index_ready(flow_job& job);
    void drop_ready(const job_id& job);
    // Recomputes the urgency of waiting jobs, which grows while they wait.
    void index_ready_again();
    void notify_other_cells(instant now, const committed_row& written, row_version version);
    void open_due_stages(instant now);

    // flow_cell_log.cpp
    struct task_wait {
        task_wait_reason reason = task_wait_reason::no_room;
        worker_id worker; // where the task may still run; invalid: nowhere
    };
    task_wait find_wait_reason(instant now, const flow_job& job, const flow_stage& stage, const flow_task& task) const;
    std::string describe_obstacles(instant now, const flow_job& job, const flow_task_id& task) const;
    void log_waiting_tasks(instant now);
    void log_summary(instant now) const;

    // flow_cell_moves.cpp
    void hand_off_waiting_tasks(instant now);
    int hand_off_stage_tasks(instant now, flow_job& job, flow_stage& stage, int max_tasks);
    void move_task_to_cell(instant now, flow_job& job, const flow_task_id& task,
                           const std::pair<cell_id, skylarkhub::epoch>& to);
    // Another cell with free room, or for a lasting task with a worker that can be reserved.
    std::optional<std::pair<cell_id, skylarkhub::epoch>> find_cell_for_task(instant now, const flow_job& job,
                                                                            const flow_stage& stage);
    std::optional<std::pair<cell_id, skylarkhub::epoch>> find_cell(instant now, const flow_job& job,
                                                                   const flow_stage& stage, room_kind kind);
    bool is_reservable(const cell_worker& w, const place_need& need) const;
    // Counts one promised reservation if it returns true.
    bool can_reserve_worker(const place_need& need);
    void reserve_worker(instant now, const place_need& need);
    cell_worker* reserve_place(instant now, const place_need& need);
    cell_worker* choose_to_reserve(instant now, const place_need& need, bool reserved_only);

    // flow_cell_places.cpp
    static place_need need_of(const flow_job& job, const flow_task_id& task);
    cell_worker* choose_place(instant now, const place_need& need);
    // Returns the worker that a place was promised on, if it can take the task now.
    cell_worker* redeem_promise(instant now, const flow_job& job, const flow_task_id& task);
    void drop_expired_promises(instant now);
    // Asks the next cell that may have a place for the task, unless a request is under way.
    void seek_place(instant now, flow_job& job, const flow_task_id& task, bool reserve);
    // Does so for the other tasks of the stage that seek a place.
    void seek_places_of_stage(instant now, flow_job& job, const flow_task_id& task);
    std::optional<cell_id> next_cell_to_ask(instant now, const flow_job& job, const flow_task_id& task,
                                            const place_search& search) const;
    void on_place_answer(instant now, const flow_task_id& task, const cell_id& cell, const place_answer& answer);
    // Whether another cell has held a place for the task that was sought lately.
    bool is_held_elsewhere(const flow_task_id& task) const;
    // Moves a waiting task to the cell, or stops the task's run on a draining worker so that it moves.
    void move_to_place(instant now, flow_job& job, const flow_task_id& task, const cell_id& cell,
                       const place_answer& answer);
    void forget_old_searches(instant now);

    // flow_cell_gangs.cpp
    bool can_join_gang(const flow_job& job, const flow_stage& stage) const;
    // Spreads a waiting gang over cells, or returns its members; true when the job's row has to be written.
    bool move_gang(instant now, flow_job& job, flow_stage& stage);
    bool spread_gang(instant now, flow_job& job, flow_stage& stage);
    bool give_back_gang(instant now, flow_job& job, flow_stage& stage);
    std::int32_t count_gang_capacity(const flow_job& job, const flow_stage& stage) const;
    std::int32_t count_placeable_members(instant now, flow_job& job, flow_stage& stage);
    void stop_incomplete_gangs(instant now, flow_job& job);

    // flow_cell_commit.cpp
    // Schedules a commit of the part's changes after `wait`.
    void commit_soon(instant now, const std::string& part, duration wait);
    std::vector<job_id> pick_rows_to_commit(instant now, const part_state& state) const;
    // Returns false if there was no row to send.
    bool send_rows(instant now, const std::string& part);
    committed_row row_of(flow_job& job) const;
    store_transaction entries_of(const flow_job& job, const committed_row& row) const;
    // Leaves a row that the table does not take out of the writes, so that it does not stop those of other jobs.
    void leave_unwritten(instant now, flow_job& job, const std::string& reason);
    // Finds out which of the rows makes the table refuse them all.
    void isolate_refused_rows(instant now, part_state& state, const std::vector<committed_row>& rows,
                              const std::string& reason);
    void send_removals(instant now, const std::string& part);
    // Removes jobs without unwritten changes from state.dirty.
    void drop_written_jobs(instant now, part_state& state);
    void commit_part(instant now, const std::string& part);
    void on_committed(instant now, const std::string& part, const std::vector<committed_row>& rows,
                      const store_result& result);
    void on_row_in_force(instant now, const committed_row& row, row_version version);
    // Does the same for a row that an unanswered write has left in the table.
    void find_unanswered_row(instant now, part_state& state, const store_row& found);
    void after_written(instant now, flow_job& job);
    // Confirms to the workers every end that has been written.
    void confirm_all(instant now);

    // flow_cell_pace.cpp
    void process_measurements(instant now, cell_worker& w, const order_answer& answer);
    // Updates the interference model with what a worker measured.
    void learn(cell_worker& w, const order_answer& answer);
    void set_paces(instant now, cell_worker& w);
    bool is_confirmed(const cell_worker& w, const flow_task_id& task, run_number run);
    void send_paces(instant now, cell_worker& w);
    // Moves filling work that is slowed almost to a stop to a worker where it can run.
    void evict_throttled_filling(instant now, cell_worker& w);
    int image_of(const flow_step& step);
    void adjust_image_usage(cell_worker& w, const job_id& job, const ledger_run& run, int change);
    void update_tolerance(serving_group& group, instant now) const;
    double pressure_on(const cell_worker& w, const serving_group& group) const;
    expected_interference filling_interference(const cell_worker& w, int filling, double share) const;
    // By how much the filling work there exceeds what a serving task of the image would tolerate.
    double compute_excess_pressure(const cell_worker& w, int serving) const;

    // flow_cell_news.cpp
    std::string serving_image(const cell_worker& w) const;
    void add_filling_capacity(const cell_worker& w, wire::flow_pool_row& pool) const;

    // A run that a worker lists, of a job that this owner does not know.
    struct stray_run {
        worker_id worker;
        flow_task_id task;
        run_number run;
        friend auto operator<=>(const stray_run&,
                                const stray_run&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    };
    // A row of a job as received from a peer or from the table.
    struct reported_job_row {
        job_row_name name;
        wire::flow_job_row row;
        row_version version;
    };
    // A read of the rows of an unknown job.
    struct job_reading {
        std::set<stray_run> strays;
        std::vector<reported_job_row> told; // received since the read began
    };
    struct ready_key {
        flow_urgency urgency;
        job_id job;
        friend auto operator<=>(const ready_key&,
                                const ready_key&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    };

    cell_id id_;
    entry_identity self_;
    const flow_edges& edges_;
    flow_cell_hooks hooks_;
    std::size_t row_bytes_most_;

    role role_ = role::watching;
    wire::flow_cell_row row_;
    bool row_known_ = false; // read at least once
    bool row_present_ = false;
    row_version row_version_;
    row_version row_read_version_;  // version of the table when the row was last read
    instant row_unchanged_since_{}; // since when the row is unchanged and nothing was heard of its owner
    instant row_seen_at_{}; // when the present version was first seen; the renewal that wrote it was sent before
    instant row_read_at_{};
    instant row_read_succeeded_at_{}; // when the row was last read successfully
    bool reading_row_ = false;
    bool take_outcome_unknown_ = false;  // the answer to the last take was lost
    bool row_request_in_flight_ = false; // a take, renewal or release, or the probe before a take, is under way
    skylarkhub::epoch epoch_;
    instant renewed_{};                             // when the last renewal that succeeded was sent
    std::vector<sent_renewal> unanswered_renewals_; // of this ownership, since the last one that succeeded
    instant taken_at_{};
    bool workers_listed_since_takeover_ = false;
    instant stop_planned_at_{};
    instant previous_owner_silent_from_{}; // when the previous owner has certainly stopped sending
    bool never_owned_before_ = false;      // no entry owned the cell before; false once this one is the owner
    bool stopping_ = false;
    instant next_renewal_{};
    std::uint64_t ownership_generation_ = 0; // number of this ownership; callbacks of earlier ones are dropped
    row_version takeover_scan_version_;      // every job that had not ended at this version was read at the takeover
    row_version job_watch_version_;          // version up to which the table of jobs is known
    instant job_watch_asked_at_{};           // when the read that showed this was requested
    instant next_handoff_pass_{};
    skylarkhub::start_permission permission_at_tick_ = skylarkhub::start_permission::not_known;
    instant next_summary_{};
    instant next_waits_log_{};
    instant next_drain_pass_{};
    int parts_to_read_ = 0;
    int next_part_to_read_ = 0; // the next part whose read has not begun
    // Job rows by part, for parts that are being read.
    std::map<std::string, std::map<job_id, std::vector<store_row>>> read_rows_;
    std::map<job_id, job_reading> job_reads_in_flight_;
    // Rows with the cancel or the end of a job that were received while the job rows are being read.
    std::map<job_id, reported_job_row> over_while_reading_;

    std::map<worker_id, cell_worker> workers_;
    std::map<job_id, std::unique_ptr<flow_job>> jobs_;
    std::set<ready_key> ready_; // jobs with ready tasks, the most urgent first
    std::map<job_id, ready_key> ready_keys_;
    // Jobs left by a previous owner, until all its workers have reported; may_start() says which tasks wait for that.
    std::set<job_id> unreconciled_jobs_;
    std::set<job_id> timed_jobs_;
    std::map<job_id, instant> recently_ended_jobs_; // kept while a late page of the table may still contain them
    crash_watch<flow_task_id> recent_crashes_;
    std::map<net_address, lapsed_worker> lapsed_workers_;
    // Of workers that had not answered the previous owner: what ran there.
    std::map<worker_id, wire::flow_silence_row> inherited_silences_;
    instant silences_from_{};               // since when the owners of the cell have told of silences
    bool inherited_worker_crashed_ = false; // before this owner had read what ran there
    bool isolated_task_waits_ = false;      // a task waits for a dedicated worker
    std::map<std::string, part_state> parts_;
    interference_model interference_;
    load_forecast loads_;                        // of serving jobs
    std::map<std::string, batch_demand> demand_; // by service, of the jobs bound to this cell
    instant refitted_at_{};
    bool placement_scheduled_ = false;
    std::uint64_t placing_pass_ = 0;
    int reserved_in_pass_ = 0;
    flow_promises promises_;
    std::map<flow_task_id, place_search> place_searches_;
    // Requests for places since the last hand-off pass, for waiting tasks, and since the last drain pass, for tasks
    // that run: the latter must not be kept from asking by the former.
    int places_asked_waiting_ = 0;
    int places_asked_running_ = 0;
    std::map<flow_task_id, std::map<cell_id, place_answers>> place_answers_; // by the first task of the stage
    int promised_reservations_ = 0; // in this hand-off or drain pass: tasks for which a worker here can be reserved
    wire::flow_cell_news cached_news_;
    instant cached_news_at_{};
    std::uint64_t cached_news_generation_ = 0; // ownership_generation_ + 1 when the news were built; 0: never built
    instant presses_sent_since_{};
    flow_cell_stats stats_;
};

} // namespace skylarkhub
