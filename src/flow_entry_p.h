// One entry's part in flows: what callers ask, the peers it knows, the configuration in force, and the cells it owns or
// watches. Holds no lock and does no I/O: the daemon calls it under one lock and carries out what it asks of its edges.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

#include "flow_cell_p.h"
#include "flow_config_copy_p.h"
#include "flow_edges_p.h"
#include "flow_layout_p.h"
#include "flow_pending_p.h"
#include "flow_unusable_p.h"

namespace skylarkhub {

// --- what callers ask and are told ---

enum class caller_verb : std::uint8_t { submit, state, cancel };

struct caller_request {
    caller_verb verb = caller_verb::state;
    std::string host;
    std::string path;
    std::optional<flow_spec> spec; // of a submit; empty when the body was no such thing
    std::string problem;           // why not
    duration request_timeout{0};   // how long the caller waits; 0: not said
};

enum class caller_result : std::uint8_t {
    accepted,
    state,
    pending,
    cancelled,
    unknown_queue, // no such queue in the configuration
    unknown_job,
    invalid,
    rejected,       // did not run and never will on account of this request
    retry_later,    // not known now; nothing was done
    outcome_unknown // the write may be in force or not
};
struct caller_answer {
    caller_result result = caller_result::retry_later;
    flow_state state = flow_state::queued;
    std::int64_t pending = 0;
    duration retry_delay{0}; // 0: not said
    std::string reason;
};
using caller_reply = std::function<void(caller_answer)>;

class flow_entry {
public:
    flow_entry(entry_identity self, flow_edges edges);
    flow_entry(const flow_entry&) = delete;
    flow_entry& operator=(const flow_entry&) = delete;

    // Registers the entry and begins to learn; call once.
    void begin(instant now);
    // After every event.
    void run_deferred_work(instant now);
    // Fit to take callers.
    bool ready() const;
    void plan_stop(instant now);
    // Nothing is left to wait for; only after plan_stop().
    bool stopped() const;

    void on_request(instant now, const caller_request& request, caller_reply reply);
    // `reply` is called once, at once or when the table has answered a call made for the sender.
    void on_message(instant now, const wire::flow_message& message,
                    const std::function<void(const wire::flow_message&)>& reply);

    const flow_entry_stats& stats() const { return stats_; }
    settings_version config_version() const { return config_ ? config_->version : settings_version(0); }
    // The newest version that this entry or a peer it hears has in force.
    settings_version newest_config_version(instant now) const;
    const std::map<cell_id, std::unique_ptr<flow_cell>>& cells() const { return cells_; }
    const std::map<rack_id, cell_id>& racks() const { return racks_; }

private:
    struct peer {
        entry_identity identity;
        instant heard{};
        bool ever_heard = false;
        bool leaving = false;
        bool telling = false;
        bool table_away = false;
        instant table_answered{}; // when the table last answered it
        std::int64_t sent_ms = 0; // of the hello that was heard last, on its clock
        settings_version config;  // in force there
        std::vector<wire::flow_cell_news> cells;
    };
    // A caller who asks how many jobs of a queue wait.
    struct pending_question {
        queue_id queue;
        instant asked{};
        caller_reply reply;
    };
    // Of the counts in the rows of cells, brought up to date with what was accepted since.
    struct pending_reading {
        bool under_way = false;
        std::map<cell_id, pending_count> counts;
    };
    // A job this entry answers callers for.
    struct followed_job {
        bool accepted = false; // durable
        bool accepting = false;
        flow_state state = flow_state::queued;
        instant checked{}; // when `state` was last known to be so
        instant asked{};   // first, of the try under way
        std::vector<caller_reply> waiting_accept;
        std::vector<caller_reply> waiting_state;
        bool reading = false;
    };
    // What a caller is told whose job is not taken.
    struct refusal {
        std::string reason;
        duration retry_delay{0};
    };
    // A row that the owner of its cell has not taken note of yet.
    struct untold_row {
        wire::flow_job_row row;
        std::string bytes;
        row_version version;
        bool telling = false;
    };
    // A look at the news of jobs by reads, which go through a peer where a look does not.
    struct news_reading {
        std::vector<std::pair<cell_id, store_range>> unread;
        std::map<cell_id, epoch> cells; // whose news are read
        instant asked{};
        bool whole = true; // all of it was read
        int under_way = 0;
        std::int64_t answered = 0;
        std::int64_t rows = 0; // newer than what the owner knows by a look
    };
    // One data centre: which of its racks are in which cell, and what the platform's list showed last.
    struct data_centre_cells {
        cell_layout layout;
        row_version version; // of its row; 0: there is none
        rack_workers listed;
        instant changed_at{};   // `listed`
        instant unlaid_since{}; // a listed rack is in no cell; instant{}: all are
        bool writing = false;
    };

