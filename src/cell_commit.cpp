// Transactions of an owner. Each checks and writes the cell's row, so it is fence and renewal at once, and carries all
// that became due since the last one.
#include <fmt/format.h>

#include <algorithm>

#include "cell_state_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub::detail {

namespace {

operation_id next_operation(cell_state& s)
{
    return operation_id(fmt::format("{}.{}.{}", s.self.str(), s.id.str(), ++s.commit.operations));
}

std::vector<std::string> names_of(const std::vector<incarnation_id>& members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const incarnation_id& member : members) {
        names.push_back(member.str());
    }
    return names;
}

// Every worker that may hold tasks: those named before, until it is certain that they hold none, and all that are
// listed.
std::vector<std::string> workers_to_name(const cell_state& s)
{
    std::set<std::string> names;
    for (const auto& [id, worker] : s.workers) {
        if (worker.listed || !worker.ledger.empty()) {
            names.insert(id.str());
        }
    }
    if (!s.accounted) {
        names.insert(s.seen.row.workers.begin(), s.seen.row.workers.end());
    }
    return {names.begin(), names.end()};
}

void begin(cell_state& s, commit_purpose purpose, const wire::cell_row& row)
{
    commit_state& c = s.commit;
    c.phase = commit_phase::sent;
    c.purpose = purpose;
    c.maybe_applied = false;
    c.transaction = table_transaction{next_operation(s), {{cell_key(s.id), s.seen.version}}, {}};
    c.transaction.writes.push_back({cell_key(s.id), encode_row(row)});
    c.row = row;
    c.jobs.clear();
    c.pruned.clear();
    c.ends.clear();
    c.inbox_keys.clear();
    c.tries = 1;
    c.first_sent = s.now;
    c.sent = s.now;
}

void send(cell_state& s)
{
    ++s.stats.commits;
    s.out->emplace_back(commit_cell{s.commit.transaction});
}

bool full(const cell_state& s)
{
    return s.commit.transaction.writes.size() >= config::commit_rows_most;
}

void add_jobs(cell_state& s)
{
    for (const job_id& id : s.unwritten) {
        job_record* const job = find_job(s, id);
        if (full(s)) {
            return;
        }
        if (job == nullptr || !job->dirty()) {
            continue;
        }
        job->write_checkpoints();
        s.commit.jobs.emplace_back(id, job->revision());
        s.commit.transaction.writes.push_back({job_key(s.id, id), encode_row(job->to_row())});
    }
}

// Ends whose job is in this transaction may be forgotten by their workers once it has applied.
void add_ends(cell_state& s)
{
    const auto written = [&](const job_id& id) {
        const job_record* const job = find_job(s, id);
        const bool in_this = std::any_of(s.commit.jobs.begin(), s.commit.jobs.end(),
                                         [&](const auto& entry) { return entry.first == id; });
        return job == nullptr || in_this || !job->dirty();
    };
    const auto kept = std::stable_partition(s.ends.begin(), s.ends.end(),
                                            [&](const recorded_end& end) { return !written(end.task.job); });
    s.commit.ends.assign(kept, s.ends.end());
    s.ends.erase(kept, s.ends.end());
}

// An inbox row goes only together with the job row that holds what it asked for.
void add_inbox(cell_state& s)
{
    const bool all_written = std::all_of(s.unwritten.begin(), s.unwritten.end(), [&](const job_id& id) {
        const job_record* const job = find_job(s, id);
        return job == nullptr || !job->dirty() ||
               std::any_of(s.commit.jobs.begin(), s.commit.jobs.end(),
                           [&](const auto& entry) { return entry.first == id; });
    });
    if (!all_written) {
        return;
    }
    for (const std::string& key : s.inbox_folded) {
        if (full(s)) {
            return;
        }
        s.commit.inbox_keys.push_back(key);
        s.commit.transaction.writes.push_back({key, std::nullopt});
    }
}

// Ended jobs leave the table after a while, a few with each renewal that has room.
void add_prunes(cell_state& s)
{
    if (s.now < s.next_prune) {
        return;
    }
    s.next_prune = s.now + config::prune_interval;
    const auto wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(s.wall.time_since_epoch()).count();
    const auto kept_ms = std::chrono::duration_cast<std::chrono::milliseconds>(s.settings.job_kept).count();
    for (const auto& [id, job] : s.jobs) {
        if (full(s) || s.commit.pruned.size() >= config::prunes_most) {
            return;
        }
        if (job.ended_ms() > 0 && !job.dirty() && job.ended_ms() + kept_ms < wall_ms) {
            s.commit.pruned.push_back(id);
            s.commit.transaction.writes.push_back({job_key(s.id, id), std::nullopt});
        }
    }
}

