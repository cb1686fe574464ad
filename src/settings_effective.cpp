#include <algorithm>

#include "settings_merge_p.h"
#include "settings_tree_p.h"

namespace skylarkhub {

namespace {

using detail::settings_levels;

work_kind make_kind(kind_id id, const settings::work_kind& values)
{
    work_kind kind;
    kind.id = std::move(id);
    kind.latency_critical = values.latency_critical();
    kind.idempotent = values.idempotent();
    kind.exclusive = values.exclusive();
    kind.billed = values.billed();
    kind.latency_target = std::chrono::milliseconds(values.latency_target_ms());
    kind.deadline = std::chrono::milliseconds(values.deadline_ms());
    return kind;
}

std::string team_path(const team_id& team)
{
    return format_settings_path({settings::team, team.str()});
}

std::string data_centre_path(const data_centre_id& data_centre)
{
    return format_settings_path({settings::data_centre, data_centre.str()});
}

bool has_kind(const settings_levels& levels, const std::string& name)
{
    return std::any_of(levels.begin(), levels.end(),
                       [&](const settings::subtree* level) { return level->kinds().contains(name); });
}

using value_table = std::map<std::string, effective_value>;

// Lays one message over the values listed so far.
void overlay(value_table& values, const google::protobuf::Message& message, const std::string& path,
             const std::string& origin, settings_version version)
{
    std::vector<std::pair<std::string, nlohmann::json>> listed;
    list_settings(message, path, listed);
    for (auto& [name, value] : listed) {
        // The digest is of no use to a reader and lets a weak token be guessed.
        const bool secret = name == "token_sha256";
        values[name] = {name, secret ? nlohmann::json("set") : std::move(value), origin, version};
    }
}

// A service has what its class leaves out from service_default, with the origin of that.
void fill_services(value_table& values, const settings::subtree& team)
{
    constexpr std::string_view prefix = "service_default.";
    for (const auto& [name, ignored] : team.services()) {
        for (auto at = values.lower_bound(std::string(prefix)); at != values.end(); ++at) {
            if (!at->first.starts_with(prefix)) {
                break;
            }
            effective_value value = at->second;
            value.path = "services." + name + "." + at->first.substr(prefix.size());
            values.try_emplace(value.path, value);
        }
    }
}

} // namespace

std::vector<const settings::subtree*> settings_tree::levels(const team_id& team,
                                                            const data_centre_id& data_centre) const
{
    std::vector<const settings::subtree*> result;
    for (const std::string& path : {std::string("defaults"), data_centre_path(data_centre), team_path(team)}) {
        if (const settings::subtree* const level = find(path)) {
            result.push_back(level);
        }
    }
    return result;
}

std::vector<team_id> settings_tree::teams() const
{
    std::vector<team_id> result;
    for (const std::string& path : paths_of(settings::team)) {
        result.emplace_back(parse_settings_path(path)->name);
    }
    return result;
}

std::vector<service_id> settings_tree::services(const team_id& team) const
{
    std::vector<service_id> result;
    if (const settings::subtree* const own = find(team_path(team))) {
        for (const auto& [name, ignored] : own->services()) {
            result.emplace_back(team.str() + "/" + name);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::optional<work_kind> settings_tree::find_kind(const team_id& team, const data_centre_id& data_centre,
                                                  const kind_id& kind) const
{
    const settings_levels found = levels(team, data_centre);
    if (!has_kind(found, kind.str())) {
        return std::nullopt;
    }
    return make_kind(kind, detail::merge_kind(found, kind.str()));
}

std::optional<service_settings> settings_tree::find_service(const team_id& team, const data_centre_id& data_centre,
                                                            std::string_view name) const
{
    const settings::subtree* const own = find(team_path(team));
    const std::string text(name);
    if (own == nullptr || !own->services().contains(text)) {
        return std::nullopt;
    }
    const settings::service_class merged = detail::merge_service(levels(team, data_centre), text);
    service_settings service;
    service.id = service_id(team.str() + "/" + text);
    service.kind = kind_id(merged.kind());
    service.availability_objective = merged.availability_objective();
    service.slots = merged.slots();
    service.connections = merged.connections();
    return service;
}

request_settings settings_tree::limits(const team_id& team, const data_centre_id& data_centre) const
{
    const settings::request_limits merged = detail::merge_requests(levels(team, data_centre));
    return {merged.queue_length(), merged.body_bytes(), merged.retry_share(), merged.hedge_share()};
}

quota_settings settings_tree::quota(const team_id& team, const data_centre_id& data_centre) const
{
    const settings::team_quota merged = detail::merge_quota(levels(team, data_centre));
    return {{merged.cpu_millis(), merged.memory_mib(), merged.accelerators()}, merged.share(), merged.queued_jobs()};
}

bool settings_tree::is_evacuated(const data_centre_id& data_centre) const
{
    const settings::subtree* const own = find(data_centre_path(data_centre));
    return own != nullptr && own->evacuated();
}

std::vector<data_centre_id> settings_tree::evacuated_data_centres() const
{
    std::vector<data_centre_id> result;
    for (const std::string& path : paths_of(settings::data_centre)) {
        const data_centre_id data_centre(parse_settings_path(path)->name);
        if (is_evacuated(data_centre)) {
            result.push_back(data_centre);
        }
    }
    return result;
}

std::vector<work_kind> settings_tree::kinds(const data_centre_id& data_centre) const
{
    std::vector<work_kind> result;
    const settings::subtree* const defaults = find("defaults");
    if (defaults != nullptr) {
        const settings_levels common = levels(team_id(), data_centre);
        for (const auto& [name, ignored] : defaults->kinds()) {
            result.push_back(make_kind(kind_id(name), detail::merge_kind(common, name)));
        }
    }
    for (const team_id& team : teams()) {
        const settings_levels own = levels(team, data_centre);
        for (const auto& [name, ignored] : find(team_path(team))->kinds()) {
            result.push_back(make_kind(kind_id(team.str() + "/" + name), detail::merge_kind(own, name)));
        }
    }
    return result;
}

std::vector<effective_value> settings_tree::effective(const team_id& team, const data_centre_id& data_centre) const
{
    const std::string built_in = "built_in";
    value_table values;
    overlay(values, detail::built_in_settings(), "", built_in, {});
    for (const settings::subtree* level : levels(team, data_centre)) {
        for (const auto& [name, ignored] : level->kinds()) {
            overlay(values, detail::built_in_kind(), "kinds." + name, built_in, {});
        }
    }
    for (const std::string& path : {std::string("defaults"), data_centre_path(data_centre), team_path(team)}) {
        if (const settings::subtree* const level = find(path)) {
            overlay(values, *level, "", path, version_of(path));
        }
    }
    if (const settings::subtree* const own = find(team_path(team))) {
        fill_services(values, *own);
    }
    std::vector<effective_value> result;
    for (auto& [path, value] : values) {
        result.push_back(std::move(value));
    }
    return result;
}

const work_kind* find_kind(const std::vector<work_kind>& kinds, const team_id& team, const kind_id& kind)
{
    const kind_id own(team.str() + "/" + kind.str());
    const work_kind* common = nullptr;
    for (const work_kind& candidate : kinds) {
        if (candidate.id == own) {
            return &candidate;
        }
        if (candidate.id == kind) {
            common = &candidate;
        }
    }
    return common;
}

} // namespace skylarkhub
