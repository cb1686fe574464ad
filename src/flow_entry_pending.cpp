// How many accepted jobs of a queue have not started. Any entry is asked, and each cell's owner knows of its own only:
// owners tell their counts to their peers, and leave them in their cells' rows for who has not heard them.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

bool waits(const wire::flow_job_row& row)
{
    return !row.started && !row.cancelled && row.outcome == 0;
}

} // namespace

void flow_entry::ask_pending(instant now, const queue_id& queue, caller_reply reply)
{
    const pending_question question{queue, now, std::move(reply)};
    const auto counted = count_pending(now, queue);
    if (const auto* const jobs = std::get_if<std::int64_t>(&counted)) {
        tell_pending(now, question, *jobs);
        return;
    }
    const bool just_read = !pending_reading_.under_way && now < next_pending_read_;
    if (!layouts_known_ || table_away_ || just_read) {
        refuse_pending(now, question, std::get<counts_missing>(counted), table_away_ ? "not reached" : "just read");
        return;
    }
    pending_questions_.push_back(question);
    if (!pending_reading_.under_way) {
        read_pending(now);
    }
}

// The rows of cells, then all jobs that were accepted since the counts in them. One reading for all who ask meanwhile.
//
// Failure: the owner of a cell is gone, with jobs that it took after its last word. Symptom: the count that it left
// tells none of them, however new whoever reads it takes it for. What the table has since then are just these jobs,
// whoever took them: nothing starts in a cell without an owner, and one that lives adds what it has started to its row.
void flow_entry::read_pending(instant now)
{
    pending_reading_ = {};
    pending_reading_.under_way = true;
    ++stats_.pending_reads;
    edges_.read({cells_table, shared_part, "", ""},
                [this, asked = now](instant then, const store_page& page) { on_pending_rows(then, asked, page); });
}

void flow_entry::on_pending_rows(instant now, instant asked, const store_page& page)
{
    if (!page.reached) {
        end_pending_reading(now, page.reason);
        return;
    }
    std::map<cell_id, pending_count>& counts = pending_reading_.counts;
    if (!page.more) {
        pending_cells_read_at_ = asked;
        for (const auto& [id, cell] : cells_) {
            counts[id] = {{}, page.version}; // without a row it never had an owner, so no job was accepted for it
        }
    }
    for (const store_row& row : page.rows) {
        const cell_id id(row.key.key);
        const auto decoded = read_flow_row<wire::flow_cell_row>(edges_, row);
        const auto count = decoded ? from_row(decoded->pending) : std::nullopt;
        counts.erase(id);
        if (count) {
            counts[id] = *count;
        }
    }
    for (auto& [cell, count] : counts) {
        const timestamped_count* const heard = pending_.find(cell);
        count = heard != nullptr && heard->count.up_to > count.up_to ? heard->count : count;
    }
    std::erase_if(counts, [&](const auto& cell) {
        const timestamped_count* const heard = pending_.find(cell.first);
        return heard != nullptr && asked - heard->whole_at < watch_interval;
    });
    look_for_accepted(now);
}

// From the oldest of the counts on.
void flow_entry::look_for_accepted(instant now)
{
    const auto& counts = pending_reading_.counts;
    if (counts.empty()) {
        end_pending_reading(now, "read");
        return;
    }
    const auto oldest = std::min_element(counts.begin(), counts.end(),
                                         [](const auto& a, const auto& b) { return a.second.up_to < b.second.up_to; });
    edges_.watch({news_table, oldest->second.up_to, duration(0)},
                 [this, asked = now, after = oldest->second.up_to](instant then, const store_page& page) {
                     on_accepted_seen(then, asked, after, page);
                 });
}

void flow_entry::on_accepted_seen(instant now, instant asked, row_version after, const store_page& page)
{
    if (!page.reached || page.history_compacted) {
        end_pending_reading(now, page.history_compacted ? "changes discarded" : page.reason);
        return;
    }
    std::map<cell_id, pending_count>& counts = pending_reading_.counts;
    for (const store_row& row : page.rows) {
        const job_row_name name = parse_job_row_key(row.key);
        const auto count = counts.find(name.cell);
        if (row.removed || count == counts.end() || row.version <= count->second.up_to ||
            !(name == accepted_row(name.cell, name.job))) {
            continue;
        }
        const auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
        if (decoded && waits(*decoded)) {
            ++count->second.jobs[decoded->queue];
        }
    }
    const row_version shown = shown_by(page, after);
    for (auto& [cell, count] : counts) {
        count.up_to = std::max(count.up_to, shown);
    }
    if (page.more && shown > after) {
        look_for_accepted(now);
        return;
    }
    if (!page.more) {
        for (const auto& [cell, count] : counts) {
            pending_.hear(cell, {count, asked, {}});
        }
    }
    end_pending_reading(now, "read");
}

void flow_entry::end_pending_reading(instant now, const std::string& outcome)
{
    pending_reading_ = {};
    next_pending_read_ = now + pending_read_pause;
    for (const pending_question& question : std::exchange(pending_questions_, {})) {
        const auto counted = count_pending(now, question.queue);
        if (const auto* const jobs = std::get_if<std::int64_t>(&counted)) {
            tell_pending(now, question, *jobs);
            continue;
        }
        refuse_pending(now, question, std::get<counts_missing>(counted), outcome);
    }
}

