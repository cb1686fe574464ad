// Operators' calls about the settings tree.
#include <algorithm>

#include "daemon_answers_p.h"
#include "daemon_app_p.h"
#include "daemon_clock_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

using json = nlohmann::json;

constexpr std::size_t author_bytes_most = 64;
constexpr std::array<std::string_view, 4> member_state_names{"live", "suspect", "leaving", "dead"};

http_response answer_change(const std::string& path, const change_answer& answer)
{
    return std::visit(
        detail::overloaded{
            [&](const change_done& a) {
                return make_json(200, {{"path", path}, {"version", a.version.value()}});
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

json format_head(const wire::settings_row& row)
{
    return {{"path", row.path},
            {"version", row.version},
            {"author", row.author},
            {"changed_ms", row.changed_ms},
            {"removed", row.removed}};
}

json format_whole(const wire::settings_row& row)
{
    json out = format_head(row);
    const json document = json::parse(row.document, nullptr, false);
    out["document"] = document.is_discarded() ? json::object() : document;
    return out;
}

json list_subtrees(const settings_tree& tree)
{
    json list = json::array();
    for (const auto& [path, version] : tree.versions()) {
        const auto row = tree.row(path);
        if (row) {
            list.push_back(format_head(*row));
        }
    }
    return {{"version", tree.version().value()}, {"subtrees", list}};
}

json list_effective(const settings_tree& tree, const settings_path& path, const std::string& data_centre)
{
    const team_id team(path.level == settings::team ? path.name : "");
    const data_centre_id centre(path.level == settings::data_centre ? path.name : data_centre);
    json list = json::array();
    for (const effective_value& v : tree.effective(team, centre)) {
        list.push_back({{"path", v.path}, {"value", v.value}, {"origin", v.origin}, {"version", v.version.value()}});
    }
    return {{"path", format_settings_path(path)},
            {"data_centre", centre.str()},
            {"version", tree.version().value()},
            {"values", list}};
}

json list_history(const std::string& path, const table_scan_result& result)
{
    json list = json::array();
    for (const table_row& row : result.rows) {
        const auto settings = read_settings_row(row);
        if (settings) {
            list.push_back(format_whole(*settings));
        }
    }
    std::reverse(list.begin(), list.end());
    return {{"path", path}, {"history", list}};
}

} // namespace

std::vector<api_route> daemon_app::make_settings_routes()
{
    const auto change = [this](const path_parts& p, const http_request& r, const http_reply& reply) {
        serve_settings_change(p[0], r, reply);
    };
    return {
        {"GET", "/v1/settings-status",
         [this](const path_parts&, const http_request&, const http_reply& reply) {
             reply(make_json(200, list_settings_status()));
         }},
        {"GET", "/v1/settings",
         [this](const path_parts&, const http_request&, const http_reply& reply) {
             const auto tree = settings_keeper_->tree();
             reply(tree ? make_json(200, list_subtrees(*tree)) : answer_without_settings());
         }},
        {"GET", "/v1/settings/**",
         [this](const path_parts& p, const http_request& r, const http_reply& reply) {
             serve_settings_read(p[0], r, reply);
         }},
        {"PUT", "/v1/settings/**", change},
        {"DELETE", "/v1/settings/**", change},
    };
}

json daemon_app::list_settings_status() const
{
    json list = json::array();
    std::int64_t newest = settings_keeper_->version().value();
    for (const member& m : members_->members()) {
        const bool self = m.incarnation == self_;
        const std::int64_t version = self ? settings_keeper_->version().value() : m.settings.value();
        newest = std::max(newest, version);
        json entry{{"entry", m.entry.str()}, {"data_centre", m.data_centre.str()}, {"version", version}};
        entry["state"] = member_state_names.at(static_cast<std::size_t>(m.state));
        if (self) {
            entry["heard_ms"] = 0;
        }
        list.push_back(entry);
    }
    return {{"version", newest}, {"entries", list}};
}

void daemon_app::serve_settings_read(const std::string& path, const http_request& request, const http_reply& reply)
{
    const auto parsed = parse_settings_path(path);
    if (!parsed) {
        reply(make_error(400, "bad_request", "path", "must be defaults, data_centre/NAME or team/NAME"));
        return;
    }
    if (find_field(request.query, "history") == "1") {
        platform_.scan(table_traffic::settings, settings_history_prefix(path),
                       [path, reply](const table_scan_result& result) {
                           reply(result.complete ? make_json(200, list_history(path, result))
                                                 : answer_not_done(503, "unavailable", "", "the table cannot be read"));
                       });
        return;
    }
    const auto tree = settings_keeper_->tree();
    if (!tree) {
        reply(answer_without_settings());
        return;
    }
    if (find_field(request.query, "effective") == "1") {
        const std::string centre(find_field(request.query, "data_centre"));
        reply(make_json(200, list_effective(*tree, *parsed, centre)));
        return;
    }
    const auto row = tree->row(path);
    reply(row ? make_json(200, format_whole(*row))
              : make_error(404, "not_found", "path", "there is no settings subtree " + path));
}

void daemon_app::serve_settings_change(const std::string& path, const http_request& request, const http_reply& reply)
{
    const auto parsed = parse_settings_path(path);
    const std::string key(find_field(request.headers, "operation-key"));
    const std::string version(find_field(request.query, "version"));
    if (!parsed) {
        reply(make_error(400, "bad_request", "path", "must be defaults, data_centre/NAME or team/NAME"));
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
    const auto tree = settings_keeper_->tree();
    if (!tree) {
        reply(answer_without_settings());
        return;
    }
    if (!tree->may_change(*parsed, read_token(request))) {
        reply(make_error(403, "not_allowed", "Authorization", "the token may not change " + path));
        return;
    }
    settings_change change;
    change.operation = operation_id("settings/" + path + "/" + key);
    change.path = path;
    change.expected = settings_version(std::stoll(version));
    change.document = request.body;
    change.removed = request.method == "DELETE";
    change.author = std::string(find_field(request.headers, "author").substr(0, author_bytes_most));
    change.now = read_wall_clock();
    settings_keeper_->change(change,
                             [path, reply](const change_answer& answer) { reply(answer_change(path, answer)); });
}

} // namespace skylarkhub
