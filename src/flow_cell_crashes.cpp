// Workers that crash: which tasks are charged with it, and the workers that are kept for a task under suspicion. See
// place_crash_p.h.
#include <fmt/format.h>

#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"
#include "place_crash_p.h"

namespace skylarkhub {

using namespace flow_limits;

// --- who is charged ---

void flow_cell::note_silence(instant now, const cell_worker& w)
{
    std::set<flow_task_id> tasks;
    for (const auto& [task, run] : w.ledger) {
        tasks.insert(task);
    }
    recent_crashes_.note(now, w.unanswered_since, w.listing.worker, std::move(tasks));
}

std::vector<flow_cell::lost_run> flow_cell::list_lost_runs(const cell_worker& w)
{
    std::vector<lost_run> lost;
    instant newest{};
    for (const auto& [task, run] : w.ledger) {
        const run_lookup parts = look_up_run(w.listing.worker, task, run.run);
        newest = parts.live == nullptr ? newest : std::max(newest, parts.live->started);
    }
    for (const auto& [task, run] : w.ledger) {
        const run_lookup parts = look_up_run(w.listing.worker, task, run.run);
        if (parts.live == nullptr) {
            continue;
        }
        lost_run each{task, run.run, {}};
        each.in_crash.crashes = static_cast<int>(charged_rows(parts.task->crash_rows()).size());
        each.in_crash.alone = parts.live->alone && parts.live->started == newest;
        each.in_crash.accepted = parts.live->confirmed;
        each.in_crash.in_a_wave = recent_crashes_.in_a_wave(w.unanswered_since, w.listing.worker, task.job);
        if (parts.live->started != instant{}) {
            each.in_crash.age = w.unanswered_since - parts.live->started;
        }
        lost.push_back(std::move(each));
    }
    return lost;
}

void flow_cell::charge_runs(instant now, const worker_id& worker, const std::vector<lost_run>& lost)
{
    for (const lost_run& run : pick_noted(lost)) {
        record_crash(now, worker, run);
    }
}

// Empty when the task is not known any more, or has outlived the run.
std::optional<wire::crash_row> flow_cell::add_crash_row(instant now, const worker_id& worker, const lost_run& lost)
{
    const auto found = jobs_.find(lost.task.job);
    if (found == jobs_.end() || found->second->find_task(lost.task) == nullptr) {
        return std::nullopt;
    }
    flow_job& job = *found->second;
    const crash_moment moment{now, edges_.wall(), now - taken_at_, workers_.size()};
    const std::vector<wire::crash_row> noted = job.find_task(lost.task)->crash_rows();
    wire::crash_row crash = recent_crashes_.describe(moment, lost.task, worker, lost.in_crash, noted);
    crash.run = lost.run.value();
    // Many are beside a crash, and few of them a second time.
    const bool matters = lost.in_crash.charged || noted.size() + 1 >= crashes_until_sure;
    const bool kept =
        job.note_crash(lost.task, crash, matters ? crash_persistence::written : crash_persistence::deferred);
    if (!kept) {
        return std::nullopt;
    }
    if (matters) {
        mark_job_dirty(now, job, false);
    }
    return crash;
}

void flow_cell::record_crash(instant now, const worker_id& worker, const lost_run& lost)
{
    const auto crash = add_crash_row(now, worker, lost);
    if (!crash) {
        return;
    }
    const std::vector<wire::crash_row> rows = jobs_.at(lost.task.job)->find_task(lost.task)->crash_rows();
    if (lost.in_crash.charged) {
        recent_crashes_.explain(lost.task, worker, rows);
    }
    else if (!must_start_alone(rows)) {
        return;
    }
    edges_.note(log_level::info, "run", "crashed_worker",
                {{"task", text_of(lost.task)},
                 {"run", std::to_string(lost.run.value())},
                 {"worker", worker.str()},
                 {"ran_ms", std::to_string(crash->age_ms)},
                 {"others_per_s", fmt::format("{:.4f}", crash->rate)},
                 {"charged", lost.in_crash.charged ? "yes" : "no"},
                 {"crashes", std::to_string(rows.size())}});
}

// Starts that the owner before has noted, on a worker whose life is over: it crashed before anybody could ask it.
void flow_cell::charge_noted(instant now, const std::function<bool(const worker_id&)>& is_over)
{
    for (const auto& [id, job] : jobs_) {
        for (const flow_stage& stage : job->stages()) {
            for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
                const flow_task& task = stage.tasks[i];
                const worker_id worker(task.start.worker);
                if (task.may_crash_workers() && worker.valid() && is_over(worker)) {
                    lost_run lost{job->task_id(stage, i), run_number(task.start.run), {}};
                    lost.in_crash.age = start_only_run_age;
                    lost.in_crash.charged = true;
                    record_crash(now, worker, lost);
                }
            }
        }
    }
}

