// Runs of tasks: starting and stopping them, requeueing a task when its run ends, the ledgers of workers, and the rows
// of jobs.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

live_run* find_run(flow_task& task, const worker_id& worker, run_number run)
{
    const auto at = std::find_if(task.runs.begin(), task.runs.end(),
                                 [&](const live_run& live) { return live.worker == worker && live.run == run; });
    return at == task.runs.end() ? nullptr : &*at;
}

} // namespace

// --- ledgers ---

// Adds a run to the worker's ledger, or replaces the run number if the task is in it already.
void flow_cell::ledger_add(cell_worker& w, const flow_step& step, const flow_task_id& task, run_number run)
{
    const ledger_run entry{run, step.need, step.filling, step.lasting, step.image, image_of(step), step.tail_target};
    const auto [at, added] = w.ledger.emplace(task, entry);
    if (!added) {
        at->second.run = run;
        return;
    }
    adjust_usage(w, task.job, entry, 1);
}

// Removes the run from the worker's ledger if the ledger has this run of the task.
void flow_cell::ledger_remove(cell_worker& w, const flow_task_id& task, run_number run)
{
    const auto at = w.ledger.find(task);
    if (at == w.ledger.end() || at->second.run != run) {
        return;
    }
    adjust_usage(w, task.job, at->second, -1);
    w.ledger.erase(at);
    w.paced.erase(task);
    if (w.dedicated_to == task) {
        w.dedicated_to.reset();
    }
}

// Adds a run to the resource use of its worker, or removes it: `change` is 1 or -1.
void flow_cell::adjust_usage(cell_worker& w, const job_id& job, const ledger_run& run, int change)
{
    resources delta{run.need.cpu_millis * change, run.need.memory_mib * change, run.need.accelerators * change};
    w.lasting_cpu += run.lasting ? delta.cpu_millis : 0;
    w.lasting_memory += run.lasting ? delta.memory_mib : 0;
    w.serving += run.tail_target > duration(0) ? change : 0;
    if (run.filling) {
        w.filling_cpu += delta.cpu_millis;
        w.filling_task_count += change;
        delta.cpu_millis = 0;
    }
    w.held = w.held + delta;
    adjust_image_usage(w, job, run, change);
}

// Finds the worker, job, task and live run that belong to a run; each is null if it is unknown.
flow_cell::run_lookup flow_cell::look_up_run(const worker_id& id, const flow_task_id& task, run_number run)
{
    run_lookup lookup;
    const auto at = workers_.find(id);
    const auto found = jobs_.find(task.job);
    lookup.worker = at == workers_.end() ? nullptr : &at->second;
    lookup.job = found == jobs_.end() ? nullptr : found->second.get();
    lookup.task = lookup.job == nullptr ? nullptr : lookup.job->find_task(task);
    lookup.live = lookup.task == nullptr ? nullptr : find_run(*lookup.task, id, run);
    return lookup;
}

// --- starts ---

