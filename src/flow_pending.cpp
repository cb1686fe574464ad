#include "flow_pending_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace skylarkhub {

namespace {

std::int32_t jobs_of(const std::map<std::string, std::int32_t>& counts, const queue_id& queue)
{
    const auto at = counts.find(queue.str());
    return at == counts.end() ? 0 : at->second;
}

std::int32_t jobs_of(const timestamped_count& heard, const queue_id& queue)
{
    return jobs_of(heard.count.jobs, queue) + jobs_of(heard.newer, queue);
}

} // namespace

wire::flow_pending_row to_row(const pending_count& count)
{
    wire::flow_pending_row row;
    row.pending = count.jobs;
    row.up_to = count.up_to.value();
    return row;
}

std::optional<pending_count> from_row(const wire::flow_pending_row& row)
{
    if (row.up_to == 0) {
        return std::nullopt;
    }
    return pending_count{row.pending, row_version(row.up_to)};
}

void pending_counts::hear(const cell_id& cell, const timestamped_count& heard)
{
    const auto [at, added] = heard_.try_emplace(cell, heard);
    if (!added && heard.whole_at >= at->second.whole_at) {
        at->second = heard;
    }
}

const timestamped_count* pending_counts::find(const cell_id& cell) const
{
    const auto at = heard_.find(cell);
    return at == heard_.end() ? nullptr : &at->second;
}

std::variant<std::int64_t, counts_missing> pending_counts::count(const queue_id& queue, std::vector<cell_id> cells,
                                                                 const std::function<bool(instant)>& new_enough) const
{
    counts_missing missing;
    std::int64_t sum = 0;
    for (const auto& [cell, heard] : heard_) {
        cells.erase(std::remove(cells.begin(), cells.end(), cell), cells.end());
        if (!new_enough(heard.whole_at)) {
            missing.cells.push_back(cell);
        }
        sum += jobs_of(heard, queue);
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
        parts += fmt::format("{}{}={}/{}", parts.empty() ? "" : ",", cell.str(), jobs_of(heard, queue),
                             (now - heard.whole_at) / std::chrono::milliseconds(1));
    }
    return parts;
}

} // namespace skylarkhub
