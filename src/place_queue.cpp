// What waits: parking, fair order over teams, starts.
#include <algorithm>
#include <limits>
#include <queue>

#include <fmt/format.h>

#include "place_pass_p.h"

namespace skylarkhub::detail {

namespace {

// Expected harm, in missed limits, that a whole worker's worth of such work may do to the services beside it.
constexpr double harm_for_normal = 0.10;
constexpr double harm_for_patient = 0.05;
constexpr double no_bound = std::numeric_limits<double>::infinity();

resources least_of(const resources& a, const resources& b)
{
    return {std::min(a.cpu_millis, b.cpu_millis), std::min(a.memory_mib, b.memory_mib),
            std::min(a.accelerators, b.accelerators)};
}

// A quota of 0 is no limit in that dimension.
bool within(std::int64_t amount, std::int64_t quota)
{
    return quota <= 0 || amount <= quota;
}

double harm_bound(queue_rank rank)
{
    switch (rank) {
    case queue_rank::first:
        return no_bound;
    case queue_rank::normal:
        return harm_for_normal;
    case queue_rank::patient:
        return harm_for_patient;
    }
    return no_bound;
}

} // namespace

queue_rank placement_pass::rank_of(const spec_view& spec) const
{
    const place_task& oldest = *tasks_[spec.queued.front()].task;
    if (spec.spec->urgency == urgency::urgent || spec.spec->is_service || oldest.latency_critical) {
        return queue_rank::first;
    }
    const bool aged = oldest.queued_since + config::patient_ageing <= now_;
    return spec.spec->urgency == urgency::patient && !aged ? queue_rank::patient : queue_rank::normal;
}

bool placement_pass::within_quota(const team_view& team, const resources& need) const
{
    const resources sum = team.committed + need;
    return within(sum.cpu_millis, team.quota.cpu_millis) && within(sum.memory_mib, team.quota.memory_mib) &&
           within(sum.accelerators, team.quota.accelerators);
}

// The team's largest share of any one resource over the share it is owed: the team that is furthest behind goes next.
double placement_pass::share_used(const team_view& team) const
{
    const auto part = [](std::int64_t used, std::int64_t total) {
        return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0.0;
    };
    const double most = std::max({part(team.batch.cpu_millis, total_capacity_.cpu_millis),
                                  part(team.batch.memory_mib, total_capacity_.memory_mib),
                                  part(team.batch.accelerators, total_capacity_.accelerators)});
    return most / team.share;
}

// Limits the need to the largest worker that holds the declared size; empty when the work may run.
std::optional<std::string> placement_pass::limit_need(spec_view& spec) const
{
    const resources smallest = least_of(spec.need, spec.spec->declared);
    const resources* largest = nullptr;
    for (const seen_capacity& c : memory_.capacities) {
        if (fits(smallest, c.capacity) && (largest == nullptr || largest->memory_mib < c.capacity.memory_mib)) {
            largest = &c.capacity;
        }
    }
    if (largest == nullptr) {
        if (memory_.capacities.empty()) {
            return std::nullopt;
        }
        return fmt::format("declared size of {} cpu millis, {} MiB, {} accelerators exceeds every worker",
                           spec.spec->declared.cpu_millis, spec.spec->declared.memory_mib,
                           spec.spec->declared.accelerators);
    }
    spec.need = least_of(spec.need, *largest);
    team_view none;
    none.quota = teams_[spec.team].quota;
    if (!within_quota(none, smallest)) {
        return fmt::format("declared size exceeds the quota of team {}", spec.spec->team.str());
    }
    return std::nullopt;
}

void placement_pass::park(const job_id& job, const std::string& reason)
{
    memory_.parked[job] = now_;
    plan_.parks.push_back({job, reason});
}

// Takes out of the group what must not start now; parks the jobs of which nothing is left that could ever run.
void placement_pass::drop_unfit(spec_view& spec)
{
    const std::optional<std::string> never = limit_need(spec);
    std::vector<std::uint32_t> fit;
    fit.reserve(spec.queued.size());
    const job_id* job = nullptr;
    std::optional<std::string> reason;
    bool on_record = false;
    std::optional<std::string> exhausted;
    for (const std::uint32_t index : spec.queued) {
        const place_task& task = *tasks_[index].task;
        if (job == nullptr || *job != task.task.job) {
            job = &task.task.job;
            on_record = memory_.blame.on_record(*job);
            reason = never ? never : on_record ? memory_.blame.job_reason(*job) : std::nullopt;
            if (reason) {
                park(*job, *reason);
            }
        }
        if (reason || (on_record && memory_.blame.not_before(task.task) > now_)) {
            continue;
        }
        if (on_record) {
            if (auto why = memory_.blame.task_reason(task.task, spec.spec->attempt_limit)) {
                exhausted = std::move(why);
                continue;
            }
        }
        fit.push_back(index);
    }
    if (exhausted && fit.empty() && spec.running == 0) {
        park(*job, *exhausted);
    }
    spec.queued = std::move(fit);
}

void placement_pass::queue_groups()
{
    const auto longer_waiting = [&](std::uint32_t a, std::uint32_t b) {
        const place_task& x = *tasks_[a].task;
        const place_task& y = *tasks_[b].task;
        return x.queued_since != y.queued_since ? x.queued_since < y.queued_since : a < b;
    };
    for (std::uint32_t index = 0; index < specs_.size(); ++index) {
        spec_view& spec = specs_[index];
        if (spec.queued.empty()) {
            continue;
        }
        drop_unfit(spec);
        if (spec.queued.empty()) {
            continue;
        }
        std::sort(spec.queued.begin(), spec.queued.end(), longer_waiting);
        const queue_rank rank = rank_of(spec);
        teams_[spec.team].groups[static_cast<std::size_t>(rank)].push_back(index);
        // Taken from the back from now on.
        std::reverse(spec.queued.begin(), spec.queued.end());
    }
    for (team_view& team : teams_) {
        for (auto& groups : team.groups) {
            std::sort(groups.begin(), groups.end(), [&](std::uint32_t a, std::uint32_t b) {
                return longer_waiting(specs_[b].queued.back(), specs_[a].queued.back());
            });
        }
    }
}

// What runs does not grow into room for which a run was ended.
void placement_pass::hold_promised()
{
    absl::erase_if(memory_.reserved, [&](const auto& entry) { return entry.second.until <= now_; });
    for (const auto& [task, held] : memory_.reserved) {
        const auto where = worker_index_.find(held.worker);
        if (held.promised && where != worker_index_.end()) {
            workers_[where->second].room = workers_[where->second].room - held.need;
        }
    }
}

// Room that is being made for a task is nobody else's meanwhile.
void placement_pass::hold_reservations()
{
    for (const auto& [task, held] : memory_.reserved) {
        const auto where = worker_index_.find(held.worker);
        if (where != worker_index_.end()) {
            rooms_.set_room(where->second, rooms_.room(where->second) - held.need);
        }
    }
}

// A task on a leaving worker is evicted only when a place elsewhere is held for it: until then it runs on.
void placement_pass::move_leaving()
{
    for (std::uint32_t index = 0; index < tasks_.size(); ++index) {
        const place_task& task = *tasks_[index].task;
        if (task.running && task.leaves && !evicting(task) && may_start_anew(index) && hold_place(index)) {
            evict(index, "its worker is leaving");
        }
    }
}

// False when the task, once stopped, would wait or be parked whatever room there is.
bool placement_pass::may_start_anew(std::uint32_t index)
{
    const place_task& task = *tasks_[index].task;
    spec_view& spec = specs_[tasks_[index].spec];
    if (limit_need(spec) || !within_quota(teams_[spec.team], spec.need - task.committed)) {
        return false;
    }
    const blame_book& blame = memory_.blame;
    return !blame.on_record(task.task.job) ||
           (!blame.job_reason(task.task.job) && blame.not_before(task.task) <= now_ &&
            !blame.task_reason(task.task, spec.spec->attempt_limit));
}

// True when room for the task is free on another worker, and held for it.
bool placement_pass::hold_place(std::uint32_t index)
{
    const auto [state, reserved_on] = take_back_reserved(index);
    if (state == reserved_room::waits) {
        return false;
    }
    const std::optional<std::uint32_t> worker =
        state == reserved_room::fits ? std::make_optional(reserved_on) : choose(index, no_bound);
    if (!worker) {
        make_room(index);
        return false;
    }
    const resources need = specs_[tasks_[index].spec].need;
    rooms_.set_room(*worker, rooms_.room(*worker) - need);
    memory_.reserved[tasks_[index].task->task] = {workers_[*worker].worker->worker, need, now_ + config::eviction_wait,
                                                  false, true};
    return true;
}

// A worker comes back from quarantine only after one task, of work that may fail without harm, has shown that it can.
void placement_pass::start_probes()
{
    for (std::uint32_t index = 0; index < workers_.size(); ++index) {
        const worker_view& worker = workers_[index];
        if (worker.standing != worker_standing::probing || !worker.worker->usable) {
            continue;
        }
        if (worker.batch.empty()) {
            start_probe(index);
        }
    }
}

void placement_pass::start_probe(std::uint32_t worker)
{
    const resources room = workers_[worker].room;
    for (team_view& team : teams_) {
        for (const queue_rank rank : {queue_rank::patient, queue_rank::normal}) {
            for (const std::uint32_t group : team.groups[static_cast<std::size_t>(rank)]) {
                spec_view& spec = specs_[group];
                if (spec.queued.empty() || !risks_nothing(*spec.spec) || !fits(spec.need, room) ||
                    !within_quota(team, spec.need)) {
                    continue;
                }
                start_on(spec.queued.back(), worker);
                spec.queued.pop_back();
                return;
            }
        }
    }
}

bool placement_pass::risks_nothing(const job_spec& spec) const
{
    const auto& kinds = memory_.settings.kinds;
    const auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const work_kind& k) { return k.id == spec.kind; });
    return kind == kinds.end() || (kind->idempotent && !kind->billed);
}

