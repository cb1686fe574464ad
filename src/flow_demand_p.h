// Average demand for processors of batch work: all tasks that end by themselves, filling tasks included, as opposed to
// lasting tasks, which run until their job is cancelled.
#pragma once

#include "flow_job_p.h"

namespace skylarkhub {

// Measures the demand of batch jobs, so that lasting jobs leave as many processors free. Lasting jobs may fill empty
// workers and stay for minutes, and batch jobs follow at a rate that is not known in advance. With a fixed share of the
// processors left free, some filling jobs would never finish where batch jobs need more than that share.
class batch_demand {
public:
    // Adds a job that was accepted `age` ago. `cpu_seconds`: processor time of all its tasks, in thousandths of a
    // processor times seconds.
    void note(instant now, duration age, double cpu_seconds);
    // Average demand over about the last demand_window, in thousandths of a processor. `room`: capacity of the workers,
    // in the same unit. The demand before `begun`, the start of the measurement, is assumed to be default_demand_share
    // of `room`; this assumption loses weight over time.
    std::int64_t cpu_millis(instant now, instant begun, std::int64_t room) const;

private:
    instant noted_{};  // time of the last job
    double level_ = 0; // demand at noted_, in thousandths of a processor
};

// Processor time of all tasks in one occurrence of the job except lasting ones, in the unit of batch_demand::note.
double batch_cpu_seconds(const flow_job& job);

// Share of a service's processors that lasting jobs have to leave free for batch work with this demand.
double batch_reserve(std::int64_t demand_cpu_millis, std::int64_t total_cpu_millis);

} // namespace skylarkhub
