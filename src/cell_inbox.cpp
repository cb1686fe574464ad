// Instructions that entries leave for the owner. Each is durable and bound to this cell from the moment it is written,
// so it may be acted on as soon as it is read; the next commit folds it into the job rows and removes it.
#include <algorithm>

#include "cell_state_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub::detail {

namespace {

struct inbox_item {
    std::string key;
    std::optional<wire::inbox_row> row; // empty when it cannot be read
};

// Rows not folded yet. Those removed by a commit may still be shown by a scan that was on its way.
std::vector<inbox_item> read_items(const cell_state& s, const std::vector<table_row>& rows)
{
    std::vector<inbox_item> items;
    for (const table_row& row : rows) {
        const bool folded = s.inbox_folded.contains(row.key) || s.inbox_removed.contains(row.key) ||
                            s.inbox_removed_before.contains(row.key);
        if (!folded && row.value) {
            items.push_back({row.key, decode_row<wire::inbox_row>(*row.value)});
        }
    }
    return items;
}

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
    const auto& [where, added] = s.jobs.emplace(id, std::move(job));
    end_if_done(s, where->second);
    s.place_urgent = s.place_urgent || where->second.spec().urgency == urgency::urgent;
    touch(s, where->second);
    s.place_wanted = true;
}

void resume_job(cell_state& s, job_record& job)
{
    if (!job.cancelling()) {
        job.resume_parked(s.now);
        touch(s, job);
        s.place_wanted = true;
    }
}

// False when the row is about a job that this cell does not know. A scan is no snapshot: it may show a cancel and have
// missed the submit before it, so such a row waits for later scans.
bool fold(cell_state& s, const wire::inbox_row& row)
{
    if (row.__isset.cancel_job) {
        job_record* const job = find_job(s, job_id(row.cancel_job));
        if (job == nullptr) {
            return false;
        }
        if (!job->cancelling()) {
            cancel_job(s, *job);
        }
    }
    if (row.__isset.resume_job) {
        job_record* const job = find_job(s, job_id(row.resume_job));
        if (job == nullptr) {
            return false;
        }
        resume_job(s, *job);
    }
    return true;
}

bool waited_for(cell_state& s, const std::string& key, duration patience)
{
    const auto [seen, added] = s.inbox_waiting.try_emplace(key, s.now);
    if (added || s.now - seen->second <= patience) {
        return false;
    }
    s.inbox_waiting.erase(seen);
    return true;
}

} // namespace

void on_inbox_read(cell_state& s, const cell_inbox_read& event)
{
    if (!owns(s) || !s.reading_inbox) {
        return;
    }
    s.reading_inbox = false;
    if (!event.scan.complete) {
        s.next_inbox_read = s.now + config::commit_retry;
        return;
    }
    const bool first_scan = !s.inbox_read;
    const std::vector<inbox_item> items = read_items(s, event.scan.rows);
    // Submits first: the rows come in the order of their keys, and a cancel met before the job it names would be
    // dropped.
    for (const inbox_item& item : items) {
        if (item.row && item.row->__isset.submit) {
            submit_job(s, item.row->submit, first_scan);
        }
    }
    for (const inbox_item& item : items) {
        // A row that cannot be read may be the tombstone of an instruction whose write is still on its way: removed at
        // once, that write could land after all.
        const bool done = item.row ? fold(s, *item.row) || waited_for(s, item.key, config::unknown_job_kept)
                                   : waited_for(s, item.key, config::unreadable_kept);
        if (done) {
            s.inbox_folded.insert(item.key);
        }
    }
    s.inbox_read = true;
    if (first_scan) {
        take_unread_reports(s);
    }
    check_accounted(s);
}

} // namespace skylarkhub::detail
