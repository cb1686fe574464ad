// Starts that the job's row tells before they are sent.
//
// Failure: an owner is followed while one of its workers cannot be asked. Symptom: its follower cannot tell what runs
// there, and all tasks that last wait until every lease has ended, on whichever worker they were. With the starts in
// the row only the tasks whose newest start names that worker wait. That is enough because a start is sent only once
// the table has applied its note, and because a follower fences the part of the row before it reads: a note of an owner
// before it is in force by then, and read, or is refused, and its start is not sent.
#include <algorithm>
#include <vector>

#include "flow_cell_p.h"

namespace skylarkhub {

// False while the task may run on a worker that has not told yet what it runs, or may start in another cell or under an
// earlier owner of this one.
bool flow_cell::may_start(const flow_job& job, const flow_stage& stage, const flow_task& task) const
{
    if (!job.is_transfer_persisted(task)) {
        return false;
    }
    if (unreconciled_jobs_.count(job.id()) == 0) {
        return true;
    }
    if (!persists_starts(job.step(stage)) || !row_.starts_noted || !job.row().starts_noted) {
        return false;
    }
    // A worker that the owner before no longer named ran nothing of this cell any more.
    const auto at = workers_.find(worker_id(task.start.worker));
    return at == workers_.end() || at->second.fenced || !at->second.inherited || at->second.lapsed;
}

// An owner of an earlier release starts tasks without a note. Those that it left are noted as they are found; once
// nothing is left to be found and all notes are written, the cell's row may say so.
bool flow_cell::starts_are_noted(instant now) const
{
    const bool written =
        std::all_of(parts_.begin(), parts_.end(), [](const auto& p) { return p.second.dirty.empty(); });
    return role_ == role::owning && unreconciled_jobs_.empty() && all_workers_reconciled(now) && written;
}

// The run is in the worker's ledger, so its room is kept meanwhile. All tasks that are placed in one go are noted with
// one write.
void flow_cell::record_then_start(instant now, flow_job& job, const flow_task_id& task, live_run& live)
{
    job.note_start(task, live.worker, live.run);
    live.noted = job.changes();
    mark_job_dirty(now, job, true);
}

// While the write was under way the worker may have begun to drain, or this owner may have lost the right to send: then
// the task is placed anew.
void flow_cell::send_noted(instant now, flow_job& job)
{
    struct noted_start {
        worker_id worker;
        flow_task_id task;
        run_number run;
    };
    std::vector<noted_start> starts;
    for (const flow_stage& stage : job.stages()) {
        for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
            for (const live_run& live : stage.tasks[i].runs) {
                if (live.noted != 0 && live.noted <= job.written()) {
                    starts.push_back({live.worker, job.task_id(stage, i), live.run});
                }
            }
        }
    }
    for (const noted_start& start : starts) {
        const run_lookup parts = look_up_run(start.worker, start.task, start.run);
        if (parts.worker == nullptr || parts.live == nullptr) {
            continue;
        }
        if (!may_send_orders(now) || !is_schedulable(now, *parts.worker)) {
            drop_run(now, *parts.worker, start.task, start.run);
            continue;
        }
        parts.live->noted = 0;
        parts.live->sent = now;
        send_start(now, start.worker, start.task, start.run, 0);
    }
}

// Runs whose start has not been sent need no stop.
void flow_cell::drop_unsent(instant now, const flow_task& task, const flow_task_id& id)
{
    const std::vector<live_run> runs = task.runs;
    for (const live_run& live : runs) {
        const auto at = workers_.find(live.worker);
        if (live.noted != 0 && at != workers_.end()) {
            drop_run(now, at->second, id, live.run);
        }
    }
}

} // namespace skylarkhub
