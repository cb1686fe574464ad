// Entries with the product's own flow decisions around a fake table and fake workers, in virtual time. Carries what
// they ask for, with latencies and faults, and watches the promises from the workers' side.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base_random_p.h"
#include "flow_entry_p.h"
#include "support_links.h"

namespace skylarkhub::test {

// What truly runs and ran on one worker.
struct flow_fake_worker {
    worker_id id;
    net_address address;
    data_centre_id data_centre;
    resources room{16000, 64000, 0};
    std::optional<resources> room_told;                      // by the list, since it has changed
    std::vector<std::pair<instant, resources>> rooms_before; // that starts may still fill, and until when
    std::vector<std::string> labels{"a", "rack-1"};
    bool up = true;
    bool listed = true;
    bool draining = false;
    bool reachable = true;          // its orders and answers pass
    bool listing_malformed = false; // another writer has made its entry in the list unreadable
    double slowness = 1;            // what starts from now on takes this much longer
    duration clock_offset{0};
    epoch fence;
    instant lease_until{};
    std::map<flow_task_id, run_number> highest; // stopped or ended; a run not above it is refused
    struct run {
        run_number number;
        std::string payload;
        instant begun{};
        instant ends{};
        duration takes{0}; // from when it is at work
        bool fails = false;
        resources need;
        bool filling = false;
        std::int32_t percent = 100;
        bool late = false;                    // its order was carried out long after it was sent
        instant waits_until = instant::max(); // for the other members of its gang; max: it is at work
        instant stops{instant::max()};        // it was told to, and takes its time
    };
    std::map<flow_task_id, run> running;
    std::vector<reported_end> ends;
    std::set<end_number> forgotten; // of `ends`: need not be known to anybody
    std::set<end_number> told;      // of `ends`: an answer that lists them has left for an entry
    std::int64_t last_end = 0;
    std::int64_t starts = 0;
};

class flow_simulation {
public:
    struct options {
        std::uint64_t seed = 1;
        bool verbose = false; // prints what the entries log
        std::vector<std::string> data_centres{"a"};
        int entries_per_data_centre = 2;
        int workers_per_data_centre = 3;
        int rack_size = 0;         // workers of a data centre in one rack; 0: all
        std::vector<double> cores; // of the entries of a data centre, in turn; empty: 1
        std::int64_t worker_cpu_millis = 16000;
        duration table_latency = std::chrono::milliseconds(8);
        duration network_latency = std::chrono::milliseconds(2);
        // Of each entry's link, which messages between entries and configurations share; 0: they take no time.
        double link_bytes_per_s = 0;
        duration job_page_transfer_time{0}; // over the entry's link, for each page at a time
        // That one look at changes shows, the oldest, with the table's newest version; 0: all.
        std::size_t watch_page_rows = 0;
        duration list_latency = std::chrono::milliseconds(100);         // of the list of workers
        std::map<int, duration> list_latency_by_entry;                  // of entries for which it is another
        std::function<bool(const flow_task_id&, run_number)> run_fails; // empty: none fails
        std::function<duration(const flow_task_id&)> run_time;          // empty: 300 ms
        bool gang_start_barrier = false; // for all members of a run, on all workers, and end with the first that ends
        bool gang_timeouts_allowed = false; // a member that waited in vain is no fault: something was impaired
        duration stop_time{0};              // that a stop takes
        // How long after its start the task crashes its worker, without a trace; empty: it does not.
        std::function<std::optional<duration>(const flow_task_id&, const start_run&)> worker_crash_delay;
        duration crash_restart_delay = std::chrono::seconds(1); // until a crashed worker's next life begins
        // Until starts are checked against a room that has shrunk: for it to be told, and heard.
        duration shrunk_room_grace = std::chrono::milliseconds(4500);
        bool crash_refuses_connections =
            false; // connections to a crashed worker fail at once; else nothing answers there
        // An end counts as known for good once an answer that lists it has left, whether or not it is confirmed. The
        // rules hold this against an owner that is just slow; where answers are lost and entries killed, they don't.
        // `heard_counts`: only from when the entry has handled that answer.
        bool told_counts = false;
        bool heard_counts = false;
        duration hold_answer_delay{
            0};                  // of the answers to exchanges, on top of the latency: other answers overtake them
        bool holds_wait = false; // for an end, as long as the order allows; else 50 ms, which takes less to play
    };
    explicit flow_simulation(options o);
    ~flow_simulation();

