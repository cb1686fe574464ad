// What a worker knows and does, without its HTTP: fence, leases in its own monotonic clock, tasks, capacity. Pure: time
// is passed in, and what must be done outside comes out as actions.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkhub/skylarkhub.h"
#include "worker_state_load_p.h"

namespace skylarkhub::standin {

// Both clocks, read at once.
struct worker_now {
    worker_time clock{};
    wall_time wall{};
};

struct worker_settings {
    resources capacity;
    std::string boot; // another one for each life of the process
    double time_scale = 1;
    duration usage_lag{0};
    double size_error = 0; // see read_load
    std::uint64_t seed = 0;
};

// Faults that are switched on from outside.
struct worker_faults {
    bool fail_all = false; // whatever starts from now on fails
    double noise = 0;      // added to the slowdown of each service task
};

inline bool is_running(const task_report& report)
{
    return report.state == task_state::running;
}

struct open_target {
    task_id task;
    attempt_number attempt;
    job_spec spec;
    double service_ms = 0;
};
// Not abrupt: it takes no new requests, lets those in flight end, and is then reported by target_closed().
struct close_target {
    task_id task;
    attempt_number attempt;
    bool abrupt = false;
};
struct put_checkpoint {
    task_id task;
    attempt_number attempt;
    std::string key;
    double progress = 0;
};
struct get_checkpoint {
    task_id task;
    attempt_number attempt;
    std::string key;
};
using worker_action = std::variant<open_target, close_target, put_checkpoint, get_checkpoint>;

enum class history_kind : std::uint8_t { start, finish, fail, stop, lapse };
struct history_event {
    wall_time at{};
    history_kind kind = history_kind::start;
    task_id task;
    attempt_number attempt;
    bool told = false; // an answer that lists this end has left for an owner
};

class worker_state {
public:
    explicit worker_state(worker_settings settings);

    // One control exchange: carries out the commands when the fence admits them, and reports either way.
    worker_report control(worker_now now, const worker_request& request);

    // Lets time pass: leases lapse, tasks progress and end, usage is measured.
    void advance(worker_now now);

    // Results of actions. Of an attempt that is gone they change nothing.
    void target_opened(const task_id& task, attempt_number attempt, const net_address& address);
    void target_refused(worker_now now, const task_id& task, attempt_number attempt, const std::string& reason);
    void target_closed(worker_now now, const task_id& task, attempt_number attempt);
    void checkpoint_stored(const task_id& task, attempt_number attempt, double progress);
    void checkpoint_not_stored(const task_id& task, attempt_number attempt);
    void checkpoint_loaded(worker_now now, const task_id& task, attempt_number attempt, double progress);
    void checkpoint_missing(worker_now now, const task_id& task, attempt_number attempt);
    void checkpoint_unreadable(worker_now now, const task_id& task, attempt_number attempt); // asked for again

    // Share of a service task's slots in use, 0 to 1.
    void set_load(const task_id& task, attempt_number attempt, double load);
    void set_faults(const worker_faults& faults);

    // A planned stop: takes no new tasks, closes the service tasks gracefully, lets batch tasks run on.
    void leave();

    std::vector<worker_action> take_actions();

    // Service time over undisturbed service time, now and without lag; throttling included.
    double slowdown(const task_id& task) const;

    bool leaving() const { return leaving_; }
    bool idle() const;                            // nothing runs
    bool empty() const { return tasks_.empty(); } // nothing runs and every end is known to the owner
    // When advance() is due at the latest.
    worker_time next_wake(worker_time now) const;
    const std::deque<history_event>& history() const { return history_; }
    std::int64_t history_dropped() const { return history_dropped_; }

private:
    struct running_task {
        task_report report;
        job_spec spec;
        task_load load;
        bool persistent = false;
        std::string resume_from; // not empty while that checkpoint is not read yet; it makes no progress
        std::optional<worker_time> read_again;
        bool closing = false;    // its target lets requests in flight end
        bool storing = false;    // a checkpoint is on its way
        bool doomed = false;     // started on an instance that fails everything
        double target_share = 0; // of its slots in use
    };
    struct usage_sample {
        worker_time taken{};
        std::map<std::pair<task_id, attempt_number>, resources> used;
        std::vector<interference_report> interference;
    };

    bool admit(const worker_request& request);
    void apply(worker_now now, const worker_command& command, worker_report& report);
    void start(worker_now now, const task_start& command, worker_report& report);
    std::string why_not(worker_now now, const task_start& command) const;
    void checkpoint(running_task& task);
    void stop(worker_now now, running_task& task);
    void end(worker_now now, running_task& task, task_state state, std::string reason);
    void lapse(worker_now now);
    void progress(worker_now now, duration step);
    void read_checkpoints_again(worker_time now);
    void kill_largest(worker_now now);
    void sample(worker_time now);
    const usage_sample* visible_sample(worker_time now) const;
    void fill(worker_now now, worker_report& report) const;

    running_task* find(const task_id& task, attempt_number attempt);
    resources committed() const;
    static resources committed_of(const task_start& command);
    void resize(running_task& task, const resources& wanted);
    double processor_share() const; // what each task gets of what it wants
    double slowdown_of_task(const running_task& task, double share) const;
    static double wanted_share(const running_task& task); // of the processors of its true size
    static resources used_by(const running_task& task, double share);
    void record(wall_time at, history_kind kind, const running_task& task);
    void note_told();

    worker_settings settings_;
    worker_faults faults_;
    skylarkhub::epoch epoch_;
    sequence_number sequence_;
    bool leaving_ = false;
    worker_time advanced_{};
    std::map<task_id, running_task> tasks_;
    std::deque<usage_sample> samples_;
    std::vector<worker_action> actions_;
    std::deque<history_event> history_;
    std::int64_t history_dropped_ = 0;
    std::mt19937_64 random_;
};

} // namespace skylarkhub::standin
