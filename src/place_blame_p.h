// Whose fault a failed attempt was: crosses workers with jobs. A worker at which jobs fail that finish elsewhere is
// kept out and probed; a job that fails on workers where others finish is parked.
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

class blame_book {
public:
    void learn(instant now, const task_id& task, const worker_id& worker, attempt_end end, const std::string& reason);

    // How many workers there are, so that quarantine can never take more than a share of them.
    void set_worker_count(std::size_t count) { worker_count_ = count; }

    worker_standing standing(const worker_id& worker, instant now) const;

    // A task that was started there as a probe, at `started`, has run long enough without failing.
    void probe_survived(instant started, const worker_id& worker);

    // Whether anything is known of the job's attempts.
    bool on_record(const job_id& job) const { return jobs_.contains(job); }

    // Why no task of the job can run: it failed where others finish and never finished itself. Empty while it may.
    std::optional<std::string> job_reason(const job_id& job, instant now) const;

    // Why this one task cannot run, although others of its job may.
    std::optional<std::string> task_reason(const task_id& task, std::int32_t attempt_limit) const;

    // A job that left the queue starts with a clean record when an operator puts it back.
    void forget_job(const job_id& job) { jobs_.erase(job); }

    // Not before this time: a task that failed waits longer each time it fails again.
    instant not_before(const task_id& task) const;

    // Forgets what is older than the windows of evidence.
    void sweep(instant now);

private:
    struct failure {
        job_id job;
        instant when{};
    };
    struct worker_record {
        std::deque<failure> failures;
        instant last_success{};
        bool succeeded = false;
        std::optional<instant> until; // of the quarantine
        duration term{0};             // of the next quarantine
        instant touched{};
    };
    struct tried {
        worker_id worker;
        std::int32_t failures = 0;
        std::int32_t finishes = 0;
    };
    struct task_record {
        std::int32_t failures = 0;         // since the task last finished
        std::int32_t failures_on_good = 0; // of these, where other jobs finish
        instant not_before{};
    };
    struct job_record {
        std::vector<tried> workers;
        absl::flat_hash_map<std::int32_t, task_record> tasks;
        std::string reason;
        instant touched{};
    };

    void learn_failure(instant now, const task_id& task, const worker_id& worker, const std::string& reason);
    void learn_success(instant now, const task_id& task, const worker_id& worker);
    void judge(instant now, const worker_id& worker);
    double suspicion(instant now, const worker_id& id, const worker_record& record) const;
    bool finishes_others(const worker_id& worker, instant now) const;
    bool quarantine_allowed() const;

    absl::flat_hash_map<worker_id, worker_record> workers_;
    absl::flat_hash_map<job_id, job_record> jobs_;
    std::size_t worker_count_ = 0;
};

} // namespace skylarkhub::detail
