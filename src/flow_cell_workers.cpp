// The workers of a cell: fencing them against earlier owners, renewing their leases, and processing the runs and ends
// that they report. The exchange that does all this is called a hold.
#include <algorithm>
#include <cmath>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

// Updates the workers of the cell from the current list of workers.
void flow_cell::on_workers_listed(instant now, const std::vector<flow_listed_worker>& workers)
{
    workers_listed_since_takeover_ = true;
    std::set<worker_id> present;
    for (const flow_listed_worker& listing : workers) {
        present.insert(listing.worker);
        auto [at, added] = workers_.try_emplace(listing.worker);
        cell_worker& w = at->second;
        if (w.incarnation_ended && may_be_later_life(w, listing)) {
            w = cell_worker{};
            added = true;
        }
        if (w.incarnation_ended) {
            continue; // the list may still have an entry of an ended incarnation, or one that never was a worker
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
        // Holds to a worker that left the list stop once nothing runs there. When the worker is listed again, they
        // have to be started again; otherwise the worker would run tasks whose ends are never received.
        const bool holds_active = w.listed && !added;
        w.draining_since = listing.draining && !w.listing.draining ? now : w.draining_since;
        if (listing.address != w.listing.address) {
            w.newest_connection = connection_number();
        }
        w.listing = listing;
        w.listed = true;
        if (role_ == role::owning && !holds_active) {
            schedule_hold(now, listing.worker, duration(0));
        }
        if (role_ == role::owning && added) {
            next_renewal_ = now; // the worker takes tasks once the cell's row names it
        }
    }
    for (auto at = workers_.begin(); at != workers_.end();) {
        cell_worker& w = at->second;
        if (present.count(at->first) == 0) {
            if (w.listed) {
                edges_.note(log_level::info, "worker", "unlisted", {{"cell", id_.str()}, {"worker", at->first.str()}});
            }
            w.listed = false;
            if (role_ == role::watching ||
                (role_ == role::owning && !w.hold_in_flight &&
                 ((w.incarnation_ended && w.unknown_job_ends.empty()) || is_idle_and_unlisted(w) ||
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

// Returns the end of a lease that is given now, on the worker's clock; empty while its clock is unknown.
std::optional<worker_time> flow_cell::lease_end(const cell_worker& w, instant now) const
{
    if (!w.reading) {
        return std::nullopt;
    }
    return *w.reading + (now - w.clock_read_at) + lease;
}

// Records by when, on this entry's clock, a lease that is given now has certainly ended.
void flow_cell::note_lease(cell_worker& w, instant now) const
{
    w.lapsed_after = std::max(w.lapsed_after, now + certainly(lease));
}

// Returns whether every worker has reported what it runs or certainly runs nothing of an earlier owner. A worker whose
// leases have lapsed is still asked once, because it may list ends that the previous owner did not receive.
bool flow_cell::all_workers_reconciled(instant now) const
{
    const bool may_be_lapsed = may_expire_leases(now);
    return std::all_of(workers_.begin(), workers_.end(), [may_be_lapsed](const auto& named) {
        const cell_worker& w = named.second;
        return w.fenced || !w.inherited || (w.lapsed && w.silent > 0 && may_be_lapsed);
    });
}

// Marks a worker that never answered this owner as lapsed once all leases of earlier owners have certainly ended.
// Lasting tasks that ran on it may then be started elsewhere.
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

// Ends the reconciliation after a takeover once all workers are reconciled. Tasks whose runs were not found on any
// worker may be started from then on.
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
            mark_job_dirty(now, *found->second, false); // no run of the job is left, so its rows may be removed
        }
        else if (found != jobs_.end()) {
            suspect_tasks_not_found(*found->second);
            end_if_decided(now, *found->second);
        }
    }
    schedule_placement();
}

// Checks all workers for lapsed leases and removes those that are no longer in use.
void flow_cell::check_lapsed(instant now)
{
    for (auto at = workers_.begin(); at != workers_.end();) {
        cell_worker& w = at->second;
        declare_lost_if_lapsed(now, w);
        note_lapsed(now, w);
        std::erase_if(w.late_starts, [now](const late_start& s) { return now >= s.comes_until; });
        // The entry of a worker whose incarnation has ended remains while the worker is listed. If it were erased,
        // each reading of the list would add, query and log the worker again.
        if (is_idle_and_unlisted(w) && !w.hold_in_flight && !w.incarnation_ended) {
            at = workers_.erase(at);
            continue;
        }
        ++at;
    }
    finish_reconciliation(now);
}

// Runs that are not in the ledger have to be stopped or adopted first. If holds to an unlisted worker ended before, a
// task of a cancelled job would run there until its lease ends. Ends that are not stored are known to this owner and
// the worker only: a follower that is not told of the worker would start their tasks again.
bool flow_cell::is_idle(const cell_worker& w)
{
    return w.fenced && w.ledger.empty() && w.untracked_runs == 0 && w.unconfirmed.empty() &&
           w.unknown_job_ends.empty() && w.late_starts.empty();
}

bool flow_cell::is_idle_and_unlisted(const cell_worker& w)
{
    return !w.listed && is_idle(w);
}

// Declares the worker lost if its leases have lapsed and it has not answered. The decision waits until the hold in
// flight has failed: an owner that was suspended for longer than a lease finds the answers of all its workers queued
// behind its own tick. If it declared the workers lost before reading the answers, it would restart tasks that the
// answers report as done. An owner that may have been superseded does not decide either: the new owner renews the
// leases, and the row would report the end of a run that goes on.
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

// Handles the end of a worker's incarnation, after which nothing runs there. A hold in flight may have been answered
// before that, with ends that no other answer reports. The tasks are therefore restarted only once the hold has
// completed, at its timeout at the latest.
void flow_cell::on_incarnation_ended(instant now, cell_worker& w)
{
    w.incarnation_ended = true;
    w.listed = false;
    if (!w.hold_in_flight) {
        on_worker_lost(now, w, worker_loss_cause::crashed);
    }
}

// Handles the loss of a worker: all runs in its ledger ended without a report.
void flow_cell::on_worker_lost(instant now, cell_worker& w, worker_loss_cause how)
{
    const bool crashed = how == worker_loss_cause::crashed;
    if (w.unanswered_since == instant{}) {
        w.unanswered_since = now;
        note_silence(now, w);
    }
    if (!w.ledger.empty()) {
        edges_.note(log_level::warning, "worker", "lost",
                    {{"cell", id_.str()},
                     {"worker", w.listing.worker.str()},
                     {"runs", std::to_string(w.ledger.size())},
                     {"reason", crashed ? "another incarnation of the worker answers at its address"
                                        : "the worker has not answered for longer than its lease"}});
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
        const live_run* const live = look_up_run(w.listing.worker, task, run.run).live;
        if (live != nullptr && !crashed) {
            note_late_start(now, w, task, *live);
        }
        ++stats_.lost;
        drop_run(now, w, task, run.run);
    }
    w.fenced = true; // runs of earlier owners have ended as well
    w.untracked_runs = 0;
    w.listed = false;
}

// Handles an answer that shows that another owner has superseded this one, or that the worker's incarnation has ended.
// Returns whether the answer was one of these.
bool flow_cell::handle_fatal_result(instant now, cell_worker& w, order_result result)
{
    if (result == order_result::fenced) {
        lose_ownership(now, "a worker has accepted a higher fencing token");
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

// Sends a hold after `wait`, unless one is planned or in flight.
void flow_cell::schedule_hold(instant now, const worker_id& id, duration wait)
{
    const auto at = workers_.find(id);
    if (at == workers_.end() || at->second.hold_planned_at != instant{} || at->second.hold_in_flight) {
        return;
    }
    if (wait <= duration(0)) {
        send_hold(now, id);
        return;
    }
    at->second.hold_planned_at = now + wait;
    edges_.after(wait, [this, id, planned = now + wait, generation = ownership_generation_](instant then) {
        const auto w = workers_.find(id);
        if (generation != ownership_generation_ || w == workers_.end() || w->second.hold_planned_at != planned) {
            return;
        }
        w->second.hold_planned_at = instant{};
        send_hold(then, id);
    });
}

// Sends the next hold after `wait`, if it is planned for later.
void flow_cell::advance_hold(instant now, cell_worker& w, duration wait)
{
    if (w.hold_planned_at > now + wait) {
        w.hold_planned_at = instant{};
        schedule_hold(now, w.listing.worker, wait);
    }
}

// Sends a hold, which fences the worker with this epoch, confirms ends, renews leases if permitted, and queries runs
// and ends.
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
    ++w.hold_exchange;
    ++stats_.holds;
    const bool looks = std::exchange(w.hold_looks, false);
    hold_worker order;
    order.fence = epoch_;
    order.confirmed = looks ? end_number() : cursor_for(w);
    // A worker that did not answer may have received the hold. If each hold renewed the leases, it would never be
    // certain that its tasks have stopped. Holds after an unanswered one therefore only query the worker.
    const bool renewing = w.has_accepted_epoch() && w.silent == 0 && !w.published_silent && !looks;
    order.lease_until = renewing ? lease_end(w, now) : std::nullopt;
    // A hold that waits may apply its cursor when it answers. A start that is sent meanwhile could reach a later life,
    // whose end the cursor would then cover; so a cursor is sent without a wait.
    const bool confirms = w.born > worker_birth() && order.confirmed > end_number();
    w.cursor_sent = order.confirmed;
    w.cursor_sent_at = confirms ? now : instant{};
    order.wait = renewing && w.fenced && !confirms && !needs_frequent_polling(now, w) ? hold_wait : duration(0);
    if (order.lease_until) {
        note_lease(w, now);
    }
    const bool concerns_life = order.lease_until || order.confirmed > end_number();
    edges_.order(concerns_life ? place_of_life(w) : place_of(w), order, hold_timeout,
                 [this, id, sent = now, wait = order.wait, concerns_life, exchange = w.hold_exchange,
                  generation = ownership_generation_](instant then, const order_answer& answer) {
                     if (generation != ownership_generation_) {
                         persist_listed_ends(answer); // this entry has lost the cell since it sent the hold
                         return;
                     }
                     const auto to = workers_.find(id);
                     if (to == workers_.end() || to->second.hold_exchange != exchange) {
                         return;
                     }
                     if (answer.result == order_result::no_connection) {
                         look_at_worker(then, to->second);
                         return;
                     }
                     if (concerns_life && answer.result == order_result::accepted &&
                         answer.connection <= to->second.newest_connection) {
                         to->second.looks_in_a_row = 0;
                     }
                     on_hold_result(then, id, sent, wait, answer);
                 });
}

// Sends a hold that only asks in place of one that was not sent, for want of a connection to the known life. Its answer
// shows which life is up, over the connection that later orders use.
void flow_cell::look_at_worker(instant now, cell_worker& w)
{
    w.hold_in_flight = false;
    w.hold_looks = true;
    if (++w.looks_in_a_row == max_looks_in_a_row) {
        edges_.note(log_level::warning, "worker", "keeps_no_connection",
                    {{"cell", id_.str()}, {"worker", w.listing.worker.str()}});
    }
    w.cursor_sent = w.acknowledged;
    w.cursor_sent_at = instant{};
    send_hold(now, w.listing.worker);
}

// Handles the answer to a hold, or its absence, and schedules the next one.
void flow_cell::on_hold_result(instant now, const worker_id& id, instant sent, duration wait,
                               const order_answer& answer)
{
    const auto at = workers_.find(id);
    if (at == workers_.end()) {
        return;
    }
    cell_worker& w = at->second;
    if (lacks_birth(w, answer)) {
        order_answer unread;
        unread.reason = "the answer tells no birth, but earlier ones of the worker did";
        on_hold_result(now, id, sent, wait, unread);
        return;
    }
    w.hold_in_flight = false;
    const instant cursor_sent_at = std::exchange(w.cursor_sent_at, instant{});
    if (handle_fatal_result(now, w, answer.result)) {
        return;
    }
    if (answer.result == order_result::accepted) {
        hear_life(now, w, sent, answer);
    }
    // While the rows of the cell's jobs are being read, answers are buffered.
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
        if (cursor_sent_at != instant{}) {
            w.cursor_may_come_until = sent + late_order_most;
        }
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
        stop_early_runs(now, w);
        // The worker is given leases once the cell's row no longer marks it as silent.
        next_renewal_ = w.published_silent ? now : next_renewal_;
        // The worker's clock was unknown before, so this hold renewed no lease and the next one follows soon.
        // Otherwise, when owners replace each other within a second, the leases of all runs there would lapse.
        schedule_hold(now, id, first_reading ? min_hold_interval : hold_wait);
        return;
    }
    process_inventory(now, w, sent, answer);
    const auto current = workers_.find(id);
    if (current == workers_.end()) {
        return;
    }
    stop_late_starts(now, current->second);
    if (current->second.published_silent) {
        next_renewal_ = now; // leases are renewed once the cell's row no longer marks the worker as silent
        schedule_hold(now, id, hold_retry);
        return;
    }
    const bool all_confirmed = current->second.unconfirmed.empty() && current->second.unknown_job_ends.empty();
    const duration gap = needs_frequent_polling(now, current->second) ? solo_hold_interval
                         : all_confirmed                              ? min_hold_interval
                                                                      : min_hold_interval_unconfirmed;
    schedule_hold(now, id, sent + gap - now);
}

// Bounds the remaining leases of earlier owners, since a worker that has accepted this epoch takes no orders from
// them.
void flow_cell::note_epoch_accepted(cell_worker& w, instant now)
{
    if (w.inherited && !w.has_accepted_epoch()) {
        w.lapsed_after = std::min(w.lapsed_after, now + certainly(lease));
    }
}

// Processes what the workers reported while the rows of the jobs were being read.
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

// Processes the ends, runs and measurements that a worker listed in its answer to a hold.
//
// Failure: more runs have ended than one answer lists. Symptom: those that it lists neither as running nor as ended are
// taken for gone and start again, although they have ended done. So nothing is concluded from what such an answer does
// not list, and the worker counts as reconciled once an answer lists all of its ends.
void flow_cell::process_inventory(instant now, cell_worker& w, instant sent, const order_answer& answer)
{
    const bool first = !w.fenced && !answer.ends_cut;
    note_epoch_accepted(w, now);
    w.reported_in_part = answer.ends_cut;
    w.fenced = w.fenced || !answer.ends_cut;
    for (const reported_end& end : answer.ends) {
        if (end.number > w.seen) {
            w.seen = end.number;
            process_end(now, w, end);
        }
    }
    for (const reported_run& run : answer.running) {
        process_running(now, w, run);
    }
    if (!answer.ends_cut) {
        drop_runs_of_earlier_lives(now, w, sent);
    }
    // The resources of a run that is not in the ledger are unknown, so another start could exceed the worker's
    // capacity. The row of its job is being read, or the run is being stopped.
    w.untracked_runs =
        static_cast<std::int32_t>(std::count_if(answer.running.begin(), answer.running.end(),
                                                [&w](const reported_run& r) { return w.ledger.count(r.task) == 0; }));
    if (!first && !answer.ends_cut) {
        drop_vanished_runs(now, w, sent, answer);
    }
    confirm_ends(w);
    process_measurements(now, w, answer);
    if (first) {
        finish_reconciliation(now);
        schedule_placement();
    }
}

// Applies the end of a run to its job: completes, fails or requeues the task.
void flow_cell::process_end(instant now, cell_worker& w, const reported_end& end)
{
    const auto found = jobs_.find(end.task.job);
    if (found == jobs_.end()) {
        ledger_remove(w, end.task, end.run);
        // An end of a job that has ended adds nothing to what is stored. For any other job, the row has to record the
        // end, and the row is read: the previous owner may have received the job after this owner had read the rows.
        // If the end were confirmed before that, the worker would forget it, and the task would run again once the row
        // is read.
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
        job.note_outlived(end.task, end.run); // the run ended without crashing the worker
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
    // The job may have been removed by drop_run().
    const auto remaining = jobs_.find(end.task.job);
    if (remaining == jobs_.end()) {
        return;
    }
    if (end.how == run_end::done && !step.lasting) {
        after_done(now, *remaining->second, end.task);
    }
    else if (end.how == run_end::failed && !step.lasting && !remaining->second->ended()) {
        if (out_of_attempts(*remaining->second, *task)) {
            end_job(now, *remaining->second, flow_state::failed);
        }
        mark_job_dirty(now, *remaining->second, true);
    }
    else if (job.dirty()) {
        mark_job_dirty(now, job, false);
    }
}

// Reads the rows of an unknown job unless a read is in flight.
void flow_cell::read_unknown_job(const job_id& job)
{
    if (job_reads_in_flight_.try_emplace(job).second) {
        ask_unknown_job(job);
    }
}

// Reads the index row of an unknown job, which shows whether the job has ended.
void flow_cell::ask_unknown_job(const job_id& job)
{
    job_reads_in_flight_[job].told.clear();
    edges_.read(index_rows(job), [this, job, generation = ownership_generation_](instant, const store_page& page) {
        if (generation == ownership_generation_) {
            on_unknown_index(job, page);
        }
    });
}

// Handles the index row of an unknown job and reads the rows of the job for this cell; repeats both if the table could
// not be read.
void flow_cell::on_unknown_index(const job_id& job, const store_page& page)
{
    const auto retry = [this, job, generation = ownership_generation_](instant) {
        if (generation == ownership_generation_) {
            ask_unknown_job(job);
        }
    };
    if (!page.reached) {
        edges_.after(commit_retry, retry);
        return;
    }
    const auto index = read_index(edges_, page.rows);
    const bool job_active = index && index->outcome == 0;
    read_rows(job, [this, job, retry, index, job_active,
                    generation = ownership_generation_](instant then, const std::vector<store_row>* rows) {
        if (rows == nullptr) {
            edges_.after(commit_retry, retry);
            return;
        }
        if (generation != ownership_generation_) {
            return;
        }
        if (index && !job_active && jobs_.count(job) == 0) {
            notify_job_ended(then, job, *index, *rows);
        }
        on_unknown_job(then, job, job_active ? *rows : std::vector<store_row>());
    });
}

// Reports the end of a job whose rows still exist to other cells, and removes the rows. The cells that wrote rows
// after the end, and the cells that those rows assign tasks to, may not know of the end and would go on running the
// tasks.
void flow_cell::notify_job_ended(instant now, const job_id& job, const wire::flow_job_row& index,
                                 const std::vector<store_row>& rows)
{
    if (rows.empty()) {
        return;
    }
    std::set<std::string> cells;
    row_version newest;
    for (const store_row& row : rows) {
        const auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
        const job_row_name name = parse_job_row_key(row.key);
        newest = std::max(newest, row.version);
        if (decoded && name.writer_kind() == row_writer_kind::other_cell) {
            cells.insert(name.writer);
            for_each_task_home(*decoded, [&cells](const wire::flow_home_row& home) { cells.insert(home.cell); });
        }
    }
    cells.erase(id_.str());
    for (const std::string& cell : cells) {
        hooks_.notify_cell_owner(now, {cell_id(cell), job, id_.str()}, index, newest);
    }
    recently_ended_jobs_[job] = now;
    schedule_row_removal(now, job, keys_of(rows));
}

// Adopts runs that workers listed before the row of their job was known. If they waited for the next hold, a task
// whose worker has already reported its run would seem not to run, and would be started a second time.
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

// Handles the rows of a job that was unknown; they are empty if the job has ended. If the job is known now, news that
// was buffered during the read is applied; otherwise the runs that workers listed of it are stopped.
void flow_cell::on_unknown_job(instant now, const job_id& job, const std::vector<store_row>& rows)
{
    if (!rows.empty()) {
        process_job_rows(now, job, rows);
    }
    const bool known = jobs_.count(job) != 0;
    if (!known && !rows.empty() && !job_reads_in_flight_[job].told.empty()) {
        ask_unknown_job(job); // the rows do not concern this cell, but rows received since may
        return;
    }
    process_unknown_ends(now, job);
    const auto reading = job_reads_in_flight_.extract(job);
    if (reading.empty()) {
        return;
    }
    if (known) {
        for (const reported_job_row& reported : reading.mapped().told) {
            on_job_row(now, reported.name, reported.row, reported.version);
        }
        return;
    }
    for (const stray_run& stray : reading.mapped().strays) {
        send_stop(now, stray.worker, stray.task, stray.run, 0);
    }
}

// Processes the ends that waited for the row of their job. Ends of a job that is still unknown are dropped: the job
// has ended, or belongs to another cell whose owner has its ends.
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

// Processes a run that a worker lists as running: confirms its start, saves its checkpoint, and checks its progress.
void flow_cell::process_running(instant now, cell_worker& w, const reported_run& run)
{
    const auto entry = w.ledger.find(run.task);
    const auto found = jobs_.find(run.task.job);
    if (found == jobs_.end()) {
        if (entry == w.ledger.end()) {
            process_stray_run(now, w, run);
        }
        return;
    }
    flow_job& job = *found->second;
    job.note_checkpoint(run.task, run.checkpoint);
    if (entry != w.ledger.end() && entry->second.run == run.run) {
        flow_task* const task = job.find_task(run.task);
        if (task == nullptr) {
            return;
        }
        for (live_run& live : task->runs) {
            if (live.worker == w.listing.worker && live.run == run.run) {
                confirm_start(now, job, live);
                live.born = w.born;
            }
        }
        const bool outlived = std::any_of(task->runs.begin(), task->runs.end(), [&](const live_run& live) {
            return live.run == run.run && !live.stopping && now - live.sent > crash_age_most;
        });
        if (outlived) {
            job.note_outlived(run.task, run.run);
        }
        mitigate_straggler(now, w, job, entry->second, run);
        return;
    }
    if (entry != w.ledger.end() && entry->second.run > run.run) {
        return; // a newer run of the task is being started
    }
    adopt_run(now, w, job, run);
}

// Processes a run of an unknown job. Either the row of the job is new or the job has ended; the row is read to find
// out. All such runs that are listed until then are collected. If only one were stopped for each hold, the tasks of a
// cancelled job that a worker started late would run for seconds.
void flow_cell::process_stray_run(instant now, const cell_worker& w, const reported_run& run)
{
    if (recently_ended_jobs_.count(run.task.job) != 0) {
        send_stop(now, w.listing.worker, run.task, run.run, 0);
        return;
    }
    read_unknown_job(run.task.job);
    job_reads_in_flight_[run.task.job].strays.insert({w.listing.worker, run.task, run.run});
}

// Takes a run into the ledger that an earlier owner started, or that this owner started and whose order was executed
// late. A run that is not needed is stopped, as is one of a task that was handed to another cell, which starts it.
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
    const bool wanted =
        task->stage != flow_task_state::done && job.at_home(*task) && (task->runs.empty() || step.speculative);
    task->runs.push_back({w.listing.worker, run.run, now, true, !wanted});
    task->runs.back().born = w.born;
    task->last_run = std::max(task->last_run, run.run);
    take_over_start(now, w, run.task, *task, task->runs.back());
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
        job.note_start(run.task, w.life(), run.run);
    }
    mark_job_dirty(now, job, false);
    index_ready(job);
}

// Drops runs that were confirmed before this hold was sent and that the worker lists neither as running nor as ended.
// This is not expected to happen, but without it the task would wait for an end that is never reported.
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

// Advances the number up to which ends are confirmed to the worker. Ends are confirmed in order, each once the row of
// its job records it.
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

// Confirms the ends that have become durable, and sends a hold to each worker that has none left to confirm.
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

// Raises the worker's distrust, which decays by half in each distrust_half_life_s and makes placement avoid the worker.
void flow_cell::distrust(instant now, cell_worker& w, double amount)
{
    const double age = std::chrono::duration<double>(now - w.distrust_at).count();
    w.distrust = w.distrust * std::exp2(-age / distrust_half_life_s) + amount;
    w.distrust_at = now;
}

} // namespace skylarkhub
