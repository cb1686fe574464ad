// What a job's row tells of its tasks.
#pragma once

#include <vector>

#include "peer_types.h"

namespace skylarkhub {

// Every task that the row tells of, those in its spans included, in the order of their indexes.
std::vector<wire::task_row> expand_tasks(const wire::job_row& row);

} // namespace skylarkhub
