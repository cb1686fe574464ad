// One cell: the workers of some racks of a data centre, or of all, with the flows bound to them. Its owner decides
// where tasks run, holds the workers' leases, and makes ends durable before it confirms them. An entry that does not
// own the cell watches its row and takes it over when the owner is gone.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "flow_demand_p.h"
#include "flow_edges_p.h"
#include "flow_interference_p.h"
#include "flow_job_p.h"
#include "flow_limits_p.h"
#include "flow_load_p.h"
#include "flow_metrics_p.h"
#include "flow_pending_p.h"
#include "flow_place_p.h"
#include "flow_urgency_p.h"
#include "place_crash_p.h"

namespace skylarkhub {

// The entry that speaks: its name, this life of it, and where its peers reach it.
struct entry_identity {
    entry_id entry;
    incarnation_id incarnation;
    net_address address;
    data_centre_id data_centre;
    double cores = 1; // of its processor, that it may use
};

// How many tasks of some step a cell has room for.
struct flow_cell_room {
    cell_id cell;
    skylarkhub::epoch epoch;
    std::int32_t tasks = 0;
};

// free: a worker has it now. reservable: a worker has it once the tasks there that do not last have ended.
enum class room_kind : std::uint8_t { free, reservable };

// What a cell asks of the entry around it.
struct flow_cell_hooks {
    std::function<const flow_queue*(const queue_id&)> queue; // null: not in the configuration
    // Another cell with such room for one more task of such a step, with its epoch; empty when none is known.
    std::function<std::optional<std::pair<cell_id, epoch>>(instant, const cell_id& from, const std::string& service,
                                                           const flow_step&, room_kind)>
        find_cell_with_room;
    // The other cells with room for tasks of such a step, the one with most first.
    std::function<std::vector<flow_cell_room>(instant, const cell_id& from, const std::string& service,
                                              const flow_step&)>
        list_cells_with_room;
    // The share of the processors of a service, in all cells heard of, that tasks take which do not fill.
    std::function<double(instant, const std::string& service)> non_filling_cpu_share;
    // A row that the owner of another cell must know.
    std::function<void(instant, const job_row_name&, const wire::flow_job_row&, row_version)> notify_cell_owner;
    // What is known of the jobs that wait in a cell whose rows are not read yet.
    std::function<std::optional<pending_count>(const cell_id&)> reported_pending_count;
    // The table has answered nobody that this entry hears from since `since`, and it hears from most entries.
    std::function<bool(instant now, instant since)> table_outage;
    // A state that is durable, for the entry that answers the caller.
    std::function<void(instant, const wire::flow_job_row&, const job_id&, flow_state)> publish_job_state;
};

// Why a task that is ready is not placed.
enum class task_wait_reason : std::uint8_t {
    not_received,  // this cell's row does not tell yet that it came here
    may_still_run, // under an owner before, on a worker that has not told what it runs
    owner_silent,  // the owner has not renewed for long and sends nothing
    workers_not_listed,
    no_worker, // none of its service and label takes starts
    no_room,
};

// How this entry stands to the cell's owner and to other candidates.
struct cell_candidacy {
    bool owner_live = false;      // the owner's incarnation answers its peers
    bool owner_leaving = false;   // and says that it is stopping
    bool owner_restarted = false; // another life of the owner's entry is known
    bool same_data_centre = false;
    int rank = 0; // among live candidates of the same kind, 0 first
    bool leaving = false;
};

class flow_cell {
public:
    enum class role : std::uint8_t { watching, taking, reading, owning, released };

    flow_cell(cell_id id, entry_identity self, const flow_edges& edges, flow_cell_hooks hooks);
    flow_cell(const flow_cell&) = delete;
    flow_cell& operator=(const flow_cell&) = delete;

    const cell_id& id() const { return id_; }
    role current_role() const { return role_; }
    // Owned, or a take of it is under way.
    bool owns_or_is_taking_over() const { return owns() || role_ == role::taking; }
    bool owns() const { return role_ == role::owning || role_ == role::reading; }
    // Of jobs. While the rows are read none can be told from one of a job that has ended before they were.
    bool accepts_job_news() const { return role_ == role::owning; }
    skylarkhub::epoch epoch() const { return epoch_; }
    const wire::flow_cell_row& row() const { return row_; }
    const flow_cell_stats& stats() const { return stats_; }
    std::size_t job_count() const { return jobs_.size(); }
    std::size_t waiting_count() const { return ready_.size(); } // jobs with tasks that wait for a worker

