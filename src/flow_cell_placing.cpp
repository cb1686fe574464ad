// Placement: the order in which ready tasks are started, the worker that each of them gets, and the restart of runs
// that have fallen behind.
#include <algorithm>
#include <cmath>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

constexpr double other_rack_cost = 3.0; // a gang that spans two racks takes two to three times as long

// Counts the ready tasks that have waited for reserve_after, after which a worker is reserved.
std::int32_t count_long_waiting(instant now, const flow_stage& stage)
{
    return static_cast<std::int32_t>(
        std::count_if(stage.tasks.begin(), stage.tasks.end(), [now](const flow_task& task) {
            return task.stage == flow_task_state::ready && now - task.ready_since >= reserve_after;
        }));
}

bool may_crash_workers(const flow_stage& stage)
{
    return std::any_of(stage.tasks.begin(), stage.tasks.end(),
                       [](const flow_task& task) { return task.may_crash_workers(); });
}

} // namespace

// Places ready tasks if an event has requested it, and commits the job rows that are due.
void flow_cell::run_deferred_work(instant now)
{
    if (placement_scheduled_) {
        placement_scheduled_ = false;
        place_ready(now);
    }
    for (auto& [part, state] : parts_) {
        if (state.is_due(now)) {
            commit_part(now, part);
        }
    }
}

// Updates the job's entry in the queue of jobs with ready tasks, which is ordered by urgency.
void flow_cell::index_ready(flow_job& job)
{
    const bool any =
        std::any_of(job.stages().begin(), job.stages().end(), [](const flow_stage& s) { return s.ready > 0; });
    drop_ready(job.id());
    if (any) {
        const flow_queue* const queue = hooks_.queue(queue_id(job.row().queue));
        const ready_key key{compute_urgency(job, queue, edges_.wall()), job.id()};
        ready_.insert(key);
        ready_keys_.emplace(job.id(), key);
    }
}

// Removes the job from the queue of jobs with ready tasks.
void flow_cell::drop_ready(const job_id& job)
{
    const auto at = ready_keys_.find(job);
    if (at != ready_keys_.end()) {
        ready_.erase(at->second);
        ready_keys_.erase(at);
    }
}

// Recomputes the urgency of all waiting jobs, since jobs become late while they wait.
void flow_cell::index_ready_again()
{
    const std::set<ready_key> waiting = ready_;
    for (const ready_key& key : waiting) {
        const auto found = jobs_.find(key.job);
        if (found != jobs_.end()) {
            index_ready(*found->second);
        }
    }
}

// Places the ready tasks of all jobs, the most urgent job first.
void flow_cell::place_ready(instant now)
{
    if (role_ != role::owning || stopping_ || !may_send_starts(now)) {
        return;
    }
    // An entry that owns no cell reads the list of workers rarely. Its list may be so old at a takeover that it would
    // start tasks on workers that have since begun to drain. It requests the list at once and places nothing until the
    // list has arrived or list_wait_timeout has passed.
    if (!workers_listed_since_takeover_ && now - taken_at_ < list_wait_timeout) {
        return;
    }
    isolated_task_waits_ = false;
    ++placing_pass_;
    reserved_in_pass_ = 0;
    const std::set<ready_key> waiting = ready_;
    for (const ready_key& key : waiting) {
        const job_id& id = key.job;
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            drop_ready(id);
            continue;
        }
        flow_job& job = *found->second;
        // Failures that two owners counted separately may reach the limit only when their rows are merged. No run ends
        // at that moment, so the limit is checked here.
        if (unreconciled_jobs_.count(id) == 0 && has_exhausted_task(job)) {
            end_job(now, job, flow_state::failed);
            continue;
        }
        place_stages(now, job);
        index_ready(job);
    }
}

// Where no worker has room for a task of a step, none has room for those of the step's other occurrences, unless they
// differ in where they may run.
void flow_cell::place_stages(instant now, flow_job& job)
{
    std::set<std::int32_t> full_steps;
    for (flow_stage& stage : job.stages()) {
        if (stage.ready == 0) {
            continue;
        }
        const flow_step& step = job.step(stage);
        const bool alike = !step.gang && !step.filling && step.per_worker_most <= 0;
        if (alike && full_steps.count(stage.step) != 0 && !promises_.has_any_of_stage(job.task_id(stage, 0)) &&
            !may_crash_workers(stage)) {
            reserve_for_waiting(now, job, stage, 0);
        }
        else if (place_stage(now, job, stage)) {
            full_steps.insert(stage.step);
        }
    }
}

// Returns whether tasks may be started on the worker at all, whatever room it has.
bool flow_cell::is_schedulable(instant now, const cell_worker& w)
{
    return w.listed && w.named && w.fenced && !w.listing.draining && w.silent == 0 && !w.published_silent &&
           w.untracked_runs == 0 && w.late_starts.empty() && w.reading.has_value() && now >= w.no_starts_until;
}

