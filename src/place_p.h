// Placement within one cell: which queued task goes to which worker, what is throttled and what is evicted. Pure: it
// plans on figures it is given; the cell carries the plan out under its fence.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct place_task {
    task_id task;
    attempt_number attempt;
    const job_spec* spec = nullptr; // owned by the caller, outlives the call
    bool latency_critical = false;
    instant queued_since{};
    bool running = false;
    bool leaves = false; // runs on, and moves once a place elsewhere is held for it
    worker_id worker;    // where it runs
    resources committed; // what the ledger holds for it; never above the worker's capacity in sum
    resources used;      // newest measurement
    double progress = 0;
    double checkpoint_progress = 0;
    duration run_so_far{0};
    std::int32_t throttle = 100;
    std::int32_t attempts_failed = 0;
    std::vector<worker_id> failed_on;
};

struct place_worker {
    worker_id worker;
    rack_id rack;
    resources capacity;
    resources committed; // in sum, including tasks that may still run there
    bool usable = true;  // fenced, reachable and not leaving
};

struct place_start {
    task_id task;
    worker_id worker;
    resources committed; // what the ledger is to hold: the declared or learned size, within the room left
};
// The ledger is to hold another amount for a task that runs: more, because it uses more than was believed, or less,
// because it was measured for long enough. Apply before the starts of the same plan; room that a smaller amount frees
// is given away by the next plan only, when the ledger shows it.
struct place_resize {
    task_id task;
    resources committed;
};
// Of the task's processors; the plan counts on it from the next plan on, when place_task::throttle shows it.
struct place_throttle {
    task_id task;
    std::int32_t percent = 100;
};
struct place_evict {
    task_id task;
    std::string reason;
};
// The job can never run, or failed everywhere it was tried: take it out of the queue with the reason.
struct place_park {
    job_id job;
    std::string reason;
};
struct place_plan {
    std::vector<place_resize> resizes;
    std::vector<place_start> starts;
    std::vector<place_throttle> throttles;
    std::vector<place_evict> evictions;
    std::vector<place_park> parks;
};

// How an attempt ended, for learning; `stale_owner` blames neither the worker nor the job.
enum class attempt_end : std::uint8_t { finished, failed, evicted, lapsed, stale_owner };

struct place_settings {
    struct team_share {
        team_id team;
        double share = 1;
        resources quota; // of this cell; 0 in a dimension: no limit there
    };
    // Slowdown at which services of a kind miss their latency target; kinds not named have config::slowdown_limit.
    struct slowdown_limit {
        kind_id kind;
        double slowdown = 0;
    };
    std::vector<team_share> teams;
    std::vector<work_kind> kinds;
    std::vector<slowdown_limit> limits;
};

class placement {
public:
    explicit placement(place_settings settings);
    ~placement();
    placement(placement&&) noexcept;
    placement& operator=(placement&&) noexcept;

    void change_settings(place_settings settings);

    // Measurements that lag: `taken` is when, in this entry's clock; attributed to the placement at that time.
    void learn_usage(instant taken, const task_id& task, const job_spec& spec, const resources& used);
    void learn_interference(instant taken, const task_id& service_task, const job_spec& service, double slowdown,
                            const std::vector<const job_spec*>& neighbours);
    void learn_end(instant now, const task_id& task, const job_spec& spec, const worker_id& worker, attempt_end end,
                   const std::string& reason);

    // True while the worker is kept out because whatever it starts fails there and not elsewhere.
    bool quarantined(const worker_id& worker, instant now) const;

    // Tasks of one cell and its workers, in any order. The plan never commits a worker beyond its capacity.
    place_plan plan(instant now, const std::vector<place_task>& tasks, const std::vector<place_worker>& workers);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace skylarkhub
