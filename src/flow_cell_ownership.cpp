// Ownership of a cell: watching its row, taking it over, renewing, losing and releasing it.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

std::int64_t whole_ms(duration d)
{
    return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

} // namespace

flow_cell::flow_cell(cell_id id, entry_identity self, const flow_edges& edges, flow_cell_hooks hooks)
    : id_(std::move(id)), self_(std::move(self)), edges_(edges), hooks_(std::move(hooks))
{}

// An owner that stood still, or that the table turned away, may have been followed without knowing. It sends nothing
// once its last renewal is older than a follower takes into account: else it would start anew, on workers that the
// follower cannot reach, what the follower starts elsewhere. While the table answers nobody there is no follower, and
// what runs is kept alive.
bool flow_cell::may_send_orders(instant now) const
{
    return role_ == role::owning && is_unfollowed(now, ownership_lease);
}

// Workers may be asked, and their leases renewed, also while the rows are read.
bool flow_cell::may_renew_leases(instant now) const
{
    return owns() && is_unfollowed(now, ownership_lease);
}

// A follower comes before its owner falls silent, and renews leases that the owner believes to have ended: what can be
// known only by the time that has passed is concluded while there can be no follower.
bool flow_cell::may_expire_leases(instant now) const
{
    return role_ == role::owning && is_unfollowed(now, owner_silence_local);
}

bool flow_cell::is_unfollowed(instant now, duration hold) const
{
    const duration age = now - renewed_;
    return age < hold || (age < ownership_lease_outage && hooks_.table_outage(now, renewed_));
}

void flow_cell::read_row(instant now)
{
    if (reading_row_) {
        return;
    }
    reading_row_ = true;
    row_read_at_ = now;
    edges_.read(single_row_range(cell_key(id_)), [this](instant then, const store_page& page) {
        reading_row_ = false;
        if (page.reached) {
            row_read_version_ = page.version;
            on_row_read(then, page.rows.empty() ? nullptr : &page.rows.front());
        }
    });
}

void flow_cell::on_row_read(instant now, const store_row* row)
{
    const row_version version = row == nullptr ? row_version(0) : row->version;
    if (row_known_ && version < row_version_) {
        return;
    }
    const bool changed = !row_known_ || version != row_version_;
    if (changed) {
        row_seen_at_ = now;
    }
    // A row that could not be read for a while may stand unchanged because its owner could not write it either: it is
    // given the time of a silence from now on.
    if (changed || now - row_answered_at_ > max_row_read_age) {
        row_unchanged_since_ = now;
    }
    row_answered_at_ = now;
    row_known_ = true;
    row_present_ = row != nullptr;
    row_version_ = version;
    row_read_at_ = now;
    if (row == nullptr) {
        return;
    }
    const auto decoded = read_flow_row<wire::flow_cell_row>(edges_, *row);
    if (!decoded) {
        return;
    }
    row_ = *decoded;
    const bool mine = row_.incarnation == self_.incarnation.str();
    if (owns() && (!mine || row_.epoch != epoch_.value())) {
        lose_ownership(now, "another entry has taken the cell");
    }
}

void flow_cell::tick(instant now, const cell_candidacy& candidacy)
{
    switch (role_) {
    case role::watching:
        consider_takeover(now, candidacy);
        return;
    case role::taking:
    case role::released:
        return;
    case role::reading:
    case role::owning:
        break;
    }
    if (now >= next_renewal_ && !acting_) {
        renew(now);
    }
    if (role_ != role::owning) {
        if (stopping_) {
            release(now); // reading on would keep the cell from an owner that may start tasks
        }
        return;
    }
    check_lapsed(now);
    if (now >= next_vacating_) {
        vacate_draining(now);
    }
    if (!workers_listed_since_takeover_ || isolated_task_waits_) {
        schedule_placement();
    }
    std::erase_if(recently_ended_jobs_, [&](const auto& job) { return now - job.second > ended_job_retention; });
    open_due_stages(now);
    if (now >= next_summary_) {
        next_summary_ = now + summary_interval;
        log_summary(now);
    }
    if (now >= next_waits_log_) {
        next_waits_log_ = now + waits_log_interval;
        log_waits(now);
    }
    if (now >= next_give_away_) {
        give_away_waiting(now);
    }
    if (stopping_) {
        release(now);
    }
}

