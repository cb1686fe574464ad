// The workers of a cell: fencing, leases, what runs there, and the ends they list.
#include <algorithm>
#include <cmath>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

void flow_cell::on_workers_listed(instant now, const std::vector<flow_listed_worker>& workers)
{
    workers_listed_since_takeover_ = true;
    std::set<worker_id> present;
    for (const flow_listed_worker& listing : workers) {
        present.insert(listing.worker);
        const auto [at, added] = workers_.try_emplace(listing.worker);
        cell_worker& w = at->second;
        if (w.incarnation_ended) {
            continue; // its entry outlives it, or never was a worker's
        }
        if (added || w.listing.draining != listing.draining || !w.listed) {
            edges_.note(log_level::info, "worker", "listed",
                        {{"cell", id_.str()},
                         {"worker", listing.worker.str()},
                         {"address", listing.address.str()},
                         {"draining", listing.draining ? "yes" : "no"}});
        }
        if (added && role_ == role::owning) {
            charge_lapsed_worker(now, listing);
        }
        // The exchanges with a worker that fell out of the list end once nothing runs there: without another one it
        // would take tasks again and nobody would hear their ends.
        const bool held = w.listed && !added;
        w.listing = listing;
        w.listed = true;
        if (role_ == role::owning && !held) {
            schedule_hold(now, listing.worker, duration(0));
        }
        if (role_ == role::owning && added) {
            next_renewal_ = now; // it takes tasks once the row names it
        }
    }
    for (auto at = workers_.begin(); at != workers_.end();) {
        cell_worker& w = at->second;
        if (present.count(at->first) == 0) {
            if (w.listed) {
                edges_.note(log_level::info, "worker", "unlisted", {{"cell", id_.str()}, {"worker", at->first.str()}});
            }
            w.listed = false;
            if (role_ == role::watching || (role_ == role::owning && !w.hold_in_flight &&
                                            (w.incarnation_ended || is_idle_and_unlisted(w) ||
                                             (!w.fenced && w.ledger.empty() && all_workers_reconciled(now))))) {
                at = workers_.erase(at);
                continue;
            }
        }
        ++at;
    }
    if (role_ == role::owning) {
        schedule_placement();
    }
}

// --- leases ---

std::optional<worker_time> flow_cell::lease_end(const cell_worker& w, instant now) const
{
    if (!w.reading) {
        return std::nullopt;
    }
    return *w.reading + (now - w.clock_read_at) + lease;
}

void flow_cell::note_lease(cell_worker& w, instant now) const
{
    w.lapsed_after = std::max(w.lapsed_after, now + certainly(lease));
}

// A worker whose leases have ended is asked once all the same: it may list ends that the owner before could not hear.
bool flow_cell::all_workers_reconciled(instant now) const
{
    const bool may_be_lapsed = may_expire_leases(now);
    return std::all_of(workers_.begin(), workers_.end(), [may_be_lapsed](const auto& named) {
        const cell_worker& w = named.second;
        return w.fenced || !w.inherited || (w.lapsed && w.silent > 0 && may_be_lapsed);
    });
}

// Tasks that last and were on such a worker may start from now on.
void flow_cell::note_lapsed(instant now, cell_worker& w)
{
    if (!w.inherited || w.has_accepted_epoch() || w.lapsed || now < w.lapsed_after || !may_expire_leases(now)) {
        return;
    }
    w.lapsed = true;
    edges_.note(log_level::info, "worker", "lapsed_unasked",
                {{"cell", id_.str()},
                 {"worker", w.listing.worker.str()},
                 {"after_ms", std::to_string((now - taken_at_).count() / 1000)}});
    schedule_placement();
}

