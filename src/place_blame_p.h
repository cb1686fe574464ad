// Whose fault a failed attempt was: crosses workers with jobs. A worker at which many jobs fail that do well elsewhere
// is kept out and probed; a job that fails on workers where others do well is parked.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "config.h"
#include "place_p.h"

namespace skylarkhub::detail {

// good: takes work. suspect: one new task at a time. quarantined: takes none. probing: takes one task, whose end
// decides.
enum class worker_standing : std::uint8_t { good, suspect, quarantined, probing };

// A failure is *answered* once an attempt that was started later on the same worker finished, or lived much longer than
// the failed one did: the worker was able to run work at that time, so the job is the likelier cause. What was started
// before proves nothing: a worker that has gone bad still finishes its older tasks.
class blame_book {
public:
    void started(instant now, const task_id& task) { started_[task] = now; }
    void learn(instant now, const task_id& task, const worker_id& worker, attempt_end end, const std::string& reason);

    // An attempt that was started at `start` is still running there.
    void survived(instant now, const worker_id& worker, instant start);

    // Whether survivors on this worker would tell anything.
    bool questioned(const worker_id& worker) const;

    // How many workers there are, so that quarantine can never take more than a share of them.
    void set_worker_count(std::size_t count) { worker_count_ = count; }

    worker_standing standing(const worker_id& worker, instant now) const;

    // Whether anything is known of the job's attempts.
    bool on_record(const job_id& job) const { return jobs_.contains(job); }

    // Why no task of the job can run: it failed where others do well and never finished itself. Empty while it may.
    std::optional<std::string> job_reason(const job_id& job) const;

    // Why this one task cannot run, although others of its job may.
    std::optional<std::string> task_reason(const task_id& task, std::int32_t attempt_limit) const;

    // A job that left the queue starts with a clean record when an operator puts it back.
    void forget_job(const job_id& job) { jobs_.erase(job); }

    // Not before this time: a task that failed waits longer each time it fails again.
    instant not_before(const task_id& task) const;

    // Forgets what is older than the windows of evidence.
    void sweep(instant now);

private:
    struct worker_failure {
        job_id job;
        instant start{};
        instant when{};
    };
    struct worker_record {
        std::deque<worker_failure> open; // failures that nothing has answered
        std::optional<instant> until;    // of the quarantine
        duration term{0};                // of the last quarantine
        instant touched{};
    };
    struct job_failure {
        std::int32_t index = 0;
        worker_id worker;
        instant start{};
        bool answered = false;
    };
    struct retry {
        std::int32_t failures = 0; // since the task last finished
        instant not_before{};
    };
    struct job_record {
        std::deque<job_failure> failures;
        std::vector<worker_id> finished_on;
        absl::flat_hash_map<std::int32_t, retry> retries;
        std::string reason;
        instant touched{};
    };

    void learn_failure(instant now, const task_id& task, const worker_id& worker, const std::string& reason);
    void learn_success(instant now, const task_id& task, const worker_id& worker);
    void answer(instant now, const worker_id& worker, instant start, bool finished);
    void judge(instant now, const worker_id& worker);
    void shut_out(instant now, const worker_id& worker, worker_record& record);
    double suspicion(instant now, const worker_id& id, const worker_record& record) const;
    bool quarantine_allowed(const worker_id& worker) const;

    absl::flat_hash_map<worker_id, worker_record> workers_;
    absl::flat_hash_map<job_id, job_record> jobs_;
    absl::flat_hash_map<task_id, instant> started_;
    std::size_t worker_count_ = 0;
};

} // namespace skylarkhub::detail
