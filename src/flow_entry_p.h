// The flow logic of one entry: answers callers, exchanges news with its peers, maintains the configuration in force,
// and runs the cells that it owns or watches. Holds no lock and does no I/O: the daemon calls it under one lock and
// carries out the calls made through flow_edges.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "base_shares_p.h"
#include "flow_cell_p.h"
#include "flow_config_check_p.h"
#include "flow_config_copy_p.h"
#include "flow_edges_p.h"
#include "flow_evacuation_p.h"
#include "flow_layout_p.h"
#include "flow_operator_feed_p.h"
#include "flow_pending_p.h"
#include "flow_unusable_p.h"
#include "flow_waiting_p.h"
#include "flow_worker_list_p.h"

namespace skylarkhub {

// --- requests of callers and their answers ---

enum class caller_verb : std::uint8_t { submit, state, cancel };

struct caller_request {
    caller_verb verb = caller_verb::state;
    std::string host;
    std::string path;
    std::optional<flow_spec> spec; // for submit; empty if the body is not a valid specification
    std::string problem;           // why `spec` is empty
    duration request_timeout{0};   // how long the caller waits for the answer; 0: not stated
};

enum class caller_result : std::uint8_t {
    accepted,
    state,
    pending,
    cancelled,
    unknown_queue, // the configuration has no such queue
    unknown_job,
    invalid,
    rejected,        // the job does not run and will not run because of this request
    retry_later,     // the answer is not known now; nothing was changed
    outcome_unknown, // the write may or may not have been applied
    dropped          // nothing was done, and the connection ends without an answer
};
struct caller_answer {
    caller_result result = caller_result::retry_later;
    flow_state state = flow_state::queued;
    std::int64_t pending = 0;
    duration retry_delay{0}; // 0: not stated
    std::string reason;
};
using caller_reply = std::function<void(caller_answer)>;

// What callers may cost the entry, and what a row of the table may hold.
struct caller_bounds {
    machine_shares shares = divide_machine({});
    std::int64_t row_bytes = 65'536;
};

class flow_entry {
public:
    flow_entry(entry_identity self, flow_edges edges, const caller_bounds& bounds = {});
    flow_entry(const flow_entry&) = delete;
    flow_entry& operator=(const flow_entry&) = delete;

    // Registers the entry in the table and starts its periodic work. Called once.
    void begin(instant now);
    // Called after every event.
    void run_deferred_work(instant now);
    // Returns whether the entry can serve callers.
    bool ready() const;
    // Starts a planned stop: no more jobs are accepted, and the cells are released.
    void plan_stop(instant now);
    // Returns whether a planned stop has nothing left to wait for. Valid only after plan_stop().
    bool stopped() const;

    void on_request(instant now, const caller_request& request, caller_reply reply);
    // Handles a message of a peer. `reply` is called once, either before the function returns or when the table has
    // answered a call relayed for the sender.
    void on_message(instant now, const wire::flow_message& message,
                    const std::function<void(const wire::flow_message&)>& reply);

