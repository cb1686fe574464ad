// One cell's part of a job in its owner's memory. A task costs one byte until it is started or has a past.
#pragma once

#include <absl/container/btree_map.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "job_row_p.h"
#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

namespace detail {

// bound: one attempt may be running, and only that one.
enum class task_phase : std::uint8_t { queued, bound, finished, parked, cancelled };
inline constexpr int task_phases = 5;

// What outlasts one attempt of a task.
struct task_past {
    attempt_number attempt;  // highest ever used, so that the next one is higher
    attempt_number recorded; // highest whose end is in the job's row or in its next write
    std::int32_t attempts_failed = 0;
    std::string checkpoint; // newest durable one that was reported
    double checkpoint_progress = 0;
    std::vector<worker_id> failed_on;
    std::string last_reason;
    std::vector<wire::crash_row> crashes; // of workers that it is charged with, in the order of its attempts
    instant queued_since{};
};

// The attempt a bound task runs as.
struct task_run {
    attempt_number attempt;
    worker_id worker;
    instant bound_at{};
    instant running_since{};
    resources used;
    double progress = 0;
    double resumed_from = 0; // progress of the checkpoint it was started from
    bool reported = false;   // the worker's inventory has shown it
    instant started_at{};    // instant{}: by an owner before
    bool alone = false;      // on a worker that was kept for it
};

struct finish_record {
    attempt_number attempt;
    std::uint64_t revision = 0; // of the job when it finished
};

class job_record {
public:
    // A job as its row tells it; every task that has not ended is queued, at `now`.
    job_record(const wire::job_row& row, instant now);

    wire::job_row to_row() const;

    const job_id& id() const { return id_; }
    const job_spec& spec() const { return spec_; }
    bool cancelling() const { return cancelling_; }
    std::int64_t accepted_ms() const { return accepted_ms_; }
    std::int64_t ended_ms() const { return ended_ms_; }
    instant queued_since() const { return queued_since_; }

    bool has(std::int32_t index) const;
    task_phase phase(std::int32_t index) const;
    std::int32_t count(task_phase p) const { return counts_.at(static_cast<std::size_t>(p)); }
    bool ended() const;
    const std::string& last_reason() const { return last_reason_; }

    const absl::btree_map<std::int32_t, task_run>& runs() const { return runs_; }
    task_run* run(std::int32_t index);
    const task_past* past(std::int32_t index) const;

    // Calls `take(index)` for queued tasks in order until it returns false.
    template <class Take> void each_queued(Take&& take) const
    {
        for (std::size_t at = queued_from_; at < phases_.size(); ++at) {
            if (phases_[at] == task_phase::queued && !take(first_task_ + static_cast<std::int32_t>(at))) {
                return;
            }
        }
    }

    // The number of a new attempt: above every earlier one of this task and those of every earlier epoch.
    attempt_number next_attempt(std::int32_t index, epoch e) const;

    // --- changes; those that the row must tell raise revision() ---

    void bind(std::int32_t index, task_run run);
    // The attempt never ran: back to the queue, nothing to record.
    void unbind(std::int32_t index, instant now);
    void note_checkpoint(std::int32_t index, const std::string& key, double progress);
    void finish(std::int32_t index, attempt_number attempt);
    // Raises the count of failed attempts and queues the task again; returns the count.
    std::int32_t fail(std::int32_t index, const std::string& reason, instant now);
    // Evicted, lapsed or stopped: queued again, not counted as a failure. Cancelled when the job is being cancelled.
    void requeue(std::int32_t index, const std::string& reason, instant now);
    // A worker crashed under an attempt of it.
    void note_crash(std::int32_t index, wire::crash_row crash);
    // An attempt has shown that it crashes no worker.
    void forget_crashes(std::int32_t index);
    // Beyond doubt.
    bool crashes_workers(std::int32_t index) const;
    // Tasks that are started alone.
    std::vector<std::int32_t> suspected() const;
    void park_queued(const std::string& reason);
    void cancel(); // every task that is not bound; bound ones follow through requeue()
    void resume_parked(instant now);
    void end(std::int64_t wall_ms);
    void submitted() { changed(); } // it has no row yet

    // Raised by every change that the row must tell; the row is behind while written() is lower.
    std::uint64_t revision() const { return revision_; }
    std::uint64_t written() const { return written_; }
    void mark_written(std::uint64_t revision);
    bool dirty() const { return written_ < revision_; }
    // A newer checkpoint than the row's is known; worth a write only now and then.
    bool checkpoint_unwritten() const { return checkpoint_unwritten_; }
    void write_checkpoints();

private:
    std::size_t slot(std::int32_t index) const { return static_cast<std::size_t>(index - first_task_); }
    void move(std::int32_t index, task_phase to);
    void release(std::int32_t index, task_phase to, instant now);
    void changed() { ++revision_; }
    void load_task(const wire::task_row& row, instant now);
    wire::task_row describe_past(std::int32_t index, task_phase phase, const task_past& past) const;

    job_id id_;
    job_spec spec_;
    std::int32_t first_task_ = 0;
    std::int64_t accepted_ms_ = 0;
    std::int64_t ended_ms_ = 0;
    bool cancelling_ = false;
    bool checkpoint_unwritten_ = false;
    std::vector<task_phase> phases_;
    std::array<std::int32_t, task_phases> counts_{};
    std::size_t queued_from_ = 0; // no queued task stands before it
    absl::btree_map<std::int32_t, task_run> runs_;
    absl::btree_map<std::int32_t, task_past> past_;
    absl::btree_map<std::int32_t, finish_record> finished_by_; // until a write of the row has told them
    instant queued_since_{};
    std::string last_reason_;
    std::uint64_t revision_ = 0;
    std::uint64_t written_ = 0;
};

} // namespace detail
} // namespace skylarkhub
