#include "settings_tree_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "settings_merge_p.h"
#include "settings_token_p.h"

namespace skylarkhub {

namespace {

constexpr std::string_view defaults_path = "defaults";

struct level_prefix {
    settings::tree_level level;
    std::string_view prefix;
};
constexpr std::array<level_prefix, 2> level_prefixes{{
    {settings::data_centre, "data_centre/"},
    {settings::team, "team/"},
}};

} // namespace

std::optional<settings_path> parse_settings_path(std::string_view path)
{
    if (path == defaults_path) {
        return settings_path{settings::defaults, ""};
    }
    for (const level_prefix& known : level_prefixes) {
        if (path.starts_with(known.prefix) && is_settings_name(path.substr(known.prefix.size()))) {
            return settings_path{known.level, std::string(path.substr(known.prefix.size()))};
        }
    }
    return std::nullopt;
}

std::string format_settings_path(const settings_path& path)
{
    for (const level_prefix& known : level_prefixes) {
        if (path.level == known.level) {
            return std::string(known.prefix) + path.name;
        }
    }
    return std::string(defaults_path);
}

// A row as the table has it, and its document read once.
struct settings_tree::subtree {
    wire::settings_row row;
    settings::subtree values;
};

settings_tree::settings_tree() = default;

// A document was checked before it was accepted. A newer entry may have accepted names that this one does not know:
// they are passed over here, because refusing the row would leave an old value in force.
bool settings_tree::apply(const wire::settings_row& row, std::string* last_reason)
{
    const auto held = subtrees_.find(row.path);
    if (held != subtrees_.end() && held->second->row.version >= row.version) {
        return false;
    }
    const auto path = parse_settings_path(row.path);
    if (!path || row.version <= 0) {
        if (last_reason != nullptr) {
            *last_reason = fmt::format("settings row '{}' at version {} is malformed", row.path, row.version);
        }
        return false;
    }
    auto taken = std::make_shared<subtree>();
    taken->row = row;
    if (!row.removed) {
        std::vector<settings_problem> passed_over;
        parse_settings(row.document, path->level, taken->values, passed_over);
    }
    subtrees_[row.path] = std::move(taken);
    return true;
}

bool settings_tree::apply(const wire::settings_push& push)
{
    bool changed = false;
    bool complete = true;
    for (const wire::settings_row& row : push.subtrees) {
        changed = apply(row) || changed;
        complete = complete && version_of(row.path).value() >= row.version;
    }
    const settings_version reached(push.version);
    if (complete && push.newer_than <= version().value() && reached > version()) {
        version_ = reached;
        changed = true;
    }
    return changed;
}

std::vector<std::string> settings_tree::behind(const wire::settings_versions_row& versions) const
{
    std::vector<std::string> paths;
    for (const auto& [path, version] : versions.subtrees) {
        if (version_of(path).value() < version) {
            paths.push_back(path);
        }
    }
    return paths;
}

void settings_tree::reach(const wire::settings_versions_row& versions)
{
    if (behind(versions).empty()) {
        version_ = std::max(version(), settings_version(versions.version));
    }
}

settings_version settings_tree::version_of(std::string_view path) const
{
    const auto found = subtrees_.find(path);
    return found == subtrees_.end() ? settings_version() : settings_version(found->second->row.version);
}

std::map<std::string, settings_version> settings_tree::versions() const
{
    std::map<std::string, settings_version> result;
    for (const auto& [path, held] : subtrees_) {
        result.emplace(path, settings_version(held->row.version));
    }
    return result;
}

wire::settings_push settings_tree::newer_than(settings_version version) const
{
    wire::settings_push push;
    push.__set_version(this->version().value());
    push.__set_newer_than(version.value());
    for (const auto& [path, held] : subtrees_) {
        if (held->row.version > version.value()) {
            push.subtrees.push_back(held->row);
        }
    }
    return push;
}

std::optional<wire::settings_row> settings_tree::row(std::string_view path) const
{
    const auto found = subtrees_.find(path);
    if (found == subtrees_.end()) {
        return std::nullopt;
    }
    return found->second->row;
}

std::map<std::string, std::string> settings_tree::documents() const
{
    std::map<std::string, std::string> result;
    for (const auto& [path, held] : subtrees_) {
        if (!held->row.removed) {
            result.emplace(path, held->row.document);
        }
    }
    return result;
}

std::map<std::string, const settings::subtree*, std::less<>> settings_tree::parsed() const
{
    std::map<std::string, const settings::subtree*, std::less<>> result;
    for (const auto& [path, held] : subtrees_) {
        if (!held->row.removed) {
            result.emplace(path, &held->values);
        }
    }
    return result;
}

const settings::subtree* settings_tree::find(std::string_view path) const
{
    const auto found = subtrees_.find(path);
    return found == subtrees_.end() || found->second->row.removed ? nullptr : &found->second->values;
}

std::vector<std::string> settings_tree::paths_of(settings::tree_level level) const
{
    std::vector<std::string> paths;
    for (const auto& [path, held] : subtrees_) {
        if (!held->row.removed && parse_settings_path(path)->level == level) {
            paths.push_back(path);
        }
    }
    return paths;
}

bool settings_tree::may_change(const settings_path& path, std::string_view token) const
{
    const settings::subtree* const defaults = find(defaults_path);
    const std::string site = defaults == nullptr ? "" : defaults->token_sha256();
    if (!site.empty() && token_matches(token, site)) {
        return true;
    }
    if (path.level != settings::team) {
        return site.empty();
    }
    const settings::subtree* const team = find(format_settings_path(path));
    const std::string own = team == nullptr ? "" : team->token_sha256();
    return own.empty() ? site.empty() : token_matches(token, own);
}

} // namespace skylarkhub
