// Which worker takes a task: room first, then what the task would cost the others there.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flow_job_p.h"

namespace skylarkhub {

// One run as its worker's ledger holds it: from before its start is sent until its end is certain.
struct ledger_run {
    run_number run;
    resources need;
    bool filling = false;
    bool lasting = false;
    std::string image;
    duration tail_target{0};
};

// A worker as placement sees it.
struct place_option {
    worker_id worker;
    rack_id rack;
    resources room;
    resources held;               // of tasks that count against the room, those being stopped included
    std::int64_t filling_cpu = 0; // wanted by filling tasks, not counted against the room
    std::int32_t serving = 0;     // lasting tasks with a tail target
    std::int32_t fillers = 0;
    std::int64_t lasting_cpu = 0; // of `held`, committed to lasting tasks
    double tail = 0;              // expected there, as a share of the target, with the filling work it has
    bool strained = false;        // a serving task there is near or over its target
    double distrust = 0;   // 0 healthy; rises with runs that failed or stalled there lately
    double slowness = 1;   // time that runs take there against the estimate
};

// True when the task may run there at all: room that every committed task leaves.
bool has_room(const place_option& option, const flow_step& step);

// Lower is better; the unit is a share of the worker's processors. `pressure`: of the step's image, see pressure_model.
double place_cost(const place_option& option, const flow_step& step, double pressure);

} // namespace skylarkhub
