// Ownership of a cell: watching its row in the table, taking the cell over, renewing, losing and releasing ownership.
//
// The row names the owner, its epoch and its workers. An owner that does not renew the row in time is followed by
// another entry, which writes a higher epoch.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

std::int64_t ceil_to_ms(duration d)
{
    return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

} // namespace

flow_cell::flow_cell(cell_id id, entry_identity self, const flow_edges& edges, flow_cell_hooks hooks,
                     std::size_t row_bytes_most)
    : id_(std::move(id)),
      self_(std::move(self)),
      edges_(edges),
      hooks_(std::move(hooks)),
      row_bytes_most_(row_bytes_most)
{}

// Whether this owner may send commands to workers. An owner that was suspended, or whose renewals the table refuses,
// may have been followed without noticing. It therefore sends nothing once its last renewal is older than
// ownership_lease, which a follower allows for. Otherwise it could start again, on workers that the follower cannot
// reach, tasks that the follower has started elsewhere. While the table answers no entry there can be no follower, and
// the runs are kept alive.
bool flow_cell::may_send_orders(instant now) const
{
    return role_ == role::owning && is_unfollowed(now, ownership_lease);
}

bool flow_cell::may_send_starts(instant now) const
{
    return may_send_orders(now) && hooks_.start_permission(now) == start_permission::allowed;
}

bool flow_cell::is_evacuated(instant now) const
{
    return hooks_.start_permission(now) == start_permission::evacuated;
}

void flow_cell::on_evacuation_changed(instant now)
{
    next_handoff_pass_ = now;
    schedule_placement();
}

// Whether this owner may hold workers and so renew their leases, and stop runs. It may do so while the rows of the jobs
// are still being read.
bool flow_cell::may_renew_leases(instant now) const
{
    return owns() && is_unfollowed(now, ownership_lease);
}

// Whether this owner may conclude from elapsed time alone that a lease has ended. A follower may take the cell before
// this owner stops sending, and renew leases that this owner takes for expired; so such conclusions are drawn only
// while there can be no follower.
bool flow_cell::may_expire_leases(instant now) const
{
    return role_ == role::owning && is_unfollowed(now, owner_silence_local);
}

