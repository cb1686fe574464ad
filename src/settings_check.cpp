#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

#include "settings_merge_p.h"
#include "settings_tree_p.h"

namespace skylarkhub {

namespace {

using detail::parsed_subtrees;
using detail::settings_levels;

struct kind_rule {
    std::string_view field;
    bool (*broken)(const settings::work_kind&);
    std::string_view reason;
};
constexpr std::array<kind_rule, 4> kind_rules{{
    {"latency_target_ms",
     [](const settings::work_kind& k) { return k.latency_critical() && k.latency_target_ms() == 0; },
     "a latency-critical kind needs a latency target"},
    {"latency_target_ms",
     [](const settings::work_kind& k) { return k.deadline_ms() > 0 && k.latency_target_ms() > k.deadline_ms(); },
     "is after deadline_ms"},
    {"idempotent", [](const settings::work_kind& k) { return k.billed() && k.idempotent(); },
     "a billed kind must not be idempotent: a retry would bill twice"},
    {"exclusive", [](const settings::work_kind& k) { return k.billed() && !k.exclusive(); },
     "a billed kind must be exclusive: two runs would bill twice"},
}};

class between {
public:
    explicit between(const parsed_subtrees& subtrees) : subtrees_(subtrees)
    {
        for (const auto& [path, subtree] : subtrees) {
            const auto parsed = parse_settings_path(path);
            if (parsed && parsed->level == settings::defaults) {
                defaults_ = subtree;
            }
            else if (parsed && parsed->level == settings::data_centre) {
                data_centres_.emplace_back(path, subtree);
            }
        }
    }

    std::vector<settings_problem> check()
    {
        for (const auto& [path, subtree] : subtrees_) {
            const auto parsed = parse_settings_path(path);
            if (!parsed) {
                continue;
            }
            check_kinds(path, *subtree, parsed->level);
            check_classes(path, *subtree, parsed->level);
        }
        return {problems_.begin(), problems_.end()};
    }

private:
    struct order {
        bool operator()(const settings_problem& a, const settings_problem& b) const
        {
            return std::tie(a.document, a.path, a.reason) < std::tie(b.document, b.path, b.reason);
        }
    };

    bool in_defaults(const std::string& kind) const
    {
        return defaults_ != nullptr && defaults_->kinds().contains(kind);
    }

    void complain(const std::string& document, std::string path, std::string_view reason)
    {
        problems_.insert({document, std::move(path), std::string(reason)});
    }

    void check_kinds(const std::string& path, const settings::subtree& subtree, settings::tree_level level)
    {
        for (const auto& [name, kind] : subtree.kinds()) {
            if (level == settings::data_centre && !in_defaults(name)) {
                complain(path, "kinds." + name, "is no kind of the defaults; a data centre only changes those");
                continue;
            }
            check_kind(path, name, level_list(subtree, level, nullptr));
            if (level != settings::team) {
                continue;
            }
            for (const auto& [data_centre, over] : data_centres_) {
                if (over->kinds().contains(name)) {
                    check_kind(path, name, level_list(subtree, level, over));
                }
            }
        }
    }

    settings_levels level_list(const settings::subtree& subtree, settings::tree_level level,
                               const settings::subtree* data_centre) const
    {
        settings_levels levels;
        if (defaults_ != nullptr && level != settings::defaults) {
            levels.push_back(defaults_);
        }
        if (data_centre != nullptr) {
            levels.push_back(data_centre);
        }
        levels.push_back(&subtree);
        return levels;
    }

    void check_kind(const std::string& path, const std::string& name, const settings_levels& levels)
    {
        const settings::work_kind kind = detail::merge_kind(levels, name);
        for (const kind_rule& rule : kind_rules) {
            if (rule.broken(kind)) {
                complain(path, fmt::format("kinds.{}.{}", name, rule.field), rule.reason);
            }
        }
    }

    void check_classes(const std::string& path, const settings::subtree& subtree, settings::tree_level level)
    {
        if (subtree.service_default().has_kind()) {
            check_kind_exists(path, "service_default.kind", subtree, subtree.service_default().kind());
        }
        if (level != settings::team) {
            return;
        }
        const settings_levels levels = level_list(subtree, level, nullptr);
        for (const auto& [name, service] : subtree.services()) {
            const std::string kind = detail::merge_service(levels, name).kind();
            const std::string field = fmt::format("services.{}.kind", name);
            if (kind.empty()) {
                complain(path, field, "is required, here or in service_default");
                continue;
            }
            check_kind_exists(path, field, subtree, kind);
        }
    }

    void check_kind_exists(const std::string& path, const std::string& field, const settings::subtree& subtree,
                           const std::string& kind)
    {
        if (!in_defaults(kind) && !subtree.kinds().contains(kind)) {
            complain(path, field, fmt::format("there is no kind '{}'", kind));
        }
    }

    const parsed_subtrees& subtrees_;
    const settings::subtree* defaults_ = nullptr;
    std::vector<std::pair<std::string, const settings::subtree*>> data_centres_;
    std::set<settings_problem, order> problems_;
};

} // namespace

std::vector<settings_problem> detail::check_between(const parsed_subtrees& subtrees)
{
    return between(subtrees).check();
}

std::vector<settings_problem> check_subtree(std::string_view path, std::string_view json)
{
    std::vector<settings_problem> problems;
    const auto parsed = parse_settings_path(path);
    if (!parsed) {
        return {{std::string(path), "", "is no subtree; it must be defaults, data_centre/NAME or team/NAME"}};
    }
    settings::subtree subtree;
    parse_settings(json, parsed->level, subtree, problems);
    for (settings_problem& problem : problems) {
        problem.document = path;
    }
    return problems;
}

std::vector<settings_problem> check_settings(const std::map<std::string, std::string>& documents)
{
    std::vector<settings_problem> problems;
    std::map<std::string, settings::subtree> parsed;
    detail::parsed_subtrees subtrees;
    for (const auto& [path, document] : documents) {
        const std::vector<settings_problem> found = check_subtree(path, document);
        problems.insert(problems.end(), found.begin(), found.end());
        const auto name = parse_settings_path(path);
        if (!name) {
            continue;
        }
        std::vector<settings_problem> ignored; // told by check_subtree()
        parse_settings(document, name->level, parsed[path], ignored);
        subtrees[path] = &parsed[path];
    }
    const std::vector<settings_problem> between = detail::check_between(subtrees);
    problems.insert(problems.end(), between.begin(), between.end());
    return problems;
}

} // namespace skylarkhub
