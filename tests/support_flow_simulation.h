// Simulates a site in virtual time: entries that run the product's own flow_entry, a simulated table and simulated
// workers. Delivers messages with latencies and injected faults, and records violations of the scheduler's invariants
// as the workers see them (for example a task that runs twice at the same time).
//
// Terms: an entry accepts jobs and may own cells; a cell is a group of workers that one entry at a time schedules. An
// order is a command from an owner to a worker. A hold is the order that renews a worker's lease and returns its runs
// and unconfirmed ends. A gang is a step whose tasks run at the same time. A lasting task has no end of its own; a
// filling task is deferrable work. A life is one process of a worker or entry, from its start to its exit. News rows
// are the rows that announce jobs to the owners of cells. The room of a worker is its capacity.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base_random_p.h"
#include "flow_entry_p.h"
#include "support_flow_connections.h"
#include "support_links.h"

namespace skylarkhub::test {

// State of one simulated worker, independent of what the entries know about it.
struct flow_fake_worker {
    worker_id id;
    std::uint64_t life = 1;  // number of its process
    worker_birth born;       // of this life; 0: the site does not tell births
    duration wall_offset{0}; // of the clock from which the next birth is taken
    net_address address;
    data_centre_id data_centre;
    resources room{16000, 64000, 0};
    std::optional<resources> listed_room; // capacity in the worker list, once it differs from `room`
    // Earlier capacities that starts may still use, each with the time until which they may.
    std::vector<std::pair<instant, resources>> earlier_rooms;
    std::vector<std::string> labels{"a", "rack-1"};
    bool up = true;
    bool listed = true;
    bool draining = false;
    bool reachable = true;          // orders reach the worker and its answers reach the entries
    bool listing_malformed = false; // the worker list has an unreadable item for this worker
    double slowness = 1;            // factor on the run time of tasks started from now on
    duration clock_offset{0};
    epoch fence;
    instant lease_until{};
    std::map<flow_task_id, run_number> highest; // last stopped or ended run; starts up to it are refused
    struct run {
        run_number number;
        std::string payload;
        instant begun{};
        instant ends{};
        duration takes{0}; // run time, counted from when the run begins to work
        bool fails = false;
        resources need;
        bool filling = false;
        std::int32_t percent = 100;
        bool late = false;                    // the start order was executed long after it was sent
        instant waits_until = instant::max(); // limit of the wait for the gang; max: not waiting
        instant stops{instant::max()};        // end of a stop that takes time; max: no stop
    };
    std::map<flow_task_id, run> running;
    std::vector<reported_end> ends;
    // Numbers in `ends` that were lost with the lease or the worker: their tasks may run again.
    std::set<end_number> forgotten;
    std::set<end_number> told; // numbers in `ends` that an answer to an entry has listed
    std::int64_t last_end = 0;
    std::int64_t starts = 0;
};

class flow_simulation {
public:
    struct options {
        std::uint64_t seed = 1;
        bool verbose = false; // prints the log lines of the entries
        std::vector<std::string> data_centres{"a"};
        int entries_per_data_centre = 2;
        int workers_per_data_centre = 3;
        int rack_size = 0;         // workers per rack; 0: one rack per data centre
        std::vector<double> cores; // per entry of a data centre, repeated; empty: 1 each
        std::int64_t worker_cpu_millis = 16000;
        caller_bounds bounds;
        std::size_t table_row_bytes = 65'536; // the table refuses transactions with a larger row
        duration table_latency = std::chrono::milliseconds(8);
        duration network_latency = std::chrono::milliseconds(2);
        // The most ends that a worker lists in one answer; 0: all.
        std::size_t ends_per_answer = 0;
        // Bandwidth of each entry's link for messages between entries and for configurations; 0: unlimited.
        double link_bytes_per_s = 0;
        duration job_page_transfer_time{0}; // of one page of jobs that has the entry's link to itself
        // Most rows in one answer to a watch: the oldest changes. Rows of one transaction stay in one answer.
        std::size_t watch_page_rows = 500;
        duration news_row_transfer_time{0}; // of one news row over an entry's link, in answers to watches and reads
        duration list_latency = std::chrono::milliseconds(100);         // for reading the worker list
        std::map<int, duration> list_latency_by_entry;                  // for entries, by number, with another latency
        std::function<bool(const flow_task_id&, run_number)> run_fails; // empty: no run fails
        std::function<duration(const flow_task_id&)> run_time;          // empty: 300 ms
        std::function<std::int64_t(const flow_task_id&)> measure;       // as in reported_run; empty: 0
        // The members of a gang begin to work together, on all workers, and end with the first member that ends.
        bool gang_start_barrier = false;
        // Entries are told of each worker's free processors only, as by entries of an earlier release.
        bool rooms_tell_processors_only = false;
        // A member may time out waiting for its gang; set by tests that inject faults during the wait.
        bool gang_timeouts_allowed = false;
        duration stop_time{0}; // from a stop order to the end of the run
        // Delay from a task's start until it crashes its worker, which then reports no end; empty: no crash.
        std::function<std::optional<duration>(const flow_task_id&, const start_run&)> worker_crash_delay;
        duration crash_restart_delay = std::chrono::seconds(1); // from a crash by a task to the next life
        // A restarted worker keeps its id, tells its birth, and stays in the list; otherwise its next life has a new
        // id.
        bool workers_keep_their_id = false;
        // Starts may use the earlier capacity for this long after it shrank: the list has to show the change, and
        // the owner has to read the list.
        duration shrunk_room_grace = std::chrono::milliseconds(4500);
        // Connections to a crashed worker fail at once; otherwise orders to it time out.
        bool crash_refuses_connections = false;
        // Holds that wait at a worker when it crashes time out; otherwise they fail at once.
        bool crash_is_silent = false;
        // Restarting a task after a worker's answer has listed its end is a violation, even if the end was never
        // confirmed. `sent_ends_are_known` applies from when the answer is sent, `handled_ends_are_known` from when the
        // entry handles it. Only for tests with slow owners: where answers are lost or entries killed, such a restart
        // is allowed.
        bool sent_ends_are_known = false;
        bool handled_ends_are_known = false;
        // Added to the latency of answers to holds, so that other answers overtake them.
        duration hold_answer_delay{0};
        // Holds wait for the end of a run as long as the order allows; otherwise 50 ms at most, to simulate faster.
        bool holds_wait = false;
    };
    explicit flow_simulation(options o);
    ~flow_simulation();