void placement_pass::start_rank(queue_rank rank)
{
    using turn = std::pair<double, std::uint32_t>;
    std::priority_queue<turn, std::vector<turn>, std::greater<>> turns;
    for (std::uint32_t team = 0; team < teams_.size(); ++team) {
        if (!teams_[team].groups[static_cast<std::size_t>(rank)].empty()) {
            turns.emplace(share_used(teams_[team]), team);
        }
    }
    while (!turns.empty()) {
        const std::uint32_t team = turns.top().second;
        turns.pop();
        auto& groups = teams_[team].groups[static_cast<std::size_t>(rank)];
        if (!start_next(groups.back(), rank)) {
            groups.pop_back();
        }
        if (!groups.empty()) {
            turns.emplace(share_used(teams_[team]), team);
        }
    }
}

// False when nothing more of the group can start in this plan.
bool placement_pass::start_next(std::uint32_t group, queue_rank rank)
{
    spec_view& spec = specs_[group];
    if (spec.queued.empty() || !within_quota(teams_[spec.team], spec.need)) {
        return false;
    }
    const std::uint32_t task = spec.queued.back();
    if (start_reserved(task)) {
        spec.queued.pop_back();
        return true;
    }
    const std::optional<std::uint32_t> worker = choose(task, harm_bound(rank));
    if (worker) {
        start_on(task, *worker);
    }
    else if (rank == queue_rank::first ? !make_room(task) : !wait_for_room(task)) {
        return false;
    }
    spec.queued.pop_back();
    return true;
}

