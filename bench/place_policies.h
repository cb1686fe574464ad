// The policies that are measured: two baselines and the product's own.
#pragma once

#include <algorithm>
#include <limits>
#include <memory>
#include <variant>

#include "place_p.h"

namespace skylarkhub::bench {

// First worker that has room for the declared size.
struct first_fit_policy {};
// The worker that the declared size leaves least room on.
struct best_fit_policy {};
// The product's. `blame_lost_owners` turns its three classes of error into two.
struct learned_policy {
    std::shared_ptr<placement> place;
    bool blame_lost_owners = false;
};
using policy = std::variant<first_fit_policy, best_fit_policy, learned_policy>;

// A baseline gives a job up after so many failed attempts; fewer would park good jobs for bad workers' faults.
inline constexpr int baseline_attempts = 12;

inline std::vector<const place_task*> baseline_queue(const std::vector<place_task>& tasks)
{
    std::vector<const place_task*> queue;
    for (const place_task& task : tasks) {
        if (!task.running) {
            queue.push_back(&task);
        }
    }
    std::stable_sort(queue.begin(), queue.end(), [](const place_task* a, const place_task* b) {
        const int x = a->spec->is_service ? 3 : static_cast<int>(a->spec->urgency);
        const int y = b->spec->is_service ? 3 : static_cast<int>(b->spec->urgency);
        return x != y ? x > y : a->queued_since < b->queued_since;
    });
    return queue;
}

inline place_plan baseline_plan(const std::vector<place_task>& tasks, const std::vector<place_worker>& workers,
                                bool best_fit)
{
    place_plan plan;
    std::vector<resources> room;
    room.reserve(workers.size());
    for (const place_worker& w : workers) {
        room.push_back(w.capacity - w.committed);
    }
    const job_spec* full = nullptr; // the spec that found no room last
    for (const place_task* task : baseline_queue(tasks)) {
        const resources need = task->spec->declared;
        const bool possible =
            std::any_of(workers.begin(), workers.end(), [&](const place_worker& w) { return fits(need, w.capacity); });
        if (!possible || task->attempts_failed >= baseline_attempts) {
            plan.parks.push_back({task->task.job, "gave up"});
            continue;
        }
        if (task->spec == full && task->failed_on.empty()) {
            continue;
        }
        std::size_t best = workers.size();
        std::int64_t least = std::numeric_limits<std::int64_t>::max();
        for (std::size_t i = 0; i < workers.size() && (best_fit || best == workers.size()); ++i) {
            const bool failed_here =
                std::find(task->failed_on.begin(), task->failed_on.end(), workers[i].worker) != task->failed_on.end();
            const std::int64_t left = room[i].cpu_millis - need.cpu_millis;
            if (!failed_here && fits(need, room[i]) && left < least) {
                best = i;
                least = left;
            }
        }
        if (best == workers.size()) {
            full = task->spec;
            continue;
        }
        room[best] = room[best] - need;
        plan.starts.push_back({task->task, workers[best].worker, need});
    }
    return plan;
}

} // namespace skylarkhub::bench
