// One run of placement::plan over a snapshot of a cell.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "place_memory_p.h"
#include "place_room_p.h"

namespace skylarkhub::detail {

inline constexpr std::uint32_t no_index = ~std::uint32_t{0};

// Order of the queue: urgent work and whatever must answer in time, then normal, then patient work.
enum class queue_rank : std::uint8_t { first, normal, patient };
inline constexpr std::size_t queue_rank_count = 3;

// What all tasks with one spec have in common.
struct spec_view {
    const job_spec* spec = nullptr;
    size_key size;
    name_index batch_class = any_name;
    std::uint32_t team = 0;
    resources need;   // to commit at a start
    double cpu = 0;   // typical use, in thousandths
    double limit = 0; // of a service's slowdown
    std::int32_t running = 0;
    std::vector<std::uint32_t> queued;
};

struct task_view {
    const place_task* task = nullptr;
    std::uint32_t spec = 0;
    std::uint32_t worker = no_index;
    std::int32_t percent = 100;                 // of its processors, as planned
    const size_book::measured* known = nullptr; // null when never measured
    double demand = 0;                          // processors it would take without a throttle, in thousandths
    bool movable = false;                       // may be throttled or evicted
};

// Processors that the task takes as planned, in thousandths.
inline double use_of(const task_view& task)
{
    return task.demand * task.percent / 100;
}

// A service task under the interference of its worker.
struct service_view {
    std::uint32_t task = 0;
    double limit = 0;
    double slowdown = 1;
    double variance = 0;
    bool measured = false; // at least once; before that nothing is throttled for it
};

struct worker_view {
    const place_worker* worker = nullptr;
    worker_standing standing = worker_standing::good;
    std::uint32_t rack = 0;
    resources room;    // what the ledger leaves, whether or not anything may start there
    resources leaving; // committed for tasks that are on their way out
    std::vector<std::uint32_t> batch;
    std::vector<service_view> services;
    bool untried = false;    // holds a batch task too young to tell whether it fails there
    double cpu_capacity = 1; // in thousandths
    std::int64_t memory_peak = 0;
    double cpu_load = 0; // thousandths in use, as planned
};

struct team_view {
    double share = 1;
    resources quota;
    resources committed; // everything of the team
    resources batch;     // without services, which are no part of fair shares
    std::array<std::vector<std::uint32_t>, queue_rank_count> groups; // specs with queued tasks
};

// Counts of a service's tasks on one worker, or in one rack.
std::uint64_t service_count_key(name_index service, std::uint32_t where, bool rack);

class placement_pass {
public:
    placement_pass(placement_memory& memory, instant now, const std::vector<place_task>& tasks,
                   const std::vector<place_worker>& workers);

    place_plan run();

private:
    // place_view.cpp: the snapshot
    void view_workers(const std::vector<place_worker>& workers);
    void view_capacities(const std::vector<place_worker>& workers);
    void view_tasks(const std::vector<place_task>& tasks);
    void view_task(const place_task& task);
    void view_service(const place_task& task, std::uint32_t index, worker_view& worker);
    void view_running(task_view& view, std::uint32_t index);
    std::uint32_t view_spec(const job_spec* spec);
    std::uint32_t view_team(const team_id& team);
    void view_services();
    void keep_loads();
    static double demand_of(const task_view& task, const spec_view& spec);
    std::vector<class_load> loads_of(const worker_view& worker) const;

    // place_react.cpp: what runs already
    void resize_running();
    void take_room(std::uint32_t worker, const resources& taken);
    static std::int64_t memory_of(const task_view& task);
    void relieve_memory(std::uint32_t index);
    void relieve_processors(std::uint32_t index);
    static bool pressed(const worker_view& worker);
    void relieve_services(std::uint32_t index);
    double harm_rate(const worker_view& worker, std::uint32_t index) const;
    void refill_budget();
    bool lower_one(std::uint32_t index, bool for_processors);
    bool raise_one(std::uint32_t index);
    bool calm_with(const worker_view& worker, const spec_view& batch, double cpu) const;
    void change_percent(std::uint32_t worker, std::uint32_t index, std::int32_t percent);
    void tell_throttles();
    double eviction_cost(std::uint32_t index) const;
    void evict(std::uint32_t index, const std::string& reason);
    bool evicting(const place_task& task) const;
    bool make_room(std::uint32_t task);
    std::vector<std::uint32_t> victims_for(std::uint32_t index, const resources& need, double& cost) const;

    // place_queue.cpp: what waits
    queue_rank rank_of(const spec_view& spec) const;
    bool within_quota(const team_view& team, const resources& need) const;
    double share_used(const team_view& team) const;
    std::optional<std::string> limit_need(spec_view& spec) const;
    void park(const job_id& job, const std::string& reason);
    void drop_unfit(spec_view& spec);
    void queue_groups();
    void hold_promised();
    void hold_reservations();
    void move_leaving();
    bool may_start_anew(std::uint32_t index);
    bool hold_place(std::uint32_t index);
    // none: nothing is reserved. waits: room is being made. fits: the task fits on the worker now.
    enum class reserved_room : std::uint8_t { none, waits, fits };
    std::pair<reserved_room, std::uint32_t> take_back_reserved(std::uint32_t index);
    void start_probes();
    void start_probe(std::uint32_t worker);
    bool risks_nothing(const job_spec& spec) const;
    void start_rank(queue_rank rank);
    bool start_next(std::uint32_t group, queue_rank rank);
    bool wait_for_room(std::uint32_t index);
    bool start_reserved(std::uint32_t task);
    void start_on(std::uint32_t index, std::uint32_t worker);
    void report_survivors();
    void forget_parked();

    // place_score.cpp: which worker
    std::optional<std::uint32_t> choose(std::uint32_t task, double harm_most);
    double cost_of(const task_view& task, std::uint32_t worker, double harm_most) const;
    double harm_of(const spec_view& spec, const worker_view& worker, double load) const;
    double spread_cost(const spec_view& spec, std::uint32_t worker) const;
    slope slope_of(name_index service, name_index batch_class, name_index family) const;
    void add_load(std::uint32_t worker, const spec_view& batch, double cpu);

    placement_memory& memory_;
    instant now_;
    place_plan plan_;
    std::vector<worker_view> workers_;
    std::vector<task_view> tasks_;
    std::vector<spec_view> specs_;
    std::vector<team_view> teams_;
    absl::flat_hash_map<worker_id, std::uint32_t> worker_index_;
    absl::flat_hash_map<rack_id, std::uint32_t> rack_index_;
    absl::flat_hash_map<const job_spec*, std::uint32_t> spec_index_;
    absl::flat_hash_map<team_id, std::uint32_t> team_index_;
    absl::flat_hash_map<std::uint64_t, std::int32_t> service_counts_; // by (service, worker) and (service, rack)
    mutable absl::flat_hash_map<std::uint64_t, slope> slopes_;        // by (service spec, batch class, family)
    resources total_capacity_;
    room_tree rooms_;
    int searches_left_ = 0; // for work to evict
};

} // namespace skylarkhub::detail
