// The table's form of jobs, and back.
#pragma once

#include <vector>

#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

wire::job_spec_row to_row(const job_spec& spec);

// An urgency that this version does not know is taken as the nearest that it does.
job_spec from_row(const wire::job_spec_row& row);

// Every task that the row tells of, those in its spans included, in the order of their indexes.
std::vector<wire::task_row> expand_tasks(const wire::job_row& row);

} // namespace skylarkhub
