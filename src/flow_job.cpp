#include "flow_job_p.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

#include "flow_row_join_p.h"
#include "place_crash_p.h"

namespace skylarkhub {

namespace {

// Distance between the run numbers of successive owners of a cell: a new owner cannot know all runs of its predecessor.
// No task reaches 1000 runs under one owner.
constexpr std::int64_t runs_per_epoch = 1000;

// Tasks of a recurring job that wait in its home cell, from which on no further occurrence is held beside them: all may
// be due at once. Tasks that run don't count, since those of a step that lasts never end.
constexpr std::int64_t tasks_waiting_most = 512;

// Earlier releases read bits of each stage that is done. They hold all occurrences of a job in memory, so larger jobs
// could not run under them.
constexpr std::int64_t stages_for_earlier_releases = 512;

// Stages that a row tells of one by one; of more, those of all occurrences of a step are joined.
constexpr std::size_t stages_told_apart_most = 512;
static_assert(stages_told_apart_most >= stages_for_earlier_releases); // no finished ones are joined

bool bit_at(const std::string& bits, std::int32_t index)
{
    const auto byte = static_cast<std::size_t>(index / 8);
    return byte < bits.size() && (static_cast<unsigned char>(bits[byte]) >> (index % 8) & 1) != 0;
}

void set_bit(std::string& bits, std::int32_t index)
{
    char& byte = bits[static_cast<std::size_t>(index / 8)];
    byte = static_cast<char>(static_cast<unsigned char>(byte) | (1U << (index % 8)));
}

std::int64_t count_stage_bytes(std::int64_t tasks)
{
    constexpr std::int64_t task_bytes = sizeof(flow_task) + sizeof(live_run);
    return static_cast<std::int64_t>(sizeof(flow_stage)) + tasks * task_bytes;
}

std::int64_t count_spec_bytes(const flow_spec& spec)
{
    constexpr std::int64_t step_bytes = sizeof(flow_step) + sizeof(wire::flow_step_row);
    return static_cast<std::int64_t>(sizeof(flow_job) + spec.payload.size()) +
           step_bytes * static_cast<std::int64_t>(spec.steps.size());
}

std::int64_t count_job_bytes(const flow_spec& spec, const flow_stages& stages)
{
    return std::accumulate(stages.begin(), stages.end(), count_spec_bytes(spec),
                           [](std::int64_t sum, const flow_stage& s) {
                               return sum + count_stage_bytes(static_cast<std::int64_t>(s.tasks.size()));
                           });
}

// Tasks that have not been started, or are to be started again.
std::int64_t count_waiting(const flow_stage& stage)
{
    return std::count_if(stage.tasks.begin(), stage.tasks.end(), [](const flow_task& task) {
        return task.stage == flow_task_state::blocked || task.stage == flow_task_state::ready;
    });
}

struct occurrence_size {
    std::int64_t tasks = 0;
    std::int64_t bytes = 0;
};

occurrence_size size_of_occurrence(const flow_spec& spec)
{
    occurrence_size size;
    for (const flow_step& step : spec.steps) {
        size.tasks += step.count;
        size.bytes += count_stage_bytes(step.count);
    }
    return size;
}

std::vector<std::int32_t> count_tasks_of_steps(const flow_spec& spec)
{
    std::vector<std::int32_t> counts;
    counts.reserve(spec.steps.size());
    std::transform(spec.steps.begin(), spec.steps.end(), std::back_inserter(counts),
                   [](const flow_step& step) { return step.count; });
    return counts;
}

} // namespace

std::vector<wire::crash_row> flow_task::crash_rows() const
{
    std::vector<wire::crash_row> rows;
    rows.reserve(crashes.size());
    std::transform(crashes.begin(), crashes.end(), std::back_inserter(rows), [](const auto& c) { return c.second; });
    return rows;
}

bool flow_task::may_crash_workers() const
{
    return crashes.size() >= static_cast<std::size_t>(crashes_until_alone) &&
           must_start_alone(crash_rows(), may_have_crashed ? 1 : 0);
}

bool flow_task::crashes_workers() const
{
    return crashes.size() >= crashes_until_sure && crashes_its_workers(crash_rows());
}

bool persists_starts(const flow_step& step)
{
    return step.lasting && !step.gang && !step.speculative;
}

std::int64_t estimate_job_bytes(const flow_spec& spec)
{
    const occurrence_size one = size_of_occurrence(spec);
    const std::int64_t held_most = 1 + tasks_waiting_most / std::max<std::int64_t>(one.tasks, 1);
    return count_spec_bytes(spec) + one.bytes * std::clamp<std::int64_t>(spec.occurrences, 1, held_most);
}

flow_job::flow_job(job_id id, cell_id here, const wire::flow_job_row& row, row_version version, std::int64_t bytes_most)
    : id_(std::move(id)),
      here_(std::move(here)),
      bytes_most_(bytes_most),
      row_(row),
      spec_(spec_of(row)),
      version_(version)
{
    row_.stages.clear();
    row_.joined.clear();
    row_.joined_stages.clear();
    row_.finished.clear();
    row_.begun = implies_begun(row);
    if (!timed()) {
        insert_occurrence(stages_.end(), 0);
    }
    merge(instant{}, row, version != row_version(0) ? row_writer_kind::own : row_writer_kind::other_cell);
    drop_finished_occurrences();
}

bool flow_job::at_home(const flow_task& task) const
{
    return (task.home.cell.empty() ? row_.cell : task.home.cell) == here_.str();
}

bool flow_job::involves_this_cell() const
{
    return row_.cell == here_.str() || std::any_of(stages_.begin(), stages_.end(), [this](const flow_stage& s) {
               return std::any_of(s.tasks.begin(), s.tasks.end(), [this](const flow_task& t) { return at_home(t); });
           });
}

std::set<std::string> flow_job::concerned_cells() const
{
    std::set<std::string> cells{row_.cell};
    std::copy_if(writers_.begin(), writers_.end(), std::inserter(cells, cells.end()), is_cell);
    for (const flow_stage& stage : stages_) {
        for (const flow_task& task : stage.tasks) {
            if (!task.home.cell.empty()) {
                cells.insert(task.home.cell);
            }
        }
    }
    return cells;
}

bool flow_job::may_extend_to(const cell_id& cell, std::size_t cells_most) const
{
    const std::set<std::string> cells = concerned_cells();
    return cells.size() < cells_most || cells.count(cell.str()) != 0;
}

std::vector<cell_id> flow_job::cells_to_notify() const
{
    std::set<std::string> cells;
    if (notify_all_change_ > written_) {
        cells = concerned_cells();
    }
    for (const auto& [cell, change] : handoff_changes_) {
        if (change > written_) {
            cells.insert(cell);
        }
    }
    cells.insert(row_.cell);
    cells.erase(here_.str());
    std::vector<cell_id> out;
    out.reserve(cells.size());
    for (const std::string& cell : cells) {
        out.emplace_back(cell);
    }
    return out;
}

void flow_job::hand_off_task(const flow_task_id& task, const cell_id& to, epoch to_epoch, epoch own_epoch)
{
    move(task, to, to_epoch, next_run(*find_task(task), own_epoch).value() - 1);
}

void flow_job::move(const flow_task_id& task, const cell_id& to, epoch to_epoch, std::int64_t floor)
{
    flow_task& t = *find_task(task);
    t.home.run_floor = floor;
    t.home.cell = to.str();
    t.home.epoch = to_epoch.value();
    ++t.home.moves;
    ++changes_;
    if (step(*find_stage(task)).gang) {
        notify_all_change_ = changes_;
    }
    if (at_home(t)) {
        return;
    }
    handoff_changes_[to.str()] = changes_;
    if (t.stage == flow_task_state::ready) {
        --find_stage(task)->ready;
    }
    t.stage = flow_task_state::in_other_cell;
}

void flow_job::load_home(instant now, flow_stage& stage, flow_task& task, const wire::flow_home_row& home, bool own)
{
    if (home.moves <= task.home.moves) {
        return;
    }
    task.home = home;
    if (at_home(task)) {
        newest_home_epoch_ = std::max(newest_home_epoch_, home.epoch);
    }
    if (at_home(task) && !own && task.stage != flow_task_state::done) {
        task.received = received_ = ++changes_;
    }
    if (!stage.open || task.stage == flow_task_state::done) {
        return;
    }
    if (at_home(task) && task.stage == flow_task_state::in_other_cell) {
        task.stage = flow_task_state::ready;
        task.ready_since = now;
        ++stage.ready;
    }
    else if (!at_home(task) && task.stage == flow_task_state::ready) {
        task.stage = flow_task_state::in_other_cell;
        --stage.ready;
    }
}

// Takes the newer start; the end of a recorded run is final.
void flow_job::load_start(flow_task& task, const wire::flow_start_row& start)
{
    if (start.run > task.start.run || (start.run == task.start.run && start.worker.empty())) {
        task.start = start;
    }
    task.last_run = std::max(task.last_run, run_number(start.run));
}

flow_stages::iterator flow_job::stages_from(std::int32_t occurrence)
{
    return std::lower_bound(stages_.begin(), stages_.end(), occurrence,
                            [](const flow_stage& stage, std::int32_t k) { return stage.occurrence < k; });
}

flow_stages::iterator flow_job::insert_occurrence(flow_stages::iterator at, std::int32_t occurrence)
{
    for (std::size_t s = 0; s < spec_.steps.size(); ++s) {
        flow_stage stage;
        stage.occurrence = occurrence;
        stage.step = static_cast<std::int32_t>(s);
        stage.tasks.resize(static_cast<std::size_t>(std::max(0, spec_.steps[s].count)));
        at = std::next(stages_.insert(at, std::move(stage)));
    }
    return at - static_cast<std::ptrdiff_t>(spec_.steps.size());
}

void flow_job::hold_due_occurrences(wall_time wall, std::int64_t bytes_more)
{
    if (!timed() || !is_home_cell()) {
        return;
    }
    const occurrence_size added = size_of_occurrence(spec_);
    std::int64_t waiting =
        std::accumulate(stages_.begin(), stages_.end(), std::int64_t{0},
                        [](std::int64_t sum, const flow_stage& s) { return sum + count_waiting(s); });
    std::int64_t bytes = count_job_bytes(spec_, stages_);
    const std::int64_t bytes_most = std::min(bytes_most_, bytes + std::max<std::int64_t>(bytes_more, 0));
    const auto is_full = [&] {
        return bytes + added.bytes > bytes_most || (waiting > 0 && waiting + added.tasks > tasks_waiting_most);
    };
    next_held_ = finished_.next_absent(next_held_);
    while (next_held_ < occurrences() && due(next_held_, wall)) {
        if (!stages_.empty() && is_full()) {
            return;
        }
        const auto at = stages_from(next_held_);
        if (at == stages_.end() || at->occurrence != next_held_) {
            insert_occurrence(at, next_held_);
            waiting += added.tasks;
            bytes += added.bytes;
        }
        next_held_ = finished_.next_absent(next_held_ + 1);
    }
}

// Whether all tasks of these stages of one occurrence are done and have no runs left, such as copies being stopped.
// Ends that are not written are kept: an owner that loses the cell leaves them to the next one, and the workers that
// listed them may be gone.
bool flow_job::is_finished(const flow_stages::const_iterator& first, const flow_stages::const_iterator& end) const
{
    return std::all_of(first, end, [this](const flow_stage& stage) {
        return stage.is_done() && stage.ended <= written_ &&
               std::all_of(stage.tasks.begin(), stage.tasks.end(),
                           [](const flow_task& task) { return task.runs.empty(); });
    });
}

void flow_job::drop_finished_occurrences()
{
    if (!timed()) {
        return;
    }
    for (auto first = stages_.begin(); first != stages_.end();) {
        const std::int32_t occurrence = first->occurrence;
        const auto end = first + static_cast<std::ptrdiff_t>(spec_.steps.size());
        if (is_finished(first, end)) {
            finished_.add(occurrence, occurrence + 1);
            first = stages_.erase(first, end);
        }
        else {
            first = end;
        }
    }
}

// Another owner has found that these occurrences are done. Those that are held are dropped once they have no runs.
void flow_job::load_finished(const wire::flow_occurrence_span& span)
{
    const std::int32_t first = std::max(0, span.first);
    const std::int32_t end = std::min(span.past_last, occurrences());
    if (!timed() || first >= end) {
        return;
    }
    for (auto stage = stages_from(first); stage != stages_.end() && stage->occurrence < end; ++stage) {
        for (std::size_t i = 0; i < stage->tasks.size(); ++i) {
            note_done(task_id(*stage, i));
        }
    }
    const std::int64_t before = finished_.size();
    finished_.add(first, end);
    changes_ += finished_.size() != before ? 1 : 0;
}

void flow_job::load_stage(instant now, const wire::flow_stage_row& row, bool own)
{
    flow_stage* const stage = find_stage({id_, row.occurrence, row.step, 0});
    if (stage == nullptr) {
        return; // the occurrence is finished
    }
    for (std::size_t i = 0; i < stage->tasks.size(); ++i) {
        flow_task& task = stage->tasks[i];
        const auto index = static_cast<std::int32_t>(i);
        if (bit_at(row.done, index)) {
            note_done({id_, row.occurrence, row.step, index});
        }
        const auto home = row.homes.find(index);
        if (home != row.homes.end()) {
            load_home(now, *stage, task, home->second, own);
        }
        const auto start = row.starts.find(index);
        if (start != row.starts.end()) {
            load_start(task, start->second);
        }
        const auto failed = row.failed_runs.find(index);
        if (failed != row.failed_runs.end()) {
            for (const std::int64_t run : failed->second) {
                task.failed_runs.insert(run_number(run));
            }
        }
        load_crashes(task, index, row);
        const auto checkpoint = row.checkpoints.find(index);
        if (checkpoint != row.checkpoints.end() && task.checkpoint.empty()) {
            task.checkpoint = checkpoint->second;
        }
    }
}

flow_stage* flow_job::find_stage(const flow_task_id& task)
{
    const auto steps = static_cast<std::int32_t>(spec_.steps.size());
    const bool exists = task.occurrence >= 0 && task.occurrence < occurrences() && task.step >= 0 && task.step < steps;
    if (!exists) {
        return nullptr;
    }
    auto at = stages_from(task.occurrence);
    if (at == stages_.end() || at->occurrence != task.occurrence) {
        if (finished_.contains(task.occurrence)) {
            return nullptr;
        }
        at = insert_occurrence(at, task.occurrence);
    }
    return &*(at + task.step);
}

flow_task* flow_job::find_task(const flow_task_id& task)
{
    flow_stage* const stage = find_stage(task);
    if (stage == nullptr || task.index < 0 || task.index >= static_cast<std::int32_t>(stage->tasks.size())) {
        return nullptr;
    }
    return &stage->tasks[static_cast<std::size_t>(task.index)];
}

bool flow_job::due(std::int32_t occurrence, wall_time wall) const
{
    if (!timed()) {
        return true;
    }
    if (wall < spec_.first_due) {
        return false;
    }
    // Not a product, since the time of a late occurrence may exceed what a clock can tell.
    return occurrence == 0 || spec_.interval <= (wall - spec_.first_due) / occurrence;
}

bool flow_job::open_stages(instant now, wall_time wall, std::int64_t bytes_more)
{
    if (cancelled() || ended()) {
        return false;
    }
    drop_finished_occurrences();
    hold_due_occurrences(wall, bytes_more);
    bool opened = false;
    for (flow_stage& stage : stages_) {
        if (stage.open || !due(stage.occurrence, wall)) {
            continue;
        }
        const auto& after = step(stage).after;
        const bool free = std::all_of(after.begin(), after.end(), [&](std::int32_t earlier) {
            const flow_stage* const s = find_stage({id_, stage.occurrence, earlier, 0});
            return s == nullptr || s->is_done();
        });
        if (!free) {
            continue;
        }
        stage.open = true;
        opened = true;
        for (flow_task& task : stage.tasks) {
            if (task.stage == flow_task_state::blocked && !at_home(task)) {
                task.stage = flow_task_state::in_other_cell;
            }
            else if (task.stage == flow_task_state::blocked) {
                task.stage = flow_task_state::ready;
                task.ready_since = now;
                ++stage.ready;
            }
        }
    }
    return opened;
}

run_number flow_job::next_run(const flow_task& task, epoch cell_epoch) const
{
    const bool moved = !task.home.cell.empty();
    const std::int64_t first_epoch = moved ? task.home.epoch : row_.cell_epoch;
    const std::int64_t owners = std::max<std::int64_t>(0, cell_epoch.value() - first_epoch);
    const std::int64_t base = (moved ? task.home.run_floor : row_.run_base) + owners * runs_per_epoch;
    return run_number(std::max(task.last_run.value(), base) + 1);
}

// The owner of the job's cell needs no write for this, since the worker reports its runs again to the next owner. The
// owner of another cell has to write it for the job's cell.
void flow_job::note_job_started()
{
    if (!row_.begun) {
        row_.begun = true;
        changes_ += is_home_cell() ? 0 : 1;
    }
    mark_started();
}

// A row that shows the job as started implies that a worker accepted a task only if no step records its starts before
// they are sent. Otherwise a recorded start may never have reached a worker, and an owner that reads the row would
// leave the job out of those that wait.
bool flow_job::implies_begun(const wire::flow_job_row& row) const
{
    return row.begun || (row.started && std::none_of(spec_.steps.begin(), spec_.steps.end(), persists_starts));
}

void flow_job::mark_started()
{
    if (!row_.started) {
        row_.started = true;
        index_changed_ = ++changes_;
    }
}

bool flow_job::note_done(const flow_task_id& task)
{
    flow_stage* const stage = find_stage(task);
    flow_task* const t = find_task(task);
    if (t == nullptr || t->stage == flow_task_state::done) {
        return false;
    }
    if (t->stage == flow_task_state::ready) {
        --stage->ready;
    }
    t->stage = flow_task_state::done;
    t->checkpoint.clear();
    ++stage->done;
    stage->ended = ++changes_;
    return true;
}

std::int32_t flow_job::note_failure(const flow_task_id& task, run_number run)
{
    flow_task* const t = find_task(task);
    if (t == nullptr) {
        return 0;
    }
    // A worker reports an end again to the next owner if it was stored but not confirmed.
    if (t->failed_runs.insert(run).second) {
        ++changes_;
    }
    return static_cast<std::int32_t>(t->failed_runs.size());
}

bool flow_job::note_crash(const flow_task_id& task, const wire::crash_row& crash, crash_persistence note)
{
    flow_task* const t = find_task(task);
    const run_number run(crash.run);
    if (t == nullptr || run <= t->outlived) {
        return false;
    }
    t->crashes.insert_or_assign(run, crash);
    changes_ += note == crash_persistence::written ? 1 : 0;
    return true;
}

void flow_job::forget_crash(const flow_task_id& task, run_number run)
{
    flow_task* const t = find_task(task);
    if (t != nullptr) {
        t->crashes.erase(run);
    }
}

void flow_job::note_outlived(const flow_task_id& task, run_number run)
{
    flow_task* const t = find_task(task);
    if (t != nullptr && !t->crashes.empty() && t->crashes.begin()->first <= run) {
        discard_crashes(*t, run);
        ++changes_;
    }
}

void flow_job::discard_crashes(flow_task& task, run_number run)
{
    task.outlived = std::max(task.outlived, run);
    task.may_have_crashed = false;
    task.crashes.erase(task.crashes.begin(), task.crashes.upper_bound(task.outlived));
}

// Rows may arrive in any order: crashes up to the newest outlived run stay discarded.
void flow_job::load_crashes(flow_task& task, std::int32_t index, const wire::flow_stage_row& row)
{
    const auto crashes = row.crashes.find(index);
    if (crashes != row.crashes.end()) {
        for (const wire::crash_row& crash : crashes->second) {
            task.crashes.emplace(run_number(crash.run), crash);
        }
    }
    const auto outlived = row.outlived.find(index);
    discard_crashes(task, run_number(outlived == row.outlived.end() ? 0 : outlived->second));
}

void flow_job::note_end(const reported_end& end)
{
    if (end.how == run_end::failed) {
        note_failure(end.task, end.run);
    }
    if (end.how != run_end::done) {
        return;
    }
    note_done(end.task);
    const flow_step& ended = step(*find_stage(end.task));
    // The members of a gang end together: one such end stands for all of them.
    for (std::int32_t i = 0; ended.gang && i < ended.count; ++i) {
        note_done({end.task.job, end.task.occurrence, end.task.step, i});
    }
}

void flow_job::note_checkpoint(const flow_task_id& task, const std::string& checkpoint)
{
    flow_task* const t = find_task(task);
    if (t != nullptr && !checkpoint.empty() && t->stage != flow_task_state::done) {
        t->checkpoint = checkpoint;
    }
}

void flow_job::note_start(const flow_task_id& task, const worker_life& worker, run_number run,
                          const start_circumstances& how)
{
    wire::flow_start_row& start = find_task(task)->start;
    if (run.value() > start.run) {
        start.worker = worker.worker.str();
        start.born = worker.born.value();
        start.run = run.value();
        start.at_ms =
            how.at ? std::chrono::duration_cast<std::chrono::milliseconds>(how.at->time_since_epoch()).count() : 0;
        start.alone = how.alone;
        ++changes_;
        ++starts_since_;
        mark_started();
    }
}

// An earlier run of the task has certainly ended, or the start would not have been recorded.
void flow_job::withdraw_start(const flow_task_id& task, const live_run& live)
{
    wire::flow_start_row& start = find_task(task)->start;
    if (live.noted > sent_ && start.run == live.run.value()) {
        start = {};
        ++changes_;
    }
}

void flow_job::note_run_ended(const flow_task_id& task, run_number run)
{
    wire::flow_start_row& start = find_task(task)->start;
    if (run.value() == start.run && !start.worker.empty()) {
        start.worker.clear();
        ++changes_;
    }
}

epoch flow_job::newest_epoch() const
{
    return epoch(std::max(is_home_cell() ? row_.cell_epoch : 0, newest_home_epoch_));
}

void flow_job::note_outcome(flow_state outcome)
{
    if (row_.outcome != 0) {
        return;
    }
    row_.outcome = outcome == flow_state::done ? 1 : outcome == flow_state::failed ? 2 : 3;
    notify_all_change_ = index_changed_ = ++changes_;
}

std::int32_t flow_job::count_ready() const
{
    return std::accumulate(stages_.begin(), stages_.end(), std::int32_t{0},
                           [](std::int32_t sum, const flow_stage& s) { return sum + s.ready; });
}

std::int64_t flow_job::held_bytes() const
{
    return count_job_bytes(spec_, stages_);
}

bool flow_job::all_done() const
{
    const auto steps = static_cast<std::int64_t>(spec_.steps.size());
    const std::int64_t held_done = std::count_if(stages_.begin(), stages_.end(), [this](const flow_stage& s) {
        return !finished_.contains(s.occurrence) && s.is_done();
    });
    return held_done + finished_.size() * steps == occurrences() * steps;
}

bool flow_job::running() const
{
    return std::any_of(stages_.begin(), stages_.end(), [](const flow_stage& s) {
        return std::any_of(s.tasks.begin(), s.tasks.end(), [](const flow_task& t) { return !t.runs.empty(); });
    });
}

void flow_job::merge(instant now, const wire::flow_job_row& other, row_writer_kind writer_kind)
{
    // Progress that came from a row need not be written again, unless there were unwritten changes before, or the merge
    // itself causes changes for other cells.
    const bool was_dirty = dirty();
    std::uint64_t caused = 0;
    const bool from_other = is_home_cell() && writer_kind != row_writer_kind::own;
    if (other.cancelled && !row_.cancelled) {
        row_.cancelled = true;
        if (from_other) {
            notify_all_change_ = index_changed_ = caused = ++changes_;
        }
    }
    row_.begun = row_.begun || implies_begun(other);
    if (other.started && !row_.started) {
        row_.started = true;
        if (from_other) {
            index_changed_ = caused = ++changes_;
        }
    }
    // A writer of an earlier release drops recorded starts, so their absence means nothing once it has written.
    row_.starts_noted = row_.starts_noted && other.starts_noted;
    if (row_.outcome == 0) {
        row_.outcome = other.outcome;
    }
    const std::uint64_t received = received_;
    const std::uint64_t before = changes_;
    const bool job_over = from_other && (row_.cancelled || row_.outcome != 0);
    const std::set<std::string> concerned = job_over ? concerned_cells() : std::set<std::string>();
    for (const wire::flow_occurrence_span& span : other.finished) {
        load_finished(span);
    }
    for_each_stage(
        other, [&](const wire::flow_stage_row& stage) { load_stage(now, stage, writer_kind == row_writer_kind::own); });
    // A cell that did not know of the end yet has handed a task to a cell that now has to be notified.
    const std::set<std::string> concerned_now = job_over ? concerned_cells() : std::set<std::string>();
    if (!std::includes(concerned.begin(), concerned.end(), concerned_now.begin(), concerned_now.end())) {
        notify_all_change_ = caused = ++changes_;
    }
    // The owner of another cell has notified the job's cell itself; an entry that lost its cell has not.
    const bool pass_on = writer_kind == row_writer_kind::entry && changes_ != before;
    if (!was_dirty && caused == 0 && received == received_ && !pass_on) {
        written_ = changes_;
    }
}

void flow_job::mark_written(std::uint64_t changes, row_version version)
{
    written_ = std::max(written_, changes);
    note_version(version);
    unwritable_.reset();
    const std::size_t starts = std::exchange(starts_in_row_, 0);
    if (starts > 0 && starts_most_ <= unlimited_starts / 2) {
        starts_most_ = 2 * std::max(starts_most_, starts);
    }
}

void flow_job::note_row_bytes(std::size_t bytes)
{
    row_bytes_ = bytes;
    starts_in_row_ += std::exchange(starts_since_, 0);
}

void flow_job::note_unwritable(instant now)
{
    unwritable_ = unwritable_row{changes_, now};
    const std::size_t starts = std::exchange(starts_in_row_, 0);
    if (starts > 0) {
        starts_most_ = starts / 2;
        row_full_since_ = now;
    }
}

// One start is tried again now and then, since the row may have become smaller.
bool flow_job::has_room_for_starts(instant now, std::size_t starts, std::size_t bytes_most) const
{
    const std::size_t most =
        starts_most_ == 0 && now - row_full_since_ >= flow_limits::unwritable_retry ? 1 : starts_most_;
    const std::size_t since = starts_since_ + starts;
    return !unwritable_ && since <= most && row_bytes_ + since * flow_limits::start_record_bytes <= bytes_most;
}

bool flow_job::is_unwritable(instant now) const
{
    return unwritable_ && unwritable_->changes == changes_ && now - unwritable_->found < flow_limits::unwritable_retry;
}

wire::flow_job_row flow_job::current_row() const
{
    wire::flow_job_row row = row_;
    row.finished = to_rows(finished_);
    add_finished_stages(row.stages);
    add_held_stages(row);
    return row;
}

wire::flow_job_row flow_job::index_row() const
{
    wire::flow_job_row row;
    row.cell = row_.cell;
    row.accepted_by = row_.accepted_by;
    row.accept_token = row_.accept_token;
    row.cancelled = row_.cancelled;
    row.started = row_.started;
    row.outcome = row_.outcome;
    return row;
}

// Adds the bits of finished occurrences, for entries of an earlier release: they would run them again.
void flow_job::add_finished_stages(std::vector<wire::flow_stage_row>& rows) const
{
    const auto steps = static_cast<std::int64_t>(spec_.steps.size());
    if (occurrences() * steps > stages_for_earlier_releases) {
        return;
    }
    for (const auto& [first, end] : finished_.spans()) {
        for (std::int64_t at = first * steps; at < end * steps; ++at) {
            wire::flow_stage_row s;
            s.occurrence = static_cast<std::int32_t>(at / steps);
            s.step = static_cast<std::int32_t>(at % steps);
            const std::int32_t count = spec_.steps[static_cast<std::size_t>(s.step)].count;
            s.done.assign(static_cast<std::size_t>((count + 7) / 8), '\0');
            for (std::int32_t i = 0; i < count; ++i) {
                set_bit(s.done, i);
            }
            rows.push_back(std::move(s));
        }
    }
}

// Beyond a number of stages no row for each of them is made, as these would take far more memory than the job.
void flow_job::add_held_stages(wire::flow_job_row& row) const
{
    std::optional<stage_joiner> joiner;
    for (const flow_stage& stage : stages_) {
        auto told = stage_row(stage);
        if (told && !joiner && row.stages.size() == stages_told_apart_most) {
            joiner.emplace(count_tasks_of_steps(spec_));
            for (const wire::flow_stage_row& earlier : row.stages) {
                joiner->add(earlier);
            }
        }
        if (told && joiner) {
            joiner->add(*told);
        }
        else if (told) {
            row.stages.push_back(std::move(*told));
        }
    }
    if (joiner) {
        joiner->move_into(row);
    }
}

// What is certain about the tasks of the stage; nothing if that is what any new stage would tell.
std::optional<wire::flow_stage_row> flow_job::stage_row(const flow_stage& stage)
{
    wire::flow_stage_row s;
    s.occurrence = stage.occurrence;
    s.step = stage.step;
    bool any = false;
    std::string bits((stage.tasks.size() + 7) / 8, '\0');
    for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
        const flow_task& task = stage.tasks[i];
        const auto index = static_cast<std::int32_t>(i);
        if (task.stage == flow_task_state::done) {
            set_bit(bits, index);
            any = true;
            continue;
        }
        if (task.home.moves > 0) {
            s.homes[index] = task.home;
            any = true;
        }
        if (task.start.run > 0) {
            s.starts[index] = task.start;
            any = true;
        }
        for (const run_number run : task.failed_runs) {
            s.failed_runs[index].push_back(run.value());
            any = true;
        }
        if (!task.crashes.empty()) {
            s.crashes[index] = task.crash_rows();
            any = true;
        }
        if (task.outlived > run_number(0)) {
            s.outlived[index] = task.outlived.value();
            any = true;
        }
        if (!task.checkpoint.empty()) {
            s.checkpoints[index] = task.checkpoint;
            any = true;
        }
    }
    s.done = bits;
    return any ? std::optional(std::move(s)) : std::nullopt;
}

} // namespace skylarkhub