// Small tasks take every gap as it opens, so a large one would never start. When it has waited long, what becomes free
// on one worker is kept for it; few workers at a time, because kept room lies idle. True when room is being kept.
bool placement_pass::wait_for_room(std::uint32_t index)
{
    const resources need = specs_[tasks_[index].spec].need;
    const place_task& task = *tasks_[index].task;
    const auto draining = std::count_if(memory_.reserved.begin(), memory_.reserved.end(),
                                        [](const auto& entry) { return entry.second.drains; });
    const double most = std::max(1.0, config::draining_share * static_cast<double>(workers_.size()));
    // A job of which something runs gets on. Room that is there was refused for the harm that the task would do;
    // waiting for more would not help.
    if (specs_[tasks_[index].spec].running > 0 || task.queued_since + config::starving_after > now_ ||
        static_cast<double>(draining) >= most || rooms_.find(need, 0)) {
        return false;
    }
    std::uint32_t best = no_index;
    for (std::uint32_t w = 0; w < workers_.size(); ++w) {
        const worker_view& view = workers_[w];
        if (view.worker->usable && view.standing == worker_standing::good && fits(need, view.worker->capacity) &&
            (best == no_index || rooms_.room(best).cpu_millis < rooms_.room(w).cpu_millis)) {
            best = w;
        }
    }
    if (best == no_index) {
        return false;
    }
    rooms_.set_room(best, rooms_.room(best) - need);
    memory_.reserved[task.task] = {workers_[best].worker->worker, need, now_ + config::draining_for, true, false};
    return true;
}