    // --- events ---
    void on_workers_listed(instant now, const std::vector<flow_listed_worker>& workers);
    // The cell's row as read now; empty when absent.
    void on_row_read(instant now, const store_row* row);
    // Some time has passed: renewals, takeovers, lapsed leases. Called every tick_interval.
    void tick(instant now, const cell_candidacy& candidacy);
    // A row of a job that may concern this cell, as it is in the table.
    void on_job_row(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version);
    // The version up to which the table of jobs is known here; empty while it is read as a whole, or not owned.
    std::optional<row_version> job_watch_version() const;
    // Every row of the table of jobs that changed after the one version and up to the other was given to on_job_row().
    // A cell that was taken while the look was under way may know less than `after`: it is looked for again from there.
    // `asked`: when, of a look that showed all there was.
    void on_job_watch_advanced(row_version after, row_version up_to, std::optional<instant> asked);
    // All news that there were when they were asked for were given to on_job_row(), from reads that show no version.
    void on_news_read(instant asked);
    // The table has discarded changes that were not seen here.
    void on_job_history_compacted(instant now);
    // Carries out what the events since the last call have made due. Called after every event.
    void run_deferred_work(instant now);
    // A planned stop: nothing more is started, what is known is written, the row is released.
    void plan_stop(instant now);
    bool stopped() const { return (role_ == role::released && !acting_) || role_ == role::watching; }

    // What peers are told; only of an owner.
    wire::flow_cell_news news(instant now) const;
    // The same for a hello: made anew every news_cache_ttl only, with presses in some of them.
    const wire::flow_cell_news& cached_news(instant now);
    // What the owner of another cell has learned of images.
    void hint_presses(const std::map<std::string, double>& presses);
    // The jobs that wait here. Empty while the rows are read, and when this owner may have been followed without
    // knowing.
    std::optional<timestamped_count> count_pending(instant now) const;
    // Bound to this cell and not ended; null when unknown.
    const flow_job* find_job(const job_id& job) const;

private:
    struct unconfirmed_end {
        end_number number;
        job_id job;
        std::uint64_t changes = 0; // of the job, that tell this end
    };
    // The serving tasks of one job's step on a worker: they share an image and a load.
    struct serving_group {
        job_id job;
        int image = 0;
        std::int32_t tasks = 0;
        double tolerated_pressure =
            0; // pressure of filling work that leaves their tails below target, at their load now
        double mean_tolerated_pressure = 0; // the same over the next seconds: for work that stays
    };
    // What a worker told before the rows of the cell's jobs had been read.
    struct buffered_inventory {
        instant sent{};
        order_answer answer;
    };
    struct cell_worker {
        flow_listed_worker listing;
        bool listed = false;
        bool incarnation_ended = false;          // another life answers at its address, whatever the list says
        bool named = false;                      // in the cell's row as it stands in the table
        bool fenced = false;                     // accepted this epoch and told what runs
        bool inherited = false;                  // the owner before may have started tasks there
        std::optional<buffered_inventory> early; // while the rows are read: it has accepted this epoch
        bool has_accepted_epoch() const { return fenced || early; }
        bool lapsed = false;           // not asked yet, and every lease that owners before gave has certainly ended
        bool published_silent = false; // the cell's row may say so: no lease is given to it
        std::optional<worker_time> reading;
        instant clock_read_at{};
        instant lapsed_after{};      // by then every lease given by this cell's owners has certainly ended
        bool hold_in_flight = false; // a hold is under way
        bool hold_planned = false;
        instant last_answer{};
        std::int32_t silent = 0;    // holds without an answer in a row
        instant unanswered_since{}; // when the first of these was due; instant{}: none is
        end_number seen;
        end_number confirmed;
        std::vector<unconfirmed_end> unconfirmed;
        std::vector<reported_end> unknown_job_ends; // of jobs that are not known; their rows are being read
        absl::btree_map<flow_task_id, ledger_run> ledger;
        std::int32_t untracked_runs = 0; // runs it lists that the ledger does not have
        resources held;
        std::int64_t filling_cpu = 0;
        std::int32_t serving = 0;
        std::int32_t filling_task_count = 0;
        instant no_starts_until{};
        double distrust = 0;
        instant distrust_at{};
        // Interference.
        std::vector<serving_group> serving_groups; // one for each job that serves there
        std::vector<double> shares;                // of its processors by filling image, smoothed
        std::vector<double> wanted;                // the same at full pace, as the ledger has it
        std::vector<int> paces;                    // percent, by filling image
        instant measured_at{};
        instant tightened_at{};
        instant over_target_since{}; // a serving task has been over its target since; instant{}: none is
        double tolerance_margin = 1; // of what serving tasks are believed to bear; less after a strain
        double tail = 0;             // the worst there at the newest look, as a share of its target
        instant next_evict{};
        std::int64_t lasting_cpu = 0; // committed to lasting tasks, which use less than half of it on the whole
        std::int64_t lasting_memory = 0;
        instant reserved_until{};      // for a lasting task that waits: nothing else is started there
        std::uint64_t reserved_in = 0; // the pass over waiting tasks in which it was reserved last
        bool is_reserved(instant now) const { return now < reserved_until; }
        std::optional<flow_task_id> dedicated_to; // a task that may crash it: nothing else is started there
        instant dedicated_until{};
        std::map<flow_task_id, std::int32_t> paced;
    };

