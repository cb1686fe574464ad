// In-memory state of one job in the process that owns a cell: which steps are open, the state of each task, and the row
// to be written to the table.
#pragma once

#include <algorithm>
#include <boost/container/stable_vector.hpp>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base_shares_p.h"
#include "flow_limits_p.h"
#include "flow_occurrences_p.h"
#include "flow_row_p.h"

namespace skylarkhub {

// blocked: an earlier step is not done, or the occurrence is not due yet. in_other_cell: another cell is responsible.
enum class flow_task_state : std::uint8_t { blocked, ready, placed, in_other_cell, done };

// A run that may be active: exists from before its start is sent to the worker until its end is known.
struct live_run {
    worker_id worker;
    run_number run;
    instant sent{};
    bool confirmed = false;       // the worker has reported the run
    bool stopping = false;        // a stop was sent
    worker_time lease_until{};    // lease in its start order
    std::uint64_t noted = 0;      // the start is sent once this change of the job is written; 0: sent
    instant started{};            // time of the first send of its start; instant{}: not sent yet, or by a former owner
    bool alone = false;           // it has a worker of its own, since its task may crash workers
    bool copy_unanswered = false; // a copy of its start may be executed late
    bool looked = false;          // its start was not sent at the last attempt, and the worker was asked first
    worker_birth born;            // the worker's life that its start was sent to, or that listed it
};

struct flow_task {
    flow_task_state stage = flow_task_state::blocked;
    run_number last_run; // highest number used so far
    // Run numbers instead of a count, since one end may be reported several times, to several owners and out of order.
    // Bounded by the number of attempts of the task.
    std::set<run_number> failed_runs;
    std::map<run_number, wire::crash_row> crashes; // crashes of workers while they ran the task, by run
    run_number outlived;           // crashes of runs up to this one no longer count, since a later run proved harmless
    bool may_have_crashed = false; // a worker that the previous owner started it on may have crashed unnoticed
    std::vector<wire::crash_row> crash_rows() const;
    bool may_crash_workers() const; // so it is started on a worker without other tasks
    bool crashes_workers() const;   // certain, so its job is given up
    std::string checkpoint;
    instant ready_since{};      // since when it waits for a worker
    std::vector<live_run> runs; // more than one only in speculative steps
    worker_id avoided_worker;   // last worker on which it failed or fell behind; used only if there is no other
    std::int32_t restarts = 0;  // restarts by this owner after the task fell behind
    wire::flow_home_row home;   // the cell that is responsible for it; no cell: the cell of the job
    std::optional<std::pair<cell_id, epoch>> moves_to; // cell that it is handed to when its run has ended
    instant moves_until{};                             // when the place there is no longer held
    wire::flow_start_row start;                        // newest start recorded in the row; run 0: none
    std::uint64_t received = 0;                        // change of the job that records its arrival from another cell
};

// The tasks of one step in one occurrence.
struct flow_stage {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::vector<flow_task> tasks;
    std::int32_t done = 0;   // tasks that are done
    std::int32_t ready = 0;  // tasks that wait for a worker
    bool open = false;       // its tasks may start
    std::uint64_t ended = 0; // change of the job that recorded the newest of its ends
    bool is_done() const { return done == static_cast<std::int32_t>(tasks.size()); }
};

// The stages that are held of a job, by occurrence and step. References to them stay valid while others are added or
// removed.
using flow_stages = boost::container::stable_vector<flow_stage>;

// Whether each start of a task is written to the job's row before it is sent, so that the next owner of the cell knows
// where each task may run. Short tasks skip this, since each of them would have to wait for the table.
bool persists_starts(const flow_step& step);

// Whether tasks of the stage belong to another cell, as with a gang that runs across several cells.
bool spans_cells(const flow_stage& stage);

// Memory that the owner of its cell takes for such a job before any of its tasks runs; an estimate.
std::int64_t estimate_job_bytes(const flow_spec& spec);

// What the record of a start tells beside its run; nothing of a run that was found on a worker.
struct start_circumstances {
    std::optional<wall_time> at;
    bool alone = false; // its worker takes no other starts meanwhile
};

// Whether recording a crash causes a write of the row, or is included in the next write for another reason.
enum class crash_persistence : std::uint8_t { written, deferred };

// A job may have far more occurrences than fit into memory. Its home cell holds those with tasks that run, and of the
// others that are due a few at a time, the oldest first and as far as its memory goes. Another cell holds those that a
// row or a worker tells of. An occurrence that is finished is dropped from memory once that is written, and the row
// names it in a span.
class flow_job {
public:
    // Builds the job from a row that contains the specification. `here`: the cell of this owner; `version`: of the row
    // if it is the one that `here` writes, 0 if another writer wrote it; `bytes_most`: memory for its occurrences, if
    // there are several.
    flow_job(job_id id, cell_id here, const wire::flow_job_row& row, row_version version,
             std::int64_t bytes_most = divide_machine({}).recurring_job_bytes());

