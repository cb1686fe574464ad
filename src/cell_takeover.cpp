// Who owns the cell: watching its row, taking it over, accounting for what ran under earlier epochs, handing it over.
#include <algorithm>

#include "cell_state_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub::detail {

namespace {

// An entry further down the ranking waits this much longer for each place, so that takers rarely race.
constexpr duration rank_stagger = std::chrono::milliseconds(700);

duration read_interval(const cell_state& s)
{
    const bool near = !s.seen.known || !s.seen.present || s.seen.row.handed_over || is_deputy(s) ||
                      rank(s).value_or(s.settings.deputies + 1) <= s.settings.deputies;
    return near ? s.settings.renew_interval : s.settings.renew_interval * config::watch_reads_far;
}

void read_row(cell_state& s)
{
    s.reading_row = true;
    s.row_read_sent = s.now;
    s.next_row_read = s.now + read_interval(s);
    s.out->emplace_back(read_cell_row{});
}

// How long the row must have stood as it stands before this entry may take the cell; empty: not at all for now.
std::optional<duration> patience(const cell_state& s)
{
    const std::optional<int> place = rank(s);
    if (!place) {
        return std::nullopt;
    }
    const duration stagger = *place * rank_stagger;
    if (!s.seen.present || s.seen.row.handed_over) {
        return stagger;
    }
    const duration hold = certainly(s, s.settings.hold);
    const duration orphan = certainly(s, s.settings.orphan);
    const bool may_after_hold = is_deputy(s) || s.seen.row.deputies.empty();
    if (may_after_hold && s.now - s.up_since >= hold) {
        return hold + stagger;
    }
    return orphan + stagger;
}

bool may_take(const cell_state& s)
{
    if (s.stop_planned || !s.seen.known) {
        return false;
    }
    if (s.now < s.hold.promised_by_us && s.seen.present && !s.seen.row.handed_over) {
        return false;
    }
    const std::optional<duration> wait = patience(s);
    // The last successful read, not the clock alone, must have shown the row unrenewed: while the table is out, the
    // owner cannot renew either, and time alone says nothing about it.
    return wait && s.seen.read_at - s.seen.unrenewed_since >= *wait;
}

void forget_ownership(cell_state& s)
{
    s.held = false;
    s.jobs_read = false;
    s.inbox_read = false;
    s.reading_jobs = false;
    s.reading_inbox = false;
    s.accounted = false;
    s.workers_named.clear();
    s.jobs.clear();
    s.unwritten.clear();
    s.awaited.clear();
    s.recent_crashes.clear();
    s.suspects.clear();
    s.inbox_folded.clear();
    s.inbox_removed.clear();
    s.inbox_removed_before.clear();
    s.inbox_waiting.clear();
    s.ends.clear();
    s.hold.promised_to_us.clear();
    s.hold.ever_renewed = false;
    std::erase_if(s.workers, [](const auto& worker) { return !worker.second.listed; });
    for (auto& [id, worker] : s.workers) {
        const listed_worker listing = worker.listing;
        worker = cell_worker{};
        worker.listing = listing;
        worker.listed = true;
        worker.capacity = listing.capacity;
        worker.leaving = listing.leaving;
    }
}

} // namespace

bool owns(const cell_state& s)
{
    return s.role == cell_role::fencing || s.role == cell_role::owning || s.role == cell_role::handing_over;
}

bool is_deputy(const cell_state& s)
{
    const auto& deputies = s.seen.row.deputies;
    return s.seen.present && std::find(deputies.begin(), deputies.end(), s.self.str()) != deputies.end();
}

void watch(cell_state& s)
{
    if (owns(s) || s.commit.phase != commit_phase::idle) {
        return;
    }
    if (may_take(s)) {
        commit_takeover(s);
        return;
    }
    const bool answer_overdue = s.now - s.row_read_sent > config::read_patience;
    if (s.now >= s.next_row_read && (!s.reading_row || answer_overdue)) {
        read_row(s);
    }
}