// What could not be found may be started from now on.
void flow_cell::finish_reconciliation(instant now)
{
    if (unreconciled_jobs_.empty() || !all_workers_reconciled(now)) {
        return;
    }
    const auto silent = std::count_if(workers_.begin(), workers_.end(),
                                      [](const auto& w) { return w.second.inherited && !w.second.fenced; });
    edges_.note(log_level::info, "cell", "accounted",
                {{"cell", id_.str()},
                 {"epoch", std::to_string(epoch_.value())},
                 {"jobs", std::to_string(unreconciled_jobs_.size())},
                 {"after_ms", std::to_string((now - taken_at_).count() / 1000)},
                 {"never_answered", std::to_string(silent)}});
    for (const job_id& id : std::exchange(unreconciled_jobs_, {})) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && found->second->cancelled()) {
            mark_job_dirty(now, *found->second, false); // nothing of it runs anywhere: it may be put away
        }
        else if (found != jobs_.end()) {
            end_if_decided(now, *found->second);
        }
    }
    schedule_placement();
}

void flow_cell::check_lapsed(instant now)
{
    for (auto at = workers_.begin(); at != workers_.end();) {
        cell_worker& w = at->second;
        declare_lost_if_lapsed(now, w);
        note_lapsed(now, w);
        // The name of one that is over is kept while the list names it: taken for new it would be asked, and logged,
        // with each reading.
        if (is_idle_and_unlisted(w) && !w.hold_in_flight && !w.incarnation_ended) {
            at = workers_.erase(at);
            continue;
        }
        ++at;
    }
    finish_reconciliation(now);
}

// A run there that is not in the ledger is still to be stopped, or to be known: left alone on a worker that fell out of
// the list, a task of a cancelled job would go on until its lease ends.
bool flow_cell::is_idle_and_unlisted(const cell_worker& w)
{
    return !w.listed && w.fenced && w.ledger.empty() && w.untracked_runs == 0;
}

// Judged only once the exchange that was under way has concluded without an answer. An owner that was held up for
// longer than a lease finds the answers of all its workers waiting, and its own tick before them: taken for dead, they
// would have their tasks started again although the answers tell that these are done. And not by an owner that may have
// been followed: its follower renews the leases, and the row would tell that a run has ended which goes on.
void flow_cell::declare_lost_if_lapsed(instant now, cell_worker& w)
{
    if (!may_expire_leases(now)) {
        return;
    }
    const bool silent = w.silent > 0 && !w.hold_in_flight && now - w.last_answer > lease && w.lapsed_after != instant{};
    if (silent && now > w.lapsed_after && (!w.ledger.empty() || w.untracked_runs > 0)) {
        on_worker_lost(now, w, worker_loss_cause::lapsed);
    }
}

// Nothing runs there any more. The exchange that is under way may have been answered before, with ends that only this
// answer tells, and be waiting behind the news: its tasks are started again once it has concluded, at its time limit at
// the latest.
void flow_cell::on_incarnation_ended(instant now, cell_worker& w)
{
    w.incarnation_ended = true;
    w.listed = false;
    if (!w.hold_in_flight) {
        on_worker_lost(now, w, worker_loss_cause::crashed);
    }
}

// Everything that ran there has ended and told nobody.
void flow_cell::on_worker_lost(instant now, cell_worker& w, worker_loss_cause how)
{
    const bool crashed = how == worker_loss_cause::crashed;
    if (w.unanswered_since == instant{}) {
        w.unanswered_since = now;
        note_silence(now, w);
    }
    if (!w.ledger.empty()) {
        edges_.note(
            log_level::warning, "worker", "lost",
            {{"cell", id_.str()},
             {"worker", w.listing.worker.str()},
             {"runs", std::to_string(w.ledger.size())},
             {"reason", crashed ? "another life answers at its address" : "no answer for longer than its lease"}});
    }
    for (const auto& [task, run] : w.ledger) {
        log_lost_run(now, w, task, run.run);
    }
    if (crashed) {
        charge_crash_of(now, w);
    }
    else {
        record_lapsed_worker(now, w);
    }
    while (!w.ledger.empty()) {
        const auto [task, run] = *w.ledger.begin();
        ++stats_.lost;
        drop_run(now, w, task, run.run);
    }
    w.fenced = true; // nothing of an earlier owner runs there either
    w.untracked_runs = 0;
    w.listed = false;
}