// Describes the worker to the cost functions of placement.
placement_candidate flow_cell::option_of(instant now, const cell_worker& w) const
{
    placement_candidate option;
    option.worker = w.listing.worker;
    option.rack = w.listing.rack;
    option.room = w.listing.room;
    option.held = w.held + promises_.room_on(w.listing.worker);
    option.filling_cpu = w.filling_cpu;
    option.serving = w.serving;
    option.filling_task_count = w.filling_task_count;
    option.lasting_cpu = w.lasting_cpu;
    const double age = std::chrono::duration<double>(now - w.distrust_at).count();
    option.distrust = w.distrust * std::exp2(-age / distrust_half_life_s);
    return option;
}

// Whether as many tasks of the task's stage as the step allows are on the worker: tasks that run there, whose start is
// pending, or that were promised a place there.
bool flow_cell::is_spread_limit_reached(const cell_worker& w, const flow_step& step, const flow_task_id& task) const
{
    if (step.per_worker_most <= 0) {
        return false;
    }
    std::int32_t tasks = promises_.count_others_of_stage(task, w.listing.worker);
    for (auto at = w.ledger.lower_bound(first_of_stage(task)); at != w.ledger.end() && same_stage(at->first, task);
         ++at) {
        ++tasks;
    }
    return tasks >= step.per_worker_most;
}

// Whether the worker can be used now and is one of those that the step may run on.
bool flow_cell::is_open_to(instant now, const cell_worker& w, const std::string& service, const flow_step& step)
{
    return is_schedulable(now, w) && w.listing.service == service && has_label(w.listing.labels, step.label);
}

// Whether tasks of the step may be started on the worker at present, whatever room it has.
bool flow_cell::takes_starts_of(instant now, const cell_worker& w, const std::string& service,
                                const flow_step& step) const
{
    return is_open_to(now, w, service, step) && (step.lasting || (!w.is_reserved(now) && !w.may_forget_ends(now))) &&
           !is_dedicated(now, w);
}

// Whether the task may be started on the worker now. A place that it was promised there does not count against it.
bool flow_cell::can_take(instant now, const cell_worker& w, const std::string& service, const flow_step& step,
                         const flow_task_id& task) const
{
    return takes_starts_of(now, w, service, step) &&
           has_room(w.held + promises_.room_on(w.listing.worker, &task), w.listing.room, step) &&
           !is_spread_limit_reached(w, step, task);
}

// Returns the worker with the lowest placement cost for the task; null when none will do, or while no task may be
// started in the data centre. A filling task accepts a worker with excess interference only after it has waited for
// `patience`.
flow_cell::cell_worker* flow_cell::choose_worker(instant now, const flow_job& job, const flow_stage& stage,
                                                 const flow_task_id& id, const rack_id& near, duration patience)
{
    if (!may_send_starts(now)) {
        return nullptr;
    }
    const flow_step& step = job.step(stage);
    const bool serves = step.tail_target > duration(0);
    const int image = image_of(step);
    const flow_task& task = stage.tasks.at(static_cast<std::size_t>(id.index));
    cell_worker* best = nullptr;
    double best_cost = 0;
    for (auto& [worker, w] : workers_) {
        if (!can_take(now, w, job.row().service_name, step, id)) {
            continue;
        }
        const placement_candidate option = option_of(now, w);
        expected_interference interference;
        if (step.filling) {
            const double room = static_cast<double>(std::max<std::int64_t>(1, w.listing.room.cpu_millis));
            interference = filling_interference(w, image, static_cast<double>(step.need.cpu_millis) / room);
            const bool crowded = available_for_filling(option) - step.need.cpu_millis <
                                 -static_cast<std::int64_t>(fill_overcommit * room);
            // The filling task waits for a worker where serving tasks tolerate it and processors are unused. Elsewhere
            // it would be throttled to zero, or slow down filling tasks that started earlier.
            if ((interference.excess_pressure > 0 || crowded) && now - task.ready_since < patience &&
                !(step.gang && spans_cells(stage))) {
                continue;
            }
        }
        else if (serves) {
            interference.excess_pressure = compute_excess_pressure(w, image);
        }
        const bool runs_here = std::any_of(task.runs.begin(), task.runs.end(),
                                           [&worker = worker](const live_run& live) { return live.worker == worker; });
        if (runs_here) {
            continue;
        }
        double cost = placement_cost(option, step, interference);
        cost += near.valid() && near != w.listing.rack ? other_rack_cost : 0.0;
        cost += task.avoided_worker == worker ? 2.0 : 0.0; // the cost of a run that takes three times as long
        cost += task.crashes.empty() ? 0.0 : 2.0 * static_cast<double>(count_charged(w));
        if (best == nullptr || cost < best_cost) {
            best = &w;
            best_cost = cost;
        }
    }
    return best;
}

