#include <fmt/format.h>

#include <algorithm>
#include <iostream>

#include "ctl_directory_p.h"
#include "ctl_p.h"

namespace skylarkhub::ctl {

namespace {

using nlohmann::json;

void print_problems(const std::vector<settings_problem>& problems)
{
    for (const settings_problem& problem : problems) {
        std::cerr << fmt::format("{}: {}{}{}\n", problem.document, problem.path, problem.path.empty() ? "" : ": ",
                                 problem.reason);
    }
}

std::string_view name_of(plan_kind kind)
{
    switch (kind) {
    case plan_kind::same:
        return "same";
    case plan_kind::create:
        return "create";
    case plan_kind::change:
        return "change";
    case plan_kind::remove:
        return "remove";
    case plan_kind::conflict:
        break;
    }
    return "conflict";
}

void print_step(const plan_step& step)
{
    std::cout << fmt::format("{} {}{}{}\n", name_of(step.kind), step.path,
                             step.destroys && step.kind != plan_kind::remove ? " (over another's change)" : "",
                             step.reason.empty() ? "" : ": " + step.reason);
    for (const value_change& change : step.changes) {
        if (change.before && change.after) {
            std::cout << fmt::format("  ~ {}: {} -> {}\n", change.path, format_value(change.before),
                                     format_value(change.after));
        }
        else {
            std::cout << fmt::format("  {} {}: {}\n", change.after ? '+' : '-', change.path,
                                     format_value(change.after ? change.after : change.before));
        }
    }
}

json format_step(const plan_step& step)
{
    json changes = json::array();
    for (const value_change& change : step.changes) {
        changes.push_back({{"path", change.path},
                           {"before", change.before ? *change.before : json()},
                           {"after", change.after ? *change.after : json()}});
    }
    return {{"subtree", step.path},      {"do", name_of(step.kind)}, {"base", step.base.value()},
            {"destroys", step.destroys}, {"reason", step.reason},    {"changes", changes}};
}

void print_plan(const context& c, const std::vector<plan_step>& steps)
{
    if (c.json) {
        json list = json::array();
        for (const plan_step& step : steps) {
            list.push_back(format_step(step));
        }
        std::cout << json{{"plan", list}}.dump(2) << '\n';
        return;
    }
    std::size_t same = 0;
    for (const plan_step& step : steps) {
        if (step.kind == plan_kind::same) {
            ++same;
            continue;
        }
        print_step(step);
    }
    std::cout << fmt::format("{} of {} subtrees are as in the directory\n", same, steps.size());
}

// What the site has of the subtrees that the directory knows. Documents are read one by one, and only those.
std::optional<std::map<std::string, site_subtree>> read_site(context& c, const settings_directory& directory,
                                                             call_answer& failed)
{
    failed = c.entries().get("/v1/settings");
    if (failed.outcome != call_outcome::ok) {
        return std::nullopt;
    }
    std::map<std::string, site_subtree> site;
    for (const json& listed : failed.body.value("subtrees", json::array())) {
        const std::string path = text_of(listed, "path");
        if (!directory.documents.contains(path) && !directory.versions.contains(path)) {
            continue;
        }
        failed = c.entries().get(settings_target(path));
        if (failed.outcome != call_outcome::ok) {
            return std::nullopt;
        }
        const json& body = failed.body;
        site_subtree& subtree = site[path];
        subtree.version = settings_version(body.value("version", 0LL));
        subtree.removed = body.value("removed", false);
        subtree.document = subtree.removed ? "" : body.value("document", json::object()).dump();
        subtree.author = text_of(body, "author");
        subtree.changed = wall_time(std::chrono::milliseconds(body.value("changed_ms", 0LL)));
    }
    return site;
}

struct prepared_plan {
    std::string directory_path;
    settings_directory directory;
    std::map<std::string, site_subtree> site;
    std::vector<plan_step> steps;
};

// Reads the directory, refuses it whole when it has a mistake, reads the site and compares.
std::optional<prepared_plan> prepare(context& c, bool onto_current, exit_code& code)
{
    prepared_plan plan;
    plan.directory_path = take_word(c, 0, "DIR");
    std::vector<settings_problem> problems;
    plan.directory = read_directory(plan.directory_path, problems);
    bool between = false;
    const std::vector<settings_problem> found = check_documents(plan.directory_path, plan.directory, {}, between);
    problems.insert(problems.end(), found.begin(), found.end());
    if (!problems.empty()) {
        print_problems(problems);
        code = exit_code::refused;
        return std::nullopt;
    }
    call_answer failed;
    auto site = read_site(c, plan.directory, failed);
    if (!site) {
        code = fail(c, failed);
        return std::nullopt;
    }
    plan.site = std::move(*site);
    plan.steps = plan_apply(plan.directory, plan.site, onto_current);
    return plan;
}

bool is_change(const plan_step& step)
{
    return step.kind != plan_kind::same && step.kind != plan_kind::conflict;
}

call_answer send_step(context& c, const prepared_plan& plan, const plan_step& step)
{
    const std::string target = fmt::format("{}?version={}", settings_target(step.path), step.base.value());
    if (step.kind == plan_kind::remove) {
        return c.entries().change("DELETE", target, "", step.path);
    }
    return c.entries().change("PUT", target, plan.directory.documents.at(step.path), step.path);
}

bool is_bad_settings(const call_answer& answer)
{
    return answer.outcome == call_outcome::refused && text_of(answer.body, "error") == "bad_settings";
}

// Carries the steps out. One that is refused for what other subtrees say is tried once more after the rest, which may
// have mended it. Everything else that fails is told and does not keep the others back: they are other people's.
exit_code carry_out(context& c, prepared_plan& plan)
{
    std::vector<const plan_step*> waiting;
    for (const plan_step& step : plan.steps) {
        if (is_change(step)) {
            waiting.push_back(&step);
        }
    }
    exit_code worst = exit_code::ok;
    for (int round = 0; round < 2 && !waiting.empty(); ++round) {
        std::vector<const plan_step*> again;
        for (const plan_step* step : waiting) {
            const call_answer answer = send_step(c, plan, *step);
            if (answer.outcome == call_outcome::ok) {
                plan.directory.versions[step->path] = settings_version(answer.body.value("version", 0LL));
                std::cout << fmt::format("in force: {} version {}\n", step->path, text_of(answer.body, "version"));
                continue;
            }
            if (round == 0 && is_bad_settings(answer)) {
                again.push_back(step);
                continue;
            }
            std::cerr << step->path << ": ";
            worst = std::max(worst, fail(c, answer));
        }
        waiting = std::move(again);
    }
    return worst;
}

// Subtrees that are as in the directory are based on the site's version from now on, whoever made it so.
void record_versions(prepared_plan& plan)
{
    for (const plan_step& step : plan.steps) {
        if (step.kind != plan_kind::same) {
            continue;
        }
        const auto found = plan.site.find(step.path);
        if (found != plan.site.end() && !found->second.removed) {
            plan.directory.versions[step.path] = found->second.version;
        }
        else {
            plan.directory.versions.erase(step.path);
        }
    }
    for (const plan_step& step : plan.steps) {
        if (step.kind == plan_kind::remove && plan.directory.versions[step.path] != step.base) {
            plan.directory.versions.erase(step.path); // the removal has a version of its own
        }
    }
}

} // namespace

exit_code check_directory(context& c)
{
    const std::string path = take_word(c, 0, "DIR");
    std::vector<settings_problem> problems;
    const settings_directory directory = read_directory(path, problems);
    settings_directory surroundings;
    if (c.flags.count("with") > 0) {
        surroundings = read_directory(c.flags["with"].as<std::string>(), problems);
    }
    bool between = false;
    const std::vector<settings_problem> found = check_documents(path, directory, surroundings, between);
    problems.insert(problems.end(), found.begin(), found.end());
    if (c.json) {
        json list = json::array();
        for (const settings_problem& problem : problems) {
            list.push_back({{"file", problem.document}, {"path", problem.path}, {"reason", problem.reason}});
        }
        std::cout << json{{"checked", directory.documents.size()}, {"problems", list}}.dump(2) << '\n';
    }
    else {
        print_problems(problems);
        std::cout << fmt::format("{} subtrees checked, {} mistakes\n", directory.documents.size(), problems.size());
        if (!between) {
            std::cout << "no defaults.json here: what subtrees say of one another was not checked (--with DIR)\n";
        }
    }
    return problems.empty() ? exit_code::ok : exit_code::refused;
}

exit_code diff_settings(context& c)
{
    exit_code code = exit_code::ok;
    const auto plan = prepare(c, false, code);
    if (plan) {
        print_plan(c, plan->steps);
    }
    return code;
}

exit_code apply_settings(context& c)
{
    exit_code code = exit_code::ok;
    auto plan = prepare(c, c.flags.count("onto-current") > 0, code);
    if (!plan) {
        return code;
    }
    print_plan(c, plan->steps);
    bool conflict = false;
    bool destroys = false;
    for (const plan_step& step : plan->steps) {
        conflict = conflict || step.kind == plan_kind::conflict;
        destroys = destroys || step.destroys;
    }
    if (c.flags.count("dry-run") > 0) {
        return conflict ? exit_code::refused : exit_code::ok;
    }
    if (destroys && !confirm(c, "This removes subtrees or goes over another's change.")) {
        return exit_code::refused;
    }
    code = carry_out(c, *plan);
    record_versions(*plan);
    if (!write_versions(plan->directory_path, plan->directory.versions)) {
        std::cerr << "versions.json could not be written; the next apply compares by content\n";
    }
    return conflict ? std::max(code, exit_code::refused) : code;
}

} // namespace skylarkhub::ctl
