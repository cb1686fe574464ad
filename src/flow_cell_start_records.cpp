// Start records: for some steps the job's row names the worker of a task's newest start before the start is sent.
//
// An owner may be followed while one of its workers does not answer. Without records the follower cannot know what runs
// on that worker, and all lasting tasks would wait until every lease there has ended. With records only the tasks whose
// newest start names that worker wait. That is sufficient because a start is sent only once the table has applied its
// record, and because a follower fences the part before it reads the rows: a record of the previous owner has then
// either been applied, and is read, or is refused, and its start is never sent.
#include <algorithm>
#include <utility>
#include <vector>

#include "flow_cell_p.h"

namespace skylarkhub {

namespace {

// Lists the runs whose start has not been sent, as its record may not be written yet. Copies, since what is done about
// one of them may remove it from its task.
std::vector<std::pair<flow_task_id, live_run>> list_unsent_starts(const flow_job& job)
{
    std::vector<std::pair<flow_task_id, live_run>> unsent;
    for (const flow_stage& stage : job.stages()) {
        for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
            for (const live_run& live : stage.tasks[i].runs) {
                if (live.noted != 0) {
                    unsent.emplace_back(job.task_id(stage, i), live);
                }
            }
        }
    }
    return unsent;
}

} // namespace

// Whether the task may be started now. False while it may run on a worker that has not reported its runs yet, or may be
// started in another cell or by an earlier owner of this cell.
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
    // A worker that the previous owner no longer named runs nothing of this cell.
    const auto at = workers_.find(worker_id(task.start.worker));
    return at == workers_.end() || at->second.fenced || !at->second.inherited || at->second.lapsed;
}

// Whether every run in the cell has a start record, so that the cell's row may say so. An owner of an earlier software
// release starts tasks without records; the runs that it left are recorded as they are found. The answer is true once
// all workers are reconciled and all records are written.
bool flow_cell::are_all_starts_recorded(instant now) const
{
    const bool written =
        std::all_of(parts_.begin(), parts_.end(), [](const auto& p) { return p.second.dirty.empty(); });
    return role_ == role::owning && unreconciled_jobs_.empty() && all_workers_reconciled(now) && written;
}

// Records the start in the job's row; send_recorded_starts() sends it once the row is written. The run is in the
// worker's ledger meanwhile, which reserves its resources. All starts of one placement pass share one write.
void flow_cell::record_then_start(instant now, flow_job& job, const flow_task_id& task, live_run& live)
{
    job.note_start(task, {live.worker, live.born}, live.run, {edges_.wall(), live.alone});
    live.noted = job.changes();
    mark_job_dirty(now, job, true);
}

// Whether the job's row has room for the records of one more start and of `chosen` others, which are about to be made.
// Without room the task waits until the row is written and its size known, or another task of the job is done.
bool flow_cell::has_room_for_start(instant now, const flow_job& job, std::size_t chosen) const
{
    return job.has_room_for_starts(now, chosen + 1, row_bytes_most_);
}

// Gives up the starts whose records cannot be written, so that their resources are free for other jobs. Their tasks
// wait until the row has room.
void flow_cell::withdraw_unsent_starts(instant now, flow_job& job)
{
    for (const auto& [task, live] : list_unsent_starts(job)) {
        const run_lookup run = look_up_run(live.worker, task, live.run);
        if (run.worker != nullptr) {
            drop_run(now, *run.worker, task, live.run);
            job.withdraw_start(task, live);
        }
    }
}

// Sends the starts whose records the table has applied. While the write was under way the worker may have begun to
// drain, its data centre may have been evacuated, or this owner may have lost the right to send orders: the task is
// then placed again.
void flow_cell::send_recorded_starts(instant now, flow_job& job)
{
    auto starts = list_unsent_starts(job);
    std::erase_if(starts, [&job](const auto& start) { return start.second.noted > job.written(); });
    for (const auto& [task, start] : starts) {
        const run_lookup run = look_up_run(start.worker, task, start.run);
        if (run.worker == nullptr || run.live == nullptr) {
            continue;
        }
        if (!may_send_starts(now) || !is_schedulable(now, *run.worker)) {
            drop_run(now, *run.worker, task, start.run);
            continue;
        }
        run.live->noted = 0;
        run.live->sent = now;
        send_start(now, start.worker, task, start.run, 0);
    }
}

// Drops the runs of a task whose start was recorded but not sent. They need no stop order.
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