    instant now() const { return now_; }
    void run_for(duration d);
    bool run_until(const std::function<bool()>& done, duration most);

    // --- what callers do; through entry `entry` ---
    caller_result submit(int entry, const std::string& job, const flow_spec& spec, const std::string& queue = "q");
    caller_result cancel(int entry, const std::string& job);
    std::optional<flow_state> state(int entry, const std::string& job);
    // The number of jobs that wait, as the entry says; -1: it did not answer.
    std::int64_t pending(int entry);
    // Asks the same and does not wait; an entry that is killed meanwhile tells nothing.
    void ask_pending(int entry, std::function<void(const caller_answer&)> told);
    // Sends and does not wait; the answer is noted in answers().
    void send_submit(int entry, const std::string& job, const flow_spec& spec, const std::string& queue = "q");
    const std::map<std::string, std::vector<caller_result>>& answers() const { return answers_; }

    // --- faults ---
    void kill_entry(int entry);
    // The entry stands still: what reaches it meanwhile, its own timers too, it handles when it goes on, in the order
    // in which it came or the newest first.
    void pause_entry(int entry);
    void resume_entry(int entry, bool newest_first = false);
    // Its own timers get their turn, while answers still wait.
    void let_timers(int entry);
    // From now on the entry gets its processor in turns, up to `pause_most` apart: what reached it since the last one
    // it handles at once, timers and answers in any order, and its orders leave late. 0: it is as quick as any again.
    void inject_entry_pauses(int entry, duration pause_most);
    void start_entry(int entry);
    void shut_down_entry(int entry);
    void set_table_down(bool down) { table_down_ = down; }
    void set_table_latency(duration latency) { options_.table_latency = latency; }
    void cut_entry_from_table(int entry, bool cut) { cut_from_table_[entry] = cut; }
    void cut_entry_from_peers(int entry, bool cut) { cut_from_peers_[entry] = cut; }
    void drop_next_table_answers(int n) { answers_to_lose_ = n; }
    // The table discards its history: an entry that asks for changes next has to read the rows anew.
    void discard_change_history() { ++history_; }
    // The next write of a job's row by its owner gets no answer and comes into force after `d`.
    void delay_next_row_write(duration d) { row_write_delay_ = d; }
    // From now on this share of the orders to workers gets no answer and is carried out 2 to 12 s later.
    void delay_orders(double share) { late_share_ = share; }
    // The next starts get no answer and are carried out after `d`.
    void delay_next_starts(int n, duration d)
    {
        starts_to_delay_ = n;
        start_delay_ = d;
    }
    // While set, workers refuse starts for want of room.
    void refuse_starts(bool refused) { starts_refused_ = refused; }
    // While set, stops get no answer and are not carried out.
    void drop_stop_orders(bool lost) { stops_lost_ = lost; }
    // What another writer has put into the list of workers.
    void add_foreign_listing(flow_listed_worker entry) { foreign_.workers.push_back(std::move(entry)); }
    void add_unusable_listing(flow_unusable_entry entry) { foreign_.unusable.push_back(std::move(entry)); }
    flow_listed_worker listing_of(int worker) const;
    void crash_worker(int worker, bool comes_back);
    // How often the task has crashed its worker.
    int crash_count_of(const flow_task_id& task) const;
    // The room changes now; what the list says of it follows `told_after` later.
    void set_worker_capacity(int worker, resources room, duration told_after);
    // It says that it leaves, serves for `drain` and exits; `gap` later another life starts at its address.
    void replace_worker(int worker, duration drain, duration gap);
    // A job in the table that no owner has been told of, and an end `done` of one of its tasks, as an earlier owner of
    // the cell leaves them.
    void insert_unannounced_job(const std::string& job, const cell_id& cell, const flow_spec& spec);
    // A row as some entry has written it.
    void put_job_row(const job_row_name& name, const wire::flow_job_row& row);
    // A job as a release left it that kept one row a job.
    void put_legacy_job(const std::string& job);
    void remove_legacy_job(const std::string& job);
    // Puts bytes in a row's place that nobody can read.
    void corrupt_row(const job_row_name& name);
    // How many rows tell owners of the job.
    std::int64_t count_owner_rows(const std::string& job) const;
    // As the table has it; 0: the job has not ended.
    std::int32_t stored_outcome(const std::string& job) const;
    void end_unannounced_run(int worker, const flow_task_id& task, run_number run);
    // A run of such a job that goes on.
    void start_unannounced_run(int worker, const flow_task_id& task, run_number run, duration takes);
    // The operator writes a configuration with these queues, padded to `bytes`. Versions count from 1, which has `q`.
    void write_config(const std::vector<std::string>& queues, std::size_t bytes);
    // One that no entry can read.
    void write_unreadable_config();
    // Leaves out of all rows of jobs, and of cells, what an earlier release does not know: where tasks were started.
    void strip_start_records();
    // Ends a run by its own fault, wherever it is.
    void fail_run(const flow_task_id& task);
    flow_fake_worker& worker(int n) { return *workers_.at(static_cast<std::size_t>(n)); }
    int worker_count() const { return static_cast<int>(workers_.size()); }
    flow_entry* entry(int n) { return entries_.at(static_cast<std::size_t>(n)).decisions.get(); }
    // One more, listed from now on; its number.
    int add_worker(const std::string& data_centre, const std::string& rack);
    void set_worker_unlisted(int worker, bool drop) { workers_.at(static_cast<std::size_t>(worker))->listed = !drop; }

