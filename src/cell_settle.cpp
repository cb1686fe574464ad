// What became of a transaction. A lost answer is settled by reading the row back, never by assuming.
#include <algorithm>

#include "cell_state_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub::detail {

namespace {

const table_row* find_row(const std::vector<table_row>& rows, const std::string& key)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const table_row& row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

void note_latency(cell_state& s)
{
    commit_state& c = s.commit;
    c.latency = (c.latency * 7 + (s.now - c.sent)) / 8;
}

// The slower the table answers and the more rows a transaction took, the longer the next one gathers.
duration next_interval(const cell_state& s)
{
    const double rate = std::max(s.settings.writes_per_second, 0.1);
    const double rows_ahead = static_cast<double>(s.commit.rows_last) / rate;
    const auto by_budget = duration(static_cast<std::int64_t>(rows_ahead * 1e6));
    return std::clamp(std::max(by_budget, s.commit.latency * 2), config::commit_interval_least,
                      config::commit_interval_most);
}

// Puts back what the transaction was to tell; nothing of it is in force.
void put_back(cell_state& s)
{
    commit_state& c = s.commit;
    s.ends.insert(s.ends.end(), c.ends.begin(), c.ends.end());
    c.ends.clear();
    c.phase = commit_phase::idle;
    c.maybe_applied = false;
}

void wait_for_retry(cell_state& s)
{
    s.commit.phase = commit_phase::waiting;
    s.commit.retry_at = s.now + config::commit_retry;
}

void on_refused(cell_state& s)
{
    if (s.commit.maybe_applied) {
        wait_for_retry(s); // this try is refused, an earlier one may still take effect
        return;
    }
    put_back(s);
    s.commit.retry_at = s.now + config::commit_retry;
    if (s.role == cell_role::taking) {
        s.role = cell_role::watching;
    }
}

void on_conflict(cell_state& s, const table_row& current)
{
    if (current.operation == s.commit.transaction.operation) {
        settle_applied(s, current.version);
        return;
    }
    note_row(s, current);
    settle_lost(s);
}

void mark_jobs(cell_state& s)
{
    for (const auto& [id, revision] : s.commit.jobs) {
        job_record* const job = find_job(s, id);
        if (job != nullptr) {
            job->mark_written(revision);
        }
    }
    for (const job_id& id : s.commit.pruned) {
        s.jobs.erase(id);
    }
    std::erase_if(s.unwritten, [&](const job_id& id) {
        const job_record* const job = find_job(s, id);
        return job == nullptr || !job->dirty();
    });
}

void mark_ends(cell_state& s)
{
    for (const recorded_end& end : s.commit.ends) {
        const auto worker = s.workers.find(end.worker);
        if (worker == s.workers.end()) {
            continue;
        }
        ledger_entry* const entry = worker->second.ledger.find(end.task, end.attempt);
        if (entry != nullptr) {
            entry->forget = true;
        }
    }
}

void mark_inbox(cell_state& s)
{
    for (const std::string& key : s.commit.inbox_keys) {
        s.inbox_folded.erase(key);
        s.inbox_removed.insert(key);
    }
}

void mark_names(cell_state& s)
{
    std::set<worker_id> named;
    for (const std::string& name : s.commit.row.workers) {
        named.insert(worker_id(name));
    }
    s.place_wanted = true;
    s.workers_named = std::move(named);
}

} // namespace

void read_back(cell_state& s)
{
    s.commit.phase = commit_phase::reading_back;
    s.commit.maybe_applied = true;
    s.reading_row = true;
    s.row_read_sent = s.now;
    s.out->emplace_back(read_cell_row{});
}

void on_committed(cell_state& s, const cell_committed& event)
{
    if (s.commit.phase != commit_phase::sent || event.result.operation != s.commit.transaction.operation) {
        return;
    }
    const table_row* const row = find_row(event.result.rows, cell_key(s.id));
    switch (event.result.outcome) {
    case table_outcome::applied:
        note_latency(s);
        if (row == nullptr) {
            read_back(s);
            return;
        }
        settle_applied(s, row->version);
        return;
    case table_outcome::conflict:
        if (row == nullptr) {
            read_back(s);
            return;
        }
        on_conflict(s, *row);
        return;
    case table_outcome::refused:
        on_refused(s);
        return;
    case table_outcome::unknown:
        read_back(s);
        return;
    }
}

// The row still at the checked version: a try may yet take effect, so the same content is sent again; whichever lands
// first wins, and the other meets a conflict with its own operation. A row older than that answers a read from before,
// and proves nothing either: believed, this entry would promise an owner not to take what its write may yet take.
void settle_by_row(cell_state& s, const table_row& row)
{
    if (row.version <= s.commit.transaction.checks.front().version) {
        wait_for_retry(s);
        return;
    }
    on_conflict(s, row);
}

void settle_applied(cell_state& s, row_version version)
{
    commit_state& c = s.commit;
    const bool renamed = s.seen.row.workers != c.row.workers;
    s.seen.known = true;
    s.seen.present = true;
    s.seen.row = c.row;
    s.seen.version = version;
    s.seen.read_at = s.now;
    s.seen.unrenewed_since = s.now;
    // Which of several tries took effect is not known: the hold counts from the first.
    c.rows_last = c.transaction.writes.size();
    c.phase = commit_phase::idle;
    c.maybe_applied = false;
    c.retry_at = s.now;
    c.next_due = s.now + next_interval(s);
    if (c.purpose == commit_purpose::take) {
        become_owner(s);
        note_renewed(s, c.first_sent);
        return;
    }
    if (!owns(s)) {
        return;
    }
    note_renewed(s, c.first_sent);
    mark_jobs(s);
    mark_ends(s);
    mark_inbox(s);
    if (renamed) {
        mark_names(s);
    }
    if (c.purpose == commit_purpose::hand_over) {
        become_watcher(s, "handed over");
    }
}

void settle_lost(cell_state& s)
{
    put_back(s);
    if (s.role == cell_role::taking) {
        s.role = cell_role::watching;
        return;
    }
    const bool still_ours = s.seen.present && s.seen.row.epoch == s.epoch.value() && s.seen.row.owner == s.self.str() &&
                            !s.seen.row.handed_over;
    if (owns(s) && !still_ours) {
        become_watcher(s, "the row names another owner");
    }
}

} // namespace skylarkhub::detail