// Returns how long a filling task waits for a worker without excess interference. If serving tasks tolerate no more
// filling work on any worker although much of the data centre is unused, a step would run nothing for the whole wait,
// and again in each cell that its tasks move to. In that case the first task of the step waits only
// fill_interference_wait_idle and then runs at whatever pace is tolerated.
duration flow_cell::patience_of(instant now, const flow_job& job, const flow_task& task) const
{
    const bool use_idle_limit = now - task.ready_since >= fill_interference_wait_idle && !job.running() &&
                                hooks_.non_filling_cpu_share(now, job.row().service_name) < idle_site_use;
    return use_idle_limit ? fill_interference_wait_idle : fill_interference_wait;
}

// Reserves workers for tasks that have waited long for one.
void flow_cell::reserve_for_waiting(instant now, const flow_job& job, const flow_stage& stage, std::size_t index)
{
    const flow_step& step = job.step(stage);
    if (!step.lasting || step.gang) {
        return;
    }
    for (std::int32_t n = count_long_waiting(now, stage); n > 0; --n) {
        reserve_worker(now, need_of(job, job.task_id(stage, index)));
    }
}

// Places the ready tasks of the stage, and the members of a gang only all at once. Returns whether a task waits since
// no worker has room for it.
bool flow_cell::place_stage(instant now, flow_job& job, flow_stage& stage)
{
    const flow_step& step = job.step(stage);
    std::vector<std::pair<std::size_t, cell_worker*>> chosen;
    run_number gang_run;
    const bool earlier_run_remains = std::any_of(stage.tasks.begin(), stage.tasks.end(), [](const flow_task& t) {
        return t.stage != flow_task_state::ready && !t.runs.empty();
    });
    if (step.gang && earlier_run_remains) {
        return false; // members of an earlier run of the gang have not all ended
    }
    if (step.gang && spans_cells(stage) && (job.dirty() || !can_join_gang(job, stage))) {
        return false;
    }
    bool full = false; // no worker has room for one more task of the step, except where it was promised
    for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
        flow_task& task = stage.tasks[i];
        if (task.stage != flow_task_state::ready || !may_start(job, stage, task)) {
            continue;
        }
        const rack_id near = step.same_rack && !chosen.empty() ? chosen.front().second->listing.rack : rack_id();
        const duration patience = step.filling && chosen.empty() ? patience_of(now, job, task) : fill_interference_wait;
        const bool dedicated = needs_dedicated_worker(now, step, task);
        const bool recorded = persists_starts(step) || (dedicated && !step.gang);
        if (recorded && !has_room_for_start(now, job, chosen.size())) {
            continue;
        }
        const flow_task_id id = job.task_id(stage, i);
        cell_worker* w = dedicated ? choose_dedicated(now, job, stage, id) : redeem_promise(now, job, id);
        if (w == nullptr && dedicated && !step.gang) {
            continue;
        }
        if (w == nullptr && !dedicated && !full) {
            w = choose_worker(now, job, stage, id, near, patience);
        }
        if (w == nullptr) {
            if (!full) {
                reserve_for_waiting(now, job, stage, i);
            }
            full = true;
            if (step.gang || !promises_.has_any_of_stage(id)) {
                break;
            }
            continue;
        }
        const run_number run = job.next_run(task, epoch_);
        gang_run = std::max(gang_run, run);
        ledger_add(*w, step, id, run);
        chosen.emplace_back(i, w);
    }
    const bool all = static_cast<std::int32_t>(chosen.size()) == stage.ready;
    for (const auto& [i, w] : chosen) {
        flow_task& task = stage.tasks[i];
        const flow_task_id id = job.task_id(stage, i);
        const run_number own_run = job.next_run(task, epoch_);
        if (step.gang && !all) {
            ledger_remove(*w, id, own_run);
            continue;
        }
        const run_number run = step.gang ? gang_run : own_run;
        w->ledger.at(id).run = run;
        task.stage = flow_task_state::placed;
        --stage.ready;
        start_on(now, job, stage, i, *w, run);
    }
    return full;
}

