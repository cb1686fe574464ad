// Gangs that no single cell has room for. A gang is a step whose tasks, the members, have to run at the same time. The
// owner that has all members writes into the job's row which cell starts which member, and a lower bound of the run
// number that is the same for all members. Each cell starts its members under the next number once it knows the row.
// Members that end, or cannot be started, are returned to the job's home cell and placed again when all are there.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// The run number under which all members are to start; empty unless all members have the same lower bound.
std::optional<run_number> shared_run(const flow_stage& stage)
{
    std::optional<std::int64_t> floor;
    for (const flow_task& task : stage.tasks) {
        if (task.stage == flow_task_state::done) {
            continue;
        }
        if (task.home.moves == 0 || floor.value_or(task.home.run_floor) != task.home.run_floor) {
            return std::nullopt;
        }
        floor = task.home.run_floor;
    }
    return floor ? std::make_optional(run_number(*floor + 1)) : std::nullopt;
}

} // namespace

bool spans_cells(const flow_stage& stage)
{
    return std::any_of(stage.tasks.begin(), stage.tasks.end(),
                       [](const flow_task& t) { return t.stage == flow_task_state::in_other_cell; });
}

// Whether the members here can still start under the shared run number. They cannot under a later owner of this cell,
// or when a member here has used the number already: such a member would get another number than the rest and would
// wait for them in vain.
bool flow_cell::can_join_gang(const flow_job& job, const flow_stage& stage) const
{
    const std::optional<run_number> run = shared_run(stage);
    return run && std::all_of(stage.tasks.begin(), stage.tasks.end(), [&](const flow_task& task) {
               return task.stage == flow_task_state::done || task.stage == flow_task_state::in_other_cell ||
                      (task.stage == flow_task_state::ready && task.runs.empty() && task.home.epoch == epoch_.value() &&
                       job.next_run(task, epoch_) == *run);
           });
}

// Moves the members of a waiting gang between cells. Returns true when the job's row has to be written.
bool flow_cell::move_gang(instant now, flow_job& job, flow_stage& stage)
{
    return spans_cells(stage) ? give_back_gang(now, job, stage) : spread_gang(now, job, stage);
}

bool flow_cell::spread_gang(instant now, flow_job& job, flow_stage& stage)
{
    const bool evacuated = is_evacuated(now);
    const bool all_wait = std::all_of(stage.tasks.begin(), stage.tasks.end(), [&](const flow_task& task) {
        return task.stage == flow_task_state::ready && task.runs.empty() &&
               (evacuated || now - task.ready_since >= handoff_after);
    });
    if (!all_wait) {
        return false;
    }
    const auto count = static_cast<std::int32_t>(stage.tasks.size());
    std::vector<flow_cell_room> rooms = hooks_.list_cells_with_room(now, id_, job.row().service_name, job.step(stage));
    const bool fits_one_cell = !rooms.empty() && rooms.front().tasks >= count;
    if (!fits_one_cell) {
        const duration min_wait = count_gang_capacity(job, stage) < count ? gang_spread_after : gang_spread_after_full;
        const bool waits_for_one_cell = std::any_of(stage.tasks.begin(), stage.tasks.end(), [&](const flow_task& task) {
            return now - task.ready_since < min_wait;
        });
        if (!evacuated && (rooms.empty() || waits_for_one_cell)) {
            return false;
        }
        rooms.insert(rooms.begin(), {id_, epoch_, count_placeable_members(now, job, stage)});
    }
    std::int32_t fitting = 0;
    for (const flow_cell_room& room : rooms) {
        fitting += room.tasks;
    }
    if (fitting < count) {
        // Here it cannot start at all, so it waits for room in another cell, from where it may be spread.
        const auto to = evacuated ? find_cell(now, job, stage, room_kind::any) : std::nullopt;
        if (!to) {
            return false;
        }
        rooms = {{to->first, to->second, count}};
    }
    std::int64_t floor = 0;
    for (const flow_task& task : stage.tasks) {
        floor = std::max(floor, job.next_run(task, epoch_).value() - 1);
    }
    std::string target_cells;
    std::size_t next_member = 0;
    for (const flow_cell_room& room : rooms) {
        const std::size_t end = std::min(stage.tasks.size(), next_member + static_cast<std::size_t>(room.tasks));
        if (end == next_member) {
            continue;
        }
        target_cells += (target_cells.empty() ? "" : " ") + room.cell.str() + ":" + std::to_string(end - next_member);
        for (; next_member < end; ++next_member) {
            job.move(job.task_id(stage, next_member), room.cell, room.epoch, floor);
            stage.tasks[next_member].ready_since = now; // gang_join_timeout counts from now
        }
    }
    stats_.handed_off += count;
    edges_.note(log_level::info, "gang", "given_away",
                {{"job", job.id().str()},
                 {"step", std::to_string(stage.step)},
                 {"run", std::to_string(floor + 1)},
                 {"from", id_.str()},
                 {"to", target_cells}});
    return true;
}

