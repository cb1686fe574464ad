// How tasks really behave, whatever was declared: true sizes and run times, and how neighbours slow a service down.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::standin {

// The truth about one task, unknown to its owner until measured.
struct task_load {
    resources used;        // at full speed, and for a service with all slots taken
    duration run_time{0};  // at full speed, before the time scale; of batch tasks
    double fail_at = 2;    // progress at which it fails; above 1: never
    double service_ms = 5; // undisturbed time of one request
    double pressure = 1;   // how hard it presses on its neighbours, against others of its kind
};

// Takes the truth from the payload where that is a JSON object with the members `cpu_millis`, `memory_mib`,
// `run_time_ms`, `fail_at`, `service_ms` or `pressure`. Sizes and run time not named there are the declared ones, off
// by a factor between 1 / (1 + size_error) and 1 + size_error that is drawn from `seed` once per job.
task_load read_load(const task_id& task, const job_spec& spec, double size_error, std::uint64_t seed);

// One running task as the others on its instance feel it.
struct neighbour {
    kind_id kind;
    double cpu_share = 0; // of the instance's processors, used now
    double pressure = 1;
};

// Service time over undisturbed service time. `load` is the share of the service task's slots in use, `noise` what
// comes from outside of the system. Which pair shares the instance decides most: each pair (service, kind) has its own
// coefficient, most of them small and a few large, the same on every instance.
double slowdown_of(const service_id& service, double load, const std::vector<neighbour>& neighbours, double noise);

// Four digits, rounded down: every report carries such numbers.
double round_share(double share);

} // namespace skylarkhub::standin
