// Worker crashes: which tasks are charged with a crash, and the dedicated workers on which suspected tasks run alone.
// A task that is charged with a crash is given a crash row; the rules for the rows are in place_crash_p.h.
#include <fmt/format.h>

#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"
#include "place_crash_p.h"

namespace skylarkhub {

using namespace flow_limits;

// --- charging crashes to tasks ---

// Records that the worker has stopped answering and which tasks it was running.
void flow_cell::note_silence(instant now, const cell_worker& w)
{
    std::set<flow_task_id> tasks;
    for (const auto& [task, run] : w.ledger) {
        tasks.insert(task);
    }
    recent_crashes_.note(now, w.unanswered_since, w.listing.worker, std::move(tasks), w.born.value());
}

// Lists the runs in the ledger of a lost worker with what is needed to decide which of them caused the crash.
std::vector<flow_cell::lost_run> flow_cell::list_lost_runs(const cell_worker& w)
{
    std::vector<lost_run> lost;
    instant newest{};
    for (const auto& [task, run] : w.ledger) {
        const run_lookup lookup = look_up_run(w.listing.worker, task, run.run);
        newest = lookup.live == nullptr ? newest : std::max(newest, lookup.live->started);
    }
    for (const auto& [task, run] : w.ledger) {
        const run_lookup lookup = look_up_run(w.listing.worker, task, run.run);
        if (lookup.live == nullptr) {
            continue;
        }
        lost_run entry{task, run.run, {}};
        entry.in_crash.crashes = static_cast<int>(charged_rows(lookup.task->crash_rows()).size());
        entry.in_crash.alone = lookup.live->alone && lookup.live->started == newest;
        entry.in_crash.accepted = lookup.live->confirmed;
        entry.in_crash.in_a_wave = recent_crashes_.in_a_wave(w.unanswered_since, w.listing.worker, task.job);
        if (lookup.live->started != instant{}) {
            entry.in_crash.age = w.unanswered_since - lookup.live->started;
        }
        lost.push_back(std::move(entry));
    }
    return lost;
}

// Records the crash for each lost run that pick_noted() selects.
void flow_cell::charge_runs(instant now, const worker_life& worker, const std::vector<lost_run>& lost)
{
    for (const lost_run& run : pick_noted(lost)) {
        record_crash(now, worker, run);
    }
}

// Adds a crash row to the task that lost the run. Returns nothing if the task is unknown, or if crashes up to this run
// no longer count because the task has survived the run.
std::optional<wire::crash_row> flow_cell::add_crash_row(instant now, const worker_life& worker, const lost_run& lost,
                                                        crash_persistence persistence)
{
    const auto found = jobs_.find(lost.task.job);
    if (found == jobs_.end() || found->second->find_task(lost.task) == nullptr) {
        return std::nullopt;
    }
    flow_job& job = *found->second;
    const auto workers =
        std::count_if(workers_.begin(), workers_.end(), [](const auto& item) { return item.second.listed; });
    const crash_moment moment{now, edges_.wall(), now - silences_from_, static_cast<std::size_t>(workers)};
    const std::vector<wire::crash_row> noted = job.find_task(lost.task)->crash_rows();
    wire::crash_row crash = recent_crashes_.describe(moment, lost.task, worker.worker, lost.in_crash, noted);
    crash.run = lost.run.value();
    crash.born = worker.born.value();
    const bool write_now = persistence == crash_persistence::written || noted.size() + 1 >= crashes_until_sure;
    const bool added =
        job.note_crash(lost.task, crash, write_now ? crash_persistence::written : crash_persistence::deferred);
    if (!added) {
        return std::nullopt;
    }
    if (write_now) {
        mark_job_dirty(now, job, true); // the next start of the task may crash a worker before the row is written
    }
    return crash;
}

// Adds a crash row to the task and logs the crash if the task is charged with it or has to start alone.
void flow_cell::record_crash(instant now, const worker_life& worker, const lost_run& lost)
{
    const auto crash = add_crash_row(now, worker, lost, crash_persistence::written);
    if (!crash) {
        return;
    }
    const std::vector<wire::crash_row> rows = jobs_.at(lost.task.job)->find_task(lost.task)->crash_rows();
    if (lost.in_crash.charged) {
        recent_crashes_.explain(lost.task, worker.worker, rows);
    }
    else if (!must_start_alone(rows)) {
        return;
    }
    edges_.note(log_level::info, "run", "crashed_worker",
                {{"task", text_of(lost.task)},
                 {"run", std::to_string(lost.run.value())},
                 {"worker", worker.worker.str()},
                 {"ran_ms", std::to_string(crash->age_ms)},
                 {"others_per_s", fmt::format("{:.4f}", crash->rate)},
                 {"charged", lost.in_crash.charged ? "yes" : "no"},
                 {"crashes", std::to_string(rows.size())}});
}

// Takes over which workers stopped answering the owners before, and what ran on those of which it is not known whether
// they have crashed. Without it a new owner would take each crash for one of few or of many, and would not know that a
// run had its worker to itself.
void flow_cell::inherit_silences(instant now, const wire::flow_cell_row& row)
{
    const auto instant_of = [&](std::int64_t wall_ms) {
        const duration ago = edges_.wall().time_since_epoch() - std::chrono::milliseconds(wall_ms);
        return now - std::clamp(ago, duration(0), duration(crash_seen_over));
    };
    silences_from_ = row.silences_from_ms > 0 ? instant_of(row.silences_from_ms) : now;
    for (const wire::flow_silence_row& silence : row.silences) {
        const worker_id worker(silence.worker);
        recent_crashes_.inherit({instant_of(silence.since_ms), worker, silence.born, silence.explained});
        if (!silence.runs.empty()) {
            inherited_silences_[worker] = silence;
        }
    }
}

// Tells a follower in the cell's row which workers stopped answering lately.
void flow_cell::tell_silences(instant now, wire::flow_cell_row& row)
{
    const auto wall_ms = [&](instant then) {
        const auto at = edges_.wall().time_since_epoch() - (now - then);
        return std::chrono::duration_cast<std::chrono::milliseconds>(at).count();
    };
    row.silences_from_ms = wall_ms(std::max(silences_from_, now - crash_seen_over));
    row.silences.clear();
    std::size_t runs = 0;
    for (const worker_silence& silence : recent_crashes_.newest(told_silences_most)) {
        wire::flow_silence_row told;
        told.worker = silence.worker.str();
        told.born = silence.born;
        told.since_ms = wall_ms(silence.since);
        told.explained = silence.explained;
        told.runs = undecided_runs(silence);
        told.runs.resize(std::min(told.runs.size(), told_lost_runs_most - runs));
        runs += told.runs.size();
        row.silences.push_back(std::move(told));
    }
}

// Lists the young runs on a worker that does not answer now: those that this owner started, or while the worker has not
// answered it yet, those that the previous owner told of.
std::vector<wire::flow_lost_run_row> flow_cell::undecided_runs(const worker_silence& silence)
{
    const auto at = workers_.find(silence.worker);
    if (at == workers_.end() || at->second.born.value() != silence.born || at->second.listing.draining) {
        return {};
    }
    const auto inherited = inherited_silences_.find(silence.worker);
    if (!at->second.fenced && inherited != inherited_silences_.end() && inherited->second.born == silence.born) {
        return inherited->second.runs;
    }
    if (at->second.unanswered_since != silence.since) {
        return {};
    }
    std::vector<wire::flow_lost_run_row> told;
    for (const lost_run& lost : list_lost_runs(at->second)) {
        if (!was_young(lost.in_crash)) {
            continue;
        }
        wire::flow_lost_run_row run;
        run.job = lost.task.job.str();
        run.occurrence = lost.task.occurrence;
        run.step = lost.task.step;
        run.index = lost.task.index;
        run.run = lost.run.value();
        run.age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(*lost.in_crash.age).count();
        run.alone = lost.in_crash.alone;
        run.accepted = lost.in_crash.accepted;
        run.in_a_wave = lost.in_crash.in_a_wave;
        told.push_back(std::move(run));
    }
    return told;
}

// Reads what the previous owner told of a run; nothing if its task has ended, or is charged with the run already.
std::optional<flow_cell::lost_run> flow_cell::inherited_run(const wire::flow_lost_run_row& run)
{
    lost_run lost{{job_id(run.job), run.occurrence, run.step, run.index}, run_number(run.run), {}};
    const auto found = jobs_.find(lost.task.job);
    const flow_task* const task = found == jobs_.end() ? nullptr : found->second->find_task(lost.task);
    if (task == nullptr || task->stage == flow_task_state::done || task->crashes.count(lost.run) != 0) {
        return std::nullopt;
    }
    lost.in_crash.age = std::chrono::milliseconds(run.age_ms);
    lost.in_crash.crashes = static_cast<int>(charged_rows(task->crash_rows()).size());
    lost.in_crash.alone = run.alone;
    lost.in_crash.accepted = run.accepted;
    lost.in_crash.in_a_wave = run.in_a_wave;
    return lost;
}

// Charges the runs that the previous owner told of, on lives of workers that are over.
void flow_cell::charge_inherited(instant now, const recorded_start_filter& is_over)
{
    for (auto at = inherited_silences_.begin(); at != inherited_silences_.end();) {
        const worker_life life{at->first, worker_birth(at->second.born)};
        std::vector<lost_run> lost;
        for (const wire::flow_lost_run_row& told : at->second.runs) {
            const auto run = inherited_run(told);
            if (run && is_over(life, run->task, run->run)) {
                lost.push_back(*run);
            }
        }
        charge_runs(now, life, lost);
        at = lost.empty() ? std::next(at) : inherited_silences_.erase(at);
    }
}

// Learns from the record of an adopted run's start how old the run is, and that it has its worker to itself.
void flow_cell::take_over_start(instant now, cell_worker& w, const flow_task_id& id, const flow_task& task,
                                live_run& live)
{
    if (task.start.run != live.run.value() || task.start.at_ms == 0) {
        return;
    }
    live.started = now - longest_age_of(task.start);
    live.alone = task.start.alone;
    const instant until = live.started + time_alone(longest_age(task.crash_rows()));
    if (live.alone && !live.stopping && now < until && !is_dedicated(now, w)) {
        w.dedicated_to = id;
        w.dedicated_until = until;
        advance_hold(now, w, solo_hold_interval);
    }
}

// The age that a run can have reached at the most, of which only its recorded start is known.
duration flow_cell::longest_age_of(const wire::flow_start_row& start)
{
    const duration ago = edges_.wall().time_since_epoch() - std::chrono::milliseconds(start.at_ms);
    return start.at_ms == 0 ? start_only_run_age : std::max(ago, duration(0));
}

// Charges starts that the previous owner recorded on a life of a worker that is over. That worker crashed before the
// new owner could query it.
void flow_cell::charge_noted(instant now, const recorded_start_filter& is_over)
{
    charge_inherited(now, is_over);
    for (const auto& [id, job] : jobs_) {
        for (const flow_stage& stage : job->stages()) {
            for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
                const flow_task& task = stage.tasks[i];
                const worker_life life{worker_id(task.start.worker), worker_birth(task.start.born)};
                const run_number run(task.start.run);
                const bool noted = task.crashes.count(run) != 0;
                if (task.may_crash_workers() && !noted && life.worker.valid() &&
                    is_over(life, job->task_id(stage, i), run)) {
                    lost_run lost{job->task_id(stage, i), run, {}};
                    lost.in_crash.age = longest_age_of(task.start);
                    lost.in_crash.alone = task.start.alone;
                    lost.in_crash.unseen = true;
                    lost.in_crash.charged = true;
                    if (was_young(lost.in_crash)) {
                        record_crash(now, life, lost);
                    }
                }
            }
        }
    }
}

