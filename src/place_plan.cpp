// First fit in queue order: urgent work first, then the longest waiting.
#include <algorithm>
#include <tuple>

#include <absl/container/flat_hash_set.h>

#include "place_p.h"

namespace skylarkhub {

struct placement::state {
    place_settings settings;
};

placement::placement(place_settings settings) : state_(std::make_unique<state>())
{
    change_settings(std::move(settings));
}
placement::~placement() = default;
placement::placement(placement&&) noexcept = default;
placement& placement::operator=(placement&&) noexcept = default;

void placement::change_settings(place_settings settings)
{
    state_->settings = std::move(settings);
}

void placement::learn_usage(instant, const task_id&, const job_spec&, const resources&) {}
void placement::learn_interference(instant, const task_id&, const job_spec&, double,
                                   const std::vector<const job_spec*>&)
{}
void placement::learn_end(instant, const task_id&, const job_spec&, const worker_id&, attempt_end, const std::string&)
{}

bool placement::quarantined(const worker_id&, instant) const
{
    return false;
}

namespace {

std::vector<const place_task*> queue_order(const std::vector<place_task>& tasks)
{
    std::vector<const place_task*> queue;
    for (const place_task& task : tasks) {
        if (!task.running && task.spec != nullptr) {
            queue.push_back(&task);
        }
    }
    std::sort(queue.begin(), queue.end(), [](const place_task* a, const place_task* b) {
        const int urgency_a = -static_cast<int>(a->spec->urgency);
        const int urgency_b = -static_cast<int>(b->spec->urgency);
        return std::tie(urgency_a, a->queued_since, a->task) < std::tie(urgency_b, b->queued_since, b->task);
    });
    return queue;
}

bool fits_nowhere(const resources& need, const std::vector<place_worker>& workers)
{
    return !workers.empty() && std::none_of(workers.begin(), workers.end(),
                                            [&](const place_worker& worker) { return fits(need, worker.capacity); });
}

} // namespace

place_plan placement::plan(instant, const std::vector<place_task>& tasks, const std::vector<place_worker>& workers)
{
    place_plan out;
    std::vector<resources> room;
    room.reserve(workers.size());
    for (const place_worker& worker : workers) {
        room.push_back(worker.capacity - worker.committed);
    }
    absl::flat_hash_set<job_id> parked;
    for (const place_task* task : queue_order(tasks)) {
        const resources need = task->spec->declared;
        if (fits_nowhere(need, workers)) {
            if (parked.insert(task->task.job).second) {
                out.parks.push_back({task->task.job, "declared size exceeds every worker"});
            }
            continue;
        }
        for (std::size_t i = 0; i < workers.size(); ++i) {
            if (workers[i].usable && fits(need, room[i])) {
                room[i] = room[i] - need;
                out.starts.push_back({task->task, workers[i].worker, need});
                break;
            }
        }
    }
    return out;
}

} // namespace skylarkhub