    const job_id& id() const { return id_; }
    const flow_spec& spec() const { return spec_; }
    const wire::flow_job_row& row() const { return row_; }
    const flow_step& step(const flow_stage& stage) const
    {
        return spec_.steps.at(static_cast<std::size_t>(stage.step));
    }
    flow_stages& stages() { return stages_; }
    const flow_stages& stages() const { return stages_; }

    flow_task_id task_id(const flow_stage& stage, std::size_t index) const
    {
        return {id_, stage.occurrence, stage.step, static_cast<std::int32_t>(index)};
    }
    // Null when the flow has no such task, or its occurrence is finished. An occurrence that is asked for is held from
    // then on, since a worker may report runs of one that is not due yet by the clock of this owner.
    flow_stage* find_stage(const flow_task_id& task);
    flow_task* find_task(const flow_task_id& task);

    bool cancelled() const { return row_.cancelled; }
    bool ended() const { return row_.outcome != 0; }
    // A worker is known to have accepted a task. Callers may see the job as started earlier: for steps whose starts are
    // recorded before they are sent, as soon as the record is written.
    bool begun() const { return row_.begun; }
    // The job has scheduled occurrences.
    bool timed() const { return spec_.occurrences > 0; }
    // `here` is the cell that the job is assigned to and that decides its outcome.
    bool is_home_cell() const { return row_.cell == here_.str(); }
    // Version of the row that `here` writes, 0 while there is none.
    row_version version() const { return version_; }
    void note_version(row_version version) { version_ = std::max(version_, version); }
    // Version of the row that recorded the acceptance of the job, 0 if it was not read.
    row_version accepted_at() const { return accepted_at_; }
    void note_accepted(row_version version) { accepted_at_ = std::max(accepted_at_, version); }

    // The row of `here` records the arrival of the task from another cell. Until then, a former owner of `here` may
    // take the task as well.
    bool is_transfer_persisted(const flow_task& task) const { return task.received <= written_; }
    // `here` is responsible for the task.
    bool at_home(const flow_task& task) const;
    // `here` is responsible for the job or for at least one of its tasks.
    bool involves_this_cell() const;
    // Records that `writer`, a cell or a reserved name, has written a row about the job.
    void note_writer(const std::string& writer) { writers_.insert(writer); }
    const std::set<std::string>& known_writers() const { return writers_; }
    // `cell` is involved already, or the job involves fewer than `cells_most` cells.
    bool may_extend_to(const cell_id& cell, std::size_t cells_most) const;
    // Other cells for which the next write has news: the cell of the job, the cells that tasks were handed to, and all
    // involved cells if gang members moved or the job was cancelled or has ended.
    std::vector<cell_id> cells_to_notify() const;
    // The state shown to callers changes with the next write.
    bool index_changed() const { return index_changed_ > written_; }
    // Hands a task without active runs to another cell; takes effect when the row is written.
    void hand_off_task(const flow_task_id& task, const cell_id& to, epoch to_epoch, epoch own_epoch);
    // As hand_off_task, with later runs numbered above `floor`; `to` may be the cell that is responsible already.
    void move(const flow_task_id& task, const cell_id& to, epoch to_epoch, std::int64_t floor);