// Returns whether the worker crashed while the rows of the jobs were being read, with a run that it had not reported as
// ended. A draining worker has left on purpose.
bool flow_cell::has_crashed_unread(const worker_id& worker, const flow_task_id& task, run_number run) const
{
    const auto at = workers_.find(worker);
    if (at == workers_.end() || !at->second.incarnation_ended || at->second.listing.draining) {
        return false;
    }
    const std::vector<reported_end> none;
    const std::vector<reported_end>& ends = at->second.early ? at->second.early->answer.ends : none;
    return std::none_of(ends.begin(), ends.end(),
                        [&](const reported_end& end) { return end.task == task && end.run == run; });
}

// Suspects the tasks that no worker lists if a worker crashed before this owner had heard of it: the previous owner may
// have started them there. As that is not known, they are only started alone one crash sooner.
void flow_cell::suspect_tasks_not_found(flow_job& job)
{
    if (!inherited_worker_crashed_) {
        return;
    }
    for (flow_stage& stage : job.stages()) {
        for (flow_task& task : stage.tasks) {
            task.may_have_crashed = task.stage == flow_task_state::ready && task.runs.empty();
        }
    }
}

// Charges the tasks of a worker that has crashed.
void flow_cell::charge_crash_of(instant now, const cell_worker& w)
{
    if (w.listing.draining) {
        return; // a draining worker has left on purpose
    }
    if (w.inherited && !w.fenced) {
        inherited_worker_crashed_ = true;
        charge_noted(now, [&w](const worker_life& life, const flow_task_id&, run_number) {
            return life.worker == w.listing.worker;
        });
    }
    charge_runs(now, w.life(), list_lost_runs(w));
}

