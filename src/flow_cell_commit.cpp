// Making facts durable: the rows of jobs that are behind, batched by part, and what follows once they are written.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

using namespace flow_limits;

void flow_cell::job_changed(instant now, flow_job& job, bool urgent)
{
    const std::string part = job_part(job.id());
    parts_[part].dirty.try_emplace(job.id(), now);
    if (urgent) {
        parts_[part].awaited.insert(job.id());
    }
    commit_soon(now, part, urgent ? duration(0) : commit_gap);
}

void flow_cell::commit_soon(instant now, const std::string& part, duration wait)
{
    part_state& state = parts_[part];
    const instant due = std::max(now + wait, state.held_until);
    if (state.planned && state.due <= due) {
        return;
    }
    state.planned = true;
    state.due = due;
    if (due > now) {
        edges_.after(due - now, [](instant) {}); // settle() runs after it
    }
}

duration flow_cell::part_state::head_start(const job_id& id) const
{
    return awaited.count(id) != 0 ? awaited_head_start : duration(0);
}

// The rows that are written together next: the oldest ones, those that are waited for with a start.
std::vector<job_id> flow_cell::pick_group(const part_state& state)
{
    std::vector<std::pair<instant, job_id>> order;
    for (const auto& [id, since] : state.dirty) {
        if (state.contended.count(id) == 0 && state.in_flight.count(id) == 0) {
            order.emplace_back(since - state.head_start(id), id);
        }
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), commit_rows_most));
    std::vector<job_id> rows;
    std::transform(order.begin(), order.end(), std::back_inserter(rows), [](const auto& row) { return row.second; });
    return rows;
}

// The contended row that was tried longest ago. Rows of jobs with tasks in many cells are written by all their owners;
// put together with one of these, the others would be refused with it for as long as it keeps changing, and one after
// the other an owner that is slower than the others would not come to them all. Each refusal of a row is waited for
// twice as long as the one before: tries that fail keep a busy table busy, and the longer it takes, the more fail.
std::optional<job_id> flow_cell::pick_contended(instant now, const part_state& state)
{
    std::optional<std::pair<instant, job_id>> first;
    for (const auto& [id, contention] : state.contended) {
        const std::pair<instant, job_id> row(contention.tried - state.head_start(id), id);
        const duration pause = contended_pause * (1 << std::min(contention.refusals, contended_doublings_most));
        const bool free = state.dirty.count(id) != 0 && state.in_flight.count(id) == 0;
        if (free && (contention.refusals < 2 || now >= contention.tried + pause) && (!first || row < *first)) {
            first = row;
        }
    }
    return first ? std::optional(first->second) : std::nullopt;
}

// Rows that were refused wait on as they did before.
void flow_cell::note_unwritten(part_state& state, const std::vector<committed_row>& rows)
{
    for (const committed_row& row : rows) {
        if (row.awaited && state.dirty.count(row.job) != 0) {
            state.awaited.insert(row.job);
        }
    }
}

// What the table answered to a conflict is compared with what was sent: another owner may have told of its write
// meanwhile, and the row looks as fresh as any then.
void flow_cell::note_contended(instant now, part_state& state, const std::vector<committed_row>& rows,
                               const std::vector<store_row>& found)
{
    for (const committed_row& row : rows) {
        const auto at =
            std::find_if(found.begin(), found.end(), [&row](const store_row& f) { return f.key == job_key(row.job); });
        if (at != found.end() && at->version != row.sent_version && state.dirty.count(row.job) != 0) {
            const std::int32_t before = state.contended[row.job].refusals;
            state.contended[row.job] = {now, now, before + 1};
        }
    }
}

// Forgets those that turn out to be written already, and ends those of cancelled jobs nothing of which runs.
void flow_cell::drop_clean(instant now, part_state& state)
{
    std::vector<job_id> clean;
    for (const auto& [id, since] : state.dirty) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            clean.push_back(id);
            continue;
        }
        flow_job& job = *found->second;
        if (job.cancelled() && !job.ended() && !job.running() && all_accounted(now)) {
            job.note_outcome(flow_state::cancelled);
        }
        if (!job.dirty()) {
            clean.push_back(id);
        }
    }
    std::erase_if(state.contended, [now](const auto& row) { return now - row.second.refused > contended_kept; });
    for (const job_id& id : clean) {
        state.forget(id);
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
    drop_clean(now, state);
    if (!state.group_in_flight) {
        const std::vector<job_id> group = pick_group(state);
        state.group_in_flight = !group.empty();
        send_rows(part, group, false);
    }
    while (state.contended_in_flight < contended_in_flight_most) {
        const auto row = pick_contended(now, state);
        if (!row) {
            break;
        }
        state.contended[*row].tried = now;
        ++state.contended_in_flight;
        send_rows(part, {*row}, true);
    }
    const bool paused = std::any_of(state.contended.begin(), state.contended.end(), [&state](const auto& row) {
        return state.dirty.count(row.first) != 0 && state.in_flight.count(row.first) == 0;
    });
    if (paused) {
        commit_soon(now, part, contended_pause);
    }
}

void flow_cell::send_rows(const std::string& part, const std::vector<job_id>& ids, bool contended)
{
    if (ids.empty()) {
        return;
    }
    part_state& state = parts_[part];
    store_transaction t;
    std::vector<committed_row> rows;
    for (const job_id& id : ids) {
        const flow_job& job = *jobs_.at(id);
        const bool awaited = state.awaited.erase(id) != 0;
        rows.push_back({id, job.changes(), job.version(), awaited, job.current_row()});
        state.in_flight.insert(id);
        t.checks.push_back({job_key(id), job.version()});
        t.puts.push_back({job_key(id), encode_compact(rows.back().row)});
    }
    ++stats_.commits;
    edges_.commit(std::move(t), [this, part, contended, rows = std::move(rows),
                                 life = life_](instant then, const store_result& result) {
        if (life == life_) {
            part_state& sent = parts_[part];
            sent.group_in_flight = sent.group_in_flight && contended;
            sent.contended_in_flight -= contended ? 1 : 0;
            on_committed(then, part, rows, result);
        }
    });
}

