// The public face of placement: what is learned goes to the books, a plan is one pass over a snapshot.
#include <algorithm>

#include "place_pass_p.h"

namespace skylarkhub {

namespace {

using namespace std::chrono_literals;

constexpr duration sweep_interval = 1min;
constexpr duration task_memory = 10min;  // of tasks that are no longer seen
constexpr duration effect_memory = 6h;   // of sites and families that are no longer measured
constexpr duration throttle_trace = 10s; // a measurement so long after a throttle may still show it

} // namespace

struct placement::state {
    detail::placement_memory memory;
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
    state_->memory.settings = std::move(settings);
}

void placement::learn_usage(instant taken, const task_id& task, const job_spec& spec, const resources& used)
{
    detail::placement_memory& memory = state_->memory;
    const auto seen = memory.throttled.find(task);
    const bool throttled = seen != memory.throttled.end() && taken <= seen->second + throttle_trace;
    memory.sizes.learn(taken, task, detail::size_key_of(spec), spec.declared, used, throttled);
}

void placement::learn_interference(instant taken, const task_id& service_task, const job_spec& service, double slowdown,
                                   const std::vector<const job_spec*>& neighbours)
{
    detail::placement_memory& memory = state_->memory;
    if (const auto site = memory.sites.find(service_task); site != memory.sites.end()) {
        site->second.measured = true;
    }
    memory.harm.learn(taken, detail::site_of(service_task), detail::size_key_of(service).family,
                      detail::loads_at(memory, taken, service_task, neighbours), slowdown);
}

void placement::learn_end(instant now, const task_id& task, const job_spec&, const worker_id& worker, attempt_end end,
                          const std::string& reason)
{
    state_->memory.blame.learn(now, task, worker, end, reason);
}

bool placement::quarantined(const worker_id& worker, instant now) const
{
    const detail::worker_standing standing = state_->memory.blame.standing(worker, now);
    return standing == detail::worker_standing::quarantined || standing == detail::worker_standing::probing;
}

place_plan placement::plan(instant now, const std::vector<place_task>& tasks, const std::vector<place_worker>& workers)
{
    detail::placement_memory& memory = state_->memory;
    place_plan out = detail::placement_pass(memory, now, tasks, workers).run();
    if (now >= memory.last_sweep + sweep_interval) {
        detail::sweep(memory, now);
    }
    return out;
}

namespace detail {

void sweep(placement_memory& memory, instant now)
{
    memory.last_sweep = now;
    memory.sizes.sweep(now, task_memory);
    memory.harm.sweep(now, effect_memory);
    memory.blame.sweep(now);
    absl::erase_if(memory.past, [&](const auto& e) { return e.second.seen + task_memory < now; });
    absl::erase_if(memory.sites, [&](const auto& e) { return e.second.seen + task_memory < now; });
    absl::erase_if(memory.throttled, [&](const auto& e) { return e.second + task_memory < now; });
    absl::erase_if(memory.evicting, [&](const auto& e) { return e.second.until < now; });
    absl::erase_if(memory.evicted, [&](const auto& e) { return e.second + task_memory < now; });
}

place_plan placement_pass::run()
{
    searches_left_ = std::max(64, static_cast<int>(workers_.size() / 8));
    refill_budget();
    hold_promised();
    resize_running();
    for (std::uint32_t worker = 0; worker < workers_.size(); ++worker) {
        relieve_memory(worker);
        relieve_processors(worker);
    }
    report_survivors();
    queue_groups();
    hold_reservations();
    start_probes();
    start_rank(queue_rank::first);
    move_leaving();
    start_rank(queue_rank::normal);
    start_rank(queue_rank::patient);
    tell_throttles();
    forget_parked();
    return std::move(plan_);
}

void placement_pass::report_survivors()
{
    for (const worker_view& worker : workers_) {
        if (!memory_.blame.questioned(worker.worker->worker)) {
            continue;
        }
        for (const std::uint32_t task : worker.batch) {
            memory_.blame.survived(now_, worker.worker->worker, now_ - tasks_[task].task->run_so_far);
        }
    }
}

// A parked job that left the queue and comes back was put back by an operator: it starts with a clean record.
void placement_pass::forget_parked()
{
    absl::erase_if(memory_.parked, [&](const auto& entry) {
        if (entry.second == now_) {
            return false;
        }
        memory_.blame.forget_job(entry.first);
        return true;
    });
}

} // namespace detail

} // namespace skylarkhub
