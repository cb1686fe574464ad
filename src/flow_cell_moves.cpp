// Tasks that their cell has no room for: they go to another cell, or a worker is kept free for them.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// Filling work waits where it is borne nowhere. Given away from cell to cell at the same pace all the while, it made as
// many writes as all other work together, of rows that every owner writes; so each move is waited for twice as long.
duration wait_before_move(const flow_step& step, const flow_task& task)
{
    const std::int32_t doublings = step.filling ? std::min(task.home.moves, max_move_backoff_doublings) : 0;
    return handoff_after * (1 << doublings);
}

} // namespace

// In force once the job's row is written.
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
    mark_job_dirty(now, job, job.step(*job.find_stage(task)).lasting); // others may share the write
}

// Tasks that no worker here has room for go to a cell that has: a cell may lose workers, or fill up with tasks that
// last, while others stay empty.
void flow_cell::give_away_waiting(instant now)
{
    next_give_away_ = now + handoff_interval;
    if (stopping_ || !may_send_orders(now)) {
        return;
    }
    int left = max_handoffs;
    kept_in_round_ = 0;
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
                left -= give_away_tasks(now, job, stage, left);
            }
            else if (unreconciled_jobs_.count(key.job) == 0 && move_gang(now, job, stage)) {
                index_ready(job);
                mark_job_dirty(now, job, true);
            }
        }
        if (left <= 0) {
            return;
        }
    }
}

// At most so many tasks of the stage; the number that went.
int flow_cell::give_away_tasks(instant now, flow_job& job, flow_stage& stage, int most)
{
    const flow_step& step = job.step(stage);
    int given = 0;
    for (std::size_t i = 0; i < stage.tasks.size() && given < most; ++i) {
        const flow_task& task = stage.tasks[i];
        if (task.stage != flow_task_state::ready || !task.runs.empty() || !may_start(job, stage, task) ||
            now - task.ready_since < wait_before_move(step, task) ||
            (task.may_crash_workers() && find_dedicated(now, job.task_id(stage, i)) != nullptr)) {
            continue;
        }
        const auto to = find_place_elsewhere(now, job, stage);
        if (!to) {
            break;
        }
        move_task_to_cell(now, job, job.task_id(stage, i), *to);
        ++given;
    }
    return given;
}

// Where workers have left a full site, no cell has room for a lasting task at once, and what short tasks give back in
// one place is taken by other short tasks before it is enough. Such a task goes where they can make room for it, unless
// they can here.
std::optional<std::pair<cell_id, skylarkhub::epoch>> flow_cell::find_place_elsewhere(instant now, const flow_job& job,
                                                                                     const flow_stage& stage)
{
    const flow_step& step = job.step(stage);
    const std::string& service = job.row().service_name;
    auto to = hooks_.find_cell_with_room(now, id_, service, step, room_kind::free);
    if (!to && step.lasting && !can_make_room(job, stage)) {
        to = hooks_.find_cell_with_room(now, id_, service, step, room_kind::reservable);
    }
    return to && job.may_extend_to(to->first, max_cells_per_job) ? to : std::nullopt;
}

// Whether the task fits on the worker if only tasks that last stay there.
bool flow_cell::is_reservable(const cell_worker& w, const flow_job& job, const flow_stage& stage)
{
    const flow_step& step = job.step(stage);
    if (step.per_worker_most > 0 && count_stage_runs(w, job, stage) >= step.per_worker_most) {
        return false;
    }
    const bool usable = w.listed && w.named && w.fenced && !w.listing.draining && w.silent == 0 && !w.dedicated_to &&
                        w.listing.service == job.row().service_name && has_label(w.listing.labels, step.label);
    const resources lasting{w.lasting_cpu, w.lasting_memory, 0};
    return usable && fits(lasting + step.need, w.listing.room);
}

// Whether one more of the tasks that wait here will have a worker kept free for it. Those that were told so in this
// round are counted, not those for which workers are reserved already: a task must not leave for its own reservation.
bool flow_cell::can_make_room(const flow_job& job, const flow_stage& stage)
{
    const auto reservable = std::count_if(workers_.begin(), workers_.end(),
                                          [&](const auto& w) { return is_reservable(w.second, job, stage); });
    const bool room = reservable > kept_in_round_;
    kept_in_round_ += room ? 1 : 0;
    return room;
}

// Keeps a worker free of new short work until a lasting task fits there. Short tasks come and go several times a second
// and each takes what one before it gave back: a lasting task, which needs more at once, would wait for ever beside
// them on a site that is full. Of the workers that will do, the one where least has to end.
void flow_cell::reserve_worker(instant now, const flow_job& job, const flow_stage& stage)
{
    const auto most = static_cast<int>(max_reserved_share * static_cast<double>(workers_.size())) + 1;
    if (reserved_in_pass_ >= most) {
        return;
    }
    cell_worker* best = nullptr;
    const auto preferred = [now](const cell_worker& a, const cell_worker& b) {
        if (a.is_reserved(now) != b.is_reserved(now)) {
            return a.is_reserved(now);
        }
        return a.listing.room.cpu_millis - a.held.cpu_millis > b.listing.room.cpu_millis - b.held.cpu_millis;
    };
    for (auto& [id, w] : workers_) {
        if (w.reserved_in != placing_pass_ && is_reservable(w, job, stage) &&
            (best == nullptr || preferred(w, *best))) {
            best = &w;
        }
    }
    if (best != nullptr) {
        best->reserved_in = placing_pass_;
        best->reserved_until = now + reservation_timeout;
        ++reserved_in_pass_;
    }
}

} // namespace skylarkhub
