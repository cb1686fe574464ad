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

// Which of two counts of a cell is the newer: by the owner that made it, then by the order in which that one made them.
struct count_stamp {
    epoch owner;
    std::int64_t number = 0;
    friend auto operator<=>(const count_stamp&,
                            const count_stamp&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};

// Jobs of one cell no task of which has started, by queue.
struct pending_count {
    count_stamp stamp;
    std::map<std::string, std::int32_t> jobs;
};
wire::flow_pending_row to_row(const pending_count& count);
// Empty when nobody has counted them.
std::optional<pending_count> from_row(const wire::flow_pending_row& row);

// The cells of which no count is known that is new enough to answer by.
struct counts_missing {
    std::vector<cell_id> cells;
};

// The newest count of each cell that an entry has heard of. A cell that it has not heard of is missing, which is not
// the same as none.
class pending_counts {
public:
    // `newest_at`: until then no later owner had counted, as far as whoever tells it knew.
    void hear(const cell_id& cell, const pending_count& count, instant newest_at);
    // The jobs of a queue in all `cells`, and in others heard of. `still_newest` says whether a count that was the
    // newest at some time is still taken for it.
    std::variant<std::int64_t, counts_missing> count(const queue_id& queue, std::vector<cell_id> cells,
                                                     const std::function<bool(instant)>& still_newest) const;
    // What each cell heard of adds for the queue, and how long ago that was the newest count: `CELL=JOBS/MILLISECONDS`.
    std::string parts(const queue_id& queue, instant now) const;

private:
    struct heard_count {
        pending_count count;
        instant newest_at{};
    };
    std::map<cell_id, heard_count> heard_;
};

} // namespace skylarkhub
