// How many accepted jobs of a queue have not started. Any entry is asked, and each cell's owner knows of its own only:
// owners tell their counts to their peers, and leave them in their cells' rows for who has not heard them.
#include <algorithm>
#include <set>

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

std::int32_t count_of(const std::map<std::string, std::int32_t>& counts, const queue_id& queue)
{
    const auto at = counts.find(queue.str());
    return at == counts.end() ? 0 : at->second;
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
    const bool table_reached = !table_away_ || relay_peer();
    const bool just_read = !reading_pending_ && now < next_pending_read_;
    if (!layouts_known_ || !table_reached || just_read) {
        refuse_pending(now, question, std::get<counts_missing>(counted), table_reached ? "just read" : "not reached");
        return;
    }
    pending_questions_.push_back(question);
    if (!reading_pending_) {
        read_pending(now);
    }
}

// One read for all who ask meanwhile.
void flow_entry::read_pending(instant now)
{
    reading_pending_ = true;
    ++stats_.pending_reads;
    edges_.read({cells_table, shared_part, "", ""}, [this, asked = now](instant then, const store_page& page) {
        reading_pending_ = false;
        next_pending_read_ = then + pending_read_pause;
        on_pending_read(then, asked, page);
    });
}

void flow_entry::on_pending_read(instant now, instant asked, const store_page& page)
{
    std::set<cell_id> without_row;
    for (const auto& [id, cell] : cells_) {
        without_row.insert(id);
    }
    for (const store_row& row : page.rows) {
        without_row.erase(cell_id(row.key.key));
        const auto decoded = read_flow_row<wire::flow_cell_row>(edges_, row);
        const auto count = decoded ? from_row(decoded->pending) : std::nullopt;
        if (count) {
            hear_count(cell_id(row.key.key), *count, asked - pending_row_age);
        }
    }
    if (page.reached && !page.more) {
        for (const cell_id& cell : without_row) {
            pending_.hear(cell, {}, asked); // it never had an owner, so no job was accepted for it
        }
    }
    for (const pending_question& question : std::exchange(pending_questions_, {})) {
        const auto counted = count_pending(now, question.queue);
        if (const auto* const jobs = std::get_if<std::int64_t>(&counted)) {
            tell_pending(now, question, *jobs);
            continue;
        }
        refuse_pending(now, question, std::get<counts_missing>(counted), page.reached ? "read" : page.reason);
    }
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
                     {"parts", pending_.parts(question.queue, now)},
                     {"uncounted", std::to_string(count_of(count_uncounted(now), question.queue))}});
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
    question.reply(
        {caller_result::try_later, flow_state::queued, 0, unavailable_retry, "the jobs of a cell are not counted yet"});
}

// While nobody reaches the table no job is accepted and no cell changes hands.
std::variant<std::int64_t, counts_missing> flow_entry::count_pending(instant now, const queue_id& queue)
{
    std::vector<cell_id> cells;
    for (const auto& [id, cell] : cells_) {
        cells.push_back(id);
        const auto own = cell->newest_pending(now);
        if (own) {
            hear_count(id, *own, now);
        }
    }
    auto counted = pending_.count(queue, std::move(cells), [this, now](instant newest_at) {
        return now - newest_at < pending_fresh || table_outage(now, newest_at);
    });
    if (!layouts_known_) {
        return counts_missing{};
    }
    if (auto* const jobs = std::get_if<std::int64_t>(&counted)) {
        *jobs += count_of(count_uncounted(now), queue);
        for (const auto& [id, p] : peers_) {
            *jobs += now - p.heard < pending_fresh ? count_of(p.untold, queue) : 0;
        }
    }
    return counted;
}

// The cell's owner is heard and counts all its jobs.
bool flow_entry::counts_itself(instant now, const cell_id& cell) const
{
    const auto own = cells_.find(cell);
    if (own != cells_.end() && own->second->owns()) {
        return own->second->takes_news();
    }
    const peer* const owner = owner_of(now, cell);
    return owner != nullptr && !owner->leaving &&
           std::any_of(owner->cells.begin(), owner->cells.end(), [&cell](const wire::flow_cell_news& news) {
               return news.cell == cell.str() && news.counted.epoch == news.epoch;
           });
}

// Jobs that this entry has accepted and nobody else counts: their cell's owner could not be told of them, or is gone
// before it has told others.
std::map<std::string, std::int32_t> flow_entry::count_uncounted(instant now) const
{
    std::map<std::string, std::int32_t> counts;
    for (const auto& [name, untold] : untold_) {
        if (waits(untold.row) && name == accepted_row(name.cell, name.job)) {
            ++counts[untold.row.queue];
        }
    }
    for (const auto& [name, job] : told_) {
        const auto followed = followed_.find(name.job);
        const bool queued = followed == followed_.end() || followed->second.state == flow_state::queued;
        if (queued && !counts_itself(now, name.cell)) {
            ++counts[job.queue];
        }
    }
    return counts;
}

void flow_entry::note_told(const job_row_name& name, const wire::flow_job_row& row, count_stamp after)
{
    if (waits(row) && name == accepted_row(name.cell, name.job) && after.owner.value() > 0) {
        told_[name] = {row.queue, after};
    }
}

void flow_entry::hear_count(const cell_id& cell, const pending_count& count, instant newest_at)
{
    pending_.hear(cell, count, newest_at);
    std::erase_if(told_, [&](const auto& job) { return job.first.cell == cell && job.second.after < count.stamp; });
}

void flow_entry::note_pending(instant now, const wire::flow_cell_news& news)
{
    if (!news.pending_whole) {
        return;
    }
    const bool stamped = news.counted.epoch != 0;
    const count_stamp stamp{epoch(stamped ? news.counted.epoch : news.epoch), news.counted.number};
    hear_count(cell_id(news.cell), {stamp, news.pending}, now);
}

} // namespace skylarkhub