bool flow_cell::is_unfollowed(instant now, duration max_renewal_age) const
{
    const duration age = now - renewed_;
    return age < max_renewal_age || (age < ownership_lease_outage && hooks_.table_outage(now, renewed_));
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
    // A row that could not be read for a while may be unchanged because its owner could not write it either. The time
    // of silence after which the owner counts as gone therefore starts now.
    if (changed || now - row_read_succeeded_at_ > max_row_read_age) {
        row_unchanged_since_ = now;
    }
    row_read_succeeded_at_ = now;
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
    const bool owned_by_this_incarnation = row_.incarnation == self_.incarnation.str();
    if (owns() && (!owned_by_this_incarnation || row_.epoch != epoch_.value())) {
        lose_ownership(now, "another entry has taken the cell");
    }
    else if (owns()) {
        find_unanswered_renewal(now, row->value);
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
    if (now >= next_renewal_ && !row_request_in_flight_) {
        renew(now);
    }
    if (role_ != role::owning) {
        if (stopping_) {
            release(now); // while this entry reads the rows, no owner starts tasks in the cell
        }
        return;
    }
    check_lapsed(now);
    drop_expired_promises(now);
    if (now >= next_drain_pass_) {
        drain_workers(now);
    }
    const auto permission = hooks_.start_permission(now);
    if (!workers_listed_since_takeover_ || isolated_task_waits_ || permission != permission_at_tick_) {
        permission_at_tick_ = permission;
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
        log_waiting_tasks(now);
    }
    if (now >= next_handoff_pass_) {
        hand_off_waiting_tasks(now);
    }
    if (stopping_) {
        release(now);
    }
}

void flow_cell::consider_takeover(instant now, const cell_candidacy& c)
{
    if (row_request_in_flight_ || c.leaving || stopping_) {
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
    const duration candidate_delay =
        candidate_stagger * c.rank + (c.same_data_centre ? duration(0) : 2 * candidate_stagger);
    const duration unchanged = now - row_unchanged_since_;
    const bool owned_by_this_entry = row_present_ && row_.owner == self_.entry.str();
    if (owned_by_this_entry && !row_.released) {
        take(now); // written by an earlier incarnation of this entry, or by a take of this one whose answer was lost
        return;
    }
    if (!row_present_ || row_.released) {
        if (unchanged >= candidate_delay && !read_if_older(max_free_row_age)) {
            take(now);
        }
        return;
    }
    if (c.owner_leaving && read_if_older(leaving_row_interval)) {
        return; // the owner is about to release the row
    }
    if (c.owner_live) {
        // The first candidate watches the row even while the owner answers its peers: an owner that stops renewing is
        // followed 2.5 s after its last renewal was seen, before the leases that it gave have ended.
        if (c.rank == 0 && c.same_data_centre) {
            read_if_older(row_watch_interval);
        }
        else {
            row_unchanged_since_ = now;
        }
        return;
    }
    if (c.owner_restarted) {
        // The earlier incarnation of the owner may have released the row. The remaining lease times in the row count
        // from when the row was first seen, so an early read shortens the wait.
        if (c.rank <= 1 && read_if_older(leaving_row_interval)) {
            return;
        }
        if (unchanged >= restarted_grace + candidate_delay && !read_if_older(row_read_interval)) {
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

// Writes `wanted` if the row is still at the version that this entry knows.
void flow_cell::write_row(const wire::flow_cell_row& wanted, std::function<void(instant, const store_result&)> done)
{
    store_transaction t;
    t.checks.push_back({cell_key(id_), row_version_});
    t.puts.push_back({cell_key(id_), encode_compact(wanted)});
    edges_.commit(std::move(t), std::move(done));
}

// A data centre that is cut off from the others still has its owner, its workers and its callers. An entry outside that
// took the cell over could reach no worker, and once the connection is back the cell would change owners again for
// nothing. An entry of another data centre therefore takes the cell only if one of its workers answers. The order that
// it sends changes nothing on the worker, because its fencing token is the lowest.
void flow_cell::probe_then_take()
{
    if (workers_.empty()) {
        return;
    }
    row_request_in_flight_ = true;
    auto at = workers_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(row_read_at_.time_since_epoch().count() %
                                                 static_cast<std::int64_t>(workers_.size())));
    edges_.order(place_of(at->second), hold_worker{}, hold_timeout, [this](instant then, const order_answer& answer) {
        row_request_in_flight_ = false;
        const bool reached = answer.result != order_result::no_answer && answer.result != order_result::unhealthy;
        if (reached && role_ == role::watching) {
            take(then);
        }
    });
}

void flow_cell::take(instant now)
{
    row_request_in_flight_ = true;
    role_ = role::taking;
    wire::flow_cell_row wanted;
    wanted.epoch = row_present_ ? row_.epoch + 1 : 1;
    wanted.owner = self_.entry.str();
    wanted.incarnation = self_.incarnation.str();
    wanted.address = self_.address.str();
    never_owned_before_ = !row_present_;
    wanted.starts_noted = never_owned_before_ || row_.starts_noted;
    if (never_owned_before_) {
        wanted.pending.up_to = row_read_version_.value(); // no job is accepted for a cell that never had an owner
    }
    else {
        wanted.pending = row_.pending;
    }
    wanted.silences = row_.silences;
    wanted.silences_from_ms = row_.silences_from_ms;
    inherit_named_workers(row_);
    // The previous owner certainly sends nothing any more if it released the row or was this entry. If the row names
    // this incarnation because of a take whose answer was lost, the time computed for the owner before that take still
    // holds.
    const bool own_take = take_outcome_unknown_ && row_present_ && row_.incarnation == self_.incarnation.str();
    const bool previous_owner_gone = never_owned_before_ || row_.released || row_.owner == self_.entry.str();
    if (!own_take) {
        previous_owner_silent_from_ = previous_owner_gone ? now : std::max(now, row_seen_at_ + ownership_lease);
    }
    bound_inherited_leases(row_);
    wanted.workers = build_worker_names(now, false);
    renewed_ = now;
    write_row(wanted, [this, wanted](instant then, const store_result& result) {
        row_request_in_flight_ = false;
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
            row_known_ = false; // unknown outcome: the row is read again, as the write may have been applied
            take_outcome_unknown_ = true;
        }
        edges_.note(log_level::info, "cell", "take_failed", {{"cell", id_.str()}, {"reason", result.reason}});
        return;
    }
    take_outcome_unknown_ = false;
    row_ = wanted;
    mark_named_workers(wanted);
    row_present_ = true;
    row_version_ = result.version;
    row_seen_at_ = now;
    row_unchanged_since_ = now;
    epoch_ = skylarkhub::epoch(wanted.epoch);
    role_ = role::reading;
    taken_at_ = now;
    inherit_silences(now, wanted);
    workers_listed_since_takeover_ = false;
    next_renewal_ = now + renew_interval;
    ++ownership_generation_;
    ++stats_.takeovers;
    edges_.note(
        log_level::info, "cell", "taken",
        {{"cell", id_.str()}, {"epoch", std::to_string(wanted.epoch)}, {"fresh", never_owned_before_ ? "yes" : "no"}});
    // Reading the rows of many jobs takes a small entry several seconds. If no lease were renewed meanwhile, every run
    // in the cell would lapse. So the workers are held from now on; their inventories are buffered until the rows are
    // read.
    for (auto& [id, w] : workers_) {
        schedule_hold(now, id, duration(0));
    }
    read_all_jobs(now);
}

// Reads all job rows of the cell, a few parts at a time. After a loss of all entries every owner reads its jobs at
// once. When all parts were requested together over the narrow link of a small entry, each page took longer than its
// time-out and was requested again, which left cells without an owner for 17 s. A few small pages at a time arrive in
// time, and a page that does not is requested again from where it begins.
void flow_cell::read_all_jobs(instant now)
{
    job_watch_asked_at_ = now;
    parts_to_read_ = job_parts;
    next_part_to_read_ = 0;
    read_rows_.clear();
    for (auto& [part, state] : parts_) {
        state.read = false;
    }
    job_watch_version_ = row_version(std::numeric_limits<std::int64_t>::max());
    for (int i = 0; i < job_read_concurrency; ++i) {
        begin_next_part();
    }
}

// Starts with the next part that is not being read. The fence is written before the rows are read: a write of the
// previous owner has then either been applied, and is read, or is refused.
void flow_cell::begin_next_part()
{
    if (next_part_to_read_ == job_parts) {
        return;
    }
    const std::string part = job_part(next_part_to_read_++);
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
    edges_.commit(std::move(t),
                  [this, part, generation = ownership_generation_](instant then, const store_result& result) {
                      if (generation == ownership_generation_) {
                          on_fenced(then, part, result);
                      }
                  });
}

void flow_cell::on_fenced(instant now, const std::string& part, const store_result& result)
{
    part_state& state = parts_[part];
    if (result.outcome == table_outcome::applied) {
        adopt_fence(now, part, result.version);
        return;
    }
    if (result.outcome != table_outcome::conflict) {
        state.backoff = std::clamp<duration>(state.backoff * 2, commit_retry, commit_retry_max);
        edges_.after(state.backoff, [this, part, generation = ownership_generation_](instant) {
            if (generation == ownership_generation_) {
                fence_part(part, row_version(0));
            }
        });
        return;
    }
    // The conflicting row has the epoch of a previous owner, or the epoch of this owner if an earlier answer was lost.
    const auto found_row =
        result.rows.empty() ? std::nullopt : read_flow_row<wire::flow_fence_row>(edges_, result.rows.front());
    const row_version version = result.rows.empty() ? row_version(0) : result.rows.front().version;
    const std::int64_t found_epoch = found_row ? found_row->epoch : 0;
    if (found_epoch > epoch_.value()) {
        lose_ownership(now, "a later owner has fenced part " + part);
    }
    else if (found_epoch == epoch_.value() && version != state.unknown_outcome_fence) {
        adopt_fence(now, part, version);
    }
    else {
        fence_part(part, version);
    }
}

void flow_cell::adopt_fence(instant now, const std::string& part, row_version version)
{
    part_state& state = parts_[part];
    if (state.fence) {
        state.fence = std::max(*state.fence, version); // two writes of the fence were under way
        return;
    }
    state.fence = version;
    state.backoff = duration(0);
    if (state.read) {
        commit_soon(now, part, duration(0));
    }
    else if (never_owned_before_) {
        job_watch_version_ =
            std::min(job_watch_version_, version); // a cell that never had an owner has no rows to read
        finish_part_read(now, part);
    }
    else {
        read_part(part, news_table, "");
    }
}

// Writes the fence of a part again after a write whose outcome is unknown. Such a write might be applied seconds later:
// a row that was removed with its ended job would exist again, and the next owner would run the job a second time. A
// late write is checked against the old version of the fence and is refused once the fence is written again.
void flow_cell::refence_part(const std::string& part)
{
    part_state& state = parts_[part];
    state.unknown_outcome_fence = state.fence.value_or(state.unknown_outcome_fence);
    state.fence.reset();
    fence_part(part, state.unknown_outcome_fence);
}

void flow_cell::read_part(const std::string& part, const char* table, const std::string& from)
{
    store_range range = cell_rows(table, id_, part);
    range.from = from.empty() ? range.from : from;
    range.rows_most = job_page_rows;
    edges_.read(range,
                [this, part, table, from, generation = ownership_generation_](instant then, const store_page& page) {
                    if (generation != ownership_generation_) {
                        return;
                    }
                    if (!page.reached) {
                        edges_.after(commit_retry, [this, part, table, from, generation](instant) {
                            if (generation == ownership_generation_) {
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
    job_watch_version_ = std::min(job_watch_version_, page.version);
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
    finish_part_read(now, part);
}

void flow_cell::finish_part_read(instant now, const std::string& part)
{
    parts_[part].read = true;
    process_part_rows(now, part);
    begin_next_part();
    if (--parts_to_read_ == 0 && role_ == role::reading) {
        become_owner(now);
    }
}

// Processes the rows that were read of a part. A job goes on here if this cell has a row of its own for it or the row
// of its acceptance. Rows from other cells alone do not show that, since they may have been written after the job
// ended; such a job is looked up first.
void flow_cell::process_part_rows(instant now, const std::string& part)
{
    const auto rows = read_rows_.extract(part);
    if (rows.empty()) {
        return;
    }
    for (const auto& [job, job_rows] : rows.mapped()) {
        const bool is_active = std::any_of(job_rows.begin(), job_rows.end(), [this](const store_row& row) {
            const job_row_name name = parse_job_row_key(row.key);
            return name.is_own() || name == accepted_row(id_, name.job);
        });
        if (is_active || jobs_.count(job) != 0) {
            process_job_rows(now, job, job_rows);
        }
        else {
            read_unknown_job(job);
        }
        if (is_over(job)) {
            stop_early_runs_of(now, job);
        }
    }
}

void flow_cell::become_owner(instant now)
{
    role_ = role::owning;
    takeover_scan_version_ = job_watch_version_;
    unreconciled_jobs_.clear();
    if (!never_owned_before_) {
        for (const auto& [id, job] : jobs_) {
            unreconciled_jobs_.insert(id);
        }
    }
    never_owned_before_ = false; // a part that is fenced again from now on has rows to read
    const duration wait = std::max<duration>(duration(0), previous_owner_silent_from_ - now);
    edges_.note(log_level::info, "cell", "owned",
                {{"cell", id_.str()},
                 {"epoch", std::to_string(epoch_.value())},
                 {"jobs", std::to_string(jobs_.size())},
                 {"workers", std::to_string(workers_.size())},
                 {"awaited", std::to_string(unreconciled_jobs_.size())},
                 {"owner_before_silent_in_ms", std::to_string(wait.count() / 1000)}});
    hooks_.recurring_job_bytes_left(now) -= job_bytes(); // the entry may not have counted the jobs that were read
    for (auto& [id, job] : jobs_) {
        if (job->dirty()) {
            mark_job_dirty(now, *job, true);
        }
        if (job->cancelled() || job->ended()) {
            continue;
        }
        open_stages(now, *job);
        index_ready(*job);
        end_if_decided(now, *job);
    }
    // The rows may have been read before the cancel was written. Without it, the tasks that were stopped would be
    // started again until its sender repeats it.
    for (const auto& [job, told] : std::exchange(over_while_reading_, {})) {
        if (role_ == role::owning && jobs_.count(job) != 0) {
            on_job_row(now, told.name, told.row, told.version);
        }
    }
    if (role_ != role::owning) {
        return;
    }
    // A worker that the previous owner no longer named in the row is over: that owner knew that it had ended. One that
    // was found to have crashed while the rows were read was charged to no task, as none was known yet.
    charge_noted(now, [this](const worker_life& life, const flow_task_id& task, run_number run) {
        return is_over_at_takeover(life, task, run) || has_crashed_unread(life.worker, task, run);
    });
    process_buffered_inventories(now);
    for (auto& [id, w] : workers_) {
        schedule_hold(now, id, duration(0));
    }
    schedule_placement();
}

// Builds the list of workers for the cell's row, with what a follower would otherwise have to find out.
//
// When a worker is lost and its owner is followed before the leases have ended, the follower would wait for a whole
// lease from its own takeover, and so would each further follower: with entries restarted in turn, lasting tasks would
// be down for ten seconds and more. The row therefore says how long leases may still last on a worker that does not
// answer. The owner gives such a worker no further lease until a later row no longer marks it as silent.
std::vector<wire::flow_worker_name> flow_cell::build_worker_names(instant now, bool releasing)
{
    // A worker is not marked as silent while the table does not answer: the mark could not be removed, and the worker
    // would get no lease when it answers again.
    const bool table_answers = now - renewed_ < 2 * renew_interval;
    std::vector<wire::flow_worker_name> names;
    for (auto& [id, w] : workers_) {
        if (w.listing.draining && is_idle(w)) {
            continue; // nothing will be started there: a follower need not contact it
        }
        wire::flow_worker_name name;
        name.worker = id.str();
        name.address = w.listing.address.str();
        name.born = w.born.value();
        name.silent =
            (table_answers && w.silent >= max_unanswered_holds) || (w.published_silent && !w.has_accepted_epoch());
        w.published_silent = w.published_silent || name.silent;
        if (name.silent || releasing) {
            name.lease_left_ms = ceil_to_ms(std::max(duration(0), w.lapsed_after - now));
        }
        names.push_back(std::move(name));
    }
    return names;
}

void flow_cell::mark_named_workers(const wire::flow_cell_row& row)
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

// Adds the workers that the previous owner named, on which it may have started tasks. The platform's list omits workers
// that the platform has not heard from although they still run; a new owner that used only the list would start their
// tasks a second time.
void flow_cell::inherit_named_workers(const wire::flow_cell_row& row)
{
    for (auto& [id, w] : workers_) {
        w.published_silent = false;
    }
    for (const wire::flow_worker_name& name : row.workers) {
        const auto [at, added] = workers_.try_emplace(worker_id(name.worker));
        at->second.inherited = true;
        at->second.published_silent = name.silent;
        at->second.born = worker_birth(name.born);
        if (added) {
            at->second.listing.worker = worker_id(name.worker);
            at->second.listing.address = net_address(name.address);
        }
    }
}

// Sets the time by which every lease on inherited workers has certainly ended: one lease after the previous owner stops
// sending, or earlier if the row says so.
void flow_cell::bound_inherited_leases(const wire::flow_cell_row& row)
{
    for (auto& [id, w] : workers_) {
        if (w.inherited) {
            w.lapsed_after = previous_owner_silent_from_ + certainly(lease);
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
    row_request_in_flight_ = true;
    wire::flow_cell_row wanted = row_;
    ++wanted.renewals;
    wanted.workers = build_worker_names(now, false);
    tell_silences(now, wanted);
    wanted.pending = pending_row(now);
    wanted.starts_noted = wanted.starts_noted || are_all_starts_recorded(now);
    write_row(wanted,
              [this, wanted, sent = now, generation = ownership_generation_](instant then, const store_result& result) {
                  if (generation != ownership_generation_) {
                      return;
                  }
                  row_request_in_flight_ = false;
                  if (result.outcome == table_outcome::applied) {
                      row_version_ = result.version;
                      row_seen_at_ = then;
                      next_renewal_ = then + renew_interval;
                      on_renewed(wanted, sent);
                      return;
                  }
                  next_renewal_ = then + renew_retry;
                  if (result.outcome == table_outcome::unknown) {
                      unanswered_renewals_.push_back({wanted, sent});
                      read_row(then);
                  }
                  if (result.outcome == table_outcome::conflict) {
                      // Either another entry has taken the cell, or an earlier renewal of this owner was applied
                      // although its answer was lost.
                      on_row_read(then, result.rows.empty() ? nullptr : &result.rows.front());
                  }
              });
}

// Does what depends on a renewal being in the table.
void flow_cell::on_renewed(const wire::flow_cell_row& renewal, instant sent)
{
    row_ = renewal;
    mark_named_workers(renewal);
    renewed_ = std::max(renewed_, sent);
    unanswered_renewals_.clear();
}

// Failure: the table applies renewals and their answers are lost. Symptom: followers see that the owner renews and
// leave the cell to it, while the owner, which counts answers, stops sending orders after ownership_lease. So a row
// that is found as an unanswered renewal sent it counts as that renewal. It was sent before any follower can have seen
// it, which is what ownership_lease is counted from.
void flow_cell::find_unanswered_renewal(instant now, const std::string& found)
{
    const auto at =
        std::find_if(unanswered_renewals_.begin(), unanswered_renewals_.end(),
                     [&found](const sent_renewal& renewal) { return encode_compact(renewal.row) == found; });
    if (at == unanswered_renewals_.end()) {
        return;
    }
    const sent_renewal renewal = *at;
    edges_.note(log_level::info, "cell", "found_renewed",
                {{"cell", id_.str()},
                 {"epoch", std::to_string(epoch_.value())},
                 {"sent_ms_ago", std::to_string((now - renewal.sent) / std::chrono::milliseconds(1))}});
    on_renewed(renewal.row, renewal.sent);
    next_renewal_ = now;
}

void flow_cell::lose_ownership(instant now, const std::string& reason)
{
    edges_.note(log_level::warning, "cell", "lost",
                {{"cell", id_.str()}, {"epoch", std::to_string(epoch_.value())}, {"reason", reason}});
    ++stats_.ownership_losses;
    persist_unwritten_ends();
    ++ownership_generation_;
    role_ = role::watching;
    row_request_in_flight_ = false;
    unanswered_renewals_.clear();
    row_unchanged_since_ = now;
    jobs_.clear();
    loads_.clear();
    demand_.clear();
    ready_.clear();
    ready_keys_.clear();
    unreconciled_jobs_.clear();
    timed_jobs_.clear();
    recently_ended_jobs_.clear();
    over_while_reading_.clear();
    parts_.clear();
    job_reads_in_flight_.clear();
    read_rows_.clear();
    recent_crashes_.clear();
    lapsed_workers_.clear();
    inherited_silences_.clear();
    inherited_worker_crashed_ = false;
    isolated_task_waits_ = false;
    placement_scheduled_ = false;
    promises_.clear();
    place_searches_.clear();
    place_answers_.clear();
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

// Whether the row can be released: nothing remains to be written, and no start is unanswered that a follower would have
// to find out about. An unanswered start on a silent worker is not waited for, since the row says how long it may go on
// there.
bool flow_cell::is_settled() const
{
    const auto needs_no_wait = [this](const live_run& run) {
        const auto at = workers_.find(run.worker);
        return run.confirmed || at == workers_.end() || at->second.silent > 0;
    };
    for (const auto& [id, job] : jobs_) {
        for (const flow_stage& stage : job->stages()) {
            for (const flow_task& task : stage.tasks) {
                if (!std::all_of(task.runs.begin(), task.runs.end(), needs_no_wait)) {
                    return false;
                }
            }
        }
    }
    return std::all_of(parts_.begin(), parts_.end(), [](const auto& p) { return p.second.is_settled(); });
}

void flow_cell::release(instant now)
{
    if (row_request_in_flight_ || (!is_settled() && now - stop_planned_at_ < stop_drain_timeout)) {
        return;
    }
    wire::flow_cell_row wanted = row_;
    wanted.released = true;
    wanted.workers = build_worker_names(now, true);
    tell_silences(now, wanted);
    wanted.pending = pending_row(now);
    ++ownership_generation_; // callbacks of this ownership are dropped from now on
    role_ = role::released;
    write_release(wanted);
}

void flow_cell::write_release(const wire::flow_cell_row& wanted)
{
    row_request_in_flight_ = true;
    write_row(wanted, [this, wanted](instant then, const store_result& result) { on_released(then, wanted, result); });
}

// A renewal whose answer was lost may have been applied; the release is then written again on top of it. Without a
// release the cell would be taken over only after the owner's silence, as if the owner had been killed.
void flow_cell::on_released(instant now, const wire::flow_cell_row& wanted, const store_result& result)
{
    row_request_in_flight_ = false;
    if (result.outcome == table_outcome::conflict && !result.rows.empty()) {
        on_row_read(now, &result.rows.front());
        const bool still_ours =
            row_.incarnation == self_.incarnation.str() && row_.epoch == wanted.epoch && !row_.released;
        if (still_ours) {
            write_release(wanted);
            return;
        }
    }
    edges_.note(log_level::info, "cell", "released", {{"cell", id_.str()}, {"reason", result.reason}});
}

// --- pending jobs ---

std::optional<timestamped_count> flow_cell::count_pending(instant now) const
{
    if (!job_watch_version() || !may_renew_leases(now)) {
        return std::nullopt;
    }
    timestamped_count counted{{{}, job_watch_version_}, job_watch_asked_at_, {}};
    for (const auto& [id, job] : jobs_) {
        if (job->is_home_cell() && !job->begun() && !job->cancelled() && !job->ended()) {
            ++(job->accepted_at() <= job_watch_version_ ? counted.count.jobs : counted.newer)[job->row().queue];
        }
    }
    return counted;
}

// Returns the count of pending jobs for the cell's row. When owners follow each other faster than one of them reads the
// job rows, none can count the pending jobs; so the last known count is passed on from owner to owner in the row.
wire::flow_pending_row flow_cell::pending_row(instant now) const
{
    const auto still_ours = count_pending(now);
    const auto latest = still_ours ? std::optional(still_ours->count) : hooks_.reported_pending_count(id_);
    return latest && latest->up_to.value() >= row_.pending.up_to ? to_row(*latest) : row_.pending;
}

std::optional<row_version> flow_cell::job_watch_version() const
{
    return role_ == role::owning && parts_to_read_ == 0 ? std::optional(job_watch_version_) : std::nullopt;
}

std::optional<instant> flow_cell::job_news_complete_at() const
{
    return job_watch_version() ? std::optional(job_watch_asked_at_) : std::nullopt;
}

void flow_cell::on_job_watch_advanced(row_version after, row_version up_to, std::optional<instant> asked)
{
    if (job_watch_version() && job_watch_version_ >= after) {
        job_watch_version_ = std::max(job_watch_version_, up_to);
        job_watch_asked_at_ = std::max(job_watch_asked_at_, asked.value_or(job_watch_asked_at_));
    }
}

void flow_cell::on_news_read(row_version up_to, instant asked)
{
    if (job_watch_version()) {
        job_watch_version_ = std::max(job_watch_version_, up_to);
        job_watch_asked_at_ = std::max(job_watch_asked_at_, asked);
    }
}

void flow_cell::on_job_history_compacted(instant now)
{
    if (job_watch_version()) {
        read_all_jobs(now);
    }
}

} // namespace skylarkhub
