// Standing work: each due time gets at most one run, a run never starts while the one before it is open, and due times
// that passed unserved are counted. Pure.
#pragma once

#include <optional>
#include <vector>

#include "job_accept_p.h"
#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// What one look at a standing row leads to.
struct standing_step {
    std::vector<wall_time> due; // to be run now, oldest first
    std::int64_t missed = 0;    // passed due times that are given up
    wall_time next_due{};
};

// Due times up to `now`: the newest `catch_up` are run, older ones are missed. Empty when none is due.
std::optional<standing_step> plan_standing(const wire::standing_row& row, wall_time now);

// The transaction that runs the newest due time of the step: it moves the standing row on and accepts the job at once,
// so a due time is either run by this one job or not at all. With catch_up above 1 the rest follow at the next looks.
// `version` is the row's version as read.
table_transaction run_due(const wire::standing_row& row, row_version version, const standing_step& step,
                          const std::vector<cell_part>& parts, wall_time now);

// The spec of the job of one due time.
job_spec spec_of_due(const wire::standing_row& row, wall_time due);

} // namespace skylarkhub
