// Operators' calls that are not about work: settings, members, cells, reports, health and metrics.
#include <fmt/format.h>

#include <fstream>

#include "daemon_answers_p.h"
#include "daemon_app_p.h"
#include "daemon_clock_p.h"

namespace skylarkhub {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 4> member_state_names{"live", "suspect", "leaving", "dead"};
constexpr std::array<std::string_view, 5> cell_role_names{"watching", "taking", "fencing", "owning", "handing_over"};

http_response answer_change(const change_answer& answer)
{
    return std::visit(
        detail::overloaded{
            [](const change_done& a) {
                return make_json(200, {{"version", a.version.value()}});
            },
            [](const change_conflict& a) {
                json body{{"error", "conflict"}, {"field", "version"}, {"reason", "somebody else changed it"}};
                body["current"] = a.current.value();
                body["author"] = a.author;
                body["changed_ms"] = wall_ms(a.changed);
                return make_json(409, body);
            },
            [](const change_refused& a) {
                json list = json::array();
                for (const settings_problem& p : a.problems) {
                    list.push_back({{"document", p.document}, {"path", p.path}, {"reason", p.reason}});
                }
                const bool any = !a.problems.empty();
                json body{{"error", "bad_settings"},
                          {"field", any ? a.problems.front().path : ""},
                          {"reason", any ? a.problems.front().reason : "refused"}};
                body["problems"] = list;
                return make_json(400, body);
            },
            [](const change_unknown& a) {
                http_response response = make_error(504, "unknown", "", a.reason);
                response.headers.emplace_back("Outcome", "unknown");
                return response;
            },
            [](const change_unavailable& a) {
                http_response response = make_error(503, "unavailable", "", a.reason);
                response.headers.emplace_back("Outcome", "did-not-run");
                response.headers.emplace_back("Retry-After-Ms", "1000");
                return response;
            },
        },
        answer);
}

json format_row(const wire::settings_row& row)
{
    json document = json::parse(row.document, nullptr, false);
    return {{"path", row.path},
            {"version", row.version},
            {"author", row.author},
            {"changed_ms", row.changed_ms},
            {"removed", row.removed},
            {"past", row.past},
            {"document", document.is_discarded() ? json() : document}};
}

json format_settings(const settings_tree& tree)
{
    json list = json::array();
    for (const auto& [path, version] : tree.versions()) {
        const auto row = tree.row(path);
        if (row) {
            list.push_back(format_row(*row));
        }
    }
    return {{"version", tree.version().value()}, {"subtrees", list}};
}

json format_effective(const settings_tree& tree, const http_request& request)
{
    const team_id team(find_field(request.query, "team"));
    const data_centre_id centre(find_field(request.query, "data_centre"));
    json list = json::array();
    for (const effective_value& v : tree.effective(team, centre)) {
        list.push_back({{"path", v.path}, {"value", v.value}, {"origin", v.origin}, {"version", v.version.value()}});
    }
    return {{"version", tree.version().value()}, {"values", list}};
}

std::int64_t resident_kib()
{
    std::ifstream status("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    status >> total >> resident;
    constexpr std::int64_t page_kib = 4;
    return resident * page_kib;
}

} // namespace

std::vector<api_route> daemon_app::make_operator_routes()
{
    const auto plain = [](std::function<http_response(const http_request&)> make) -> route_handler {
        return [make = std::move(make)](const path_parts&, const http_request& r, const http_reply& reply) {
            reply(make(r));
        };
    };
    const auto change = [this](const path_parts& p, const http_request& r, const http_reply& reply) {
        serve_settings_change(p[0], r, reply);
    };
    return {
        {"GET", "/healthz", plain([](const http_request&) {
             return make_json(200, {{"status", "live"}});
         })},
        {"GET", "/readyz", plain([this](const http_request&) {
             const bool ready = ready_.load();
             return make_json(ready ? 200 : 503, {{"ready", ready}, {"leaving", leaving_.load()}});
         })},
        {"GET", "/metrics", plain([this](const http_request&) {
             return http_response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, format_metrics()};
         })},
        {"GET", "/v1/entries", plain([this](const http_request&) {
             return make_json(200, {{"entries", list_entries()}});
         })},
        {"GET", "/v1/settings-status", plain([this](const http_request&) {
             return make_json(200, {{"entries", list_entries()}});
         })},
        {"GET", "/v1/cells", plain([this](const http_request&) {
             return make_json(200, {{"cells", list_cells()}});
         })},
        {"GET", "/v1/settings", plain([this](const http_request& r) {
             const settings_tree tree = settings_keeper_->tree();
             const bool effective = find_field(r.query, "effective") == "true";
             return make_json(200, effective ? format_effective(tree, r) : format_settings(tree));
         })},
        {"GET", "/v1/settings/**",
         [this](const path_parts& p, const http_request&, const http_reply& reply) {
             const auto row = settings_keeper_->tree().row(p[0]);
             reply(row ? make_json(200, format_row(*row))
                       : make_error(404, "not_found", "path", "no settings subtree " + p[0]));
         }},
        {"PUT", "/v1/settings/**", change},
        {"DELETE", "/v1/settings/**", change},
        {"GET", "/v1/report",
         [this](const path_parts&, const http_request& r, const http_reply& reply) { serve_report(r, reply); }},
    };
}