// Ends the reservation of the task and returns its room to its worker, unless tasks that leave can still make the task
// fit there.
std::pair<placement_pass::reserved_room, std::uint32_t> placement_pass::take_back_reserved(std::uint32_t index)
{
    const auto held = memory_.reserved.find(tasks_[index].task->task);
    if (held == memory_.reserved.end()) {
        return {reserved_room::none, no_index};
    }
    const auto where = worker_index_.find(held->second.worker);
    if (where == worker_index_.end() || !workers_[where->second].worker->usable) {
        memory_.reserved.erase(held);
        return {reserved_room::none, no_index};
    }
    const std::uint32_t worker = where->second;
    const resources need = specs_[tasks_[index].spec].need;
    const resources with_held = rooms_.room(worker) + held->second.need;
    const bool fits_now = fits(need, with_held);
    // Only what is queued waits for tasks to end.
    const bool waits_for_ends = held->second.drains && !tasks_[index].task->running;
    if (!fits_now && (waits_for_ends || fits(need, with_held + workers_[worker].leaving))) {
        return {reserved_room::waits, worker};
    }
    rooms_.set_room(worker, with_held);
    memory_.reserved.erase(held);
    return {fits_now ? reserved_room::fits : reserved_room::none, worker};
}

// True when room is held for the task: it starts there as soon as it fits, and waits while tasks that leave can still
// make it fit. What else grew into the room meanwhile would let it wait in vain.
bool placement_pass::start_reserved(std::uint32_t task)
{
    const auto [state, worker] = take_back_reserved(task);
    if (state == reserved_room::fits) {
        start_on(task, worker);
    }
    return state != reserved_room::none;
}

void placement_pass::start_on(std::uint32_t index, std::uint32_t worker)
{
    const task_view& task = tasks_[index];
    const spec_view& spec = specs_[task.spec];
    worker_view& view = workers_[worker];
    memory_.blame.started(now_, task.task->task);
    plan_.starts.push_back({task.task->task, view.worker->worker, spec.need});
    take_room(worker, spec.need);
    team_view& team = teams_[spec.team];
    team.committed = team.committed + spec.need;
    view.untried = true;
    if (spec.spec->is_service) {
        service_counts_[service_count_key(spec.size.family, worker, false)] += 1;
        service_counts_[service_count_key(spec.size.family, view.rack, true)] += 1;
        view.cpu_load += spec.cpu;
        return;
    }
    team.batch = team.batch + spec.need;
    add_load(worker, spec, spec.cpu);
}

} // namespace skylarkhub::detail