    // The rows of one part that this owner writes.
    struct part_state {
        std::optional<row_version> fence; // of this owner's; empty: not written yet, or being written anew
        row_version fence_in_doubt;       // that a write which may still come into force was checked against
        bool read = false;                // since the takeover
        bool planned = false;
        instant due{};
        instant held_until{};                               // no try before, after one that failed
        std::map<job_id, instant> dirty;                    // and since when
        std::map<job_id, std::vector<store_key>> removable; // rows of jobs that have ended
        instant removals_due{};
        bool in_flight = false; // a write is under way
        duration backoff{0};

        bool is_settled() const { return dirty.empty() && !in_flight; }
        bool is_due(instant now) const
        {
            const bool rows = planned && !dirty.empty() && due <= now;
            const bool removals = !removable.empty() && removals_due <= now;
            return (rows || removals) && held_until <= now && !in_flight && fence;
        }
    };

    // A job's row as it was sent to the table.
    struct committed_row {
        job_id job;
        std::uint64_t changes = 0; // of the job, that it tells
        wire::flow_job_row row;
        std::vector<cell_id> told; // the cells that the same write has news for

        // The owner of the job's cell knows what was asked; another one may not know the job yet.
        wire::flow_job_row news_for(const cell_id& cell) const
        {
            return cell.str() == row.cell ? without_spec(row) : row;
        }
    };

    // flow_cell_ownership.cpp
    void consider_takeover(instant now, const cell_candidacy& candidacy);
    void probe_then_take();
    void take(instant now);
    void on_taken(instant now, const wire::flow_cell_row& wanted, const store_result& result);
    void fence_part(const std::string& part, row_version known);
    void on_fenced(instant now, const std::string& part, const store_result& result);
    void use_fence(instant now, const std::string& part, row_version version);
    void fence_anew(const std::string& part);
    void read_all_jobs(instant now);
    void begin_part();
    void read_part(const std::string& part, const char* table, const std::string& from);
    void on_part_read(instant now, const std::string& part, const char* table, const store_page& page);
    void end_part(instant now, const std::string& part);
    void take_part(instant now, const std::string& part);
    void become_owner(instant now);
    void write_row(const wire::flow_cell_row& wanted, std::function<void(instant, const store_result&)> done);
    void renew(instant now);
    std::vector<wire::flow_worker_name> tell_workers(instant now, bool releasing);
    wire::flow_pending_row pending_row(instant now) const;
    void note_named(const wire::flow_cell_row& row);
    void know_named(const wire::flow_cell_row& row);
    void bound_inherited(const wire::flow_cell_row& row);
    void lose_ownership(instant now, const std::string& reason);
    void release(instant now);
    bool is_settled() const;
    void write_release(const wire::flow_cell_row& wanted);
    void on_released(instant now, const wire::flow_cell_row& wanted, const store_result& result);
    bool may_send_orders(instant now) const;
    bool may_renew_leases(instant now) const;
    bool may_expire_leases(instant now) const;
    bool is_unfollowed(instant now, duration hold) const;
    void read_row(instant now);