// Records the runs of a worker whose leases have ended without an answer. The worker may have crashed or be
// unreachable; this is decided when a worker is listed at the same address again.
void flow_cell::record_lapsed_worker(instant now, const cell_worker& w)
{
    std::erase_if(lapsed_workers_, [now](const auto& l) { return now - l.second.at > lapsed_retention; });
    if (w.ledger.empty() || w.listing.draining) {
        return;
    }
    lapsed_worker& record = lapsed_workers_[w.listing.address];
    record = {w.life(), list_lost_runs(w), now};
    // The lost tasks are started elsewhere before a new incarnation of the worker is listed, so young runs get their
    // crash rows now. These are not written at once, since they are removed if the worker was only unreachable.
    for (const lost_run& run : record.runs) {
        if (was_young(run.in_crash)) {
            add_crash_row(now, record.life, run, crash_persistence::deferred);
        }
    }
    for (const auto& [id, other] : workers_) {
        if (other.listed && other.listing.address == w.listing.address && id != w.listing.worker) {
            charge_lapsed_worker(now, other.listing);
            return;
        }
    }
}

// Decides about a lapsed worker when its address is listed again. A different incarnation shows that the worker has
// crashed; the same incarnation shows that it was only unreachable.
void flow_cell::charge_lapsed_worker(instant now, const flow_listed_worker& listing)
{
    const auto at = lapsed_workers_.find(listing.address);
    if (at == lapsed_workers_.end()) {
        return;
    }
    if (at->second.life.worker == listing.worker && at->second.life.born > worker_birth()) {
        return; // its own answer will show whether it is still the same life
    }
    if (at->second.life.worker != listing.worker) {
        charge_runs(now, at->second.life, at->second.runs);
        schedule_placement(); // placement ends a job whose task has crashed too many workers
    }
    else {
        retract_lapsed_crashes(at->second);
    }
    lapsed_workers_.erase(at);
}

