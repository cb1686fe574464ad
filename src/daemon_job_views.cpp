// Listing and showing jobs: the owners of cells know what runs, the table knows what is bound to whom.
#include <algorithm>
#include <map>
#include <set>

#include "daemon_answers_p.h"
#include "daemon_jobs_p.h"
#include "job_view_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

using json = nlohmann::json;
using parts_by_job = std::map<std::string, std::vector<job_part>>;

// What a call asks the owners for: "jobs/TEAM" (empty: every team) or "job/ID".
constexpr std::string_view list_prefix = "jobs/";
constexpr std::string_view show_prefix = "job/";

bool is_wanted(const std::string& what, const wire::job_row& row)
{
    if (what.starts_with(show_prefix)) {
        return row.job == what.substr(show_prefix.size());
    }
    const std::string team = what.substr(list_prefix.size());
    return team.empty() || row.spec.team == team;
}

json list_cells_unheard(const std::vector<cell_room>& rooms, const std::set<std::string>& heard)
{
    json missing = json::array();
    for (const cell_room& room : rooms) {
        if (!heard.contains(room.cell.str())) {
            missing.push_back(room.cell.str());
        }
    }
    return missing;
}

// Waits for the rows of all parts of one job, then answers once.
struct part_reader {
    absl::Mutex mutex;
    std::vector<job_part> parts ABSL_GUARDED_BY(mutex);
    std::size_t left ABSL_GUARDED_BY(mutex) = 0;
    bool failed ABSL_GUARDED_BY(mutex) = false;
    http_reply reply;
};

void take_row(part_reader& reader, const std::string& cell, std::int32_t running, const std::optional<table_row>& row)
{
    absl::MutexLock lock(&reader.mutex);
    reader.failed = reader.failed || !row;
    if (row && row->value) {
        const auto found = decode_row<wire::job_row>(*row->value);
        if (found) {
            reader.parts.push_back({cell, *found, running});
        }
    }
    if (--reader.left > 0) {
        return;
    }
    if (reader.failed) {
        reader.reply(answer_not_done(503, "unavailable", "", "the table cannot be read"));
    }
    else if (reader.parts.empty()) {
        reader.reply(answer_not_done(503, "unavailable", "", "accepted, its cells have not taken it in yet"));
    }
    else {
        reader.reply(make_json(200, format_job(reader.parts, true)));
    }
}

} // namespace

std::string job_api::own_parts(const std::string& what) const
{
    std::vector<job_part> parts;
    for (const auto& host : edges_.cells.hosts()) {
        if (host->role() != cell_role::owning) {
            continue;
        }
        for (const job_view& view : host->jobs()) {
            if (is_wanted(what, view.row)) {
                parts.push_back({host->id().str(), view.row, view.running});
            }
        }
    }
    return format_parts(parts);
}

void job_api::list(const http_request& request, http_reply reply)
{
    const std::string team(find_field(request.query, "team"));
    const std::string service(find_field(request.query, "service"));
    const std::string what = std::string(list_prefix) + team;
    edges_.gather(what, [this, what, service, reply = std::move(reply)](const std::vector<gathered_part>& answers) {
        std::set<std::string> heard;
        for (const auto& host : edges_.cells.hosts()) {
            if (host->role() == cell_role::owning) {
                heard.insert(host->id().str());
            }
        }
        parts_by_job jobs;
        const auto take = [&](const std::string& text) {
            for (job_part& part : parse_parts(text)) {
                heard.insert(part.cell);
                const std::string job = part.row.job;
                jobs[job].push_back(std::move(part));
            }
        };
        take(own_parts(what));
        std::set<std::string> owners;
        for (const gathered_part& answer : answers) {
            if (answer.text) {
                take(*answer.text);
                owners.insert(answer.from.incarnation.str());
            }
        }
        for (const wire::cell_news& news : edges_.cells.all_news()) {
            if (owners.contains(news.summary.owner)) {
                heard.insert(news.summary.cell);
            }
        }
        json list = json::array();
        for (const auto& [job, parts] : jobs) {
            const bool is_service = parts.front().row.spec.is_service;
            if (service.empty() || (service == "1") == is_service) {
                list.push_back(format_job(parts, false));
            }
        }
        reply(make_json(200, {{"jobs", list}, {"missing", list_cells_unheard(edges_.cells.rooms(), heard)}}));
    });
}

void job_api::show(const job_id& job, http_reply reply)
{
    const std::string what = std::string(show_prefix) + job.str();
    edges_.gather(what, [this, job, what, reply = std::move(reply)](const std::vector<gathered_part>& answers) {
        std::map<std::string, std::int32_t> running;
        const auto take = [&](const std::string& text) {
            for (const job_part& part : parse_parts(text)) {
                running[part.cell] = part.running;
            }
        };
        take(own_parts(what));
        for (const gathered_part& answer : answers) {
            take(answer.text.value_or("[]"));
        }
        read_parts(job, running, reply);
    });
}

void job_api::read_parts(const job_id& job, const std::map<std::string, std::int32_t>& running, const http_reply& reply)
{
    const std::string index_key = job_index_key(team_of_job(job), operation_id(job.str()));
    edges_.platform.read(
        table_traffic::work, index_key, [this, job, running, reply](const std::optional<table_row>& row) {
            if (!row) {
                reply(answer_not_done(503, "unavailable", "", "the table cannot be read"));
                return;
            }
            const auto index = row->value ? decode_row<wire::job_index_row>(*row->value) : std::nullopt;
            if (!index) {
                reply(answer_not_done(404, "not_found", "job", "there is no job " + job.str()));
                return;
            }
            auto reader = std::make_shared<part_reader>();
            reader->reply = reply;
            {
                absl::MutexLock lock(&reader->mutex);
                reader->left = index->cells.size();
            }
            for (const std::string& cell : index->cells) {
                const auto found = running.find(cell);
                const std::int32_t count = found == running.end() ? 0 : found->second;
                edges_.platform.read(table_traffic::work, job_key(cell_id(cell), job),
                                     [reader, cell, count](const std::optional<table_row>& part) {
                                         take_row(*reader, cell, count, part);
                                     });
            }
        });
}

} // namespace skylarkhub