    instant now() const { return now_; }
    void run_for(duration d);
    // Runs until `done` returns true, for at most `most`. Returns whether `done` became true.
    bool run_until(const std::function<bool()>& done, duration most);

    // --- requests of callers, sent to entry number `entry` ---
    caller_result submit(int entry, const std::string& job, const flow_spec& spec, const std::string& queue = "q");
    caller_result cancel(int entry, const std::string& job);
    // Cancels a job without waiting for the answer.
    void send_cancel(int entry, const std::string& job);
    std::optional<flow_state> state(int entry, const std::string& job);
    // Returns the entry's count of waiting jobs; -1: no answer with a count within 4 s.
    std::int64_t pending(int entry);
    // Requests the count of waiting jobs without waiting. An entry that is killed first never calls `told`.
    void ask_pending(int entry, std::function<void(const caller_answer&)> told);
    // Submits a job without waiting for the answer, which is added to answers().
    void send_submit(int entry, const std::string& job, const flow_spec& spec, const std::string& queue = "q");
    const std::map<std::string, std::vector<caller_result>>& answers() const { return answers_; }

    // --- faults ---
    void kill_entry(int entry);
    // Pauses the entry's processing. Messages and timers that come due are queued until resume_entry(), which handles
    // them in order of arrival or newest first.
    void pause_entry(int entry);
    void resume_entry(int entry, bool newest_first = false);
    // Handles the queued timers of a paused entry; its queued answers stay queued.
    void run_timers_only(int entry);
    // Simulates a process that is short of processor time: the entry is paused again and again, for up to `pause_most`
    // each time, then handles its queued timers and answers in random order, and sends its orders late. 0 ends this.
    void inject_entry_pauses(int entry, duration pause_most);
    void start_entry(int entry);
    void shut_down_entry(int entry);
    void set_table_down(bool down) { table_down_ = down; }
    void set_table_latency(duration latency) { options_.table_latency = latency; }
    void cut_entry_from_table(int entry, bool cut) { cut_from_table_[entry] = cut; }
    // While set, the entry's reads of the worker list get no answer.
    void drop_worker_lists(int entry, bool lost) { worker_lists_dropped_[entry] = lost; }
    void cut_entry_from_peers(int entry, bool cut) { cut_from_peers_[entry] = cut; }
    void drop_next_table_answers(int n) { answers_to_drop_ = n; }
    // The next `n` transactions that `chosen` selects and the table applies get no answer.
    void drop_next_answers_to(int n, std::function<bool(const store_transaction&)> chosen)
    {
        chosen_answers_to_drop_ = n;
        chosen_to_drop_ = std::move(chosen);
    }
    // The transactions that `chosen` selects get no answer and are applied after `d`, if their checks then hold.
    void delay_writes(duration d, std::function<bool(const store_transaction&)> chosen)
    {
        write_delay_ = d;
        chosen_to_delay_ = std::move(chosen);
    }
    // While set, watches of news rows get no answer, so owners learn of news from messages only.
    void drop_job_watches(bool lost) { drop_job_watches_ = lost; }
    // The table discards its change history: each entry's next watch of jobs is answered with history_compacted, and
    // the entry has to read all rows again.
    void discard_change_history() { ++history_; }
    // From now on, owners of cells elsewhere write this many news rows a second; 0 ends it.
    void write_foreign_news(int rows_per_s);
    // While set, messages that announce rows to the owners of cells are lost.
    void drop_row_messages(bool lost) { drop_row_messages_ = lost; }
    // The next write of a job row by an owner gets no answer and is applied after `d`.
    void delay_next_row_write(duration d) { row_write_delay_ = d; }
    // From now on this share of the orders to workers gets no answer and is executed 2 to 12 s later.
    void delay_orders(double share) { delayed_order_share_ = share; }
    // The next `n` start orders get no answer and are executed after `d`.
    void delay_next_starts(int n, duration d)
    {
        starts_to_delay_ = n;
        start_delay_ = d;
    }
    // While set, workers refuse starts with order_result::no_room.
    void refuse_starts(bool refused) { starts_refused_ = refused; }
    // While set, stop orders get no answer and are not executed.
    void drop_stop_orders(bool lost) { drop_stops_ = lost; }
    // Adds items to the worker list that belong to no simulated worker.
    void add_foreign_listing(flow_listed_worker entry) { foreign_.workers.push_back(std::move(entry)); }
    void add_unusable_listing(flow_unusable_entry entry) { foreign_.unusable.push_back(std::move(entry)); }
    flow_listed_worker listing_of(int worker) const;
    void crash_worker(int worker, bool comes_back);
    // Crashes the worker; its next life starts `away` later.
    void restart_worker(int worker, duration away);
    // While set, answers to holds do not tell the birth.
    void hide_births(bool hidden) { births_hidden_ = hidden; }
    // The answers to the next `n` start orders arrive `d` later, or not at all if the order times out before.
    void delay_next_start_answers(int n, duration d)
    {
        start_answers_to_delay_ = n;
        start_answer_delay_ = d;
    }
    // Returns how often the task has crashed its worker.
    int crash_count_of(const flow_task_id& task) const;
    // Changes the worker's capacity now, and its capacity in the worker list after `listed_after`.
    void set_worker_capacity(int worker, resources room, duration listed_after);
    // The worker is listed as draining, exits after `drain`, and its next life starts at its address `gap` later.
    void replace_worker(int worker, duration drain, duration gap);
    // Writes a job to the table without announcing it to an owner, as an earlier owner of the cell may leave it.
    void insert_unannounced_job(const std::string& job, const cell_id& cell, const flow_spec& spec);
    // Writes a job row directly, as an entry would.
    void put_job_row(const job_row_name& name, const wire::flow_job_row& row);
    // Writes a job in the layout of earlier releases, which had one row per job.
    void put_legacy_job(const std::string& job);
    void remove_legacy_job(const std::string& job);
    // Replaces the row's value by bytes that do not decode.
    void corrupt_row(const job_row_name& name);
    // Counts the job's rows that owners read (owner rows and news rows).
    std::int64_t count_owner_rows(const std::string& job) const;
    // Returns the job's outcome in the table; 0: the job has not ended.
    std::int32_t stored_outcome(const std::string& job) const;
    // Adds a run that is done, of a job from insert_unannounced_job().
    void end_unannounced_run(int worker, const flow_task_id& task, run_number run);
    // Adds a run in progress, of a job from insert_unannounced_job().
    void start_unannounced_run(int worker, const flow_task_id& task, run_number run, duration takes);
    // Publishes the operator's next configuration, with these queues, padded to `bytes`. Version 1 has the queue `q`.
    void write_config(const std::vector<std::string>& queues, std::size_t bytes);
    // Publishes a configuration that entries cannot parse.
    void write_unreadable_config();
    // Writes or removes the operator's evacuation of a data centre.
    void evacuate(const std::string& data_centre);
    void take_back(const std::string& data_centre);
    // What watches of the operator's rows tell of changes that are made meanwhile.
    enum class operator_watch : std::uint8_t {
        shows_changes,
        hears_nothing, // answered as if nothing had changed
        passes_over    // the same, with the version of the newest change, so that no later watch shows it either
    };
    void set_operator_watch(operator_watch kind) { operator_watch_ = kind; }
    // Each entry's next watch of the operator's rows is answered with history_compacted.
    void discard_operator_history() { ++operator_history_; }
    // Removes from all job and cell rows the record of where tasks were started, which earlier releases did not write.
    void strip_start_records();
    // Fails the task's run on every worker that has one.
    void fail_run(const flow_task_id& task);
    flow_fake_worker& worker(int n) { return *workers_.at(static_cast<std::size_t>(n)); }
    int worker_count() const { return static_cast<int>(workers_.size()); }
    flow_entry* entry(int n) { return entries_.at(static_cast<std::size_t>(n)).decisions.get(); }
    // Adds a worker that is listed from now on, and returns its number.
    int add_worker(const std::string& data_centre, const std::string& rack);
    void set_worker_unlisted(int worker, bool drop) { workers_.at(static_cast<std::size_t>(worker))->listed = !drop; }

