// Writes changed jobs to the table: the rows are batched by part of the cell, and what depends on a write (starts,
// confirmations to workers, news to other cells) follows once the table has applied it.
#include <fmt/format.h>

#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_pack_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// What a transaction takes of the table's limits.
struct transaction_size {
    std::size_t entries = 0;
    std::size_t bytes = 0;

    friend transaction_size operator+(const transaction_size& a, const transaction_size& b)
    {
        return {a.entries + b.entries, a.bytes + b.bytes};
    }
};

bool fits(const transaction_size& size)
{
    return size.entries <= max_commit_entries && size.bytes <= max_commit_bytes;
}

transaction_size size_of(const store_transaction& t)
{
    transaction_size size;
    const auto add = [&size](const store_key& key, std::size_t value_bytes) {
        const std::size_t in_base64 = (value_bytes + 2) / 3 * 4;
        const std::size_t key_bytes = key.table.size() + key.part.size() + key.key.size();
        size = size + transaction_size{1, entry_names_bytes + key_bytes + in_base64};
    };
    for (const store_check& check : t.checks) {
        add(check.key, 0);
    }
    for (const store_put& put : t.puts) {
        add(put.key, put.value.size());
    }
    return size;
}

std::size_t largest_value(const store_transaction& t)
{
    std::size_t largest = 0;
    for (const store_put& put : t.puts) {
        largest = std::max(largest, put.value.size());
    }
    return largest;
}

} // namespace

void flow_cell::mark_job_dirty(instant now, flow_job& job, bool urgent)
{
    const std::string part = job_part(job.id());
    parts_[part].dirty.try_emplace(job.id(), now);
    commit_soon(now, part, urgent ? duration(0) : commit_batch_delay);
}

void flow_cell::commit_soon(instant now, const std::string& part, duration wait)
{
    part_state& state = parts_[part];
    const instant due = std::max(now + wait, state.no_commit_before);
    if (state.planned && state.due <= due) {
        return;
    }
    state.planned = true;
    state.due = due;
    if (due > now) {
        edges_.after(due - now, [](instant) {}); // an event: run_deferred_work() is called after it
    }
}

// Returns the jobs whose rows are to be written, those that have had unwritten changes for longest first.
std::vector<job_id> flow_cell::pick_rows_to_commit(instant now, const part_state& state) const
{
    std::vector<std::pair<instant, job_id>> oldest_first;
    oldest_first.reserve(state.dirty.size());
    for (const auto& [id, since] : state.dirty) {
        if (!jobs_.at(id)->is_unwritable(now)) {
            oldest_first.emplace_back(since, id);
        }
    }
    std::sort(oldest_first.begin(), oldest_first.end());
    std::vector<job_id> rows;
    rows.reserve(oldest_first.size());
    std::transform(oldest_first.begin(), oldest_first.end(), std::back_inserter(rows),
                   [](const auto& row) { return row.second; });
    return rows;
}

// Drops jobs without unwritten changes from the dirty list of the part. Ends cancelled jobs of which nothing runs any
// more.
void flow_cell::drop_written_jobs(instant now, part_state& state)
{
    std::vector<job_id> clean;
    for (const auto& [id, since] : state.dirty) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            clean.push_back(id);
            continue;
        }
        flow_job& job = *found->second;
        if (job.is_home_cell() && job.cancelled() && !job.ended() && !job.running() && all_workers_reconciled(now)) {
            job.note_outcome(flow_state::cancelled);
        }
        if (!job.dirty()) {
            clean.push_back(id);
        }
    }
    for (const job_id& id : clean) {
        state.dirty.erase(id);
        const auto found = jobs_.find(id);
        if (found != jobs_.end()) {
            after_written(now, *found->second);
        }
    }
}

