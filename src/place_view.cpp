// The snapshot one plan works on: workers, tasks, specs and teams by small numbers.
#include <algorithm>

#include "place_pass_p.h"

namespace skylarkhub::detail {

namespace {

constexpr resources shut{-1, -1, -1}; // room of a worker that takes nothing new
constexpr duration capacity_memory = std::chrono::minutes(10);
constexpr duration untried_for = std::chrono::seconds(30);

} // namespace

size_key size_key_of(const job_spec& spec)
{
    std::string family = spec.team.str();
    family += '\0';
    family += spec.name;
    return {index_of(family), index_of(spec.kind.str())};
}

// Work without a kind is a class by its name: what is alike in nothing else would be learned as one.
name_index batch_class_of(const job_spec& spec)
{
    return spec.kind.valid() ? index_of(spec.kind.str()) : size_key_of(spec).family;
}

name_index site_of(const task_id& service_task)
{
    return index_of(service_task.job.str() + '/' + std::to_string(service_task.index));
}

placement_pass::placement_pass(placement_memory& memory, instant now, const std::vector<place_task>& tasks,
                               const std::vector<place_worker>& workers)
    : memory_(memory), now_(now), rooms_(std::vector<resources>{})
{
    view_capacities(workers);
    view_workers(workers);
    view_tasks(tasks);
    view_services();
    keep_loads();
}

// A worker that is being replaced is missing for a while; the job that only fits there is not parked meanwhile.
void placement_pass::view_capacities(const std::vector<place_worker>& workers)
{
    std::erase_if(memory_.capacities, [&](const seen_capacity& c) { return c.seen + capacity_memory < now_; });
    for (const place_worker& worker : workers) {
        const auto known = std::find_if(memory_.capacities.begin(), memory_.capacities.end(),
                                        [&](const seen_capacity& c) { return c.capacity == worker.capacity; });
        if (known != memory_.capacities.end()) {
            known->seen = now_;
        }
        else {
            memory_.capacities.push_back({worker.capacity, now_});
        }
    }
}

void placement_pass::view_workers(const std::vector<place_worker>& workers)
{
    memory_.blame.set_worker_count(workers.size());
    workers_.reserve(workers.size());
    worker_index_.reserve(workers.size());
    std::vector<resources> rooms;
    rooms.reserve(workers.size());
    for (const place_worker& worker : workers) {
        worker_view view;
        view.worker = &worker;
        view.standing = memory_.blame.standing(worker.worker, now_);
        view.rack = rack_index_.try_emplace(worker.rack, static_cast<std::uint32_t>(rack_index_.size())).first->second;
        view.cpu_capacity = std::max(1.0, static_cast<double>(worker.capacity.cpu_millis));
        worker_index_.emplace(worker.worker, static_cast<std::uint32_t>(workers_.size()));
        const bool open = view.standing == worker_standing::good || view.standing == worker_standing::suspect;
        view.room = worker.capacity - worker.committed;
        view.leaving = worker.committed; // less what is seen to stay, below
        rooms.push_back(worker.usable && open ? view.room : shut);
        total_capacity_ = total_capacity_ + worker.capacity;
        workers_.push_back(std::move(view));
    }
    rooms_ = room_tree(rooms);
}

void placement_pass::view_tasks(const std::vector<place_task>& tasks)
{
    tasks_.reserve(tasks.size());
    for (const place_task& task : tasks) {
        if (task.spec != nullptr) {
            view_task(task);
        }
    }
}

void placement_pass::view_task(const place_task& task)
{
    const auto index = static_cast<std::uint32_t>(tasks_.size());
    task_view view;
    view.task = &task;
    view.spec = view_spec(task.spec);
    view.percent = task.throttle;
    spec_view& spec = specs_[view.spec];
    if (task.running) {
        spec.running += 1;
        view_running(view, index);
    }
    else {
        spec.queued.push_back(index);
    }
    tasks_.push_back(view);
}

void placement_pass::view_running(task_view& view, std::uint32_t index)
{
    const place_task& task = *view.task;
    const spec_view& spec = specs_[view.spec];
    team_view& team = teams_[spec.team];
    team.committed = team.committed + task.committed;
    if (!spec.spec->is_service) {
        team.batch = team.batch + task.committed;
    }
    const auto where = worker_index_.find(task.worker);
    if (where == worker_index_.end()) {
        return;
    }
    view.worker = where->second;
    view.known = memory_.sizes.find(task.task);
    view.demand = demand_of(view, spec);
    worker_view& worker = workers_[view.worker];
    worker.cpu_load += use_of(view);
    const bool leaves = evicting(task);
    worker.leaving = leaves ? worker.leaving : worker.leaving - task.committed;
    worker.memory_peak += leaves ? 0 : memory_of(view);
    if (spec.spec->is_service) {
        view_service(task, index, worker);
        service_counts_[service_count_key(spec.size.family, view.worker, false)] += 1;
        service_counts_[service_count_key(spec.size.family, worker.rack, true)] += 1;
        return;
    }
    worker.batch.push_back(index);
    worker.untried = worker.untried || task.run_so_far < untried_for;
    view.movable = !task.latency_critical && spec.spec->urgency != urgency::urgent && !leaves;
    if (task.throttle < 100) {
        memory_.throttled[task.task] = now_;
        memory_.past[task.worker].throttled = true;
    }
}

// A service whose slowdown nobody measures cannot be protected by it: after a while only the ledger does.
void placement_pass::view_service(const place_task& task, std::uint32_t index, worker_view& worker)
{
    service_site& site = memory_.sites.try_emplace(task.task, service_site{{}, 0, now_, now_, false}).first->second;
    site.worker = task.worker;
    site.cpu_capacity = worker.cpu_capacity;
    site.seen = now_;
    if (site.measured || site.first_seen + config::measured_within > now_) {
        worker.services.push_back({index, specs_[view_spec(task.spec)].limit, 1, 0, site.measured});
    }
}

std::int64_t placement_pass::memory_of(const task_view& task)
{
    return task.known != nullptr ? task.known->peak.memory_mib : task.task->used.memory_mib;
}

double placement_pass::demand_of(const task_view& task, const spec_view& spec)
{
    if (task.known == nullptr) {
        return task.task->used.cpu_millis > 0 ? static_cast<double>(task.task->used.cpu_millis) : spec.cpu;
    }
    if (task.known->free_cpu > 0) {
        return static_cast<double>(task.known->free_cpu);
    }
    // Only ever measured under a throttle: it takes at least what it took.
    return std::max(static_cast<double>(task.known->peak.cpu_millis), spec.cpu);
}

std::uint32_t placement_pass::view_spec(const job_spec* spec)
{
    const auto [it, added] = spec_index_.try_emplace(spec, static_cast<std::uint32_t>(specs_.size()));
    if (!added) {
        return it->second;
    }
    spec_view view;
    view.spec = spec;
    view.size = size_key_of(*spec);
    view.batch_class = batch_class_of(*spec);
    view.team = view_team(spec->team);
    view.need = memory_.sizes.for_start(view.size, spec->declared);
    view.cpu = memory_.sizes.typical_cpu(view.size, spec->declared);
    view.limit = config::slowdown_limit;
    if (spec->is_service) {
        // A service's use follows its requests: what it took in quiet hours says nothing about the next morning.
        view.need.cpu_millis = std::max(view.need.cpu_millis, spec->declared.cpu_millis);
        view.need.memory_mib = std::max(view.need.memory_mib, spec->declared.memory_mib);
        for (const place_settings::slowdown_limit& limit : memory_.settings.limits) {
            if (limit.kind == spec->kind) {
                view.limit = limit.slowdown;
            }
        }
    }
    specs_.push_back(std::move(view));
    return it->second;
}

std::uint32_t placement_pass::view_team(const team_id& team)
{
    const auto [it, added] = team_index_.try_emplace(team, static_cast<std::uint32_t>(teams_.size()));
    if (added) {
        team_view view;
        for (const place_settings::team_share& share : memory_.settings.teams) {
            if (share.team == team) {
                view.share = share.share > 0 ? share.share : view.share;
                view.quota = share.quota;
            }
        }
        teams_.push_back(std::move(view));
    }
    return it->second;
}

std::vector<class_load> placement_pass::loads_of(const worker_view& worker) const
{
    std::vector<class_load> loads;
    for (const std::uint32_t index : worker.batch) {
        const task_view& task = tasks_[index];
        const spec_view& spec = specs_[task.spec];
        const double load = use_of(task) / worker.cpu_capacity;
        const auto same = std::find_if(loads.begin(), loads.end(), [&](const class_load& l) {
            return l.batch_class == spec.batch_class && l.family == spec.size.family;
        });
        if (same != loads.end()) {
            same->load += load;
        }
        else {
            loads.push_back({spec.batch_class, spec.size.family, load});
        }
    }
    return loads;
}

void placement_pass::view_services()
{
    for (worker_view& worker : workers_) {
        if (worker.services.empty()) {
            continue;
        }
        const std::vector<class_load> loads = loads_of(worker);
        for (service_view& service : worker.services) {
            const spec_view& spec = specs_[tasks_[service.task].spec];
            const slope rest = memory_.harm.remainder(site_of(tasks_[service.task].task->task));
            service.slowdown = 1 + rest.mean;
            service.variance = rest.variance;
            for (const class_load& l : loads) {
                const slope s = slope_of(spec.size.family, l.batch_class, l.family);
                service.slowdown += s.mean * l.load;
                service.variance += s.variance * l.load * l.load;
            }
        }
    }
}

void placement_pass::keep_loads()
{
    for (const worker_view& worker : workers_) {
        worker_past& past = memory_.past[worker.worker->worker];
        past.seen = now_;
        if (worker.services.empty() || (!past.views.empty() && past.views.back().at + config::load_interval > now_)) {
            continue;
        }
        past.views.push_back({now_, loads_of(worker)});
        while (past.views.front().at + config::load_history < now_) {
            past.views.pop_front();
        }
    }
}

std::vector<class_load> loads_at(const placement_memory& memory, instant taken, const task_id& service_task,
                                 const std::vector<const job_spec*>& neighbours)
{
    const auto site = memory.sites.find(service_task);
    if (site != memory.sites.end()) {
        const auto past = memory.past.find(site->second.worker);
        if (past != memory.past.end()) {
            const auto& views = past->second.views;
            const auto after = std::upper_bound(views.begin(), views.end(), taken,
                                                [](instant t, const load_view& view) { return t < view.at; });
            if (after != views.begin() && std::prev(after)->at + 2 * config::load_interval >= taken) {
                return std::prev(after)->loads;
            }
        }
    }
    constexpr double usual_capacity = 32000;
    const double capacity = site != memory.sites.end() ? site->second.cpu_capacity : usual_capacity;
    std::vector<class_load> loads;
    loads.reserve(neighbours.size());
    for (const job_spec* spec : neighbours) {
        if (spec != nullptr && !spec->is_service) {
            const size_key key = size_key_of(*spec);
            const double cpu = memory.sizes.typical_cpu(key, spec->declared);
            loads.push_back({batch_class_of(*spec), key.family, cpu / capacity});
        }
    }
    return loads;
}

} // namespace skylarkhub::detail