// Sends the start of a placed run to its worker, or withdraws it if the run must not start any more. `tries` counts the
// earlier attempts.
void flow_cell::send_start(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries)
{
    const auto [worker, job, t, live] = look_up_run(id, task, run);
    if (worker == nullptr || job == nullptr) {
        return;
    }
    cell_worker& w = *worker;
    if (live == nullptr || live->confirmed) {
        return;
    }
    if (live->stopping || !may_send_orders(now)) {
        send_stop(now, id, task, run, 0);
        return;
    }
    const auto permission = hooks_.start_permission(now);
    if (permission == start_permission::not_known && tries > 0) {
        repeat_start(id, task, run, tries); // the worker may have the run already
        return;
    }
    // The worker's capacity may have shrunk, or its data centre been evacuated, while the start waited for a write or
    // an answer.
    if (!fits(w.held, w.listing.room) || permission != start_permission::allowed) {
        withdraw_start(now, w, *job, task, run, tries);
        return;
    }
    start_run order;
    order.task = task;
    order.run = run;
    order.payload = job->spec().payload;
    order.checkpoint = starts_without_checkpoint(*job, *job->find_stage(task), *t) ? "" : t->checkpoint;
    order.fence = epoch_;
    if (tries == 0) {
        live->started = now;
        if (live->alone) {
            begin_dedicated_run(now, w, *t);
        }
    }
    // A repeated start carries the lease of the first one, unless the worker has restarted and has another clock.
    // Otherwise the leases of a worker that does not answer would be extended without end.
    if (tries == 0 || live->born != w.born) {
        if (w.published_silent) {
            repeat_start(id, task, run, tries); // the row tells a follower that the worker gets no lease
            return;
        }
        live->born = w.born;
        live->lease_until = lease_end(w, now).value_or(worker_time{});
        note_lease(w, now);
    }
    order.lease_until = live->lease_until;
    edges_.order(place_of_life(w), order, start_timeout,
                 [this, sent_to = w.life(), task, run, tries,
                  generation = ownership_generation_](instant then, const order_answer& answer) {
                     if (generation != ownership_generation_) {
                         return;
                     }
                     if (answer.result == order_result::no_connection) {
                         on_start_not_sent(then, sent_to.worker, task, run, tries);
                         return;
                     }
                     on_started(then, sent_to, task, run, tries, answer);
                 });
}

// Handles a start that no connection to the known life was free for.
void flow_cell::on_start_not_sent(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries)
{
    live_run* const live = look_up_run(id, task, run).live;
    if (live == nullptr) {
        return;
    }
    // Other orders may take each connection that a look leaves free.
    if (std::exchange(live->looked, !live->looked)) {
        repeat_start(id, task, run, tries);
        return;
    }
    look_before_start(now, id, task, run, tries);
}

// Asks the worker over a new connection which life is up, and sends the start over it if it is the known one.
void flow_cell::look_before_start(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries)
{
    const auto at = workers_.find(id);
    if (at == workers_.end()) {
        return;
    }
    hold_worker look;
    look.fence = epoch_;
    edges_.order(place_of(at->second), look, start_timeout,
                 [this, id, task, run, tries, sent = now,
                  generation = ownership_generation_](instant then, const order_answer& answer) {
                     const auto to = workers_.find(id);
                     if (generation != ownership_generation_ || to == workers_.end() ||
                         handle_fatal_result(then, to->second, answer.result)) {
                         return;
                     }
                     if (hear_look(then, to->second, sent, answer)) {
                         send_start(then, id, task, run, tries);
                         return;
                     }
                     on_look_failed(then, id, task, run, tries, answer);
                 });
}

// Handles a look before a start that showed no life. A start that has not left the entry is withdrawn, so that the task
// can go elsewhere; one of which the worker may have a copy is sent again.
void flow_cell::on_look_failed(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries,
                               const order_answer& answer)
{
    const auto [worker, job, t, live] = look_up_run(id, task, run);
    if (worker == nullptr || job == nullptr || live == nullptr) {
        return;
    }
    if (tries == 0 || answer.result == order_result::unhealthy) {
        worker->no_starts_until = now + start_backoff;
        withdraw_start(now, *worker, *job, task, run, tries);
        return;
    }
    stop_late_gang(now, *job, task, *live);
    repeat_start(id, task, run, tries + 1);
}

// Stops a gang one of whose members has waited too long for the answer to its start.
void flow_cell::stop_late_gang(instant now, flow_job& job, const flow_task_id& task, const live_run& live)
{
    flow_stage& stage = *job.find_stage(task);
    if (now - live.sent > gang_start_timeout && job.step(stage).gang) {
        stop_gang(now, job, stage, live.run);
    }
}

// Sends a start again after start_retry.
void flow_cell::repeat_start(const worker_id& id, const flow_task_id& task, run_number run, int tries)
{
    edges_.after(start_retry, [this, id, task, run, tries, generation = ownership_generation_](instant then) {
        if (generation == ownership_generation_) {
            send_start(then, id, task, run, tries);
        }
    });
}