    const flow_entry_stats& stats() const { return stats_; }
    // Of the body of one request, by the configuration in force; empty while there is none.
    std::optional<std::int64_t> body_bytes_most() const;
    std::size_t steps_most() const { return count_steps_most(bounds_.row_bytes); }
    settings_version config_version() const { return config_ ? config_->version : settings_version(0); }
    // The newest configuration version that is in force here or that a peer has reported.
    settings_version newest_config_version() const;
    const std::map<cell_id, std::unique_ptr<flow_cell>>& cells() const { return cells_; }
    const std::map<rack_id, cell_id>& racks() const { return racks_; }

private:
    struct peer {
        entry_identity identity;
        // When the last hello of the peer arrived.
        instant last_hello_at{};
        bool hello_received = false;
        bool leaving = false;
        bool sending = false;
        bool table_away = false;
        instant table_answered{}; // when the table last answered the peer
        std::int64_t sent_ms = 0; // send time of the peer's last hello, on the peer's clock
        settings_version config;  // in force at the peer
        std::vector<wire::flow_cell_news> cells;
        std::int64_t job_bytes_left = -1; // for jobs of its cells, less what was sent there since; below 0: not told
    };
    // A caller's request for the number of waiting jobs of a queue.
    struct pending_request {
        queue_id queue;
        instant asked{};
        caller_reply reply;
    };
    // The newest version of the table in an answer that was requested at `asked`. Whoever knows all changes up to it
    // knows all that were made before `asked`.
    struct table_mark {
        row_version version;
        instant asked{};
    };
    // A read of the counts in the rows of cells, which are then extended by the jobs accepted since.
    struct pending_read {
        bool under_way = false;
        table_mark goal; // the accepted jobs are read up to here
        std::map<cell_id, pending_count> counts;
    };
    // A job that this entry answers callers about.
    struct tracked_job {
        bool accepted = false; // the job's row is in the table
        bool accepting = false;
        bool handed_on = false; // this entry has notified the owner of the job's cell
        flow_state state = flow_state::queued;
        instant checked{}; // when `state` was last confirmed
        instant asked{};   // when the pending submit began
        std::vector<caller_reply> waiting_accept;
        std::vector<caller_reply> waiting_state;
        // A read of the job's state is under way.
        bool reading = false;
        bool remembered = false; // it is among remembered_jobs_
    };
    // What the configuration makes of a request.
    struct matched_request {
        const flow_queue* queue = nullptr;
        std::string job;                      // the path after the queue's prefix; empty for a count of waiting jobs
        std::optional<caller_answer> refusal; // if the configuration does not allow the request
    };
    // The answer to a caller whose job is not accepted.
    struct refusal {
        std::string reason;
        duration retry_delay{0};
    };
    // The write that accepts a job, over all its tries.
    struct acceptance {
        job_id job;
        std::shared_ptr<const wire::flow_job_row> row;
        std::string row_bytes; // the row as it is written
        instant give_up{};
        int tries = 0;
        bool may_be_in_force = false; // an earlier try got no answer
        row_version withdrawn;        // of the refusal that came before this request; 0: there was none
    };
    // A cancel that is in the table.
    struct stored_cancel {
        row_version version;
        bool written_before = false; // by an earlier try or another entry
    };
    // A written job row that the owner of its cell has not acknowledged yet.
    struct unacknowledged_row {
        wire::flow_job_row row;
        std::string bytes;
        row_version version;
        instant since{};
        bool sending = false;
        waiting_requests::charge charge;
    };
    // Progress of one round of watching the news of jobs: calls one after another until all changes are read that were
    // made before the round began.
    struct news_watch {
        bool under_way = false;
        instant began{};
        int answers = 0;
        std::optional<table_mark> goal; // requested when the second answer shows changes, or the first many
    };
    // Progress of reading the news of the owned cells by reads of the table.
    struct news_read {
        std::vector<std::pair<cell_id, store_range>> unread;
        std::map<cell_id, epoch> cells; // the cells that are read, with the ownership epoch at the start
        instant asked{};
        row_version version;       // the lowest of the pages
        bool through_peer = false; // made in place of watches, which cannot be relayed
        bool whole = true;         // every read so far succeeded
        int under_way = 0;
        std::int64_t answered = 0;
        std::int64_t rows = 0; // number of rows newer than the version that the watch had reached
    };
    // The cells of one data centre, and the workers by rack in the platform's last list.
    struct data_centre_cells {
        cell_layout layout;
        row_version version; // version of the layout row; 0: there is no row
        rack_workers listed;
        instant changed_at{};       // when `listed` last changed
        instant unassigned_since{}; // when a listed rack without a cell was first seen; instant{}: none
        bool writing = false;
    };

