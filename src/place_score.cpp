// Which worker a task goes to: least expected harm to services, then the tightest fit; services are spread.
#include <algorithm>
#include <cmath>

#include "place_pass_p.h"

namespace skylarkhub::detail {

namespace {

constexpr int candidates_for_batch = 24;
constexpr int candidates_for_service = 96;
constexpr double fit_weight = 0.004;    // of the share of a worker left free, against one missed limit
constexpr double rack_weight = 0.5;     // of each task of the same service in the rack
constexpr double worker_weight = 1.0;   // and on the worker
constexpr double waste_weight = 0.05;   // of work without accelerators where there are some
constexpr double failed_here_cost = 10; // the task failed there before
constexpr double impossible = 1e9;

double share_left(const resources& room, const resources& capacity)
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    };
    return share(room.cpu_millis, capacity.cpu_millis) + share(room.memory_mib, capacity.memory_mib);
}

} // namespace

std::uint64_t service_count_key(name_index service, std::uint32_t where, bool rack)
{
    constexpr std::uint64_t rack_flag = std::uint64_t{1} << 63;
    return (rack ? rack_flag : 0) | (static_cast<std::uint64_t>(service) << 32) | where;
}

slope placement_pass::slope_of(name_index service, name_index batch_class, name_index family) const
{
    std::uint64_t key = service;
    boost::hash_combine(key, batch_class);
    boost::hash_combine(key, family);
    const auto [it, added] = slopes_.try_emplace(key);
    if (added) {
        const slope pair = memory_.harm.slope_of(service, batch_class);
        const slope own = memory_.harm.family_slope(family);
        it->second = {std::max(0.0, pair.mean + own.mean), pair.variance + own.variance};
    }
    return it->second;
}

// Expected harm that `load` more of this work does to the services of a worker.
double placement_pass::harm_of(const spec_view& spec, const worker_view& worker, double load) const
{
    double harm = 0;
    for (const service_view& service : worker.services) {
        const slope s = slope_of(specs_[tasks_[service.task].spec].size.family, spec.batch_class, spec.size.family);
        const double scale = 1 / std::max(0.01, service.limit - 1);
        const double before = (service.slowdown - 1) * scale;
        const double after = before + s.mean * load * scale;
        const double more = s.variance * load * load;
        harm += expected_harm(after, std::sqrt(service.variance + more) * scale) -
                expected_harm(before, std::sqrt(service.variance) * scale);
    }
    return harm;
}

// A rack or a worker that fails takes few of a service's tasks with it.
double placement_pass::spread_cost(const spec_view& spec, std::uint32_t worker) const
{
    const auto count = [&](std::uint32_t where, bool rack) {
        const auto it = service_counts_.find(service_count_key(spec.size.family, where, rack));
        return it == service_counts_.end() ? 0 : it->second;
    };
    return worker_weight * count(worker, false) + rack_weight * count(workers_[worker].rack, true);
}

double placement_pass::cost_of(const task_view& task, std::uint32_t worker, double harm_most) const
{
    const spec_view& spec = specs_[task.spec];
    const worker_view& view = workers_[worker];
    const resources& capacity = view.worker->capacity;
    if (view.standing == worker_standing::suspect && view.untried) {
        return impossible;
    }
    double cost = fit_weight * share_left(rooms_.room(worker) - spec.need, capacity);
    if (capacity.accelerators > 0 && spec.need.accelerators == 0) {
        cost += waste_weight;
    }
    const auto& failed_on = task.task->failed_on;
    if (std::find(failed_on.begin(), failed_on.end(), view.worker->worker) != failed_on.end()) {
        cost += failed_here_cost;
    }
    if (spec.spec->is_service) {
        return cost + spread_cost(spec, worker) + view.cpu_load / view.cpu_capacity;
    }
    const double harm = harm_of(spec, view, spec.cpu / view.cpu_capacity);
    return harm > harm_most * spec.cpu / view.cpu_capacity ? impossible : cost + harm;
}

// Looks at a bounded number of workers that have room, from a place that moves on with each search, so that the work
// per placement does not grow with the workers.
std::optional<std::uint32_t> placement_pass::choose(std::uint32_t task, double harm_most)
{
    const task_view& view = tasks_[task];
    const spec_view& spec = specs_[view.spec];
    const int candidates = spec.spec->is_service ? candidates_for_service : candidates_for_batch;
    const std::size_t start = workers_.empty() ? 0 : memory_.cursor % workers_.size();
    std::optional<std::uint32_t> best;
    double best_cost = impossible;
    std::size_t from = start;
    bool wrapped = false;
    for (int tried = 0; tried < candidates; ++tried) {
        auto found = rooms_.find(spec.need, from);
        if (!found && !wrapped) {
            wrapped = true;
            found = rooms_.find(spec.need, 0);
        }
        if (!found || (wrapped && *found >= start)) {
            break;
        }
        const auto worker = static_cast<std::uint32_t>(*found);
        const double cost = cost_of(view, worker, harm_most);
        if (cost < best_cost) {
            best_cost = cost;
            best = worker;
        }
        from = *found + 1;
    }
    memory_.cursor = workers_.empty() ? 0 : (start + 1) % workers_.size();
    return best;
}

void placement_pass::add_load(std::uint32_t worker, const spec_view& batch, double cpu)
{
    worker_view& view = workers_[worker];
    view.cpu_load += cpu;
    const double load = cpu / view.cpu_capacity;
    for (service_view& service : view.services) {
        const slope s = slope_of(specs_[tasks_[service.task].spec].size.family, batch.batch_class, batch.size.family);
        service.slowdown = std::max(1.0, service.slowdown + s.mean * load);
        service.variance = std::max(0.0, service.variance + s.variance * load * std::abs(load));
    }
}

} // namespace skylarkhub::detail