// Whether an order's answer shows that another owner has followed this one, or that the worker's life has ended; then
// everything is done that follows from it.
bool flow_cell::handle_fatal_result(instant now, cell_worker& w, order_result result)
{
    if (result == order_result::fenced) {
        lose_ownership(now, "a worker has seen a higher fencing token");
        return true;
    }
    if (result == order_result::other_life) {
        on_incarnation_ended(now, w);
        schedule_placement();
        return true;
    }
    return false;
}

// --- exchanges ---

void flow_cell::schedule_hold(instant now, const worker_id& id, duration wait)
{
    const auto at = workers_.find(id);
    if (at == workers_.end() || at->second.hold_planned || at->second.hold_in_flight) {
        return;
    }
    if (wait <= duration(0)) {
        send_hold(now, id);
        return;
    }
    at->second.hold_planned = true;
    edges_.after(wait, [this, id, life = ownership_generation_](instant then) {
        const auto w = workers_.find(id);
        if (life != ownership_generation_ || w == workers_.end()) {
            return;
        }
        w->second.hold_planned = false;
        send_hold(then, id);
    });
}

void flow_cell::send_hold(instant now, const worker_id& id)
{
    const auto at = workers_.find(id);
    if (at == workers_.end() || at->second.hold_in_flight) {
        return;
    }
    cell_worker& w = at->second;
    if (!may_renew_leases(now)) {
        if (owns()) {
            schedule_hold(now, id, hold_retry);
        }
        return;
    }
    if (is_idle_and_unlisted(w)) {
        return;
    }
    w.hold_in_flight = true;
    ++stats_.holds;
    hold_worker order;
    order.fence = epoch_;
    order.confirmed = w.confirmed;
    // A worker that did not answer may still have heard: renewing without end would leave its tasks in doubt without
    // end. The exchanges that follow an unanswered one only ask.
    const bool renewing = w.has_accepted_epoch() && w.silent == 0 && !w.published_silent;
    order.lease_until = renewing ? lease_end(w, now) : std::nullopt;
    order.wait = renewing && w.fenced && !needs_frequent_polling(now, w) ? hold_wait : duration(0);
    if (order.lease_until) {
        note_lease(w, now);
    }
    edges_.order(place_of(w), order, hold_timeout,
                 [this, id, sent = now, wait = order.wait, life = ownership_generation_](instant then,
                                                                                         const order_answer& answer) {
                     if (life == ownership_generation_) {
                         on_hold_result(then, id, sent, wait, answer);
                         return;
                     }
                     persist_listed_ends(answer); // asked by an owner that has been followed since
                 });
}

void flow_cell::on_hold_result(instant now, const worker_id& id, instant sent, duration wait,
                               const order_answer& answer)
{
    const auto at = workers_.find(id);
    if (at == workers_.end()) {
        return;
    }
    cell_worker& w = at->second;
    w.hold_in_flight = false;
    if (handle_fatal_result(now, w, answer.result)) {
        return;
    }
    const bool early = role_ == role::reading && answer.result == order_result::accepted;
    if (early) {
        note_epoch_accepted(w, now);
        w.early = buffered_inventory{sent, answer};
    }
    if (w.incarnation_ended) {
        if (answer.result == order_result::accepted && !early) {
            process_inventory(now, w, sent, answer);
        }
        on_incarnation_ended(now, w);
        return;
    }
    if (answer.result != order_result::accepted) {
        if (w.silent == 0) {
            w.unanswered_since = std::min(now, sent + wait + worker_answer_timeout);
            note_silence(now, w);
        }
        ++w.silent;
        ++stats_.holds_unanswered;
        if (w.silent == max_unanswered_holds) {
            edges_.note(log_level::warning, "worker", "silent",
                        {{"cell", id_.str()}, {"worker", id.str()}, {"reason", answer.reason}});
        }
        declare_lost_if_lapsed(now, w);
        schedule_hold(now, id, hold_retry);
        return;
    }
    w.silent = 0;
    w.unanswered_since = instant{};
    w.last_answer = now;
    const bool first_reading = !w.reading && answer.clock;
    if (answer.clock) {
        w.reading = answer.clock;
        w.clock_read_at = now;
    }
    if (early) {
        next_renewal_ = w.published_silent ? now : next_renewal_; // as below
        // Its clock was not known before, so this exchange gave no lease: owners that follow each other within a second
        // would let all that runs there lapse.
        schedule_hold(now, id, first_reading ? min_hold_interval : hold_wait);
        return;
    }
    process_inventory(now, w, sent, answer);
    const auto again = workers_.find(id);
    if (again == workers_.end()) {
        return;
    }
    if (again->second.published_silent) {
        next_renewal_ = now; // it is given leases once the row no longer says that it is silent
        schedule_hold(now, id, hold_retry);
        return;
    }
    const bool all_told = again->second.unconfirmed.empty() && again->second.unknown_job_ends.empty();
    const duration gap = needs_frequent_polling(now, again->second) ? solo_hold_interval
                         : all_told                                 ? min_hold_interval
                                                                    : min_hold_interval_unconfirmed;
    schedule_hold(now, id, sent + gap - now);
}

