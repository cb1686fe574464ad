#include "flow_entry_p.h"

#include <algorithm>
#include <numeric>
#include <set>

#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

flow_entry::flow_entry(entry_identity self, flow_edges edges, const caller_bounds& bounds)
    : self_(std::move(self)),
      bounds_(bounds),
      waiting_(bounds.shares.waiting_bytes),
      direct_(std::move(edges)),
      edges_(direct_)
{
    edges_.commit = [this](store_transaction transaction, std::function<void(instant, store_result)> done) {
        commit(std::move(transaction), std::move(done));
    };
    edges_.read = [this](store_range range, std::function<void(instant, store_page)> done) {
        read(std::move(range), std::move(done));
    };
}

void flow_entry::begin(instant now)
{
    started_at_ = now;
    next_hello_ = now;
    register_self();
    read_entries(now);
    watch_operator(now);
    read_layouts(now);
    list_workers(now);
    check_for_legacy_jobs(0);
    edges_.after(tick_interval, [this](instant then) { tick(then); });
}

// An earlier release stored each job in one row, which this release does not read, so its jobs would be lost silently.
// Cells are owned only once the table has no such rows.
void flow_entry::check_for_legacy_jobs(int part)
{
    if (part == job_parts) {
        legacy_jobs_absent_ = true;
        return;
    }
    edges_.read({legacy_jobs_table, job_part(part), "", "", 1}, [this, part](instant, const store_page& page) {
        if (!page.reached) {
            edges_.after(register_retry, [this, part](instant) { check_for_legacy_jobs(part); });
            return;
        }
        if (page.rows.empty()) {
            check_for_legacy_jobs(part + 1);
            return;
        }
        edges_.note(log_level::error, "entry", "jobs_of_an_earlier_release",
                    {{"table", legacy_jobs_table},
                     {"part", job_part(part)},
                     {"advice", "let that release finish its jobs, then remove the table's rows"}});
        edges_.after(legacy_jobs_check_interval, [this, part](instant) { check_for_legacy_jobs(part); });
    });
}

void flow_entry::tick(instant now)
{
    ticked_at_ = now;
    if (now >= next_hello_) {
        next_hello_ = now + hello_interval_of(peers_.size() + 1);
        send_hellos(now, false);
    }
    fetch_newer_config(now);
    if (now >= next_entries_read_) {
        read_entries(now);
    }
    const std::int64_t takeovers =
        std::accumulate(cells_.begin(), cells_.end(), std::int64_t{0},
                        [](std::int64_t sum, const auto& cell) { return sum + cell.second->stats().takeovers; });
    if ((now >= next_list_ || takeovers != takeovers_listed_) && !listing_) {
        takeovers_listed_ = takeovers;
        list_workers(now);
    }
    ask_for_worker_list(now);
    if (now >= next_layouts_read_) {
        read_layouts(now);
    }
    assign_racks(now);
    if (now >= next_row_resend_ && !unacknowledged_rows_.empty()) {
        next_row_resend_ = now + row_resend_interval;
        std::vector<job_row_name> names;
        for (const auto& [name, row] : unacknowledged_rows_) {
            names.push_back(name);
        }
        for (const job_row_name& name : names) {
            send_row_to_owner(now, name);
        }
    }
    if (now >= next_cancel_spread_ && !unacknowledged_rows_.empty()) {
        next_cancel_spread_ = now + cancel_spread_interval;
        spread_cancels(now);
    }
    if (stopping_ && !acknowledgement_wait_ended_ && now - stop_planned_at_ >= stop_drain_timeout) {
        acknowledgement_wait_ended_ = true;
        if (!unacknowledged_rows_.empty()) {
            edges_.note(log_level::warning, "entry", "leaves_untold",
                        {{"entry", self_.entry.str()}, {"rows", std::to_string(unacknowledged_rows_.size())}});
        }
    }
    if (now - started_at_ >= peer_discovery_time && legacy_jobs_absent_) {
        tick_cells(now);
        refresh_pending_counts(now);
    }
    refuse_late_requests(now);
    give_up_config_checks(now);
    send_config_check(now);
    if (now >= next_watch_) {
        watch_jobs(now);
    }
    report_news_delay(now);
    stats_.evacuated_data_centres = static_cast<std::int64_t>(evacuations_.evacuated().size());
    stats_.evacuations_age_ms = evacuations_.known() ? (now - evacuations_.complete_at()) / 1ms : -1;
    stats_.worker_list_age_ms = workers_.as_of() ? (now - *workers_.as_of()) / 1ms : -1;
    edges_.after(tick_interval, [this](instant then) { tick(then); });
}

