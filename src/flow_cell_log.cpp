// Log lines of a cell's owner: the load of the cell, tasks that wait for long, and runs that were lost.
#include <algorithm>
#include <array>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

const char* name_of(task_wait_reason reason)
{
    constexpr std::array names{"not_received",       "may_still_run", "owner_silent",
                               "workers_not_listed", "evacuated",     "evacuation_unknown",
                               "no_worker",          "no_room",       "row_full"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace

flow_cell::task_wait flow_cell::find_wait_reason(instant now, const flow_job& job, const flow_stage& stage,
                                                 const flow_task& task) const
{
    if (!may_send_orders(now)) {
        return {task_wait_reason::owner_silent, worker_id()};
    }
    if ((!workers_listed_since_takeover_ && now - taken_at_ < list_wait_timeout) ||
        !hooks_.has_recent_worker_list(now)) {
        return {task_wait_reason::workers_not_listed, worker_id()};
    }
    const auto permission = hooks_.start_permission(now);
    if (permission != start_permission::allowed) {
        return {permission == start_permission::evacuated ? task_wait_reason::evacuated
                                                          : task_wait_reason::evacuation_unknown,
                worker_id()};
    }
    if (!job.is_transfer_persisted(task)) {
        return {task_wait_reason::not_received, worker_id()};
    }
    if (!may_start(job, stage, task)) {
        return {task_wait_reason::may_still_run, worker_id(task.start.worker)};
    }
    const flow_step& step = job.step(stage);
    if (persists_starts(step) && !has_room_for_start(now, job, 0)) {
        return {task_wait_reason::row_full, worker_id()};
    }
    const bool schedulable = std::any_of(workers_.begin(), workers_.end(), [&](const auto& w) {
        return is_open_to(now, w.second, job.row().service_name, step);
    });
    return {schedulable ? task_wait_reason::no_room : task_wait_reason::no_worker, worker_id()};
}

// Counts the workers of the cell by the first thing that keeps the task from starting there.
std::string flow_cell::describe_obstacles(instant now, const flow_job& job, const flow_task_id& task) const
{
    const place_need need = need_of(job, task);
    int closed = 0;
    int spread = 0;
    int cpu = 0;
    int memory = 0;
    for (const auto& [id, w] : workers_) {
        const resources free = w.listing.room - w.held - promises_.room_on(w.listing.worker);
        if (!takes_starts_of(now, w, need.service, need.step)) {
            ++closed;
        }
        else if (is_spread_limit_reached(w, need.step, task)) {
            ++spread;
        }
        else if (!need.step.filling && free.cpu_millis < need.step.need.cpu_millis) {
            ++cpu;
        }
        else if (free.memory_mib < need.step.need.memory_mib) {
            ++memory;
        }
    }
    return "closed:" + std::to_string(closed) + " spread:" + std::to_string(spread) + " cpu:" + std::to_string(cpu) +
           " memory:" + std::to_string(memory);
}

// Lasting tasks are logged first, since their absence matters soonest, then the tasks that have waited for longest.
void flow_cell::log_waiting_tasks(instant now)
{
    struct waiting_task {
        bool lasting = false;
        instant since{};
        const flow_job* job = nullptr;
        const flow_stage* stage = nullptr;
        std::size_t index = 0;
    };
    std::vector<waiting_task> waiting;
    for (const ready_key& key : ready_) {
        const auto found = jobs_.find(key.job);
        if (found == jobs_.end()) {
            continue;
        }
        const flow_job& job = *found->second;
        for (const flow_stage& stage : job.stages()) {
            for (std::size_t i = 0; stage.ready > 0 && i < stage.tasks.size(); ++i) {
                const flow_task& task = stage.tasks[i];
                if (task.stage == flow_task_state::ready && now - task.ready_since >= wait_logged_after) {
                    waiting.push_back({job.step(stage).lasting, task.ready_since, &job, &stage, i});
                }
            }
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const waiting_task& a, const waiting_task& b) {
        return std::pair(!a.lasting, a.since) < std::pair(!b.lasting, b.since);
    });
    waiting.resize(std::min(waiting.size(), max_waits_logged));
    for (const waiting_task& w : waiting) {
        const task_wait wait = find_wait_reason(now, *w.job, *w.stage, w.stage->tasks[w.index]);
        const flow_task_id task = w.job->task_id(*w.stage, w.index);
        const auto answers = place_answers_.find(w.job->task_id(*w.stage, 0));
        const auto refused_by = answers == place_answers_.end()
                                    ? 0
                                    : std::count_if(answers->second.begin(), answers->second.end(),
                                                    [now](const auto& a) { return now < a.second.refused_until; });
        const auto worker_at = workers_.find(wait.worker);
        const duration silence =
            worker_at == workers_.end() ? duration(0) : now - std::max(worker_at->second.last_answer, taken_at_);
        edges_.note(log_level::info, "task", "waits",
                    {{"task", text_of(task)},
                     {"cell", id_.str()},
                     {"epoch", std::to_string(epoch_.value())},
                     {"for_ms", std::to_string((now - w.since).count() / 1000)},
                     {"reason", name_of(wait.reason)},
                     {"obstacles", describe_obstacles(now, *w.job, task)},
                     {"refused_by", std::to_string(refused_by)},
                     {"worker", wait.worker.valid() ? wait.worker.str() : "none"},
                     {"worker_silent_ms", std::to_string(silence.count() / 1000)}});
    }
}

// Logs how long the run had lasted and how many runs were beside it, which distinguishes a task that crashes its
// workers from one that happened to run on a crashed worker.
void flow_cell::log_lost_run(instant now, const cell_worker& w, const flow_task_id& task, run_number run) const
{
    const auto found = jobs_.find(task.job);
    const flow_task* const lost_task = found == jobs_.end() ? nullptr : found->second->find_task(task);
    instant started{};
    for (const live_run& live : lost_task == nullptr ? std::vector<live_run>() : lost_task->runs) {
        started = live.run == run && live.worker == w.listing.worker ? live.started : started;
    }
    const instant last_seen = w.unanswered_since == instant{} ? now : w.unanswered_since;
    const std::int64_t ran_ms =
        started == instant{} ? -1 : std::max<std::int64_t>(0, (last_seen - started).count() / 1000);
    edges_.note(log_level::info, "run", "lost",
                {{"task", text_of(task)},
                 {"run", std::to_string(run.value())},
                 {"worker", w.listing.worker.str()},
                 {"ran_ms", std::to_string(ran_ms)},
                 {"beside", std::to_string(w.ledger.size() - 1)}});
}

void flow_cell::log_summary(instant now) const
{
    resources room;
    resources held;
    std::int64_t filling = 0;
    std::int64_t lasting = 0;
    std::int64_t largest_free = 0;
    int schedulable = 0;
    int silent = 0;
    for (const auto& [id, w] : workers_) {
        silent += w.silent > 0 ? 1 : 0;
        if (!w.listed || !w.fenced || w.listing.draining || w.silent > 0) {
            continue;
        }
        ++schedulable;
        room = room + w.listing.room;
        held = held + w.held;
        filling += w.filling_cpu;
        lasting += w.lasting_cpu;
        largest_free = std::max(largest_free, w.listing.room.cpu_millis - w.held.cpu_millis);
    }
    std::map<std::string, int> ready;
    duration oldest_lasting{0};
    std::string oldest;
    for (const auto& [id, job] : jobs_) {
        for (const flow_stage& stage : job->stages()) {
            const flow_step& step = job->step(stage);
            for (std::size_t i = 0; step.lasting && i < stage.tasks.size(); ++i) {
                const flow_task& task = stage.tasks[i];
                if (task.stage == flow_task_state::ready && now - task.ready_since > oldest_lasting) {
                    oldest_lasting = now - task.ready_since;
                    oldest = id.str() + "." + std::to_string(stage.step) + "." + std::to_string(i);
                }
            }
            ready[step.lasting ? "ready_lasting" : step.filling ? "ready_filling" : "ready_plain"] += stage.ready;
        }
    }
    std::size_t unwritten = 0;
    duration oldest_unwritten{0};
    for (const auto& [part, state] : parts_) {
        unwritten += state.dirty.size();
        for (const auto& [id, since] : state.dirty) {
            oldest_unwritten = std::max(oldest_unwritten, now - since);
        }
    }
    edges_.note(log_level::info, "cell", "load",
                {{"cell", id_.str()},
                 {"epoch", std::to_string(epoch_.value())},
                 {"jobs", std::to_string(jobs_.size())},
                 {"awaited", std::to_string(unreconciled_jobs_.size())},
                 {"workers", std::to_string(schedulable)},
                 {"silent", std::to_string(silent)},
                 {"room_cpu", std::to_string(room.cpu_millis)},
                 {"held_cpu", std::to_string(held.cpu_millis)},
                 {"lasting_cpu", std::to_string(lasting)},
                 {"filling_cpu", std::to_string(filling)},
                 {"largest_free_cpu", std::to_string(largest_free)},
                 {"room_memory", std::to_string(room.memory_mib)},
                 {"held_memory", std::to_string(held.memory_mib)},
                 {"ready_lasting", std::to_string(ready["ready_lasting"])},
                 {"ready_filling", std::to_string(ready["ready_filling"])},
                 {"ready_plain", std::to_string(ready["ready_plain"])},
                 {"oldest_lasting", oldest.empty() ? "none" : oldest},
                 {"oldest_lasting_ms", std::to_string(oldest_lasting.count() / 1000)},
                 {"unwritten", std::to_string(unwritten)},
                 {"oldest_unwritten_ms", std::to_string(oldest_unwritten.count() / 1000)},
                 {"commits", std::to_string(stats_.commits)},
                 {"conflicts", std::to_string(stats_.commits_conflicted)}});
}

} // namespace skylarkhub
