#include "flow_pending_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace skylarkhub {

wire::flow_pending_row to_row(const pending_count& count)
{
    wire::flow_pending_row row;
    row.epoch = count.stamp.owner.value();
    row.number = count.stamp.number;
    row.pending = count.jobs;
    return row;
}

std::optional<pending_count> from_row(const wire::flow_pending_row& row)
{
    if (row.epoch == 0) {
        return std::nullopt;
    }
    return pending_count{{epoch(row.epoch), row.number}, row.pending};
}

void pending_counts::hear(const cell_id& cell, const pending_count& count, instant newest_at)
{
    const auto [at, added] = heard_.try_emplace(cell);
    heard_count& known = at->second;
    if (!added && count.stamp.owner < known.count.stamp.owner) {
        return; // of an owner that has been followed
    }
    if (added || count.stamp >= known.count.stamp) {
        known.count = count;
    }
    known.newest_at = std::max(known.newest_at, newest_at);
}

std::variant<std::int64_t, counts_missing> pending_counts::count(const queue_id& queue, std::vector<cell_id> cells,
                                                                 const std::function<bool(instant)>& still_newest) const
{
    counts_missing missing;
    std::int64_t sum = 0;
    for (const auto& [cell, heard] : heard_) {
        cells.erase(std::remove(cells.begin(), cells.end(), cell), cells.end());
        if (!still_newest(heard.newest_at)) {
            missing.cells.push_back(cell);
        }
        const auto of_queue = heard.count.jobs.find(queue.str());
        sum += of_queue == heard.count.jobs.end() ? 0 : of_queue->second;
    }
    missing.cells.insert(missing.cells.end(), cells.begin(), cells.end());
    if (!missing.cells.empty()) {
        return missing;
    }
    return sum;
}

std::string pending_counts::parts(const queue_id& queue, instant now) const
{
    std::string parts;
    for (const auto& [cell, heard] : heard_) {
        const auto of_queue = heard.count.jobs.find(queue.str());
        const std::int32_t jobs = of_queue == heard.count.jobs.end() ? 0 : of_queue->second;
        parts += fmt::format("{}{}={}/{}", parts.empty() ? "" : ",", cell.str(), jobs,
                             (now - heard.newest_at) / std::chrono::milliseconds(1));
    }
    return parts;
}

} // namespace skylarkhub