    // Opens every stage whose preceding steps are done and whose occurrence is due; true if any was opened. Drops the
    // stages of occurrences that are finished, and holds further ones in up to `bytes_more` of memory.
    bool open_stages(instant now, wall_time wall, std::int64_t bytes_more = std::numeric_limits<std::int32_t>::max());

    // Number for a new run: higher than all runs of the task, those started by former owners of the cell included.
    run_number next_run(const flow_task& task, epoch cell_epoch) const;

    // --- progress; each change makes the row outdated (see dirty()) unless noted otherwise ---
    // A worker has accepted a task.
    void note_job_started();
    // False if the task was done already or does not exist.
    bool note_done(const flow_task_id& task);
    // Returns the number of failed runs of the task. A run counts once, even if its end is reported several times.
    std::int32_t note_failure(const flow_task_id& task, run_number run);
    // A worker crashed while it executed the run. False if a later run has proved the task harmless.
    bool note_crash(const flow_task_id& task, const wire::crash_row& crash, crash_persistence note);
    // Removes the crash recorded for the run, since the worker had not crashed; does not cause a write.
    void forget_crash(const flow_task_id& task, run_number run);
    // The run has lived long enough to prove the task harmless: discards crashes up to this run.
    void note_outlived(const flow_task_id& task, run_number run);
    // Applies the end of a run of a step that is not lasting to the state of its tasks.
    void note_end(const reported_end& end);
    // Stores the newest checkpoint of the task; does not cause a write.
    void note_checkpoint(const flow_task_id& task, const std::string& checkpoint);
    // Records the start of a run that is about to be sent or was found on a worker. No effect if a newer one is
    // recorded.
    void note_start(const flow_task_id& task, const worker_life& worker, run_number run,
                    const start_circumstances& how = {});
    // Records that the run is certainly not active any more. No effect if another run is recorded.
    void note_run_ended(const flow_task_id& task, run_number run);
    // Newest epoch of `here` named by whoever assigned the job or handed a task to it. An epoch above the owner's own
    // shows that the owner was replaced.
    epoch newest_epoch() const;
    void note_outcome(flow_state outcome);

    // Merges the progress in another row of the job. Rows may arrive in any order, and progress is never reverted.
    void merge(instant now, const wire::flow_job_row& other, row_writer_kind writer_kind);

    bool all_done() const;
    // Memory that the job takes; an estimate.
    std::int64_t held_bytes() const;
    // Tasks that wait for a worker.
    std::int32_t count_ready() const;
    // At least one run may be active.
    bool running() const;
    // There are changes that are not in the table yet.
    bool dirty() const { return changes_ > written_; }
    // Counters of all changes, and of those that the row in the table contains.
    std::uint64_t changes() const { return changes_; }
    std::uint64_t written() const { return written_; }
    void mark_written(std::uint64_t changes, row_version version);
    // A write with the changes up to this one was sent to the table.
    void note_sent(std::uint64_t changes) { sent_ = std::max(sent_, changes); }
    // Forgets the record of a start that was not sent, unless a write with it may be in the table.
    void withdraw_start(const flow_task_id& task, const live_run& live);
    // The row to be written for `here`.
    wire::flow_job_row current_row() const;