void flow_cell::commit_part(instant now, const std::string& part)
{
    part_state& state = parts_[part];
    state.planned = false;
    if (!owns()) {
        return;
    }
    drop_written_jobs(now, state);
    if (state.in_flight || !state.fence) {
        return; // the next commit follows when the pending answer arrives
    }
    if (send_rows(now, part)) {
        return;
    }
    if (!state.removable.empty() && state.removals_due <= now) {
        send_removals(now, part);
    }
    if (!state.dirty.empty()) {
        commit_soon(now, part, unwritable_retry);
    }
}

flow_cell::committed_row flow_cell::row_of(flow_job& job) const
{
    committed_row row{job.id(), job.changes(), job.current_row(), job.cells_to_notify(), ""};
    row.bytes = encode_job_row(row.row, row_bytes_most_);
    job.note_row_bytes(row.bytes.size());
    if (row.told.size() > max_cells_notified) {
        edges_.note(log_level::error, "job", "in_too_many_cells",
                    {{"job", job.id().str()}, {"cells", std::to_string(row.told.size())}});
        row.told.resize(max_cells_notified);
    }
    return row;
}

// The job's row, the news for other cells and the index row that callers read. All are applied in one transaction or
// not at all.
store_transaction flow_cell::entries_of(const flow_job& job, const committed_row& row) const
{
    store_transaction t;
    const store_key own = job_row_key(own_row(id_, job.id()));
    t.checks.push_back({own, job.version()});
    t.puts.push_back({own, row.bytes});
    for (const cell_id& cell : row.told) {
        t.puts.push_back(
            {job_row_key({cell, job.id(), id_.str()}), encode_job_row(row.news_for(cell), row_bytes_most_)});
    }
    if (job.is_home_cell() && job.index_changed()) {
        t.puts.push_back({index_key(job.id()), encode_compact(job.index_row())});
    }
    return t;
}

// Sends the rows of the jobs that have waited longest, as many as one transaction takes.
bool flow_cell::send_rows(instant now, const std::string& part)
{
    part_state& state = parts_[part];
    store_transaction t;
    t.checks.push_back({fence_key(id_, part), *state.fence});
    transaction_size size = size_of(t);
    std::vector<committed_row> rows;
    for (const job_id& id : pick_rows_to_commit(now, state)) {
        flow_job& job = *jobs_.at(id);
        committed_row row = row_of(job);
        store_transaction entries = entries_of(job, row);
        const transaction_size added = size_of(entries);
        const std::size_t largest = largest_value(entries);
        if (largest > row_bytes_most_ || added.bytes > max_commit_bytes) {
            leave_unwritten(now, job, fmt::format("row of {} bytes, {} with news", largest, added.bytes));
            continue;
        }
        const bool alone = state.sent_alone.count(id) != 0;
        if (!rows.empty() && (alone || !fits(size + added))) {
            break;
        }
        size = size + added;
        std::move(entries.checks.begin(), entries.checks.end(), std::back_inserter(t.checks));
        std::move(entries.puts.begin(), entries.puts.end(), std::back_inserter(t.puts));
        job.note_sent(row.changes);
        rows.push_back(std::move(row));
        if (alone || rows.size() == max_commit_rows) {
            break;
        }
    }
    if (rows.empty()) {
        return false;
    }
    ++stats_.commits;
    state.in_flight = true;
    edges_.commit(std::move(t), [this, part, rows = std::move(rows),
                                 generation = ownership_generation_](instant then, const store_result& result) {
        if (generation == ownership_generation_) {
            parts_[part].in_flight = false;
            on_committed(then, part, rows, result);
        }
    });
    return true;
}

// Failure: a job's row is larger than the table takes. Symptom: the table refuses each transaction with it, and since
// the row is the one that has waited longest, no other job of the part is written any more. So such a row is in no
// transaction before it has become smaller, and starts that wait for it are given up.
void flow_cell::leave_unwritten(instant now, flow_job& job, const std::string& reason)
{
    if (!job.lacks_row_room()) {
        edges_.note(log_level::error, "job", "row_too_large",
                    {{"job", job.id().str()},
                     {"cell", id_.str()},
                     {"reason", reason},
                     {"bytes_most", std::to_string(row_bytes_most_)}});
    }
    job.note_unwritable(now);
    withdraw_unsent_starts(now, job);
}