void note_row(cell_state& s, const table_row& row)
{
    std::optional<wire::cell_row> decoded;
    if (row.value) {
        decoded = decode_row<wire::cell_row>(*row.value);
    }
    const bool moved = !s.seen.known || s.seen.version != row.version;
    s.seen.known = true;
    s.seen.present = decoded.has_value();
    s.seen.row = decoded.value_or(wire::cell_row());
    s.seen.version = row.version;
    s.seen.read_at = s.now;
    if (moved) {
        s.seen.unrenewed_since = s.now;
    }
}

void on_row_seen(cell_state& s, const cell_row_seen& event)
{
    s.reading_row = false;
    if (s.commit.phase == commit_phase::reading_back) {
        if (event.reached) {
            settle_by_row(s, event.row);
        }
        else {
            s.commit.phase = commit_phase::waiting;
            s.commit.retry_at = s.now + config::commit_retry;
        }
        return;
    }
    if (event.reached && !owns(s) && s.commit.phase == commit_phase::idle) {
        note_row(s, event.row);
    }
}

void become_owner(cell_state& s)
{
    forget_ownership(s);
    s.role = cell_role::fencing;
    s.epoch = skylarkhub::epoch(s.seen.row.epoch);
    s.taken_at = s.now;
    s.workers_named.clear();
    for (const std::string& name : s.seen.row.workers) {
        s.workers_named.insert(worker_id(name));
    }
    s.next_jobs_read = s.now;
    s.next_inbox_read = s.now;
    s.next_checkpoint_record = s.now + config::checkpoint_record_interval;
    s.names_changed = true;
    for (const auto& [id, worker] : s.workers) {
        wake_worker(s, id);
    }
    s.next_checkpoint_turn = s.now;
    ++s.stats.takeovers;
    if (s.stop_planned) {
        s.role = cell_role::handing_over;
    }
    notice(s, "cell_taken", s.id.str() + " epoch " + std::to_string(s.epoch.value()));
}

void become_watcher(cell_state& s, const std::string& reason)
{
    notice(s, "cell_lost", s.id.str() + ": " + reason);
    forget_ownership(s);
    s.role = cell_role::watching;
    s.next_row_read = s.now;
}

// Starts are not written, so a new owner knows what runs from the workers alone. Only workers named in the row can hold
// tasks of an earlier epoch. When each has accepted this epoch, their inventories are the whole truth; failing that,
// every lease an earlier owner can have given is over one lease length after the takeover, because it gave none later.
void check_accounted(cell_state& s)
{
    if (s.accounted || !s.jobs_read || !s.inbox_read) {
        return;
    }
    const bool all_fenced =
        std::all_of(s.seen.row.workers.begin(), s.seen.row.workers.end(), [&](const std::string& name) {
            const auto found = s.workers.find(worker_id(name));
            return found != s.workers.end() && found->second.fenced;
        });
    if (!all_fenced && s.now < s.taken_at + certainly(s, s.settings.lease_length)) {
        return;
    }
    s.accounted = true;
    s.awaited.clear();
    if (s.role == cell_role::fencing) {
        s.role = cell_role::owning;
    }
    for (auto& [id, job] : s.jobs) {
        if (job.cancelling()) {
            cancel_job(s, job);
        }
    }
    s.place_wanted = true;
    notice(s, "cell_accounted", s.id.str() + (all_fenced ? ": every worker answered" : ": leases are over"));
}

void plan_stop(cell_state& s)
{
    s.stop_planned = true;
    s.stop_planned_at = s.now;
    if (owns(s)) {
        s.role = cell_role::handing_over;
        // A last renewal, so that leases last until the next owner gives its own.
        for (auto& [id, worker] : s.workers) {
            wake_worker(s, id);
        }
    }
}

void finish_stop(cell_state& s)
{
    const bool clear = !owns(s) && s.commit.phase == commit_phase::idle;
    if (s.stop_planned && !s.stop_announced && clear) {
        s.stop_announced = true;
        s.out->emplace_back(cell_handed_over{});
    }
}

} // namespace skylarkhub::detail