// Handles the answer to a start.
void flow_cell::on_started(instant now, const worker_life& sent_to, const flow_task_id& task, run_number run, int tries,
                           const order_answer& answer)
{
    const worker_id& id = sent_to.worker;
    const auto [worker, job, t, live] = look_up_run(id, task, run);
    if (worker == nullptr || job == nullptr) {
        return;
    }
    cell_worker& w = *worker;
    if (answer.result != order_result::no_answer) {
        w.start_answered_at = now;
    }
    const bool same_life = w.born == sent_to.born;
    if (same_life && answer.clock && (!w.reading || *answer.clock > *w.reading)) {
        w.reading = answer.clock;
        w.clock_read_at = now;
        w.last_answer = now;
    }
    if (live == nullptr) {
        return; // the end of the run has been processed already
    }
    if (answer.result != order_result::accepted) {
        edges_.note(log_level::info, "run", "start_not_accepted",
                    {{"task", text_of(task)},
                     {"run", std::to_string(run.value())},
                     {"worker", id.str()},
                     {"result", name_of(answer.result)},
                     {"tries", std::to_string(tries)},
                     {"reason", answer.reason}});
    }
    if (!same_life && answer.result != order_result::fenced) {
        live->copy_unanswered = live->copy_unanswered || answer.result == order_result::no_answer;
        // The answer may be one of the earlier life. The same start, sent again, shows whether the present life has the
        // run, and starts it there if not.
        send_start(now, id, task, run, tries + 1);
        return;
    }
    if (handle_fatal_result(now, w, answer.result)) {
        return;
    }
    switch (answer.result) {
    case order_result::accepted:
        if (!live->confirmed) {
            stats_.start_times.add(now - live->sent);
        }
        confirm_start(now, *job, *live);
        live->sent = now;
        if (live->stopping) {
            send_stop(now, id, task, run, 0);
            return;
        }
        // A run starts at full pace. Without new paces, a batch of filling runs would raise the tails of the serving
        // tasks beside them until the next exchange.
        set_paces(now, w);
        return;
    case order_result::stale_run:
        // The run has ended, or was stopped, possibly before the start arrived. The next exchange lists the end, which
        // also shows that the job has started. If it lists no end, the run is treated as vanished.
        live->confirmed = true;
        live->sent = now;
        return;
    case order_result::no_answer:
        live->copy_unanswered = true;
        stop_late_gang(now, *job, task, *live);
        repeat_start(id, task, run, tries + 1);
        return;
    case order_result::fenced:
    case order_result::other_life:
    case order_result::expired:
    case order_result::no_room:
    case order_result::no_ticket:
    case order_result::no_connection:
    case order_result::unhealthy:
    case order_result::invalid:
        break;
    }
    w.no_starts_until = now + start_backoff;
    if (answer.result == order_result::unhealthy) {
        distrust(now, w, 0.5);
    }
    withdraw_start(now, w, *job, task, run, tries);
}

// Handles a worker's acceptance of a run. The job counts as started only now: a start that is refused or lost leaves
// the job waiting.
void flow_cell::confirm_start(instant now, flow_job& job, live_run& live)
{
    live.confirmed = true;
    const std::uint64_t before = job.changes();
    job.note_job_started();
    if (job.changes() != before) {
        mark_job_dirty(now, job, false);
    }
}

// Undoes a start that was not accepted or must not be sent any more.
void flow_cell::withdraw_start(instant now, cell_worker& w, flow_job& job, const flow_task_id& task, run_number run,
                               int tries)
{
    if (job.step(*job.find_stage(task)).gang) {
        stop_gang(now, job, *job.find_stage(task), run);
    }
    if (tries > 0) {
        send_stop(now, w.listing.worker, task, run, 0); // the worker may have executed an earlier attempt
        return;
    }
    drop_run(now, w, task, run);
    schedule_placement();
}

// --- stops ---

