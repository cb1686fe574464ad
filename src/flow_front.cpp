// Handles the requests of callers: submit a job, query its state, cancel it, and count the waiting jobs of a queue.
#include <xxhash.h>

#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

constexpr std::size_t job_id_length = 16;

// The answer to requests for unknown names while a newer configuration may contain them.
caller_answer retry_for_newer_config()
{
    return {caller_result::retry_later, flow_state::queued, 0, unavailable_retry, "a newer configuration may exist"};
}

// The row with which a cancel is stored, in the index and in the news for the owner of the cell.
wire::flow_job_row make_cancel_row(const cell_id& cell)
{
    wire::flow_job_row row;
    row.cell = cell.str();
    row.cancelled = true;
    row.starts_noted = true;
    return row;
}

// Returns the version of the row with this key, or 0 if it is not among the rows.
row_version version_of(const std::vector<store_row>& rows, const store_key& key)
{
    const auto at = std::find_if(rows.begin(), rows.end(), [&key](const store_row& row) { return row.key == key; });
    return at == rows.end() ? row_version(0) : at->version;
}

// Returns why a specification can't run, or an empty string if it can.
std::string find_problem(const flow_spec& spec)
{
    if (spec.steps.empty()) {
        return "a job needs at least one step";
    }
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const flow_step& step = spec.steps[i];
        if (step.count < 1 || step.count > max_tasks_per_step) {
            return "a step's number of tasks is out of range";
        }
        for (const std::int32_t after : step.after) {
            if (after < 0 || after >= static_cast<std::int32_t>(i)) {
                return "a step may only follow earlier ones";
            }
        }
    }
    return "";
}

} // namespace

const flow_queue* flow_entry::match_queue(const std::string& host, const std::string& path) const
{
    const flow_queue* best = nullptr;
    for (const flow_queue& q : config_->queues) {
        if (q.host == host && path.compare(0, q.prefix.size(), q.prefix) == 0 &&
            (best == nullptr || q.prefix.size() > best->prefix.size())) {
            best = &q;
        }
    }
    return best;
}

void flow_entry::on_request(instant now, const caller_request& request, caller_reply reply)
{
    if (!config_) {
        reply({caller_result::retry_later, flow_state::queued, 0, unavailable_retry, "no configuration yet"});
        return;
    }
    const flow_queue* const queue = match_queue(request.host, request.path);
    if (queue == nullptr) {
        log_unknown_queue(now, request);
        if (!knows_newest_config(now)) {
            reply(retry_for_newer_config());
            return;
        }
        reply({caller_result::unknown_queue, flow_state::queued, 0, duration(0), "no such queue"});
        return;
    }
    const std::string rest = request.path.substr(queue->prefix.size());
    if (rest.empty() && request.verb == caller_verb::state) {
        ask_pending(now, queue->name, std::move(reply));
        return;
    }
    if (rest.size() != job_id_length || rest.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
        if (!knows_newest_config(now)) { // a newer one may have a queue whose path begins with this queue's path
            reply(retry_for_newer_config());
            return;
        }
        reply({caller_result::invalid, flow_state::queued, 0, duration(0), "a job's id is 16 hexadecimal digits"});
        return;
    }
    const job_id job(rest);
    const duration request_timeout =
        request.request_timeout > duration(0) ? request.request_timeout : default_request_timeout;
    const instant give_up = now + request_timeout - answer_margin;
    switch (request.verb) {
    case caller_verb::submit:
        submit(now, *queue, job, request, give_up, std::move(reply));
        return;
    case caller_verb::state:
        ++stats_.states;
        ask_state(now, job, std::move(reply));
        return;
    case caller_verb::cancel:
        ++stats_.cancels;
        cancel(job, give_up, std::move(reply));
        return;
    }
}

// --- submit ---