// Decides about a lapsed worker when it answers under its id: another life shows that it has crashed.
void flow_cell::charge_lapsed_life(instant now, const cell_worker& w)
{
    const auto at = lapsed_workers_.find(w.listing.address);
    if (at == lapsed_workers_.end() || at->second.life.worker != w.listing.worker) {
        return;
    }
    if (at->second.life.born != w.born) {
        charge_runs(now, at->second.life, at->second.runs);
        schedule_placement(); // placement ends a job whose task has crashed too many workers
    }
    else {
        retract_lapsed_crashes(at->second);
    }
    lapsed_workers_.erase(at);
}

// Removes the crash rows of a worker that was unreachable and has not crashed.
void flow_cell::retract_lapsed_crashes(const lapsed_worker& life)
{
    for (const lost_run& run : life.runs) {
        const auto found = jobs_.find(run.task.job);
        if (found != jobs_.end()) {
            found->second->forget_crash(run.task, run.run);
        }
    }
}

// Logs each task of a failed job that has crashed too many workers.
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
                         {"reason", "the task repeatedly crashed the workers that started it"},
                         {"crashed", describe_crashes(task.crash_rows())}});
        }
    }
}

// --- dedicated workers ---

// Returns whether the task, or for a gang any member, may crash workers. The checkpoint may be the cause of the
// crashes, so such a task starts without it.
bool flow_cell::starts_without_checkpoint(const flow_job& job, const flow_stage& stage, const flow_task& task)
{
    return job.step(stage).gang ? std::any_of(stage.tasks.begin(), stage.tasks.end(),
                                              [](const flow_task& t) { return t.may_crash_workers(); })
                                : task.may_crash_workers();
}

// Returns whether the worker accepts only one task, which is suspected of crashing workers.
bool flow_cell::is_dedicated(instant now, const cell_worker& w)
{
    return w.dedicated_to && now < w.dedicated_until;
}

// Returns whether every run on the worker has been confirmed and has run for alone_settle, so that none of them is
// likely to crash the worker.
bool flow_cell::is_settled_on(instant now, const cell_worker& w)
{
    return std::all_of(w.ledger.begin(), w.ledger.end(), [&](const auto& item) {
        const auto& [task, run] = item;
        const live_run* const live = look_up_run(w.listing.worker, task, run.run).live;
        return live == nullptr || (live->confirmed && now - live->started >= alone_settle);
    });
}

