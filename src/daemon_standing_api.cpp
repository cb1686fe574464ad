#include <fmt/format.h>

#include <algorithm>

#include "daemon_answers_p.h"
#include "daemon_clock_p.h"
#include "daemon_jobs_p.h"
#include "job_json_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

using json = nlohmann::json;

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
    json body = json::parse(text, nullptr, false);
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
    // Moved: the library copies a value level by level on the stack, which nested brackets of a caller overflow.
    json job = body.contains("job") ? std::move(body["job"]) : json::object();
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

void job_api::put_standing(const team_id& team, const std::string& name, const http_request& request,
                           const http_reply& reply)
{
    std::vector<field_error> errors;
    const auto wanted = parse_standing(team, name, request.body, &errors);
    if (!wanted) {
        reply(answer_problems(400, errors));
        return;
    }
    const std::string key = read_operation_key(request);
    if (key.empty()) {
        reply(answer_not_done(400, "bad_request", "Operation-Key", "is missing"));
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
                reply(answer_not_done(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            const auto before = row->value ? decode_row<wire::standing_row>(*row->value) : std::nullopt;
            table_transaction transaction;
            transaction.operation = operation_id("standing/" + key);
            transaction.checks.push_back({row_key, row->version});
            transaction.writes.push_back({row_key, encode_row(make_standing(wanted, before))});
            edges_.platform.commit_settled(
                table_traffic::work, std::move(transaction), settle_time,
                [this, wanted, reply](const table_result& result) {
                    if (result.outcome == table_outcome::applied) {
                        edges_.standing.refresh();
                        reply(make_json(200, {{"team", wanted.spec.team.str()}, {"name", wanted.spec.name}}));
                    }
                    else if (result.outcome == table_outcome::conflict) {
                        reply(answer_not_done(409, "conflict", "", "somebody changed it at the same time"));
                    }
                    else {
                        reply(answer_table_failure(result));
                    }
                });
        });
}

void job_api::stop_standing(const team_id& team, const std::string& name, const http_request& request,
                            const http_reply& reply)
{
    const std::string key = read_operation_key(request);
    if (key.empty()) {
        reply(answer_not_done(400, "bad_request", "Operation-Key", "is missing"));
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
                reply(row ? answer_not_done(404, "not_found", "name", "no such standing work")
                          : answer_not_done(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            wire::standing_row next = *before;
            next.stopped = true;
            table_transaction transaction;
            transaction.operation = operation_id("standing_stop/" + key);
            transaction.checks.push_back({row_key, row->version});
            transaction.writes.push_back({row_key, encode_row(next)});
            edges_.platform.commit_settled(
                table_traffic::work, std::move(transaction), settle_time,
                [this, next, reply](const table_result& result) {
                    if (result.outcome == table_outcome::applied) {
                        edges_.standing.refresh();
                        reply(make_json(200, {{"team", next.team}, {"name", next.name}}));
                    }
                    else if (result.outcome == table_outcome::conflict) {
                        reply(answer_not_done(409, "conflict", "", "it ran or was changed at the same time"));
                    }
                    else {
                        reply(answer_table_failure(result));
                    }
                });
        });
}

void job_api::list_standing(const http_request& request, const http_reply& reply) const
{
    const std::string team(find_field(request.query, "team"));
    json list = json::array();
    for (const wire::standing_row& row : edges_.standing.rows()) {
        if (!team.empty() && row.team != team) {
            continue;
        }
        list.push_back({{"team", row.team},
                        {"name", row.name},
                        {"kind", row.spec.kind},
                        {"period_ms", row.period_ms},
                        {"first_due_ms", row.first_due_ms},
                        {"next_due_ms", row.next_due_ms},
                        {"catch_up", row.catch_up},
                        {"run_count", row.run_count},
                        {"missed_count", row.missed_count},
                        {"stopped", row.stopped},
                        {"last_run_ms", row.last_run_ms},
                        {"open_job", row.open_job}});
    }
    reply(make_json(200, {{"standing", list}}));
}

} // namespace skylarkhub