    // flow_front.cpp
    const flow_queue* match_queue(const std::string& host, const std::string& path) const;
    void submit(instant now, const flow_queue& queue, const job_id& job, const caller_request& request, instant give_up,
                caller_reply reply);
    std::optional<cell_id> choose_cell(instant now, const flow_queue& queue, const flow_spec& spec);
    bool has_lasting_room(instant now, const job_id& job, const flow_queue& queue, const flow_spec& spec);
    void refuse_unless_there(const job_id& job, const refusal& why, caller_reply reply);
    std::vector<wire::flow_cell_news>& own_news(instant now);
    template <class Weigh> void each_news(instant now, Weigh&& weigh);
    void write_job(const job_id& job, const wire::flow_job_row& row, instant give_up, int tries, bool may_be_in_force);
    void on_job_written(instant now, const job_id& job, const wire::flow_job_row& row, instant give_up, int tries,
                        bool may_be_in_force, const store_result& result);
    void answer_accept(instant now, const job_id& job, const caller_answer& answer);
    void ask_state(instant now, const job_id& job, caller_reply reply);
    void read_state(const job_id& job);
    void note_state(instant now, const job_id& job, flow_state state);
    void cancel(const job_id& job, instant give_up, caller_reply reply);
    void write_cancel(const job_id& job, const cell_id& cell, instant give_up, caller_reply reply);
    void notify_cell_owner(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version);
    void look_for_earlier_jobs(int part);
    void tell_owner(instant now, const job_row_name& name);
    std::optional<std::pair<cell_id, epoch>> find_cell_with_room(instant now, const cell_id& from,
                                                                 const std::string& service, const flow_step& step,
                                                                 room_kind kind);
    double non_filling_cpu_share(instant now, const std::string& service);
    std::vector<flow_cell_room> list_cells_with_room(instant now, const cell_id& from, const std::string& service,
                                                     const flow_step& step);
    void tell_states();

    // flow_entry_pending.cpp
    void ask_pending(instant now, const queue_id& queue, caller_reply reply);
    void read_pending(instant now);
    void on_pending_rows(instant now, instant asked, const store_page& page);
    void look_for_accepted(instant now);
    void on_accepted_seen(instant now, instant asked, row_version after, const store_page& page);
    void end_pending_reading(instant now, const std::string& outcome);
    void keep_pending_counts(instant now);
    void note_own_counts(instant now);
    bool counts_all(instant now, instant whole_at) const;
    bool may_miss_cells(instant now) const;
    std::variant<std::int64_t, counts_missing> count_pending(instant now, const queue_id& queue);
    void tell_pending(instant now, const pending_question& question, std::int64_t jobs);
    void refuse_pending(instant now, const pending_question& question, const counts_missing& missing,
                        const std::string& table);
    void tell_count(instant now, wire::flow_cell_news& news) const;
    void note_pending(instant told_at, const wire::flow_cell_news& news);
    void refuse_late_questions(instant now);

    // flow_peers.cpp
    void register_self();
    void read_entries(instant now);
    void learn(const wire::flow_entry_row& row);
    void tell_peers(instant now, bool everyone);
    void send_message(instant now, peer& p, const wire::flow_message& message);
    wire::flow_hello hello(instant now, bool with_members);
    static void echo_to(instant now, const peer& p, wire::flow_hello& hello);
    std::optional<instant> sent_after(instant now, const wire::flow_hello& hello) const;
    bool on_hello(instant now, const wire::flow_hello& hello, std::optional<instant> asked);
    bool heard(const peer& p, instant now) const;
    const peer* owner_of(instant now, const cell_id& cell) const;
    cell_candidacy candidacy(instant now, const flow_cell& cell) const;

    // flow_cells.cpp
    void list_workers();
    void on_workers(instant now, flow_worker_list list);
    void refuse_unknown_services(flow_worker_list& list) const;
    void note_unusable(instant now, const std::vector<flow_unusable_entry>& entries);
    void read_layouts(instant now);
    void take_layout(instant now, const store_row& row);
    void lay_racks(instant now);
    void write_layout(instant now, const data_centre_id& data_centre);
    flow_cell& cell_of(const cell_id& id, const data_centre_id& data_centre);
    void watch_jobs(instant now);
    static row_version shown_by(const store_page& page, row_version after);
    void on_jobs_changed(instant now, instant asked, row_version after, const store_page& page);
    std::int64_t take_news(instant now, row_version after, const std::vector<store_row>& rows);
    void read_news(instant now);
    void read_next_news(instant now);
    void on_news_read(instant now, const cell_id& id, store_range range, const store_page& page);
    void rank_cells(instant now);
    entry_id live_owner(instant now, const cell_id& id, const flow_cell& cell) const;

