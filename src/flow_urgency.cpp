#include "flow_urgency_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

std::int64_t ms_of(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// Returns the largest sum of step estimates along a chain of dependent steps. `unfinished_only`: completed steps count
// as zero.
duration longest_chain(const flow_job& job, bool unfinished_only)
{
    const std::vector<flow_step>& steps = job.spec().steps;
    std::vector<duration> ends(steps.size(), duration(0));
    duration longest{0};
    for (std::size_t s = 0; s < steps.size() && s < job.stages().size(); ++s) {
        for (const std::int32_t earlier : steps[s].after) {
            ends[s] = std::max(ends[s], ends[static_cast<std::size_t>(earlier)]);
        }
        const flow_stage& stage = job.stages()[s];
        ends[s] += unfinished_only && stage.is_done() ? duration(0) : steps[s].estimate;
        longest = std::max(longest, ends[s]);
    }
    return longest;
}

} // namespace

duration remaining_critical_path(const flow_job& job)
{
    return longest_chain(job, true);
}

flow_urgency compute_urgency(const flow_job& job, const flow_queue* queue, wall_time wall)
{
    flow_urgency urgency;
    urgency.priority = queue != nullptr ? queue->priority : job.row().priority;
    urgency.due_ms = job.row().accepted_ms;
    const auto& steps = job.spec().steps;
    const bool fills = std::any_of(steps.begin(), steps.end(), [](const flow_step& step) { return step.filling; });
    if (!fills || queue == nullptr || job.timed()) {
        return urgency;
    }
    const auto allowed = static_cast<double>(ms_of(longest_chain(job, false))) * queue->slack_factor;
    urgency.due_ms += static_cast<std::int64_t>(allowed) + ms_of(queue->latency_target);
    const std::int64_t now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
    urgency.late = now_ms + ms_of(remaining_critical_path(job)) > urgency.due_ms;
    return urgency;
}

} // namespace skylarkhub