// How many members the workers here would have room for if nothing else ran on them.
std::int32_t flow_cell::count_gang_capacity(const flow_job& job, const flow_stage& stage) const
{
    const flow_step& step = job.step(stage);
    std::int64_t sum = 0;
    for (const auto& [id, w] : workers_) {
        if (!w.listed || w.listing.draining || w.listing.service != job.row().service_name ||
            !has_label(w.listing.labels, step.label)) {
            continue;
        }
        std::int64_t capacity = w.listing.room.memory_mib / std::max<std::int64_t>(1, step.need.memory_mib);
        if (!step.filling) {
            capacity = std::min(capacity, w.listing.room.cpu_millis / std::max<std::int64_t>(1, step.need.cpu_millis));
        }
        sum += step.per_worker_most > 0 ? std::min<std::int64_t>(capacity, step.per_worker_most) : capacity;
    }
    return static_cast<std::int32_t>(std::min<std::int64_t>(sum, step.count));
}

// How many of the waiting members the workers here have room for now.
std::int32_t flow_cell::count_placeable_members(instant now, flow_job& job, flow_stage& stage)
{
    std::vector<std::pair<std::size_t, cell_worker*>> chosen;
    for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
        cell_worker* const w = choose_worker(now, job, stage, job.task_id(stage, i));
        if (w == nullptr) {
            break;
        }
        ledger_add(*w, job.step(stage), job.task_id(stage, i), run_number());
        chosen.emplace_back(i, w);
    }
    for (const auto& [i, w] : chosen) {
        ledger_remove(*w, job.task_id(stage, i), run_number());
    }
    return static_cast<std::int32_t>(chosen.size());
}

// Returns members that cannot start here to the job's home cell. Members that started while another cell could not
// start its own would occupy their room until they give up waiting. A returned member gets a different lower bound of
// its run number, so that every cell sees from the row that the run is called off and stops its members well before
// that.
bool flow_cell::give_back_gang(instant now, flow_job& job, flow_stage& stage)
{
    const std::optional<run_number> run = shared_run(stage);
    const bool can_join = can_join_gang(job, stage) && !is_evacuated(now);
    const bool is_home = job.is_home_cell();
    bool changed = false;
    for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
        const flow_task& task = stage.tasks[i];
        if (task.stage != flow_task_state::ready || !task.runs.empty() ||
            (can_join && now - task.ready_since < gang_join_timeout)) {
            continue;
        }
        if (is_home && (!run || changed)) {
            continue; // the other cells can see from the row that the run is called off
        }
        const std::int64_t floor = std::max(job.next_run(task, epoch_).value() - 1, task.home.run_floor + 1);
        job.move(job.task_id(stage, i), cell_id(job.row().cell),
                 is_home ? epoch_ : skylarkhub::epoch(job.row().cell_epoch), floor);
        changed = true;
    }
    if (changed) {
        edges_.note(log_level::info, "gang", "given_back",
                    {{"job", job.id().str()}, {"step", std::to_string(stage.step)}, {"from", id_.str()}});
        stop_incomplete_gangs(now, job);
    }
    return changed;
}

// Stops the runs here of gangs that cannot be complete because some member was returned, possibly to this cell.
void flow_cell::stop_incomplete_gangs(instant now, flow_job& job)
{
    for (flow_stage& stage : job.stages()) {
        const bool complete = std::all_of(stage.tasks.begin(), stage.tasks.end(), [](const flow_task& t) {
            return t.stage == flow_task_state::placed || t.stage == flow_task_state::done;
        });
        if (!job.step(stage).gang || complete || shared_run(stage)) {
            continue;
        }
        for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
            stop_task_runs(now, stage.tasks[i], job.task_id(stage, i));
        }
    }
}

} // namespace skylarkhub
