// Workers that drain: what lasts moves off them before they leave.
#include <utility>
#include <vector>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

// A worker that leaves takes its tasks with it and tells nobody: one that lasts is away until the lease of its run has
// ended, about six seconds, and where the owner is followed meanwhile, longer. Stopped while the worker still answers,
// it runs elsewhere within half a second, in another cell where its own is full. Short tasks mostly end before the
// worker goes.
void flow_cell::vacate_draining(instant now)
{
    next_vacating_ = now + drain_interval;
    if (!may_send_orders(now) || stopping_) {
        return;
    }
    for (auto& [id, w] : workers_) {
        if (w.listed && w.listing.draining && w.fenced && w.silent == 0) {
            vacate(now, w);
        }
    }
}

// Each task that is stopped has a place of its own: the room that one will take is no room for the next.
void flow_cell::vacate(instant now, cell_worker& w)
{
    std::vector<std::pair<cell_worker*, flow_task_id>> promised;
    std::size_t moved = 0; // to other cells
    kept_in_round_ = 0;
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
            promised.emplace_back(place, id);
        }
        else if ((task->moves_to = find_place_elsewhere(now, *job, stage))) {
            ++moved;
        }
        else {
            reserve_worker(now, *job, stage);
            continue; // better there for the rest of the worker's time than nowhere
        }
        stop_run_once(now, *live, id);
    }
    for (const auto& [place, id] : promised) {
        ledger_remove(*place, id, run_number());
    }
    if (!promised.empty() || moved > 0) {
        edges_.note(log_level::info, "worker", "vacated",
                    {{"cell", id_.str()},
                     {"worker", w.listing.worker.str()},
                     {"lasting", std::to_string(promised.size() + moved)},
                     {"to_other_cells", std::to_string(moved)}});
    }
}

} // namespace skylarkhub