void flow_entry::submit(instant now, const flow_queue& queue, const job_id& job, const caller_request& request,
                        instant give_up, caller_reply reply)
{
    const auto known = tracked_jobs_.find(job);
    if (known != tracked_jobs_.end() && known->second.accepted) {
        ++stats_.repeated;
        reply({caller_result::accepted, flow_state::queued, 0, duration(0), ""});
        if (!known->second.handed_on) {
            hand_on_job(job);
        }
        return;
    }
    if (known != tracked_jobs_.end() && known->second.accepting) {
        known->second.waiting_accept.push_back(std::move(reply));
        return;
    }
    const std::string problem = request.spec ? find_problem(*request.spec) : request.problem;
    if (!problem.empty()) {
        reply({caller_result::invalid, flow_state::queued, 0, duration(0), problem});
        return;
    }
    if (!config_usable_) {
        refuse_unless_accepted(job, {"a newer configuration is being fetched", unavailable_retry}, std::move(reply));
        return;
    }
    if (is_site_evacuated()) {
        refuse_unless_accepted(job, {"all data centres are evacuated", full_retry}, std::move(reply));
        return;
    }
    if (!stopping_ && !has_lasting_room(now, job, queue, *request.spec)) {
        refuse_unless_accepted(job, {"no room for lasting tasks", full_retry}, std::move(reply));
        return;
    }
    const auto cell = choose_cell(now, queue, *request.spec);
    if (stopping_ || !cell) {
        refuse_unless_accepted(job, {stopping_ ? "stopping" : "no cell serves the queue", unavailable_retry},
                               std::move(reply));
        return;
    }
    wire::flow_job_row row = make_job_row(*request.spec);
    row.queue = queue.name.str();
    row.service_name = queue.service;
    row.cell = cell->str();
    row.accepted_by = self_.address.str();
    row.accept_token = self_.incarnation.str() + "/" + std::to_string(++accept_count_);
    row.accepted_ms = std::chrono::duration_cast<std::chrono::milliseconds>(edges_.wall().time_since_epoch()).count();
    row.failures_most = queue.failures_most;
    row.priority = queue.priority;
    const auto own = cells_.find(*cell);
    if (own != cells_.end() && own->second->owns()) {
        row.cell_epoch = own->second->epoch().value();
    }
    else {
        // The owner may count as failed since the cell was chosen: an entry that was suspended at first counts all
        // peers as failed.
        const peer* const owner = find_owner(now, *cell);
        for (std::size_t i = 0; owner != nullptr && i < owner->cells.size(); ++i) {
            row.cell_epoch = owner->cells[i].cell == cell->str() ? owner->cells[i].epoch : row.cell_epoch;
        }
    }
    tracked_job& f = tracked_jobs_[job];
    f.accepting = true;
    f.asked = now;
    f.waiting_accept.push_back(std::move(reply));
    write_job(job, row, give_up, 0, false);
}

namespace {

// The properties of a job that its cell is chosen by.
struct job_needs {
    std::int64_t cpu = 0;   // processor time of the widest step, in millicores
    std::int32_t tasks = 0; // number of tasks of the widest step
    std::int64_t task_cpu = 0;
    std::int32_t per_worker_most = 0; // 0: no limit
    std::string label;
    rack_id rack;
    bool filling = false;
    bool lasting = false;
    std::string image;      // of the widest step
    std::string task_label; // label that a worker needs to count as room for the tasks; empty: none
};

job_needs needs_of(const flow_spec& spec)
{
    job_needs needs;
    for (const flow_step& step : spec.steps) {
        if (step.need.cpu_millis * step.count >= needs.cpu) {
            needs.cpu = step.need.cpu_millis * step.count;
            needs.tasks = step.count;
            needs.task_cpu = step.need.cpu_millis;
            needs.per_worker_most = step.per_worker_most;
            needs.image = step.image;
        }
        needs.label = step.label.empty() ? needs.label : step.label;
        needs.rack = step.data_rack.valid() ? step.data_rack : needs.rack;
        needs.filling = needs.filling || step.filling;
        needs.lasting = needs.lasting || step.lasting;
    }
    return needs;
}

bool serves_only(const wire::flow_worker_room& room, const std::string& image)
{
    return room.serving.empty() || room.serving == image;
}

std::int32_t tasks_that_fit(const wire::flow_worker_room& room, const job_needs& needs)
{
    const auto here = static_cast<std::int32_t>(room.free_cpu_millis / std::max<std::int64_t>(1, needs.task_cpu));
    return std::max(0, needs.per_worker_most > 0 ? std::min(here, needs.per_worker_most) : here);
}

// Returns the number of tasks that the workers of a pool have room for now.
std::int32_t tasks_that_fit(const wire::flow_pool_row& pool, const job_needs& needs)
{
    const auto label = std::find(pool.labels.begin(), pool.labels.end(), needs.task_label) - pool.labels.begin();
    std::int32_t fit = 0;
    for (const wire::flow_worker_room& room : pool.each) {
        const bool labelled =
            needs.task_label.empty() || std::find(room.labels.begin(), room.labels.end(), label) != room.labels.end();
        fit += labelled ? tasks_that_fit(room, needs) : 0;
    }
    return std::min(fit, needs.tasks);
}

// Subtracts the needs of the tasks from the room that a cell last reported, worker by worker in the order in which the
// cell's owner places them.
void take_room(wire::flow_pool_row& pool, const job_needs& needs)
{
    std::int32_t left = needs.tasks;
    const auto take = [&](auto&& wanted) {
        for (wire::flow_worker_room& room : pool.each) {
            if (left == 0 || !wanted(room)) {
                continue;
            }
            const std::int32_t here = std::min(left, tasks_that_fit(room, needs));
            room.free_cpu_millis -= static_cast<std::int32_t>(here * needs.task_cpu);
            left -= here;
            if (needs.lasting && here > 0) {
                room.serving = serves_only(room, needs.image) ? needs.image : several_images;
            }
        }
    };
    if (needs.lasting) {
        take([&](const wire::flow_worker_room& room) { return room.serving == needs.image; });
        take([&](const wire::flow_worker_room& room) { return room.serving.empty(); });
    }
    take([](const wire::flow_worker_room&) { return true; });
    if (needs.lasting) {
        pool.serving_cpu_millis[needs.image] += needs.cpu;
    }
}

// Returns a value between 0 and 1 that is the same at every entry. Entries that do not know each other's recent choices
// thereby send an image to the same cell, and different images to different cells.
double image_cell_preference(const std::string& image, const std::string& cell)
{
    const std::string text = image + '/' + cell;
    return static_cast<double>(XXH64(text.data(), text.size(), 0) >> 11) / static_cast<double>(1ULL << 53);
}

double cell_score(const std::string& cell, const wire::flow_pool_row& pool, const job_needs& needs,
                  std::int64_t assigned)
{
    const auto total = static_cast<double>(pool.total_cpu_millis);
    const double unused = static_cast<double>(pool.unused_cpu_millis - assigned) / total;
    const double free = static_cast<double>(pool.free_cpu_millis - assigned) / total;
    if (needs.lasting) {
        // Prefers cells where all tasks fit at once, then those where the image is already served, then those with the
        // most room.
        const auto tasks = static_cast<double>(needs.tasks);
        const auto own_image = pool.serving_cpu_millis.find(needs.image);
        const double own_image_cpu =
            own_image == pool.serving_cpu_millis.end() ? 0 : static_cast<double>(own_image->second) / total;
        return 3 * tasks_that_fit(pool, needs) / tasks + free + own_image_cpu +
               0.1 * image_cell_preference(needs.image, cell);
    }
    const auto fill_room = pool.fill_cpu_millis.find(needs.image);
    if (needs.filling && fill_room != pool.fill_cpu_millis.end()) {
        return std::min(static_cast<double>(fill_room->second - assigned) / total, unused);
    }
    if (needs.filling) {
        return unused;
    }
    // Prefers cells where all tasks fit at once, then those with the most room for later tasks.
    return static_cast<double>(tasks_that_fit(pool, needs)) / std::max(1, needs.tasks) + 0.5 * free;
}

} // namespace