    // flow_front.cpp
    // Returns the queue with the longest path prefix that matches, or null. Requires a configuration.
    const flow_queue* match_queue(const std::string& host, const std::string& path) const;
    void answer_request(instant now, const caller_request& request, caller_reply reply);
    // Finds out what the configuration makes of a request. Requires a configuration.
    matched_request match_request(const caller_request& request) const;
    // Serves a request that the configuration allows.
    void serve_request(instant now, const caller_request& request, const matched_request& matched, instant give_up,
                       caller_reply reply);
    // Refuses the request if the configuration is the newest and does not allow it.
    void refuse_by_newest_config(instant now, const caller_request& request, instant give_up,
                                 const caller_reply& reply);
    void submit(instant now, const flow_queue& queue, const job_id& job, const caller_request& request, instant give_up,
                caller_reply reply);
    // Refuses the submit unless the table already holds the job.
    void refuse_unless_accepted(const job_id& job, const refusal& why, const caller_reply& reply);
    void write_refusal(const job_id& job, const refusal& why, row_version withdrawn, const caller_reply& reply);
    // Writes the row of a new job; on_job_written() retries or answers.
    void write_job(const acceptance& accepting);
    void on_job_written(instant now, const acceptance& accepting, const store_result& result);
    bool settle_accept_conflict(instant now, const acceptance& accepting, const std::vector<store_row>& rows);
    void answer_accept(instant now, const job_id& job, const caller_answer& answer);
    void remember_job(const job_id& job, tracked_job& tracked);
    void ask_state(instant now, const job_id& job, caller_reply reply);
    void read_state(const job_id& job);
    void update_job_state(instant now, const job_id& job, flow_state state);
    void cancel(const job_id& job, instant give_up, caller_reply reply);
    void withdraw_job(const job_id& job, instant give_up, const caller_reply& reply);
    void retry_cancel(instant now, const job_id& job, instant give_up, const std::string& reason,
                      const caller_reply& reply);
    void write_cancel(const job_id& job, const cell_id& cell, instant give_up, caller_reply reply);
    void confirm_cancel(instant now, const job_id& job, const cell_id& cell, stored_cancel cancel,
                        const caller_reply& reply);
    void notify_cell_owner(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version);
    // Notifies the owner of a job that was accepted for its cell.
    void notify_owner_of_job(instant now, const job_row_name& accepted, const wire::flow_job_row& row,
                             row_version version);
    // Notifies the owner of a job that another request was accepted with. `index`: its row in the index.
    void hand_on_job(const job_id& job, const wire::flow_job_row& index);
    void hand_on_job(const job_id& job);
    // Checks the parts of the table from `part` on for jobs of an earlier release.
    void check_for_legacy_jobs(int part);
    // Sends an unacknowledged row to the cell's owner.
    void send_row_to_owner(instant now, const job_row_name& name);
    void spread_cancels(instant now);
    // Passes a row to a cell of this entry. False if the cell has to receive it again later.
    static bool pass_row_to_cell(instant now, flow_cell& cell, const job_row_name& name, const wire::flow_job_row& row,
                                 row_version version);
    // Sends the collected job states to the entries that accepted the jobs.
    void send_job_states();

    // flow_entry_rooms.cpp
    // Chooses the cell for a new job; nothing if no cell serves its queue.
    std::optional<cell_id> choose_cell(instant now, const flow_queue& queue, const flow_spec& spec);
    // What this entry has for further jobs of its cells, less what was sent there since it was last counted.
    std::int64_t& own_job_bytes_left(instant now);
    // The same for further occurrences of recurring jobs, which leave the rest to jobs that are yet to come.
    std::int64_t& recurring_job_bytes_left(instant now);
    // Returns the cells whose owners have no memory for a job of this size.
    absl::flat_hash_set<std::string> cells_without_memory(instant now, std::int64_t job_bytes);
    void charge_owner(instant now, const cell_id& cell, std::int64_t job_bytes);
    // Returns whether the job is not lasting or all its tasks have room now.
    bool has_lasting_room(instant now, const job_id& job, const flow_queue& queue, const flow_spec& spec);
    // Returns the news of the cells owned here, at most max_own_news_age old.
    std::vector<wire::flow_cell_news>& own_news(instant now);
    // Calls `consider` with the latest news of each cell with a live owner whose data centre is not evacuated, and
    // whether this entry owns the cell.
    template <class Visitor> void for_each_news(instant now, Visitor&& consider);
    // Calls `consider` with the pools of other cells whose workers may run the step.
    template <class Visitor>
    void for_each_pool(instant now, const cell_id& from, const std::string& service, const flow_step& step,
                       Visitor&& consider);
    std::optional<std::pair<cell_id, epoch>> find_cell_with_room(instant now, const cell_id& from,
                                                                 const std::string& service, const flow_step& step,
                                                                 room_kind kind);
    // Returns the other cells that report room of this kind for one more task of the step, the best first.
    std::vector<cell_id> list_cells_for_task(instant now, const cell_id& from, const std::string& service,
                                             const flow_step& step, room_kind kind);
    // Returns the share of a service's processors that tasks other than filling ones use.
    double non_filling_cpu_share(instant now, const std::string& service);
    std::vector<flow_cell_room> list_cells_with_room(instant now, const cell_id& from, const std::string& service,
                                                     const flow_step& step);

    // flow_entry_places.cpp
    // Asks the owner of the cell for a place for a lasting task. `done` is called later.
    void ask_for_place(instant now, const cell_id& to, const place_need& need, bool reserve,
                       std::function<void(instant, place_answer)> done);
    // Answers a peer that asks for a place in a cell of this entry.
    wire::flow_message serve_place(instant now, const wire::flow_place_ask& ask);

