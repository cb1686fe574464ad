// Moves lasting tasks off draining workers before those workers leave, and seeks places for those of silent workers.
#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

// Called every drain_interval. A worker that leaves ends its tasks without a report: a lasting task is then down until
// the lease of its run has ended, about six seconds, or longer if the owner is followed meanwhile. Stopped while the
// worker still answers, the task runs elsewhere within half a second, in another cell if its own is full. Short tasks
// mostly end before the worker leaves.
void flow_cell::drain_workers(instant now)
{
    next_drain_pass_ = now + drain_interval;
    places_asked_running_ = 0;
    if (!may_send_orders(now) || stopping_) {
        return;
    }
    for (auto& [id, w] : workers_) {
        if (w.listed && w.listing.draining && w.fenced && w.silent == 0) {
            move_lasting_tasks_off(now, w);
        }
    }
    seek_places_before_lapse(now);
}

// Stops the lasting tasks on one draining worker for which a place on another worker here is promised, and seeks places
// in other cells for the rest, which run on until one is promised or the worker leaves.
void flow_cell::move_lasting_tasks_off(instant now, cell_worker& w)
{
    std::size_t moved = 0;
    for (const auto& [id, run] : w.ledger) {
        const auto [worker, job, task, live] = look_up_run(w.listing.worker, id, run.run);
        if (!run.lasting || live == nullptr || !live->confirmed || live->stopping || task->runs.size() != 1) {
            continue;
        }
        const flow_stage& stage = *job->find_stage(id);
        if (job->step(stage).gang || !may_start(*job, stage, *task)) {
            continue;
        }
        const place_need need = need_of(*job, id);
        const place_answer here = promise_place(now, need, true);
        const bool reserved = here.outcome == place_outcome::reserved && now - w.draining_since >= drain_patience;
        if (here.outcome == place_outcome::promised || reserved) {
            stop_run_once(now, *live, id);
            ++moved;
            continue;
        }
        seek_place(now, *job, id, here.outcome == place_outcome::refused);
    }
    if (moved > 0) {
        edges_.note(log_level::info, "worker", "vacated",
                    {{"cell", id_.str()}, {"worker", w.listing.worker.str()}, {"lasting", std::to_string(moved)}});
    }
}

bool flow_cell::lapses_soon(instant now, const cell_worker& w)
{
    return w.silent > 0 && !w.lapsed && w.lapsed_after != instant{} && w.lapsed_after - now <= lapse_preparation;
}

// Seeks places for the lasting tasks of workers that have not answered and whose leases are about to end. The tasks may
// start elsewhere from then on: by that time short work has made room for them.
void flow_cell::seek_places_before_lapse(instant now)
{
    for (const auto& [worker, w] : workers_) {
        if (!lapses_soon(now, w)) {
            continue;
        }
        for (const auto& [id, run] : w.ledger) {
            const auto [of, job, task, live] = look_up_run(worker, id, run.run);
            if (run.lasting && live != nullptr && !job->step(*job->find_stage(id)).gang) {
                seek_place_before_lapse(now, *job, id);
            }
        }
    }
    for (const job_id& id : unreconciled_jobs_) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end()) {
            seek_places_of_recorded_starts(now, *found->second);
        }
    }
}

// Does so for the tasks of which only the recorded start is known, on workers that never answered this owner.
void flow_cell::seek_places_of_recorded_starts(instant now, flow_job& job)
{
    for (const flow_stage& stage : job.stages()) {
        const flow_step& step = job.step(stage);
        if (!step.lasting || step.gang || stage.ready == 0) {
            continue;
        }
        for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
            const flow_task& task = stage.tasks[i];
            const auto worker = workers_.find(worker_id(task.start.worker));
            const bool waits = task.stage == flow_task_state::ready && task.runs.empty();
            if (waits && worker != workers_.end() && lapses_soon(now, worker->second)) {
                seek_place_before_lapse(now, job, job.task_id(stage, i));
            }
        }
    }
}

void flow_cell::seek_place_before_lapse(instant now, flow_job& job, const flow_task_id& task)
{
    if (promise_place(now, need_of(job, task), true).outcome == place_outcome::refused) {
        seek_place(now, job, task, true);
    }
}

} // namespace skylarkhub