std::vector<wire::flow_cell_news>& flow_entry::own_news(instant now)
{
    if (now - own_news_at_ >= max_own_news_age) {
        own_news_.clear();
        for (const auto& [id, cell] : cells_) {
            if (cell->current_role() == flow_cell::role::owning) {
                own_news_.push_back(cell->news(now));
                assigned_cpu_[id] = 0;
            }
        }
        own_news_at_ = now;
    }
    return own_news_;
}

// Cells of evacuated data centres take no work, so they are left out.
template <class Visitor> void flow_entry::for_each_news(instant now, Visitor&& consider)
{
    const auto consider_open = [&](wire::flow_cell_news& news, bool own) {
        if (!is_evacuated(cell_id(news.cell))) {
            consider(news, own);
        }
    };
    for (wire::flow_cell_news& news : own_news(now)) {
        consider_open(news, true);
    }
    for (auto& [id, p] : peers_) {
        if (is_live(p, now) && !p.leaving) {
            for (wire::flow_cell_news& news : p.cells) {
                consider_open(news, false);
            }
        }
    }
}

// Chooses the cell with the highest score, taking into account the work sent there since its last news.
std::optional<cell_id> flow_entry::choose_cell(instant now, const flow_queue& queue, const flow_spec& spec)
{
    const job_needs needs = needs_of(spec);
    std::optional<cell_id> best;
    double best_score = 0;
    wire::flow_pool_row* best_pool = nullptr;
    const auto consider = [&](wire::flow_cell_news& news, bool own) {
        for (wire::flow_pool_row& pool : news.pools) {
            if (pool.service_name != queue.service || pool.total_cpu_millis <= 0) {
                continue;
            }
            const cell_id id(news.cell);
            double score = cell_score(news.cell, pool, needs, assigned_cpu_[id]);
            // Without the label, the tasks that need it are handed to another cell after a wait.
            score -= has_label(pool.labels, needs.label) ? 0.0 : 10.0;
            score += own && !needs.lasting ? 0.01 : 0.0; // between equal cells an own one saves a message
            const auto home = racks_.find(needs.rack);
            score += needs.rack.valid() && home != racks_.end() && home->second == id ? 1.0 : 0.0;
            if (!best || score > best_score) {
                best = id;
                best_score = score;
                best_pool = &pool;
            }
        }
    };
    for_each_news(now, consider);
    if (best) {
        assigned_cpu_[*best] += needs.cpu;
        take_room(*best_pool, needs);
    }
    return best;
}