// The limits of the table may be lower than those that are known here.
void flow_cell::isolate_refused_rows(instant now, part_state& state, const std::vector<committed_row>& rows,
                                     const std::string& reason)
{
    for (const committed_row& row : rows) {
        state.sent_alone.insert(row.job);
    }
    const auto found = jobs_.find(rows.front().job);
    if (rows.size() == 1 && found != jobs_.end()) {
        leave_unwritten(now, *found->second, reason);
    }
}

void flow_cell::schedule_row_removal(instant now, const job_id& id, std::vector<store_key> keys)
{
    part_state& state = parts_[job_part(id)];
    if (state.removable.empty()) {
        state.removals_due = now + removal_interval;
        edges_.after(removal_interval, [](instant) {}); // an event: run_deferred_work() is called after it
    }
    state.removable[id] = std::move(keys);
}

// Removes the rows of jobs whose end the index row records. The answer is not waited for: a row that remains is found
// and removed after the next takeover.
void flow_cell::send_removals(instant now, const std::string& part)
{
    part_state& state = parts_[part];
    store_transaction t;
    t.checks.push_back({fence_key(id_, part), *state.fence});
    while (!state.removable.empty() &&
           (t.removes.empty() || t.removes.size() + state.removable.begin()->second.size() < max_commit_entries)) {
        const auto job = state.removable.extract(state.removable.begin());
        t.removes.insert(t.removes.end(), job.mapped().begin(), job.mapped().end());
    }
    edges_.commit(std::move(t), [this, part](instant, const store_result& result) {
        if (result.outcome != table_outcome::applied) {
            edges_.note(log_level::info, "table", "rows_not_removed", {{"part", part}, {"reason", result.reason}});
        }
    });
    state.removals_due = now + commit_batch_delay; // of the remaining rows
    if (!state.removable.empty()) {
        edges_.after(commit_batch_delay, [](instant) {}); // an event, as above
    }
}

void flow_cell::on_committed(instant now, const std::string& part, const std::vector<committed_row>& rows,
                             const store_result& result)
{
    part_state& state = parts_[part];
    switch (result.outcome) {
    case table_outcome::applied:
        state.backoff = duration(0);
        for (const committed_row& row : rows) {
            state.sent_alone.erase(row.job);
            on_row_in_force(now, row, result.version);
        }
        confirm_all(now);
        break;
    case table_outcome::conflict:
        // Only owners of this cell write these rows, so either a later owner has written its epoch, or an earlier try
        // of this owner was applied although its answer was lost.
        ++stats_.commits_conflicted;
        if (std::any_of(result.rows.begin(), result.rows.end(),
                        [&state](const store_row& row) { return is_fence(row.key) && row.version != state.fence; })) {
            lose_ownership(now, "a later owner has fenced part " + part);
            return;
        }
        for (const store_row& row : result.rows) {
            if (is_fence(row.key)) {
                continue;
            }
            const job_row_name name = parse_job_row_key(row.key);
            const flow_job* const job = find_job(name.job);
            const bool is_new = job != nullptr && row.version > job->version();
            const auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
            if (decoded) {
                on_job_row(now, name, *decoded, row.version);
            }
            if (role_ != role::owning) {
                return;
            }
            if (is_new) {
                find_unanswered_row(now, state, row);
            }
        }
        confirm_all(now);
        state.backoff = commit_retry;
        break;
    case table_outcome::refused:
    case table_outcome::unknown:
        state.backoff = std::clamp<duration>(state.backoff * 2, commit_retry, commit_retry_max);
        state.no_commit_before = now + state.backoff;
        ++stats_.commits_failed;
        edges_.note(log_level::warning, "table", "commit_failed", {{"part", part}, {"reason", result.reason}});
        if (result.invalid) {
            isolate_refused_rows(now, state, rows, result.reason);
        }
        break;
    }
    if (result.outcome == table_outcome::unknown) {
        for (const committed_row& row : rows) {
            state.unanswered[row.job].push_back(row);
        }
        refence_part(part);
    }
    if (!state.dirty.empty()) {
        commit_soon(now, part, state.backoff);
    }
}

