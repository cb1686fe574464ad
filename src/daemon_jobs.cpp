#include "daemon_jobs_p.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "daemon_clock_p.h"
#include "job_json_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

using json = nlohmann::json;

constexpr duration settle_time = std::chrono::seconds(4);
constexpr std::string_view bearer = "Bearer ";
constexpr const char* retry_after_ms = "1000";

http_response with_outcome(http_response response, const char* outcome)
{
    response.headers.emplace_back("Outcome", outcome);
    if (response.status == 503) {
        response.headers.emplace_back("Retry-After-Ms", retry_after_ms);
    }
    return response;
}

http_response did_not_run(int status, const std::string& error, const std::string& field, const std::string& reason)
{
    return with_outcome(make_error(status, error, field, reason), "did-not-run");
}

http_response list_errors(int status, const std::vector<field_error>& errors)
{
    json list = json::array();
    for (const field_error& e : errors) {
        list.push_back({{"field", e.field}, {"reason", e.reason}});
    }
    json body{{"error", "bad_input"}, {"field", errors.front().field}, {"reason", errors.front().reason}};
    body["errors"] = list;
    return with_outcome(make_json(status, body), "did-not-run");
}

// What an outcome of the table other than applied and conflict means for the caller.
http_response answer_failure(const table_result& result)
{
    if (result.outcome == table_outcome::unknown) {
        return with_outcome(make_error(504, "unknown", "", "the table did not answer; ask again with the same key"),
                            "unknown");
    }
    return did_not_run(503, "unavailable", "", "the table refused: " + result.reason);
}

std::string read_token(const http_request& request)
{
    const std::string_view header = find_field(request.headers, "authorization");
    return std::string(header.starts_with(bearer) ? header.substr(bearer.size()) : std::string_view());
}

std::string read_operation_key(const http_request& request)
{
    return std::string(find_field(request.headers, "operation-key"));
}

// Of one part of a job as its row tells it.
struct part_counts {
    std::int32_t finished = 0;
    std::int32_t parked = 0;
    std::int32_t cancelled = 0;
    std::int32_t open = 0;
    std::string last_reason;
};

part_counts count_tasks(const wire::job_row& row)
{
    part_counts counts;
    counts.open = row.task_total;
    for (const wire::task_row& task : row.tasks) {
        counts.finished += task.phase == wire::task_phase_row::finished ? 1 : 0;
        counts.parked += task.phase == wire::task_phase_row::parked ? 1 : 0;
        counts.cancelled += task.phase == wire::task_phase_row::cancelled ? 1 : 0;
        if (!task.last_reason.empty()) {
            counts.last_reason = task.last_reason;
        }
    }
    counts.open -= counts.finished + counts.parked + counts.cancelled;
    return counts;
}

std::string name_state(std::int32_t open, std::int32_t running, std::int32_t parked, std::int32_t cancelled,
                       bool cancelling)
{
    if (open > 0 && cancelling) {
        return "cancelling";
    }
    if (open > 0) {
        return running > 0 ? "running" : "queued";
    }
    if (cancelled > 0) {
        return "cancelled";
    }
    return parked > 0 ? "parked" : "finished";
}

// Collects the rows of all parts of one job, then answers once.
struct job_collector {
    wire::job_index_row index;
    std::vector<std::optional<wire::job_row>> parts;
    std::size_t left = 0;
    bool failed = false;
    absl::Mutex mutex;
    std::vector<std::int32_t> running;
    http_reply reply;
};