// All tasks of a lasting job must have room now, and leave the reserve for jobs that end by themselves. Accepted beyond
// that, lasting jobs would occupy everything for minutes, wait for each other, and delay work that is due in seconds.
bool flow_entry::has_lasting_room(instant now, const job_id& job, const flow_queue& queue, const flow_spec& spec)
{
    const job_needs needs = needs_of(spec);
    if (!needs.lasting) {
        return true;
    }
    std::int64_t total = 0;
    std::int64_t free = 0;
    std::int64_t demand = 0;
    std::int32_t fit = 0;
    for_each_news(now, [&](wire::flow_cell_news& news, bool) {
        for (const wire::flow_pool_row& pool : news.pools) {
            if (pool.service_name == queue.service && pool.total_cpu_millis > 0) {
                total += pool.total_cpu_millis;
                demand += pool.demand_cpu_millis;
                free += pool.free_cpu_millis - assigned_cpu_[cell_id(news.cell)];
                fit += tasks_that_fit(pool, needs);
            }
        }
    });
    const double reserve = batch_reserve(demand, total);
    const bool room = total == 0 || (fit >= needs.tasks &&
                                     static_cast<double>(free - needs.cpu) >= reserve * static_cast<double>(total));
    if (!room) {
        edges_.note(log_level::info, "job", "no_lasting_room",
                    {{"job", job.str()},
                     {"wants_tasks", std::to_string(needs.tasks)},
                     {"fit_tasks", std::to_string(fit)},
                     {"wants_cpu", std::to_string(needs.cpu)},
                     {"free_cpu", std::to_string(free)},
                     {"total_cpu", std::to_string(total)},
                     {"reserve", std::to_string(reserve)}});
    }
    return room;
}

// A caller without an answer may repeat its request at any entry. Its job may already be in the table, and then the
// caller must not be told that the job will never run.
void flow_entry::refuse_unless_accepted(const job_id& job, const refusal& why, caller_reply reply)
{
    if (table_away_ && !relay_peer()) {
        ++stats_.refused;
        edges_.note(log_level::info, "job", "refused", {{"job", job.str()}, {"reason", "table not reached"}});
        reply({caller_result::retry_later, flow_state::queued, 0, why.retry_delay, why.reason});
        return;
    }
    edges_.read(index_rows(job), [this, job, why, reply = std::move(reply)](instant, const store_page& page) {
        if (page.reached && !page.rows.empty()) {
            ++stats_.repeated;
            edges_.note(log_level::info, "job", "accepted_before", {{"job", job.str()}});
            reply({caller_result::accepted, flow_state::queued, 0, duration(0), ""});
            if (const auto index = read_index(edges_, page.rows)) {
                hand_on_job(job, *index);
            }
            return;
        }
        ++stats_.refused;
        edges_.note(log_level::info, "job", "refused",
                    {{"job", job.str()}, {"reason", page.reached ? why.reason : "table not reached"}});
        reply({page.reached ? caller_result::rejected : caller_result::outcome_unknown, flow_state::queued, 0,
               page.reached ? why.retry_delay : unavailable_retry, why.reason});
    });
}

void flow_entry::write_job(const job_id& job, const wire::flow_job_row& row, instant give_up, int tries,
                           bool may_be_in_force)
{
    wire::flow_job_row index;
    index.cell = row.cell;
    index.accepted_by = row.accepted_by;
    index.accept_token = row.accept_token;
    store_transaction t;
    t.checks.push_back({index_key(job), row_version(0)});
    t.puts.push_back({index_key(job), encode_compact(index)});
    t.puts.push_back({job_row_key(accepted_row(cell_id(row.cell), job)), encode_compact(row)});
    edges_.commit(std::move(t),
                  [this, job, row, give_up, tries, may_be_in_force](instant then, const store_result& result) {
                      on_job_written(then, job, row, give_up, tries, may_be_in_force, result);
                  });
}