    // flow_cell_workers.cpp
    void schedule_hold(instant now, const worker_id& id, duration wait);
    void send_hold(instant now, const worker_id& id);
    void on_hold_result(instant now, const worker_id& id, instant sent, duration wait, const order_answer& answer);
    void process_buffered_inventories(instant now);
    void process_inventory(instant now, cell_worker& w, instant sent, const order_answer& answer);
    void process_end(instant now, cell_worker& w, const reported_end& end);
    void leave_ends(const job_id& job, const std::vector<reported_end>& ends);
    void persist_listed_ends(const order_answer& answer);
    void leave_unwritten_ends();
    void read_unknown_job(const job_id& job);
    void ask_unknown_job(const job_id& job);
    void process_unknown_ends(instant now, const job_id& job);
    void process_running(instant now, cell_worker& w, const reported_run& run);
    void process_stray_run(instant now, const cell_worker& w, const reported_run& run);
    void adopt_stray_runs(instant now, flow_job& job);
    void notify_job_ended(instant now, const job_id& job, const wire::flow_job_row& index,
                          const std::vector<store_row>& rows);
    void on_unknown_index(const job_id& job, const store_page& page);
    void on_unknown_job(instant now, const job_id& job, const std::vector<store_row>& rows);
    void adopt_run(instant now, cell_worker& w, flow_job& job, const reported_run& run);
    void drop_vanished_runs(instant now, cell_worker& w, instant sent, const order_answer& answer);
    void confirm_ends(cell_worker& w);
    enum class worker_loss_cause : std::uint8_t { crashed, lapsed };
    void on_incarnation_ended(instant now, cell_worker& w);
    void note_lapsed(instant now, cell_worker& w);
    void declare_lost_if_lapsed(instant now, cell_worker& w);
    void on_worker_lost(instant now, cell_worker& w, worker_loss_cause how);
    void log_lost_run(instant now, const cell_worker& w, const flow_task_id& task, run_number run) const;
    bool handle_fatal_result(instant now, cell_worker& w, order_result result);
    // Nothing is left to do there: it is not in use, and nothing is known to run.
    static bool is_idle_and_unlisted(const cell_worker& w);
    void check_lapsed(instant now);
    std::optional<worker_time> lease_end(const cell_worker& w, instant now) const;
    void note_lease(cell_worker& w, instant now) const;
    static void note_epoch_accepted(cell_worker& w, instant now);
    worker_place place_of(const cell_worker& w) const { return {w.listing.worker, w.listing.address}; }
    bool all_workers_reconciled(instant now) const;
    void finish_reconciliation(instant now);
    void distrust(instant now, cell_worker& w, double amount);

