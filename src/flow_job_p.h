// One flow in its cell owner's memory: which steps are open, what each task is doing, and what its row must tell.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flow_row_p.h"

namespace skylarkhub {

// closed: an earlier step is not done yet, or its time has not come. elsewhere: another cell takes care of it.
enum class flow_task_state : std::uint8_t { blocked, ready, placed, in_other_cell, done };

// A run that may be going on: from the moment its start is sent until its end is known.
struct live_run {
    worker_id worker;
    run_number run;
    instant sent{};
    bool confirmed = false; // the worker has said that it has it
    bool stopping = false;
    worker_time lease_until{}; // that its start carries
    std::uint64_t noted = 0;   // changes of the job that tell its start, which waits for them to be written; 0: sent
    instant started{};         // when its start was first sent; instant{}: by an owner before, or not yet
    bool alone = false;        // a worker was kept for it, since its task may crash workers
};

struct flow_task {
    flow_task_state stage = flow_task_state::blocked;
    run_number last_run; // highest used
    // By number, not by count: ends are heard more than once, by several owners, and in any order. At most as many as
    // the task has attempts.
    std::set<run_number> failed_runs;
    std::map<run_number, wire::crash_row> crashes; // of workers under it, by run
    run_number outlived;                           // crashes up to this run no longer count
    std::vector<wire::crash_row> crash_rows() const;
    bool may_crash_workers() const; // it is started alone
    bool crashes_workers() const;   // beyond doubt
    std::string checkpoint;
    instant ready_since{};
    std::vector<live_run> runs; // more than one only for speculative steps
    worker_id avoided_worker;   // the last worker it failed or fell behind on, avoided where there is another
    std::int32_t restarts = 0;  // by this owner, since it had fallen behind
    wire::flow_home_row home;   // the cell that takes care of it; no cell: the job's
    std::optional<std::pair<cell_id, epoch>> moves_to; // the cell that it is given to once its run has ended
    wire::flow_start_row start;                        // the newest that was noted; run 0: none
    std::uint64_t received = 0; // the change of the job that tells that it came from another cell
};

// The tasks of one step in one occurrence.
struct flow_stage {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::vector<flow_task> tasks;
    std::int32_t done = 0;
    std::int32_t ready = 0; // tasks that wait for a worker
    bool open = false;
};

// The job's row tells of a start of such a step before it is sent, so that an owner's follower knows where each task
// may run. Short work does without: it would wait for the table with every task.
bool persists_starts(const flow_step& step);

// Members of a gang are in another cell: it runs over several.
bool spans_cells(const flow_stage& stage);

// Whether a crash is written for its own sake, or goes out with the row's next write.
enum class crash_persistence : std::uint8_t { written, deferred };

class flow_job {
public:
    // A flow as a row tells it that says what was asked. `here`: the cell whose owner asks; `version`: of that cell's
    // own row, 0 if the row is another one.
    flow_job(job_id id, cell_id here, const wire::flow_job_row& row, row_version version);

    const job_id& id() const { return id_; }
    const flow_spec& spec() const { return spec_; }
    const wire::flow_job_row& row() const { return row_; }
    const flow_step& step(const flow_stage& stage) const
    {
        return spec_.steps.at(static_cast<std::size_t>(stage.step));
    }
    std::vector<flow_stage>& stages() { return stages_; }
    const std::vector<flow_stage>& stages() const { return stages_; }

    flow_task_id task_id(const flow_stage& stage, std::size_t index) const
    {
        return {id_, stage.occurrence, stage.step, static_cast<std::int32_t>(index)};
    }
    // Null when the flow has no such task.
    flow_stage* find_stage(const flow_task_id& task);
    flow_task* find_task(const flow_task_id& task);

    bool cancelled() const { return row_.cancelled; }
    bool ended() const { return row_.outcome != 0; }
    // A worker has taken a task, as far as it is known here. Callers may be told sooner that the job has started: of a
    // start that is noted before it is sent, with its note.
    bool begun() const { return row_.begun; }
    bool timed() const { return spec_.occurrences > 0; }
    // The job is bound to `here`: its owner says what has become of it.
    bool is_home_cell() const { return row_.cell == here_.str(); }
    // The version of the row of `here`, 0 while there is none.
    row_version version() const { return version_; }
    void note_version(row_version version) { version_ = std::max(version_, version); }
    // Of the row that tells of its acceptance, 0 where that was not read.
    row_version accepted_at() const { return accepted_at_; }
    void note_accepted(row_version version) { accepted_at_ = std::max(accepted_at_, version); }