void flow_entry::on_job_written(instant now, const job_id& job, const wire::flow_job_row& row, instant give_up,
                                int tries, bool may_be_in_force, const store_result& result)
{
    switch (result.outcome) {
    case table_outcome::applied:
        ++stats_.accepted;
        edges_.note(log_level::info, "job", "accepted",
                    {{"job", job.str()},
                     {"queue", row.queue},
                     {"cell", row.cell},
                     {"version", std::to_string(result.version.value())},
                     {"config", std::to_string(config_version().value())}});
        answer_accept(now, job, {caller_result::accepted, flow_state::queued, 0, duration(0), ""});
        notify_owner_of_job(now, accepted_row(cell_id(row.cell), job), row, result.version);
        return;
    case table_outcome::conflict: {
        // The job is in the table: it was accepted before, by this entry (the table's answer was lost) or by another
        // one.
        ++stats_.repeated;
        edges_.note(log_level::info, "job", "accepted_before", {{"job", job.str()}});
        answer_accept(now, job, {caller_result::accepted, flow_state::queued, 0, duration(0), ""});
        const auto index =
            result.rows.empty() ? std::nullopt : read_flow_row<wire::flow_job_row>(edges_, result.rows.front());
        if (index && index->accept_token == row.accept_token) {
            notify_owner_of_job(now, accepted_row(cell_id(row.cell), job), row, result.rows.front().version);
        }
        else if (index) {
            hand_on_job(job, *index);
        }
        return;
    }
    case table_outcome::refused:
    case table_outcome::unknown:
        break;
    }
    const bool in_doubt = may_be_in_force || result.outcome == table_outcome::unknown;
    if (now + accept_retry < give_up && (in_doubt || tries < max_accept_attempts)) {
        edges_.after(accept_retry, [this, job, row, give_up, tries, in_doubt](instant) {
            write_job(job, row, give_up, tries + 1, in_doubt);
        });
        return;
    }
    edges_.note(log_level::warning, "job", in_doubt ? "accept_unsettled" : "refused",
                {{"job", job.str()}, {"reason", result.reason}, {"tries", std::to_string(tries + 1)}});
    ++(in_doubt ? stats_.outcome_unknown : stats_.refused);
    answer_accept(now, job,
                  {in_doubt ? caller_result::outcome_unknown : caller_result::rejected, flow_state::queued, 0,
                   unavailable_retry, "the table could not be written"});
}

void flow_entry::answer_accept(instant now, const job_id& job, const caller_answer& answer)
{
    const auto at = tracked_jobs_.find(job);
    if (at == tracked_jobs_.end()) {
        return;
    }
    tracked_job& f = at->second;
    f.accepting = false;
    stats_.accept_times.add(now - f.asked);
    f.accepted = answer.result == caller_result::accepted;
    f.checked = now;
    std::vector<caller_reply> waiting;
    waiting.swap(f.waiting_accept);
    if (!f.accepted) {
        tracked_jobs_.erase(at);
    }
    for (const caller_reply& reply : waiting) {
        reply(answer);
    }
}

void flow_entry::notify_owner_of_job(instant now, const job_row_name& accepted, const wire::flow_job_row& row,
                                     row_version version)
{
    const auto tracked = tracked_jobs_.find(accepted.job);
    if (tracked != tracked_jobs_.end()) {
        tracked->second.handed_on = true;
    }
    notify_cell_owner(now, accepted, row, version);
}

// Failure: the entry that accepted a job stops before it has notified the owner of the job's cell. Symptom: the caller
// repeats the request at this entry and is told that the job is accepted, but no owner knows it, and it waits. So the
// row is read as the table has it, which may name another cell than this entry would choose, and the owner is notified;
// for an owner that knows the job, the message changes nothing.
void flow_entry::hand_on_job(const job_id& job, const wire::flow_job_row& index)
{
    if (index.started || index.outcome != 0) {
        return; // written by the owner
    }
    ++handing_on_;
    const job_row_name name = accepted_row(cell_id(index.cell), job);
    edges_.read(single_row_range(job_row_key(name)), [this, name, index](instant then, const store_page& page) {
        --handing_on_;
        if (!page.reached) {
            edges_.after(commit_retry_max, [this, name, index](instant) { hand_on_job(name.job, index); });
            return;
        }
        const auto row =
            page.rows.empty() ? std::nullopt : read_flow_row<wire::flow_job_row>(edges_, page.rows.front());
        if (row) {
            edges_.note(log_level::info, "job", "handed_on",
                        {{"job", name.job.str()},
                         {"cell", name.cell.str()},
                         {"version", std::to_string(page.rows.front().version.value())}});
            notify_owner_of_job(then, name, *row, page.rows.front().version);
        }
    });
}

void flow_entry::hand_on_job(const job_id& job)
{
    ++handing_on_;
    edges_.read(index_rows(job), [this, job](instant, const store_page& page) {
        --handing_on_;
        if (!page.reached) {
            edges_.after(commit_retry_max, [this, job](instant) { hand_on_job(job); });
            return;
        }
        if (const auto index = read_index(edges_, page.rows)) {
            hand_on_job(job, *index);
        }
    });
}

void flow_entry::notify_cell_owner(instant now, const job_row_name& name, const wire::flow_job_row& row,
                                   row_version version)
{
    unacknowledged_row& unacknowledged = unacknowledged_rows_[name];
    unacknowledged.row = row;
    unacknowledged.bytes = encode_compact(row);
    unacknowledged.version = version;
    unacknowledged.since = unacknowledged.since == instant{} ? now : unacknowledged.since;
    send_row_to_owner(now, name);
}

bool flow_entry::pass_row_to_cell(instant now, flow_cell& cell, const job_row_name& name, const wire::flow_job_row& row,
                                  row_version version)
{
    if (!cell.accepts_job_news()) {
        cell.on_early_news(now, name, row, version);
        return false;
    }
    cell.on_job_row(now, name, row, version);
    return true;
}

