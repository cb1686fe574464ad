// One data centre's entries, each with the product's own cell, around a fake table and fake workers, in virtual time.
// Carries actions to the fakes and events back, with latencies and faults, and writes down what truly happened.
#pragma once

#include <absl/random/random.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cell_p.h"
#include "history_p.h"
#include "support_table.h"
#include "support_worker.h"

namespace skylarkhub::test {

// What becomes of one question and its answer.
enum class exchange_fault : std::uint8_t { none, answer_lost, answer_late, answer_twice, effect_late };

struct world_options {
    std::uint64_t seed = 1;
    int entries = 3;
    int workers = 4;
    cell_settings settings;
    fake_worker_options worker;
    // Safeguards, which tests take away one by one to see the checker object.
    bool table_checks = true;          // a commit conflicts with a newer version
    bool durable_before_answer = true; // a submission is told once it is in the table
    std::function<void(int entry, cell_settings& settings)> misconfigure; // one entry differs from the others
};

// The kinds of work that the brief names, as far as the batch path tells them apart.
std::vector<work_kind> brief_kinds();

class world {
public:
    // Names of what an entry is about to do, or has just done when `done`; an action may be several steps at once.
    using step_hook = std::function<void(int entry, const std::vector<std::string>& steps, bool done)>;

    explicit world(world_options options);

    // --- script ---
    void at(duration since_start, std::function<void()> what);
    void run_for(duration d);
    // Runs until every accepted job has ended and all is quiet, at most for `limit` after the last fault is
    // over. False when the limit came first.
    bool run_until_quiet(duration limit);
    void submit(const std::string& key, job_spec spec);
    void cancel(const std::string& key); // once its submission was accepted
    void stop_by_plan(int entry);
    void set_leaving(int worker, bool leaving)
    {
        workers_[static_cast<std::size_t>(worker)].machine.set_leaving(leaving);
    }

    // --- faults; each heals by itself after its time ---
    void kill(int entry, duration away);
    void freeze(int entry, duration d);
    void cut_from_peers(int entry, duration d);
    void cut_from_platform(int entry, duration d);
    void cut_from_worker(int entry, int worker, duration d);
    void lose_worker(int worker, duration d);
    void stop_store(duration d);
    void slow_store(duration d);
    void freeze_lists(duration d);
    void skew_wall(int entry, duration by);
    void drift(int entry); // the entry's clock at one end of the allowed drift, all others at the other
    void fault_exchange(exchange_fault fault); // of the step being taken

    // Each alternative of cell_action and worker_command, by its name in the code.
    static std::vector<std::string> step_kinds();
    void set_step_hook(step_hook hook) { step_hook_ = std::move(hook); }

    // --- what happened ---
    const history& record() const { return history_; }
    std::optional<int> owner() const; // an entry that says it owns, the newest epoch first
    int entry_count() const { return static_cast<int>(entries_.size()); }
    int worker_count() const { return static_cast<int>(workers_.size()); }
    int worker_addressed() const { return worker_addressed_; } // by the newest command
    const cell_stats* stats(int entry) const;
    std::int64_t overcommits_refused() const;
    std::int64_t notices(const std::string& event) const;
    wall_time now() const { return now_; }

private:
    struct hold_question {
        int asker = 0;
        int asker_life = 0;
        instant asked;
        duration promise{0};
        exchange_fault fault = exchange_fault::none;
    };
    struct inbound {
        cell_event event;
        std::optional<hold_question> question;
    };
    struct outbound {
        cell_action action;
        std::optional<hold_question> question;
        bool announced = false;
    };
    struct entry_state {
        std::string name;
        int life = 0;
        incarnation_id self;
        std::optional<cell> machine; // empty while down
        wall_time clock_set;
        instant clock_then;
        double clock_rate = 1;
        duration wall_skew{0};
        wall_time frozen_until;
        wall_time peers_cut_until;
        wall_time platform_cut_until;
        std::map<int, wall_time> worker_cut_until;
        std::deque<inbound> held;
        std::deque<outbound> outbox;
        std::map<incarnation_id, wall_time> members; // when last heard of
        std::int64_t ticks = 0;
    };
    struct worker_state {
        fake_worker machine;
        wall_time down_until;
        wall_time lost_at;
    };
    struct caller_request {
        std::string key;
        job_spec spec;
        bool is_cancel = false;
        int entry = 0; // where it is tried next
        int tries = 0;
    };

    entry_state& entry(int e) { return entries_[static_cast<std::size_t>(e)]; }
    const entry_state& entry(int e) const { return entries_[static_cast<std::size_t>(e)]; }
    worker_state& worker(int w) { return workers_[static_cast<std::size_t>(w)]; }
    int find_worker(const worker_id& id) const;
    int find_entry(const incarnation_id& self) const; // -1 when that life is over
    instant clock(int e) const;
    bool frozen(int e) const { return entry(e).frozen_until > now_; }
    duration latency();
    duration store_latency();
    bool store_reachable(int e) const;
    bool worker_reachable(int e, int w) const;
    bool peers_reachable(int a, int b) const;

    void after(duration d, std::function<void()> what);
    void note_fault(duration d);
    void boot(int e);
    void end_process(int e, duration away);
    void thaw(int e);
    void tick(int e);
    void tell_lists(int e);
    void deliver(int e, int life, inbound in);
    void decide(int e, const inbound& in);
    void flush(int e);
    bool take_step(int e, const std::vector<std::string>& steps, bool done);

    void carry(int e, outbound out);
    // `act` runs at the far end, what it returns is delivered; `failed` is delivered when no answer came.
    void exchange(int e, duration one_way, duration timeout, const std::function<bool()>& reachable,
                  const std::function<cell_event()>& act, const cell_event& failed);
    void carry_commit(int e, table_transaction transaction);
    void carry_to_worker(int e, const worker_request& request);
    void carry_question(int e, const ask_hold& question);
    void carry_answer(int e, const answer_hold& answer, const hold_question& question);
    std::vector<std::string> steps_of(const cell_action& action) const;
    std::vector<std::string> steps_of(const table_transaction& transaction) const;

    void try_request(const caller_request& request);
    void end_request(const caller_request& request);
    void observe_write(const std::string& key, const table_row* before, const std::optional<std::string>& after);

    world_options options_;
    std::mt19937_64 random_;
    wall_time now_;
    wall_time start_;
    std::uint64_t events_added_ = 0;
    std::map<std::pair<wall_time, std::uint64_t>, std::function<void()>> events_;
    history history_;
    fake_table table_;
    std::vector<entry_state> entries_;
    std::vector<worker_state> workers_;
    wall_time healed_; // when the newest fault is over
    wall_time store_down_until_;
    wall_time store_slow_until_;
    wall_time lists_stale_until_;
    exchange_fault next_fault_ = exchange_fault::none;
    int worker_addressed_ = 0;
    step_hook step_hook_;
    int requests_open_ = 0;
    int script_open_ = 0;
    std::map<task_id, bool> open_; // of accepted jobs that end: true while not ended
    std::map<std::string, std::int64_t> notices_;
};

} // namespace skylarkhub::test