// Sends a stop to a worker and repeats it until the worker answers; a run that is not known here is stopped with at
// most five attempts.
void flow_cell::send_stop(instant now, const worker_id& id, const flow_task_id& task, run_number run, int tries)
{
    const auto at = workers_.find(id);
    if (at == workers_.end() || !owns()) {
        return;
    }
    if (!may_renew_leases(now)) {
        // An owner that has not renewed its row for long sends no orders, but may renew again before the run's lease
        // ends. If the stop were dropped meanwhile, a cancelled task would go on running.
        stop_again(id, task, run, tries);
        return;
    }
    edges_.order(
        place_of(at->second), stop_run{task, run, epoch_}, stop_timeout,
        [this, id, task, run, tries, generation = ownership_generation_](instant then, const order_answer& answer) {
            if (generation != ownership_generation_) {
                return;
            }
            const run_lookup lookup = look_up_run(id, task, run);
            if (lookup.worker == nullptr || handle_fatal_result(then, *lookup.worker, answer.result)) {
                return;
            }
            live_run* const live = lookup.live;
            if (answer.result == order_result::no_answer || answer.result == order_result::unhealthy) {
                if (live != nullptr || tries <= 3) {
                    stop_again(id, task, run, tries + 1);
                }
                return;
            }
            // The run ends within moments, or it never arrived and never will; an exchange sent from now on
            // shows which. An exchange sent earlier may have been answered before the start arrived. If the
            // run were dropped because of that answer, its resources would be given to other tasks while it
            // is still stopping, and the worker would be overcommitted.
            if (live != nullptr) {
                live->confirmed = true;
                live->stopping = true;
                live->sent = then - missing_after;
            }
        });
}

// Stops all members of a gang's run. The members wait for each other on their workers, so when one of them cannot
// start, the others are stopped.
void flow_cell::stop_gang(instant now, flow_job& job, flow_stage& stage, run_number run)
{
    for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
        for (live_run& live : stage.tasks[i].runs) {
            if (live.run == run) {
                stop_run_once(now, live, job.task_id(stage, i));
            }
        }
    }
}

// Repeats a stop after stop_retry.
void flow_cell::stop_again(const worker_id& id, const flow_task_id& task, run_number run, int tries)
{
    edges_.after(stop_retry, [this, id, task, run, tries, generation = ownership_generation_](instant then) {
        if (generation == ownership_generation_) {
            send_stop(then, id, task, run, tries);
        }
    });
}

// Takes the ready tasks of a cancelled or ended job out of the queue and stops all its runs.
void flow_cell::stop_job_runs(instant now, flow_job& job)
{
    for (flow_stage& stage : job.stages()) {
        for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
            flow_task& task = stage.tasks[i];
            if (task.stage == flow_task_state::ready) {
                task.stage = flow_task_state::blocked;
                --stage.ready;
            }
            stop_task_runs(now, task, job.task_id(stage, i));
        }
    }
    index_ready(job);
}

// Drops the runs of the task whose start has not been sent, and stops the others.
void flow_cell::stop_task_runs(instant now, flow_task& task, const flow_task_id& id)
{
    drop_unsent(now, task, id);
    for (live_run& live : task.runs) {
        stop_run_once(now, live, id);
    }
}

// Sends a stop unless the run is being stopped already.
void flow_cell::stop_run_once(instant now, live_run& live, const flow_task_id& id)
{
    if (!live.stopping) {
        live.stopping = true;
        send_stop(now, live.worker, id, live.run, 0);
    }
}

bool flow_cell::is_over(const job_id& job) const
{
    const auto found = jobs_.find(job);
    const bool known_over = found != jobs_.end() && (found->second->cancelled() || found->second->ended());
    return known_over || recently_ended_jobs_.count(job) != 0 || over_while_reading_.count(job) != 0;
}

