// Who waits, when more is ready than there is room for.
#pragma once

#include "flow_job_p.h"

namespace skylarkhub {

// Lower goes first.
struct flow_urgency {
    std::int32_t priority = 0; // of the queue, 0 first
    bool late = false;         // its objective cannot be met any more
    std::int64_t due_ms = 0;   // since 1970

    friend auto operator<=>(const flow_urgency&,
                            const flow_urgency&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};

// The estimated time of the longest chain of steps that are not done.
duration remaining_critical_path(const flow_job& job);

// The pattern: jobs of filling work come faster for ten or twenty seconds than the processors that serving tasks leave
// unused can do them. Served in turn, all of them are a little late; an archive that is late is worth a seventh. So the
// one that is due first goes first, and one that cannot be in time any more goes after those that can. Work that takes
// processors of its own goes in the order of acceptance: it hardly ever waits.
// `queue`: null when the configuration does not have it any more.
flow_urgency compute_urgency(const flow_job& job, const flow_queue* queue, wall_time wall);

} // namespace skylarkhub
