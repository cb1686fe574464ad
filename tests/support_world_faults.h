// The faults that runs are struck with, work to run, and the judgement of a run; shared by the fault matrix and the
// random runs.
#pragma once

#include <span>
#include <string_view>

#include "support_world.h"

namespace skylarkhub::test {

// Where a step is in being taken when a fault strikes it.
struct moment {
    int entry = 0;
    int worker = 0;
};
struct fault {
    std::string_view name;
    bool after_step = false; // else the step itself is struck
    void (*strike)(world& w, const moment& m);
};
std::span<const fault> faults();

job_spec batch(const char* kind, int tasks, duration run_time, resources declared = {2000, 2048, 0});
job_spec service();

// Four workers that trust their owner, so that the owner's own ledger is what is tested.
world_options matrix_options(std::uint64_t seed);

inline constexpr duration run_limit = std::chrono::seconds(300);

struct run_result {
    violations found;
    bool quiet = false; // all accepted work ended within run_limit
    std::string text;
};
run_result judge(world& w);

} // namespace skylarkhub::test
