// A worker in virtual time: fence, leases in its own drifting clock, tasks that take their run time, checkpoints, and
// an inventory kept until it is told to forget. It writes down the true start and end of every attempt.
#pragma once

#include <map>

#include "history_p.h"

namespace skylarkhub::test {

struct fake_worker_options {
    resources capacity{8000, 16384, 0};
    duration clock_offset{0};
    double clock_rate = 1;
    // Safeguards, which tests take away one by one to see the checker object.
    bool fences = true;
    bool ends_lapsed = true;
    bool refuses_overcommit = true;
};

class fake_worker {
public:
    fake_worker(worker_id id, fake_worker_options options, history* record);

    worker_report handle(wall_time at, const worker_request& request);
    void advance(wall_time at); // brings ends that are due by `at` into force
    void restart(wall_time at); // loses every task, comes back with another boot
    void set_leaving(bool leaving) { leaving_ = leaving; }
    bool leaving() const { return leaving_; }
    void set_clock(wall_time at, double rate); // from `at` on
    std::int64_t overcommits_refused() const { return overcommits_refused_; }

    const worker_id& id() const { return id_; }
    resources capacity() const { return options_.capacity; }

private:
    struct running_task {
        task_report report;
        job_spec spec;
        bool persistent = false;
        double from = 0; // progress at its start
        wall_time began;
        wall_time ends = wall_time::max(); // when its work is done
    };
    using task_key = std::pair<task_id, attempt_number>;

    std::string boot() const;
    worker_time clock(wall_time at) const;
    wall_time true_time(worker_time at) const;
    double progress(const running_task& task, wall_time at) const;
    void end(running_task& task, wall_time at, task_state how);
    void save(running_task& task, wall_time at);
    void start(wall_time at, const task_start& command, worker_report& report);
    void obey(wall_time at, const worker_command& command, worker_report& report);
    resources committed() const;
    void resize(wall_time at, running_task& task, const resources& wanted);

    worker_id id_;
    fake_worker_options options_;
    history* record_;
    std::map<task_key, running_task> tasks_;
    skylarkhub::epoch epoch_;
    sequence_number sequence_;
    wall_time clock_set_{};
    worker_time clock_then_{};
    int boots_ = 1;
    bool leaving_ = false;
    std::int64_t overcommits_refused_ = 0;
};

// Work that a worker is to fail, or never to end: the payload says so.
inline constexpr const char* failing_payload = "fail";

} // namespace skylarkhub::test
