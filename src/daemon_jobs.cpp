#include "daemon_jobs_p.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "daemon_answers_p.h"
#include "daemon_clock_p.h"
#include "job_json_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

constexpr int instruction_tries_most = 5;

} // namespace

std::vector<api_route> job_api::routes()
{
    return {
        {"POST", "/v1/jobs",
         [this](const path_parts&, const http_request& r, const http_reply& reply) { submit(r, reply); }},
        {"GET", "/v1/jobs",
         [this](const path_parts&, const http_request& r, http_reply reply) { list(r, std::move(reply)); }},
        {"GET", "/v1/jobs/*",
         [this](const path_parts& p, const http_request&, http_reply reply) { show(job_id(p[0]), std::move(reply)); }},
        {"DELETE", "/v1/jobs/*",
         [this](const path_parts& p, const http_request& r, const http_reply& reply) {
             instruct(job_id(p[0]), r, true, reply);
         }},
        {"POST", "/v1/jobs/*/resume",
         [this](const path_parts& p, const http_request& r, const http_reply& reply) {
             instruct(job_id(p[0]), r, false, reply);
         }},
        {"GET", "/v1/standing",
         [this](const path_parts&, const http_request& r, const http_reply& reply) { list_standing(r, reply); }},
        {"PUT", "/v1/standing/*/*",
         [this](const path_parts& p, const http_request& r, const http_reply& reply) {
             put_standing(team_id(p[0]), p[1], r, reply);
         }},
        {"DELETE", "/v1/standing/*/*",
         [this](const path_parts& p, const http_request& r, const http_reply& reply) {
             stop_standing(team_id(p[0]), p[1], r, reply);
         }},
    };
}

bool job_api::authorise(const team_id& team, const http_request& request, const http_reply& reply) const
{
    const auto tree = edges_.settings.tree();
    if (!tree) {
        reply(answer_without_settings());
        return false;
    }
    if (tree->may_change({settings::team, team.str()}, read_token(request))) {
        return true;
    }
    reply(answer_not_done(403, "not_allowed", "Authorization", "the token is not one of team " + team.str()));
    return false;
}

bool job_api::check_kind(const job_spec& spec, const std::string& path, const http_reply& reply) const
{
    const auto tree = edges_.settings.tree();
    if (!tree) {
        reply(answer_without_settings());
        return false;
    }
    if (tree->find_kind(spec.team, edges_.own, spec.kind)) {
        return true;
    }
    reply(answer_not_done(422, "bad_request", path, "the settings have no kind " + spec.kind.str()));
    return false;
}

void job_api::submit(const http_request& request, const http_reply& reply)
{
    const std::string key = read_operation_key(request);
    if (key.empty()) {
        reply(answer_not_done(400, "bad_request", "Operation-Key", "is missing: without it a repeat would run twice"));
        return;
    }
    std::vector<field_error> errors;
    const auto spec = parse_job(request.body, &errors);
    if (!spec) {
        reply(answer_problems(400, errors));
        return;
    }
    if (!authorise(spec->team, request, reply) || !check_kind(*spec, "kind", reply)) {
        return;
    }
    const auto rooms = edges_.cells.rooms();
    if (rooms.empty()) {
        reply(answer_not_done(503, "unavailable", "", "no worker is known yet"));
        return;
    }
    const auto parts = split_job(*spec, rooms, XXH3_64bits(key.data(), key.size()), &errors);
    if (parts.empty() && errors.empty()) {
        reply(answer_not_done(503, "unavailable", "", "all data centres are evacuated"));
        return;
    }
    if (parts.empty()) {
        reply(answer_problems(422, errors));
        return;
    }
    const job_id job = derive_job_id(spec->team, operation_id(key));
    const std::string fingerprint = fingerprint_spec(to_row(*spec));
    edges_.platform.commit_settled(
        table_traffic::work, accept_job(job, *spec, parts, read_wall_clock()), settle_time,
        [this, job, fingerprint, parts, reply](const table_result& result) {
            if (result.outcome == table_outcome::applied) {
                for (const cell_part& part : parts) {
                    edges_.hint(part.cell);
                }
                reply(make_json(202, {{"job", job.str()}}));
                return;
            }
            if (result.outcome != table_outcome::conflict) {
                reply(answer_table_failure(result));
                return;
            }
            const auto index = result.rows.empty() || !result.rows.front().value
                                   ? std::nullopt
                                   : decode_row<wire::job_index_row>(*result.rows.front().value);
            if (index && index->fingerprint == fingerprint) {
                reply(make_json(202, {{"job", job.str()}}));
                return;
            }
            reply(answer_not_done(409, "conflict", "Operation-Key", "was used with another job"));
        });
}

void job_api::instruct(const job_id& job, const http_request& request, bool cancel, const http_reply& reply)
{
    const std::string key = read_operation_key(request);
    const team_id team = team_of_job(job);
    if (key.empty()) {
        reply(answer_not_done(400, "bad_request", "Operation-Key", "is missing"));
        return;
    }
    if (!authorise(team, request, reply)) {
        return;
    }
    leave_instruction({job, operation_id(key), cancel}, 1, reply);
}

void job_api::leave_instruction(const instruction& wanted, int tries, const http_reply& reply)
{
    const std::string index_key = job_index_key(team_of_job(wanted.job), operation_id(wanted.job.str()));
    edges_.platform.read(
        table_traffic::work, index_key, [this, wanted, tries, reply](const std::optional<table_row>& row) {
            if (!row) {
                reply(answer_not_done(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            const auto index = row->value ? decode_row<wire::job_index_row>(*row->value) : std::nullopt;
            if (!index) {
                reply(answer_not_done(404, "not_found", "job", "no job " + wanted.job.str()));
                return;
            }
            edges_.platform.commit_settled(
                table_traffic::work, instruct_cells(*index, row->version, wanted.key, wanted.cancel), settle_time,
                [this, wanted, tries, cells = index->cells, reply](const table_result& result) {
                    // Another instruction for the same job came first: both are to be carried out.
                    if (result.outcome == table_outcome::conflict && tries < instruction_tries_most) {
                        leave_instruction(wanted, tries + 1, reply);
                        return;
                    }
                    end_instruction(wanted, cells, result, reply);
                });
        });
}

void job_api::end_instruction(const instruction& wanted, const std::vector<std::string>& cells,
                              const table_result& result, const http_reply& reply)
{
    if (result.outcome == table_outcome::conflict) {
        reply(answer_not_done(503, "unavailable", "", "others keep changing this job"));
        return;
    }
    if (result.outcome != table_outcome::applied) {
        reply(answer_table_failure(result));
        return;
    }
    for (const std::string& cell : cells) {
        edges_.hint(cell_id(cell));
    }
    reply(make_json(202, {{"job", wanted.job.str()}}));
}

} // namespace skylarkhub