json format_job(const job_collector& c)
{
    json tasks{{"running", 0}, {"queued", 0}, {"finished", 0}, {"parked", 0}, {"cancelled", 0}};
    json out{{"job", c.index.job}, {"team", c.index.team}, {"accepted_ms", c.index.accepted_ms}};
    part_counts sum;
    std::int32_t running = 0;
    std::int64_t ended_ms = 0;
    bool cancelling = false;
    json parts = json::array();
    for (std::size_t i = 0; i < c.parts.size(); ++i) {
        json part{{"cell", c.index.cells[i]}, {"state", "accepted"}};
        if (c.parts[i]) {
            const wire::job_row& row = *c.parts[i];
            const part_counts counts = count_tasks(row);
            part["state"] = name_state(counts.open, c.running[i], counts.parked, counts.cancelled, row.cancelling);
            part["tasks"] = row.task_total;
            out["spec"] = format_job_spec(from_row(row.spec));
            sum.finished += counts.finished;
            sum.parked += counts.parked;
            sum.cancelled += counts.cancelled;
            sum.open += counts.open;
            running += c.running[i];
            ended_ms = std::max(ended_ms, row.ended_ms);
            cancelling = cancelling || row.cancelling;
            if (!counts.last_reason.empty()) {
                out["last_reason"] = counts.last_reason;
            }
        }
        else {
            ++sum.open;
        }
        parts.push_back(part);
    }
    tasks["running"] = running;
    tasks["queued"] = std::max(0, sum.open - running);
    tasks["finished"] = sum.finished;
    tasks["parked"] = sum.parked;
    tasks["cancelled"] = sum.cancelled;
    out["tasks"] = tasks;
    out["state"] = name_state(sum.open, running, sum.parked, sum.cancelled, cancelling);
    out["ended_ms"] = sum.open > 0 ? 0 : ended_ms;
    out["parts"] = parts;
    return out;
}

} // namespace

std::vector<api_route> job_api::routes()
{
    return {
        {"POST", "/v1/jobs",
         [this](const path_parts&, http_request r, http_reply reply) { submit(std::move(r), std::move(reply)); }},
        {"GET", "/v1/jobs",
         [this](const path_parts&, const http_request& r, http_reply reply) { list(r, std::move(reply)); }},
        {"GET", "/v1/jobs/*",
         [this](const path_parts& p, const http_request&, http_reply reply) { show(job_id(p[0]), std::move(reply)); }},
        {"DELETE", "/v1/jobs/*",
         [this](const path_parts& p, const http_request& r, http_reply reply) {
             instruct(job_id(p[0]), r, true, std::move(reply));
         }},
        {"POST", "/v1/jobs/*/resume",
         [this](const path_parts& p, const http_request& r, http_reply reply) {
             instruct(job_id(p[0]), r, false, std::move(reply));
         }},
        {"GET", "/v1/standing",
         [this](const path_parts&, const http_request&, const http_reply& reply) { list_standing(reply); }},
        {"PUT", "/v1/standing/*/*",
         [this](const path_parts& p, const http_request& r, http_reply reply) {
             put_standing(team_id(p[0]), p[1], r, std::move(reply));
         }},
        {"DELETE", "/v1/standing/*/*",
         [this](const path_parts& p, const http_request& r, http_reply reply) {
             stop_standing(team_id(p[0]), p[1], r, std::move(reply));
         }},
    };
}

bool job_api::authorise(const team_id& team, const http_request& request, const http_reply& reply) const
{
    if (edges_.settings.tree().may_change({settings::team, team.str()}, read_token(request))) {
        return true;
    }
    reply(did_not_run(403, "forbidden", "Authorization", "the token is not one of team " + team.str()));
    return false;
}

bool job_api::check_kind(const job_spec& spec, const std::string& path, const http_reply& reply) const
{
    if (edges_.settings.tree().find_kind(spec.team, edges_.own, spec.kind)) {
        return true;
    }
    reply(did_not_run(422, "unknown_kind", path, "the settings have no kind " + spec.kind.str()));
    return false;
}