    // flow_entry_pending.cpp
    void ask_pending(instant now, const queue_id& queue, caller_reply reply);
    void read_pending(instant now);
    void on_pending_rows(instant now, instant asked, const store_page& page);
    // Adds the jobs accepted since the counts that read_pending() read.
    void read_accepted_since(instant now);
    void on_accepted_read(instant now, instant asked, row_version after, const store_page& page);
    // Answers the requests that waited for the read. `outcome`: its result, for the log.
    void end_pending_read(instant now, const std::string& outcome);
    void refresh_pending_counts(instant now);
    void refresh_own_counts(instant now);
    // Returns whether a count that is complete up to `complete_at` may be used for an answer.
    bool is_count_usable(instant now, instant complete_at) const;
    // Returns whether the site may have cells that this entry does not know.
    bool may_miss_cells(instant now) const;
    std::variant<std::int64_t, counts_missing> count_pending(instant now, const queue_id& queue);
    void answer_pending(instant now, const pending_request& request, std::int64_t jobs);
    void refuse_pending(instant now, const pending_request& request, const counts_missing& missing,
                        const std::string& table);
    // Adds the known count of an owned cell to its news in a hello.
    void add_pending_count(instant now, wire::flow_cell_news& news) const;
    // Stores the count that a hello reports for a cell. `earliest_sent`: a time no later than the hello was sent.
    void update_pending_count(instant earliest_sent, const wire::flow_cell_news& news);
    // Refuses the requests that have waited longer than pending_answer_timeout.
    void refuse_late_requests(instant now);

    // flow_peers.cpp
    void register_self();
    void read_entries(instant now);
    // Adds a peer that a table row or another peer's hello names.
    void add_peer(const wire::flow_entry_row& row);
    // Sends a hello to the peers, to one of them with the list of entries, to each in turn. `everyone`: also to those
    // that send hellos to this entry themselves.
    void send_hellos(instant now, bool everyone);
    void send_message(instant now, peer& p, const wire::flow_message& message);
    // Builds a hello. `with_members`: it lists the known live entries.
    wire::flow_hello hello(instant now, bool with_members);
    std::vector<wire::flow_entry_row> live_members(instant now) const;
    static void set_echo(instant now, const peer& p, wire::flow_hello& hello);
    std::optional<instant> earliest_send_time(instant now, const wire::flow_hello& hello) const;
    bool on_hello(instant now, const wire::flow_hello& hello, std::optional<instant> asked);
    // Returns whether the peer's last hello is recent enough.
    bool is_live(const peer& p, instant now) const;
    // Returns the live peer that reports owning the cell with the highest epoch, or null.
    const peer* find_owner(instant now, const cell_id& cell) const;
    // Describes this entry as a candidate owner of the cell.
    cell_candidacy candidacy(instant now, const flow_cell& cell) const;

    // flow_entry_workers.cpp
    bool owns_cells() const;
    void list_workers(instant now);
    // Asks a peer for the list of workers if that of this entry grows old and it owns cells.
    void ask_for_worker_list(instant now);
    void on_worker_list_told(instant now, instant asked, const wire::flow_worker_list_row& told);
    wire::flow_message serve_worker_list(instant now, const wire::flow_worker_list_ask& ask);
    bool has_recent_worker_list(instant now) const;
    void on_workers(instant now, std::vector<flow_listed_worker> workers);
    // The known list, with workers of services that the configuration does not name among the unusable entries.
    flow_worker_list usable_list() const;
    void report_unusable(instant now, const std::vector<flow_unusable_entry>& entries);