// Reading the rows of a cell may take longer than the time in which a cancelled task has to end. A cancel or an end of
// a job is final, and this owner has fenced the worker, so the stop need not wait until all rows are read.
void flow_cell::stop_early_runs(instant now, const cell_worker& w)
{
    for (const reported_run& run : w.early->answer.running) {
        if (is_over(run.task.job)) {
            send_stop(now, w.listing.worker, run.task, run.run, 0);
        }
    }
}

void flow_cell::stop_early_runs_of(instant now, const job_id& job)
{
    for (const auto& [id, w] : workers_) {
        if (!w.early) {
            continue;
        }
        for (const reported_run& run : w.early->answer.running) {
            if (run.task.job == job) {
                send_stop(now, id, run.task, run.run, 0);
            }
        }
    }
}

void flow_cell::on_early_news(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version)
{
    const bool over = row.cancelled || row.outcome != 0;
    if (role_ == role::reading && over &&
        over_while_reading_.try_emplace(name.job, reported_job_row{name, row, version}).second) {
        stop_early_runs_of(now, name.job);
    }
}

// --- ends of runs, tasks and jobs ---

// Removes a run that has certainly ended from its worker and its task, and requeues the task if it is not done.
void flow_cell::drop_run(instant now, cell_worker& w, const flow_task_id& task, run_number run)
{
    ledger_remove(w, task, run);
    schedule_placement();
    const auto found = jobs_.find(task.job);
    if (found == jobs_.end()) {
        return;
    }
    flow_job& job = *found->second;
    flow_task* const t = job.find_task(task);
    if (t == nullptr) {
        return;
    }
    t->runs.erase(
        std::remove_if(t->runs.begin(), t->runs.end(),
                       [&](const live_run& live) { return live.worker == w.listing.worker && live.run == run; }),
        t->runs.end());
    const std::uint64_t before = job.changes();
    job.note_run_ended(task, run);
    if (job.changes() != before) {
        mark_job_dirty(now, job, false);
    }
    if (t->runs.empty() && t->stage == flow_task_state::placed) {
        requeue(now, job, task);
    }
    if (job.cancelled() || job.ended()) {
        mark_job_dirty(now, job, false); // the job's rows are removed after its last run
    }
}

// Makes a task without runs ready again, or moves it to the cell that it has been assigned to.
void flow_cell::requeue(instant now, flow_job& job, const flow_task_id& task)
{
    flow_stage* const stage = job.find_stage(task);
    flow_task* const t = job.find_task(task);
    if (job.cancelled() || job.ended()) {
        t->stage = flow_task_state::blocked;
        return;
    }
    if (!job.at_home(*t)) {
        t->stage = flow_task_state::in_other_cell; // its home changed while it ran
        return;
    }
    t->stage = flow_task_state::ready;
    t->ready_since = now;
    ++stage->ready;
    const auto to = std::exchange(t->moves_to, std::nullopt);
    if (to && now < t->moves_until) {
        move_task_to_cell(now, job, task, *to);
        return;
    }
    index_ready(job);
}

// Handles a completed task: stops its other runs, and ends the job or opens the next stages if its stage is complete.
void flow_cell::after_done(instant now, flow_job& job, const flow_task_id& task)
{
    flow_stage* const stage = job.find_stage(task);
    flow_task* const t = job.find_task(task);
    stop_task_runs(now, *t, task);
    const bool stage_done = stage->is_done();
    if (stage_done && job.all_done()) {
        end_job(now, job, flow_state::done);
    }
    else if (stage_done && open_stages(now, job)) {
        index_ready(job);
        schedule_placement();
    }
    mark_job_dirty(now, job, stage_done);
}

// Returns whether the task has crashed too many workers or failed as often as its queue permits.
bool flow_cell::out_of_attempts(const flow_job& job, const flow_task& task) const
{
    if (task.stage == flow_task_state::done) {
        return false;
    }
    if (task.crashes_workers()) {
        return true;
    }
    if (task.failed_runs.empty()) {
        return false;
    }
    const flow_queue* const queue = hooks_.queue(queue_id(job.row().queue));
    const std::int32_t max_failures = queue != nullptr ? queue->failures_most : job.row().failures_most;
    return static_cast<std::int32_t>(task.failed_runs.size()) >= max_failures;
}

