// Moves lasting tasks off draining workers before those workers leave.
#include <utility>
#include <vector>

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
    if (!may_send_orders(now) || stopping_) {
        return;
    }
    for (auto& [id, w] : workers_) {
        if (w.listed && w.listing.draining && w.fenced && w.silent == 0) {
            move_lasting_tasks_off(now, w);
        }
    }
}

// Stops the lasting tasks on one draining worker for which another place exists. The place of each stopped task is
// entered in the ledgers until the pass ends, so that no two tasks count on the same free resources.
void flow_cell::move_lasting_tasks_off(instant now, cell_worker& w)
{
    std::vector<std::pair<cell_worker*, flow_task_id>> new_places;
    std::size_t moved = 0; // to other cells
    promised_reservations_ = 0;
    for (const auto& [id, run] : w.ledger) {
        const auto [worker, job, task, live] = look_up_run(w.listing.worker, id, run.run);
        if (!run.lasting || live == nullptr || !live->confirmed || live->stopping || task->runs.size() != 1) {
            continue;
        }
        const flow_stage& stage = *job->find_stage(id);
        if (job->step(stage).gang || !may_start(*job, stage, *task)) {
            continue;
        }
        const flow_step& step = job->step(stage);
        if (cell_worker* const place = choose_worker(now, *job, stage, *task)) {
            ledger_add(*place, step, id, run_number());
            new_places.emplace_back(place, id);
        }
        else if ((task->moves_to = find_cell_for_task(now, *job, stage))) {
            ++moved;
        }
        else {
            reserve_worker(now, *job, stage);
            continue; // the task goes on until the worker leaves or a place is free
        }
        stop_run_once(now, *live, id);
    }
    for (const auto& [place, id] : new_places) {
        ledger_remove(*place, id, run_number());
    }
    if (!new_places.empty() || moved > 0) {
        edges_.note(log_level::info, "worker", "vacated",
                    {{"cell", id_.str()},
                     {"worker", w.listing.worker.str()},
                     {"lasting", std::to_string(new_places.size() + moved)},
                     {"to_other_cells", std::to_string(moved)}});
    }
}

} // namespace skylarkhub