    // --- what was seen ---
    // Broken promises, in words; empty when none.
    const std::vector<std::string>& invariant_violations() const { return faults_; }
    // Over its link, so far.
    double bytes_to(int entry) const { return links_.bytes_to(entry); }
    // How often the entry has asked the table for changes of jobs.
    std::int64_t job_watch_count(int entry) const;
    std::int64_t count_log_events(const std::string& subject, const std::string& event) const;
    std::int64_t count_job_starts(const std::string& job) const;
    std::int64_t count_running_tasks(const std::string& job) const;
    std::int64_t count_all_running_tasks() const;
    int count_owners(const std::string& cell) const;
    // Writes to the table that were applied, to rows of jobs.
    std::int64_t job_writes() const { return job_writes_; }
    // Writes to them that were refused, since a row was not as the writer knew it.
    std::int64_t job_write_conflicts() const { return job_writes_refused_; }
    // Rows of jobs and news of them that entries have read, looks at changes aside.
    std::int64_t job_rows_read() const { return job_rows_read_; }

private:
    std::map<int, std::int64_t> looks_at_jobs_;
    struct stored {
        std::string value;
        row_version version;
    };
    struct missed_event {
        bool timer = false;
        std::function<void()> handle;
    };
    struct entry_slot {
        entry_identity identity;
        std::unique_ptr<flow_entry> decisions;
        std::uint64_t life = 0;
        int starts = 0;
        bool frozen = false;
        std::vector<missed_event> missed; // while it stood still
        duration pause_most{0};           // of a slow one
        std::uint64_t slow_turns = 0;     // the ones planned for an earlier spell of slowness are not taken
    };
    void take_turn(int entry, std::uint64_t spell);
    void later(duration d, std::function<void()> what);
    void on_entry(int entry, std::uint64_t life, const std::function<void(flow_entry&, instant)>& what,
                  bool timer = false);
    duration sending_delay(int entry);
    void crash(flow_fake_worker& w, std::optional<duration> away);
    void crash_by(flow_fake_worker& w, const worker_id& life, const flow_task_id& task, run_number run);
    void start_next_life(flow_fake_worker& w);
    flow_edges make_edges(int entry);
    bool table_reached(int entry) const;
    // A look for changes that waits for one.
    struct operator_look {
        int entry = 0;
        std::function<void()> answer;
    };
    using operator_done = std::function<void(instant, operator_update)>;
    using tell_done = std::function<void(instant, std::optional<wire::flow_message>)>;
    void look_at_operator(int entry, std::uint64_t life, row_version after, duration wait, const operator_done& done);
    void tell_over_link(int entry, std::uint64_t life, int peer, const wire::flow_message& message,
                        const tell_done& done);
    operator_update read_operator(row_version after) const;
    void answer_looks();
    void give_up_stalled(int entry, const std::function<bool()>& over, const std::function<void()>& give_up);
    template <class Answer, class Done>
    void read_over_link(int entry, const store_range& range, const Answer& answer, const Done& done);
    store_result apply(const store_transaction& t);
    store_page read(const store_range& range);
    // How much later than sent an order is carried out; empty: at once.
    std::optional<duration> pick_delay(const worker_order& order);
    order_answer carry_out(flow_fake_worker& w, const worker_order& order, bool late = false);
    order_answer do_start(flow_fake_worker& w, const start_run& order, bool late);
    void hold_until_end(flow_fake_worker& w, const worker_id& life, const hold_worker& order, instant until,
                        const std::function<void()>& answer);
    void note_told(flow_fake_worker& w, const order_answer& answer);
    order_answer do_hold(flow_fake_worker& w, const hold_worker& order);
    void forget_unconfirmed(flow_fake_worker& w);
    void advance_worker(flow_fake_worker& w);
    void end_run(flow_fake_worker& w, const flow_task_id& task, run_end how);
    const flow_step* waiting_step(const flow_task_id& task) const;
    void begin_gang(const flow_task_id& task, run_number run);
    void end_gang(const flow_task_id& task, run_number run, run_end how);
    void fault(const std::string& what);
    void check_start(const flow_fake_worker& w, const start_run& order, bool late);
    void check_cancelled();