void flow_cell::consider_takeover(instant now, const cell_candidacy& c)
{
    if (acting_ || c.leaving || stopping_) {
        return;
    }
    const auto read_if_older = [&](duration age) {
        if (!row_known_ || now - row_read_at_ >= age) {
            read_row(now);
            return true;
        }
        return false;
    };
    if (!row_known_) {
        read_if_older(row_read_interval);
        return;
    }
    const duration turn = candidate_stagger * c.rank + (c.same_data_centre ? duration(0) : 2 * candidate_stagger);
    const duration unchanged = now - row_unchanged_since_;
    const bool ours = row_present_ && row_.owner == self_.entry.str();
    if (ours && !row_.released) {
        take(now); // written by an earlier life of this entry, or by a write of ours whose answer was lost
        return;
    }
    if (!row_present_ || row_.released) {
        if (unchanged >= turn && !read_if_older(max_free_row_age)) {
            take(now);
        }
        return;
    }
    if (c.owner_leaving && read_if_older(leaving_row_interval)) {
        return; // it is about to release the row
    }
    if (c.owner_live) {
        // The first candidate knows the row itself: an owner that falls silent is followed 2.5 s after its last renewal
        // was seen, before the leases that it gave have ended.
        if (c.rank == 0 && c.same_data_centre) {
            read_if_older(row_watch_interval);
        }
        else {
            row_unchanged_since_ = now;
        }
        return;
    }
    if (c.owner_restarted) {
        // Its earlier life may have released the row. What is left of leases counts from when the row was first seen:
        // the sooner, the shorter the wait.
        if (c.rank <= 1 && read_if_older(leaving_row_interval)) {
            return;
        }
        if (unchanged >= restarted_grace + turn && !read_if_older(row_read_interval)) {
            take(now);
        }
        return;
    }
    if (read_if_older(row_read_interval)) {
        return;
    }
    const duration silence = c.same_data_centre ? owner_silence_local : owner_silence_remote;
    if (unchanged < silence + candidate_stagger * c.rank) {
        return;
    }
    if (c.same_data_centre) {
        take(now);
    }
    else {
        probe_then_take();
    }
}

// Puts `wanted` in force if the row still is as this entry knows it.
void flow_cell::write_row(const wire::flow_cell_row& wanted, std::function<void(instant, const store_result&)> done)
{
    store_transaction t;
    t.checks.push_back({cell_key(id_), row_version_});
    t.puts.push_back({cell_key(id_), encode_compact(wanted)});
    edges_.commit(std::move(t), std::move(done));
}

// A data centre that is cut off still has its owner, its workers and its callers: an entry outside that took the cell
// over could reach no worker, and when the cut heals everything there would change hands for nothing. So one that is
// outside must first reach a worker. The order is one that does nothing: its fencing token is the lowest.
void flow_cell::probe_then_take()
{
    if (workers_.empty()) {
        return;
    }
    acting_ = true;
    auto at = workers_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(row_read_at_.time_since_epoch().count() %
                                                 static_cast<std::int64_t>(workers_.size())));
    edges_.order(place_of(at->second), hold_worker{}, hold_timeout, [this](instant then, const order_answer& answer) {
        acting_ = false;
        const bool reached = answer.result != order_result::no_answer && answer.result != order_result::unhealthy;
        if (reached && role_ == role::watching) {
            take(then);
        }
    });
}