void flow_cell::charge_crash_of(instant now, const cell_worker& w)
{
    if (w.listing.draining) {
        return; // it has left as it said
    }
    if (w.inherited && !w.fenced) {
        charge_noted(now, [&w](const worker_id& id) { return id == w.listing.worker; });
    }
    charge_runs(now, w.listing.worker, list_lost_runs(w));
}

// A worker that does not answer may have crashed, or be cut off. Which it was shows when its address is heard of again.
void flow_cell::record_lapsed_worker(instant now, const cell_worker& w)
{
    std::erase_if(lapsed_workers_, [now](const auto& l) { return now - l.second.at > lapsed_retention; });
    if (w.ledger.empty() || w.listing.draining) {
        return;
    }
    lapsed_worker& life = lapsed_workers_[w.listing.address];
    life = {w.listing.worker, list_lost_runs(w), now};
    // Its tasks are started elsewhere before its next life is heard of.
    for (const lost_run& run : life.runs) {
        if (was_young(run.in_crash)) {
            add_crash_row(now, w.listing.worker, run);
        }
    }
    for (const auto& [id, other] : workers_) {
        if (other.listed && other.listing.address == w.listing.address && id != w.listing.worker) {
            charge_lapsed_worker(now, other.listing);
            return;
        }
    }
}

void flow_cell::charge_lapsed_worker(instant now, const flow_listed_worker& listing)
{
    const auto at = lapsed_workers_.find(listing.address);
    if (at == lapsed_workers_.end()) {
        return;
    }
    if (at->second.worker != listing.worker) {
        charge_runs(now, at->second.worker, at->second.runs);
        schedule_placement(); // a job may have to be given up
    }
    else {
        retract_lapsed_crashes(at->second);
    }
    lapsed_workers_.erase(at);
}

// It was cut off and has not crashed.
void flow_cell::retract_lapsed_crashes(const lapsed_worker& life)
{
    for (const lost_run& run : life.runs) {
        const auto found = jobs_.find(run.task.job);
        if (found != jobs_.end()) {
            found->second->forget_crash(run.task, run.run);
        }
    }
}

void flow_cell::log_given_up(const flow_job& job) const
{
    for (const flow_stage& stage : job.stages()) {
        for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
            const flow_task& task = stage.tasks[i];
            if (task.stage == flow_task_state::done || !task.crashes_workers()) {
                continue;
            }
            edges_.note(log_level::warning, "task", "given_up",
                        {{"task", text_of(job.task_id(stage, i))},
                         {"reason", "it crashes the workers that start it"},
                         {"crashed", describe_crashes(task.crash_rows())}});
        }
    }
}

// --- starting alone ---

// What it had saved may be what crashes its workers.
bool flow_cell::starts_without_checkpoint(const flow_job& job, const flow_stage& stage, const flow_task& task)
{
    return job.step(stage).gang ? std::any_of(stage.tasks.begin(), stage.tasks.end(),
                                              [](const flow_task& t) { return t.may_crash_workers(); })
                                : task.may_crash_workers();
}

bool flow_cell::is_dedicated(instant now, const cell_worker& w)
{
    return w.dedicated_to && now < w.dedicated_until;
}

// Nothing that was started there may still be about to crash it.
bool flow_cell::is_settled_on(instant now, const cell_worker& w)
{
    return std::all_of(w.ledger.begin(), w.ledger.end(), [&](const auto& held) {
        const auto& [task, run] = held;
        const live_run* const live = look_up_run(w.listing.worker, task, run.run).live;
        return live == nullptr || (live->confirmed && now - live->started >= alone_settle);
    });
}