std::vector<api_route> daemon_app::make_routes()
{
    std::vector<api_route> routes;
    routes.push_back({"POST", "/v1/request/*/*", [this](const path_parts& p, http_request r, http_reply reply) {
                          router_->serve(service_id(p[0] + "/" + p[1]), std::move(r), std::move(reply));
                      }});
    for (api_route& route : jobs_->routes()) {
        routes.push_back(std::move(route));
    }
    for (api_route& route : make_operator_routes()) {
        routes.push_back(std::move(route));
    }
    return routes;
}

void daemon_app::serve_settings_change(const std::string& path, const http_request& request, const http_reply& reply)
{
    const auto parsed = parse_settings_path(path);
    const std::string key(find_field(request.headers, "operation-key"));
    const std::string version(find_field(request.query, "version"));
    if (!parsed) {
        reply(make_error(404, "bad_request", "path", "must be defaults, data_centre/NAME or team/NAME"));
        return;
    }
    if (key.empty()) {
        reply(make_error(400, "bad_request", "Operation-Key", "is missing"));
        return;
    }
    const bool digits = !version.empty() && version.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || version.size() > 18) {
        reply(
            make_error(400, "bad_request", "version", "must be the version the change is based on, 0 for a new path"));
        return;
    }
    if (!settings_keeper_->tree().may_change(*parsed, read_token(request))) {
        reply(make_error(403, "not_allowed", "Authorization", "the token may not change " + path));
        return;
    }
    settings_change change;
    change.operation = operation_id("settings/" + path + "/" + key);
    change.path = path;
    change.expected = settings_version(std::stoll(version));
    change.document = request.body;
    change.removed = request.method == "DELETE";
    change.author = std::string(find_field(request.headers, "author"));
    change.now = read_wall_clock();
    settings_keeper_->change(change, [reply](const change_answer& answer) { reply(answer_change(answer)); });
}

json daemon_app::list_entries() const
{
    json list = json::array();
    for (const member& m : members_->members()) {
        const bool self = m.incarnation == self_;
        list.push_back({{"incarnation", m.incarnation.str()},
                        {"entry", m.entry.str()},
                        {"data_centre", m.data_centre.str()},
                        {"http_address", m.http_address.str()},
                        {"peer_address", m.peer_address.str()},
                        {"state", member_state_names.at(static_cast<std::size_t>(m.state))},
                        {"settings_version", self ? settings_keeper_->version().value() : m.settings.value()},
                        {"self", self}});
    }
    return list;
}

json daemon_app::list_cells() const
{
    json list = json::array();
    for (const auto& host : cells_->hosts()) {
        const cell_stats stats = host->stats();
        json cell{{"cell", host->id().str()},
                  {"owner", host->owner().str()},
                  {"epoch", host->epoch().value()},
                  {"role", cell_role_names.at(static_cast<std::size_t>(host->role()))}};
        cell["starts"] = stats.starts;
        cell["finishes"] = stats.finishes;
        cell["evictions"] = stats.evictions;
        cell["resumes"] = stats.resumes;
        cell["lapses"] = stats.lapses;
        cell["commits"] = stats.commits;
        cell["takeovers"] = stats.takeovers;
        if (host->role() == cell_role::owning) {
            const wire::cell_summary summary = host->news().summary;
            cell["queued"] = summary.queued;
            cell["running"] = summary.running;
            cell["free"] = {{"cpu_millis", summary.free.cpu_millis},
                            {"memory_mib", summary.free.memory_mib},
                            {"accelerators", summary.free.accelerators}};
        }
        list.push_back(cell);
    }
    return list;
}