bool flow_cell::has_exhausted_task(const flow_job& job) const
{
    return std::any_of(job.stages().begin(), job.stages().end(), [&](const flow_stage& stage) {
        return std::any_of(stage.tasks.begin(), stage.tasks.end(),
                           [&](const flow_task& task) { return out_of_attempts(job, task); });
    });
}

// Records the outcome of the job and stops its runs; only in the job's home cell.
void flow_cell::end_job(instant now, flow_job& job, flow_state outcome)
{
    if (job.ended() || !job.is_home_cell()) {
        return;
    }
    edges_.note(log_level::info, "job", "ended",
                {{"job", job.id().str()}, {"cell", id_.str()}, {"outcome", name_of(outcome)}});
    const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(edges_.wall().time_since_epoch()).count();
    if (outcome == flow_state::failed) {
        log_given_up(job);
    }
    stats_.job_times.add(std::chrono::milliseconds(now_ms - job.row().accepted_ms));
    job.note_outcome(outcome);
    stop_job_runs(now, job);
    mark_job_dirty(now, job, true);
}

// --- jobs ---

const flow_job* flow_cell::find_job(const job_id& job) const
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : found->second.get();
}

// Builds a job from its rows for this cell; null when none of them contains the job's specification, or when this
// cell's own row cannot be decoded.
std::unique_ptr<flow_job> flow_cell::read_job(const job_id& id, const std::vector<store_row>& rows) const
{
    std::vector<std::pair<job_row_name, wire::flow_job_row>> rows_by_writer;
    std::unique_ptr<flow_job> new_job;
    row_version accepted_at;
    for (const store_row& row : rows) {
        auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
        const job_row_name name = parse_job_row_key(row.key);
        if (!decoded && name.is_own()) {
            return nullptr; // without this cell's own row, tasks that are done would be started again
        }
        if (!decoded) {
            continue;
        }
        const bool has_spec = !decoded->steps.empty();
        if (has_spec && (new_job == nullptr || name.is_own())) {
            new_job = std::make_unique<flow_job>(id, id_, *decoded, name.is_own() ? row.version : row_version(0),
                                                 hooks_.recurring_job_bytes());
        }
        accepted_at = name == accepted_row(id_, id) ? row.version : accepted_at;
        rows_by_writer.emplace_back(name, std::move(*decoded));
    }
    for (const auto& [name, row] : rows_by_writer) {
        if (new_job && !name.is_own()) {
            new_job->merge(instant{}, row, name.writer_kind());
            new_job->note_writer(name.writer);
        }
    }
    if (new_job) {
        new_job->note_accepted(accepted_at);
    }
    return new_job;
}

// Processes all rows of one job for this cell as they were just read from the table.
void flow_cell::process_job_rows(instant now, const job_id& id, const std::vector<store_row>& rows)
{
    if (jobs_.count(id) != 0) {
        for (const store_row& row : rows) {
            const auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
            if (decoded) {
                on_job_row(now, parse_job_row_key(row.key), *decoded, row.version);
            }
        }
        return;
    }
    std::unique_ptr<flow_job> new_job = read_job(id, rows);
    if (new_job && new_job->ended()) {
        // The rows may be read again during their removal, and may then show that the job was accepted but not that it
        // has ended.
        recently_ended_jobs_[id] = now;
        schedule_row_removal(now, id, keys_of(rows));
    }
    else if (new_job && recently_ended_jobs_.count(id) == 0) {
        adopt_job(now, std::move(new_job));
    }
}