// From now on it takes no order of the owner before.
void flow_cell::note_epoch_accepted(cell_worker& w, instant now)
{
    if (w.inherited && !w.has_accepted_epoch()) {
        w.lapsed_after = std::min(w.lapsed_after, now + certainly(lease));
    }
}

// What the workers told while the rows were read.
void flow_cell::process_buffered_inventories(instant now)
{
    for (auto& [id, w] : workers_) {
        if (const auto early = std::exchange(w.early, std::nullopt)) {
            process_inventory(now, w, early->sent, early->answer);
        }
        if (w.incarnation_ended) {
            on_worker_lost(now, w, worker_loss_cause::crashed);
        }
    }
}

void flow_cell::process_inventory(instant now, cell_worker& w, instant sent, const order_answer& answer)
{
    const bool first = !w.fenced;
    note_epoch_accepted(w, now);
    w.fenced = true;
    for (const reported_end& end : answer.ends) {
        if (end.number > w.seen) {
            w.seen = end.number;
            process_end(now, w, end);
        }
    }
    for (const reported_run& run : answer.running) {
        process_running(now, w, run);
    }
    // What a run takes that the ledger does not know is not known either: a start beside it could go over the room. Its
    // job's row is being read, or it is being stopped.
    w.untracked_runs =
        static_cast<std::int32_t>(std::count_if(answer.running.begin(), answer.running.end(),
                                                [&w](const reported_run& r) { return w.ledger.count(r.task) == 0; }));
    if (!first) {
        drop_vanished_runs(now, w, sent, answer);
    }
    confirm_ends(w);
    process_measurements(now, w, answer);
    if (first) {
        finish_reconciliation(now);
        schedule_placement();
    }
}