void job_api::submit(http_request request, http_reply reply)
{
    const std::string key = read_operation_key(request);
    if (key.empty()) {
        reply(did_not_run(400, "missing_key", "Operation-Key", "is missing: without it a repeat would run twice"));
        return;
    }
    std::vector<field_error> errors;
    const auto spec = parse_job(request.body, &errors);
    if (!spec) {
        reply(list_errors(400, errors));
        return;
    }
    if (!authorise(spec->team, request, reply) || !check_kind(*spec, "kind", reply)) {
        return;
    }
    const auto rooms = edges_.cells.rooms();
    if (rooms.empty()) {
        reply(did_not_run(503, "no_workers", "", "no worker is known yet"));
        return;
    }
    const auto parts = split_job(*spec, rooms, XXH3_64bits(key.data(), key.size()), &errors);
    if (parts.empty()) {
        reply(list_errors(422, errors));
        return;
    }
    const job_id job = derive_job_id(spec->team, operation_id(key));
    const std::string fingerprint = fingerprint_spec(to_row(*spec));
    edges_.platform.commit_settled(
        table_traffic::work, accept_job(job, *spec, parts, read_wall_clock()), settle_time,
        [this, job, fingerprint, parts, team = spec->team, reply](const table_result& result) {
            if (result.outcome == table_outcome::applied) {
                edges_.accepted(team);
                for (const cell_part& part : parts) {
                    edges_.hint(part.cell);
                }
                reply(make_json(202, {{"job", job.str()}}));
                return;
            }
            if (result.outcome != table_outcome::conflict) {
                reply(answer_failure(result));
                return;
            }
            const auto index = result.rows.empty() || !result.rows.front().value
                                   ? std::nullopt
                                   : decode_row<wire::job_index_row>(*result.rows.front().value);
            if (index && index->fingerprint == fingerprint) {
                reply(make_json(202, {{"job", job.str()}}));
                return;
            }
            reply(did_not_run(409, "key_mismatch", "Operation-Key", "was used with another job"));
        });
}