// Reads the rows of one job for this cell and passes them to `done`; null when the table could not be read.
void flow_cell::read_rows(const job_id& job, std::function<void(instant, const std::vector<store_row>*)> done)
{
    edges_.read(news_rows(id_, job), [this, job, done = std::move(done)](instant now, const store_page& news) {
        if (!news.reached) {
            done(now, nullptr);
            return;
        }
        edges_.read(single_row_range(job_row_key(own_row(id_, job))),
                    [done, rows = news.rows](instant then, const store_page& own) mutable {
                        rows.insert(rows.end(), own.rows.begin(), own.rows.end());
                        done(then, own.reached ? &rows : nullptr);
                    });
    });
}

// Processes a row of a job that this cell does not know.
void flow_cell::on_new_row(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version)
{
    // News from an entry may be older than the rows that were read at the takeover. If such news is about an unknown
    // job, the job has ended since.
    if (!accepts_job_news() || version <= takeover_scan_version_) {
        return;
    }
    // A page or a message from before the job's last write still shows the job as running. If the job were added
    // again, it would run a second time, with run numbers that start from the first.
    const bool accepted = name == accepted_row(id_, name.job);
    // An entry tells all cells of a cancel that the job's own cell does not hear.
    const bool cancelled_elsewhere = name == cancel_row(id_, name.job) && row.cell != id_.str();
    if (cancelled_elsewhere || row.outcome != 0 || (accepted && recently_ended_jobs_.count(name.job) != 0)) {
        return;
    }
    if (!accepted) {
        // The writer of the row may not know yet that the job has ended, so the job's rows are read. A row that
        // arrives during the read may have been written after the rows were read, so it is buffered. If it were
        // dropped, no cell would run a task that it moves to this cell.
        const auto reading = job_reads_in_flight_.find(name.job);
        if (reading != job_reads_in_flight_.end()) {
            reading->second.told.push_back({name, row, version});
        }
        else {
            read_unknown_job(name.job);
        }
        return;
    }
    auto new_job = std::make_unique<flow_job>(name.job, id_, row, row_version(0), hooks_.recurring_job_bytes());
    new_job->note_writer(name.writer);
    new_job->note_accepted(version);
    adopt_job(now, std::move(new_job));
}

// Merges a row of a job into what this cell knows, and acts on a cancellation, an outcome or new tasks that it shows.
void flow_cell::on_job_row(instant now, const job_row_name& name, const wire::flow_job_row& row, row_version version)
{
    if (!owns()) {
        return;
    }
    const job_id& job = name.job;
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        on_new_row(now, name, row, version);
        return;
    }
    flow_job& known = *found->second;
    const bool was_cancelled = known.cancelled();
    const bool was_ended = known.ended();
    const bool was_dirty = known.dirty();
    const std::int32_t ready_before = known.count_ready();
    known.merge(now, row, name.writer_kind());
    if (name.is_own()) {
        known.note_version(version);
    }
    else {
        known.note_writer(name.writer);
    }
    if (known.count_ready() > ready_before) {
        edges_.note(log_level::info, "task", "arrived",
                    {{"job", job.str()},
                     {"cell", id_.str()},
                     {"tasks", std::to_string(known.count_ready() - ready_before)},
                     {"version", std::to_string(version.value())}});
    }
    if (step_down_if_superseded(now, known)) {
        return;
    }
    stop_incomplete_gangs(now, known);
    if (known.ended() && !was_ended) {
        stop_job_runs(now, known);
        mark_job_dirty(now, known, true);
    }
    else if (!known.cancelled() && role_ == role::owning && open_stages(now, known)) {
        schedule_placement(); // another cell has completed the last task of a step
    }
    if (!known.cancelled() && !known.ended()) {
        index_ready(known);
        end_if_decided(now, known);
    }
    if (known.cancelled() && !was_cancelled) {
        edges_.note(log_level::info, "job", "cancelled", {{"job", job.str()}, {"cell", id_.str()}});
        stop_job_runs(now, known);
        mark_job_dirty(now, known, true);
    }
    else if (known.dirty() && !was_dirty) {
        mark_job_dirty(now, known, true); // a task has moved here, or callers have to see that the job has started
    }
}

