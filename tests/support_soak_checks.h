// Promises of the product, checked while a soak runs: from what callers are told and what workers see, nothing else.
#pragma once

#include <absl/synchronization/mutex.h>

#include <map>
#include <optional>
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
    std::map<hand_in, int> jobs;
    int cancelled = 0;
    int finished = 0; // shown as done or failed
    int starts = 0;
};

class soak_checks {
public:
    explicit soak_checks(instant begun) : begun_(begun) {}

    // --- what callers do and are told ---
    void note_job(const soak_job& job); // before it is first sent
    void note_hand_in(const std::string& id, hand_in outcome);
    void note_cancel_sent(const std::string& id);
    void note_cancelled(const std::string& id);
    // What a GET says, by its status and its state.
    void note_state(const std::string& id, int status, const std::string& state);

    // What workers see.
    void note_sight(instant now, const standin::worker_sight& sight);

    // The operator evacuates a data centre with these places of workers, or takes that back.
    void note_evacuation(instant now, const std::vector<int>& places, bool evacuated);
    // Something is harmed: promises with a time count again only after a while.
    void note_impaired(instant now);
    // Looks at the promises with a time.
    void look(instant now);
    void report(const std::string& broken);

    // Broken promises, in words; empty when none.
    std::vector<std::string> broken() const;
    soak_counts counts() const;
    // Jobs that were accepted and must come to an end yet.
    std::vector<std::string> owed() const;
    // Tasks that are to last and do not run, or run and must not, in words.
    std::vector<std::string> unsettled() const;

private:
    struct noted_end {
        standin::worker_life worker;
        std::int64_t number = 0;
        instant at;
        bool done = false; // or failed
        bool confirmed = false;
        bool forgotten = false; // need not be known to anybody
    };
    struct task_record {
        std::map<standin::worker_life, std::int64_t> running; // number of the run
        instant last_begun{};
        instant last_over{};
        bool done = false;
        int failed = 0;
        bool told = false; // a broken promise with a time, until its next start
        std::vector<noted_end> ends;
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
    void see(instant now, const standin::life_over& sight);
    void see(instant now, const standin::lease_over& sight);
    void see(instant now, const standin::run_began& sight);
    void see(instant now, const standin::run_over& sight);
    void see(instant now, const standin::ends_confirmed& sight);
    void check_start(instant now, const standin::run_began& sight, const job_record& job, const task_record& task);
    void check_order(instant now, const std::string& what, const std::string& task, const job_record& job);
    void forget_unconfirmed(const standin::worker_life& worker);
    void break_promise(instant now, const std::string& text);
    task_record* find_task(const std::string& task);
    bool has_room_twice(instant now, const resources& need) const;
    void look_at_lasting(instant now, job_record& job);
    void look_at_cancelled(instant now, job_record& job);

    instant begun_;
    mutable absl::Mutex mutex_;
    std::map<std::string, job_record> jobs_ ABSL_GUARDED_BY(mutex_);
    std::map<standin::worker_life, life> lives_ ABSL_GUARDED_BY(mutex_);
    instant impaired_at_ ABSL_GUARDED_BY(mutex_) = begun_;
    std::map<int, instant> evacuated_ ABSL_GUARDED_BY(mutex_); // by place of a worker, since when
    int starts_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<std::string> broken_ ABSL_GUARDED_BY(mutex_);
};

} // namespace skylarkhub::tests