    // --- observations ---
    // Descriptions of the invariant violations so far.
    const std::vector<std::string>& invariant_violations() const { return violations_; }
    // Bytes sent to the entry over its link so far.
    double bytes_to(int entry) const { return links_.bytes_to(entry); }
    // Number of watches of job changes that the entry has sent to the table.
    std::int64_t job_watch_count(int entry) const;
    // Number of rows in the answers to these watches.
    std::int64_t job_watch_rows(int entry) const;
    std::int64_t count_log_events(const std::string& subject, const std::string& event) const;
    std::int64_t count_job_starts(const std::string& job) const;
    std::int64_t count_running_tasks(const std::string& job) const;
    std::int64_t count_all_running_tasks() const;
    int count_owners(const std::string& cell) const;
    // Number of transactions with job rows that the table has applied.
    std::int64_t job_writes() const { return job_writes_; }
    // Number of owners' job transactions that the table refused because a row had another version than expected.
    std::int64_t job_write_conflicts() const { return job_writes_refused_; }
    // Number of transactions that the table refused as too large, as a whole or for one of their rows.
    std::int64_t writes_too_large() const { return writes_too_large_; }
    // Number of job and news rows that entries have read, except by watches.
    std::int64_t job_rows_read() const { return job_rows_read_; }

private:
    std::map<int, std::int64_t> job_watch_counts_;
    std::map<int, std::int64_t> job_watch_rows_;
    struct stored {
        std::string value;
        row_version version;
    };
    struct deferred_event {
        bool timer = false;
        std::function<void()> handle;
    };
    struct entry_slot {
        entry_identity identity;
        std::unique_ptr<flow_entry> decisions;
        std::uint64_t life = 0;
        int starts = 0;
        bool frozen = false;
        std::vector<deferred_event> deferred; // while the entry was paused
        duration pause_most{0};               // set by inject_entry_pauses(); 0: none
        // Number of inject_entry_pauses() calls; turns planned by earlier calls do nothing.
        std::uint64_t slow_turns = 0;
    };
    // Lets a slowed entry process its queue, then pauses it again. `spell` is slow_turns at the time of planning.
    void run_slow_turn(int entry, std::uint64_t spell);
    // Calls `what` after `d` of virtual time.
    void schedule(duration d, std::function<void()> what);
    // Calls `what` on the entry if its life is still `life`; defers the call while the entry is paused.
    void on_entry(int entry, std::uint64_t life, const std::function<void(flow_entry&, instant)>& what,
                  bool timer = false);
    // Returns a random extra delay for an order of a slowed entry; 0 for other entries.
    duration sending_delay(int entry);
    // Returns whether the answer to the transaction is to be lost, and counts it.
    bool takes_dropped_answer(const store_transaction& t, const store_result& result);
    void ask_to_cancel(int entry, const std::string& job, const caller_reply& reply);
    // Ends the worker's life without reporting its runs. `away` is the delay until its next life; empty: none.
    void crash(flow_fake_worker& w, std::optional<duration> away);
    // Crashes the worker on behalf of a task, if that run still runs in that life.
    void crash_by(flow_fake_worker& w, std::uint64_t life, const flow_task_id& task, run_number run);
    void start_next_life(flow_fake_worker& w);
    // Returns the functions through which the entry reaches the table, workers, peers, timers and the log.
    flow_edges make_edges(int entry);
    bool table_reached(int entry) const;
    // An entry's watch of the operator's configuration that waits for a change.
    struct pending_operator_watch {
        int entry = 0;
        std::function<void()> answer;
    };
    using operator_done = std::function<void(instant, operator_update)>;
    using message_done = std::function<void(instant, std::optional<wire::flow_message>)>;
    void start_operator_watch(int entry, std::uint64_t life, row_version after, duration wait,
                              const operator_done& done);
    // The message as its receiver reads it.
    wire::flow_message as_received(wire::flow_message message) const;
    void send_over_link(int entry, std::uint64_t life, int peer, const wire::flow_message& message,
                        const message_done& done);
    operator_update read_operator(row_version after) const;
    // Writes the row of the newest of the operator's versions.
    void put_config(std::string text);
    void write_evacuation(const std::string& data_centre, bool evacuated);
    // Whether a start in the data centre comes too long after its evacuation.
    bool is_evacuated_for_long(const data_centre_id& data_centre) const;
    void answer_operator_watches();
    void give_up_stalled(int entry, const std::function<bool()>& over, const std::function<void()>& give_up);
    template <class Answer, class Done>
    void read_over_link(int entry, const store_range& range, const Answer& answer, const Done& done);
    // Returns what of the transaction is more than the table takes; empty: nothing.
    std::string find_excess(const store_transaction& t) const;
    store_result apply(const store_transaction& t);
    store_page read(const store_range& range);
    // Returns the changes of a table, as the platform's feed shows them.
    store_page read_feed(int entry, const store_watch& watch);
    duration news_transfer_time(const std::string& table, const store_page& page) const;
    // Returns the version of the next transaction and records its time.
    row_version next_version();
    // Returns the newest version that the feed's history no longer holds, and forgets what is older.
    row_version history_start();
    void write_next_foreign_news(std::uint64_t spell);
    // Returns the injected delay before an order is executed; empty: none.
    std::optional<duration> pick_delay(const worker_order& order);
    // Returns how much later than at once the answer to an order arrives.
    duration pick_answer_delay(const worker_order& order);
    void set_birth(flow_fake_worker& w) const;
    // Adds to the worker's lease, as far as its own limit.
    void extend_lease(flow_fake_worker& w, worker_time until) const;
    order_answer carry_out(flow_fake_worker& w, const worker_order& order, bool late = false);
    order_answer do_start(flow_fake_worker& w, const start_run& order, bool late);
    // Calls `answer` once the worker has an unconfirmed end, or at `until`.
    void hold_until_end(flow_fake_worker& w, std::uint64_t life, const hold_worker& order, instant until,
                        const std::function<void()>& answer);
    // Marks the ends in `answer` as reported.
    void record_reported_ends(flow_fake_worker& w, const order_answer& answer);
    order_answer do_hold(flow_fake_worker& w, const hold_worker& order);
    void forget_unconfirmed(flow_fake_worker& w);
    // Ends the runs whose time has come, and all runs if the worker's lease has ended.
    void advance_worker(flow_fake_worker& w);
    void end_run(flow_fake_worker& w, const flow_task_id& task, run_end how);
    const flow_step* waiting_step(const flow_task_id& task) const;
    void begin_gang(const flow_task_id& task, run_number run);
    void end_gang(const flow_task_id& task, run_number run, run_end how);
    void record_violation(const std::string& what);
    // Checks a start order against the invariants, before the worker accepts it.
    void check_start(const flow_fake_worker& w, const start_run& order, bool late);
    void check_cancelled();

