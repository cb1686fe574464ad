// Instructions that entries leave for the owner. Each is durable and bound to this cell from the moment it is written,
// so it may be acted on as soon as it is read; the next commit folds it into the job rows and removes it.
#include "cell_state_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub::detail {

namespace {

void submit_job(cell_state& s, const wire::job_row& row, bool first_scan)
{
    const job_id id(row.job);
    if (!id.valid() || s.jobs.contains(id)) {
        return; // the same instruction once more
    }
    job_record job(row, s.now);
    job.submitted();
    // What stood in the inbox at the takeover may have been started from there by the owner before.
    if (first_scan && !s.accounted) {
        s.awaited.insert(id);
    }
    s.urgent_commit = s.urgent_commit || job.spec().urgency == urgency::urgent;
    const auto& [where, added] = s.jobs.emplace(id, std::move(job));
    touch(s, where->second);
    s.place_wanted = true;
}

void fold(cell_state& s, const wire::inbox_row& row, bool first_scan)
{
    if (row.__isset.submit) {
        submit_job(s, row.submit, first_scan);
    }
    if (row.__isset.cancel_job) {
        job_record* const job = find_job(s, job_id(row.cancel_job));
        if (job != nullptr && !job->cancelling()) {
            cancel_job(s, *job);
        }
    }
    if (row.__isset.resume_job) {
        job_record* const job = find_job(s, job_id(row.resume_job));
        if (job != nullptr && !job->cancelling()) {
            job->resume_parked(s.now);
            touch(s, *job);
            s.place_wanted = true;
        }
    }
}

// A row that cannot be read may be the tombstone of an instruction whose write is still on its way, so it stays for a
// while; removed at once, that write could land after all.
void keep_unreadable(cell_state& s, const std::string& key)
{
    const auto [seen, added] = s.inbox_unreadable.try_emplace(key, s.now);
    if (!added && s.now - seen->second > config::unreadable_kept) {
        s.inbox_folded.insert(key);
        s.inbox_unreadable.erase(seen);
    }
}

} // namespace

void on_inbox_read(cell_state& s, const cell_inbox_read& event)
{
    if (!owns(s) || !s.reading_inbox) {
        return;
    }
    s.reading_inbox = false;
    if (!event.scan.complete) {
        s.inbox_hinted = true;
        return;
    }
    const bool first_scan = !s.inbox_read;
    for (const table_row& row : event.scan.rows) {
        const bool done = s.inbox_folded.contains(row.key) || s.inbox_removed.contains(row.key) ||
                          s.inbox_removed_before.contains(row.key);
        if (done || !row.value) {
            continue;
        }
        const auto decoded = decode_row<wire::inbox_row>(*row.value);
        if (!decoded) {
            keep_unreadable(s, row.key);
            continue;
        }
        fold(s, *decoded, first_scan);
        s.inbox_folded.insert(row.key);
    }
    s.inbox_read = true;
    check_accounted(s);
}

} // namespace skylarkhub::detail