    // --- size of the row ---
    // The row was encoded to be written.
    void note_row_bytes(std::size_t bytes);
    // Whether the row, with the starts recorded since it was last encoded and with further ones, will not be larger
    // than `bytes_most`. An estimate: after a row that was too large, half as many starts are recorded before the next
    // write.
    bool has_room_for_starts(instant now, std::size_t starts, std::size_t bytes_most) const;
    // The row is larger than the table takes. It is not written before the job changes or some time has passed.
    void note_unwritable(instant now);
    bool is_unwritable(instant now) const;
    // The row was last found to be larger than the table takes.
    bool lacks_row_room() const { return unwritable_.has_value(); }
    // The state that is shown to callers.
    wire::flow_job_row index_row() const;

private:
    void add_held_stages(wire::flow_job_row& row) const;
    static std::optional<wire::flow_stage_row> stage_row(const flow_stage& stage);
    void add_finished_stages(std::vector<wire::flow_stage_row>& rows) const;
    std::set<std::string> concerned_cells() const;
    // Shows the job as started to callers.
    void mark_started();
    bool implies_begun(const wire::flow_job_row& row) const;
    std::int32_t occurrences() const { return std::max(1, spec_.occurrences); }
    // The first stage that is held of the occurrence or a later one.
    flow_stages::iterator stages_from(std::int32_t occurrence);
    // Adds the stages of an occurrence that is not held before `at`, and returns the first of them.
    flow_stages::iterator insert_occurrence(flow_stages::iterator at, std::int32_t occurrence);
    void hold_due_occurrences(wall_time wall, std::int64_t bytes_more);
    void drop_finished_occurrences();
    bool is_finished(const flow_stages::const_iterator& first, const flow_stages::const_iterator& end) const;
    void load_finished(const wire::flow_occurrence_span& span);
    void load_stage(instant now, const wire::flow_stage_row& row, bool own);
    void load_home(instant now, flow_stage& stage, flow_task& task, const wire::flow_home_row& home, bool own);
    static void load_start(flow_task& task, const wire::flow_start_row& start);
    static void load_crashes(flow_task& task, std::int32_t index, const wire::flow_stage_row& row);
    static void discard_crashes(flow_task& task, run_number run);
    bool due(std::int32_t occurrence, wall_time wall) const;

    job_id id_;
    cell_id here_;
    std::int64_t bytes_most_;
    wire::flow_job_row row_; // with `stages` and `finished` empty: these are kept in stages_ and finished_
    flow_spec spec_;
    flow_stages stages_;         // all steps of each occurrence that is held, in ascending order
    occurrence_set finished_;    // occurrences that are not held any more, as all their tasks are done
    std::int32_t next_held_ = 0; // each due occurrence before it is held or finished
    row_version version_;
    row_version accepted_at_;
    std::uint64_t changes_ = 0;
    std::uint64_t written_ = 0;
    std::set<std::string> writers_;
    std::int64_t newest_home_epoch_ = 0; // newest epoch of `here` that a task was handed to
    // Values of changes_ at the last change of each kind; those above written_ still have to be announced.
    std::map<std::string, std::uint64_t> handoff_changes_; // by cell that a task was handed to
    std::uint64_t notify_all_change_ = 0;                  // a cancel, the outcome, or a move of gang members
    std::uint64_t index_changed_ = 0;
    std::uint64_t received_ = 0; // value of changes_ when a task last arrived from another cell
    std::uint64_t sent_ = 0;     // changes in the newest write that was sent
    std::size_t row_bytes_ = 0;
    std::size_t starts_since_ = 0;  // recorded since row_bytes_ was found
    std::size_t starts_in_row_ = 0; // recorded since the row was last written, or found to be too large, and encoded
    static constexpr std::size_t unlimited_starts = std::numeric_limits<std::int32_t>::max();
    std::size_t starts_most_ = unlimited_starts; // to be recorded before the next write
    instant row_full_since_{};                   // when the row was last too large for its new starts
    struct unwritable_row {
        std::uint64_t changes = 0;
        instant found{};
    };
    std::optional<unwritable_row> unwritable_;
};

} // namespace skylarkhub