void job_api::list(const http_request& request, http_reply reply)
{
    const team_id team(find_field(request.query, "team"));
    if (!team.valid()) {
        reply(make_error(400, "missing_field", "team", "is missing"));
        return;
    }
    edges_.platform.scan(
        table_traffic::background, job_index_prefix(team), [reply = std::move(reply)](const table_scan_result& result) {
            if (!result.complete) {
                reply(make_error(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            json jobs = json::array();
            for (const table_row& row : result.rows) {
                const auto index = row.value ? decode_row<wire::job_index_row>(*row.value) : std::nullopt;
                if (index) {
                    jobs.push_back({{"job", index->job},
                                    {"team", index->team},
                                    {"accepted_ms", index->accepted_ms},
                                    {"cells", index->cells}});
                }
            }
            reply(make_json(200, {{"jobs", jobs}}));
        });
}

void job_api::show(const job_id& job, http_reply reply)
{
    const team_id team = team_of_job(job);
    auto collector = std::make_shared<job_collector>();
    collector->reply = std::move(reply);
    const auto take_part = [this, collector, job](std::size_t i, const std::optional<table_row>& row) {
        bool last = false;
        {
            absl::MutexLock lock(&collector->mutex);
            collector->failed = collector->failed || !row;
            if (row && row->value) {
                collector->parts[i] = decode_row<wire::job_row>(*row->value);
            }
            const auto host = edges_.cells.find(cell_id(collector->index.cells[i]));
            if (host) {
                for (const job_view& view : host->jobs()) {
                    collector->running[i] += view.row.job == job.str() ? view.running : 0;
                }
            }
            last = --collector->left == 0;
        }
        if (!last) {
            return;
        }
        if (collector->failed) {
            collector->reply(make_error(503, "unavailable", "", "the table cannot be read"));
            return;
        }
        collector->reply(make_json(200, format_job(*collector)));
    };
    edges_.platform.read(
        table_traffic::background, job_index_key(team, operation_id(job.str())),
        [this, collector, job, take_part](const std::optional<table_row>& row) {
            if (!row) {
                collector->reply(make_error(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            const auto index = row->value ? decode_row<wire::job_index_row>(*row->value) : std::nullopt;
            if (!index) {
                collector->reply(make_error(404, "unknown_job", "job", "no job " + job.str()));
                return;
            }
            collector->index = *index;
            collector->parts.resize(index->cells.size());
            collector->running.resize(index->cells.size());
            collector->left = index->cells.size();
            for (std::size_t i = 0; i < index->cells.size(); ++i) {
                edges_.platform.read(table_traffic::background, job_key(cell_id(index->cells[i]), job),
                                     [take_part, i](const std::optional<table_row>& part) { take_part(i, part); });
            }
        });
}

void job_api::instruct(const job_id& job, const http_request& request, bool cancel, http_reply reply)
{
    const std::string key = read_operation_key(request);
    const team_id team = team_of_job(job);
    if (key.empty()) {
        reply(did_not_run(400, "missing_key", "Operation-Key", "is missing"));
        return;
    }
    if (!authorise(team, request, reply)) {
        return;
    }
    edges_.platform.read(
        table_traffic::work, job_index_key(team, operation_id(job.str())),
        [this, job, key, cancel, reply](const std::optional<table_row>& row) {
            if (!row) {
                reply(did_not_run(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            const auto index = row->value ? decode_row<wire::job_index_row>(*row->value) : std::nullopt;
            if (!index) {
                reply(did_not_run(404, "unknown_job", "job", "no job " + job.str()));
                return;
            }
            edges_.platform.commit_settled(table_traffic::work, instruct_cells(*index, operation_id(key), cancel),
                                           settle_time, [this, job, index = *index, reply](const table_result& result) {
                                               if (result.outcome != table_outcome::applied) {
                                                   reply(answer_failure(result));
                                                   return;
                                               }
                                               for (const std::string& cell : index.cells) {
                                                   edges_.hint(cell_id(cell));
                                               }
                                               reply(make_json(202, {{"job", job.str()}}));
                                           });
        });
}

namespace {

struct standing_request {
    job_spec spec;
    std::int64_t period_ms = 0;
    std::int64_t first_due_ms = 0;
    std::int32_t catch_up = 1;
};

// Takes the fields of standing work out of `body`; what is left must be the job's own.
std::optional<standing_request> parse_standing(const team_id& team, const std::string& name, const std::string& text,
                                               std::vector<field_error>* errors)
{
    constexpr std::int64_t period_least_ms = 1000;
    constexpr std::int64_t period_most_ms = 366LL * 24 * 3600 * 1000;
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        errors->push_back({"body", "is not a JSON object"});
        return std::nullopt;
    }
    for (const auto& [field, value] : body.items()) {
        if (field != "period_ms" && field != "first_due_ms" && field != "catch_up" && field != "job") {
            errors->push_back({field, "is not a known field"});
        }
        else if (field != "job" && !value.is_number_integer()) {
            errors->push_back({field, "must be a whole number"});
        }
    }
    json job = body.value("job", json::object());
    if (job.is_object()) {
        job["team"] = team.str();
        job["name"] = name;
    }
    const auto spec = parse_job(job, "job", errors);
    if (!spec || !errors->empty()) {
        return std::nullopt;
    }
    standing_request out;
    out.spec = *spec;
    out.period_ms = body.value("period_ms", std::int64_t{0});
    out.first_due_ms = body.value("first_due_ms", std::int64_t{0});
    out.catch_up = static_cast<std::int32_t>(std::clamp<std::int64_t>(body.value("catch_up", std::int64_t{1}), 1, 100));
    if (out.period_ms < period_least_ms || out.period_ms > period_most_ms) {
        errors->push_back({"period_ms", fmt::format("must be between {} and {}", period_least_ms, period_most_ms)});
        return std::nullopt;
    }
    return out;
}

wire::standing_row make_standing(const standing_request& wanted, const std::optional<wire::standing_row>& before)
{
    wire::standing_row row = before.value_or(wire::standing_row());
    row.team = wanted.spec.team.str();
    row.name = wanted.spec.name;
    row.spec = to_row(wanted.spec);
    row.catch_up = wanted.catch_up;
    const bool same_rhythm = before && !before->stopped && before->period_ms == wanted.period_ms &&
                             before->first_due_ms == wanted.first_due_ms;
    row.period_ms = wanted.period_ms;
    row.first_due_ms = wanted.first_due_ms;
    row.stopped = false;
    if (!same_rhythm) {
        const std::int64_t now = wall_ms(read_wall_clock());
        row.next_due_ms = wanted.first_due_ms > 0 ? wanted.first_due_ms : now + wanted.period_ms;
    }
    return row;
}

} // namespace

void job_api::put_standing(const team_id& team, const std::string& name, const http_request& request, http_reply reply)
{
    std::vector<field_error> errors;
    const auto wanted = parse_standing(team, name, request.body, &errors);
    if (!wanted) {
        reply(list_errors(400, errors));
        return;
    }
    const std::string key = read_operation_key(request);
    if (key.empty()) {
        reply(did_not_run(400, "missing_key", "Operation-Key", "is missing"));
        return;
    }
    if (!authorise(team, request, reply) || !check_kind(wanted->spec, "job.kind", reply)) {
        return;
    }
    const std::string row_key = standing_key(team, name);
    edges_.platform.read(
        table_traffic::work, row_key,
        [this, wanted = *wanted, key, row_key, reply](const std::optional<table_row>& row) {
            if (!row) {
                reply(did_not_run(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            const auto before = row->value ? decode_row<wire::standing_row>(*row->value) : std::nullopt;
            table_transaction transaction;
            transaction.operation = operation_id("standing/" + key);
            transaction.checks.push_back({row_key, row->version});
            transaction.writes.push_back({row_key, encode_row(make_standing(wanted, before))});
            edges_.platform.commit_settled(
                table_traffic::work, std::move(transaction), settle_time, [this, reply](const table_result& result) {
                    if (result.outcome == table_outcome::applied) {
                        edges_.standing.refresh();
                        reply(make_json(200, {{"standing", "in force"}}));
                    }
                    else if (result.outcome == table_outcome::conflict) {
                        reply(did_not_run(409, "conflict", "", "somebody changed it at the same time"));
                    }
                    else {
                        reply(answer_failure(result));
                    }
                });
        });
}

void job_api::stop_standing(const team_id& team, const std::string& name, const http_request& request, http_reply reply)
{
    const std::string key = read_operation_key(request);
    if (key.empty()) {
        reply(did_not_run(400, "missing_key", "Operation-Key", "is missing"));
        return;
    }
    if (!authorise(team, request, reply)) {
        return;
    }
    const std::string row_key = standing_key(team, name);
    edges_.platform.read(
        table_traffic::work, row_key, [this, key, row_key, reply](const std::optional<table_row>& row) {
            const auto before = row && row->value ? decode_row<wire::standing_row>(*row->value) : std::nullopt;
            if (!before) {
                reply(row ? did_not_run(404, "unknown_standing", "name", "no such standing work")
                          : did_not_run(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            wire::standing_row next = *before;
            next.stopped = true;
            table_transaction transaction;
            transaction.operation = operation_id("standing_stop/" + key);
            transaction.checks.push_back({row_key, row->version});
            transaction.writes.push_back({row_key, encode_row(next)});
            edges_.platform.commit_settled(
                table_traffic::work, std::move(transaction), settle_time, [this, reply](const table_result& result) {
                    if (result.outcome == table_outcome::applied) {
                        edges_.standing.refresh();
                        reply(make_json(200, {{"standing", "stopped"}}));
                    }
                    else if (result.outcome == table_outcome::conflict) {
                        reply(did_not_run(409, "conflict", "", "it ran or was changed at the same time"));
                    }
                    else {
                        reply(answer_failure(result));
                    }
                });
        });
}

void job_api::list_standing(const http_reply& reply) const
{
    json list = json::array();
    const std::int64_t now = wall_ms(read_wall_clock());
    for (const wire::standing_row& row : edges_.standing.rows()) {
        json item{{"team", row.team}, {"name", row.name}, {"kind", row.spec.kind}, {"stopped", row.stopped}};
        item["period_ms"] = row.period_ms;
        item["next_due_ms"] = row.next_due_ms;
        item["late_ms"] = row.stopped ? 0 : std::max<std::int64_t>(0, now - row.next_due_ms);
        item["run_count"] = row.run_count;
        item["missed_count"] = row.missed_count;
        item["last_run_ms"] = row.last_run_ms;
        item["open_job"] = row.open_job;
        item["catch_up"] = row.catch_up;
        list.push_back(item);
    }
    reply(make_json(200, {{"standing", list}}));
}

} // namespace skylarkhub