    // flow_cell_crashes.cpp
    struct lost_run {
        flow_task_id task;
        run_number run;
        run_in_crash in_crash;
    };
    // What was lost on a worker whose leases have ended, and which may have crashed.
    struct lapsed_worker {
        worker_id worker;
        std::vector<lost_run> runs;
        instant at{};
    };
    void note_silence(instant now, const cell_worker& w);
    std::int64_t count_charged(const cell_worker& w) const;
    std::vector<lost_run> list_lost_runs(const cell_worker& w);
    void charge_runs(instant now, const worker_id& worker, const std::vector<lost_run>& lost);
    std::optional<wire::crash_row> add_crash_row(instant now, const worker_id& worker, const lost_run& lost);
    void record_crash(instant now, const worker_id& worker, const lost_run& lost);
    void charge_noted(instant now, const std::function<bool(const worker_id&)>& is_over);
    void charge_crash_of(instant now, const cell_worker& w);
    void record_lapsed_worker(instant now, const cell_worker& w);
    void retract_lapsed_crashes(const lapsed_worker& life);
    void charge_lapsed_worker(instant now, const flow_listed_worker& listing);
    void log_given_up(const flow_job& job) const;
    bool needs_dedicated_worker(instant now, const flow_step& step, const flow_task& task) const;
    static bool starts_without_checkpoint(const flow_job& job, const flow_stage& stage, const flow_task& task);
    static bool is_dedicated(instant now, const cell_worker& w);
    bool is_settled_on(instant now, const cell_worker& w);
    bool needs_frequent_polling(instant now, const cell_worker& w);
    bool has_unsettled_dedicated_run(instant now, const flow_job& job);
    cell_worker* find_dedicated(instant now, const flow_task_id& task);
    cell_worker* choose_to_dedicate(instant now, const flow_job& job, const flow_stage& stage);
    cell_worker* choose_dedicated(instant now, const flow_job& job, const flow_stage& stage, const flow_task_id& id);
    static void begin_dedicated_run(instant now, cell_worker& w, const flow_task& task);

    // flow_cell_start_records.cpp
    bool may_start(const flow_job& job, const flow_stage& stage, const flow_task& task) const;
    bool starts_are_noted(instant now) const;
    void record_then_start(instant now, flow_job& job, const flow_task_id& task, live_run& live);
    void send_noted(instant now, flow_job& job);
    void drop_unsent(instant now, const flow_task& task, const flow_task_id& id);

    // flow_cell_drain.cpp
    void vacate_draining(instant now);
    void vacate(instant now, cell_worker& w);