// Notifies the owner of a new row at once, and again until the owner acknowledges it.
void flow_entry::send_row_to_owner(instant now, const job_row_name& name)
{
    const auto at = unacknowledged_rows_.find(name);
    if (at == unacknowledged_rows_.end() || at->second.sending) {
        return;
    }
    const auto own = cells_.find(name.cell);
    if (own != cells_.end() && own->second->owns()) {
        unacknowledged_row row = std::move(at->second);
        unacknowledged_rows_.erase(at);
        if (!pass_row_to_cell(now, *own->second, name, row.row, row.version)) {
            unacknowledged_rows_.emplace(name, std::move(row)); // tick() tries again
        }
        return;
    }
    const peer* const owner = find_owner(now, name.cell);
    if (owner == nullptr) {
        return; // tick() tries again
    }
    at->second.sending = true;
    wire::flow_message message;
    wire::flow_row_news news;
    news.job = name.job.str();
    news.version = at->second.version.value();
    news.row = at->second.bytes;
    news.cell = name.cell.str();
    news.writer = name.writer;
    message.rows.push_back(std::move(news));
    edges_.send_message(
        owner->identity.address, message,
        [this, name, version = at->second.version](instant, const std::optional<wire::flow_message>& answer) {
            const auto row = unacknowledged_rows_.find(name);
            if (row == unacknowledged_rows_.end()) {
                return;
            }
            row->second.sending = false;
            if (answer && answer->unknown_jobs.empty() && row->second.version == version) {
                unacknowledged_rows_.erase(row);
            }
        });
}

// Sends cancels that the owner of the job's cell has not acknowledged to the owners of all other cells. Only the owner
// of the job's cell knows where else tasks of the job run, and tells those cells once it has read its rows; without an
// owner, or with one that still reads, tasks elsewhere would run on for seconds. The answers do not matter, as the
// job's cell still tells all that are concerned.
void flow_entry::spread_cancels(instant now)
{
    std::map<net_address, wire::flow_message> messages;
    for (const auto& [name, unacknowledged] : unacknowledged_rows_) {
        if (name != cancel_row(name.cell, name.job) || now - unacknowledged.since < row_resend_interval) {
            continue;
        }
        for (const auto& [id, cell] : cells_) {
            if (id == name.cell) {
                continue;
            }
            const peer* const owner = cell->owns() ? nullptr : find_owner(now, id);
            if (cell->owns()) {
                pass_row_to_cell(now, *cell, cancel_row(id, name.job), unacknowledged.row, unacknowledged.version);
            }
            else if (owner != nullptr) {
                wire::flow_row_news news;
                news.job = name.job.str();
                news.version = unacknowledged.version.value();
                news.row = unacknowledged.bytes;
                news.cell = id.str();
                news.writer = name.writer;
                messages[owner->identity.address].rows.push_back(std::move(news));
            }
        }
    }
    for (const auto& [address, message] : messages) {
        edges_.send_message(address, message, [](instant, const std::optional<wire::flow_message>&) {});
    }
}

// Returns another cell with a worker that one more task of the step fits on: the one with the most room, or for a
// lasting task the one where its image is served most.
std::optional<std::pair<cell_id, epoch>> flow_entry::find_cell_with_room(instant now, const cell_id& from,
                                                                         const std::string& service,
                                                                         const flow_step& step, room_kind kind)
{
    const wire::flow_cell_news* best = nullptr;
    std::int64_t best_score = 0;
    wire::flow_pool_row* best_pool = nullptr;
    job_needs needs;
    needs.tasks = 1;
    needs.cpu = step.need.cpu_millis;
    needs.task_cpu = step.need.cpu_millis;
    needs.lasting = step.lasting;
    needs.image = step.image;
    needs.task_label = step.label;
    const auto consider = [&](wire::flow_cell_news& news, bool) {
        if (news.cell == from.str()) {
            return;
        }
        for (wire::flow_pool_row& pool : news.pools) {
            const auto fill_room = pool.fill_cpu_millis.find(step.image);
            const bool known = step.filling && fill_room != pool.fill_cpu_millis.end();
            const std::int64_t left = (known          ? fill_room->second
                                       : step.filling ? pool.unused_cpu_millis
                                                      : pool.free_cpu_millis) -
                                      assigned_cpu_[cell_id(news.cell)];
            const bool fits_worker = pool.largest_free_memory_mib >= step.need.memory_mib &&
                                     (step.filling || tasks_that_fit(pool, needs) > 0);
            // An owner that has just taken over the cell knows of no worker yet.
            const std::int64_t largest_free = pool.each.empty() ? 0 : pool.each.front().free_cpu_millis;
            const auto own_image_cpu = pool.serving_cpu_millis.find(step.image);
            if (kind == room_kind::any) {
                if (pool.service_name == service && has_label(pool.labels, step.label) && pool.total_cpu_millis > 0 &&
                    (best == nullptr || left > best_score)) {
                    best = &news;
                    best_score = left;
                    best_pool = &pool;
                }
                continue;
            }
            if (kind == room_kind::reservable) {
                const std::int64_t short_work =
                    pool.total_cpu_millis - pool.lasting_cpu_millis - assigned_cpu_[cell_id(news.cell)];
                if (pool.service_name == service && has_label(pool.labels, step.label) &&
                    pool.largest_reservable_cpu_millis >= step.need.cpu_millis && short_work > best_score) {
                    best = &news;
                    best_score = short_work;
                    best_pool = &pool;
                }
                continue;
            }
            const std::int64_t score =
                step.lasting
                    ? 1 + largest_free + (own_image_cpu == pool.serving_cpu_millis.end() ? 0 : own_image_cpu->second)
                    : left;
            if (pool.service_name == service && has_label(pool.labels, step.label) && fits_worker &&
                (step.lasting || left >= step.need.cpu_millis) && score > best_score) {
                best = &news;
                best_score = score;
                best_pool = &pool;
            }
        }
    };
    for_each_news(now, consider);
    if (best == nullptr) {
        return std::nullopt;
    }
    assigned_cpu_[cell_id(best->cell)] += step.need.cpu_millis;
    if (!step.filling) {
        take_room(*best_pool, needs);
    }
    return std::make_pair(cell_id(best->cell), epoch(best->epoch));
}