// Checkpoints become known with every report. Written each time they would cost a row per task and report, so they ride
// on rows that are written anyway, and are written for their own sake only now and then: an owner that dies loses the
// progress since then of tasks whose workers die with it.
void record_checkpoints(cell_state& s)
{
    if (s.now < s.next_checkpoint_record) {
        return;
    }
    s.next_checkpoint_record = s.now + config::checkpoint_record_interval;
    for (auto& [id, job] : s.jobs) {
        if (job.checkpoint_unwritten()) {
            job.write_checkpoints();
            touch(s, job);
        }
    }
}

bool must_name_worker(cell_state& s)
{
    if (!s.names_changed) {
        return false;
    }
    s.names_changed = std::any_of(s.workers.begin(), s.workers.end(), [&](const auto& worker) {
        return worker.second.listed && !s.workers_named.contains(worker.first);
    });
    return s.names_changed;
}

bool has_news(const cell_state& s)
{
    return !s.unwritten.empty() || !s.ends.empty() || !s.inbox_folded.empty();
}

bool is_due(const cell_state& s)
{
    const commit_state& c = s.commit;
    const bool renewal_due = s.now - c.first_sent >= s.settings.renew_interval;
    const bool urgent = s.urgent_commit && s.now - c.sent >= config::commit_interval_least;
    return renewal_due || urgent || (has_news(s) && s.now >= c.next_due);
}

bool last_renewals_answered(const cell_state& s)
{
    return std::none_of(s.workers.begin(), s.workers.end(), [](const auto& worker) { return worker.second.waiting; });
}

void commit_now(cell_state& s, commit_purpose purpose)
{
    wire::cell_row row = s.seen.row;
    row.__set_renewal(row.renewal + 1);
    row.__set_deputies(names_of(choose_deputies(s)));
    row.__set_workers(workers_to_name(s));
    row.__set_handed_over(purpose == commit_purpose::hand_over);
    begin(s, purpose, row);
    add_jobs(s);
    add_ends(s);
    add_inbox(s);
    add_prunes(s);
    s.urgent_commit = false;
    send(s);
}

} // namespace

void commit_takeover(cell_state& s)
{
    wire::cell_row row;
    row.__set_cell(s.id.str());
    row.__set_epoch(s.seen.row.epoch + 1);
    row.__set_owner(s.self.str());
    row.__set_deputies(names_of(choose_deputies(s)));
    row.__set_renewal(0);
    row.__set_workers(workers_to_name(s));
    begin(s, commit_purpose::take, row);
    s.role = cell_role::taking;
    send(s);
}

// An answer that never came is an unknown outcome, whoever lost it.
void settle_overdue(cell_state& s)
{
    const bool sent_overdue = s.commit.phase == commit_phase::sent && s.now - s.commit.sent > config::commit_patience;
    const bool read_overdue =
        s.commit.phase == commit_phase::reading_back && s.now - s.row_read_sent > config::read_patience;
    if (sent_overdue || read_overdue) {
        read_back(s);
    }
}

void commit_due(cell_state& s)
{
    settle_overdue(s);
    if (s.commit.phase == commit_phase::waiting && s.now >= s.commit.retry_at) {
        retry_commit(s);
        return;
    }
    if (!owns(s) || s.commit.phase != commit_phase::idle || s.now < s.commit.retry_at) {
        return;
    }
    if (s.role == cell_role::handing_over) {
        const bool waited = s.now - s.stop_planned_at >= config::handover_wait;
        if (last_renewals_answered(s) || waited) {
            commit_now(s, has_news(s) && s.unwritten.size() >= config::commit_rows_most ? commit_purpose::renew
                                                                                        : commit_purpose::hand_over);
        }
        return;
    }
    record_checkpoints(s);
    if (must_name_worker(s)) {
        s.urgent_commit = true;
    }
    if (is_due(s)) {
        commit_now(s, commit_purpose::renew);
    }
}

void retry_commit(cell_state& s)
{
    ++s.commit.tries;
    s.commit.phase = commit_phase::sent;
    s.commit.sent = s.now;
    send(s);
}

void note_end(cell_state& s, const worker_id& worker, const task_id& task, attempt_number attempt)
{
    s.ends.push_back({worker, task, attempt});
}

} // namespace skylarkhub::detail
