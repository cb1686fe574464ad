// Workers that crash: which tasks are charged with it, and the workers that are kept for a task under suspicion. See
// place_crash_p.h.
#include <algorithm>
#include <utility>

#include "cell_state_p.h"

namespace skylarkhub::detail {

namespace {

const std::vector<wire::crash_row>& crashes_of(const job_record& job, std::int32_t index)
{
    static const std::vector<wire::crash_row> none;
    const task_past* const past = job.past(index);
    return past == nullptr ? none : past->crashes;
}

void note_crash_under(cell_state& s, const worker_id& worker, const lost_attempt& lost)
{
    job_record* const job = find_job(s, lost.task.job);
    if (job == nullptr || !job->has(lost.task.index) || job->phase(lost.task.index) == task_phase::finished) {
        return;
    }
    const crash_moment moment{s.now, s.wall, s.now - s.taken_at, s.workers.size()};
    wire::crash_row crash =
        s.recent_crashes.describe(moment, lost.task, worker, lost.in_crash, crashes_of(*job, lost.task.index));
    crash.run = lost.attempt.value();
    job->note_crash(lost.task.index, crash);
    if (lost.in_crash.charged) {
        s.recent_crashes.explain(lost.task, worker, crashes_of(*job, lost.task.index));
    }
    note_suspects(s, *job);
    touch(s, *job);
}

// What a crash of the worker means for an attempt there; empty unless its task is bound to it.
std::optional<lost_attempt> find_lost(cell_state& s, const cell_worker& worker, const ledger_entry& entry)
{
    job_record* const job = find_job(s, entry.task.job);
    const task_run* const run = job == nullptr ? nullptr : job->run(entry.task.index);
    if (run == nullptr || run->attempt != entry.attempt || entry.first_sent.value() == 0) {
        return std::nullopt;
    }
    lost_attempt lost{entry.task, entry.attempt, {}};
    lost.in_crash.crashes = static_cast<int>(charged_rows(crashes_of(*job, entry.task.index)).size());
    lost.in_crash.alone = run->alone && run->started_at == worker.last_start;
    lost.in_crash.accepted = run->reported;
    lost.in_crash.in_a_wave =
        s.recent_crashes.in_a_wave(worker.unanswered_since, worker.listing.worker, entry.task.job);
    if (run->started_at != instant{}) {
        lost.in_crash.age = worker.unanswered_since - run->started_at;
    }
    return lost;
}

cell_worker* find_kept(cell_state& s, const task_id& task)
{
    const auto kept = std::find_if(s.workers.begin(), s.workers.end(), [&](const auto& named) {
        return is_kept(s, named.second) && *named.second.kept_for == task;
    });
    return kept == s.workers.end() ? nullptr : &kept->second;
}

// Of the workers that will do, the one where least would be lost.
cell_worker* choose_to_keep(cell_state& s, const job_record& job)
{
    cell_worker* best = nullptr;
    std::size_t kept = 0;
    for (auto& [id, worker] : s.workers) {
        kept += is_kept(s, worker) ? 1 : 0;
        const bool usable = is_usable(s, id, worker) && !is_kept(s, worker) && has_room(worker, job.spec().declared);
        if (usable && (best == nullptr || worker.ledger.entries().size() < best->ledger.entries().size())) {
            best = &worker;
        }
    }
    const double most = kept_share_most * static_cast<double>(s.workers.size()) + 1;
    return static_cast<double>(kept) < most ? best : nullptr;
}

} // namespace

void note_unanswered(cell_state& s, cell_worker& worker)
{
    if (worker.unanswered_since != instant{}) {
        return;
    }
    worker.unanswered_since = s.now;
    std::set<task_id> tasks;
    for (const ledger_entry& entry : worker.ledger.entries()) {
        tasks.insert(entry.task);
    }
    s.recent_crashes.note(s.now, s.now, worker.listing.worker, std::move(tasks));
}

void note_boot(cell_state& s, cell_worker& worker, const std::string& boot)
{
    if (worker.boot == boot) {
        if (!worker.restarted) {
            worker.lost.clear(); // it was cut off and has not crashed
        }
        return;
    }
    if (!worker.boot.empty()) {
        note_unanswered(s, worker);
        // Asked later, the new boot would say that it isn't leaving, and a planned stop would pass for a crash.
        const bool planned = worker.leaving || worker.said_leaving;
        worker.restarted = worker.restarted || !planned;
    }
    keep_unread_ends(worker);
    worker.said_leaving = false;
    worker.boot = boot;
    worker.usage_learned = worker_time{}; // its clock began anew
}

void remember_lost(cell_state& s, cell_worker& worker, const ledger_entry& entry)
{
    const std::optional<lost_attempt> lost = find_lost(s, worker, entry);
    if (!lost || worker.leaving) {
        return;
    }
    worker.lost.push_back(*lost);
    if (is_suspect(s, entry.task)) {
        s.suspects.insert(entry.task);
    }
}

void charge_restart(cell_state& s, cell_worker& worker)
{
    if (!worker.restarted) {
        return;
    }
    worker.restarted = false;
    std::vector<lost_attempt> all = std::exchange(worker.lost, {});
    if (worker.leaving) {
        return;
    }
    for (const ledger_entry& entry : worker.ledger.entries()) {
        if (const std::optional<lost_attempt> lost = find_lost(s, worker, entry)) {
            all.push_back(*lost);
        }
    }
    for (const lost_attempt& lost : pick_noted(all)) {
        note_crash_under(s, worker.listing.worker, lost);
    }
}

void note_suspects(cell_state& s, const job_record& job)
{
    for (const std::int32_t index : job.suspected()) {
        s.suspects.insert({job.id(), index});
    }
}

bool is_suspect(const cell_state& s, const task_id& task)
{
    const auto found = s.jobs.find(task.job);
    if (found == s.jobs.end() || !found->second.has(task.index)) {
        return false;
    }
    const std::vector<wire::crash_row>& noted = crashes_of(found->second, task.index);
    std::size_t crashes = 0; // not charged yet
    for (const auto& [id, worker] : s.workers) {
        crashes += static_cast<std::size_t>(std::count_if(worker.lost.begin(), worker.lost.end(),
                                                          [&](const lost_attempt& lost) { return lost.task == task; }));
    }
    return must_start_alone(noted) ||
           charged_rows(noted).size() + crashes >= static_cast<std::size_t>(crashes_until_alone);
}

void park_crashers(cell_state& s)
{
    for (const task_id& task : s.suspects) {
        job_record* const job = find_job(s, task.job);
        const bool waits = job != nullptr && job->has(task.index) && job->phase(task.index) == task_phase::queued;
        if (waits && job->crashes_workers(task.index)) {
            park_job(s, *job,
                     "task " + std::to_string(task.index) +
                         " crashes the workers that start it: " + describe_crashes(crashes_of(*job, task.index)));
        }
    }
}

bool is_kept(const cell_state& s, const cell_worker& worker)
{
    return worker.kept_for && s.now < worker.kept_until;
}

// The moment of a crash is known the better the more often the worker is asked.
bool is_watched(const cell_state& s, const cell_worker& worker)
{
    return is_kept(s, worker) && s.now - worker.last_start < alone_settle;
}

cell_worker* choose_alone(cell_state& s, const job_record& job, const task_id& task)
{
    cell_worker* worker = find_kept(s, task);
    if (worker == nullptr) {
        worker = choose_to_keep(s, job);
        if (worker == nullptr) {
            return nullptr;
        }
        worker->kept_for = task;
        worker->kept_until = s.now + alone_wait_most;
    }
    const bool settled = s.now - worker->last_start >= alone_settle;
    const bool ready =
        settled && is_usable(s, worker->listing.worker, *worker) && has_room(*worker, job.spec().declared);
    return ready ? worker : nullptr;
}

} // namespace skylarkhub::detail