// A cell reports only the largest free memory of one worker, so its owner may find room for fewer tasks.
std::vector<flow_cell_room> flow_entry::list_cells_with_room(instant now, const cell_id& from,
                                                             const std::string& service, const flow_step& step)
{
    job_needs needs;
    needs.tasks = step.count;
    needs.task_cpu = step.filling ? 0 : step.need.cpu_millis;
    needs.per_worker_most = step.per_worker_most;
    needs.task_label = step.label;
    std::vector<flow_cell_room> rooms;
    for_each_news(now, [&](const wire::flow_cell_news& news, bool) {
        for (const wire::flow_pool_row& pool : news.pools) {
            const std::int32_t tasks = tasks_that_fit(pool, needs);
            if (news.cell != from.str() && pool.service_name == service && tasks > 0 &&
                pool.largest_free_memory_mib >= step.need.memory_mib) {
                rooms.push_back({cell_id(news.cell), epoch(news.epoch), tasks});
            }
        }
    });
    std::sort(rooms.begin(), rooms.end(), [](const flow_cell_room& a, const flow_cell_room& b) {
        return a.tasks != b.tasks ? a.tasks > b.tasks : a.cell < b.cell;
    });
    return rooms;
}

double flow_entry::non_filling_cpu_share(instant now, const std::string& service)
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    for_each_news(now, [&](const wire::flow_cell_news& news, bool) {
        for (const wire::flow_pool_row& pool : news.pools) {
            const bool counts = pool.service_name == service;
            total += counts ? pool.total_cpu_millis : 0;
            free += counts ? pool.free_cpu_millis : 0;
        }
    });
    return total == 0 ? 1.0 : 1.0 - static_cast<double>(free) / static_cast<double>(total);
}

void flow_entry::send_job_states()
{
    if (state_news_.empty()) {
        return;
    }
    std::map<net_address, std::vector<wire::flow_state_news>> news;
    news.swap(state_news_);
    for (auto& [address, states] : news) {
        wire::flow_message message;
        message.states = states;
        // A lost message costs one read of the table when the caller next queries the job.
        edges_.send_message(address, message, [](instant, const std::optional<wire::flow_message>&) {});
    }
}

// --- state ---

void flow_entry::ask_state(instant now, const job_id& job, caller_reply reply)
{
    const auto at = tracked_jobs_.find(job);
    if (at != tracked_jobs_.end() && at->second.accepted) {
        tracked_job& f = at->second;
        const bool final =
            f.state == flow_state::done || f.state == flow_state::failed || f.state == flow_state::cancelled;
        if (final || now - f.checked < max_job_state_age) {
            reply({caller_result::state, f.state, 0, duration(0), ""});
            return;
        }
    }
    tracked_job& f = tracked_jobs_[job];
    f.waiting_state.push_back(std::move(reply));
    if (!f.reading) {
        read_state(job);
    }
}

void flow_entry::read_state(const job_id& job)
{
    tracked_jobs_[job].reading = true;
    ++stats_.state_reads;
    edges_.read(index_rows(job), [this, job](instant then, const store_page& page) {
        const auto at = tracked_jobs_.find(job);
        if (at == tracked_jobs_.end()) {
            return;
        }
        tracked_job& f = at->second;
        f.reading = false;
        std::vector<caller_reply> waiting;
        waiting.swap(f.waiting_state);
        caller_answer answer{caller_result::retry_later, f.state, 0, unavailable_retry, "the table could not be read"};
        if (page.reached && page.rows.empty()) {
            answer = {caller_result::unknown_job, flow_state::queued, 0, duration(0), "no such job"};
            if (!f.accepting) {
                tracked_jobs_.erase(at);
            }
        }
        else if (page.reached) {
            const auto row = read_index(edges_, page.rows);
            if (row) {
                f.accepted = true;
                f.state = state_of(*row);
                f.checked = then;
                answer = {caller_result::state, f.state, 0, duration(0), ""};
            }
        }
        else if (f.accepted) {
            answer = {caller_result::state, f.state, 0, duration(0), ""}; // the last known state
        }
        for (const caller_reply& reply : waiting) {
            reply(answer);
        }
    });
}

