// Promises of the product, checked while a soak runs: from what callers are told and what workers see, nothing else.
#pragma once

#include <absl/synchronization/mutex.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flow_worker_p.h"

namespace skylarkhub::tests {

struct soak_step {
    int count = 1;
    resources need;
};

// Steps follow one another; what its tasks do is said by the payload, see flow_worker.
struct soak_job {
    std::string id;
    std::string payload;
    std::vector<soak_step> steps;
    bool lasts = false;
    bool fails = false; // it can never be done
};

enum class hand_in : std::uint8_t { open, accepted, refused, in_doubt };

inline constexpr int soak_attempts_most = 3; // of a task that fails
inline constexpr resources soak_worker_room{4000, 16000, 0};

struct soak_counts {
    int accepted = 0;
    int refused = 0;
    int in_doubt = 0;
    int cancelled = 0;
    int finished = 0; // shown as done or failed
    std::int64_t starts = 0;
};

class soak_checks {
public:
    explicit soak_checks(instant begun) : begun_(begun) {}

    // --- what callers do and are told ---
    void note_job(const soak_job& job); // before it is first sent
    void note_hand_in(const std::string& job, hand_in outcome);
    void note_cancel_sent(const std::string& job);
    void note_cancelled(const std::string& job);
    // What a GET says, by its status and its state.
    void note_state(const std::string& job, int status, const std::string& state);

    // --- what workers see ---
    void note_sight(instant now, const standin::worker_sight& sight);

    // --- faults that are brought about; promises with a time count only in calm ---
    void note_impaired(instant now);
    // Promises with a time, looked at again and again.
    void look(instant now);

    void report(const std::string& broken);
    std::vector<std::string> broken() const;
    soak_counts counts() const;
    // Jobs that were accepted and must come to an end, or must run for good.
    std::vector<std::string> owed() const;
    std::vector<std::string> tasks_not_running() const; // of jobs that last

private:
    struct done_end {
        std::string worker;
        std::int64_t number = 0;
        instant at;
        std::string how;
        bool confirmed = false;
        bool forgotten = false; // need not be known to anybody
    };
    struct task_record {
        std::map<std::string, std::int64_t> running; // number of the run, by worker
        instant last_begun{};
        instant last_over{};
        bool done = false;
        int failed = 0;
        bool told_idle = false;
        std::vector<done_end> ends; // done and failed ones
    };
    struct job_record {
        soak_job job;
        hand_in outcome = hand_in::open;
        instant decided{};
        bool cancel_sent = false;
        std::optional<instant> cancelled;
        std::string shown;
        bool told_unknown = false;
        std::map<std::string, task_record> tasks;
    };
    struct life {
        instant begun;
        std::map<std::string, resources> holds; // by task
    };

    void see(instant now, const standin::life_began& sight);
    void see(instant now, const standin::run_began& sight);
    void see(instant now, const standin::run_over& sight);
    void see(instant now, const standin::ends_confirmed& sight);
    void see(instant now, const standin::lease_over& sight);
    void see(instant now, const standin::worker_over& sight);
    void check_start(instant now, const standin::run_began& sight, job_record& job, task_record& task);
    void check_ends(instant now, const std::string& name, const task_record& task, const done_end& end);
    void forget_unconfirmed(const std::string& worker);
    void break_promise(instant now, const std::string& text);
    job_record* job_of(const std::string& task);
    bool has_room_twice(instant now, const resources& need) const;
    bool every_task_done(const job_record& job) const;
    void look_at_lasting(instant now, job_record& job);
    void look_at_cancelled(instant now, job_record& job);

    instant begun_;
    mutable absl::Mutex mutex_;
    std::map<std::string, job_record> jobs_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, life> lives_ ABSL_GUARDED_BY(mutex_);
    instant impaired_at_ ABSL_GUARDED_BY(mutex_) = begun_;
    std::int64_t starts_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<std::string> broken_ ABSL_GUARDED_BY(mutex_);
};

} // namespace skylarkhub::tests
