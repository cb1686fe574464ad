// What runs already: resizing, throttling, eviction.
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "place_pass_p.h"

namespace skylarkhub::detail {

namespace {

constexpr double shrink_below = 0.8; // of the committed amount; smaller differences aren't worth a write
constexpr std::array<std::int32_t, 5> steps = {100, 75, 50, 25, 10};
constexpr double pressed_above = 0.95; // of a service's limit
constexpr double calm_below = 0.75;
constexpr double cpu_calm = 0.95; // of a worker's processors
constexpr double slope_least = 0.02;
constexpr double restart_seconds = 10; // what a restart costs besides the work lost
constexpr double eviction_least = 60;  // processor seconds that any eviction counts for, however little it loses
constexpr double evicted_lately_factor = 4;
constexpr duration evicted_lately = std::chrono::minutes(10);
constexpr int room_candidates = 48;

// In the order of enum urgency.
constexpr std::array<double, 3> urgency_factor = {1, 2, 8};

double factor_of(const job_spec& spec)
{
    return urgency_factor[static_cast<std::size_t>(spec.urgency)];
}

std::int32_t step_below(std::int32_t percent)
{
    const auto lower = std::find_if(steps.begin(), steps.end(), [&](std::int32_t s) { return s < percent; });
    return lower == steps.end() ? steps.back() : *lower;
}

std::int32_t step_above(std::int32_t percent)
{
    const auto higher = std::find_if(steps.rbegin(), steps.rend(), [&](std::int32_t s) { return s > percent; });
    return higher == steps.rend() ? steps.front() : *higher;
}

double above_limit(const service_view& service)
{
    return (service.slowdown - 1 + 0.5 * std::sqrt(service.variance)) / std::max(0.01, service.limit - 1);
}

std::int64_t grown(std::int64_t committed, std::int64_t target, std::int64_t room)
{
    return committed + std::clamp<std::int64_t>(target - committed, 0, std::max<std::int64_t>(0, room));
}

std::int64_t shrunk(std::int64_t committed, std::int64_t target)
{
    const bool worth_it = static_cast<double>(target) < shrink_below * static_cast<double>(committed);
    return worth_it ? target : committed;
}

} // namespace

void placement_pass::take_room(std::uint32_t worker, const resources& taken)
{
    workers_[worker].room = workers_[worker].room - taken;
    rooms_.set_room(worker, rooms_.room(worker) - taken);
}

// The ledger follows what is measured: more at once, as far as there is room, and less once that is certain. A service
// keeps at least its declared size, whatever it used in quiet hours.
void placement_pass::resize_running()
{
    for (const task_view& task : tasks_) {
        if (task.worker == no_index || task.known == nullptr) {
            continue;
        }
        const spec_view& spec = specs_[task.spec];
        const resources committed = task.task->committed;
        resources target = size_book::for_running(*task.known, spec.need, committed);
        if (spec.spec->is_service) {
            target.cpu_millis = std::max(target.cpu_millis, spec.spec->declared.cpu_millis);
            target.memory_mib = std::max(target.memory_mib, spec.spec->declared.memory_mib);
        }
        const resources room = workers_[task.worker].room;
        const resources more{grown(committed.cpu_millis, target.cpu_millis, room.cpu_millis),
                             grown(committed.memory_mib, target.memory_mib, room.memory_mib), committed.accelerators};
        if (!(more == committed)) {
            take_room(task.worker, more - committed);
        }
        // One that grows in one dimension is not made smaller in another by the same plan: a cell may only grant
        // growth.
        const resources after = more == committed
                                    ? resources{shrunk(committed.cpu_millis, target.cpu_millis),
                                                shrunk(committed.memory_mib, target.memory_mib), committed.accelerators}
                                    : more;
        if (!(after == committed)) {
            plan_.resizes.push_back({task.task->task, after});
        }
    }
}

bool placement_pass::evicting(const place_task& task) const
{
    if (memory_.evicting.empty()) {
        return false;
    }
    const auto it = memory_.evicting.find(task.task);
    return it != memory_.evicting.end() && it->second.attempt == task.attempt && it->second.until > now_;
}

// Processor seconds that stopping the task wastes, weighed by how urgent it is.
double placement_pass::eviction_cost(std::uint32_t index) const
{
    const task_view& task = tasks_[index];
    const place_task& t = *task.task;
    const double ran = std::chrono::duration<double>(t.run_so_far).count();
    const double kept = t.progress > 0 ? std::clamp(t.checkpoint_progress / t.progress, 0.0, 1.0) : 0;
    const double cores = std::max(task.demand, 100.0) / 1000;
    double cost = (eviction_least + (ran * (1 - kept) + restart_seconds) * cores) * factor_of(*t.spec);
    const auto before = memory_.evicted.find(t.task);
    if (before != memory_.evicted.end() && before->second + evicted_lately > now_) {
        cost *= evicted_lately_factor;
    }
    return cost;
}

void placement_pass::evict(std::uint32_t index, const std::string& reason)
{
    task_view& task = tasks_[index];
    plan_.evictions.push_back({task.task->task, reason});
    memory_.evicting[task.task->task] = {task.task->attempt, now_ + config::eviction_wait};
    memory_.evicted[task.task->task] = now_;
    task.movable = false;
    if (task.worker != no_index) {
        add_load(task.worker, specs_[task.spec], -use_of(task));
    }
}

// Memory cannot be throttled: when what was measured no longer fits, the worker would kill tasks of its own choice.
void placement_pass::relieve_memory(std::uint32_t index)
{
    worker_view& worker = workers_[index];
    std::int64_t excess = worker.memory_peak - worker.worker->capacity.memory_mib;
    while (excess > 0) {
        std::uint32_t best = no_index;
        double best_price = std::numeric_limits<double>::infinity();
        for (const std::uint32_t task : worker.batch) {
            const std::int64_t freed = std::min(excess, memory_of(tasks_[task]));
            if (!tasks_[task].movable || freed <= 0) {
                continue;
            }
            const double price = eviction_cost(task) / static_cast<double>(freed);
            if (price < best_price) {
                best_price = price;
                best = task;
            }
        }
        if (best == no_index) {
            return;
        }
        excess -= memory_of(tasks_[best]);
        evict(best, "measured memory exceeds the worker");
    }
}

void placement_pass::relieve_processors(std::uint32_t index)
{
    worker_view& worker = workers_[index];
    if (worker.batch.empty()) {
        return;
    }
    bool lowered = false;
    while (worker.cpu_load > worker.cpu_capacity && lower_one(index, true)) {
        lowered = true;
    }
    while (pressed(worker) && lower_one(index, false)) {
        lowered = true;
    }
    worker_past& past = memory_.past[worker.worker->worker];
    if (!pressed(worker) || past.eased == instant{}) {
        past.eased = now_;
    }
    if (lowered) {
        past.lowered = now_;
        past.throttled = true;
        return;
    }
    if (past.throttled && past.lowered + config::throttle_hold <= now_) {
        past.throttled = raise_one(index);
    }
    if (past.eased + config::throttle_hold <= now_) {
        relieve_services(index);
    }
}

bool placement_pass::pressed(const worker_view& worker)
{
    return std::any_of(worker.services.begin(), worker.services.end(),
                       [](const service_view& s) { return s.measured && above_limit(s) > pressed_above; });
}

// Throttles have done what they can, for longer than the measurements lag, and a service is still too slow: one task
// goes, the one that loses least for the relief it gives. The budget keeps a wrong belief, or a wave of noise that has
// not been measured yet, from emptying the cell.
void placement_pass::relieve_services(std::uint32_t index)
{
    const worker_view& worker = workers_[index];
    std::uint32_t best = no_index;
    double best_price = std::numeric_limits<double>::infinity();
    for (const std::uint32_t t : worker.batch) {
        const double relief = tasks_[t].movable ? harm_rate(worker, t) * use_of(tasks_[t]) : 0;
        if (relief > 0 && eviction_cost(t) / relief < best_price) {
            best_price = eviction_cost(t) / relief;
            best = t;
        }
    }
    if (best != no_index && memory_.eviction_budget >= 1) {
        memory_.eviction_budget -= 1;
        memory_.past[worker.worker->worker].eased = now_;
        evict(best, "slows a service although throttled");
    }
}

// Slowdown that each unit of this task's load adds to the services of the worker that are too slow.
double placement_pass::harm_rate(const worker_view& worker, std::uint32_t index) const
{
    const spec_view& spec = specs_[tasks_[index].spec];
    double rate = 0;
    for (const service_view& s : worker.services) {
        const slope by = slope_of(specs_[tasks_[s.task].spec].size.family, spec.batch_class, spec.size.family);
        rate += s.measured && above_limit(s) > pressed_above && by.mean > slope_least ? by.mean : 0;
    }
    return rate;
}

void placement_pass::refill_budget()
{
    const double workers = static_cast<double>(workers_.size());
    const double passed = std::chrono::duration<double>(now_ - memory_.last_plan) / config::eviction_interval;
    memory_.eviction_budget =
        std::min(std::max(1.0, workers * config::eviction_burst), memory_.eviction_budget + passed * workers);
    memory_.last_plan = now_;
}

// Lowers the task that gives most relief for the progress it loses. False when none is left that would help.
bool placement_pass::lower_one(std::uint32_t index, bool for_processors)
{
    const worker_view& worker = workers_[index];
    std::uint32_t best = no_index;
    double best_gain = 0;
    for (const std::uint32_t t : worker.batch) {
        const task_view& task = tasks_[t];
        if (!task.movable || task.percent <= steps.back()) {
            continue;
        }
        double gain = 0;
        if (for_processors) {
            const double committed = std::max<double>(1, static_cast<double>(task.task->committed.cpu_millis));
            gain = use_of(task) / committed;
        }
        else {
            gain = harm_rate(worker, t);
        }
        gain /= factor_of(*task.task->spec);
        if (gain > best_gain) {
            best_gain = gain;
            best = t;
        }
    }
    if (best == no_index) {
        return false;
    }
    change_percent(index, best, step_below(tasks_[best].percent));
    return true;
}

// Gives one step back to the task that harms least, when all services stay well below their limits with it. True while
// tasks of the worker are throttled.
bool placement_pass::raise_one(std::uint32_t index)
{
    const worker_view& worker = workers_[index];
    std::uint32_t best = no_index;
    double best_harm = std::numeric_limits<double>::infinity();
    bool throttled = false;
    for (const std::uint32_t t : worker.batch) {
        const task_view& task = tasks_[t];
        if (!task.movable || task.percent >= steps.front()) {
            continue;
        }
        throttled = true;
        const spec_view& spec = specs_[task.spec];
        const double more = task.demand * (step_above(task.percent) - task.percent) / 100;
        if (worker.cpu_load + more > cpu_calm * worker.cpu_capacity || !calm_with(worker, spec, more)) {
            continue;
        }
        const double harm = harm_of(spec, worker, more / worker.cpu_capacity) / factor_of(*spec.spec);
        if (harm < best_harm) {
            best_harm = harm;
            best = t;
        }
    }
    if (best != no_index) {
        change_percent(index, best, step_above(tasks_[best].percent));
    }
    return throttled;
}

bool placement_pass::calm_with(const worker_view& worker, const spec_view& batch, double cpu) const
{
    return std::all_of(worker.services.begin(), worker.services.end(), [&](service_view s) {
        const name_index service = specs_[tasks_[s.task].spec].size.family;
        s.slowdown += slope_of(service, batch.batch_class, batch.size.family).mean * cpu / worker.cpu_capacity;
        return above_limit(s) < calm_below;
    });
}

void placement_pass::change_percent(std::uint32_t worker, std::uint32_t index, std::int32_t percent)
{
    task_view& task = tasks_[index];
    add_load(worker, specs_[task.spec], task.demand * (percent - task.percent) / 100);
    task.percent = percent;
}

void placement_pass::tell_throttles()
{
    for (const task_view& task : tasks_) {
        if (task.worker != no_index && task.percent != task.task->throttle) {
            plan_.throttles.push_back({task.task->task, task.percent});
        }
    }
}

// Evicts, on one worker, the cheapest less urgent work that makes room for this task, and holds the room for it. True
// when room is being made.
bool placement_pass::make_room(std::uint32_t task)
{
    if (--searches_left_ < 0 || workers_.empty()) {
        return false;
    }
    const resources need = specs_[tasks_[task].spec].need;
    double best_cost = std::numeric_limits<double>::infinity();
    std::vector<std::uint32_t> best;
    std::uint32_t best_worker = no_index;
    for (int i = 0; i < room_candidates && i < static_cast<int>(workers_.size()); ++i) {
        const auto index = static_cast<std::uint32_t>((memory_.cursor + static_cast<std::size_t>(i)) % workers_.size());
        double cost = 0;
        std::vector<std::uint32_t> victims = victims_for(index, need, cost);
        if (!victims.empty() && cost < best_cost) {
            best_cost = cost;
            best = std::move(victims);
            best_worker = index;
        }
    }
    memory_.cursor += room_candidates;
    if (best_worker == no_index) {
        return false;
    }
    for (const std::uint32_t victim : best) {
        evict(victim, "makes room for urgent work");
    }
    rooms_.set_room(best_worker, rooms_.room(best_worker) - need);
    memory_.reserved[tasks_[task].task->task] = {workers_[best_worker].worker->worker, need,
                                                 now_ + config::eviction_wait, false, false};
    return true;
}

// The cheapest single task that makes enough room, else the cheapest first until the need fits, without those that turn
// out not to be needed. Empty when the worker cannot make that room.
std::vector<std::uint32_t> placement_pass::victims_for(std::uint32_t index, const resources& need, double& cost) const
{
    const worker_view& worker = workers_[index];
    if (!worker.worker->usable || worker.standing != worker_standing::good || !fits(need, worker.worker->capacity)) {
        return {};
    }
    std::vector<std::pair<double, std::uint32_t>> by_cost;
    for (const std::uint32_t t : worker.batch) {
        if (tasks_[t].movable) {
            by_cost.emplace_back(eviction_cost(t), t);
        }
    }
    std::sort(by_cost.begin(), by_cost.end());
    resources room = rooms_.room(index);
    const auto one = std::find_if(by_cost.begin(), by_cost.end(), [&](const auto& candidate) {
        return fits(need, room + tasks_[candidate.second].task->committed);
    });
    if (one != by_cost.end()) {
        cost = one->first;
        return {one->second};
    }
    std::vector<std::pair<double, std::uint32_t>> victims;
    for (const auto& candidate : by_cost) {
        if (fits(need, room)) {
            break;
        }
        room = room + tasks_[candidate.second].task->committed;
        victims.push_back(candidate);
    }
    if (!fits(need, room)) {
        return {};
    }
    std::vector<std::uint32_t> needed;
    for (const auto& [price, t] : victims) {
        const resources without = room - tasks_[t].task->committed;
        if (fits(need, without)) {
            room = without;
            continue;
        }
        cost += price;
        needed.push_back(t);
    }
    return needed;
}

} // namespace skylarkhub::detail