    // flow_cell_runs.cpp
    // What is known of a run; null where it is not known (any more).
    struct run_lookup {
        cell_worker* worker = nullptr;
        flow_job* job = nullptr;
        flow_task* task = nullptr;
        live_run* live = nullptr;
    };
    run_lookup look_up_run(const worker_id& id, const flow_task_id& task, run_number run);
    void send_start(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void on_started(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries,
                    const order_answer& answer);
    void send_stop(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void stop_gang(instant now, flow_job& job, flow_stage& stage, run_number run);
    void stop_again(const worker_id& id, const flow_task_id& task, run_number run, int tries);
    void stop_job_runs(instant now, flow_job& job);
    void stop_task_runs(instant now, flow_task& task, const flow_task_id& id);
    void stop_run_once(instant now, live_run& live, const flow_task_id& id);
    void drop_run(instant now, cell_worker& w, const flow_task_id& task, run_number run);
    void ledger_add(cell_worker& w, const flow_step& step, const flow_task_id& task, run_number run);
    void adjust_usage(cell_worker& w, const job_id& job, const ledger_run& run, int change);
    void ledger_remove(cell_worker& w, const flow_task_id& task, run_number run);
    void mitigate_straggler(instant now, cell_worker& w, flow_job& job, ledger_run& run, const reported_run& seen);
    void start_on(instant now, flow_job& job, flow_stage& stage, std::size_t index, cell_worker& w, run_number run);
    void confirm_start(instant now, flow_job& job, live_run& live);
    void withdraw_start(instant now, cell_worker& w, flow_job& job, const flow_task_id& task, run_number run,
                        int tries);
    void requeue(instant now, flow_job& job, const flow_task_id& task);
    void after_done(instant now, flow_job& job, const flow_task_id& task);
    bool out_of_attempts(const flow_job& job, const flow_task& task) const;
    bool has_exhausted_task(const flow_job& job) const;
    void end_job(instant now, flow_job& job, flow_state outcome);
    void note_demand(instant now, const flow_job& job);
    std::unique_ptr<flow_job> read_job(const job_id& id, const std::vector<store_row>& rows) const;
    void process_job_rows(instant now, const job_id& id, const std::vector<store_row>& rows);
    void schedule_row_removal(instant now, const job_id& id, std::vector<store_key> keys);
    void read_rows(const job_id& job, std::function<void(instant, const std::vector<store_row>*)> done);
    void on_new_row(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version);
    void adopt_job(instant now, std::unique_ptr<flow_job> made);
    void end_if_decided(instant now, flow_job& job);
    void mark_job_dirty(instant now, flow_job& job, bool urgent);
    bool step_down_if_superseded(instant now, const flow_job& job);
    void forget_job(instant now, job_id id);

    // flow_cell_placing.cpp
    void schedule_placement() { placement_scheduled_ = true; }
    void place_ready(instant now);
    bool place_stage(instant now, flow_job& job, flow_stage& stage);
    // `near`: the rack where the rest of a gang is; invalid: none. `patience`: how long filling work waits for a place
    // that bears it.
    cell_worker* choose_worker(instant now, const flow_job& job, const flow_stage& stage, const flow_task& task,
                               const rack_id& near = rack_id(),
                               duration patience = flow_limits::fill_interference_wait);
    duration patience_of(instant now, const flow_job& job, const flow_task& task) const;
    static bool is_schedulable(instant now, const cell_worker& w);
    placement_candidate option_of(instant now, const cell_worker& w) const;
    void index_ready(flow_job& job);
    void drop_ready(const job_id& job);
    void index_ready_again();
    void notify_other_cells(instant now, const committed_row& written, row_version version);
    void open_due_stages(instant now);

    // flow_cell_log.cpp
    struct task_wait {
        task_wait_reason reason = task_wait_reason::no_room;
        worker_id worker; // where it may still run; invalid: nowhere
    };
    task_wait why_waits(instant now, const flow_job& job, const flow_stage& stage, const flow_task& task) const;
    void log_waits(instant now);
    void log_summary(instant now) const;

    // flow_cell_moves.cpp
    void give_away_waiting(instant now);
    int give_away_tasks(instant now, flow_job& job, flow_stage& stage, int most);
    void move_task_to_cell(instant now, flow_job& job, const flow_task_id& task,
                           const std::pair<cell_id, skylarkhub::epoch>& to);
    std::optional<std::pair<cell_id, skylarkhub::epoch>> find_place_elsewhere(instant now, const flow_job& job,
                                                                              const flow_stage& stage);
    static bool is_reservable(const cell_worker& w, const flow_job& job, const flow_stage& stage);
    static std::int32_t count_stage_runs(const cell_worker& w, const flow_job& job, const flow_stage& stage);
    bool can_make_room(const flow_job& job, const flow_stage& stage);
    void reserve_worker(instant now, const flow_job& job, const flow_stage& stage);

    // flow_cell_gangs.cpp
    bool can_join_gang(const flow_job& job, const flow_stage& stage) const;
    bool move_gang(instant now, flow_job& job, flow_stage& stage);
    bool spread_gang(instant now, flow_job& job, flow_stage& stage);
    bool give_back_gang(instant now, flow_job& job, flow_stage& stage);
    std::int32_t count_ever(const flow_job& job, const flow_stage& stage) const;
    std::int32_t count_fitting(instant now, flow_job& job, flow_stage& stage);
    void stop_incomplete_gangs(instant now, flow_job& job);

    // flow_cell_commit.cpp
    void commit_soon(instant now, const std::string& part, duration wait);
    static std::vector<job_id> pick_group(const part_state& state);
    void send_rows(const std::string& part, const std::vector<job_id>& ids);
    committed_row row_of(const flow_job& job) const;
    void add_row(store_transaction& t, const flow_job& job, const committed_row& row) const;
    void send_removals(instant now, const std::string& part);
    void drop_clean(instant now, part_state& state);
    void commit_part(instant now, const std::string& part);
    void on_committed(instant now, const std::string& part, const std::vector<committed_row>& rows,
                      const store_result& result);
    void after_written(instant now, flow_job& job);
    void confirm_all(instant now);

    // flow_cell_pace.cpp
    void process_measurements(instant now, cell_worker& w, const order_answer& answer);
    void learn(cell_worker& w, const order_answer& answer);
    void set_paces(instant now, cell_worker& w);
    void send_paces(instant now, cell_worker& w);
    void evict_throttled_filling(instant now, cell_worker& w);
    int image_of(const flow_step& step);
    void adjust_image_usage(cell_worker& w, const job_id& job, const ledger_run& run, int change);
    void update_tolerance(serving_group& group, instant now) const;
    double pressure_on(const cell_worker& w, const serving_group& group) const;
    expected_interference filling_interference(const cell_worker& w, int filling, double share) const;
    std::string serving_image(const cell_worker& w) const;
    void add_filling_capacity(const cell_worker& w, wire::flow_pool_row& pool) const;
    double compute_excess_pressure(const cell_worker& w, int serving) const;

    // A run that a worker lists, of a job that is not known here.
    struct stray_run {
        worker_id worker;
        flow_task_id task;
        run_number run;
        friend auto operator<=>(const stray_run&,
                                const stray_run&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
    };
    // What somebody has told of a job.
    struct reported_job_row {
        job_row_name name;
        wire::flow_job_row row;
        row_version version;
    };
    // A job that is not known here and whose rows are being read.
    struct job_reading {
        std::set<stray_run> strays;
        std::vector<reported_job_row> told; // since the read began
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

    role role_ = role::watching;
    wire::flow_cell_row row_;
    bool row_known_ = false; // read at least once
    bool row_present_ = false;
    row_version row_version_;
    row_version row_read_version_;  // of the table, when the row was last read
    instant row_unchanged_since_{}; // or its owner was heard of
    instant row_seen_at_{};         // first, as it is now: the renewal that wrote it was sent before
    instant row_read_at_{};
    instant row_answered_at_{}; // when it was last read with success
    bool reading_row_ = false;
    bool take_in_doubt_ = false; // the answer to the newest take was lost
    bool acting_ = false;        // a take, renewal or release is under way
    skylarkhub::epoch epoch_;
    instant renewed_{}; // when the last renewal that succeeded was sent
    instant taken_at_{};
    bool workers_listed_since_takeover_ = false;
    instant stop_planned_at_{};
    instant old_owner_silent_{}; // from then on the owner before certainly sends nothing
    bool fresh_ = false;         // nobody owned it before
    bool stopping_ = false;
    instant next_renewal_{};
    std::uint64_t ownership_generation_ = 0; // of an ownership; callbacks of an earlier one are dropped
    row_version takeover_scan_version_;      // every job that went on at this version was read at the takeover
    row_version watched_;                    // the jobs table is known up to here
    instant watched_at_{};                   // when what showed that was asked for
    instant next_give_away_{};
    instant next_summary_{};
    instant next_waits_log_{};
    instant next_vacating_{};
    int parts_left_ = 0;
    int next_part_ = 0;                                                         // whose reading has not begun
    std::map<std::string, std::map<job_id, std::vector<store_row>>> read_rows_; // by part, of parts that are being read
    std::map<job_id, job_reading> job_reads_in_flight_;

    std::map<worker_id, cell_worker> workers_;
    std::map<job_id, std::unique_ptr<flow_job>> jobs_;
    std::set<ready_key> ready_; // jobs with tasks that wait for a worker, the most urgent first
    std::map<job_id, ready_key> ready_keys_;
    std::set<job_id>
        unreconciled_jobs_; // known since the takeover; may_start() tells for which tasks that means a wait
    std::set<job_id> timed_jobs_;
    std::map<job_id, instant> recently_ended_jobs_; // ended jobs, until no late page can tell of them any more
    crash_watch<flow_task_id> recent_crashes_;
    std::map<net_address, lapsed_worker> lapsed_workers_;
    bool isolated_task_waits_ = false; // a task waits for a worker to itself
    std::map<std::string, part_state> parts_;
    interference_model interference_;
    load_forecast loads_;                        // of jobs that serve
    std::map<std::string, batch_demand> demand_; // by service, of the jobs bound here
    instant refitted_at_{};
    bool placement_scheduled_ = false;
    std::uint64_t placing_pass_ = 0;
    int reserved_in_pass_ = 0;
    int kept_in_round_ = 0; // of giving away: tasks that wait for a worker to be kept free
    wire::flow_cell_news cached_news_;
    instant cached_news_at_{};
    std::uint64_t cached_news_generation_ = 0; // one more than the ownership it was made in; 0: none was
    instant presses_sent_since_{};
    flow_cell_stats stats_;
};

} // namespace skylarkhub
