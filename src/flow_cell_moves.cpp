// Tasks that this cell has no room for: they are handed off to another cell, or a worker is reserved for them.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// How long a task waits here before it is handed off. Filling work waits while the serving tasks on every worker
// tolerate no more of it. Handed off from cell to cell at a constant interval, it caused as many row writes as all
// other work together; so the wait doubles with each move.
duration wait_before_move(const flow_step& step, const flow_task& task)
{
    const std::int32_t doublings = step.filling ? std::min(task.home.moves, max_move_backoff_doublings) : 0;
    return handoff_after * (1 << doublings);
}

// Returns the number of workers that may be reserved at a time; the others go on taking short work.
std::int64_t max_reserved(std::size_t workers)
{
    return static_cast<std::int64_t>(max_reserved_share * static_cast<double>(workers)) + 1;
}

} // namespace

// Hands the task off to another cell. The hand-off takes effect once the job's row is written.
void flow_cell::move_task_to_cell(instant now, flow_job& job, const flow_task_id& task,
                                  const std::pair<cell_id, skylarkhub::epoch>& to)
{
    edges_.note(log_level::info, "task", "given_away",
                {{"job", task.job.str()},
                 {"step", std::to_string(task.step)},
                 {"index", std::to_string(task.index)},
                 {"from", id_.str()},
                 {"to", to.first.str()}});
    job.hand_off_task(task, to.first, to.second, epoch_);
    ++stats_.handed_off;
    index_ready(job);
    mark_job_dirty(now, job,
                   job.step(*job.find_stage(task)).lasting); // writes for other tasks may be batched
}

// Hands tasks that no worker here has room for to cells that have room. Called every handoff_interval. A cell may lose
// workers, or fill up with lasting tasks, while other cells stay empty.
void flow_cell::hand_off_waiting_tasks(instant now)
{
    next_handoff_pass_ = now + handoff_interval;
    if (stopping_ || !may_send_orders(now)) {
        return;
    }
    places_asked_waiting_ = 0;
    forget_old_searches(now);
    int handoffs_left = is_evacuated(now) ? max_handoffs_evacuated : max_handoffs;
    promised_reservations_ = 0;
    index_ready_again();
    const std::set<ready_key> waiting = ready_;
    for (const ready_key& key : waiting) {
        const auto found = jobs_.find(key.job);
        if (found == jobs_.end()) {
            continue;
        }
        flow_job& job = *found->second;
        for (flow_stage& stage : job.stages()) {
            if (stage.ready == 0) {
                continue;
            }
            if (!job.step(stage).gang) {
                handoffs_left -= hand_off_stage_tasks(now, job, stage, handoffs_left);
            }
            else if (unreconciled_jobs_.count(key.job) == 0 && move_gang(now, job, stage)) {
                index_ready(job);
                mark_job_dirty(now, job, true);
            }
        }
        if (handoffs_left <= 0) {
            return;
        }
    }
}

// Hands off at most max_tasks tasks of the stage and returns how many were handed off. In an evacuated data centre a
// task cannot start, so it does not wait here until some cell has room for it: it waits where room will be.
int flow_cell::hand_off_stage_tasks(instant now, flow_job& job, flow_stage& stage, int max_tasks)
{
    const flow_step& step = job.step(stage);
    const bool evacuated = is_evacuated(now);
    int handed_off = 0;
    for (std::size_t i = 0; i < stage.tasks.size() && handed_off < max_tasks; ++i) {
        const flow_task& task = stage.tasks[i];
        if (task.stage != flow_task_state::ready || !task.runs.empty() || !may_start(job, stage, task)) {
            continue;
        }
        const flow_task_id id = job.task_id(stage, i);
        const bool held_elsewhere = is_held_elsewhere(id);
        const bool waits_here = (now - task.ready_since < wait_before_move(step, task) && !held_elsewhere) ||
                                (task.may_crash_workers() && find_dedicated(now, id) != nullptr);
        if (waits_here && !evacuated) {
            continue;
        }
        if (step.lasting && !evacuated) {
            seek_place(now, job, id, !can_reserve_worker(need_of(job, id)) || held_elsewhere);
            continue;
        }
        auto to = find_cell_for_task(now, job, stage);
        if (!to && evacuated) {
            to = find_cell(now, job, stage, room_kind::any);
        }
        if (!to) {
            break;
        }
        move_task_to_cell(now, job, id, *to);
        ++handed_off;
    }
    return handed_off;
}