    // flow_cells.cpp
    void read_layouts(instant now);
    void apply_layout(instant now, const store_row& row);
    // Assigns listed racks without a cell to cells.
    void assign_racks(instant now);
    void write_layout(instant now, const data_centre_id& data_centre);
    // Returns the cell, and creates it if it is unknown.
    flow_cell& find_or_create_cell(const cell_id& id, const data_centre_id& data_centre);
    // Begins a round of watching the news.
    void watch_jobs(instant now);
    // Returns the version that all owned cells have reached; empty without owned cells.
    std::optional<row_version> watched_job_version() const;
    void watch_next_jobs(instant now);
    // Measures how old this entry's knowledge of the news is, and logs it while the entry falls behind.
    void report_news_delay(instant now);
    void read_watch_goal(instant now);
    // Returns the version up to which `page`, a watch's answer, contains all changes after `after`.
    static row_version last_complete_version(const store_page& page, row_version after);
    void on_jobs_changed(instant now, instant asked, row_version after, const store_page& page);
    std::int64_t apply_job_rows(instant now, row_version after, const std::vector<store_row>& rows);
    // Reads the news of the owned cells in place of the changes of the whole site.
    void read_news(instant now);
    void read_next_news(instant now);
    void on_news_read(instant now, const cell_id& id, store_range range, const store_page& page);
    void rank_cells(instant now);
    // Returns the live entry that owns the cell as far as known, or an invalid id.
    entry_id live_owner(instant now, const cell_id& id, const flow_cell& cell) const;

    // flow_entry.cpp
    void tick(instant now);
    void tick_cells(instant now);
    flow_cell_hooks make_hooks(const data_centre_id& data_centre);

    // flow_config.cpp
    void watch_operator(instant now);
    // Puts a configuration in force if it is newer. `row`: version of the row of the table that it was read from; 0:
    // not known. `from`: its source, for the log.
    void apply_config(instant now, flow_config config, std::string text, row_version row, const char* from);
    // Records the configuration version in force at a peer.
    void update_peer_config(instant now, peer& p, settings_version version);
    // Decides whether the configuration is recent enough to accept jobs by.
    void update_config_usable(instant now);
    // Asks the table whether the configuration in force is the newest, and takes up a newer one. `done` is called once,
    // at once if it is already known that the table cannot be asked.
    void confirm_config(instant now, instant give_up, const config_checks::answer& done);
    // Sends the next call to the table that a request waits for.
    void send_config_check(instant now);
    void on_config_checked(instant now, const store_result& result);
    // Takes up the newest configuration from its row. Returns whether it is in force.
    bool take_config_row(instant now, const store_row& row);
    void give_up_config_checks(instant now);
    // Requests a piece of a newer configuration from a peer if one is needed.
    void fetch_newer_config(instant now);
    void ask_for_config(instant now, const entry_id& source);
    void on_config_piece(instant now, const entry_id& source, duration took,
                         const std::optional<wire::flow_message>& answer);
    // Puts a completely copied configuration in force.
    void apply_copied_config(instant now);
    // Answers a peer's request for a piece of the configuration.
    wire::flow_message serve_config(instant now, const wire::flow_config_ask& ask);
    // `refused`: the caller is told that the queue does not exist. `waited`: how long the table was asked.
    void log_unknown_queue(instant now, const caller_request& request, bool refused, duration waited);

    // flow_entry_evacuations.cpp
    // Logs what has changed and lets the cells act on it. `from`: the source, for the log.
    void on_evacuations_changed(instant now, const known_evacuations::changes& changes, const std::string& from);
    // Whether tasks may be started in the data centre now, by what is known of evacuations and workers.
    start_permission permission_in(const data_centre_id& data_centre, instant now) const;
    // Whether new work may go to the cell, as far as this entry knows.
    bool is_evacuated(const cell_id& cell) const;
    // Whether every data centre that has cells is evacuated.
    bool is_site_evacuated() const;

    // flow_relay.cpp
    // Commits directly, or through a peer while the table does not answer this entry.
    void commit(store_transaction transaction, std::function<void(instant, store_result)> done);
    // Reads directly, or through a peer while the table does not answer this entry.
    void read(store_range range, std::function<void(instant, store_page)> done);
    // Updates table_away_ after a direct table call. `reason`: why it failed, for the log.
    void record_table_answer(instant now, bool answered, const std::string& reason);
    // Returns whether no known live entry has had an answer of the table since `since`.
    bool table_outage(instant now, instant since) const;
    // Reads the table periodically until it answers this entry again.
    void probe_table();
    // Returns the next peer that can relay table calls, or nothing.
    std::optional<net_address> relay_peer();
    // Returns the next peer that the table answers, of those that own cells if there are any.
    std::optional<net_address> list_peer();
    // Selects the peers that the table answers in turn, so that no single one serves all calls of an entry.
    std::optional<net_address> next_peer_with_table(bool owners_only);
    // Executes a commit on behalf of a peer.
    void serve_commit(const wire::flow_relayed_commit& asked, std::function<void(const wire::flow_message&)> reply);
    // Executes a read on behalf of a peer.
    void serve_read(const wire::flow_relayed_read& asked, std::function<void(const wire::flow_message&)> reply);

