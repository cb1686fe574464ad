// Answers how many accepted jobs of a queue have not started. Callers ask any entry, but the owner of a cell knows its
// own jobs only. So owners report their counts to their peers in hellos, and store them in their cells' rows for
// entries that received no report.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

bool is_waiting(const wire::flow_job_row& row)
{
    return !row.started && !row.cancelled && row.outcome == 0;
}

} // namespace

void flow_entry::ask_pending(instant now, const queue_id& queue, caller_reply reply)
{
    const pending_request request{queue, now, std::move(reply)};
    const auto counted = count_pending(now, queue);
    if (const auto* const jobs = std::get_if<std::int64_t>(&counted)) {
        answer_pending(now, request, *jobs);
        return;
    }
    const bool just_read = !pending_read_.under_way && now < next_pending_read_;
    if (!layouts_known_ || table_away_ || just_read) {
        refuse_pending(now, request, std::get<counts_missing>(counted), table_away_ ? "not reached" : "just read");
        return;
    }
    pending_requests_.push_back(request);
    if (!pending_read_.under_way) {
        read_pending(now);
    }
}

// Reads the counts in the rows of cells, then adds all jobs accepted since. One read serves all requests that arrive
// meanwhile.
//
// Failure: the owner of a cell fails after accepting jobs that it has not reported. Symptom: its last count lacks these
// jobs, however recent the count is assumed to be. The table's changes since that count contain exactly these jobs: no
// task starts in a cell without an owner, and a live owner adds started jobs to its row.
void flow_entry::read_pending(instant now)
{
    pending_read_ = {};
    pending_read_.under_way = true;
    ++stats_.pending_reads;
    edges_.read({cells_table, shared_part, "", ""},
                [this, asked = now](instant then, const store_page& page) { on_pending_rows(then, asked, page); });
}

