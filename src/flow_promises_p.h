// Places on the workers of one cell that are promised to lasting tasks which are about to start there.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>

#include "flow_types_p.h"

namespace skylarkhub {

// Room on a worker that is held for a task that is about to come there, if need be once short work there has ended.
struct promised_place {
    worker_id worker;
    resources need;
    instant until{};
};

class flow_promises {
public:
    // Replaces an earlier promise to the task.
    void add(const flow_task_id& task, const promised_place& place);
    void remove(const flow_task_id& task);
    // Returns whether any promise had expired.
    bool remove_expired(instant now);
    void clear();

    // Returns null if nothing is promised to the task.
    const promised_place* find(const flow_task_id& task) const;
    bool has_any_of_stage(const flow_task_id& task) const;
    // The number of other tasks of the task's stage that were promised a place on the worker.
    std::int32_t count_others_of_stage(const flow_task_id& task, const worker_id& worker) const;
    // The room on the worker that is held for tasks, but for `except`, if that is not null.
    resources room_on(const worker_id& worker, const flow_task_id* except = nullptr) const;

private:
    std::map<flow_task_id, promised_place> places_;
    absl::flat_hash_map<worker_id, resources> rooms_; // sums of the places, since each placement reads them
};

} // namespace skylarkhub