void flow_cell::take(instant now)
{
    acting_ = true;
    role_ = role::taking;
    wire::flow_cell_row wanted;
    wanted.epoch = row_present_ ? row_.epoch + 1 : 1;
    wanted.owner = self_.entry.str();
    wanted.incarnation = self_.incarnation.str();
    wanted.address = self_.address.str();
    fresh_ = !row_present_;
    wanted.starts_noted = fresh_ || row_.starts_noted;
    if (fresh_) {
        wanted.pending.up_to = row_read_version_.value(); // no job had been accepted for a cell without an owner
    }
    else {
        wanted.pending = row_.pending;
    }
    know_named(row_);
    // Whoever owned it before sends nothing any more if it released the row or was this entry. Where this life's own
    // name stems from a take whose answer was lost, the owner before that one counts on.
    const bool own_take = take_in_doubt_ && row_present_ && row_.incarnation == self_.incarnation.str();
    const bool certainly_gone = fresh_ || row_.released || row_.owner == self_.entry.str();
    if (!own_take) {
        old_owner_silent_ = certainly_gone ? now : std::max(now, row_seen_at_ + ownership_lease);
    }
    bound_inherited(row_);
    wanted.workers = tell_workers(now, false);
    renewed_ = now;
    write_row(wanted, [this, wanted](instant then, const store_result& result) {
        acting_ = false;
        on_taken(then, wanted, result);
    });
}

void flow_cell::on_taken(instant now, const wire::flow_cell_row& wanted, const store_result& result)
{
    if (result.outcome != table_outcome::applied) {
        role_ = role::watching;
        if (result.outcome == table_outcome::conflict) {
            on_row_read(now, result.rows.empty() ? nullptr : &result.rows.front());
        }
        else {
            row_known_ = false; // read it again: the write may be in force
            take_in_doubt_ = true;
        }
        edges_.note(log_level::info, "cell", "take_failed", {{"cell", id_.str()}, {"reason", result.reason}});
        return;
    }
    take_in_doubt_ = false;
    row_ = wanted;
    note_named(wanted);
    row_present_ = true;
    row_version_ = result.version;
    row_seen_at_ = now;
    row_unchanged_since_ = now;
    epoch_ = skylarkhub::epoch(wanted.epoch);
    role_ = role::reading;
    taken_at_ = now;
    workers_listed_since_takeover_ = false;
    next_renewal_ = now + renew_interval;
    ++ownership_generation_;
    ++stats_.takeovers;
    edges_.note(log_level::info, "cell", "taken",
                {{"cell", id_.str()}, {"epoch", std::to_string(wanted.epoch)}, {"fresh", fresh_ ? "yes" : "no"}});
    // Failure: the rows of many jobs take a small entry several seconds. Symptom: nobody renews a lease meanwhile, and
    // all that runs in the cell lapses. So the workers are asked from now on; what they tell waits for the rows.
    for (auto& [id, w] : workers_) {
        schedule_hold(now, id, duration(0));
    }
    read_all_jobs(now);
}

// After a loss of all entries every owner reads its jobs at once. With all parts asked for together, each page took
// longer over the narrow link of a small entry than it is waited for, and was asked for anew: cells had no owner for
// 17 s. A few small pages at a time arrive, and one that does not is asked for again from where it begins.
void flow_cell::read_all_jobs(instant now)
{
    watched_at_ = now;
    parts_left_ = job_parts;
    next_part_ = 0;
    read_rows_.clear();
    for (auto& [part, state] : parts_) {
        state.read = false;
    }
    watched_ = row_version(std::numeric_limits<std::int64_t>::max());
    for (int i = 0; i < job_read_concurrency; ++i) {
        begin_part();
    }
}

// The fence first: what the owner before writes is in force before the rows are read, or never.
void flow_cell::begin_part()
{
    if (next_part_ == job_parts) {
        return;
    }
    const std::string part = job_part(next_part_++);
    if (parts_[part].fence) {
        read_part(part, news_table, "");
    }
    else {
        fence_part(part, row_version(0));
    }
}

