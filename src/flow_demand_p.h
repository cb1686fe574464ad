// How many processors the work that ends needs on average: jobs of brief and of filling tasks, as they come in.
#pragma once

#include "flow_job_p.h"

namespace skylarkhub {

// Lasting jobs come first, find the workers empty, and stay for minutes; the jobs that end come after them, at a rate
// that nobody has told. With a fixed share of the processors left to them, some filling jobs are never done where they
// ask for more. So what they ask for is measured, and lasting jobs leave as much.
class batch_demand {
public:
    // A job accepted `age` ago, all of whose tasks together need `cpu_seconds` (thousandths of a processor x seconds).
    void note(instant now, duration age, double cpu_seconds);
    // In thousandths of a processor, over the last demand_window or so. `room`: of the workers that serve it, the same.
    // At first it is taken for default_demand_share of that; the longer it is watched, since `begun`, the less that
    // counts.
    std::int64_t cpu_millis(instant now, instant begun, std::int64_t room) const;

private:
    instant noted_{};
    double level_ = 0; // at noted_
};

// What all tasks of one occurrence of the job need together, lasting ones left out; as batch_demand::note takes it.
double batch_cpu_seconds(const flow_job& job);

// The share of a service's processors that lasting jobs leave to work that ends, by what that work needs.
double batch_reserve(std::int64_t demand_cpu_millis, std::int64_t total_cpu_millis);

} // namespace skylarkhub
