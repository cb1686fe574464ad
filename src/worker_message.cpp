#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "config.h"
#include "row_keys_p.h"
#include "worker_client_p.h"

namespace skylarkhub {

namespace {

using nlohmann::json;

// What a message lacks or has wrong; never leaves this file.
class bad_message : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

constexpr std::int64_t count_most = std::int64_t{1} << 53; // what every JSON reader keeps exactly
constexpr std::int64_t run_time_ms_most = std::int64_t{10} * 365 * 24 * 3600 * 1000;

constexpr std::array<std::pair<task_state, const char*>, 5> state_names{{{task_state::running, "running"},
                                                                         {task_state::finished, "finished"},
                                                                         {task_state::failed, "failed"},
                                                                         {task_state::stopped, "stopped"},
                                                                         {task_state::lapsed, "lapsed"}}};

// Text that is not UTF-8 has no place in JSON; such bytes become U+FFFD, where throwing would end the daemon.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const json& member_of(const json& object, const char* key)
{
    if (!object.is_object()) {
        throw bad_message(fmt::format("no object around \"{}\"", key));
    }
    const auto found = object.find(key);
    if (found == object.end()) {
        throw bad_message(fmt::format("no \"{}\"", key));
    }
    return *found;
}

std::int64_t read_count(const json& object, const char* key, std::int64_t most = count_most)
{
    const json& value = member_of(object, key);
    if (!value.is_number_integer()) {
        throw bad_message(fmt::format("\"{}\" is not a whole number", key));
    }
    const bool too_large = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(most);
    if (too_large || value.get<std::int64_t>() < 0) {
        throw bad_message(fmt::format("\"{}\" is out of range", key));
    }
    return value.get<std::int64_t>();
}

std::int32_t read_small(const json& object, const char* key)
{
    return static_cast<std::int32_t>(read_count(object, key, std::numeric_limits<std::int32_t>::max()));
}

double read_number(const json& object, const char* key)
{
    const json& value = member_of(object, key);
    if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < 0) {
        throw bad_message(fmt::format("\"{}\" is not a number from 0", key));
    }
    return value.get<double>();
}

double read_share(const json& object, const char* key)
{
    const double share = read_number(object, key);
    if (share > 1) {
        throw bad_message(fmt::format("\"{}\" is above 1", key));
    }
    return share;
}

bool read_bool(const json& object, const char* key)
{
    const json& value = member_of(object, key);
    if (!value.is_boolean()) {
        throw bad_message(fmt::format("\"{}\" is not true or false", key));
    }
    return value.get<bool>();
}

const std::string& read_text(const json& object, const char* key)
{
    const json& value = member_of(object, key);
    if (!value.is_string()) {
        throw bad_message(fmt::format("\"{}\" is not text", key));
    }
    return value.get_ref<const std::string&>();
}

const json& read_list(const json& object, const char* key)
{
    const json& value = member_of(object, key);
    if (!value.is_array()) {
        throw bad_message(fmt::format("\"{}\" is not a list", key));
    }
    return value;
}

worker_time read_time(const json& object, const char* key)
{
    return worker_time(duration(read_count(object, key)));
}

task_id read_task(const json& object, const char* key)
{
    const auto task = parse_task(read_text(object, key));
    if (!task) {
        throw bad_message(fmt::format("\"{}\" is not of the form JOB/INDEX", key));
    }
    return *task;
}

attempt_number read_attempt(const json& object)
{
    return attempt_number(read_count(object, "attempt"));
}

json write_time(worker_time time)
{
    return time.time_since_epoch().count();
}

json write_resources(const resources& r)
{
    return {{"cpu_millis", r.cpu_millis}, {"memory_mib", r.memory_mib}, {"accelerators", r.accelerators}};
}

resources read_resources(const json& object)
{
    return {read_count(object, "cpu_millis"), read_count(object, "memory_mib"), read_small(object, "accelerators")};
}

// --- commands ---

json write_spec(const task_start& start)
{
    const job_spec& spec = start.spec;
    const std::string service = spec.is_service ? spec.team.str() + "/" + spec.name : "";
    return {{"kind", spec.kind.str()},
            {"payload", spec.payload},
            {"run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(spec.run_time).count()},
            {"declared", write_resources(spec.declared)},
            {"service", service},
            {"slots", spec.slots},
            {"connections", spec.connections},
            {"persistent", start.persistent}};
}

// Team and name travel only as the service's id; a batch task's worker needs neither.
job_spec read_spec(const json& object)
{
    job_spec spec;
    spec.kind = kind_id(read_text(object, "kind"));
    spec.payload = read_text(object, "payload");
    spec.run_time = std::chrono::milliseconds(read_count(object, "run_time_ms", run_time_ms_most));
    spec.declared = read_resources(member_of(object, "declared"));
    spec.slots = read_small(object, "slots");
    spec.connections = read_small(object, "connections");
    const std::string& service = read_text(object, "service");
    if (service.empty()) {
        return spec;
    }
    const auto slash = service.find('/');
    if (slash == std::string::npos) {
        throw bad_message("\"service\" is not of the form TEAM/NAME");
    }
    spec.is_service = true;
    spec.team = team_id(service.substr(0, slash));
    spec.name = service.substr(slash + 1);
    return spec;
}

template <class Command> json write_head(const char* what, const Command& c)
{
    return {{"do", what}, {"task", format_task(c.task)}, {"attempt", c.attempt.value()}};
}

json write_command(const worker_command& command)
{
    return std::visit(detail::overloaded{
                          [](const task_start& c) {
                              json out = write_head("start", c);
                              out["lease_until"] = write_time(c.lease_until);
                              out["spec"] = write_spec(c);
                              out["committed"] = write_resources(c.committed);
                              out["resume_from"] = c.resume_from;
                              return out;
                          },
                          [](const task_renew& c) {
                              json out = write_head("renew", c);
                              out["lease_until"] = write_time(c.lease_until);
                              if (c.committed != resources{}) {
                                  out["committed"] = write_resources(c.committed);
                              }
                              return out;
                          },
                          [](const task_checkpoint& c) { return write_head("checkpoint", c); },
                          [](const task_throttle& c) {
                              json out = write_head("throttle", c);
                              out["percent"] = c.percent;
                              return out;
                          },
                          [](const task_stop& c) { return write_head("stop", c); },
                          [](const task_forget& c) { return write_head("forget", c); },
                      },
                      command);
}

std::int32_t read_percent(const json& object, const char* key)
{
    return static_cast<std::int32_t>(read_count(object, key, 100));
}

task_start read_start(const json& object, const task_id& task, attempt_number attempt)
{
    task_start start{.task = task, .attempt = attempt};
    start.lease_until = read_time(object, "lease_until");
    const json& spec = member_of(object, "spec");
    start.spec = read_spec(spec);
    start.persistent = read_bool(spec, "persistent");
    start.committed = read_resources(member_of(object, "committed"));
    start.resume_from = read_text(object, "resume_from");
    return start;
}

worker_command read_command(const json& object)
{
    const std::string& what = read_text(object, "do");
    const task_id task = read_task(object, "task");
    const attempt_number attempt = read_attempt(object);
    if (what == "start") {
        return read_start(object, task, attempt);
    }
    if (what == "renew") {
        const bool resized = object.contains("committed");
        return task_renew{task, attempt, read_time(object, "lease_until"),
                          resized ? read_resources(object["committed"]) : resources{}};
    }
    if (what == "checkpoint") {
        return task_checkpoint{task, attempt};
    }
    if (what == "throttle") {
        return task_throttle{task, attempt, read_percent(object, "percent")};
    }
    if (what == "stop") {
        return task_stop{task, attempt};
    }
    if (what == "forget") {
        return task_forget{task, attempt};
    }
    throw bad_message("unknown command \"" + what + "\"");
}

// --- report ---

const char* write_state(task_state state)
{
    return state_names.at(static_cast<std::size_t>(state)).second;
}

task_state read_state(const json& object)
{
    const std::string& text = read_text(object, "state");
    for (const auto& [state, name] : state_names) {
        if (text == name) {
            return state;
        }
    }
    throw bad_message("unknown state \"" + text + "\"");
}

json write_task(const task_report& t)
{
    return {{"task", format_task(t.task)},
            {"attempt", t.attempt.value()},
            {"state", write_state(t.state)},
            {"lease_until", write_time(t.lease_until)},
            {"progress", t.progress},
            {"checkpoint", t.checkpoint},
            {"checkpoint_progress", t.checkpoint_progress},
            {"reason", t.reason},
            {"address", t.address.str()},
            {"cpu_millis", t.used.cpu_millis},
            {"memory_mib", t.used.memory_mib},
            {"committed", write_resources(t.committed)},
            {"throttle", t.throttle},
            {"started", write_time(t.started)}};
}

task_report read_task_report(const json& object)
{
    task_report t;
    t.task = read_task(object, "task");
    t.attempt = read_attempt(object);
    t.state = read_state(object);
    t.lease_until = read_time(object, "lease_until");
    t.progress = read_share(object, "progress");
    t.checkpoint = read_text(object, "checkpoint");
    t.checkpoint_progress = read_share(object, "checkpoint_progress");
    t.reason = read_text(object, "reason");
    t.address = net_address(read_text(object, "address"));
    t.used.cpu_millis = read_count(object, "cpu_millis");
    t.used.memory_mib = read_count(object, "memory_mib");
    t.committed = read_resources(member_of(object, "committed"));
    t.throttle = read_percent(object, "throttle");
    t.started = read_time(object, "started");
    return t;
}

worker_request read_request(const json& object)
{
    worker_request request;
    request.epoch = epoch(read_count(object, "epoch"));
    request.sequence = sequence_number(read_count(object, "sequence"));
    request.owner = incarnation_id(read_text(object, "owner"));
    request.boot = read_text(object, "boot");
    for (const json& command : read_list(object, "commands")) {
        request.commands.push_back(read_command(command));
    }
    return request;
}

worker_report read_report(const json& object)
{
    worker_report report;
    report.accepted = read_bool(object, "accepted");
    report.epoch = epoch(read_count(object, "epoch"));
    report.boot = read_text(object, "boot");
    report.now = read_time(object, "now");
    report.capacity = read_resources(member_of(object, "capacity"));
    if (!fits(report.capacity, config::worker_room_most)) {
        throw bad_message("\"capacity\" is more than a worker can hold");
    }
    report.leaving = read_bool(object, "leaving");
    report.usage_taken = read_time(object, "usage_taken");
    for (const json& task : read_list(object, "tasks")) {
        report.tasks.push_back(read_task_report(task));
    }
    for (const json& i : read_list(object, "interference")) {
        report.interference.push_back({read_task(i, "service_task"), read_number(i, "slowdown")});
    }
    for (const json& r : read_list(object, "refused")) {
        report.refused.emplace_back(read_task(r, "task"), read_text(r, "why"));
    }
    return report;
}

template <class Read> auto parse(const std::string& text, std::string* last_reason, Read read)
{
    std::optional<decltype(read(json()))> message;
    try {
        message = read(json::parse(text));
    }
    catch (const bad_message& error) {
        *last_reason = error.what();
    }
    catch (const json::exception& error) {
        *last_reason = error.what();
    }
    return message;
}

} // namespace

std::string format_worker_request(const worker_request& request)
{
    json commands = json::array();
    for (const worker_command& command : request.commands) {
        commands.push_back(write_command(command));
    }
    return dump({{"epoch", request.epoch.value()},
                 {"sequence", request.sequence.value()},
                 {"owner", request.owner.str()},
                 {"boot", request.boot},
                 {"commands", std::move(commands)}});
}

std::optional<worker_request> parse_worker_request(const std::string& text, std::string* last_reason)
{
    return parse(text, last_reason, read_request);
}

std::string format_worker_report(const worker_report& report)
{
    json tasks = json::array();
    for (const task_report& task : report.tasks) {
        tasks.push_back(write_task(task));
    }
    json interference = json::array();
    for (const interference_report& i : report.interference) {
        interference.push_back({{"service_task", format_task(i.service_task)}, {"slowdown", i.slowdown}});
    }
    json refused = json::array();
    for (const auto& [task, why] : report.refused) {
        refused.push_back({{"task", format_task(task)}, {"why", why}});
    }
    return dump({{"accepted", report.accepted},
                 {"epoch", report.epoch.value()},
                 {"boot", report.boot},
                 {"now", write_time(report.now)},
                 {"capacity", write_resources(report.capacity)},
                 {"leaving", report.leaving},
                 {"usage_taken", write_time(report.usage_taken)},
                 {"tasks", std::move(tasks)},
                 {"interference", std::move(interference)},
                 {"refused", std::move(refused)}});
}

std::optional<worker_report> parse_worker_report(const std::string& text, std::string* last_reason)
{
    return parse(text, last_reason, read_report);
}

} // namespace skylarkhub