// Counts the tasks on the worker that are charged with a crash. If two of them ran together, a further crash could not
// be attributed to either.
std::int64_t flow_cell::count_charged(const cell_worker& w) const
{
    return std::count_if(w.ledger.begin(), w.ledger.end(), [this](const auto& item) {
        const auto found = jobs_.find(item.first.job);
        flow_task* const task = found == jobs_.end() ? nullptr : found->second->find_task(item.first);
        return task != nullptr && !charged_rows(task->crash_rows()).empty();
    });
}

// Returns whether a dedicated run of the job has not settled yet. Of a job's tasks that are not lasting, only one
// starts on a dedicated worker at a time, as the first shows whether the job crashes workers.
bool flow_cell::has_unsettled_dedicated_run(instant now, const flow_job& job)
{
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& item) {
        const cell_worker& w = item.second;
        return is_dedicated(now, w) && w.dedicated_to->job == job.id() && !is_settled_on(now, w);
    });
}

// Returns the worker that is dedicated to the task; null when none is.
flow_cell::cell_worker* flow_cell::find_dedicated(instant now, const flow_task_id& task)
{
    const auto at = std::find_if(workers_.begin(), workers_.end(), [&](const auto& item) {
        return is_dedicated(now, item.second) && *item.second.dedicated_to == task;
    });
    return at == workers_.end() ? nullptr : &at->second;
}

// Returns the worker to dedicate: of those that can run the task, the one with the fewest lasting runs, and then with
// the fewest runs.
flow_cell::cell_worker* flow_cell::choose_to_dedicate(instant now, const flow_job& job, const flow_stage& stage,
                                                      const flow_task_id& task)
{
    const auto eviction_cost = [](const cell_worker& w) {
        const auto lasting =
            std::count_if(w.ledger.begin(), w.ledger.end(), [](const auto& item) { return item.second.lasting; });
        return std::pair(lasting, w.ledger.size());
    };
    const flow_step& step = job.step(stage);
    cell_worker* best = nullptr;
    for (auto& [id, w] : workers_) {
        const bool usable = is_open_to(now, w, job.row().service_name, step) && !is_dedicated(now, w) &&
                            has_room(option_of(now, w), step) && !is_spread_limit_reached(w, step, task);
        if (usable && (best == nullptr || eviction_cost(w) < eviction_cost(*best))) {
            best = &w;
        }
    }
    return best;
}

// Returns a worker dedicated to the task once all runs there have settled. Until then returns null, while the worker
// accepts no other tasks.
flow_cell::cell_worker* flow_cell::choose_dedicated(instant now, const flow_job& job, const flow_stage& stage,
                                                    const flow_task_id& id)
{
    isolated_task_waits_ = true;
    cell_worker* w = find_dedicated(now, id);
    const flow_step& step = job.step(stage);
    if (w == nullptr && (step.lasting || step.gang || !has_unsettled_dedicated_run(now, job))) {
        w = choose_to_dedicate(now, job, stage, id);
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

// Returns whether the task has to run on a dedicated worker. A lasting task is missed sooner than other work, so it
// does not wait when more than the permitted share of workers is dedicated to other tasks. It then starts beside other
// tasks, and a crash is not charged to it.
bool flow_cell::needs_dedicated_worker(instant now, const flow_step& step, const flow_task& task) const
{
    if (!task.may_crash_workers() || !step.lasting) {
        return task.may_crash_workers();
    }
    const auto dedicated_to_others = std::count_if(workers_.begin(), workers_.end(), [&](const auto& item) {
        const cell_worker& w = item.second;
        const auto found = is_dedicated(now, w) ? jobs_.find(w.dedicated_to->job) : jobs_.end();
        return found != jobs_.end() && found->second->find_task(*w.dedicated_to) != &task;
    });
    return dedicated_to_others < static_cast<std::int64_t>(kept_share_most * static_cast<double>(workers_.size())) + 1;
}

// Returns whether the worker is polled at shorter intervals. Frequent polling determines the time of a crash more
// precisely.
bool flow_cell::needs_frequent_polling(instant now, const cell_worker& w)
{
    return is_dedicated(now, w) && !is_settled_on(now, w);
}

// Extends the dedication to the time that the task has to run alone, which depends on the age of its longest run
// before a crash.
void flow_cell::begin_dedicated_run(instant now, cell_worker& w, const flow_task& task)
{
    w.dedicated_until = now + time_alone(longest_age(task.crash_rows()));
    advance_hold(now, w, solo_hold_interval); // one planned for later would tell too late how soon the worker crashed
}

} // namespace skylarkhub