// Does what depends on a row of this owner being in the table.
void flow_cell::on_row_in_force(instant now, const committed_row& row, row_version version)
{
    part_state& state = parts_[job_part(row.job)];
    state.unanswered.erase(row.job);
    const auto found = jobs_.find(row.job);
    if (found == jobs_.end()) {
        return;
    }
    flow_job& job = *found->second;
    if (job.lacks_row_room()) {
        edges_.note(log_level::info, "job", "row_fits_again", {{"job", row.job.str()}, {"cell", id_.str()}});
    }
    job.mark_written(row.changes, version);
    if (job.dirty()) {
        state.dirty[row.job] = now; // changed since it was sent
    }
    else {
        state.dirty.erase(row.job);
    }
    if (ready_keys_.count(row.job) != 0) {
        schedule_placement(); // some of its tasks wait for this write
    }
    send_recorded_starts(now, job);
    notify_other_cells(now, row, version);
    after_written(now, job);
}

// Failure: the table applies writes and their answers are lost, again and again. Symptom: each try finds the row of the
// one before and is written anew, and as long as no try is answered, recorded starts are not sent, ends not confirmed,
// and other cells not notified, although all of it is in the table. So a row that is found as an unanswered try sent it
// counts as written by that try.
void flow_cell::find_unanswered_row(instant now, part_state& state, const store_row& found)
{
    const job_id job = parse_job_row_key(found.key).job;
    const auto tries = state.unanswered.find(job);
    if (tries == state.unanswered.end()) {
        return;
    }
    std::optional<committed_row> written;
    for (const committed_row& row : tries->second) {
        if (row.bytes == found.value) {
            written = written.value_or(row);
            // Any of the equal tries may be the one that was applied, so the cells of all of them are notified.
            std::set<cell_id> told(written->told.begin(), written->told.end());
            told.insert(row.told.begin(), row.told.end());
            written->told.assign(told.begin(), told.end());
        }
    }
    if (!written) {
        return;
    }
    edges_.note(log_level::info, "table", "found_written",
                {{"job", job.str()}, {"cell", id_.str()}, {"version", std::to_string(found.version.value())}});
    on_row_in_force(now, *written, found.version);
}

// --- ends that a superseded owner writes ---

// Writes ends of runs that this entry knows although it no longer owns the cell. That a run is done or has failed is a
// fact whoever writes it; the worker that reported it may be gone before the next owner asks, and that owner would
// start the task again. The ends go into a separate row named after this incarnation, and the current owner is notified
// of it. Only ends are added to what the table has, no decision of this owner.
void flow_cell::write_late_ends(const job_id& job, const std::vector<reported_end>& ends)
{
    read_rows(job, [this, job, ends](instant then, const std::vector<store_row>* rows) {
        const auto retry = [this, job, ends](instant) { write_late_ends(job, ends); };
        if (rows == nullptr) {
            edges_.after(commit_retry_max, retry);
            return;
        }
        const std::unique_ptr<flow_job> stored = read_job(job, *rows);
        if (!stored || stored->ended()) {
            return;
        }
        const job_row_name name = late_ends_row(id_, job, self_.incarnation);
        const store_key key = job_row_key(name);
        const auto existing =
            std::find_if(rows->begin(), rows->end(), [&key](const store_row& row) { return row.key == key; });
        const std::uint64_t changes_before = stored->changes();
        for (const reported_end& end : ends) {
            const flow_stage* const stage = stored->find_stage(end.task);
            if (stage != nullptr && !stored->step(*stage).lasting) {
                stored->note_end(end);
            }
        }
        if (stored->changes() == changes_before) {
            // The ends may be in the table because of an earlier try whose answer was lost. The current owner has not
            // been notified of that try, and would start the tasks again.
            const auto written =
                existing == rows->end() ? std::nullopt : read_flow_row<wire::flow_job_row>(edges_, *existing);
            if (written) {
                notify_late_ends(then, name, *written, existing->version);
            }
            return;
        }
        const wire::flow_job_row late_ends = without_spec(stored->current_row());
        store_transaction t;
        t.checks.push_back({key, existing == rows->end() ? row_version(0) : existing->version});
        t.puts.push_back({key, encode_job_row(late_ends, row_bytes_most_)});
        edges_.commit(std::move(t), [this, name, retry, late_ends](instant now, const store_result& result) {
            if (result.invalid) {
                edges_.note(log_level::error, "job", "ends_too_large",
                            {{"job", name.job.str()}, {"cell", id_.str()}, {"reason", result.reason}});
                return;
            }
            if (result.outcome != table_outcome::applied) {
                const bool conflict = result.outcome == table_outcome::conflict;
                edges_.after(conflict ? commit_retry : commit_retry_max, retry);
                return;
            }
            notify_late_ends(now, name, late_ends, result.version);
        });
    });
}

