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

bool is_job_id(const std::string& text)
{
    return text.size() == job_id_length && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

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

// Returns the row with this key, or null if it is not among the rows.
const store_row* find_row(const std::vector<store_row>& rows, const store_key& key)
{
    const auto at = std::find_if(rows.begin(), rows.end(), [&key](const store_row& row) { return row.key == key; });
    return at == rows.end() ? nullptr : &*at;
}

row_version version_of(const store_row* row)
{
    return row == nullptr ? row_version(0) : row->version;
}

// Whether the row keeps the job from being accepted for good, as a cancel does. A refusal does so for requests before
// it.
bool is_final_withdrawal(const flow_edges& edges, const store_row& row)
{
    const auto withdrawal = read_flow_row<wire::flow_job_row>(edges, row);
    return !withdrawal || withdrawal->cancelled;
}

// Returns why a specification can't run, or an empty string if it can.
std::string find_problem(const flow_spec& spec, const machine_shares& shares)
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
    if (estimate_job_bytes(spec) > shares.job_bytes) {
        return "a job has too many tasks";
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

flow_entry::matched_request flow_entry::match_request(const caller_request& request) const
{
    matched_request matched;
    matched.queue = match_queue(request.host, request.path);
    if (matched.queue == nullptr) {
        matched.refusal = {caller_result::unknown_queue, flow_state::queued, 0, duration(0), "no such queue"};
        return matched;
    }
    matched.job = request.path.substr(matched.queue->prefix.size());
    const bool counts = matched.job.empty() && request.verb == caller_verb::state;
    if (!counts && !is_job_id(matched.job)) {
        matched.refusal = {caller_result::invalid, flow_state::queued, 0, duration(0),
                           "a job's id is 16 hexadecimal digits"};
    }
    return matched;
}

std::optional<std::int64_t> flow_entry::body_bytes_most() const
{
    return config_ && config_->body_bytes_most > 0 ? std::optional(config_->body_bytes_most) : std::nullopt;
}

// Failure: many requests wait for the table at once, each larger in memory than it was as a text. Symptom: the machine
// ends the process. So a request that the bound has no room for ends unanswered: a refusal would promise that its job
// never runs, and an earlier request for the same job may have been accepted.
void flow_entry::on_request(instant now, const caller_request& request, caller_reply reply)
{
    const auto charge =
        waiting_.take(waiting_request_bytes + (request.spec ? estimate_waiting_bytes(*request.spec) : std::int64_t{0}));
    if (!charge) {
        ++stats_.dropped;
        reply({caller_result::dropped, flow_state::queued, 0, duration(0), ""});
        return;
    }
    answer_request(now, request, [charge, reply = std::move(reply)](const caller_answer& answer) { reply(answer); });
}

void flow_entry::answer_request(instant now, const caller_request& request, caller_reply reply)
{
    if (!config_) {
        reply({caller_result::retry_later, flow_state::queued, 0, unavailable_retry, "no configuration yet"});
        return;
    }
    const duration request_timeout = request.request_timeout > duration(0)
                                         ? std::min(request.request_timeout, max_request_timeout)
                                         : default_request_timeout;
    const instant give_up = now + request_timeout - answer_margin;
    const matched_request matched = match_request(request);
    if (matched.refusal) {
        refuse_by_newest_config(now, request, give_up, reply);
        return;
    }
    serve_request(now, request, matched, give_up, std::move(reply));
}

// Failure: what this entry knows of the newest configuration is older than the request, or the watch that told it has
// passed over a change. Symptom: a queue that a confirmed change has added is refused permanently. So the table is
// asked after the request has come. A newer configuration without the queue, taken up meanwhile, refuses it as well.
void flow_entry::refuse_by_newest_config(instant now, const caller_request& request, instant give_up,
                                         const caller_reply& reply)
{
    if (!config_usable_ || newest_config_version() > config_version()) {
        log_unknown_queue(now, request, false, duration(0));
        reply(retry_for_newer_config());
        return;
    }
    confirm_config(now, give_up, [this, request, asked = now, give_up, reply](instant then, bool confirmed) {
        const matched_request matched = match_request(request);
        if (!matched.refusal) {
            serve_request(then, request, matched, give_up, reply);
            return;
        }
        log_unknown_queue(then, request, confirmed, then - asked);
        reply(confirmed ? *matched.refusal : retry_for_newer_config());
    });
}

void flow_entry::serve_request(instant now, const caller_request& request, const matched_request& matched,
                               instant give_up, caller_reply reply)
{
    if (matched.job.empty()) {
        ask_pending(now, matched.queue->name, std::move(reply));
        return;
    }
    const job_id job(matched.job);
    switch (request.verb) {
    case caller_verb::submit:
        submit(now, *matched.queue, job, request, give_up, std::move(reply));
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
    const std::string problem = request.spec ? find_problem(*request.spec, bounds_.shares) : request.problem;
    if (!problem.empty()) {
        reply({caller_result::invalid, flow_state::queued, 0, duration(0), problem});
        return;
    }
    if (!config_usable_) {
        refuse_unless_accepted(job, {"a newer configuration is being fetched", unavailable_retry}, reply);
        return;
    }
    if (is_site_evacuated()) {
        refuse_unless_accepted(job, {"all data centres are evacuated", full_retry}, reply);
        return;
    }
    if (!stopping_ && !has_lasting_room(now, job, queue, *request.spec)) {
        refuse_unless_accepted(job, {"no room for lasting tasks", full_retry}, reply);
        return;
    }
    const auto cell = choose_cell(now, queue, *request.spec);
    if (stopping_ || !cell) {
        refuse_unless_accepted(
            job, {stopping_ ? "stopping" : "no cell serves the queue and has memory for the job", unavailable_retry},
            reply);
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
    std::string row_bytes = encode_compact(row);
    if (static_cast<std::int64_t>(row_bytes.size()) > bounds_.row_bytes) {
        reply(
            {caller_result::invalid, flow_state::queued, 0, duration(0), "the job is larger than a row of the table"});
        return;
    }
    tracked_job& f = tracked_jobs_[job];
    f.accepting = true;
    f.asked = now;
    f.waiting_accept.push_back(std::move(reply));
    write_job({job, std::make_shared<const wire::flow_job_row>(std::move(row)), std::move(row_bytes), give_up});
}

// A caller without an answer may repeat its request at any entry. Its job may already be in the table, and then the
// caller must not be told that the job will never run.
void flow_entry::refuse_unless_accepted(const job_id& job, const refusal& why, const caller_reply& reply)
{
    if (table_away_ && !relay_peer()) {
        ++stats_.refused;
        edges_.note(log_level::info, "job", "refused", {{"job", job.str()}, {"reason", "table not reached"}});
        reply({caller_result::retry_later, flow_state::queued, 0, why.retry_delay, why.reason});
        return;
    }
    write_refusal(job, why, row_version(0), reply);
}

// Failure: the write of an earlier request for the job is applied after the refusal. Symptom: the caller is told that
// the job never runs, and it does. So the refusal is a row that such a write does not expect; a request that comes
// after it expects the row at this version. `withdrawn`: the version of an earlier such row, which is replaced.
void flow_entry::write_refusal(const job_id& job, const refusal& why, row_version withdrawn, const caller_reply& reply)
{
    store_transaction t;
    t.checks.push_back({index_key(job), row_version(0)});
    t.checks.push_back({withdrawn_key(job), withdrawn});
    t.puts.push_back({withdrawn_key(job), encode_compact(wire::flow_job_row())});
    edges_.commit(std::move(t), [this, job, why, withdrawn, reply](instant, const store_result& result) {
        const store_row* const accepted = find_row(result.rows, index_key(job));
        const store_row* const before = find_row(result.rows, withdrawn_key(job));
        if (accepted != nullptr) {
            ++stats_.repeated;
            edges_.note(log_level::info, "job", "accepted_before", {{"job", job.str()}});
            reply({caller_result::accepted, flow_state::queued, 0, duration(0), ""});
            if (const auto index = read_flow_row<wire::flow_job_row>(edges_, *accepted)) {
                hand_on_job(job, *index);
            }
            return;
        }
        if (before != nullptr && withdrawn == row_version(0) && !is_final_withdrawal(edges_, *before)) {
            write_refusal(job, why, before->version, reply);
            return;
        }
        ++stats_.refused;
        const bool stored = result.outcome == table_outcome::applied || before != nullptr;
        edges_.note(log_level::info, "job", "refused",
                    {{"job", job.str()}, {"reason", stored ? why.reason : "the refusal could not be written"}});
        reply({stored ? caller_result::rejected : caller_result::outcome_unknown, flow_state::queued, 0,
               stored ? why.retry_delay : unavailable_retry, why.reason});
    });
}

void flow_entry::write_job(const acceptance& accepting)
{
    const wire::flow_job_row& row = *accepting.row;
    wire::flow_job_row index;
    index.cell = row.cell;
    index.accepted_by = row.accepted_by;
    index.accept_token = row.accept_token;
    store_transaction t;
    t.checks.push_back({index_key(accepting.job), row_version(0)});
    t.checks.push_back({withdrawn_key(accepting.job), accepting.withdrawn});
    t.puts.push_back({index_key(accepting.job), encode_compact(index)});
    t.puts.push_back({job_row_key(accepted_row(cell_id(row.cell), accepting.job)), accepting.row_bytes});
    edges_.commit(std::move(t), [this, accepting](instant then, const store_result& result) {
        on_job_written(then, accepting, result);
    });
}

void flow_entry::on_job_written(instant now, const acceptance& accepting, const store_result& result)
{
    const job_id& job = accepting.job;
    const wire::flow_job_row& row = *accepting.row;
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
    case table_outcome::conflict:
        if (settle_accept_conflict(now, accepting, result.rows)) {
            return;
        }
        break;
    case table_outcome::refused:
    case table_outcome::unknown:
        break;
    }
    acceptance next = accepting;
    next.may_be_in_force = accepting.may_be_in_force || result.outcome != table_outcome::refused;
    ++next.tries;
    if (now + accept_retry < next.give_up && (next.may_be_in_force || accepting.tries < max_accept_attempts)) {
        edges_.after(accept_retry, [this, next](instant) { write_job(next); });
        return;
    }
    const bool in_doubt = next.may_be_in_force;
    edges_.note(log_level::warning, "job", in_doubt ? "accept_unsettled" : "refused",
                {{"job", job.str()}, {"reason", result.reason}, {"tries", std::to_string(next.tries)}});
    ++(in_doubt ? stats_.outcome_unknown : stats_.refused);
    answer_accept(now, job,
                  {in_doubt ? caller_result::outcome_unknown : caller_result::rejected, flow_state::queued, 0,
                   unavailable_retry, "the table could not be written"});
}

// Settles the request by the row that stands in the way of the acceptance. False if the table did not show one.
bool flow_entry::settle_accept_conflict(instant now, const acceptance& accepting, const std::vector<store_row>& rows)
{
    const job_id& job = accepting.job;
    if (const store_row* const found = find_row(rows, index_key(job))) {
        // The job is in the table: it was accepted before, by this entry (the table's answer was lost) or by another
        // one.
        ++stats_.repeated;
        edges_.note(log_level::info, "job", "accepted_before", {{"job", job.str()}});
        answer_accept(now, job, {caller_result::accepted, flow_state::queued, 0, duration(0), ""});
        const auto index = read_flow_row<wire::flow_job_row>(edges_, *found);
        if (index && index->accept_token == accepting.row->accept_token) {
            notify_owner_of_job(now, accepted_row(cell_id(accepting.row->cell), job), *accepting.row, found->version);
        }
        else if (index) {
            hand_on_job(job, *index);
        }
        return true;
    }
    const store_row* const withdrawn = find_row(rows, withdrawn_key(job));
    if (withdrawn == nullptr) {
        return false;
    }
    const bool final = is_final_withdrawal(edges_, *withdrawn);
    if (!final && accepting.tries == 0) {
        acceptance next = accepting; // the refusal came before this request, or at the same time
        next.withdrawn = withdrawn->version;
        ++next.tries;
        write_job(next);
        return true;
    }
    ++stats_.refused;
    const std::string reason = final ? "the job was cancelled before it was accepted" : "the job was refused meanwhile";
    edges_.note(log_level::info, "job", "refused", {{"job", job.str()}, {"reason", reason}});
    answer_accept(now, job,
                  {caller_result::rejected, flow_state::queued, 0, final ? duration(0) : unavailable_retry, reason});
    return true;
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
    else {
        remember_job(job, f);
    }
    for (const caller_reply& reply : waiting) {
        reply(answer);
    }
}

// Failure: each accepted job that a caller has asked about is kept in memory. Symptom: the entry grows by a few hundred
// bytes with each, for as long as it lives. What is forgotten is read from the table when the next caller asks.
void flow_entry::remember_job(const job_id& job, tracked_job& tracked)
{
    if (tracked.remembered) {
        return;
    }
    tracked.remembered = true;
    remembered_jobs_.push_back(job);
    while (remembered_jobs_.size() > bounds_.shares.remembered_jobs) {
        const job_id oldest = std::move(remembered_jobs_.front());
        remembered_jobs_.pop_front();
        const auto at = tracked_jobs_.find(oldest);
        if (at == tracked_jobs_.end() || oldest == job) {
            continue;
        }
        at->second.remembered = false;
        if (!at->second.accepting && !at->second.reading) {
            tracked_jobs_.erase(at);
        }
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
    unacknowledged.charge = waiting_.add(estimate_waiting_bytes(row, unacknowledged.bytes.size()));
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
                remember_job(job, f);
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
            withdraw_job(job, give_up, reply);
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
            confirm_cancel(then, job, cell_id(row->cell),
                           {version_of(find_row(page.rows, index_cancel_key(job))), true}, reply);
            return;
        }
        write_cancel(job, cell_id(row->cell), give_up, reply);
    });
}

// Failure: the write of the job's acceptance is applied seconds after it was sent, and the cancel comes before.
// Symptom: the caller is told that there is no such job, and the whole job runs later. So a row is written that an
// acceptance must not find, under the check that the job is not accepted: one of the two writes wins, in whatever order
// they are applied.
void flow_entry::withdraw_job(const job_id& job, instant give_up, const caller_reply& reply)
{
    store_transaction t;
    t.checks.push_back({index_key(job), row_version(0)});
    t.puts.push_back({withdrawn_key(job), encode_compact(make_cancel_row(cell_id()))});
    edges_.commit(std::move(t), [this, job, give_up, reply](instant then, const store_result& result) {
        if (result.outcome == table_outcome::applied) {
            edges_.note(log_level::info, "job", "cancel_of_unknown_job",
                        {{"job", job.str()}, {"version", std::to_string(result.version.value())}});
            reply({caller_result::unknown_job, flow_state::queued, 0, duration(0), "no such job"});
            return;
        }
        retry_cancel(then, job, give_up, result.reason, reply); // with a conflict, the job has been accepted meanwhile
    });
}

// Starts the cancel anew, while its caller waits.
void flow_entry::retry_cancel(instant now, const job_id& job, instant give_up, const std::string& reason,
                              const caller_reply& reply)
{
    if (now + accept_retry < give_up) {
        edges_.after(accept_retry, [this, job, give_up, reply](instant) { cancel(job, give_up, reply); });
        return;
    }
    edges_.note(log_level::warning, "job", "cancel_unsettled", {{"job", job.str()}, {"reason", reason}});
    reply({caller_result::retry_later, flow_state::queued, 0, unavailable_retry, "the table could not be written"});
}

// A cancel has rows of its own, so that it does not conflict with writes of the cell's owner.
void flow_entry::write_cancel(const job_id& job, const cell_id& cell, instant give_up, caller_reply reply)
{
    const std::string value = encode_compact(make_cancel_row(cell));
    store_transaction t;
    t.checks.push_back({index_cancel_key(job), row_version(0)});
    t.puts.push_back({index_cancel_key(job), value});
    t.puts.push_back({job_row_key(cancel_row(cell, job)), value});
    edges_.commit(std::move(t),
                  [this, job, cell, give_up, reply = std::move(reply)](instant then, const store_result& result) {
                      if (result.outcome == table_outcome::applied) {
                          confirm_cancel(then, job, cell, {result.version, false}, reply);
                          return;
                      }
                      if (result.outcome == table_outcome::conflict && !result.rows.empty()) {
                          confirm_cancel(then, job, cell, {result.rows.front().version, true}, reply);
                          return;
                      }
                      retry_cancel(then, job, give_up, result.reason, reply);
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
