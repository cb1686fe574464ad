// The number of jobs that wait in each cell of a site, as counted by the cells' owners.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

// The jobs of one cell without a started task, by queue. Jobs accepted after `up_to` are not included; users of an old
// count must add them.
struct pending_count {
    std::map<std::string, std::int32_t> jobs;
    row_version up_to; // version of the table up to which accepted jobs are counted
};
wire::flow_pending_row to_row(const pending_count& count);
// Returns nothing if the row contains no count, or one without a known version.
std::optional<pending_count> from_row(const wire::flow_pending_row& row);

// A count, and the time up to which it includes all accepted jobs, on the clock of the entry that stores it.
struct timestamped_count {
    pending_count count;
    instant complete_at{};
    std::map<std::string, std::int32_t> newer{}; // jobs accepted after `count.up_to` that are already known, by queue
};

// The cells without a known count that is recent enough for an answer.
struct counts_missing {
    std::vector<cell_id> cells;
};

// The newest reported count of each cell. A cell without a reported count is missing, which differs from a count of
// zero.
class pending_counts {
public:
    // Stores a reported count unless a newer one is stored.
    void hear(const cell_id& cell, const timestamped_count& reported);
    // Returns null if no count of the cell was reported.
    const timestamped_count* find(const cell_id& cell) const;
    // Returns the jobs of a queue in all `cells` and in the other cells with a reported count, or the cells whose count
    // is missing or too old. `new_enough` decides by the time up to which a count is complete.
    std::variant<std::int64_t, counts_missing> count(const queue_id& queue, std::vector<cell_id> cells,
                                                     const std::function<bool(instant)>& new_enough) const;
    // Returns each reported cell's jobs of the queue and the age of its count, as `CELL=JOBS/MILLISECONDS`, separated
    // by commas.
    std::string parts(const queue_id& queue, instant now) const;

private:
    std::map<cell_id, timestamped_count> reported_;
};

} // namespace skylarkhub
