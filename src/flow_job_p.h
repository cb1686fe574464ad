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
enum class task_stage : std::uint8_t { closed, ready, placed, elsewhere, done };

// A run that may be going on: from the moment its start is sent until its end is known.
struct live_run {
    worker_id worker;
    run_number run;
    instant sent{};
    bool confirmed = false; // the worker has said that it has it
    bool stopping = false;
    worker_time lease_until{}; // that its start carries
    std::uint64_t noted = 0;   // changes of the job that tell its start, which waits for them to be written; 0: sent
};

struct flow_task {
    task_stage stage = task_stage::closed;
    run_number last_run; // highest used
    // By number, not by count: ends are heard more than once, by several owners, and in any order. At most as many as
    // the task has attempts.
    std::set<run_number> failed_runs;
    std::string checkpoint;
    instant ready_since{};
    std::vector<live_run> runs; // more than one only for speculative steps
    worker_id failed_on;        // the last worker it failed or fell behind on, avoided where there is another
    std::int32_t restarts = 0;  // by this owner, since it had fallen behind
    wire::flow_home_row home;   // the cell that takes care of it; no cell: the job's
    std::optional<std::pair<cell_id, epoch>> moves_to; // the cell that it is given to once its run has ended
    wire::flow_start_row start;                        // the newest that was noted; run 0: none
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
bool notes_starts(const flow_step& step);

// Members of a gang are in another cell: it runs over several.
bool is_spread(const flow_stage& stage);

class flow_job {
public:
    // A flow as its own row tells it. `here`: the cell whose owner asks; `version`: of the row that this owner writes,
    // 0 while there is none.
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
    bool started() const { return row_.started; }
    bool timed() const { return spec_.occurrences > 0; }
    // The job is bound to `here`: its owner says what has become of it.
    bool bound_here() const { return row_.cell == here_.str(); }
    // The row that the owner of `here` writes, and its version as last seen.
    job_row_name written_row() const { return {id_, bound_here() ? "" : here_.str()}; }
    row_version version() const { return version_; }
    void note_version(row_version version) { version_ = std::max(version_, version); }

    bool at_home(const flow_task& task) const;
    // Some task is taken care of by `here`.
    bool concerns_here() const;
    // The other cells that take care of some of its tasks, or of the job.
    std::vector<cell_id> other_cells() const;
    // Gives a task that no run of which lives to another cell; in force once it is written.
    void give_away(const flow_task_id& task, const cell_id& to, epoch to_epoch, epoch own_epoch);
    // The same with its runs numbered above `floor`; `to` may be the cell that has it.
    void move(const flow_task_id& task, const cell_id& to, epoch to_epoch, std::int64_t floor);

    // Opens every stage whose earlier steps are done and whose time has come; true when one was opened.
    bool open_stages(instant now, wall_time wall);

    // The number of a new run: above every earlier one of this task, also those of earlier owners of the cell.
    run_number next_run(const flow_task& task, epoch cell_epoch) const;

    // --- facts; each makes the row behind ---
    void note_started();
    // False when it was done already.
    bool note_done(const flow_task_id& task);
    // The number of failed runs so far. A run counts once, however often its end is listed.
    std::int32_t note_failure(const flow_task_id& task, run_number run);
    // What the end of a run of a step that does not last tells of its tasks.
    void note_end(const listed_end& end);
    void note_checkpoint(const flow_task_id& task, const std::string& checkpoint);
    // The run is about to be started, or was found. Nothing when a higher one was noted.
    void note_start(const flow_task_id& task, const worker_id& worker, run_number run);
    // The run, if it is the one noted, is certainly not going on any more.
    void note_gone(const flow_task_id& task, run_number run);
    // Says in the row that the owner of `here` of this epoch has taken the job on. From then on no write of an owner
    // before it can come into force, since that checks the row's version as it was.
    void claim(epoch cell_epoch);
    // The newest epoch of `here` that has claimed it or was named when it was bound.
    epoch newest_epoch() const;
    void note_outcome(flow_state outcome);

    // Takes over the facts of another row of the job, in whatever order they come; none is ever taken back.
    void merge(instant now, const wire::flow_job_row& other);

    bool all_done() const;
    // Tasks that wait for a worker.
    std::int32_t count_ready() const;
    // Some run of it may be going on.
    bool running() const;
    bool dirty() const { return changes_ > written_; }
    std::uint64_t changes() const { return changes_; }
    std::uint64_t written() const { return written_; }
    void mark_written(std::uint64_t changes, row_version version);
    // The row that the owner of `here` writes, as it should be now.
    wire::flow_job_row current_row() const;
    // The same without what was asked, which the job's own row tells.
    wire::flow_job_row facts() const;

private:
    std::vector<wire::flow_stage_row> stage_rows() const;
    void add_stage(std::int32_t occurrence, std::int32_t step);
    void load_stage(instant now, const wire::flow_stage_row& row);
    void load_home(instant now, flow_stage& stage, flow_task& task, const wire::flow_home_row& home);
    static void load_start(flow_task& task, const wire::flow_start_row& start);
    bool due(std::int32_t occurrence, wall_time wall) const;

    job_id id_;
    cell_id here_;
    wire::flow_job_row row_; // without its stages' facts
    flow_spec spec_;
    std::vector<flow_stage> stages_;
    row_version version_;
    std::uint64_t changes_ = 0;
    std::uint64_t written_ = 0;
};

} // namespace skylarkhub