    // Processes a message of a peer and returns the answer. `asked`: if the message is an answer, when its request was
    // sent.
    wire::flow_message process_message(instant now, const wire::flow_message& message, std::optional<instant> asked);

    entry_identity self_;
    caller_bounds bounds_;
    waiting_requests waiting_;
    flow_edges direct_; // calls made without a relay
    flow_edges edges_;  // as direct_, but table calls go through a peer while table_away_ is set
    instant ticked_at_{};
    int table_failures_ = 0; // consecutive
    bool table_away_ = false;
    instant table_answered_{}; // when the table last answered this entry
    std::size_t relays_ = 0;
    instant started_at_{};
    bool stopping_ = false;
    instant stop_planned_at_{};
    bool acknowledgement_wait_ended_ = false; // a planned stop no longer waits for unacknowledged rows
    std::optional<flow_config> config_;
    std::string config_text_;
    std::int64_t config_checksum_ = 0;
    row_version config_row_; // version of the row that config_ was read from; 0: not known
    config_checks config_checks_;
    operator_feed operator_feed_;
    int operator_failures_ = 0;           // consecutive watch calls without an answer
    settings_version newest_reported_;    // by a peer since the start, readable as far as known
    std::optional<instant> behind_since_; // since when a newer configuration than that of this entry is known of
    bool config_usable_ = false;          // recent enough to accept jobs by
    bool config_was_newest_ = false;      // the configuration was the newest known one at some time since the start
    settings_version config_unreadable_;  // version that was copied completely from a peer but could not be parsed
    known_evacuations evacuations_;
    config_copy copy_;
    config_sources copy_sources_;
    config_reader_slots copy_readers_;
    bool copying_ = false; // a request for a piece is under way
    instant next_piece_{};
    instant next_unknown_queue_line_{};
    instant next_pending_line_{};
    instant next_pending_refusal_line_{};
    std::map<entry_id, peer> peers_;
    std::map<cell_id, std::unique_ptr<flow_cell>> cells_;
    std::map<cell_id, data_centre_id> cell_places_;
    std::map<cell_id, std::int64_t> assigned_cpu_; // processor time assigned to each cell since its last news
    std::map<rack_id, cell_id> racks_;
    std::map<data_centre_id, data_centre_cells> layouts_;
    bool layouts_known_ = false; // the layouts were read at least once
    bool reading_layouts_ = false;
    instant layouts_read_at_{}; // when the last answered read of the layouts was sent
    instant next_layouts_read_{};
    news_watch news_watch_;
    instant next_watch_{};
    news_read news_read_;
    instant next_news_line_{};
    instant next_news_behind_line_{};
    std::map<cell_id, int> ranks_; // this entry's rank as a candidate owner of each cell
    instant next_ranks_{};
    std::vector<wire::flow_cell_news> own_news_;
    instant own_news_at_{};
    std::int64_t own_job_bytes_left_ = 0;
    std::int64_t recurring_job_bytes_left_ = 0;
    instant own_job_bytes_at_{};
    absl::flat_hash_map<job_id, tracked_job> tracked_jobs_;
    std::deque<job_id> remembered_jobs_; // accepted and tracked, the one that has been so longest first
    std::map<job_row_name, unacknowledged_row> unacknowledged_rows_;
    int handing_on_ = 0; // reads of hand_on_job() under way
    pending_counts pending_;
    instant own_counts_at_{};
    std::vector<pending_request> pending_requests_; // requests that wait for the read of the cells' rows
    pending_read pending_read_;
    instant pending_cells_read_at_{}; // when the last complete read of the cells' rows was sent
    instant next_pending_read_{};
    std::map<net_address, std::vector<wire::flow_state_news>> state_news_;
    unusable_entries unusable_;
    known_workers workers_;
    instant next_list_{};
    bool listing_ = false;
    bool asking_for_list_ = false;
    instant next_list_ask_{};
    std::int64_t takeovers_listed_ = 0; // number of takeovers when the worker list was last requested
    instant next_hello_{};
    entry_id members_told_; // the peer that was sent the list of entries last
    instant next_entries_read_{};
    instant next_row_resend_{};
    instant next_cancel_spread_{};
    bool legacy_jobs_absent_ = false; // the table holds no jobs of an earlier release, so cells may be owned
    std::int64_t accept_count_ = 0;
    flow_entry_stats stats_;
};

} // namespace skylarkhub