// Tasks there that are charged with a crash: together again they could not be told apart.
std::int64_t flow_cell::count_charged(const cell_worker& w) const
{
    return std::count_if(w.ledger.begin(), w.ledger.end(), [this](const auto& held) {
        const auto found = jobs_.find(held.first.job);
        flow_task* const task = found == jobs_.end() ? nullptr : found->second->find_task(held.first);
        return task != nullptr && !charged_rows(task->crash_rows()).empty();
    });
}

// Of work that ends, one task of a job begins alone at a time: the first shows enough.
bool flow_cell::has_unsettled_dedicated_run(instant now, const flow_job& job)
{
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& named) {
        const cell_worker& w = named.second;
        return is_dedicated(now, w) && w.dedicated_to->job == job.id() && !is_settled_on(now, w);
    });
}

flow_cell::cell_worker* flow_cell::find_dedicated(instant now, const flow_task_id& task)
{
    const auto at = std::find_if(workers_.begin(), workers_.end(), [&](const auto& named) {
        return is_dedicated(now, named.second) && *named.second.dedicated_to == task;
    });
    return at == workers_.end() ? nullptr : &at->second;
}

// Of the workers that will do, the one where least would be lost.
flow_cell::cell_worker* flow_cell::choose_to_dedicate(instant now, const flow_job& job, const flow_stage& stage)
{
    const auto value = [](const cell_worker& w) {
        const auto lasting =
            std::count_if(w.ledger.begin(), w.ledger.end(), [](const auto& held) { return held.second.lasting; });
        return std::pair(lasting, w.ledger.size());
    };
    const flow_step& step = job.step(stage);
    cell_worker* best = nullptr;
    for (auto& [id, w] : workers_) {
        const bool usable = is_schedulable(now, w) && !is_dedicated(now, w) &&
                            w.listing.service == job.row().service_name && has_label(w.listing.labels, step.label) &&
                            has_room(option_of(now, w), step) &&
                            (step.per_worker_most == 0 || count_stage_runs(w, job, stage) < step.per_worker_most);
        if (usable && (best == nullptr || value(w) < value(*best))) {
            best = &w;
        }
    }
    return best;
}

// A worker to itself, once nothing has been started there for a while; null until then.
flow_cell::cell_worker* flow_cell::choose_dedicated(instant now, const flow_job& job, const flow_stage& stage,
                                                    const flow_task_id& id)
{
    isolated_task_waits_ = true;
    cell_worker* w = find_dedicated(now, id);
    const flow_step& step = job.step(stage);
    if (w == nullptr && (step.lasting || step.gang || !has_unsettled_dedicated_run(now, job))) {
        w = choose_to_dedicate(now, job, stage);
        if (w == nullptr) {
            return nullptr;
        }
        w->dedicated_to = id;
        w->dedicated_until = now + alone_wait_most;
    }
    const bool ready =
        w != nullptr && is_schedulable(now, *w) && is_settled_on(now, *w) && has_room(option_of(now, *w), step);
    return ready ? w : nullptr;
}

// Where too many are kept for others already, a task that lasts is missed the sooner: it starts beside others, and a
// crash is not charged to it.
bool flow_cell::needs_dedicated_worker(instant now, const flow_step& step, const flow_task& task) const
{
    if (!task.may_crash_workers() || !step.lasting) {
        return task.may_crash_workers();
    }
    const auto kept_for_others = std::count_if(workers_.begin(), workers_.end(), [&](const auto& named) {
        const cell_worker& w = named.second;
        const auto found = is_dedicated(now, w) ? jobs_.find(w.dedicated_to->job) : jobs_.end();
        return found != jobs_.end() && found->second->find_task(*w.dedicated_to) != &task;
    });
    return kept_for_others < static_cast<std::int64_t>(kept_share_most * static_cast<double>(workers_.size())) + 1;
}

// The moment of a crash is known the better the more often the worker is asked.
bool flow_cell::needs_frequent_polling(instant now, const cell_worker& w)
{
    return is_dedicated(now, w) && !is_settled_on(now, w);
}

void flow_cell::begin_dedicated_run(instant now, cell_worker& w, const flow_task& task)
{
    w.dedicated_until = now + time_alone(longest_age(task.crash_rows()));
}

} // namespace skylarkhub
