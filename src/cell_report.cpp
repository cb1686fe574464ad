// A worker's accepted report against its ledger and the jobs: the inventory is the truth about what runs there.
#include <algorithm>

#include "cell_state_p.h"

namespace skylarkhub::detail {

namespace {

bool bound_to(const job_record& job, const task_id& task, const worker_id& worker, attempt_number attempt)
{
    const auto run = job.runs().find(task.index);
    return run != job.runs().end() && run->second.attempt == attempt && run->second.worker == worker;
}

bool is_bound(const job_record* job, const task_id& task, const worker_id& worker, attempt_number attempt)
{
    return job != nullptr && bound_to(*job, task, worker, attempt);
}

// Measurements are worker time; this maps them to the entry's clock by the reading that came with them.
instant to_entry_time(const cell_state& s, const worker_report& report, worker_time t)
{
    return s.now - std::max(report.now - t, duration(0));
}

// Whatever else still runs as this task is of no use once one attempt has finished.
void stop_other_run(cell_state& s, const job_record& job, const task_id& task, attempt_number finished)
{
    const auto run = job.runs().find(task.index);
    if (run == job.runs().end() || run->second.attempt == finished) {
        return;
    }
    const auto worker = s.workers.find(run->second.worker);
    if (worker == s.workers.end()) {
        return;
    }
    ledger_entry* const entry = worker->second.ledger.find(task, run->second.attempt);
    if (entry != nullptr && may_run(*entry)) {
        entry->stage = entry_stage::stopping;
        wake_worker(s, run->second.worker);
    }
}

void learn_end(cell_state& s, const job_record& job, const task_id& task, const worker_id& worker, attempt_end end,
               const std::string& reason)
{
    s.placer->learn_end(s.now, task, job.spec(), worker, end, reason);
    s.place_wanted = true;
}

void add_lost_work(cell_state& s, job_record& job, const task_id& task)
{
    const task_run* const run = job.run(task.index);
    const task_past* const past = job.past(task.index);
    if (run == nullptr || run->progress <= 0) {
        return;
    }
    const double kept = past == nullptr ? 0 : past->checkpoint_progress;
    const double done = run->progress - run->resumed_from;
    if (done <= 0) {
        return;
    }
    const double seconds = std::chrono::duration<double>(s.now - run->running_since).count();
    s.stats.work_lost_seconds += seconds * std::clamp((run->progress - kept) / done, 0.0, 1.0);
}

void on_finished(cell_state& s, const worker_id& worker, job_record& job, const task_report& task)
{
    if (job.phase(task.task.index) == task_phase::finished || job.phase(task.task.index) == task_phase::cancelled) {
        return;
    }
    stop_other_run(s, job, task.task, task.attempt);
    job.finish(task.task.index, task.attempt);
    ++s.stats.finishes;
    learn_end(s, job, task.task, worker, attempt_end::finished, "");
}

void on_failed(cell_state& s, const worker_id& worker, job_record& job, const task_report& task)
{
    add_lost_work(s, job, task.task);
    const std::int32_t failed = job.fail(task.task.index, task.reason, s.now);
    learn_end(s, job, task.task, worker, attempt_end::failed, task.reason);
    if (failed >= std::max(job.spec().attempt_limit, 1)) {
        park_job(s, job, task.reason.empty() ? "failed without a reason" : task.reason);
    }
}

void on_stopped(cell_state& s, const worker_id& worker, job_record& job, const task_report& task)
{
    const bool lapsed = task.state == task_state::lapsed;
    add_lost_work(s, job, task.task);
    job.requeue(task.task.index, lapsed ? "its lease lapsed" : task.reason, s.now);
    learn_end(s, job, task.task, worker, lapsed ? attempt_end::lapsed : attempt_end::evicted, task.reason);
    s.stats.lapses += lapsed ? 1 : 0;
}

// An attempt that is over. Its outcome counts when it is the bound one, or when it finished: a task that finished on
// a worker nobody could reach has finished, even if it was started again since.
void take_end(cell_state& s, const worker_id& worker, ledger_entry& entry, const task_report& task)
{
    const bool first = entry.stage != entry_stage::ended;
    entry.stage = entry_stage::ended;
    if (!first || entry.forget) {
        return;
    }
    job_record* const job = find_job(s, task.task.job);
    if (job == nullptr || !job->has(task.task.index)) {
        entry.forget = true;
        return;
    }
    job->note_checkpoint(task.task.index, task.checkpoint, task.checkpoint_progress);
    if (task.state == task_state::finished) {
        on_finished(s, worker, *job, task);
    }
    else if (!bound_to(*job, task.task, worker, task.attempt)) {
        entry.forget = true;
        return;
    }
    else if (task.state == task_state::failed) {
        on_failed(s, worker, *job, task);
    }
    else {
        on_stopped(s, worker, *job, task);
    }
    touch(s, *job);
    end_if_done(s, *job);
    note_end(s, worker, task.task, task.attempt);
}

void bind_adopted(cell_state& s, cell_worker& worker, job_record& job, const task_report& task)
{
    task_run run;
    run.attempt = task.attempt;
    run.worker = worker.listing.worker;
    run.bound_at = s.now;
    job.bind(task.task.index, std::move(run));
}

// Runs, and is not the attempt its task is bound to: a service that was replaced while its worker was silent. Kept when
// no other has been started meanwhile, else taken out of service and stopped.
void settle_unbound(cell_state& s, cell_worker& worker, job_record& job, ledger_entry& entry, const task_report& task)
{
    const task_past* const past = job.past(task.task.index);
    const bool newest = past == nullptr || task.attempt >= past->attempt;
    if (newest && !entry.stop_sent && job.phase(task.task.index) == task_phase::queued && !job.cancelling()) {
        entry.stage = entry_stage::running;
        bind_adopted(s, worker, job, task);
        return;
    }
    if (entry.stage == entry_stage::running) {
        entry.stage = entry_stage::draining;
        entry.stop_at = s.now + (entry.persistent ? config::service_grace : duration(0));
    }
}

// A drained task is stopped as soon as the checkpoint asked for is durable.
void note_progress(cell_state& s, ledger_entry& entry, const task_report& task)
{
    const bool newer = task.checkpoint_progress > entry.checkpoint_seen;
    entry.checkpoint_seen = task.checkpoint_progress;
    if (entry.stage == entry_stage::draining && !entry.persistent && newer && entry.checkpoint_sent.value() > 0) {
        entry.stop_at = s.now;
    }
    entry.throttle_reported = task.throttle;
    entry.address = task.address;
    entry.reported = task.committed;
    if (entry.reported == entry.wanted) {
        entry.committed = entry.wanted;
    }
}

void take_running(cell_state& s, cell_worker& worker, const worker_report& report, ledger_entry& entry,
                  const task_report& task)
{
    if (entry.stage == entry_stage::starting) {
        entry.stage = entry_stage::running;
    }
    note_progress(s, entry, task);
    job_record* const job = find_job(s, task.task.job);
    if (job == nullptr || !job->has(task.task.index)) {
        entry.stage = entry_stage::stopping;
        return;
    }
    job->note_checkpoint(task.task.index, task.checkpoint, task.checkpoint_progress);
    if (!bound_to(*job, task.task, worker.listing.worker, task.attempt)) {
        settle_unbound(s, worker, *job, entry, task);
    }
    task_run* const run = job->run(task.task.index);
    if (run == nullptr || run->attempt != task.attempt) {
        return;
    }
    run->reported = true;
    run->progress = task.progress;
    run->used = task.used;
    run->running_since = to_entry_time(s, report, task.started);
    if (s.now - run->bound_at > crash_age_most) {
        job->forget_crashes(task.task.index);
        touch(s, *job);
    }
    const bool newly_taken = report.usage_taken > worker.usage_learned && report.usage_taken >= task.started;
    if (newly_taken && task.used != resources{}) {
        s.placer->learn_usage(to_entry_time(s, report, report.usage_taken), task.task, job->spec(), task.used);
    }
}

resources held_for(const job_record* job, const task_report& task)
{
    if (task.committed != resources{} || job == nullptr) {
        return task.committed;
    }
    return job->spec().declared;
}

// True when the inventory's attempt is the one the task should be bound to. One that runs beats what is recorded about
// it; one that has ended counts only if its end is not recorded yet. Of two that run, as a service may after its worker
// was silent, the newer is kept.
bool is_current(const job_record& job, const task_report& task)
{
    const auto run = job.runs().find(task.task.index);
    if (run != job.runs().end() && task.state == task_state::running) {
        return task.attempt > run->second.attempt;
    }
    if (job.phase(task.task.index) != task_phase::queued) {
        return false;
    }
    const task_past* const past = job.past(task.task.index);
    if (past == nullptr) {
        return true;
    }
    const bool unrecorded = task.attempt > past->recorded;
    return task.attempt >= past->attempt && (task.state == task_state::running || unrecorded);
}

// A task in the inventory that the ledger does not know: started by an earlier owner, or thought lapsed.
ledger_entry& adopt(cell_state& s, cell_worker& worker, const task_report& task)
{
    job_record* const job = find_job(s, task.task.job);
    ledger_entry entry;
    entry.task = task.task;
    entry.attempt = task.attempt;
    entry.committed = held_for(job, task);
    entry.wanted = entry.committed;
    entry.stage = entry_stage::running; // until take_running() finds it unbound
    entry.first_sent = worker.sequence;
    entry.throttle_wanted = task.throttle;
    entry.checkpoint_seen = task.checkpoint_progress;
    const bool known = job != nullptr && job->has(task.task.index);
    entry.persistent = known && job->spec().is_service;
    if (known && is_current(*job, task)) {
        bind_adopted(s, worker, *job, task);
        s.stats.adopted += task.state == task_state::running ? 1 : 0;
        entry.stage = job->cancelling() ? entry_stage::stopping : entry_stage::running;
    }
    else if (!known) {
        entry.stage = entry_stage::stopping;
    }
    return worker.ledger.add(std::move(entry));
}

ledger_entry& find_or_adopt(cell_state& s, cell_worker& worker, const task_report& task)
{
    ledger_entry* const entry = worker.ledger.find(task.task, task.attempt);
    return entry == nullptr ? adopt(s, worker, task) : *entry;
}

// Ordered by a request the worker has taken in, yet not in its inventory: it does not run, and never will by that
// request, because the worker refuses lower sequences.
void drop_absent(cell_state& s, cell_worker& worker, sequence_number sequence)
{
    const worker_id& id = worker.listing.worker;
    charge_restart(s, worker);
    std::vector<ledger_entry> absent;
    for (const ledger_entry& entry : worker.ledger.entries()) {
        const bool told = entry.first_sent.value() > 0 && entry.first_sent <= sequence;
        if (told && entry.seen != sequence) {
            absent.push_back(entry);
        }
    }
    // Also an ended entry stood in the way: its worker takes no new attempt of the task before it has forgotten this
    // one.
    s.place_wanted = s.place_wanted || !absent.empty();
    for (const ledger_entry& entry : absent) {
        worker.ledger.remove(entry.task, entry.attempt);
        job_record* const job = find_job(s, entry.task.job);
        if (!may_run(entry) || !is_bound(job, entry.task, id, entry.attempt)) {
            continue;
        }
        if (entry.seen.value() == 0) {
            worker.no_starts_until = s.now + config::refused_pause;
            job->unbind(entry.task.index, s.now);
        }
        else {
            add_lost_work(s, *job, entry.task);
            job->requeue(entry.task.index, "its worker no longer has it", s.now);
            learn_end(s, *job, entry.task, id, attempt_end::lapsed, "its worker no longer has it");
        }
        touch(s, *job);
        end_if_done(s, *job);
    }
}

void learn_interference(cell_state& s, const cell_worker& worker, const worker_report& report)
{
    std::vector<const job_spec*> neighbours;
    for (const task_report& task : report.tasks) {
        const job_record* const job = find_job(s, task.task.job);
        if (job != nullptr && !job->spec().is_service && task.started <= report.usage_taken) {
            neighbours.push_back(&job->spec());
        }
    }
    for (const interference_report& seen : report.interference) {
        const job_record* const job = find_job(s, seen.service_task.job);
        if (job != nullptr && worker.fenced) {
            s.placer->learn_interference(to_entry_time(s, report, report.usage_taken), seen.service_task, job->spec(),
                                         seen.slowdown, neighbours);
        }
    }
}

// Stops, forgets and drained tasks do not wait for the next renewal.
void tell_soon(const cell_state& s, cell_worker& worker)
{
    for (const ledger_entry& entry : worker.ledger.entries()) {
        if (entry.stage == entry_stage::stopping || entry.forget) {
            worker.next_exchange = std::min(worker.next_exchange, s.now + s.settings.lease_renew_interval / 4);
        }
        if (entry.stage == entry_stage::draining) {
            worker.next_exchange = std::min(worker.next_exchange, std::max(entry.stop_at, s.now));
        }
    }
}

} // namespace

void release_lapsed(cell_state& s, const worker_id& worker, const ledger_entry& entry)
{
    job_record* const job = find_job(s, entry.task.job);
    if (!is_bound(job, entry.task, worker, entry.attempt)) {
        return;
    }
    remember_lost(s, s.workers.at(worker), entry);
    add_lost_work(s, *job, entry.task);
    job->requeue(entry.task.index, "its worker cannot be reached", s.now);
    learn_end(s, *job, entry.task, worker, attempt_end::lapsed, "its worker cannot be reached");
    touch(s, *job);
    end_if_done(s, *job);
    s.place_wanted = true;
}

void take_report(cell_state& s, cell_worker& worker, const worker_report& report, sequence_number sequence)
{
    worker.said_leaving = worker.said_leaving || (report.leaving && report.boot == worker.boot);
    if (report.leaving != worker.leaving) {
        worker.leaving = report.leaving;
        s.place_wanted = true;
    }
    // A job may have been started straight from its inbox row by an owner that died before its next commit: judged by
    // the job rows alone, its running tasks would be stopped as unknown and its finished ones forgotten and run again.
    if (!s.jobs_read || !s.inbox_read) {
        worker.unread = report;
        worker.unread_sequence = sequence;
        return;
    }
    for (const task_report& task : report.tasks) {
        ledger_entry& entry = find_or_adopt(s, worker, task);
        entry.seen = sequence;
        if (entry.checkpoint_sent == sequence) {
            entry.checkpoint_wanted = false;
        }
        if (task.state == task_state::running) {
            take_running(s, worker, report, entry, task);
        }
        else {
            take_end(s, worker.listing.worker, entry, task);
        }
    }
    drop_absent(s, worker, sequence);
    if (report.usage_taken > worker.usage_learned) {
        learn_interference(s, worker, report);
    }
    worker.usage_learned = report.usage_taken;
    tell_soon(s, worker);
}

// What the boot before ran is gone with it, and no later report tells its ends again: forgotten, those tasks would run
// a second time.
void keep_unread_ends(cell_worker& worker)
{
    if (!worker.unread) {
        return;
    }
    for (const task_report& task : worker.unread->tasks) {
        if (task.state != task_state::running) {
            worker.unread_ends.push_back(task);
        }
    }
    worker.unread.reset();
}

void take_unread_reports(cell_state& s)
{
    for (auto& [id, worker] : s.workers) {
        for (const task_report& task : std::exchange(worker.unread_ends, {})) {
            take_end(s, id, find_or_adopt(s, worker, task), task);
        }
        if (worker.unread) {
            const worker_report report = std::move(*worker.unread);
            worker.unread.reset();
            take_report(s, worker, report, worker.unread_sequence);
            wake_worker(s, id);
        }
    }
}

} // namespace skylarkhub::detail