void flow_cell::process_end(instant now, cell_worker& w, const reported_end& end)
{
    const auto found = jobs_.find(end.task.job);
    if (found == jobs_.end()) {
        ledger_remove(w, end.task, end.run);
        // An ended job's end tells nothing that is not durable already. Of any other its row must tell: a job that the
        // owner before was told of after this one had read the rows. Confirmed unread, its end would be forgotten and
        // the task start again once the row is come across.
        if (recently_ended_jobs_.count(end.task.job) == 0) {
            w.unknown_job_ends.push_back(end);
            read_unknown_job(end.task.job);
        }
        return;
    }
    flow_job& job = *found->second;
    flow_task* const task = job.find_task(end.task);
    if (task == nullptr) {
        ledger_remove(w, end.task, end.run);
        return;
    }
    task->last_run = std::max(task->last_run, end.run);
    const flow_step& step = job.step(*job.find_stage(end.task));
    job.note_checkpoint(end.task, end.checkpoint);
    const std::uint64_t before = job.changes();
    job.note_job_started();
    if (!step.lasting) {
        job.note_end(end);
    }
    if (end.how == run_end::done || end.how == run_end::failed) {
        job.note_outlived(end.task, end.run); // it came to its end
    }
    switch (end.how) {
    case run_end::done:
        stats_.done += step.lasting ? 0 : 1;
        break;
    case run_end::failed:
        ++stats_.failed;
        task->avoided_worker = w.listing.worker;
        distrust(now, w, 1);
        break;
    case run_end::stopped:
        ++stats_.stopped;
        break;
    case run_end::lapsed:
    case run_end::broken:
    case run_end::alone:
        ++stats_.lapsed;
        break;
    }
    edges_.note(log_level::info, "run", "ended",
                {{"task", text_of(end.task)},
                 {"run", std::to_string(end.run.value())},
                 {"worker", w.listing.worker.str()},
                 {"how", name_of(end.how)}});
    if (job.changes() != before) {
        w.unconfirmed.push_back({end.number, end.task.job, job.changes()});
    }
    drop_run(now, w, end.task, end.run);
    // drop_run may have ended the job.
    const auto still = jobs_.find(end.task.job);
    if (still == jobs_.end()) {
        return;
    }
    if (end.how == run_end::done && !step.lasting) {
        after_done(now, *still->second, end.task);
    }
    else if (end.how == run_end::failed && !step.lasting && !still->second->ended()) {
        if (out_of_attempts(*still->second, *task)) {
            end_job(now, *still->second, flow_state::failed);
        }
        mark_job_dirty(now, *still->second, true);
    }
    else if (job.dirty()) {
        mark_job_dirty(now, job, false);
    }
}

void flow_cell::read_unknown_job(const job_id& job)
{
    if (job_reads_in_flight_.try_emplace(job).second) {
        ask_unknown_job(job);
    }
}

void flow_cell::ask_unknown_job(const job_id& job)
{
    job_reads_in_flight_[job].told.clear();
    edges_.read(index_rows(job), [this, job, life = ownership_generation_](instant, const store_page& page) {
        if (life == ownership_generation_) {
            on_unknown_index(job, page);
        }
    });
}

void flow_cell::on_unknown_index(const job_id& job, const store_page& page)
{
    const auto again = [this, job, life = ownership_generation_](instant) {
        if (life == ownership_generation_) {
            ask_unknown_job(job);
        }
    };
    if (!page.reached) {
        edges_.after(commit_retry, again);
        return;
    }
    const auto index = read_index(edges_, page.rows);
    const bool goes_on = index && index->outcome == 0;
    read_rows(job, [this, job, again, index, goes_on,
                    life = ownership_generation_](instant then, const std::vector<store_row>* rows) {
        if (rows == nullptr) {
            edges_.after(commit_retry, again);
            return;
        }
        if (life != ownership_generation_) {
            return;
        }
        if (index && !goes_on && jobs_.count(job) == 0) {
            notify_job_ended(then, job, *index, *rows);
        }
        on_unknown_job(then, job, goes_on ? *rows : std::vector<store_row>());
    });
}

// Its rows are left over. Another cell's owner that told of it after its end, and those that this one gave tasks to,
// have not heard of the end: what they run of it would run on.
void flow_cell::notify_job_ended(instant now, const job_id& job, const wire::flow_job_row& index,
                                 const std::vector<store_row>& rows)
{
    if (rows.empty()) {
        return;
    }
    std::set<std::string> cells;
    row_version newest;
    for (const store_row& row : rows) {
        const auto told = read_flow_row<wire::flow_job_row>(edges_, row);
        const job_row_name name = parse_job_row_key(row.key);
        newest = std::max(newest, row.version);
        if (told && name.writer_kind() == row_writer_kind::other_cell) {
            cells.insert(name.writer);
            for_each_task_home(*told, [&cells](const wire::flow_home_row& home) { cells.insert(home.cell); });
        }
    }
    cells.erase(id_.str());
    for (const std::string& cell : cells) {
        hooks_.notify_cell_owner(now, {cell_id(cell), job, id_.str()}, index, newest);
    }
    recently_ended_jobs_[job] = now;
    schedule_row_removal(now, job, keys_of(rows));
}