    options options_;
    random_source random_;
    instant now_{std::chrono::seconds(100)};
    std::multimap<instant, std::function<void()>> queue_;
    std::vector<entry_slot> entries_;
    std::vector<std::unique_ptr<flow_fake_worker>> workers_;
    shared_links links_;
    std::string config_text_;
    row_version config_row_{1};
    std::map<std::int64_t, operator_look> operator_looks_;
    std::int64_t last_look_ = 0;
    std::map<store_key, stored> rows_;
    std::int64_t version_ = 0;
    bool table_down_ = false;
    std::map<int, bool> cut_from_table_;
    std::map<int, bool> cut_from_peers_;
    std::map<int, int> pages_on_link_; // of jobs, by entry
    int answers_to_lose_ = 0;
    int history_ = 0;                 // how often it was discarded
    std::map<int, int> history_seen_; // by entry
    duration row_write_delay_{0};     // of the next one; 0: it is not delayed
    std::map<std::string, flow_spec> specs_;
    std::map<std::string, std::vector<caller_result>> answers_;
    std::map<flow_task_id, int> done_; // less those that nobody need know of
    std::set<flow_task_id> ever_done_;
    std::map<flow_task_id, int> failed_;
    std::map<flow_task_id, int> crashes_under_;
    std::map<flow_task_id, int> starts_after_crashes_; // once the task has crashed as many as it may
    std::map<std::string, instant> cancelled_;         // when; known 3 s later, from when on it must be kept to
    instant impaired_at_{};                            // an instance was removed last
    double late_share_ = 0;
    int starts_to_delay_ = 0;
    duration start_delay_{0};
    bool stops_lost_ = false;
    bool starts_refused_ = false;
    flow_worker_list foreign_;
    std::int64_t job_writes_ = 0;
    std::int64_t job_writes_refused_ = 0;
    std::int64_t job_rows_read_ = 0;
    std::map<std::string, std::int64_t> logged_;
    std::map<std::string, std::int64_t> starts_;
    std::vector<std::string> faults_;
};

// A flow of `steps` steps, one after the other, of `count` tasks each.
flow_spec chain_spec(int steps, int count, std::int64_t cpu_millis = 1000);
// One step that lasts.
flow_spec lasting_spec(int count, std::int64_t cpu_millis = 1000);

} // namespace skylarkhub::test
