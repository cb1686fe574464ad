#include "settings_plan_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace skylarkhub {

namespace {

using nlohmann::json;
using flat_values = std::map<std::string, json>;

void flatten(const json& value, const std::string& path, flat_values& flat)
{
    if (!value.is_object() || (value.empty() && !path.empty())) {
        flat[path] = value;
        return;
    }
    for (const auto& [name, member] : value.items()) {
        flatten(member, path.empty() ? name : path + "." + name, flat);
    }
}

flat_values flatten_document(const std::string& document)
{
    flat_values flat;
    const json value = json::parse(document, nullptr, false);
    if (value.is_object()) {
        flatten(value, "", flat);
    }
    return flat;
}

bool same_document(const std::string& a, const std::string& b)
{
    return json::parse(a, nullptr, false) == json::parse(b, nullptr, false);
}

std::string moved_reason(const site_subtree& site, settings_version recorded)
{
    return fmt::format("{} {} it as version {}; this directory is based on {}",
                       site.author.empty() ? "somebody" : site.author, site.removed ? "removed" : "changed",
                       site.version.value(),
                       recorded.value() == 0 ? "no version" : fmt::format("version {}", recorded.value()));
}

// How a document of the directory meets the site's subtree, which is empty when the site never had it.
plan_step plan_document(const std::string& path, const std::string& document, settings_version recorded,
                        const site_subtree* site, bool onto_current)
{
    plan_step step;
    step.path = path;
    if (site == nullptr) {
        step.kind = recorded.value() == 0 || onto_current ? plan_kind::create : plan_kind::conflict;
        step.changes = diff_documents("{}", document);
        step.reason = step.kind == plan_kind::conflict
                          ? fmt::format("the site never had it; this directory is based on version {} of another site",
                                        recorded.value())
                          : "";
        return step;
    }
    step.base = site->version;
    if (!site->removed && same_document(site->document, document)) {
        return step;
    }
    step.changes = diff_documents(site->removed ? "{}" : site->document, document);
    const bool known = recorded == site->version || (site->removed && recorded.value() == 0);
    if (!known && !onto_current) {
        step.kind = plan_kind::conflict;
        step.reason = moved_reason(*site, recorded);
        return step;
    }
    step.kind = site->removed ? plan_kind::create : plan_kind::change;
    step.destroys = !known;
    return step;
}

// A subtree that the directory once had and has no more.
plan_step plan_removal(const std::string& path, settings_version recorded, const site_subtree* site, bool onto_current)
{
    plan_step step;
    step.path = path;
    if (site == nullptr || site->removed) {
        return step;
    }
    step.base = site->version;
    step.changes = diff_documents(site->document, "{}");
    if (recorded != site->version && !onto_current) {
        step.kind = plan_kind::conflict;
        step.reason = moved_reason(*site, recorded);
        return step;
    }
    step.kind = plan_kind::remove;
    step.destroys = true;
    return step;
}

// Kinds stand in the defaults before teams use them, and are used no more before they go.
int rank_of(const plan_step& step)
{
    const auto path = parse_settings_path(step.path);
    const int level = path ? static_cast<int>(path->level) : 0;
    return step.kind == plan_kind::remove ? 10 - level : level;
}

} // namespace

std::vector<value_change> diff_documents(const std::string& before, const std::string& after)
{
    const flat_values left = flatten_document(before);
    const flat_values right = flatten_document(after);
    std::vector<value_change> changes;
    for (const auto& [path, value] : left) {
        const auto other = right.find(path);
        if (other == right.end()) {
            changes.push_back({path, value, std::nullopt});
        }
        else if (other->second != value) {
            changes.push_back({path, value, other->second});
        }
    }
    for (const auto& [path, value] : right) {
        if (!left.contains(path)) {
            changes.push_back({path, std::nullopt, value});
        }
    }
    return changes;
}

std::vector<plan_step> plan_apply(const settings_directory& directory, const std::map<std::string, site_subtree>& site,
                                  bool onto_current)
{
    const auto find_site = [&](const std::string& path) {
        const auto found = site.find(path);
        return found == site.end() ? nullptr : &found->second;
    };
    std::vector<plan_step> steps;
    for (const auto& [path, document] : directory.documents) {
        const auto recorded = directory.versions.find(path);
        const settings_version base = recorded == directory.versions.end() ? settings_version() : recorded->second;
        steps.push_back(plan_document(path, document, base, find_site(path), onto_current));
    }
    for (const auto& [path, recorded] : directory.versions) {
        if (!directory.documents.contains(path)) {
            steps.push_back(plan_removal(path, recorded, find_site(path), onto_current));
        }
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const plan_step& a, const plan_step& b) { return rank_of(a) < rank_of(b); });
    return steps;
}

} // namespace skylarkhub
