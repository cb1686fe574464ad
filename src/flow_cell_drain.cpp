// Moves lasting tasks off draining workers before those workers leave.
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

} // namespace skylarkhub