// Workers may list runs of a job before its row is known. Left to the next exchange, a task whose worker has told what
// it runs would seem to run nowhere, and start a second time.
void flow_cell::adopt_stray_runs(instant now, flow_job& job)
{
    const auto strays = job_reads_in_flight_.find(job.id());
    if (strays == job_reads_in_flight_.end()) {
        return;
    }
    for (const stray_run& stray : std::exchange(strays->second.strays, {})) {
        const auto at = workers_.find(stray.worker);
        if (at != workers_.end() && !at->second.incarnation_ended && at->second.ledger.count(stray.task) == 0) {
            adopt_run(now, at->second, job, {stray.task, stray.run, "", 0, 0});
        }
    }
}

void flow_cell::on_unknown_job(instant now, const job_id& job, const std::vector<store_row>& rows)
{
    if (!rows.empty()) {
        process_job_rows(now, job, rows);
    }
    const bool known = jobs_.count(job) != 0;
    if (!known && !rows.empty() && !job_reads_in_flight_[job].told.empty()) {
        ask_unknown_job(job); // what was read does not concern this cell, what was told since may
        return;
    }
    process_unknown_ends(now, job);
    const auto reading = job_reads_in_flight_.extract(job);
    if (reading.empty()) {
        return;
    }
    if (known) {
        for (const reported_job_row& told : reading.mapped().told) {
            on_job_row(now, told.name, told.row, told.version);
        }
        return;
    }
    for (const stray_run& stray : reading.mapped().strays) {
        send_stop(now, stray.worker, stray.task, stray.run, 0);
    }
}

// The job's row has been read: it is known now, or has ended, or is not this cell's and its owner has its ends.
void flow_cell::process_unknown_ends(instant now, const job_id& job)
{
    for (auto& [id, w] : workers_) {
        std::vector<reported_end> ends;
        std::erase_if(w.unknown_job_ends, [&](const reported_end& end) {
            if (end.task.job == job) {
                ends.push_back(end);
            }
            return end.task.job == job;
        });
        for (const reported_end& end : ends) {
            if (jobs_.count(job) != 0) {
                process_end(now, w, end);
            }
        }
        if (!ends.empty()) {
            confirm_ends(w);
        }
    }
}

void flow_cell::process_running(instant now, cell_worker& w, const reported_run& run)
{
    const auto held = w.ledger.find(run.task);
    const auto found = jobs_.find(run.task.job);
    if (found == jobs_.end()) {
        if (held == w.ledger.end()) {
            process_stray_run(now, w, run);
        }
        return;
    }
    flow_job& job = *found->second;
    job.note_checkpoint(run.task, run.checkpoint);
    if (held != w.ledger.end() && held->second.run == run.run) {
        flow_task* const task = job.find_task(run.task);
        if (task == nullptr) {
            return;
        }
        for (live_run& live : task->runs) {
            if (live.worker == w.listing.worker && live.run == run.run) {
                confirm_start(now, job, live);
            }
        }
        const bool outlived = std::any_of(task->runs.begin(), task->runs.end(), [&](const live_run& live) {
            return live.run == run.run && !live.stopping && now - live.sent > crash_age_most;
        });
        if (outlived) {
            job.note_outlived(run.task, run.run);
        }
        mitigate_straggler(now, w, job, held->second, run);
        return;
    }
    if (held != w.ledger.end() && held->second.run > run.run) {
        return; // the newer one is on its way
    }
    adopt_run(now, w, job, run);
}

// A run of a job that is not in the rows read so far: its row is new, or the job has ended. Only the row tells which.
// All that are listed until it is read wait for it: with one stopped for each exchange, the tasks of a cancelled job
// that a worker started late would go on for seconds.
void flow_cell::process_stray_run(instant now, const cell_worker& w, const reported_run& run)
{
    if (recently_ended_jobs_.count(run.task.job) != 0) {
        send_stop(now, w.listing.worker, run.task, run.run, 0);
        return;
    }
    read_unknown_job(run.task.job);
    job_reads_in_flight_[run.task.job].strays.insert({w.listing.worker, run.task, run.run});
}