void flow_cell::on_committed(instant now, const std::string& part, const std::vector<committed_row>& rows,
                             const store_result& result)
{
    part_state& state = parts_[part];
    for (const committed_row& row : rows) {
        state.in_flight.erase(row.job);
    }
    switch (result.outcome) {
    case table_outcome::applied:
        state.backoff = duration(0);
        for (const auto& [id, changes, sent_version, awaited, row] : rows) {
            const auto found = jobs_.find(id);
            if (found == jobs_.end()) {
                continue;
            }
            found->second->mark_written(changes, result.version);
            const auto contended = state.contended.find(id);
            if (contended != state.contended.end()) {
                contended->second.refusals = 0;
            }
            if (found->second->dirty()) {
                state.dirty[id] = now; // changed since it was sent
            }
            else {
                state.dirty.erase(id);
                state.awaited.erase(id);
            }
            // Members of a gang that runs over several cells wait until all of them can know its number.
            if (unclaimed_.erase(id) != 0 || ready_keys_.count(id) != 0) {
                place_soon();
            }
            send_noted(now, *found->second);
            tell_others(now, *found->second, row, result.version);
            after_written(now, *found->second);
        }
        confirm_all(now);
        break;
    case table_outcome::conflict:
        // Another entry has cancelled a job, or an earlier try of ours is in force although its answer was lost.
        ++stats_.commits_conflicted;
        note_unwritten(state, rows);
        note_contended(now, state, rows, result.rows);
        for (const store_row& row : result.rows) {
            const auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
            if (decoded) {
                on_job_row(now, job_id(row.key.key), *decoded, row.version);
                if (role_ != role::owning) {
                    return; // a later owner's claim was among them
                }
            }
        }
        // Its rows are known as they are now: the sooner they are written again, the fewer have changed by then.
        state.backoff = duration(0);
        break;
    case table_outcome::refused:
    case table_outcome::unknown:
        note_unwritten(state, rows);
        state.backoff = std::clamp<duration>(state.backoff * 2, commit_retry, commit_retry_most);
        state.held_until = now + state.backoff;
        ++stats_.commits_failed;
        edges_.note(log_level::warning, "table", "commit_failed", {{"part", part}, {"reason", result.reason}});
        break;
    }
    if (!state.dirty.empty()) {
        commit_soon(now, part, state.backoff);
    }
}

// --- what an owner leaves that has been followed ---

// That a run is done or has failed is a fact, whoever writes it. The worker that told it to this owner may be gone
// before the next one asks, and the next one would start the task again; so the row is told, and the next owner with
// it. Only ends are added, to the row as it is now: nothing that this owner had decided.
void flow_cell::leave_ends(const job_id& job, const std::vector<listed_end>& ends)
{
    edges_.read(only_row(job_key(job)), [this, job, ends](instant, const store_page& page) {
        const auto again = [this, job, ends](instant) { leave_ends(job, ends); };
        if (!page.reached) {
            edges_.after(commit_retry_most, again);
            return;
        }
        const auto row =
            page.rows.empty() ? std::nullopt : read_flow_row<wire::flow_job_row>(edges_, page.rows.front());
        if (!row || row->outcome != 0) {
            return;
        }
        flow_job left(job, id_, *row, page.rows.front().version);
        for (const listed_end& end : ends) {
            const flow_stage* const stage = left.find_stage(end.task);
            if (stage != nullptr && !left.step(*stage).lasting) {
                left.note_end(end);
            }
        }
        if (!left.dirty()) {
            return;
        }
        store_transaction t;
        t.checks.push_back({job_key(job), left.version()});
        t.puts.push_back({job_key(job), encode_compact(left.current_row())});
        edges_.commit(std::move(t),
                      [this, job, again, told = left.current_row()](instant now, const store_result& result) {
                          if (result.outcome != table_outcome::applied) {
                              const bool conflict = result.outcome == table_outcome::conflict;
                              edges_.after(conflict ? commit_retry : commit_retry_most, again);
                              return;
                          }
                          edges_.note(log_level::info, "job", "ends_left", {{"job", job.str()}, {"cell", id_.str()}});
                          hooks_.tell_cell(now, id_, job, told, result.version);
                      });
    });
}

void flow_cell::leave_unwritten_ends()
{
    for (const auto& [id, job] : jobs_) {
        if (!job->dirty()) {
            continue;
        }
        std::vector<listed_end> ends;
        for (const flow_stage& stage : job->stages()) {
            for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
                const flow_task& task = stage.tasks[i];
                if (task.stage == task_stage::done) {
                    ends.push_back({end_number(), job->task_id(stage, i), run_number(), run_end::done, ""});
                }
                for (const run_number run : task.failed_runs) {
                    ends.push_back({end_number(), job->task_id(stage, i), run, run_end::failed, ""});
                }
            }
        }
        if (!ends.empty()) {
            leave_ends(id, ends);
        }
    }
}

// Everything known of the job may be in its row now: callers learn what has become of it, and an ended job is put away.
void flow_cell::after_written(instant now, flow_job& job)
{
    if (job.dirty() || !job.ended()) {
        return;
    }
    if (job.row().cell == id_.str()) {
        hooks_.state_changed(now, job.row(), job.id(), state_of(job.row()));
    }
    if (!job.running()) {
        forget_job(now, job.id());
    }
}

} // namespace skylarkhub