// Failure: owners follow each other faster than one of them reads its rows, so that nobody counts. Symptom: the last
// count grows older than the changes that the table keeps, and nobody can tell how many jobs wait. So an owner that
// still reads keeps the count of its cell new, for its row and for its peers.
void flow_entry::keep_pending_counts(instant now)
{
    const bool behind = std::any_of(cells_.begin(), cells_.end(), [this, now](const auto& cell) {
        const timestamped_count* const heard = pending_.find(cell.first);
        return cell.second->current_role() == flow_cell::role::reading &&
               (heard == nullptr || now - heard->whole_at >= watch_interval);
    });
    if (behind && !pending_reading_.under_way && !table_away_ && now >= next_pending_read_) {
        read_pending(now);
    }
}

// A reading that takes many pages, or gets no answer, goes on for those who ask next.
void flow_entry::refuse_late_questions(instant now)
{
    for (const pending_question& question : pending_questions_) {
        if (now - question.asked >= pending_answer_most) {
            refuse_pending(now, question, {}, "still read");
        }
    }
    std::erase_if(pending_questions_,
                  [now](const pending_question& question) { return now - question.asked >= pending_answer_most; });
}

void flow_entry::tell_pending(instant now, const pending_question& question, std::int64_t jobs)
{
    if (now >= next_pending_line_) {
        next_pending_line_ = now + pending_log_interval;
        edges_.note(log_level::info, "pending", "told",
                    {{"queue", question.queue.str()},
                     {"jobs", std::to_string(jobs)},
                     {"took_ms", std::to_string((now - question.asked) / std::chrono::milliseconds(1))},
                     {"cells", std::to_string(cells_.size())},
                     {"parts", pending_.parts(question.queue, now)}});
    }
    question.reply({caller_result::pending, flow_state::queued, jobs, duration(0), ""});
}

void flow_entry::refuse_pending(instant now, const pending_question& question, const counts_missing& missing,
                                const std::string& table)
{
    ++stats_.pending_refused;
    if (now >= next_pending_refusal_line_) {
        next_pending_refusal_line_ = now + pending_log_interval;
        edges_.note(log_level::warning, "pending", "refused",
                    {{"queue", question.queue.str()},
                     {"cells_missing", std::to_string(missing.cells.size())},
                     {"first", missing.cells.empty() ? "none known yet" : missing.cells.front().str()},
                     {"table", table}});
    }
    question.reply({caller_result::retry_later, flow_state::queued, 0, unavailable_retry,
                    "the jobs of a cell are not counted yet"});
}

void flow_entry::note_own_counts(instant now)
{
    if (now - own_counts_at_ < news_cache_ttl) {
        return;
    }
    own_counts_at_ = now;
    for (const auto& [id, cell] : cells_) {
        const auto own = cell->count_pending(now);
        if (own) {
            pending_.hear(id, *own);
        }
    }
}

// While nobody reaches the table no job is accepted. Longer than owners go on without the table that is not relied on:
// others may reach it unheard.
bool flow_entry::counts_all(instant now, instant whole_at) const
{
    const duration age = now - whole_at;
    return age < pending_fresh || (age < ownership_lease_outage && table_outage(now, whole_at));
}

// A peer that has fallen silent may own a cell that was laid out since the cells were last read. Of one that was never
// heard, the table may keep the row long after it is gone.
bool flow_entry::may_miss_cells(instant now) const
{
    const bool silent = std::any_of(peers_.begin(), peers_.end(),
                                    [&](const auto& p) { return p.second.ever_heard && !heard(p.second, now); });
    return !layouts_known_ || (silent && !counts_all(now, std::max(pending_cells_read_at_, layouts_read_at_)));
}

std::variant<std::int64_t, counts_missing> flow_entry::count_pending(instant now, const queue_id& queue)
{
    note_own_counts(now);
    if (may_miss_cells(now)) {
        return counts_missing{};
    }
    std::vector<cell_id> cells;
    for (const auto& [id, cell] : cells_) {
        cells.push_back(id);
    }
    return pending_.count(queue, std::move(cells), [this, now](instant whole_at) { return counts_all(now, whole_at); });
}

// For a hello: what this entry knows of a cell that it owns.
void flow_entry::tell_count(instant now, wire::flow_cell_news& news) const
{
    const timestamped_count* const known = pending_.find(cell_id(news.cell));
    if (known != nullptr) {
        news.pending = known->count.jobs;
        news.pending_newer = known->newer;
        news.counted_up_to = known->count.up_to.value();
        news.counted_ago_ms = std::chrono::ceil<std::chrono::milliseconds>(now - known->whole_at).count();
    }
}

// `told_at`: no later than it was sent.
void flow_entry::note_pending(instant told_at, const wire::flow_cell_news& news)
{
    if (news.counted_up_to > 0) {
        pending_.hear(cell_id(news.cell), {{news.pending, row_version(news.counted_up_to)},
                                           told_at - std::chrono::milliseconds(news.counted_ago_ms),
                                           news.pending_newer});
    }
}

} // namespace skylarkhub
