// The jobs of an owned cell: read once after a takeover, then changed in memory and written by the cell's commits.
#include <algorithm>

#include "cell_state_p.h"
#include "row_codec_p.h"

namespace skylarkhub::detail {

namespace {

constexpr std::int64_t ms_of(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

bool overdue(const cell_state& s, instant sent)
{
    return s.now - sent > config::read_patience;
}

bool jobs_read_due(const cell_state& s)
{
    return !s.jobs_read && s.now >= s.next_jobs_read && (!s.reading_jobs || overdue(s, s.jobs_read_sent));
}

bool inbox_read_due(const cell_state& s)
{
    const bool wanted = s.inbox_hinted || s.now >= s.next_inbox_read;
    return s.jobs_read && wanted && (!s.reading_inbox || overdue(s, s.inbox_read_sent));
}

// A start that has not left yet: nothing has to be stopped.
void drop_unsent(cell_state& s, cell_worker& worker, const task_id& task, attempt_number attempt)
{
    worker.ledger.remove(task, attempt);
    job_record* const job = find_job(s, task.job);
    if (job != nullptr) {
        job->unbind(task.index, s.now);
        touch(s, *job);
    }
}

} // namespace

job_record* find_job(cell_state& s, const job_id& job)
{
    const auto found = s.jobs.find(job);
    return found == s.jobs.end() ? nullptr : &found->second;
}

void touch(cell_state& s, const job_record& job)
{
    if (job.dirty()) {
        s.unwritten.insert(job.id());
    }
}

const work_kind* find_kind(const cell_state& s, const kind_id& kind)
{
    const auto found = std::find_if(s.settings.kinds.begin(), s.settings.kinds.end(),
                                    [&](const work_kind& k) { return k.id == kind; });
    return found == s.settings.kinds.end() ? nullptr : &*found;
}

void read_due(cell_state& s)
{
    if (!owns(s)) {
        return;
    }
    if (jobs_read_due(s)) {
        s.reading_jobs = true;
        s.jobs_read_sent = s.now;
        s.out->emplace_back(read_cell_jobs{});
    }
    if (inbox_read_due(s)) {
        s.reading_inbox = true;
        s.inbox_hinted = false;
        s.inbox_read_sent = s.now;
        s.next_inbox_read = s.now + config::inbox_scan_interval;
        s.inbox_removed_before = std::move(s.inbox_removed);
        s.inbox_removed.clear();
        s.out->emplace_back(read_cell_inbox{});
    }
}

void on_jobs_read(cell_state& s, const cell_jobs_read& event)
{
    if (!owns(s) || !s.reading_jobs || s.jobs_read) {
        return;
    }
    s.reading_jobs = false;
    if (!event.scan.complete) {
        s.next_jobs_read = s.now + config::commit_retry;
        return;
    }
    for (const table_row& row : event.scan.rows) {
        std::string reason = "removed";
        const auto decoded = row.value ? decode_row<wire::job_row>(*row.value, &reason) : std::nullopt;
        if (!decoded) {
            notice(s, "job_row_unreadable", row.key + ": " + reason);
            continue;
        }
        job_record job(*decoded, s.now);
        const job_id id = job.id();
        s.awaited.insert(id);
        note_suspects(s, job);
        s.jobs.insert_or_assign(id, std::move(job));
    }
    s.jobs_read = true;
    s.next_inbox_read = s.now;
    s.place_wanted = true;
}

// Tasks not bound are cancelled at once; a bound one ends when its worker says so.
void cancel_job(cell_state& s, job_record& job)
{
    job.cancel();
    touch(s, job);
    const duration grace = job.spec().is_service ? config::service_grace : duration(0);
    const std::vector<std::pair<std::int32_t, task_run>> runs(job.runs().begin(), job.runs().end());
    for (const auto& [index, run] : runs) {
        stop_run(s, task_id{job.id(), index}, run, grace);
    }
    end_if_done(s, job);
    s.place_wanted = true;
}

void stop_run(cell_state& s, const task_id& task, const task_run& run, duration grace)
{
    const auto worker = s.workers.find(run.worker);
    if (worker == s.workers.end()) {
        return;
    }
    ledger_entry* const entry = worker->second.ledger.find(task, run.attempt);
    if (entry != nullptr && entry->first_sent.value() == 0) {
        drop_unsent(s, worker->second, task, run.attempt);
        return;
    }
    if (entry == nullptr || entry->stage == entry_stage::ended || entry->stage == entry_stage::stopping) {
        return;
    }
    const bool drains = grace > duration(0) && entry->stage != entry_stage::starting;
    if (!drains) {
        entry->stage = entry_stage::stopping;
    }
    else if (entry->stage != entry_stage::draining) {
        entry->stage = entry_stage::draining;
        entry->checkpoint_wanted = !entry->persistent;
        entry->stop_at = s.now + grace;
        entry->checkpoint_sent = sequence_number();
    }
    wake_worker(s, run.worker);
}

void park_job(cell_state& s, job_record& job, const std::string& reason)
{
    if (job.count(task_phase::queued) == 0) {
        return;
    }
    job.park_queued(reason);
    touch(s, job);
    notice(s, "job_parked", job.id().str() + ": " + reason);
}

void end_if_done(cell_state& s, job_record& job)
{
    if (job.ended_ms() == 0 && job.ended()) {
        job.end(ms_of(s.wall.time_since_epoch()));
        touch(s, job);
    }
}

} // namespace skylarkhub::detail
