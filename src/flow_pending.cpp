// How many accepted jobs of a queue have not started. Any entry is asked, and each cell's owner knows of its own only.
#include "flow_entry_p.h"

namespace skylarkhub {

namespace {

bool waits(const wire::flow_job_row& row)
{
    return !row.started && !row.cancelled && row.outcome == 0;
}

} // namespace

// What a cell's owner told last is kept until a later owner has read the rows of all jobs and tells more: an owner that
// starts anew, or is followed by one that is cut off, would leave jobs that wait out of the count for as long.
void flow_entry::note_pending(const wire::flow_cell_news& news)
{
    cell_pending& told = told_pending_[cell_id(news.cell)];
    if (news.pending_whole && news.epoch >= told.epoch) {
        told = {news.epoch, news.pending};
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
