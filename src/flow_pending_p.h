// How many jobs wait in the cells of a site, as the owners of the cells have counted them.
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

// Jobs of one cell no task of which has started, by queue. Those that were accepted since are not in it: whoever goes
// by an old count adds them.
struct pending_count {
    std::map<std::string, std::int32_t> jobs;
    row_version up_to; // of the table; all jobs accepted until then are counted
};
wire::flow_pending_row to_row(const pending_count& count);
// Empty when nobody has counted them, or not up to a known version.
std::optional<pending_count> from_row(const wire::flow_pending_row& row);

// A count and the time until when it has all jobs that were accepted, on the clock of who keeps it.
struct timestamped_count {
    pending_count count;
    instant whole_at{};
    std::map<std::string, std::int32_t> newer{}; // jobs that were accepted after `count.up_to` and are known already
};

// The cells of which no count is known that is new enough to answer by.
struct counts_missing {
    std::vector<cell_id> cells;
};

// The newest count of each cell that an entry has heard of. A cell that it has not heard of is missing, which is not
// the same as none.
class pending_counts {
public:
    void hear(const cell_id& cell, const timestamped_count& heard);
    // Null when none was heard of.
    const timestamped_count* find(const cell_id& cell) const;
    // The jobs of a queue in all `cells`, and in others heard of. `new_enough` judges the time until when a count is
    // whole.
    std::variant<std::int64_t, counts_missing> count(const queue_id& queue, std::vector<cell_id> cells,
                                                     const std::function<bool(instant)>& new_enough) const;
    // What each cell heard of adds for the queue, and how old its count is: `CELL=JOBS/MILLISECONDS`.
    std::string parts(const queue_id& queue, instant now) const;

private:
    std::map<cell_id, timestamped_count> heard_;
};

} // namespace skylarkhub
