// Which worker takes a task: room first, then what the task would cost the others there.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flow_job_p.h"
#include "flow_straggle_p.h"

namespace skylarkhub {

// One run as its worker's ledger holds it: from before its start is sent until its end is certain.
struct ledger_run {
    run_number run;
    resources need;
    bool filling = false;
    bool lasting = false;
    std::string image;
    int image_index = 0; // in the interference model: among serving images if it has a tail target, else filling ones
    duration tail_target{0};
    run_progress progress;
    bool behind = false; // its worker is distrusted for it already
};

// A worker as placement sees it.
struct placement_candidate {
    worker_id worker;
    rack_id rack;
    resources room;
    resources held;               // of tasks that count against the room, those being stopped included
    std::int64_t filling_cpu = 0; // wanted by filling tasks, not counted against the room
    std::int32_t serving = 0;     // lasting tasks with a tail target
    std::int32_t filling_task_count = 0;
    std::int64_t lasting_cpu = 0; // of `held`, committed to lasting tasks
    double distrust = 0;          // 0 healthy; rises with runs that failed or stalled there lately
};

// Of what lasting tasks have committed, the share they use on the whole; the rest is left to filling work. Measured on
// a calm day: filling work beside 80% committed to lasting tasks went on at full speed up to as much again.
inline constexpr double lasting_use = 0.45;

// Processors that filling work can still have: what committed tasks and other filling work leave unused.
std::int64_t available_for_filling(const placement_candidate& option);

// Whether a worker, or some worker of a pool, with these labels may take what asks for `label`; empty: any may.
bool has_label(const std::vector<std::string>& labels, const std::string& label);

// True when the task may run there at all: room that every committed task leaves.
bool has_room(const placement_candidate& option, const flow_step& step);

// What the interference model expects if the task goes there.
struct expected_interference {
    double excess_pressure = 0; // pressure beyond what serving tasks bear
    double taken = 0;           // of what serving tasks bear, the part that filling work takes up
};

// Lower is better; the unit is a share of the worker's processors.
double placement_cost(const placement_candidate& option, const flow_step& step,
                      const expected_interference& interference);

} // namespace skylarkhub
