// Operators' calls that are not about work: settings, members, cells, reports, health and metrics.
#include <fmt/format.h>

#include <fstream>

#include "daemon_answers_p.h"
#include "daemon_app_p.h"
#include "daemon_clock_p.h"

namespace skylarkhub {

namespace {

using json = nlohmann::json;

constexpr std::string_view all_teams = "(all)";
constexpr std::array<std::string_view, 4> member_state_names{"live", "suspect", "leaving", "dead"};

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
        {"GET", "/v1/cells", plain([this](const http_request&) {
             return make_json(200, {{"cells", list_cells()}});
         })},
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
    for (api_route& route : make_settings_routes()) {
        routes.push_back(std::move(route));
    }
    for (api_route& route : make_operator_routes()) {
        routes.push_back(std::move(route));
    }
    return routes;
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
    for (const wire::cell_news& news : cells_->all_news()) {
        const wire::cell_summary& summary = news.summary;
        json cell{{"cell", summary.cell}, {"owner", summary.owner}, {"epoch", summary.epoch}};
        cell["data_centre"] = summary.cell.substr(0, summary.cell.find('.'));
        cell["queued"] = summary.queued;
        cell["running"] = summary.running;
        cell["stamp"] = summary.stamp;
        cell["free"] = {{"cpu_millis", summary.free.cpu_millis},
                        {"memory_mib", summary.free.memory_mib},
                        {"accelerators", summary.free.accelerators}};
        list.push_back(cell);
    }
    return list;
}

// Batch work is told from the rows of the cells that this entry owns, so it survives entries and is counted once: tasks
// of each team, and for all teams together what evictions cost since this entry took its cells.
void daemon_app::add_batch(burn_report& report) const
{
    for (const auto& host : cells_->hosts()) {
        if (host->role() != cell_role::owning) {
            continue;
        }
        for (const job_view& view : host->jobs()) {
            if (view.row.spec.is_service) {
                continue;
            }
            batch_counts& counts = report.batch[view.row.spec.team];
            counts.accepted += view.row.task_total;
            counts.finished += view.finished;
            counts.parked += view.parked;
            counts.cancelled += view.cancelled;
        }
        const cell_stats stats = host->stats();
        batch_counts& all = report.batch[std::string(all_teams)];
        all.evictions += stats.evictions;
        all.work_lost_seconds += stats.work_lost_seconds;
    }
}

burn_report daemon_app::own_report()
{
    const auto tree = settings_keeper_->tree();
    const auto objective = [&](const service_id& service) {
        const auto slash = service.str().find('/');
        const auto found = tree ? tree->find_service(team_id(service.str().substr(0, slash)), settings_.data_centre,
                                                     service.str().substr(slash + 1))
                                : std::nullopt;
        constexpr double objective_unset = 0.99;
        return found ? found->availability_objective : objective_unset;
    };
    burn_report report;
    {
        absl::MutexLock lock(&burn_mutex_);
        report = burn_.report(read_clock(), objective);
    }
    add_batch(report);
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