// A run that an earlier owner started, or one of ours whose order was carried out late.
void flow_cell::adopt_run(instant now, cell_worker& w, flow_job& job, const reported_run& run)
{
    flow_stage* const stage = job.find_stage(run.task);
    flow_task* const task = job.find_task(run.task);
    if (task == nullptr || job.cancelled() || job.ended()) {
        send_stop(now, w.listing.worker, run.task, run.run, 0);
        return;
    }
    const flow_step& step = job.step(*stage);
    ledger_add(w, step, run.task, run.run);
    const bool wanted = task->stage != flow_task_state::done && (task->runs.empty() || step.speculative);
    task->runs.push_back({w.listing.worker, run.run, now, true, !wanted});
    task->last_run = std::max(task->last_run, run.run);
    if (!wanted) {
        send_stop(now, w.listing.worker, run.task, run.run, 0);
        return;
    }
    if (task->stage == flow_task_state::ready) {
        --stage->ready;
    }
    task->stage = flow_task_state::placed;
    job.note_job_started();
    if (persists_starts(step)) {
        job.note_start(run.task, w.listing.worker, run.run);
    }
    mark_job_dirty(now, job, false);
    index_ready(job);
}

// A run that was confirmed before this exchange began, and is neither running nor ended: it is gone. That should not
// happen; left alone, its task would wait for an end that never comes.
void flow_cell::drop_vanished_runs(instant now, cell_worker& w, instant sent, const order_answer& answer)
{
    std::vector<std::pair<flow_task_id, run_number>> missing;
    for (const auto& [task, run] : w.ledger) {
        const auto found = jobs_.find(task.job);
        if (found == jobs_.end()) {
            continue;
        }
        const flow_task* const t = found->second->find_task(task);
        if (t == nullptr) {
            continue;
        }
        const run_number number = run.run;
        const bool settled = std::any_of(t->runs.begin(), t->runs.end(), [&](const live_run& live) {
            return live.worker == w.listing.worker && live.run == number && live.confirmed &&
                   live.sent + missing_after < sent;
        });
        const bool listed = std::any_of(answer.running.begin(), answer.running.end(),
                                        [&task = task](const reported_run& r) { return r.task == task; });
        if (settled && !listed) {
            missing.emplace_back(task, number);
        }
    }
    for (const auto& [task, run] : missing) {
        edges_.note(
            log_level::warning, "run", "vanished",
            {{"task", text_of(task)}, {"run", std::to_string(run.value())}, {"worker", w.listing.worker.str()}});
        drop_run(now, w, task, run);
    }
}

// Ends are confirmed in order, each once the row of its job tells it.
void flow_cell::confirm_ends(cell_worker& w)
{
    end_number confirmed = w.seen;
    std::vector<unconfirmed_end> left;
    for (const unconfirmed_end& end : w.unconfirmed) {
        const auto found = jobs_.find(end.job);
        const bool durable = found == jobs_.end() || found->second->written() >= end.changes;
        if (!durable) {
            confirmed = std::min(confirmed, end_number(end.number.value() - 1));
            left.push_back(end);
        }
    }
    for (const reported_end& end : w.unknown_job_ends) {
        confirmed = std::min(confirmed, end_number(end.number.value() - 1));
    }
    w.unconfirmed = std::move(left);
    w.confirmed = std::max(w.confirmed, confirmed);
}

void flow_cell::confirm_all(instant now)
{
    for (auto& [id, w] : workers_) {
        if (!w.unconfirmed.empty()) {
            confirm_ends(w);
            if (w.unconfirmed.empty()) {
                send_hold(now, id);
            }
        }
    }
}

void flow_cell::distrust(instant now, cell_worker& w, double amount)
{
    const double age = std::chrono::duration<double>(now - w.distrust_at).count();
    w.distrust = w.distrust * std::exp2(-age / distrust_half_life_s) + amount;
    w.distrust_at = now;
}

} // namespace skylarkhub