// Ranks are computed again after each cell that this entry starts to take over. With the earlier ranks it would take
// over all cells without an owner at once, before other entries get their share.
void flow_entry::tick_cells(instant now)
{
    rank_cells(now);
    for (auto& [id, cell] : cells_) {
        const bool owned = cell->owns_or_is_taking_over();
        cell->tick(now, candidacy(now, *cell));
        if (!owned && cell->owns_or_is_taking_over()) {
            next_ranks_ = now;
            rank_cells(now);
        }
    }
}

void flow_entry::run_deferred_work(instant now)
{
    for (auto& [id, cell] : cells_) {
        cell->run_deferred_work(now);
    }
    send_job_states();
}

bool flow_entry::ready() const
{
    return config_usable_ && !stopping_;
}

void flow_entry::plan_stop(instant now)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_planned_at_ = now;
    edges_.note(log_level::info, "entry", "stop_planned", {{"entry", self_.entry.str()}});
    send_hellos(now, true);
    for (auto& [id, cell] : cells_) {
        cell->plan_stop(now);
    }
}

// Failure: an entry stops before owners have acknowledged the rows that it wrote. Symptom: nobody notifies the owners
// again, and they find the rows only by their own watch. The wait is as long at most as that for a cell's pending
// answers.
bool flow_entry::stopped() const
{
    return ((unacknowledged_rows_.empty() && handing_on_ == 0) || acknowledgement_wait_ended_) &&
           std::all_of(cells_.begin(), cells_.end(), [](const auto& c) { return c.second->stopped(); });
}

// --- cells ---

flow_cell_hooks flow_entry::make_hooks(const data_centre_id& data_centre)
{
    flow_cell_hooks hooks;
    hooks.recurring_job_bytes = [this] { return bounds_.shares.recurring_job_bytes(); };
    hooks.recurring_job_bytes_left = [this](instant now) -> std::int64_t& { return recurring_job_bytes_left(now); };
    hooks.queue = [this](const queue_id& name) -> const flow_queue* {
        if (!config_) {
            return nullptr;
        }
        const auto at = std::find_if(config_->queues.begin(), config_->queues.end(),
                                     [&](const flow_queue& q) { return q.name == name; });
        return at == config_->queues.end() ? nullptr : &*at;
    };
    hooks.find_cell_with_room = [this](instant now, const cell_id& from, const std::string& service,
                                       const flow_step& step,
                                       room_kind kind) { return find_cell_with_room(now, from, service, step, kind); };
    hooks.list_cells_for_task = [this](instant now, const cell_id& from, const std::string& service,
                                       const flow_step& step,
                                       room_kind kind) { return list_cells_for_task(now, from, service, step, kind); };
    hooks.ask_for_place = [this](instant now, const cell_id& to, const place_need& need, bool reserve,
                                 std::function<void(instant, place_answer)> done) {
        ask_for_place(now, to, need, reserve, std::move(done));
    };
    hooks.list_cells_with_room = [this](instant now, const cell_id& from, const std::string& service,
                                        const flow_step& step) {
        return list_cells_with_room(now, from, service, step);
    };
    hooks.non_filling_cpu_share = [this](instant now, const std::string& service) {
        return non_filling_cpu_share(now, service);
    };
    hooks.reported_pending_count = [this](const cell_id& id) -> std::optional<pending_count> {
        const timestamped_count* const reported = pending_.find(id);
        return reported == nullptr ? std::nullopt : std::optional(reported->count);
    };
    hooks.start_permission = [this, data_centre](instant now) { return permission_in(data_centre, now); };
    hooks.has_recent_worker_list = [this](instant now) { return has_recent_worker_list(now); };
    hooks.table_outage = [this](instant now, instant since) { return table_outage(now, since); };
    hooks.notify_cell_owner = [this](instant now, const job_row_name& name, const wire::flow_job_row& row,
                                     row_version version) { notify_cell_owner(now, name, row, version); };
    hooks.publish_job_state = [this](instant now, const wire::flow_job_row& row, const job_id& job, flow_state state) {
        if (row.accepted_by == self_.address.str()) {
            update_job_state(now, job, state);
            return;
        }
        wire::flow_state_news news;
        news.job = job.str();
        news.state = static_cast<std::int32_t>(state);
        state_news_[net_address(row.accepted_by)].push_back(news);
    };
    return hooks;
}

} // namespace skylarkhub