    // It is given to `here` and the row of `here` tells so: before, an earlier owner may be told of it as well.
    bool is_transfer_persisted(const flow_task& task) const { return task.received <= written_; }
    bool at_home(const flow_task& task) const;
    // Some task is taken care of by `here`.
    bool involves_this_cell() const;
    // Another cell's owner, or somebody else, has told something of it.
    void note_writer(const std::string& writer) { tellers_.insert(writer); }
    // All that have, cells' owners and others.
    const std::set<std::string>& known_writers() const { return tellers_; }
    // It is in that cell already, or may go to one more.
    bool may_extend_to(const cell_id& cell, std::size_t cells_most) const;
    // The other cells that the next write has news for: the job's, those that tasks were given to, and all concerned
    // when members of a gang move or the job has ended.
    std::vector<cell_id> cells_to_notify() const;
    // Callers will see a difference once the next write is in force.
    bool index_changed() const { return index_changed_ > written_; }
    // Gives a task that no run of which lives to another cell; in force once it is written.
    void hand_off_task(const flow_task_id& task, const cell_id& to, epoch to_epoch, epoch own_epoch);
    // The same with its runs numbered above `floor`; `to` may be the cell that has it.
    void move(const flow_task_id& task, const cell_id& to, epoch to_epoch, std::int64_t floor);

    // Opens every stage whose earlier steps are done and whose time has come; true when one was opened.
    bool open_stages(instant now, wall_time wall);

    // The number of a new run: above every earlier one of this task, also those of earlier owners of the cell.
    run_number next_run(const flow_task& task, epoch cell_epoch) const;

    // --- facts; each makes the row behind ---
    void note_job_started();
    // False when it was done already.
    bool note_done(const flow_task_id& task);
    // The number of failed runs so far. A run counts once, however often its end is listed.
    std::int32_t note_failure(const flow_task_id& task, run_number run);
    // A worker crashed under the run. False when the task has outlived it.
    bool note_crash(const flow_task_id& task, const wire::crash_row& crash, crash_persistence note);
    // None did after all.
    void forget_crash(const flow_task_id& task, run_number run);
    // The run has shown that it crashes no worker.
    void note_outlived(const flow_task_id& task, run_number run);
    // What the end of a run of a step that does not last tells of its tasks.
    void note_end(const reported_end& end);
    void note_checkpoint(const flow_task_id& task, const std::string& checkpoint);
    // The run is about to be started, or was found. Nothing when a higher one was noted.
    void note_start(const flow_task_id& task, const worker_id& worker, run_number run);
    // The run, if it is the one noted, is certainly not going on any more.
    void note_run_ended(const flow_task_id& task, run_number run);
    // The newest epoch of `here` that anyone has named to bind the job or give a task to it.
    epoch newest_epoch() const;
    void note_outcome(flow_state outcome);

    // Takes over the facts of another row of the job, in whatever order they come; none is ever taken back.
    void merge(instant now, const wire::flow_job_row& other, row_writer_kind writer_kind);

    bool all_done() const;
    // Tasks that wait for a worker.
    std::int32_t count_ready() const;
    // Some run of it may be going on.
    bool running() const;
    bool dirty() const { return changes_ > written_; }
    std::uint64_t changes() const { return changes_; }
    std::uint64_t written() const { return written_; }
    void mark_written(std::uint64_t changes, row_version version);
    // The row of `here` as it should be now.
    wire::flow_job_row current_row() const;
    // What callers ask.
    wire::flow_job_row index_row() const;

private:
    std::vector<wire::flow_stage_row> stage_rows() const;
    std::set<std::string> concerned_cells() const;
    void tell_started();
    bool tells_begun(const wire::flow_job_row& row) const;
    void add_stage(std::int32_t occurrence, std::int32_t step);
    void load_stage(instant now, const wire::flow_stage_row& row, bool own);
    void load_home(instant now, flow_stage& stage, flow_task& task, const wire::flow_home_row& home, bool own);
    static void load_start(flow_task& task, const wire::flow_start_row& start);
    static void load_crashes(flow_task& task, std::int32_t index, const wire::flow_stage_row& row);
    static void outlive(flow_task& task, run_number run);
    bool due(std::int32_t occurrence, wall_time wall) const;

    job_id id_;
    cell_id here_;
    wire::flow_job_row row_; // without its stages' facts
    flow_spec spec_;
    std::vector<flow_stage> stages_;
    row_version version_;
    row_version accepted_at_;
    std::uint64_t changes_ = 0;
    std::uint64_t written_ = 0;
    std::set<std::string> tellers_;
    std::int64_t newest_home_epoch_ = 0; // of `here`, that a task was given to
    // The changes of which others are to be told.
    std::map<std::string, std::uint64_t> given_to_; // by cell
    std::uint64_t all_told_of_ = 0;                 // a cancel, the outcome, or a move of a gang's members
    std::uint64_t index_changed_ = 0;
    std::uint64_t received_ = 0; // the last that a task came from another cell with
};

} // namespace skylarkhub
