#include "job_record_p.h"

#include <algorithm>
#include <utility>

#include "place_crash_p.h"

namespace skylarkhub::detail {

namespace {

// Attempts of one epoch: more than a task can be tried while one owner lasts.
constexpr std::int64_t attempts_per_epoch = 1 << 20;

task_phase parse_phase(wire::task_phase_row::type phase)
{
    switch (phase) {
    case wire::task_phase_row::finished:
        return task_phase::finished;
    case wire::task_phase_row::parked:
        return task_phase::parked;
    case wire::task_phase_row::cancelled:
        return task_phase::cancelled;
    case wire::task_phase_row::queued:
        break;
    }
    return task_phase::queued;
}

wire::task_phase_row::type format_phase(task_phase phase)
{
    switch (phase) {
    case task_phase::finished:
        return wire::task_phase_row::finished;
    case task_phase::parked:
        return wire::task_phase_row::parked;
    case task_phase::cancelled:
        return wire::task_phase_row::cancelled;
    case task_phase::queued:
    case task_phase::bound:
        break;
    }
    return wire::task_phase_row::queued;
}

void extend_spans(std::vector<wire::task_span_row>& spans, std::int32_t index, wire::task_phase_row::type phase)
{
    const bool joins =
        !spans.empty() && spans.back().phase == phase && spans.back().first + spans.back().count == index;
    if (joins) {
        ++spans.back().count;
        return;
    }
    wire::task_span_row span;
    span.__set_first(index);
    span.__set_count(1);
    span.__set_phase(phase);
    spans.push_back(std::move(span));
}

} // namespace

job_record::job_record(const wire::job_row& row, instant now)
    : id_(row.job),
      spec_(from_row(row.spec)),
      first_task_(row.first_task),
      accepted_ms_(row.accepted_ms),
      ended_ms_(row.ended_ms),
      cancelling_(row.cancelling),
      phases_(static_cast<std::size_t>(std::max(row.task_total, 0)), task_phase::queued),
      queued_since_(now)
{
    counts_[static_cast<std::size_t>(task_phase::queued)] = static_cast<std::int32_t>(phases_.size());
    for (const wire::task_row& task : expand_tasks(row)) {
        if (has(task.index)) {
            load_task(task, now);
        }
    }
}

void job_record::load_task(const wire::task_row& row, instant now)
{
    move(row.index, parse_phase(row.phase));
    if (!row.last_reason.empty()) {
        last_reason_ = row.last_reason;
    }
    if (row.phase == wire::task_phase_row::finished) {
        return;
    }
    const bool fresh = row.attempts_failed == 0 && row.attempt == 0 && row.checkpoint.empty() && row.crashes.empty();
    if (fresh && row.last_reason.empty()) {
        return;
    }
    task_past& past = past_[row.index];
    past.attempt = attempt_number(row.attempt);
    past.recorded = past.attempt;
    past.attempts_failed = row.attempts_failed;
    past.checkpoint = row.checkpoint;
    past.checkpoint_progress = row.checkpoint_progress;
    past.last_reason = row.last_reason;
    past.crashes = row.crashes;
    past.queued_since = now;
}

wire::job_row job_record::to_row() const
{
    wire::job_row row;
    row.__set_job(id_.str());
    row.__set_spec(skylarkhub::to_row(spec_));
    row.__set_first_task(first_task_);
    row.__set_task_total(static_cast<std::int32_t>(phases_.size()));
    row.__set_cancelling(cancelling_);
    row.__set_accepted_ms(accepted_ms_);
    row.__set_ended_ms(ended_ms_);
    for (std::size_t at = 0; at < phases_.size(); ++at) {
        const auto index = first_task_ + static_cast<std::int32_t>(at);
        const auto finished = finished_by_.find(index);
        const auto past = past_.find(index);
        if (finished != finished_by_.end()) {
            wire::task_row task;
            task.__set_index(index);
            task.__set_phase(wire::task_phase_row::finished);
            task.__set_attempt(finished->second.attempt.value());
            row.tasks.push_back(std::move(task));
        }
        else if (past != past_.end()) {
            row.tasks.push_back(describe_past(index, phases_[at], past->second));
        }
        else if (format_phase(phases_[at]) != wire::task_phase_row::queued) {
            extend_spans(row.spans, index, format_phase(phases_[at]));
        }
    }
    return row;
}

wire::task_row job_record::describe_past(std::int32_t index, task_phase phase, const task_past& past) const
{
    wire::task_row task;
    task.__set_index(index);
    task.__set_phase(format_phase(phase));
    task.__set_attempt(past.recorded.value());
    if (past.attempts_failed > 0) {
        task.__set_attempts_failed(past.attempts_failed);
    }
    if (!past.last_reason.empty()) {
        task.__set_last_reason(past.last_reason);
    }
    if (!past.checkpoint.empty() && phase != task_phase::cancelled) {
        task.__set_checkpoint(past.checkpoint);
        task.__set_checkpoint_progress(past.checkpoint_progress);
    }
    if (!past.crashes.empty()) {
        task.__set_crashes(past.crashes);
    }
    return task;
}

bool job_record::has(std::int32_t index) const
{
    return index >= first_task_ && slot(index) < phases_.size();
}

task_phase job_record::phase(std::int32_t index) const
{
    return phases_.at(slot(index));
}

bool job_record::ended() const
{
    return count(task_phase::queued) == 0 && count(task_phase::bound) == 0 && count(task_phase::parked) == 0;
}

task_run* job_record::run(std::int32_t index)
{
    const auto found = runs_.find(index);
    return found == runs_.end() ? nullptr : &found->second;
}

const task_past* job_record::past(std::int32_t index) const
{
    const auto found = past_.find(index);
    return found == past_.end() ? nullptr : &found->second;
}

attempt_number job_record::next_attempt(std::int32_t index, epoch e) const
{
    const task_past* const before = past(index);
    const std::int64_t above = before == nullptr ? 0 : before->attempt.value();
    return attempt_number(std::max(above, e.value() * attempts_per_epoch) + 1);
}

void job_record::move(std::int32_t index, task_phase to)
{
    task_phase& phase = phases_.at(slot(index));
    --counts_[static_cast<std::size_t>(phase)];
    ++counts_[static_cast<std::size_t>(to)];
    phase = to;
    if (to == task_phase::queued) {
        queued_from_ = std::min(queued_from_, slot(index));
    }
    while (queued_from_ < phases_.size() && phases_[queued_from_] != task_phase::queued) {
        ++queued_from_;
    }
}

void job_record::release(std::int32_t index, task_phase to, instant now)
{
    runs_.erase(index);
    move(index, to);
    task_past& past = past_[index];
    past.queued_since = now;
}

void job_record::bind(std::int32_t index, task_run run)
{
    task_past& past = past_[index];
    past.attempt = std::max(past.attempt, run.attempt);
    run.resumed_from = past.checkpoint_progress;
    runs_.insert_or_assign(index, std::move(run));
    move(index, task_phase::bound);
}

void job_record::unbind(std::int32_t index, instant now)
{
    release(index, cancelling_ ? task_phase::cancelled : task_phase::queued, now);
    if (cancelling_) {
        changed();
    }
}

void job_record::note_checkpoint(std::int32_t index, const std::string& key, double progress)
{
    if (key.empty()) {
        return;
    }
    task_past& past = past_[index];
    if (past.checkpoint == key ? past.checkpoint_progress == progress : past.checkpoint_progress > progress) {
        return;
    }
    past.checkpoint = key;
    past.checkpoint_progress = progress;
    checkpoint_unwritten_ = true;
}

// Once written, a finish needs no more than its phase: rows stay small while a job of many tasks runs.
void job_record::mark_written(std::uint64_t revision)
{
    written_ = revision;
    absl::erase_if(finished_by_, [&](const auto& finished) { return finished.second.revision <= revision; });
}

void job_record::write_checkpoints()
{
    if (checkpoint_unwritten_) {
        checkpoint_unwritten_ = false;
        changed();
    }
}

void job_record::finish(std::int32_t index, attempt_number attempt)
{
    past_.erase(index);
    runs_.erase(index);
    move(index, task_phase::finished);
    changed();
    finished_by_.insert_or_assign(index, finish_record{attempt, revision_});
}

std::int32_t job_record::fail(std::int32_t index, const std::string& reason, instant now)
{
    task_past& past = past_[index];
    const auto found = runs_.find(index);
    if (found != runs_.end()) {
        past.failed_on.push_back(found->second.worker);
    }
    ++past.attempts_failed;
    past.crashes.clear(); // it came to an end of its own
    past.recorded = past.attempt;
    past.last_reason = reason;
    last_reason_ = reason;
    release(index, cancelling_ ? task_phase::cancelled : task_phase::queued, now);
    changed();
    return past_[index].attempts_failed;
}

void job_record::requeue(std::int32_t index, const std::string& reason, instant now)
{
    task_past& past = past_[index];
    past.recorded = past.attempt;
    past.last_reason = reason;
    release(index, cancelling_ ? task_phase::cancelled : task_phase::queued, now);
    changed();
}

void job_record::note_crash(std::int32_t index, wire::crash_row crash)
{
    past_[index].crashes.push_back(std::move(crash));
    changed();
}

void job_record::forget_crashes(std::int32_t index)
{
    const auto found = past_.find(index);
    if (found != past_.end() && !found->second.crashes.empty()) {
        found->second.crashes.clear();
        changed();
    }
}

bool job_record::crashes_workers(std::int32_t index) const
{
    const task_past* const known = past(index);
    return known != nullptr && crashes_its_workers(known->crashes);
}

std::vector<std::int32_t> job_record::suspected() const
{
    std::vector<std::int32_t> indexes;
    for (const auto& [index, past] : past_) {
        if (must_start_alone(past.crashes)) {
            indexes.push_back(index);
        }
    }
    return indexes;
}

void job_record::park_queued(const std::string& reason)
{
    last_reason_ = reason;
    for (std::size_t at = queued_from_; at < phases_.size(); ++at) {
        if (phases_[at] == task_phase::queued) {
            move(first_task_ + static_cast<std::int32_t>(at), task_phase::parked);
        }
    }
    changed();
}

void job_record::cancel()
{
    cancelling_ = true;
    for (std::size_t at = 0; at < phases_.size(); ++at) {
        if (phases_[at] == task_phase::queued || phases_[at] == task_phase::parked) {
            move(first_task_ + static_cast<std::int32_t>(at), task_phase::cancelled);
        }
    }
    changed();
}

void job_record::resume_parked(instant now)
{
    for (std::size_t at = 0; at < phases_.size(); ++at) {
        if (phases_[at] != task_phase::parked) {
            continue;
        }
        const auto index = first_task_ + static_cast<std::int32_t>(at);
        move(index, task_phase::queued);
        const auto past = past_.find(index);
        if (past != past_.end()) {
            past->second.attempts_failed = 0;
            past->second.failed_on.clear();
            past->second.crashes.clear();
            past->second.queued_since = now;
        }
    }
    ended_ms_ = 0;
    changed();
}

void job_record::end(std::int64_t wall_ms)
{
    ended_ms_ = wall_ms;
    changed();
}

} // namespace skylarkhub::detail
