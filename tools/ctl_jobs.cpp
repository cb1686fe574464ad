#include <fmt/format.h>

#include <array>
#include <iostream>

#include "ctl_p.h"

namespace skylarkhub::ctl {

namespace {

using nlohmann::json;

struct job_flag {
    const char* flag;
    const char* name; // in the JSON; a dot stands for one level
    bool text;
};
constexpr std::array<job_flag, 13> job_flags{{
    {"team", "team", true},
    {"name", "name", true},
    {"kind", "kind", true},
    {"cpu-millis", "declared/cpu_millis", false},
    {"memory-mib", "declared/memory_mib", false},
    {"accelerators", "declared/accelerators", false},
    {"tasks", "task_count", false},
    {"urgency", "urgency", true},
    {"run-time-ms", "run_time_ms", false},
    {"attempt-limit", "attempt_limit", false},
    {"payload", "payload", true},
    {"slots", "slots", false},
    {"connections", "connections", false},
}};

std::string job_target(const std::string& job)
{
    return "/v1/jobs/" + encode_url_part(job);
}

std::string filter_target(const context& c, std::string target)
{
    if (c.flags.count("team") > 0) {
        target += fmt::format("{}team={}", target.find('?') == std::string::npos ? '?' : '&',
                              encode_url_part(c.flags["team"].as<std::string>()));
    }
    return target;
}

// Says which parts of a list are absent, so that a short list is not taken for a whole one.
void warn_missing(const json& body)
{
    if (body.contains("missing") && !body["missing"].empty()) {
        std::cerr << "not whole, no answer from: " << body["missing"].dump() << '\n';
    }
}

exit_code send_job(context& c, const json& job)
{
    if (c.flags.count("dry-run") > 0) {
        std::cout << job.dump(2) << '\n';
        return exit_code::ok;
    }
    const call_answer answer = c.entries().change("POST", "/v1/jobs", job.dump());
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    std::cout << (c.json ? answer.body.dump(2) : text_of(answer.body, "job")) << '\n';
    return exit_code::ok;
}

exit_code change_job(context& c, const std::string& method, const std::string& target)
{
    const call_answer answer = c.entries().change(method, target, "");
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    std::cout << (c.json ? answer.body.dump(2) : text_of(answer.body, "job")) << '\n';
    return exit_code::ok;
}

exit_code print_jobs(context& c, const char* service)
{
    const call_answer answer = c.entries().get(filter_target(c, fmt::format("/v1/jobs?service={}", service)));
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    text_table table({"JOB", "TEAM", "NAME", "KIND", "URGENCY", "QUEUED", "RUNNING", "FINISHED", "PARKED", "CANCELLED",
                      "ACCEPTED", "LAST REASON"});
    for (const json& job : answer.body.value("jobs", json::array())) {
        table.add({text_of(job, "job"), text_of(job, "team"), text_of(job, "name"), text_of(job, "kind"),
                   text_of(job, "urgency"), text_of(job, "queued"), text_of(job, "running"), text_of(job, "finished"),
                   text_of(job, "parked"), text_of(job, "cancelled"), format_time_ms(job.value("accepted_ms", 0LL)),
                   text_of(job, "last_reason")});
    }
    table.print();
    warn_missing(answer.body);
    return exit_code::ok;
}

json read_json_file(const std::string& path)
{
    json value = json::parse(read_file(path), nullptr, false);
    if (!value.is_object()) {
        throw usage_error{path + ": is not a JSON object"};
    }
    return value;
}

// Flags go before the file, so that one file serves several jobs.
json make_job(const context& c)
{
    json job = c.flags.count("file") > 0 ? read_json_file(c.flags["file"].as<std::string>()) : json::object();
    for (const job_flag& known : job_flags) {
        if (c.flags.count(known.flag) == 0) {
            continue;
        }
        json& member = job[json::json_pointer(std::string("/") + known.name)];
        if (known.text) {
            member = c.flags[known.flag].as<std::string>();
        }
        else {
            member = c.flags[known.flag].as<std::int64_t>();
        }
    }
    if (c.flags.count("payload-file") > 0) {
        job["payload"] = read_file(c.flags["payload-file"].as<std::string>());
    }
    return job;
}

void require(const json& job, std::initializer_list<const char*> names)
{
    for (const char* name : names) {
        if (text_of(job, name).empty()) {
            throw usage_error{fmt::format("--{} is needed, here or in the file", name)};
        }
    }
}

} // namespace

exit_code submit(context& c)
{
    const json job = make_job(c);
    require(job, {"team", "name", "kind"});
    return send_job(c, job);
}

exit_code list_jobs(context& c)
{
    return print_jobs(c, "0");
}

exit_code show_job(context& c)
{
    const call_answer answer = c.entries().get(job_target(take_word(c, 0, "JOB")));
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    for (const auto& [name, value] : answer.body.items()) {
        if (name != "tasks") {
            const bool time = name.ends_with("ed_ms") && value.is_number_integer();
            std::cout << fmt::format("{:<16} {}\n", name,
                                     time ? format_time_ms(value.get<std::int64_t>())
                                          : text_of(answer.body, name.c_str()));
        }
    }
    text_table table({"TASK", "PHASE", "ATTEMPT", "FAILED", "LAST REASON"});
    for (const json& task : answer.body.value("tasks", json::array())) {
        table.add({text_of(task, "index"), text_of(task, "phase"), text_of(task, "attempt"),
                   text_of(task, "attempts_failed"), text_of(task, "last_reason")});
    }
    table.print();
    return exit_code::ok;
}

exit_code cancel_job(context& c)
{
    const std::string job = take_word(c, 0, "JOB");
    if (!confirm(c, fmt::format("Cancel {}: its running tasks are stopped and do not resume.", job))) {
        return exit_code::refused;
    }
    return change_job(c, "DELETE", job_target(job));
}

exit_code resume_job(context& c)
{
    return change_job(c, "POST", job_target(take_word(c, 0, "JOB")) + "/resume");
}

exit_code create_service(context& c)
{
    json job = make_job(c);
    job["team"] = take_word(c, 0, "TEAM");
    job["name"] = take_word(c, 1, "NAME");
    job["service"] = true;
    require(job, {"kind"});
    return send_job(c, job);
}

exit_code list_services(context& c)
{
    return print_jobs(c, "1");
}

exit_code remove_service(context& c)
{
    const std::string team = take_word(c, 0, "TEAM");
    const std::string name = take_word(c, 1, "NAME");
    const call_answer listed = c.entries().get("/v1/jobs?service=1&team=" + encode_url_part(team));
    if (listed.outcome != call_outcome::ok) {
        return fail(c, listed);
    }
    std::string job;
    for (const json& candidate : listed.body.value("jobs", json::array())) {
        if (text_of(candidate, "name") == name && candidate.value("ended_ms", 0LL) == 0) {
            job = text_of(candidate, "job");
        }
    }
    if (job.empty()) {
        warn_missing(listed.body);
        std::cerr << fmt::format("refused, nothing was done: team {} runs no service {}\n", team, name);
        return exit_code::refused;
    }
    if (!confirm(c, fmt::format("Remove service {}/{}: its runners stop after a graceful shutdown.", team, name))) {
        return exit_code::refused;
    }
    return change_job(c, "DELETE", job_target(job));
}

exit_code create_standing(context& c)
{
    const std::string team = take_word(c, 0, "TEAM");
    const std::string name = take_word(c, 1, "NAME");
    json job = make_job(c);
    job.erase("team");
    job.erase("name");
    require(job, {"kind"});
    if (c.flags.count("period-ms") == 0) {
        throw usage_error{"--period-ms is needed"};
    }
    const json body{{"job", job},
                    {"period_ms", c.flags["period-ms"].as<std::int64_t>()},
                    {"first_due_ms", c.flags["first-due-ms"].as<std::int64_t>()},
                    {"catch_up", c.flags["catch-up"].as<std::int64_t>()}};
    if (c.flags.count("dry-run") > 0) {
        std::cout << body.dump(2) << '\n';
        return exit_code::ok;
    }
    const call_answer answer = c.entries().change(
        "PUT", fmt::format("/v1/standing/{}/{}", encode_url_part(team), encode_url_part(name)), body.dump());
    return answer.outcome == call_outcome::ok ? exit_code::ok : fail(c, answer);
}

exit_code list_standing(context& c)
{
    const call_answer answer = c.entries().get(filter_target(c, "/v1/standing"));
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    text_table table({"TEAM", "NAME", "KIND", "PERIOD S", "NEXT DUE", "RUN", "MISSED", "STOPPED"});
    for (const json& standing : answer.body.value("standing", json::array())) {
        table.add({text_of(standing, "team"), text_of(standing, "name"), text_of(standing, "kind"),
                   fmt::format("{:.1f}", static_cast<double>(standing.value("period_ms", 0LL)) / 1000),
                   format_time_ms(standing.value("next_due_ms", 0LL)), text_of(standing, "run_count"),
                   text_of(standing, "missed_count"), text_of(standing, "stopped")});
    }
    table.print();
    return exit_code::ok;
}

exit_code remove_standing(context& c)
{
    const std::string team = take_word(c, 0, "TEAM");
    const std::string name = take_word(c, 1, "NAME");
    if (!confirm(c, fmt::format("Remove standing work {}/{}: it is due no more.", team, name))) {
        return exit_code::refused;
    }
    const call_answer answer = c.entries().change(
        "DELETE", fmt::format("/v1/standing/{}/{}", encode_url_part(team), encode_url_part(name)), "");
    return answer.outcome == call_outcome::ok ? exit_code::ok : fail(c, answer);
}

} // namespace skylarkhub::ctl