void flow_cell::fence_part(const std::string& part, row_version known)
{
    wire::flow_fence_row row;
    row.epoch = epoch_.value();
    const store_key key = fence_key(id_, part);
    store_transaction t;
    t.checks.push_back({key, known});
    t.puts.push_back({key, encode_compact(row)});
    edges_.commit(std::move(t), [this, part, life = ownership_generation_](instant then, const store_result& result) {
        if (life == ownership_generation_) {
            on_fenced(then, part, result);
        }
    });
}

void flow_cell::on_fenced(instant now, const std::string& part, const store_result& result)
{
    part_state& state = parts_[part];
    if (result.outcome == table_outcome::applied) {
        use_fence(now, part, result.version);
        return;
    }
    if (result.outcome != table_outcome::conflict) {
        state.backoff = std::clamp<duration>(state.backoff * 2, commit_retry, commit_retry_max);
        edges_.after(state.backoff, [this, part, life = ownership_generation_](instant) {
            if (life == ownership_generation_) {
                fence_part(part, row_version(0));
            }
        });
        return;
    }
    // It shows the epoch of an owner before, or this owner's own if an answer was lost.
    const auto there =
        result.rows.empty() ? std::nullopt : read_flow_row<wire::flow_fence_row>(edges_, result.rows.front());
    const row_version version = result.rows.empty() ? row_version(0) : result.rows.front().version;
    const std::int64_t epoch_there = there ? there->epoch : 0;
    if (epoch_there > epoch_.value()) {
        lose_ownership(now, "a later owner has fenced part " + part);
    }
    else if (epoch_there == epoch_.value() && version != state.fence_in_doubt) {
        use_fence(now, part, version);
    }
    else {
        fence_part(part, version);
    }
}

void flow_cell::use_fence(instant now, const std::string& part, row_version version)
{
    part_state& state = parts_[part];
    if (state.fence) {
        state.fence = std::max(*state.fence, version); // it was written twice at the same time
        return;
    }
    state.fence = version;
    state.backoff = duration(0);
    if (state.read) {
        commit_soon(now, part, duration(0));
    }
    else if (fresh_) {
        watched_ = std::min(watched_, version); // nobody has told a cell anything that had no owner yet
        end_part(now, part);
    }
    else {
        read_part(part, news_table, "");
    }
}

// Failure: the answer to a write is lost, and the write comes into force seconds later. Symptom: a row that was removed
// with its job's end is there again as it was before, and the next owner runs the job anew. Checked against a fence
// that is no longer there, it never comes into force.
void flow_cell::fence_anew(const std::string& part)
{
    part_state& state = parts_[part];
    state.fence_in_doubt = state.fence.value_or(state.fence_in_doubt);
    state.fence.reset();
    fence_part(part, state.fence_in_doubt);
}

void flow_cell::read_part(const std::string& part, const char* table, const std::string& from)
{
    store_range range = cell_rows(table, id_, part);
    range.from = from.empty() ? range.from : from;
    range.rows_most = job_page_rows;
    edges_.read(range, [this, part, table, from, life = ownership_generation_](instant then, const store_page& page) {
        if (life != ownership_generation_) {
            return;
        }
        if (!page.reached) {
            edges_.after(commit_retry, [this, part, table, from, life](instant) {
                if (life == ownership_generation_) {
                    read_part(part, table, from);
                }
            });
            return;
        }
        on_part_read(then, part, table, page);
    });
}

void flow_cell::on_part_read(instant now, const std::string& part, const char* table, const store_page& page)
{
    watched_ = std::min(watched_, page.version);
    for (const store_row& row : page.rows) {
        if (!is_fence(row.key)) {
            read_rows_[part][parse_job_row_key(row.key).job].push_back(row);
        }
    }
    if (page.more && !page.rows.empty()) {
        read_part(part, table, page.rows.back().key.key + '\0');
        return;
    }
    if (table == std::string_view(news_table)) {
        read_part(part, jobs_table, "");
        return;
    }
    end_part(now, part);
}

void flow_cell::end_part(instant now, const std::string& part)
{
    parts_[part].read = true;
    take_part(now, part);
    begin_part();
    if (--parts_left_ == 0 && role_ == role::reading) {
        become_owner(now);
    }
}

