// What placement remembers between two plans.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <vector>

#include "place_blame_p.h"
#include "place_harm_p.h"
#include "place_p.h"
#include "place_size_p.h"

namespace skylarkhub::detail {

// The batch load of one worker as it was planned at one time, so that a late measurement meets the placement it was
// taken under.
struct load_view {
    instant at{};
    std::vector<class_load> loads;
};

struct worker_past {
    std::deque<load_view> views;
    instant lowered{};      // last time a task there was throttled further
    bool throttled = false; // some task there may be throttled
    instant eased{};        // last time no service there was pressed beyond what throttles can do
    instant seen{};
};

// Where a service task ran when last planned.
struct service_site {
    worker_id worker;
    double cpu_capacity = 0;
    instant first_seen{};
    instant seen{};
    bool measured = false; // its slowdown was measured at least once
};

// A stop that was asked for; until it is confirmed or the time is over, it is not asked for again.
struct pending_eviction {
    attempt_number attempt;
    instant until{};
};

// Room on a worker that is kept for a task, or being made for it.
struct reservation {
    worker_id worker;
    resources need;
    instant until{};
    bool drains = false;   // nobody is evicted for it: it waits for tasks to end
    bool promised = false; // the task's run was ended for it
};

struct seen_capacity {
    resources capacity;
    instant seen{};
};

struct placement_memory {
    place_settings settings;
    size_book sizes;
    harm_model harm;
    blame_book blame;
    absl::flat_hash_map<worker_id, worker_past> past;
    absl::flat_hash_map<task_id, service_site> sites;
    absl::flat_hash_map<task_id, instant> throttled; // last time the task was seen throttled
    absl::flat_hash_map<task_id, pending_eviction> evicting;
    absl::flat_hash_map<task_id, instant> evicted; // last eviction, so that one task isn't evicted again and again
    absl::flat_hash_map<task_id, reservation> reserved;
    absl::flat_hash_map<job_id, instant> parked; // when last seen in the queue after it was parked
    std::vector<seen_capacity> capacities;       // distinct ones
    double eviction_budget = 1;                  // evictions that may be spent on interference now
    instant last_plan{};
    instant last_sweep{};
    std::size_t cursor = 0; // where the next search for room starts
};

size_key size_key_of(const job_spec& spec);
name_index batch_class_of(const job_spec& spec);
// Forgets what no task, worker or job is left for.
void sweep(placement_memory& memory, instant now);

name_index site_of(const task_id& service_task);

// Loads of the neighbours of a service task at `taken`; the callers' list with typical sizes when no view is kept.
std::vector<class_load> loads_at(const placement_memory& memory, instant taken, const task_id& service_task,
                                 const std::vector<const job_spec*>& neighbours);

} // namespace skylarkhub::detail