// Records a job's state as reported by the owner of its cell.
void flow_entry::update_job_state(instant now, const job_id& job, flow_state state)
{
    const auto at = tracked_jobs_.find(job);
    if (at != tracked_jobs_.end()) {
        at->second.state = state;
        at->second.checked = now;
    }
}

// --- cancel ---

void flow_entry::cancel(const job_id& job, instant give_up, caller_reply reply)
{
    edges_.read(index_rows(job), [this, job, give_up, reply = std::move(reply)](instant then, const store_page& page) {
        if (!page.reached) {
            if (then + accept_retry < give_up) {
                edges_.after(accept_retry, [this, job, give_up, reply](instant) { cancel(job, give_up, reply); });
                return;
            }
            reply(
                {caller_result::retry_later, flow_state::queued, 0, unavailable_retry, "the table could not be read"});
            return;
        }
        if (page.rows.empty()) {
            edges_.note(log_level::info, "job", "cancel_of_unknown_job", {{"job", job.str()}});
            reply({caller_result::unknown_job, flow_state::queued, 0, duration(0), "no such job"});
            return;
        }
        const auto row = read_index(edges_, page.rows);
        if (!row) {
            reply({caller_result::retry_later, flow_state::queued, 0, unavailable_retry, "row unreadable"});
            return;
        }
        if (row->outcome != 0) {
            edges_.note(log_level::info, "job", "cancel_of_ended_job", {{"job", job.str()}});
            reply({caller_result::cancelled, flow_state::cancelled, 0, duration(0), ""});
            return;
        }
        if (row->cancelled) {
            confirm_cancel(then, job, cell_id(row->cell), {version_of(page.rows, index_cancel_key(job)), true}, reply);
            return;
        }
        write_cancel(job, cell_id(row->cell), give_up, reply);
    });
}

// A cancel has rows of its own, so that it does not conflict with writes of the cell's owner.
void flow_entry::write_cancel(const job_id& job, const cell_id& cell, instant give_up, caller_reply reply)
{
    const std::string value = encode_compact(make_cancel_row(cell));
    store_transaction t;
    t.checks.push_back({index_cancel_key(job), row_version(0)});
    t.puts.push_back({index_cancel_key(job), value});
    t.puts.push_back({job_row_key(cancel_row(cell, job)), value});
    edges_.commit(std::move(t), [this, job, cell, give_up, reply = std::move(reply)](instant then,
                                                                                     const store_result& result) {
        if (result.outcome == table_outcome::applied) {
            confirm_cancel(then, job, cell, {result.version, false}, reply);
            return;
        }
        if (result.outcome == table_outcome::conflict && !result.rows.empty()) {
            confirm_cancel(then, job, cell, {result.rows.front().version, true}, reply);
            return;
        }
        if (then + accept_retry < give_up) {
            edges_.after(accept_retry, [this, job, give_up, reply](instant) { cancel(job, give_up, reply); });
            return;
        }
        edges_.note(log_level::warning, "job", "cancel_unsettled", {{"job", job.str()}, {"reason", result.reason}});
        reply({caller_result::retry_later, flow_state::queued, 0, unavailable_retry, "the table could not be written"});
    });
}

// Answers a cancel that is in the table, and notifies the owner of the job's cell. Failure: the cancel was written by
// an earlier try whose answer was lost, or by an entry that has stopped since. Symptom: the caller is told that the job
// is cancelled, but nobody tells the owner, and the tasks run on. So the owner is notified by whoever finds the cancel;
// for an owner that knows it, the message changes nothing.
void flow_entry::confirm_cancel(instant now, const job_id& job, const cell_id& cell, stored_cancel cancel,
                                const caller_reply& reply)
{
    edges_.note(log_level::info, "job", "cancel_accepted",
                {{"job", job.str()},
                 {"version", std::to_string(cancel.version.value())},
                 {"written_before", cancel.written_before ? "yes" : "no"}});
    const auto at = tracked_jobs_.find(job);
    if (at != tracked_jobs_.end()) {
        at->second.state = flow_state::cancelled;
    }
    reply({caller_result::cancelled, flow_state::cancelled, 0, duration(0), ""});
    notify_cell_owner(now, cancel_row(cell, job), make_cancel_row(cell), cancel.version);
}

} // namespace skylarkhub