// Of a job without a row of this cell only that it was accepted shows that it goes on: news of another cell may have
// come after its end.
void flow_cell::take_part(instant now, const std::string& part)
{
    const auto rows = read_rows_.extract(part);
    if (rows.empty()) {
        return;
    }
    for (const auto& [job, of_job] : rows.mapped()) {
        const bool goes_on = std::any_of(of_job.begin(), of_job.end(), [this](const store_row& row) {
            const job_row_name name = parse_job_row_key(row.key);
            return name.is_own() || name == accepted_row(id_, name.job);
        });
        if (goes_on || jobs_.count(job) != 0) {
            process_job_rows(now, job, of_job);
        }
        else {
            read_unknown_job(job);
        }
    }
}

void flow_cell::become_owner(instant now)
{
    role_ = role::owning;
    takeover_scan_version_ = watched_;
    unreconciled_jobs_.clear();
    if (!fresh_) {
        for (const auto& [id, job] : jobs_) {
            unreconciled_jobs_.insert(id);
        }
    }
    fresh_ = false; // a part that is fenced anew from now on is read
    const duration wait = std::max<duration>(duration(0), old_owner_silent_ - now);
    edges_.note(log_level::info, "cell", "owned",
                {{"cell", id_.str()},
                 {"epoch", std::to_string(epoch_.value())},
                 {"jobs", std::to_string(jobs_.size())},
                 {"workers", std::to_string(workers_.size())},
                 {"awaited", std::to_string(unreconciled_jobs_.size())},
                 {"owner_before_silent_in_ms", std::to_string(wait.count() / 1000)}});
    for (auto& [id, job] : jobs_) {
        if (job->dirty()) {
            mark_job_dirty(now, *job, true);
        }
        if (job->cancelled() || job->ended()) {
            continue;
        }
        job->open_stages(now, edges_.wall());
        index_ready(*job);
        end_if_decided(now, *job);
    }
    // The owner before no longer named such a worker: it had heard of its end.
    charge_noted(now, [this](const worker_id& id) { return workers_.count(id) == 0; });
    process_buffered_inventories(now);
    for (auto& [id, w] : workers_) {
        schedule_hold(now, id, duration(0));
    }
    schedule_placement();
}

// The names of the workers for the cell's row, with what a follower need not find out again.
//
// Failure: a worker is gone with its tasks, and its owner is followed before their leases have ended. Symptom: the
// follower waits for a whole lease from its own takeover, and the next one again: where entries are restarted in turn,
// tasks that last stand still for ten seconds and more. So the row tells how long leases may still last on a worker
// that does not answer. That holds because the owner gives it no other one until the row no longer says so.
std::vector<wire::flow_worker_name> flow_cell::tell_workers(instant now, bool releasing)
{
    // Said while the table is away it could not be taken back: the worker would be given no lease when it answers
    // again.
    const bool table_answers = now - renewed_ < 2 * renew_interval;
    std::vector<wire::flow_worker_name> names;
    for (auto& [id, w] : workers_) {
        if (w.listing.draining && w.fenced && w.ledger.empty()) {
            continue; // nothing runs there, and nothing is started there any more: a follower need not ask it
        }
        wire::flow_worker_name name;
        name.worker = id.str();
        name.address = w.listing.address.str();
        name.silent =
            (table_answers && w.silent >= max_unanswered_holds) || (w.published_silent && !w.has_accepted_epoch());
        w.published_silent = w.published_silent || name.silent;
        if (name.silent || releasing) {
            name.lease_left_ms = whole_ms(std::max(duration(0), w.lapsed_after - now));
        }
        names.push_back(std::move(name));
    }
    return names;
}

void flow_cell::note_named(const wire::flow_cell_row& row)
{
    for (auto& [id, w] : workers_) {
        w.named = false;
        w.published_silent = false;
    }
    for (const wire::flow_worker_name& name : row.workers) {
        const auto at = workers_.find(worker_id(name.worker));
        if (at != workers_.end()) {
            at->second.named = true;
            at->second.published_silent = name.silent;
        }
    }
}

