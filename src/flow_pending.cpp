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

std::int32_t jobs_of(const timestamped_count& reported, const queue_id& queue)
{
    return jobs_of(reported.count.jobs, queue) + jobs_of(reported.newer, queue);
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

void pending_counts::hear(const cell_id& cell, const timestamped_count& reported)
{
    const auto [at, added] = reported_.try_emplace(cell, reported);
    if (!added && reported.complete_at >= at->second.complete_at) {
        at->second = reported;
    }
}

const timestamped_count* pending_counts::find(const cell_id& cell) const
{
    const auto at = reported_.find(cell);
    return at == reported_.end() ? nullptr : &at->second;
}

std::variant<std::int64_t, counts_missing> pending_counts::count(const queue_id& queue, std::vector<cell_id> cells,
                                                                 const std::function<bool(instant)>& new_enough) const
{
    counts_missing missing;
    std::int64_t sum = 0;
    for (const auto& [cell, reported] : reported_) {
        cells.erase(std::remove(cells.begin(), cells.end(), cell), cells.end());
        if (!new_enough(reported.complete_at)) {
            missing.cells.push_back(cell);
        }
        sum += jobs_of(reported, queue);
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
    for (const auto& [cell, reported] : reported_) {
        parts += fmt::format("{}{}={}/{}", parts.empty() ? "" : ",", cell.str(), jobs_of(reported, queue),
                             (now - reported.complete_at) / std::chrono::milliseconds(1));
    }
    return parts;
}

} // namespace skylarkhub