// Finds another cell for a task by the reports of room. In an evacuated data centre a lasting task goes to a cell where
// a worker can be reserved for it if no cell has free room. Elsewhere it goes only to a place that was promised, see
// flow_cell_places.cpp.
std::optional<std::pair<cell_id, skylarkhub::epoch>> flow_cell::find_cell_for_task(instant now, const flow_job& job,
                                                                                   const flow_stage& stage)
{
    auto to = find_cell(now, job, stage, room_kind::free);
    if (!to && job.step(stage).lasting) {
        to = find_cell(now, job, stage, room_kind::reservable);
    }
    return to;
}

// Finds another cell with room of this kind, unless the job is spread over too many cells already.
std::optional<std::pair<cell_id, skylarkhub::epoch>> flow_cell::find_cell(instant now, const flow_job& job,
                                                                          const flow_stage& stage, room_kind kind)
{
    const auto to = hooks_.find_cell_with_room(now, id_, job.row().service_name, job.step(stage), kind);
    return to && job.may_extend_to(to->first, max_cells_per_job) ? to : std::nullopt;
}

// Whether the task fits on the worker beside the lasting tasks there, once all other tasks have ended.
bool flow_cell::is_reservable(const cell_worker& w, const place_need& need) const
{
    const flow_step& step = need.step;
    if (is_spread_limit_reached(w, step, need.task)) {
        return false;
    }
    const bool usable = w.listed && w.named && w.fenced && !w.listing.draining && w.silent == 0 && !w.dedicated_to &&
                        w.listing.service == need.service && has_label(w.listing.labels, step.label);
    const resources lasting_resources{w.lasting_cpu, w.lasting_memory, 0};
    return usable &&
           fits(lasting_resources + promises_.room_on(w.listing.worker, &need.task) + step.need, w.listing.room);
}

// Whether a worker here can be reserved for one more of the waiting tasks. Reservations promised in this round are
// counted, not workers reserved earlier: one of those may be reserved for this very task, which must not leave because
// of it.
bool flow_cell::can_reserve_worker(const place_need& need)
{
    const auto reservable =
        std::count_if(workers_.begin(), workers_.end(), [&](const auto& w) { return is_reservable(w.second, need); });
    const bool can_reserve = reservable > promised_reservations_;
    promised_reservations_ += can_reserve ? 1 : 0;
    return can_reserve;
}

// Returns the worker to reserve for the task: of the suitable ones that no task waiting here reserves in this pass, the
// one where least has to end. `reserved_only`: one that is reserved already.
flow_cell::cell_worker* flow_cell::choose_to_reserve(instant now, const place_need& need, bool reserved_only)
{
    cell_worker* best = nullptr;
    const auto preferred = [now](const cell_worker& a, const cell_worker& b) {
        if (a.is_reserved(now) != b.is_reserved(now)) {
            return a.is_reserved(now);
        }
        return a.listing.room.cpu_millis - a.held.cpu_millis > b.listing.room.cpu_millis - b.held.cpu_millis;
    };
    for (auto& [id, w] : workers_) {
        if (w.reserved_in != placing_pass_ && (w.is_reserved(now) || !reserved_only) && is_reservable(w, need) &&
            (best == nullptr || preferred(w, *best))) {
            best = &w;
        }
    }
    return best;
}

// Reserves a worker for a lasting task: no new short work is started there until the task fits. Short tasks start and
// end several times a second and each takes the room that an earlier one released, so on a full site a lasting task,
// which needs more at once, would wait for ever.
void flow_cell::reserve_worker(instant now, const place_need& need)
{
    if (!may_send_starts(now) || reserved_in_pass_ >= max_reserved(workers_.size())) {
        return;
    }
    cell_worker* const worker = choose_to_reserve(now, need, false);
    if (worker == nullptr) {
        return;
    }
    worker->reserved_in = placing_pass_;
    worker->reserved_until = now + reservation_timeout;
    ++reserved_in_pass_;
}

// Reserves a worker for a task that is about to come from another worker or cell, which asks again before the
// reservation ends.
flow_cell::cell_worker* flow_cell::reserve_place(instant now, const place_need& need)
{
    if (!may_send_starts(now)) {
        return nullptr;
    }
    const auto reserved =
        std::count_if(workers_.begin(), workers_.end(), [now](const auto& w) { return w.second.is_reserved(now); });
    cell_worker* const worker = choose_to_reserve(now, need, reserved >= max_reserved(workers_.size()));
    if (worker != nullptr) {
        worker->reserved_until = now + reservation_timeout;
    }
    return worker;
}

} // namespace skylarkhub