// Ends the job if all its tasks are done, or if one has no attempts left and the job is reconciled. Only the owner of
// the job's home cell decides the outcome, from the reports of the owners of all cells. Two owners that each know a
// part could report different outcomes to callers.
void flow_cell::end_if_decided(instant now, flow_job& job)
{
    if (role_ != role::owning || job.cancelled()) {
        return;
    }
    if (job.all_done()) {
        end_job(now, job, flow_state::done);
    }
    else if (unreconciled_jobs_.count(job.id()) == 0 && has_exhausted_task(job)) {
        end_job(now, job, flow_state::failed);
    }
}

// Sends committed news about a job to the owners of other cells. News is sent only once it is in the table, since a
// decision of an owner that has been superseded may never be written. If another cell were given a task by such a
// decision, it would start the task although the new owner runs it too.
void flow_cell::notify_other_cells(instant now, const committed_row& written, row_version version)
{
    for (const cell_id& cell : written.told) {
        hooks_.notify_cell_owner(now, {cell, written.job, id_.str()}, written.news_for(cell), version);
    }
}

// Adds a job to the demand estimate of its service. A job whose tasks run in several cells is counted by its home cell
// only.
void flow_cell::note_demand(instant now, const flow_job& job)
{
    if (!job.is_home_cell()) {
        return;
    }
    const auto accepted = wall_time(std::chrono::milliseconds(job.row().accepted_ms));
    const auto age = std::chrono::duration_cast<duration>(edges_.wall() - accepted);
    demand_[job.row().service_name].note(now, age, batch_cpu_seconds(job));
}

// Adds a job to this cell. A job without remaining tasks here is added as well if it has a row of this cell, as the
// row is removed when the job ends.
void flow_cell::adopt_job(instant now, std::unique_ptr<flow_job> new_job)
{
    if (!new_job->involves_this_cell() && new_job->version() == row_version(0)) {
        return;
    }
    const job_id id = new_job->id();
    auto& job = jobs_[id];
    job = std::move(new_job);
    const wire::flow_job_row& row = job->row();
    note_demand(now, *job);
    if (job->timed()) {
        timed_jobs_.insert(id);
    }
    if (role_ != role::owning) {
        return;
    }
    edges_.note(log_level::info, "job", "bound",
                {{"job", id.str()},
                 {"cell", id_.str()},
                 {"queue", row.queue},
                 {"steps", std::to_string(row.steps.size())},
                 {"cell_epoch", std::to_string(row.cell_epoch)}});
    if (step_down_if_superseded(now, *job)) {
        return;
    }
    adopt_stray_runs(now, *job);
    if (job->newest_epoch() < epoch_ && !all_workers_reconciled(now)) {
        unreconciled_jobs_.insert(id); // the previous owner may have started tasks of the job
    }
    if (job->cancelled()) {
        mark_job_dirty(now, *job, false);
        return;
    }
    open_stages(now, *job);
    index_ready(*job);
    if (job->dirty()) {
        mark_job_dirty(now, *job, true);
    }
    schedule_placement();
}

// Gives up the cell if a row of the job shows a later owner.
bool flow_cell::step_down_if_superseded(instant now, const flow_job& job)
{
    if (role_ != role::owning || job.newest_epoch() <= epoch_) {
        return false;
    }
    lose_ownership(now, "job " + job.id().str() + " has a row with a later epoch of the cell");
    return true;
}

// Removes a job from memory and remembers that it has ended.
void flow_cell::forget_job(instant now, job_id id) // NOLINT(performance-unnecessary-value-param): the job owns the name
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    drop_ready(id);
    unreconciled_jobs_.erase(id);
    timed_jobs_.erase(id);
    loads_.forget(id);
    part_state& state = parts_[job_part(id)];
    state.dirty.erase(id);
    state.unanswered.erase(id);
    state.sent_alone.erase(id);
    jobs_.erase(found);
    recently_ended_jobs_[id] = now;
}

} // namespace skylarkhub