// Workers that the owner before may have started tasks on. The platform's list loses workers that it has not heard
// from, while they run on; a taker that went by the list alone would start their tasks a second time.
void flow_cell::know_named(const wire::flow_cell_row& row)
{
    for (auto& [id, w] : workers_) {
        w.published_silent = false;
    }
    for (const wire::flow_worker_name& name : row.workers) {
        const auto [at, added] = workers_.try_emplace(worker_id(name.worker));
        at->second.inherited = true;
        at->second.published_silent = name.silent;
        if (added) {
            at->second.listing.worker = worker_id(name.worker);
            at->second.listing.address = net_address(name.address);
        }
    }
}

// By when every lease on them has certainly ended: a lease after the owner before sent its last word, or sooner where
// the row tells so.
void flow_cell::bound_inherited(const wire::flow_cell_row& row)
{
    for (auto& [id, w] : workers_) {
        if (w.inherited) {
            w.lapsed_after = old_owner_silent_ + certainly(lease);
        }
    }
    for (const wire::flow_worker_name& name : row.workers) {
        if (name.lease_left_ms >= 0) {
            workers_.at(worker_id(name.worker)).lapsed_after =
                row_seen_at_ + std::chrono::milliseconds(name.lease_left_ms);
        }
    }
}

void flow_cell::renew(instant now)
{
    acting_ = true;
    wire::flow_cell_row wanted = row_;
    ++wanted.renewals;
    wanted.workers = tell_workers(now, false);
    wanted.pending = pending_row(now);
    wanted.starts_noted = wanted.starts_noted || starts_are_noted(now);
    write_row(wanted,
              [this, wanted, sent = now, life = ownership_generation_](instant then, const store_result& result) {
                  if (life != ownership_generation_) {
                      return;
                  }
                  acting_ = false;
                  if (result.outcome == table_outcome::applied) {
                      row_ = wanted;
                      note_named(wanted);
                      row_version_ = result.version;
                      row_seen_at_ = then;
                      renewed_ = sent;
                      next_renewal_ = then + renew_interval;
                      return;
                  }
                  next_renewal_ = then + renew_retry;
                  if (result.outcome == table_outcome::conflict) {
                      // Either another entry has the cell, or an earlier renewal of ours is in force although its
                      // answer was lost.
                      on_row_read(then, result.rows.empty() ? nullptr : &result.rows.front());
                  }
              });
}

void flow_cell::lose_ownership(instant now, const std::string& reason)
{
    edges_.note(log_level::warning, "cell", "lost",
                {{"cell", id_.str()}, {"epoch", std::to_string(epoch_.value())}, {"reason", reason}});
    ++stats_.ownership_losses;
    leave_unwritten_ends();
    ++ownership_generation_;
    role_ = role::watching;
    acting_ = false;
    row_unchanged_since_ = now;
    jobs_.clear();
    loads_.clear();
    demand_.clear();
    ready_.clear();
    ready_keys_.clear();
    unreconciled_jobs_.clear();
    timed_jobs_.clear();
    recently_ended_jobs_.clear();
    parts_.clear();
    job_reads_in_flight_.clear();
    read_rows_.clear();
    recent_crashes_.clear();
    lapsed_workers_.clear();
    isolated_task_waits_ = false;
    placement_scheduled_ = false;
    for (auto& [id, w] : workers_) {
        const flow_listed_worker listing = w.listing;
        const bool listed = w.listed;
        w = cell_worker{};
        w.listing = listing;
        w.listed = listed;
    }
}

void flow_cell::plan_stop(instant now)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    if (!owns()) {
        return;
    }
    stop_planned_at_ = now;
    for (auto& [part, state] : parts_) {
        if (!state.dirty.empty()) {
            commit_soon(now, part, duration(0));
        }
    }
}