void flow_entry::on_pending_rows(instant now, instant asked, const store_page& page)
{
    if (!page.reached) {
        end_pending_read(now, page.reason);
        return;
    }
    pending_read_.goal = {page.version, asked};
    std::map<cell_id, pending_count>& counts = pending_read_.counts;
    if (!page.more) {
        pending_cells_read_at_ = asked;
        for (const auto& [id, cell] : cells_) {
            counts[id] = {{}, page.version}; // a cell without a row never had an owner, so no job was accepted for it
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
        const timestamped_count* const reported = pending_.find(cell);
        count = reported != nullptr && reported->count.up_to > count.up_to ? reported->count : count;
    }
    std::erase_if(counts, [&](const auto& cell) {
        const timestamped_count* const reported = pending_.find(cell.first);
        return reported != nullptr && asked - reported->complete_at < watch_interval;
    });
    read_accepted_since(now);
}

// Watches from the oldest of the counts on, which covers the newer ones as well. An answer that shows rows does not say
// whether others follow, so the calls go on up to the version at which the counts were read.
void flow_entry::read_accepted_since(instant now)
{
    const auto& counts = pending_read_.counts;
    if (counts.empty()) {
        end_pending_read(now, "read");
        return;
    }
    const auto oldest = std::min_element(counts.begin(), counts.end(),
                                         [](const auto& a, const auto& b) { return a.second.up_to < b.second.up_to; });
    edges_.watch({news_table, oldest->second.up_to, duration(0)},
                 [this, asked = now, after = oldest->second.up_to](instant then, const store_page& page) {
                     on_accepted_read(then, asked, after, page);
                 });
}

void flow_entry::on_accepted_read(instant now, instant asked, row_version after, const store_page& page)
{
    if (!page.reached || page.history_compacted) {
        end_pending_read(now, page.history_compacted ? "changes discarded" : page.reason);
        return;
    }
    std::map<cell_id, pending_count>& counts = pending_read_.counts;
    for (const store_row& row : page.rows) {
        const job_row_name name = parse_job_row_key(row.key);
        const auto count = counts.find(name.cell);
        if (row.removed || count == counts.end() || row.version <= count->second.up_to ||
            !(name == accepted_row(name.cell, name.job))) {
            continue;
        }
        const auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
        if (decoded && is_waiting(*decoded)) {
            ++count->second.jobs[decoded->queue];
        }
    }
    const row_version shown = last_complete_version(page, after);
    for (auto& [cell, count] : counts) {
        count.up_to = std::max(count.up_to, shown);
    }
    const row_version goal = pending_read_.goal.version;
    const bool goal_reached = goal > row_version(0) && shown >= goal; // 0: the answer had no version
    if (page.more && !goal_reached && shown > after) {
        read_accepted_since(now);
        return;
    }
    if (!page.more || goal_reached) {
        for (const auto& [cell, count] : counts) {
            pending_.hear(cell, {count, page.more ? pending_read_.goal.asked : asked, {}});
        }
    }
    end_pending_read(now, "read");
}

void flow_entry::end_pending_read(instant now, const std::string& outcome)
{
    pending_read_ = {};
    next_pending_read_ = now + pending_read_pause;
    for (const pending_request& request : std::exchange(pending_requests_, {})) {
        const auto counted = count_pending(now, request.queue);
        if (const auto* const jobs = std::get_if<std::int64_t>(&counted)) {
            answer_pending(now, request, *jobs);
            continue;
        }
        refuse_pending(now, request, std::get<counts_missing>(counted), outcome);
    }
}

// Failure: owners fail faster than a new owner reads its rows, so that nobody counts. Symptom: the last count becomes
// older than the changes that the table retains, and no entry can answer how many jobs wait. So an owner that still
// reads its rows refreshes the count of its cell for its row and its peers.
void flow_entry::refresh_pending_counts(instant now)
{
    const bool behind = std::any_of(cells_.begin(), cells_.end(), [this, now](const auto& cell) {
        const timestamped_count* const reported = pending_.find(cell.first);
        return cell.second->current_role() == flow_cell::role::reading &&
               (reported == nullptr || now - reported->complete_at >= watch_interval);
    });
    if (behind && !pending_read_.under_way && !table_away_ && now >= next_pending_read_) {
        read_pending(now);
    }
}

// A read that takes many pages or gets no answer continues for later requests.
void flow_entry::refuse_late_requests(instant now)
{
    for (const pending_request& request : pending_requests_) {
        if (now - request.asked >= pending_answer_timeout) {
            refuse_pending(now, request, {}, "still read");
        }
    }
    std::erase_if(pending_requests_,
                  [now](const pending_request& request) { return now - request.asked >= pending_answer_timeout; });
}

void flow_entry::answer_pending(instant now, const pending_request& request, std::int64_t jobs)
{
    if (now >= next_pending_line_) {
        next_pending_line_ = now + pending_log_interval;
        edges_.note(log_level::info, "pending", "told",
                    {{"queue", request.queue.str()},
                     {"jobs", std::to_string(jobs)},
                     {"took_ms", std::to_string((now - request.asked) / std::chrono::milliseconds(1))},
                     {"cells", std::to_string(cells_.size())},
                     {"parts", pending_.parts(request.queue, now)}});
    }
    request.reply({caller_result::pending, flow_state::queued, jobs, duration(0), ""});
}

void flow_entry::refuse_pending(instant now, const pending_request& request, const counts_missing& missing,
                                const std::string& table)
{
    ++stats_.pending_refused;
    if (now >= next_pending_refusal_line_) {
        next_pending_refusal_line_ = now + pending_log_interval;
        edges_.note(log_level::warning, "pending", "refused",
                    {{"queue", request.queue.str()},
                     {"cells_missing", std::to_string(missing.cells.size())},
                     {"first", missing.cells.empty() ? "none known yet" : missing.cells.front().str()},
                     {"table", table}});
    }
    request.reply({caller_result::retry_later, flow_state::queued, 0, unavailable_retry,
                   "the jobs of a cell are not counted yet"});
}

void flow_entry::refresh_own_counts(instant now)
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

// While no entry reaches the table, no job is accepted, so an older count remains complete. After
// ownership_lease_outage, when owners stop without the table, this is no longer assumed: other entries may reach the
// table without this one knowing.
bool flow_entry::is_count_usable(instant now, instant complete_at) const
{
    const duration age = now - complete_at;
    return age < max_pending_count_age || (age < ownership_lease_outage && table_outage(now, complete_at));
}

// A peer that was live and failed may own a cell that was added after the cells were last read. Peers that never sent a
// hello are ignored, since the table may keep the row of a removed entry for a long time.
bool flow_entry::may_miss_cells(instant now) const
{
    const bool silent = std::any_of(peers_.begin(), peers_.end(),
                                    [&](const auto& p) { return p.second.hello_received && !is_live(p.second, now); });
    return !layouts_known_ || (silent && !is_count_usable(now, std::max(pending_cells_read_at_, layouts_read_at_)));
}

std::variant<std::int64_t, counts_missing> flow_entry::count_pending(instant now, const queue_id& queue)
{
    refresh_own_counts(now);
    if (may_miss_cells(now)) {
        return counts_missing{};
    }
    std::vector<cell_id> cells;
    for (const auto& [id, cell] : cells_) {
        cells.push_back(id);
    }
    return pending_.count(queue, std::move(cells),
                          [this, now](instant complete_at) { return is_count_usable(now, complete_at); });
}

void flow_entry::add_pending_count(instant now, wire::flow_cell_news& news) const
{
    const timestamped_count* const known = pending_.find(cell_id(news.cell));
    if (known != nullptr) {
        news.pending = known->count.jobs;
        news.pending_newer = known->newer;
        news.counted_up_to = known->count.up_to.value();
        news.counted_ago_ms = std::chrono::ceil<std::chrono::milliseconds>(now - known->complete_at).count();
    }
}

void flow_entry::update_pending_count(instant earliest_sent, const wire::flow_cell_news& news)
{
    if (news.counted_up_to > 0) {
        pending_.hear(cell_id(news.cell), {{news.pending, row_version(news.counted_up_to)},
                                           earliest_sent - std::chrono::milliseconds(news.counted_ago_ms),
                                           news.pending_newer});
    }
}

} // namespace skylarkhub
