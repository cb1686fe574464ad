// The order in which ready jobs are placed when there is not enough room for all.
#pragma once

#include "flow_job_p.h"

namespace skylarkhub {

// A job with a lower value is placed first.
struct flow_urgency {
    std::int32_t priority = 0; // priority of the job's queue; 0 is placed first
    bool late = false;         // the latency objective can't be met any more
    std::int64_t due_ms = 0;   // due time in milliseconds since 1970

    friend auto operator<=>(const flow_urgency&,
                            const flow_urgency&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};

// Returns the estimated duration of the longest chain of unfinished steps.
duration remaining_critical_path(const flow_job& job);

// Computes the placement order of a job. `queue` is null if the configuration no longer has the job's queue.
//
// Load pattern: jobs of filling work, which uses the processor time that serving tasks leave unused, arrive for ten or
// twenty seconds faster than that time allows. Placed in order of arrival, all of them would be slightly late, and a
// late job is worth only a seventh. So the earliest due time is placed first, and jobs that can't meet their due time
// follow those that can. Work with processors of its own is placed in order of acceptance, since it rarely waits.
flow_urgency compute_urgency(const flow_job& job, const flow_queue* queue, wall_time wall);

} // namespace skylarkhub