// Notifies the current owner of ends that are in the table.
void flow_cell::notify_late_ends(instant now, const job_row_name& name, const wire::flow_job_row& late_ends,
                                 row_version version)
{
    edges_.note(log_level::info, "job", "ends_left",
                {{"job", name.job.str()}, {"cell", id_.str()}, {"version", std::to_string(version.value())}});
    hooks_.notify_cell_owner(now, name, late_ends, version);
}

// Writes the ends that a worker has listed, since the worker may be gone before the next owner can ask it.
void flow_cell::persist_listed_ends(const order_answer& answer)
{
    std::map<job_id, std::vector<reported_end>> by_job;
    for (const reported_end& end : answer.ends) {
        by_job[end.task.job].push_back(end);
    }
    for (const auto& [job, ends] : by_job) {
        write_late_ends(job, ends);
    }
}

void flow_cell::persist_unwritten_ends()
{
    for (const auto& [id, w] : workers_) {
        if (w.early) {
            persist_listed_ends(w.early->answer);
        }
    }
    for (const auto& [id, job] : jobs_) {
        if (!job->dirty()) {
            continue;
        }
        std::vector<reported_end> ends;
        for (const flow_stage& stage : job->stages()) {
            for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
                const flow_task& task = stage.tasks[i];
                if (task.stage == flow_task_state::done) {
                    ends.push_back({end_number(), job->task_id(stage, i), run_number(), run_end::done, ""});
                }
                for (const run_number run : task.failed_runs) {
                    ends.push_back({end_number(), job->task_id(stage, i), run, run_end::failed, ""});
                }
            }
        }
        if (!ends.empty()) {
            write_late_ends(id, ends);
        }
    }
}

// Called when a job's changes may all be in the table. Callers are notified of a job that has ended, and once none of
// its runs is left its rows are removed.
void flow_cell::after_written(instant now, flow_job& job)
{
    if (job.dirty() || !job.ended()) {
        return;
    }
    if (job.is_home_cell()) {
        hooks_.publish_job_state(now, job.row(), job.id(), state_of(job.row()));
    }
    if (job.running()) {
        return;
    }
    std::vector<store_key> keys{job_row_key(own_row(id_, job.id()))};
    if (job.is_home_cell()) {
        job.note_writer(accepted_row(id_, job.id()).writer);
        job.note_writer(cancel_row(id_, job.id()).writer);
    }
    for (const std::string& writer : job.known_writers()) {
        keys.push_back(job_row_key({id_, job.id(), writer}));
    }
    schedule_row_removal(now, job.id(), std::move(keys));
    forget_job(now, job.id());
}

} // namespace skylarkhub