    // flow_entry.cpp
    void tick(instant now);
    void tick_cells(instant now);
    flow_cell_hooks make_hooks();

    // flow_config.cpp
    void watch_operator(instant now);
    void take_config(instant now, flow_config config, std::string text, const char* from);
    void note_config(instant now, peer& p, settings_version version);
    void judge_config(instant now);
    bool knows_newest_config(instant now) const;
    void follow_config(instant now);
    void ask_for_config(instant now, const entry_id& source);
    void on_config_piece(instant now, const entry_id& source, duration took,
                         const std::optional<wire::flow_message>& answer);
    void take_copy(instant now);
    wire::flow_message serve_config(instant now, const wire::flow_config_ask& ask);
    void note_unknown_queue(instant now, const caller_request& request);

    // flow_relay.cpp
    void commit(store_transaction transaction, std::function<void(instant, store_result)> done);
    void read(store_range range, std::function<void(instant, store_page)> done);
    void note_table(instant now, bool answered, const std::string& reason);
    bool table_outage(instant now, instant since) const;
    void probe_table();
    std::optional<net_address> relay_peer();
    void serve_commit(const wire::flow_relayed_commit& asked, std::function<void(const wire::flow_message&)> reply);
    void serve_read(const wire::flow_relayed_read& asked, std::function<void(const wire::flow_message&)> reply);

    // `asked`: when, of an answer.
    wire::flow_message take_message(instant now, const wire::flow_message& message, std::optional<instant> asked);

    entry_identity self_;
    flow_edges direct_; // what this entry reaches itself
    flow_edges edges_;  // the same, but for the table, which is reached through a peer while it turns this entry away
    instant ticked_at_{};
    int table_failures_ = 0; // in a row
    bool table_away_ = false;
    instant table_answered_{}; // when the table last answered this entry
    std::size_t relays_ = 0;
    instant begun_{};
    bool leaving_ = false;
    instant stop_planned_at_{};
    bool untold_left_ = false; // a planned stop waits no longer for rows that no owner has taken note of
    std::optional<flow_config> config_;
    std::string config_text_;
    std::int64_t config_checksum_ = 0;
    row_version operator_seen_;
    bool config_just_came_ = false;       // with the newest answer of the table
    bool operator_answered_ = false;      // the table has, in this life
    int operator_failures_ = 0;           // looks without an answer, in a row
    instant config_newest_at_{};          // until then the table had none that is newer than this entry's
    std::optional<instant> behind_since_; // a peer has told of a newer configuration than this entry's
    bool config_usable_ = false;          // new enough to take jobs by
    bool config_was_newest_ = false;      // in this life
    settings_version config_unreadable_;  // came whole from a peer, and cannot be read here
    config_copy copy_;
    config_sources copy_sources_;
    config_readers copy_readers_;
    bool copying_ = false; // a piece is asked for
    instant next_piece_{};
    instant next_unknown_queue_line_{};
    instant next_pending_line_{};
    instant next_pending_refusal_line_{};
    std::map<entry_id, peer> peers_;
    std::map<cell_id, std::unique_ptr<flow_cell>> cells_;
    std::map<cell_id, data_centre_id> cell_places_;
    std::map<cell_id, std::int64_t> assigned_cpu_; // to a cell since its last news
    std::map<rack_id, cell_id> racks_;
    std::map<data_centre_id, data_centre_cells> layouts_;
    bool layouts_known_ = false; // read at least once
    bool reading_layouts_ = false;
    instant layouts_read_at_{}; // asked for, when the newest answer came
    instant next_layouts_read_{};
    bool watching_jobs_ = false;
    instant next_watch_{};
    news_reading news_reading_;
    instant next_news_line_{};
    std::map<cell_id, int> ranks_; // this entry's, as an owner of each cell
    instant next_ranks_{};
    std::vector<wire::flow_cell_news> own_news_;
    instant own_news_at_{};
    absl::flat_hash_map<job_id, followed_job> followed_;
    std::map<job_row_name, untold_row> untold_;
    pending_counts pending_;
    instant own_counts_at_{};
    std::vector<pending_question> pending_questions_; // until the cells' rows have been read
    pending_reading pending_reading_;
    instant pending_cells_read_at_{}; // asked for, of all cells
    instant next_pending_read_{};
    std::map<net_address, std::vector<wire::flow_state_news>> state_news_;
    unusable_entries unusable_;
    instant next_list_{};
    bool listing_ = false;
    std::int64_t takeovers_listed_ = 0; // takeovers of cells when the list was last asked for
    instant next_hello_{};
    instant next_members_{};
    instant next_entries_read_{};
    instant next_untold_{};
    bool may_own_ = false; // there are no jobs of an earlier release
    std::int64_t accept_count_ = 0;
    flow_entry_stats stats_;
};

} // namespace skylarkhub
