// Asks placement what to start, throttle, evict and park, and carries it out under the ledger's own check of room.
#include <algorithm>

#include "cell_state_p.h"

namespace skylarkhub::detail {

namespace {

void offer_worker(const cell_state& s, const worker_id& id, const cell_worker& worker, std::vector<place_worker>& out)
{
    place_worker offer;
    offer.worker = id;
    offer.rack = worker.listing.rack;
    offer.capacity = worker.capacity;
    offer.committed = worker.ledger.committed();
    offer.usable = is_usable(s, id, worker) && !is_kept(s, worker);
    out.push_back(std::move(offer));
}

place_task describe(const cell_state& s, const job_record& job, std::int32_t index)
{
    place_task task;
    task.task = task_id{job.id(), index};
    task.spec = &job.spec();
    const work_kind* const kind = find_kind(s, job.spec().kind);
    task.latency_critical = kind != nullptr && kind->latency_critical;
    task.queued_since = job.queued_since();
    const task_past* const past = job.past(index);
    if (past != nullptr) {
        task.checkpoint_progress = past->checkpoint_progress;
        task.attempts_failed = past->attempts_failed;
        task.failed_on = past->failed_on;
        task.queued_since = std::max(task.queued_since, past->queued_since);
    }
    return task;
}

void offer_queued(const cell_state& s, const job_record& job, std::vector<place_task>& out)
{
    if (job.cancelling() || s.awaited.contains(job.id())) {
        return;
    }
    std::size_t offered = 0;
    job.each_queued([&](std::int32_t index) {
        if (s.suspects.contains(task_id{job.id(), index})) {
            return true;
        }
        out.push_back(describe(s, job, index));
        return ++offered < config::place_queued_most;
    });
}

void offer_running(cell_state& s, const job_record& job, std::vector<place_task>& out)
{
    for (const auto& [index, run] : job.runs()) {
        const auto worker = s.workers.find(run.worker);
        ledger_entry* const entry =
            worker == s.workers.end() ? nullptr : worker->second.ledger.find(task_id{job.id(), index}, run.attempt);
        // One that is on its way out already is nothing to decide about; its room is in the worker's sum.
        if (entry == nullptr || (entry->stage != entry_stage::running && entry->stage != entry_stage::starting)) {
            continue;
        }
        place_task task = describe(s, job, index);
        task.attempt = run.attempt;
        task.running = true;
        // One that could not be started again now, or only on a worker to itself, stays as long as its worker.
        const bool startable = !s.awaited.contains(job.id()) && !s.suspects.contains(task.task);
        task.leaves = worker->second.leaving && entry->persistent && entry->stage == entry_stage::running && startable;
        task.worker = run.worker;
        task.committed = entry->committed;
        task.used = run.used;
        task.progress = run.progress;
        task.run_so_far = run.reported ? s.now - run.running_since : duration(0);
        task.throttle = entry->throttle_wanted;
        out.push_back(std::move(task));
    }
}

void start_task(cell_state& s, const place_start& start)
{
    job_record* const job = find_job(s, start.task.job);
    const auto found = s.workers.find(start.worker);
    if (job == nullptr || !job->has(start.task.index) || found == s.workers.end()) {
        return;
    }
    cell_worker& worker = found->second;
    const bool startable =
        job->phase(start.task.index) == task_phase::queued && !job->cancelling() && !s.awaited.contains(start.task.job);
    // A worker refuses a task that its inventory still shows from an earlier attempt.
    const bool absent = worker.ledger.find_task(start.task) == nullptr;
    if (!startable || !absent || !is_usable(s, start.worker, worker) ||
        (is_kept(s, worker) && worker.kept_for != start.task) || !has_room(worker, start.committed)) {
        return;
    }
    ledger_entry entry;
    entry.task = start.task;
    entry.attempt = job->next_attempt(start.task.index, s.epoch);
    entry.committed = start.committed;
    entry.wanted = start.committed;
    entry.persistent = job->spec().is_service;
    task_run run;
    run.attempt = entry.attempt;
    run.worker = start.worker;
    run.bound_at = s.now;
    run.running_since = s.now;
    run.started_at = s.now;
    run.alone = worker.kept_for == start.task;
    worker.last_start = s.now;
    const task_past* const past = job->past(start.task.index);
    s.stats.resumes += past != nullptr && !past->checkpoint.empty() ? 1 : 0;
    ++s.stats.starts;
    worker.ledger.add(std::move(entry));
    job->bind(start.task.index, std::move(run));
    wake_worker(s, start.worker);
}

// Tasks that may crash their workers: each on a worker to itself.
void start_suspects(cell_state& s)
{
    park_crashers(s);
    std::erase_if(s.suspects, [&](const task_id& task) { return !is_suspect(s, task); });
    for (const task_id& task : s.suspects) {
        const job_record& job = *find_job(s, task.job);
        if (job.phase(task.index) != task_phase::queued || job.cancelling() || s.awaited.contains(task.job)) {
            continue;
        }
        if (cell_worker* const worker = choose_alone(s, job, task)) {
            const task_past* const past = job.past(task.index);
            const duration age = past == nullptr ? duration(0) : longest_age(past->crashes);
            worker->kept_until = s.now + time_alone(age);
            start_task(s, {task, worker->listing.worker, job.spec().declared});
        }
    }
}

void throttle_task(cell_state& s, const place_throttle& throttle)
{
    job_record* const job = find_job(s, throttle.task.job);
    const task_run* const run = job == nullptr ? nullptr : job->run(throttle.task.index);
    if (run == nullptr) {
        return;
    }
    const auto worker = s.workers.find(run->worker);
    if (worker == s.workers.end()) {
        return;
    }
    ledger_entry* const entry = worker->second.ledger.find(throttle.task, run->attempt);
    if (entry != nullptr && may_run(*entry)) {
        entry->throttle_wanted = throttle.percent;
        wake_worker(s, run->worker);
    }
}

constexpr resources greater(const resources& a, const resources& b)
{
    return {std::max(a.cpu_millis, b.cpu_millis), std::max(a.memory_mib, b.memory_mib),
            std::max(a.accelerators, b.accelerators)};
}

// A greater amount counts at once. A smaller one counts only when the worker says that it holds no more than that:
// counted before, a start placed into the room would be refused by the worker, or by its account overcommit it.
void resize_task(cell_state& s, const place_resize& resize)
{
    job_record* const job = find_job(s, resize.task.job);
    const task_run* const run = job == nullptr ? nullptr : job->run(resize.task.index);
    if (run == nullptr) {
        return;
    }
    const auto worker = s.workers.find(run->worker);
    if (worker == s.workers.end()) {
        return;
    }
    ledger_entry* const entry = worker->second.ledger.find(resize.task, run->attempt);
    if (entry == nullptr || entry->stage != entry_stage::running || resize.committed == resources{}) {
        return;
    }
    const resources held = greater(entry->committed, resize.committed);
    if (has_room(worker->second, held - entry->committed)) {
        entry->committed = held;
        entry->wanted = resize.committed;
    }
}

void evict_task(cell_state& s, const task_id& task, const std::string& reason)
{
    job_record* const job = find_job(s, task.job);
    const task_run* const run = job == nullptr ? nullptr : job->run(task.index);
    if (run == nullptr) {
        return;
    }
    ++s.stats.evictions;
    notice(s, "task_evicted", task.job.str() + "/" + std::to_string(task.index) + ": " + reason);
    stop_run(s, task, *run, job->spec().is_service ? config::service_grace : config::evict_grace);
}

// Evicts the tasks whose entries in the workers' ledgers `chosen` selects.
template <class Chosen> void evict_entries(cell_state& s, const std::string& reason, Chosen&& chosen)
{
    std::vector<task_id> tasks;
    for (const auto& [id, worker] : s.workers) {
        for (const ledger_entry& entry : worker.ledger.entries()) {
            if (chosen(worker, entry)) {
                tasks.push_back(entry.task);
            }
        }
    }
    for (const task_id& task : tasks) {
        evict_task(s, task, reason);
    }
}

// A leaving worker is emptied: what runs there resumes elsewhere instead of being lost with it. A service that runs is
// left to placement, which holds a place for it first; in an evacuated data centre there is none to wait for.
void drain_leaving(cell_state& s)
{
    const bool evacuated = s.settings.starts == start_permission::evacuated;
    evict_entries(s, "its worker is leaving", [&](const cell_worker& worker, const ledger_entry& entry) {
        const bool stays = entry.persistent && !evacuated;
        return worker.leaving &&
               (entry.stage == entry_stage::starting || (entry.stage == entry_stage::running && !stays));
    });
}

// Starts that their workers have not confirmed would be sent again. They are taken back: the tasks wait for the end of
// the evacuation.
void withdraw_starts(cell_state& s)
{
    evict_entries(s, "its data centre is evacuated",
                  [](const cell_worker&, const ledger_entry& entry) { return entry.stage == entry_stage::starting; });
}

// A pass costs in proportion to the tasks that run, so large cells make fewer: at most about one in a hundred parts of
// a core goes into them. Urgent work does not wait for that.
instant next_pass(const cell_state& s)
{
    std::int64_t running = 0;
    for (const auto& [id, job] : s.jobs) {
        running += job.count(task_phase::bound);
    }
    const duration paced = std::max(config::place_interval, running * config::place_interval_per_task);
    return s.placed_at + (s.place_urgent ? config::place_interval_urgent : paced);
}

} // namespace

bool is_usable(const cell_state& s, const worker_id& id, const cell_worker& worker)
{
    const duration silence = s.now - worker.read_at;
    const bool answers = worker.fenced && silence < 2 * s.settings.lease_renew_interval + s.settings.drift_margin;
    return s.settings.starts == start_permission::allowed && worker.listed && answers && !worker.leaving &&
           s.workers_named.contains(id) && s.now >= worker.no_starts_until;
}

bool has_room(const cell_worker& worker, const resources& need)
{
    const bool positive = need.cpu_millis >= 0 && need.memory_mib >= 0 && need.accelerators >= 0;
    return positive && fits(worker.ledger.committed() + need, worker.capacity);
}

void place_due(cell_state& s)
{
    const bool may = owns(s) && s.role != cell_role::handing_over && s.held && s.jobs_read && s.inbox_read;
    const bool wanted = s.place_wanted || s.now >= s.next_idle_place;
    if (!may || !wanted || s.now < next_pass(s)) {
        return;
    }
    s.place_wanted = false;
    s.place_urgent = false;
    s.placed_at = s.now;
    s.next_idle_place = s.now + config::place_idle_interval;
    drain_leaving(s);
    if (s.settings.starts == start_permission::evacuated) {
        withdraw_starts(s);
    }
    std::vector<place_task> tasks;
    std::vector<place_worker> workers;
    for (const auto& [id, job] : s.jobs) {
        offer_running(s, job, tasks);
        offer_queued(s, job, tasks);
    }
    for (const auto& [id, worker] : s.workers) {
        offer_worker(s, id, worker, workers);
    }
    const place_plan plan = s.placer->plan(s.now, tasks, workers);
    for (const place_resize& resize : plan.resizes) {
        resize_task(s, resize);
    }
    for (const place_park& park : plan.parks) {
        job_record* const job = find_job(s, park.job);
        if (job != nullptr) {
            park_job(s, *job, park.reason);
        }
    }
    for (const place_throttle& throttle : plan.throttles) {
        throttle_task(s, throttle);
    }
    for (const place_evict& evict : plan.evictions) {
        evict_task(s, evict.task, evict.reason);
    }
    for (const place_start& start : plan.starts) {
        start_task(s, start);
    }
    start_suspects(s);
    // Each pass is offered a part of the queue only.
    s.place_wanted = s.place_wanted || !plan.starts.empty();
}

} // namespace skylarkhub::detail