// Nothing is left to be written or heard that a follower would have to find out. A start on a worker that does not
// answer is not waited for: the row tells how long it may go on there.
bool flow_cell::is_settled() const
{
    const auto is_heard_of = [this](const live_run& run) {
        const auto at = workers_.find(run.worker);
        return run.confirmed || at == workers_.end() || at->second.silent > 0;
    };
    for (const auto& [id, job] : jobs_) {
        for (const flow_stage& stage : job->stages()) {
            for (const flow_task& task : stage.tasks) {
                if (!std::all_of(task.runs.begin(), task.runs.end(), is_heard_of)) {
                    return false;
                }
            }
        }
    }
    return std::all_of(parts_.begin(), parts_.end(), [](const auto& p) { return p.second.is_settled(); });
}

void flow_cell::release(instant now)
{
    if (acting_ || (!is_settled() && now - stop_planned_at_ < stop_drain_timeout)) {
        return;
    }
    wire::flow_cell_row wanted = row_;
    wanted.released = true;
    wanted.workers = tell_workers(now, true);
    wanted.pending = pending_row(now);
    ++ownership_generation_; // from here on nothing is sent to a worker
    role_ = role::released;
    write_release(wanted);
}

void flow_cell::write_release(const wire::flow_cell_row& wanted)
{
    acting_ = true;
    write_row(wanted, [this, wanted](instant then, const store_result& result) { on_released(then, wanted, result); });
}

// A renewal whose answer was lost may be in force: then the release is written over that. Without it the cell would be
// followed as if its owner had been killed.
void flow_cell::on_released(instant now, const wire::flow_cell_row& wanted, const store_result& result)
{
    acting_ = false;
    if (result.outcome == table_outcome::conflict && !result.rows.empty()) {
        on_row_read(now, &result.rows.front());
        const bool own = row_.incarnation == self_.incarnation.str() && row_.epoch == wanted.epoch && !row_.released;
        if (own) {
            write_release(wanted);
            return;
        }
    }
    edges_.note(log_level::info, "cell", "released", {{"cell", id_.str()}, {"reason", result.reason}});
}

// --- jobs that wait ---

std::optional<timestamped_count> flow_cell::count_pending(instant now) const
{
    if (!job_watch_version() || !may_renew_leases(now)) {
        return std::nullopt;
    }
    timestamped_count counted{{{}, watched_}, watched_at_, {}};
    for (const auto& [id, job] : jobs_) {
        if (job->is_home_cell() && !job->begun() && !job->cancelled() && !job->ended()) {
            ++(job->accepted_at() <= watched_ ? counted.count.jobs : counted.newer)[job->row().queue];
        }
    }
    return counted;
}

// Failure: owners of a cell follow each other faster than one of them reads its rows, so that none can count the jobs
// that wait. Symptom: nobody knows how many there are. So the last count goes from owner to owner with the cell's row.
wire::flow_pending_row flow_cell::pending_row(instant now) const
{
    const auto own = count_pending(now);
    const auto heard = own ? std::optional(own->count) : hooks_.reported_pending_count(id_);
    return heard && heard->up_to.value() >= row_.pending.up_to ? to_row(*heard) : row_.pending;
}

std::optional<row_version> flow_cell::job_watch_version() const
{
    return role_ == role::owning && parts_left_ == 0 ? std::optional(watched_) : std::nullopt;
}

void flow_cell::on_job_watch_advanced(row_version after, row_version up_to, std::optional<instant> asked)
{
    if (job_watch_version() && watched_ >= after) {
        watched_ = std::max(watched_, up_to);
        watched_at_ = std::max(watched_at_, asked.value_or(watched_at_));
    }
}

void flow_cell::on_news_read(instant asked)
{
    if (job_watch_version()) {
        watched_at_ = std::max(watched_at_, asked);
    }
}

void flow_cell::on_job_history_compacted(instant now)
{
    if (job_watch_version()) {
        read_all_jobs(now);
    }
}

} // namespace skylarkhub