    options options_;
    random_source random_;
    instant now_{std::chrono::seconds(100)};
    std::multimap<instant, std::function<void()>> queue_;
    std::vector<entry_slot> entries_;
    std::vector<std::unique_ptr<flow_fake_worker>> workers_;
    shared_links links_;
    flow_connections connections_; // of entries to workers
    std::string config_text_;
    row_version config_row_{1};
    row_version operator_version_{1}; // of the newest of the operator's rows
    struct operator_evacuation {
        bool evacuated = true;
        row_version version;
        instant since{};
    };
    std::map<data_centre_id, operator_evacuation> evacuations_; // those taken back included
    int operator_history_ = 0;                                  // number of discard_operator_history() calls
    std::map<int, int> operator_history_seen_;                  // value of operator_history_ at each entry's last watch
    operator_watch operator_watch_ = operator_watch::shows_changes;
    std::map<std::int64_t, pending_operator_watch> operator_watches_;
    std::int64_t last_watch_ = 0;
    std::map<store_key, stored> rows_;
    std::int64_t version_ = 0;
    std::map<store_key, row_version> removed_rows_;               // those that the feed's history still holds
    std::deque<std::pair<instant, row_version>> recent_versions_; // those that the feed's history holds
    row_version history_start_;
    int foreign_news_per_s_ = 0;
    std::int64_t foreign_news_written_ = 0;
    std::uint64_t foreign_news_spells_ = 0; // number of write_foreign_news() calls
    bool drop_row_messages_ = false;
    bool table_down_ = false;
    std::map<int, bool> cut_from_table_;
    std::map<int, bool> cut_from_peers_;
    std::map<int, bool> worker_lists_dropped_;
    std::map<int, int> pages_on_link_; // pages of jobs being transferred, by entry
    int answers_to_drop_ = 0;
    int chosen_answers_to_drop_ = 0;
    std::function<bool(const store_transaction&)> chosen_to_drop_; // set by drop_next_answers_to()
    duration write_delay_{0};
    std::function<bool(const store_transaction&)> chosen_to_delay_; // set by delay_writes()
    bool drop_job_watches_ = false;
    int history_ = 0;                 // number of discard_change_history() calls
    std::map<int, int> history_seen_; // value of history_ at each entry's last watch of jobs
    duration row_write_delay_{0};     // for the next row write; 0: no delay
    std::map<std::string, flow_spec> specs_;
    std::map<std::string, std::vector<caller_result>> answers_;
    std::map<flow_task_id, int> done_counts_; // without the ends in `forgotten`, whose tasks may run again
    std::set<flow_task_id> ever_done_;
    std::map<flow_task_id, int> failed_;
    std::map<flow_task_id, int> crashes_under_;
    std::map<flow_task_id, int> starts_after_crashes_; // starts of a task that has reached the crash limit
    // Times at which jobs were cancelled. Each is added 3 s after the cancellation, when owners have to know of it.
    std::map<std::string, instant> cancelled_;
    instant last_kill_{}; // last time an entry was killed
    double delayed_order_share_ = 0;
    int starts_to_delay_ = 0;
    duration start_delay_{0};
    int start_answers_to_delay_ = 0;
    duration start_answer_delay_{0};
    bool births_hidden_ = false;
    bool drop_stops_ = false;
    bool starts_refused_ = false;
    flow_worker_list foreign_;
    std::int64_t job_writes_ = 0;
    std::int64_t job_writes_refused_ = 0;
    std::int64_t writes_too_large_ = 0;
    std::int64_t job_rows_read_ = 0;
    std::map<std::string, std::int64_t> logged_;
    std::map<std::string, std::int64_t> starts_;
    std::vector<std::string> violations_;
};

// Returns a flow of `steps` consecutive steps with `count` tasks each.
flow_spec chain_spec(int steps, int count, std::int64_t cpu_millis = 1000);
// Returns a flow of one lasting step.
flow_spec lasting_spec(int count, std::int64_t cpu_millis = 1000);

} // namespace skylarkhub::test