// Starts a run that is already in the worker's ledger. If starts of the step are persisted, or the task has the worker
// to itself, the start is recorded before it is sent.
void flow_cell::start_on(instant now, flow_job& job, flow_stage& stage, std::size_t index, cell_worker& w,
                         run_number run)
{
    flow_task& task = stage.tasks[index];
    const flow_task_id id = job.task_id(stage, index);
    promises_.remove(id);
    task.last_run = run;
    task.runs.push_back({w.listing.worker, run, now});
    task.runs.back().born = w.born;
    ++stats_.starts;
    const flow_step& step = job.step(stage);
    if (step.lasting) {
        w.reserved_until = now; // another waiting task reserves the worker again if it has room for both
    }
    const task_kind kind = step.lasting   ? task_kind::lasting
                           : step.filling ? task_kind::filling
                                          : task_kind::short_lived;
    stats_.waits[static_cast<std::size_t>(kind)].add(now - task.ready_since);
    edges_.note(log_level::info, "run", "placed",
                {{"job", id.job.str()},
                 {"step", std::to_string(id.step)},
                 {"index", std::to_string(id.index)},
                 {"run", std::to_string(run.value())},
                 {"worker", w.listing.worker.str()},
                 {"waited_ms", std::to_string((now - task.ready_since).count() / 1000)},
                 {"left_cpu", std::to_string(w.listing.room.cpu_millis - w.held.cpu_millis)}});
    task.runs.back().alone = w.dedicated_to == id;
    if (persists_starts(step) || (task.runs.back().alone && !step.gang)) {
        record_then_start(now, job, id, task.runs.back());
        return;
    }
    send_start(now, w.listing.worker, id, run, 0);
}

// Replaces a run that has fallen behind. A worker that has become slow, or whose tasks make no progress, still
// answers, so its runs end late or never and delay the step. If the step is speculative, a copy starts on another
// worker. Otherwise the run is stopped, and once its end is certain, the task starts on another worker from its
// checkpoint, if there is one. A task is replaced at most twice, since a task that is slower than estimated on every
// worker must not be restarted for ever.
void flow_cell::mitigate_straggler(instant now, cell_worker& w, flow_job& job, ledger_run& run,
                                   const reported_run& seen)
{
    constexpr std::int32_t max_restarts = 2;
    constexpr int unthrottled_pace = 50; // percent; below it, the pace explains the lack of progress
    flow_stage& stage = *job.find_stage(seen.task);
    flow_task& task = *job.find_task(seen.task);
    const flow_step& step = job.step(stage);
    if (step.lasting || step.gang || task.may_crash_workers()) {
        return;
    }
    const auto paced = w.paced.find(seen.task);
    run.progress.note(now, seen.progress_percent, paced != w.paced.end() && paced->second < unthrottled_pace);
    const bool stalled = run.progress.stalled(now);
    // The speed of filling work depends on the processor time that other tasks leave unused.
    const bool slow = !step.filling && run.progress.slower_than_restart(now, step.estimate);
    const bool only_run = task.runs.size() == 1 && !task.runs.front().stopping;
    if ((!stalled && !slow) || !only_run || task.restarts >= max_restarts || job.cancelled() || job.ended()) {
        return;
    }
    if (!run.behind) {
        run.behind = true;
        distrust(now, w, 1);
    }
    task.avoided_worker = w.listing.worker;
    cell_worker* const destination = choose_worker(now, job, stage, seen.task);
    if (destination == nullptr || destination == &w) {
        return;
    }
    ++task.restarts;
    ++stats_.behind;
    edges_.note(log_level::info, "run", "behind",
                {{"task", text_of(seen.task)},
                 {"run", std::to_string(seen.run.value())},
                 {"worker", w.listing.worker.str()},
                 {"percent", std::to_string(seen.progress_percent)},
                 {"estimate_ms", std::to_string(step.estimate.count() / 1000)},
                 {"stalled", stalled ? "yes" : "no"},
                 {"copy_on", step.speculative ? destination->listing.worker.str() : "none"}});
    if (!step.speculative) {
        stop_run_once(now, task.runs.front(), seen.task);
        return;
    }
    const run_number copy = job.next_run(task, epoch_);
    task.ready_since = now;
    ledger_add(*destination, step, seen.task, copy);
    start_on(now, job, stage, static_cast<std::size_t>(seen.task.index), *destination, copy);
}

// Opens the stages of timed jobs whose time has come.
void flow_cell::open_due_stages(instant now)
{
    for (const job_id& id : timed_jobs_) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && open_stages(now, *found->second)) {
            index_ready(*found->second);
            schedule_placement();
        }
    }
}

// Opens the stages of the job whose time has come, in the memory that the entry has left for recurring jobs.
bool flow_cell::open_stages(instant now, flow_job& job)
{
    if (!job.timed()) {
        return job.open_stages(now, edges_.wall());
    }
    std::int64_t& left = hooks_.recurring_job_bytes_left(now);
    const std::int64_t before = job.held_bytes();
    const bool opened = job.open_stages(now, edges_.wall(), left);
    left -= job.held_bytes() - before;
    return opened;
}

} // namespace skylarkhub
