// How many accepted jobs of a queue have not started. Any entry is asked, and each cell's owner knows of its own only.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

bool waits(const wire::flow_job_row& row)
{
    return !row.started && !row.cancelled && row.outcome == 0;
}

} // namespace

// What a cell's owner told last is kept until a later owner has read the rows of all jobs and tells more: an owner that
// starts anew, or is followed by one that is cut off, would leave jobs that wait out of the count for as long.
void flow_entry::note_pending(instant now, const wire::flow_cell_news& news)
{
    cell_pending& told = told_pending_[cell_id(news.cell)];
    if (news.pending_whole && news.epoch >= told.epoch) {
        told = {news.epoch, news.pending, now};
    }
}

// Jobs that this entry has accepted for a cell whose owner it cannot reach: nobody else knows of them.
std::map<std::string, std::int32_t> flow_entry::count_untold() const
{
    std::map<std::string, std::int32_t> counts;
    for (const auto& [name, untold] : untold_) {
        if (waits(untold.row) && name == accepted_row(name.cell, name.job)) {
            ++counts[untold.row.queue];
        }
    }
    return counts;
}

// What a count was made of: cells that nobody has told a count of, and the age of the oldest that was told.
void flow_entry::log_pending(instant now, const queue_id& queue, std::int64_t told)
{
    if (now < next_pending_line_) {
        return;
    }
    next_pending_line_ = now + pending_log_interval;
    std::int64_t unheard = 0;
    duration oldest{0};
    for (const auto& [id, cell] : cells_) {
        const auto at = told_pending_.find(id);
        const bool own = cell->current_role() == flow_cell::role::owning;
        const bool heard = at != told_pending_.end() && at->second.epoch > 0;
        unheard += own || heard ? 0 : 1;
        oldest = own || !heard ? oldest : std::max<duration>(oldest, now - at->second.heard);
    }
    edges_.note(log_level::info, "pending", "told",
                {{"queue", queue.str()},
                 {"jobs", std::to_string(told)},
                 {"cells", std::to_string(cells_.size())},
                 {"cells_unheard", std::to_string(unheard)},
                 {"oldest_ms", std::to_string(oldest / std::chrono::milliseconds(1))}});
}

std::int64_t flow_entry::count_pending(const queue_id& queue) const
{
    const auto count_in = [&queue](const std::map<std::string, std::int32_t>& counts) -> std::int64_t {
        const auto at = counts.find(queue.str());
        return at == counts.end() ? 0 : at->second;
    };
    std::int64_t sum = count_in(count_untold());
    for (const auto& [id, p] : peers_) {
        sum += count_in(p.untold);
    }
    for (const auto& [id, cell] : cells_) {
        sum += cell->current_role() == flow_cell::role::owning ? cell->pending(queue) : 0;
    }
    for (const auto& [id, told] : told_pending_) {
        const auto own = cells_.find(id);
        const bool counted = own != cells_.end() && own->second->current_role() == flow_cell::role::owning;
        sum += counted ? 0 : count_in(told.counts);
    }
    return sum;
}

} // namespace skylarkhub