burn_report daemon_app::own_report()
{
    const settings_tree tree = settings_keeper_->tree();
    const auto objective = [&](const service_id& service) {
        const auto slash = service.str().find('/');
        const auto found = tree.find_service(team_id(service.str().substr(0, slash)), settings_.data_centre,
                                             service.str().substr(slash + 1));
        constexpr double objective_unset = 0.99;
        return found ? found->availability_objective : objective_unset;
    };
    burn_report report;
    {
        absl::MutexLock lock(&burn_mutex_);
        report = burn_.report(read_clock(), objective);
    }
    burn_report::source own;
    own.entry = settings_.name.str();
    own.data_centre = settings_.data_centre.str();
    own.since = started_;
    own.made = read_wall_clock();
    report.sources.push_back(own);
    return report;
}

// Whoever does not answer in time is named as missing from the report.
void daemon_app::serve_report(const http_request& request, const http_reply& reply)
{
    if (find_field(request.query, "scope") == "entry") {
        reply(make_json(200, format_report(own_report())));
        return;
    }
    gather_parts(peers_, members_->peers(), "burn", [this, reply](const std::vector<gathered_part>& parts) {
        burn_report report = own_report();
        for (const gathered_part& part : parts) {
            std::string reason = part.reason;
            const auto found = part.text ? parse_report(*part.text, &reason) : std::nullopt;
            if (found) {
                merge_report(report, *found);
                continue;
            }
            burn_report::source lost;
            lost.entry = part.from.entry.str();
            lost.data_centre = part.from.data_centre.str();
            lost.missing = true;
            lost.reason = reason;
            report.sources.push_back(lost);
        }
        reply(make_json(200, format_report(report)));
    });
}

std::string daemon_app::format_metrics() const
{
    std::string out;
    const auto line = [&](const std::string& name, const std::string& labels, std::int64_t value) {
        out += fmt::format("skylarkhub_{}{} {}\n", name, labels.empty() ? "" : "{" + labels + "}", value);
    };
    for (const auto& [service, s] : router_->stats()) {
        const std::string label = fmt::format("service=\"{}\"", service.str());
        line("requests_total", label + ",outcome=\"done\"", s.done);
        line("requests_total", label + ",outcome=\"did_not_run\"", s.did_not_run);
        line("requests_total", label + ",outcome=\"unknown\"", s.unknown);
        line("sends_total", label, s.sends);
        line("retries_total", label, s.retries);
        line("hedges_total", label, s.hedges);
        line("ejections_total", label, s.ejections);
        line("requests_queued", label, s.queued);
        line("requests_in_flight", label, s.in_flight);
        line("targets_usable", label, s.targets_usable);
    }
    for (const auto& host : cells_->hosts()) {
        const std::string label = fmt::format("cell=\"{}\"", host->id().str());
        const cell_stats s = host->stats();
        line("cell_owned", label, host->role() == cell_role::owning ? 1 : 0);
        line("cell_epoch", label, host->epoch().value());
        line("task_starts_total", label, s.starts);
        line("task_finishes_total", label, s.finishes);
        line("task_evictions_total", label, s.evictions);
        line("task_lapses_total", label, s.lapses);
        line("cell_takeovers_total", label, s.takeovers);
    }
    const platform_client::stats p = platform_.read_stats();
    line("table_commits_total", "", p.commits);
    line("table_rows_written_total", "", p.rows_written);
    line("table_reads_total", "", p.reads);
    line("table_unknown_total", "", p.unknown);
    line("table_refused_total", "by=\"budget\"", p.refused_by_budget);
    line("table_refused_total", "by=\"breaker\"", p.refused_by_breaker);
    line("settings_version", "", settings_keeper_->version().value());
    line("members", "", static_cast<std::int64_t>(members_->members().size()));
    line("http_in_flight", "", http_server_->in_flight());
    line("resident_kib", "", resident_kib());
    return out;
}

} // namespace skylarkhub
