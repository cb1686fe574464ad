// Exchanges with workers: one call each lease_renew_interval carries the fence, renewals and commands. What is to be
// said is worked out anew from the ledger each time, so a lost exchange needs no bookkeeping of its own.
#include <algorithm>
#include <utility>

#include "cell_state_p.h"

namespace skylarkhub::detail {

namespace {

// A request the daemon never answered for; it reports each one, so this only guards against being stuck.
bool overdue(const cell_state& s, const cell_worker& worker)
{
    return s.now - worker.sent > 4 * s.settings.lease_renew_interval;
}

bool may_exchange(const cell_state& s)
{
    // Once the hand-over is on its way the next owner may have begun to count.
    const bool handing = s.commit.purpose == commit_purpose::hand_over && s.commit.phase != commit_phase::idle;
    return owns(s) && s.held && !handing;
}

// T_lease from the newest reading of the worker's own clock: however late this arrives, it extends nothing.
worker_time lease_end(const cell_state& s, const cell_worker& worker)
{
    return worker.reading + s.settings.lease_length;
}

void add_start(cell_state& s, const cell_worker& worker, ledger_entry& entry, worker_request& request)
{
    const job_record* const job = find_job(s, entry.task.job);
    if (job == nullptr) {
        return;
    }
    task_start start{entry.task, entry.attempt,   lease_end(s, worker), job->spec(), entry.committed,
                     "",         entry.persistent};
    const task_past* const past = job->past(entry.task.index);
    if (past != nullptr) {
        start.resume_from = past->checkpoint;
    }
    if (entry.first_sent.value() == 0) {
        entry.first_sent = request.sequence;
    }
    request.commands.emplace_back(std::move(start));
}

void add_running(const cell_state& s, const cell_worker& worker, ledger_entry& entry, worker_request& request)
{
    const resources resized = entry.wanted == entry.reported ? resources{} : entry.wanted;
    request.commands.emplace_back(task_renew{entry.task, entry.attempt, lease_end(s, worker), resized});
    if (entry.checkpoint_wanted) {
        request.commands.emplace_back(task_checkpoint{entry.task, entry.attempt});
        entry.checkpoint_sent = request.sequence;
    }
    if (entry.throttle_wanted != entry.throttle_reported) {
        request.commands.emplace_back(task_throttle{entry.task, entry.attempt, entry.throttle_wanted});
    }
}

void add_forgets(const cell_worker& worker, worker_request& request)
{
    for (const ledger_entry& entry : worker.ledger.entries()) {
        if (entry.stage == entry_stage::ended && entry.forget) {
            request.commands.emplace_back(task_forget{entry.task, entry.attempt});
        }
    }
}

void add_commands(cell_state& s, cell_worker& worker, worker_request& request)
{
    add_forgets(worker, request);
    for (ledger_entry& entry : worker.ledger.entries()) {
        switch (entry.stage) {
        case entry_stage::starting:
            if (s.settings.starts == start_permission::allowed) {
                add_start(s, worker, entry, request);
            }
            break;
        case entry_stage::draining:
            if (s.now >= entry.stop_at) {
                entry.stage = entry_stage::stopping;
                entry.stop_sent = true;
                request.commands.emplace_back(task_stop{entry.task, entry.attempt});
                break;
            }
            [[fallthrough]];
        case entry_stage::running:
            add_running(s, worker, entry, request);
            break;
        case entry_stage::stopping:
            // Its start may never have left. The answer to this request then shows that it is not there, which is proof
            // as good as for a start that was sent; without a number here the entry would stay for ever.
            if (entry.first_sent.value() == 0) {
                entry.first_sent = request.sequence;
            }
            entry.stop_sent = true;
            request.commands.emplace_back(task_stop{entry.task, entry.attempt});
            break;
        case entry_stage::ended:
            break;
        }
    }
}

// When it must be spoken to at the latest: a renewal, or a stop whose grace is over.
instant next_exchange(const cell_state& s, const cell_worker& worker)
{
    instant next =
        s.now + (is_watched(s, worker) ? config::watched_exchange_interval : s.settings.lease_renew_interval);
    for (const ledger_entry& entry : worker.ledger.entries()) {
        if (entry.stage == entry_stage::draining) {
            next = std::min(next, std::max(entry.stop_at, s.now));
        }
    }
    return next;
}

void exchange(cell_state& s, const worker_id& id, cell_worker& worker)
{
    worker.sequence = worker.sequence.next();
    worker.waiting = true;
    worker.sent = s.now;
    worker_request request{id, s.epoch, worker.sequence, s.self, worker.boot, {}};
    // Before the fence is confirmed nothing is commanded: there is no reading to give a lease by.
    if (worker.fenced) {
        add_commands(s, worker, request);
    }
    worker.next_exchange = next_exchange(s, worker);
    s.out->emplace_back(send_worker{std::move(request)});
}

void exchange_if_due(cell_state& s, const worker_id& id, cell_worker& worker)
{
    const bool free = !worker.waiting || overdue(s, worker);
    if (free && s.now >= worker.next_exchange && worker.listing.address.valid()) {
        exchange(s, id, worker);
    }
}

void unlist(cell_state& s)
{
    for (auto& [id, worker] : s.workers) {
        worker.listed = false;
    }
}

// Entries on a worker that cannot be reached leave its ledger when their leases are certainly over: every lease was
// computed from a reading that had arrived by read_at.
void lapse_entries(cell_state& s, const worker_id& id, cell_worker& worker)
{
    std::vector<ledger_entry> lapsed;
    for (const ledger_entry& entry : worker.ledger.entries()) {
        const bool leased = entry.stage != entry_stage::ended && !entry.persistent;
        if (leased) {
            lapsed.push_back(entry);
        }
    }
    for (const ledger_entry& entry : lapsed) {
        worker.ledger.remove(entry.task, entry.attempt);
        ++s.stats.lapses;
        release_lapsed(s, id, entry);
    }
}

// A service keeps its place on an unreachable worker, and another is started in its stead: it need not be alone.
void replace_services(cell_state& s, const worker_id& id, cell_worker& worker)
{
    for (ledger_entry& entry : worker.ledger.entries()) {
        if (entry.stage == entry_stage::ended || !entry.persistent) {
            continue;
        }
        release_lapsed(s, id, entry);
        // It may have begun unseen, so it keeps its room; but its start must not be ordered again next to the other
        // one.
        if (entry.stage == entry_stage::starting) {
            entry.stage = entry_stage::stopping;
        }
    }
}

} // namespace

void on_workers_listed(cell_state& s, const cell_workers_listed& event)
{
    unlist(s);
    s.names_changed = true;
    for (const listed_worker& listing : event.workers) {
        cell_worker& worker = s.workers[listing.worker];
        worker.listing = listing;
        worker.listed = true;
        if (!worker.heard) {
            worker.capacity = listing.capacity;
        }
        if (listing.leaving != worker.leaving) {
            worker.leaving = listing.leaving;
            s.place_wanted = true;
        }
    }
    const auto gone = [&](const auto& item) {
        const cell_worker& worker = item.second;
        const bool told_unread = worker.unread || !worker.unread_ends.empty();
        return !worker.listed && worker.ledger.empty() && !worker.waiting && !told_unread;
    };
    std::erase_if(s.workers, gone);
}

void wake_worker(cell_state& s, const worker_id& worker)
{
    const auto found = s.workers.find(worker);
    if (found != s.workers.end()) {
        found->second.next_exchange = s.now;
        s.awake.push_back(worker);
    }
}

// All workers are looked through on ticks only; between them, those that an event has given something to be told.
void exchange_due(cell_state& s)
{
    const std::vector<worker_id> awake = std::exchange(s.awake, {});
    if (!may_exchange(s)) {
        return;
    }
    if (s.ticking) {
        for (auto& [id, worker] : s.workers) {
            exchange_if_due(s, id, worker);
        }
        return;
    }
    for (const worker_id& id : awake) {
        const auto found = s.workers.find(id);
        if (found != s.workers.end()) {
            exchange_if_due(s, id, found->second);
        }
    }
}

void on_worker_answered(cell_state& s, const cell_worker_answered& event)
{
    const auto found = s.workers.find(event.worker);
    if (!owns(s) || found == s.workers.end()) {
        return;
    }
    cell_worker& worker = found->second;
    if (event.report.epoch > s.epoch) {
        become_watcher(s, "a worker has seen a higher epoch");
        return;
    }
    // Answers to earlier requests, of this epoch or one before, may arrive late: they tell of a time before the newest
    // commands, and would release room that a task has taken since.
    const bool of_this_epoch = !event.report.accepted || event.report.epoch == s.epoch;
    if (!worker.waiting || event.sequence != worker.sequence || !of_this_epoch) {
        return;
    }
    worker.waiting = false;
    s.awake.push_back(event.worker);
    note_boot(s, worker, event.report.boot);
    worker.reading = event.report.now;
    worker.read_at = s.now;
    if (!event.report.accepted) {
        worker.next_exchange = s.now;
        return;
    }
    const bool first = !worker.fenced;
    worker.heard = true;
    worker.fenced = true;
    worker.capacity = event.report.capacity;
    take_report(s, worker, event.report, event.sequence);
    worker.unanswered_since = instant{};
    if (first) {
        worker.next_exchange = s.now;
        s.place_wanted = true;
        check_accounted(s);
    }
}

void on_worker_failed(cell_state& s, const cell_worker_failed& event)
{
    const auto found = s.workers.find(event.worker);
    if (found == s.workers.end() || event.sequence != found->second.sequence) {
        return;
    }
    found->second.waiting = false;
    note_unanswered(s, found->second);
    found->second.next_exchange = std::max(found->second.next_exchange, s.now + s.settings.lease_renew_interval / 4);
}

void drop_lapsed(cell_state& s)
{
    if (!owns(s) || !s.ticking) {
        return;
    }
    const duration lapse = certainly(s, s.settings.lease_length);
    for (auto& [id, worker] : s.workers) {
        const duration silence = s.now - worker.read_at;
        if (!worker.heard || worker.ledger.empty() || silence < config::service_replace) {
            continue;
        }
        replace_services(s, id, worker);
        if (silence >= lapse) {
            lapse_entries(s, id, worker);
        }
        if (!worker.listed && silence >= s.settings.orphan) {
            worker.ledger = worker_ledger(); // gone for good; if not, its inventory will tell
        }
    }
}

} // namespace skylarkhub::detail
