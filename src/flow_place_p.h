// Choice of the worker for a task: it needs enough free resources, then the cost for the tasks on it decides.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flow_job_p.h"
#include "flow_straggle_p.h"

namespace skylarkhub {

// A run in the ledger of a worker: from before its start is sent until its end is certain.
struct ledger_run {
    run_number run;
    resources need;
    bool filling = false;
    bool lasting = false;
    std::string image;
    // In the interference model: index of a serving image if the run has a tail target, else of a filling image.
    int image_index = 0;
    duration tail_target{0};
    run_progress progress;
    bool behind = false; // it fell behind, and the distrust of its worker already includes that
};

// A lasting task that wants a place on a worker, and what it needs there.
struct place_need {
    flow_task_id task;
    std::string service;
    flow_step step;
};

// What the owner of a cell answers to a request for a place.
// refused: no worker can take the task. reserved: a worker is kept free of short work for a moment, until it has room.
// promised: the room is held for the task for place_promise_timeout.
enum class place_outcome : std::uint8_t { refused, reserved, promised };

struct place_answer {
    place_outcome outcome = place_outcome::refused;
    skylarkhub::epoch epoch; // of the cell's owner
};

// A worker as an option for placement.
struct placement_candidate {
    worker_id worker;
    rack_id rack;
    resources room; // total capacity
    resources held; // reserved by tasks, those being stopped included; filling tasks reserve no processors
    std::int64_t filling_cpu = 0; // requested by filling tasks, not included in `held`
    std::int32_t serving = 0;     // lasting tasks with a tail target
    std::int32_t filling_task_count = 0;
    std::int64_t lasting_cpu = 0; // part of `held` that is reserved by lasting tasks
    double distrust = 0;          // 0: healthy; increases with runs that recently failed or stalled there
};

// Average share of their reserved processors that lasting tasks use; the rest is available to filling work. With 80%
// of the processors reserved by lasting tasks, filling work ran at full speed until it wanted as much again.
inline constexpr double lasting_use = 0.45;

// Thousandths of a processor that reserved and filling tasks leave unused.
std::int64_t available_for_filling(const placement_candidate& option);

// Whether a worker, or a worker of a pool, with these labels may run a task that requires `label`; empty: any worker.
bool has_label(const std::vector<std::string>& labels, const std::string& label);

// True if the task fits into the resources that no task has reserved; a filling task needs no free processors.
bool has_room(const placement_candidate& option, const flow_step& step);
bool has_room(const resources& held, const resources& room, const flow_step& step);

// Prediction of the interference model for the task on a worker.
struct expected_interference {
    double excess_pressure = 0; // pressure beyond the tolerance of the serving tasks
    double taken = 0;           // share of that tolerance that filling work uses up
};

// Cost of placing the task on the worker, as a share of the worker's processors; lower is better.
double placement_cost(const placement_candidate& option, const flow_step& step,
                      const expected_interference& interference);

} // namespace skylarkhub
