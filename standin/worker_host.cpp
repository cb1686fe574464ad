#include "worker_host_p.h"

#include <absl/time/clock.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>

#include "log_line_p.h"
#include "platform_wire_p.h"
#include "row_keys_p.h"
#include "worker_client_p.h"

namespace skylarkhub::standin {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration register_interval = 1s;
constexpr duration platform_timeout = 2s;
constexpr std::int64_t control_bytes_most = 16 << 20;
constexpr std::size_t held_most = 1000;
constexpr std::size_t closed_runs_most = 50000;

constexpr std::array<const char*, 5> history_names{"start", "finish", "fail", "stop", "lapse"};

worker_now read_clocks()
{
    worker_now now;
    const auto clock = std::chrono::steady_clock::now().time_since_epoch();
    now.clock = worker_time(std::chrono::duration_cast<duration>(clock));
    now.wall = wall_time(duration(absl::ToUnixMicros(absl::Now())));
    return now;
}

http_response json_response(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

http_response bad_request(const std::string& reason)
{
    const json body{{"error", "bad_request"}, {"reason", reason}};
    return json_response(400, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::string format_target_id(const task_id& task, attempt_number attempt)
{
    return fmt::format("{}@{}", format_task(task), attempt.value());
}

// The object's own progress counts, not what its owner was told: an older write may have taken effect after it.
std::optional<double> read_progress(const std::string& body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("progress") || !object["progress"].is_number()) {
        return std::nullopt;
    }
    return object["progress"].get<double>();
}

} // namespace

worker_host::worker_host(options o) : options_(std::move(o)), state_(options_.settings) {}

worker_host::~worker_host()
{
    server_.reset();
    std::vector<target_key> left;
    {
        absl::MutexLock lock(&mutex_);
        for (const auto& [key, open] : runners_) {
            left.push_back(key);
        }
    }
    for (const target_key& key : left) {
        close_runner(key);
    }
}

bool worker_host::start(std::string* last_reason)
{
    http_server::options server;
    server.address = options_.address;
    server.threads = 1;
    server.body_bytes_most = control_bytes_most;
    server_ = http_server::start(
        server, [this](http_request request, const http_reply& reply) { handle(std::move(request), reply); },
        last_reason);
    return server_ != nullptr;
}

// --- calls from outside ---

void worker_host::handle(http_request request, const http_reply& reply)
{
    const std::string call = request.method + " " + request.path;
    if (call == "POST /v1/control") {
        handle_control(std::move(request), reply);
    }
    else if (call == "POST /v1/switches") {
        reply(change_switches(request));
    }
    else if (call == "GET /v1/history") {
        reply(json_response(200, format_history()));
    }
    else if (call == "GET /v1/runs") {
        reply(json_response(200, format_all_runs()));
    }
    else if (call == "GET /healthz") {
        reply({200, {}, "ok"});
    }
    else {
        reply(json_response(404, R"({"error":"no such call"})"));
    }
}

void worker_host::handle_control(http_request request, const http_reply& reply)
{
    absl::MutexLock lock(&mutex_);
    if (!frozen_) {
        reply(control(request));
        return;
    }
    // As on a paused instance: the calls wait in its buffers and take effect when it goes on, however old they are.
    if (held_.size() < held_most) {
        held_.push_back({std::move(request), reply});
    }
}

http_response worker_host::control(const http_request& request)
{
    std::string reason;
    const auto parsed = parse_worker_request(request.body, &reason);
    if (!parsed) {
        return bad_request(reason);
    }
    const worker_report report = state_.control(read_clocks(), *parsed);
    wake();
    return json_response(200, format_worker_report(report));
}

http_response worker_host::change_switches(const http_request& request)
{
    const json wanted = json::parse(request.body, nullptr, false);
    if (!wanted.is_object()) {
        return bad_request("not a JSON object");
    }
    absl::MutexLock lock(&mutex_);
    try {
        faults_.fail_all = wanted.value("fail_all", faults_.fail_all);
        faults_.noise = wanted.value("noise", faults_.noise);
        slow_accept_ms_ = wanted.value("slow_accept_ms", slow_accept_ms_);
        frozen_ = wanted.value("freeze_control", frozen_);
    }
    catch (const json::exception& error) {
        return bad_request(error.what());
    }
    state_.set_faults(faults_);
    while (!frozen_ && !held_.empty()) {
        held_.front().reply(control(held_.front().request));
        held_.pop_front();
    }
    wake();
    return json_response(200, "{}");
}

std::string worker_host::format_history()
{
    json events = json::array();
    absl::MutexLock lock(&mutex_);
    for (const history_event& e : state_.history()) {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(e.at.time_since_epoch());
        events.push_back({{"at_ms", at.count()},
                          {"event", history_names.at(static_cast<std::size_t>(e.kind))},
                          {"task", format_task(e.task)},
                          {"attempt", e.attempt.value()},
                          {"told", e.told}});
    }
    return json{{"events", std::move(events)}, {"dropped", state_.history_dropped()}}.dump();
}

std::string worker_host::format_all_runs()
{
    absl::MutexLock lock(&mutex_);
    std::deque<target_run> runs = closed_runs_;
    for (const auto& [key, open] : runners_) {
        const auto own = open.runner->runs();
        runs.insert(runs.end(), own.begin(), own.end());
    }
    return format_runs(runs, closed_runs_dropped_);
}

void worker_host::leave()
{
    absl::MutexLock lock(&mutex_);
    leave_wanted_ = true;
    wake();
}

void worker_host::wake()
{
    woken_ = true;
    changed_.Signal();
}

// --- the thread in run() ---

void worker_host::run()
{
    while (true) {
        const worker_now now = read_clocks();
        step(now);
        if (has_left(now)) {
            break;
        }
        absl::MutexLock lock(&mutex_);
        const duration rest = state_.next_wake(now.clock) - now.clock;
        const absl::Time until = absl::Now() + absl::Microseconds(std::max<std::int64_t>(1000, rest.count()));
        while (!woken_ && !changed_.WaitWithDeadline(&mutex_, until)) {
        }
        woken_ = false;
    }
    server_->stop_accepting();
    if (options_.platform.valid()) {
        http_.call(platform_call("DELETE", "/v1/instances/" + encode_url_part(options_.id)));
    }
}

void worker_host::step(worker_now now)
{
    std::vector<worker_action> actions;
    {
        absl::MutexLock lock(&mutex_);
        if (leave_wanted_ && !left_) {
            left_ = now.clock;
            state_.leave();
        }
        tell_targets();
        state_.advance(now);
        actions = state_.take_actions();
    }
    for (const worker_action& action : actions) {
        std::visit([&](const auto& a) { carry_out(a); }, action);
    }
    close_drained(now);
    if (!registered_ || now.clock - *registered_ >= register_interval) {
        registered_ = now.clock;
        register_all();
    }
}

// Ends that no owner has heard of would be lost with the process and their tasks run again, so it waits for them.
bool worker_host::has_left(worker_now now)
{
    absl::MutexLock lock(&mutex_);
    if (!left_ || !runners_.empty()) {
        return false;
    }
    return state_.empty() || now.clock - *left_ >= options_.leave_patience;
}

void worker_host::carry_out(const open_target& action)
{
    const service_id service(action.spec.team.str() + "/" + action.spec.name);
    target::options o{.ip = options_.address.str().substr(0, options_.address.str().rfind(':')), .service = service};
    o.slots = action.spec.slots;
    o.connections = action.spec.connections;
    o.service_ms = action.service_ms;
    o.seed = options_.settings.seed + static_cast<std::uint64_t>(action.attempt.value());
    std::string reason;
    auto runner = target::start(o, delays_, &reason);
    absl::MutexLock lock(&mutex_);
    if (!runner) {
        state_.target_refused(read_clocks(), action.task, action.attempt, reason);
        return;
    }
    listed_instance listed{.id = format_target_id(action.task, action.attempt), .role = instance_role::target};
    listed.data_centre = data_centre_id(options_.data_centre);
    listed.rack = rack_id(options_.rack);
    listed.address = runner->address();
    listed.service = service;
    listed.slots = o.slots;
    listed.connections = o.connections;
    state_.target_opened(action.task, action.attempt, runner->address());
    runners_.emplace(target_key(action.task, action.attempt), open_runner{std::move(runner), std::move(listed), {}});
    registered_.reset();
}

void worker_host::carry_out(const close_target& action)
{
    const target_key key(action.task, action.attempt);
    if (action.abrupt) {
        close_runner(key);
        return;
    }
    absl::MutexLock lock(&mutex_);
    const auto found = runners_.find(key);
    if (found == runners_.end()) {
        state_.target_closed(read_clocks(), action.task, action.attempt);
        return;
    }
    found->second.runner->leave();
    found->second.listed.leaving = true;
    found->second.left = read_clocks().clock;
    registered_.reset();
}

void worker_host::carry_out(const put_checkpoint& action)
{
    http_call call = platform_call("PUT", "/v1/objects/" + action.key);
    call.body = json{{"task", format_task(action.task)}, {"progress", action.progress}}.dump();
    http_.send(std::move(call), [this, action](const http_result& result) {
        absl::MutexLock lock(&mutex_);
        if (result.answered && result.status / 100 == 2) {
            state_.checkpoint_stored(action.task, action.attempt, action.progress);
        }
        else {
            state_.checkpoint_not_stored(action.task, action.attempt);
        }
    });
}

void worker_host::carry_out(const get_checkpoint& action)
{
    http_.send(platform_call("GET", "/v1/objects/" + action.key), [this, action](const http_result& result) {
        const worker_now now = read_clocks();
        const bool found = result.answered && result.status == 200;
        const auto progress = found ? read_progress(result.body) : std::nullopt;
        absl::MutexLock lock(&mutex_);
        if (progress) {
            state_.checkpoint_loaded(now, action.task, action.attempt, *progress);
        }
        else if (found || (result.answered && result.status == 404)) {
            state_.checkpoint_missing(now, action.task, action.attempt);
        }
        else {
            state_.checkpoint_unreadable(now, action.task, action.attempt);
        }
        wake();
    });
}

void worker_host::tell_targets()
{
    for (auto& [key, open] : runners_) {
        state_.set_load(key.first, key.second, open.runner->load());
        open.runner->set_conditions(state_.slowdown(key.first), slow_accept_ms_);
    }
}

// A leaving target goes on refusing for a while: callers that have not heard of it yet get an explicit "did not run"
// where a closed connection would leave it open whether their request ran.
void worker_host::close_drained(worker_now now)
{
    std::vector<target_key> drained;
    {
        absl::MutexLock lock(&mutex_);
        for (auto& [key, open] : runners_) {
            if (!open.left || now.clock - *open.left < options_.linger) {
                continue;
            }
            open.runner->stop_accepting();
            if (open.runner->drained()) {
                drained.push_back(key);
            }
        }
    }
    for (const target_key& key : drained) {
        close_runner(key);
        absl::MutexLock lock(&mutex_);
        state_.target_closed(now, key.first, key.second);
    }
}

void worker_host::close_runner(const target_key& key)
{
    std::shared_ptr<target> runner;
    std::string id;
    {
        absl::MutexLock lock(&mutex_);
        const auto found = runners_.find(key);
        if (found == runners_.end()) {
            return;
        }
        runner = std::move(found->second.runner);
        id = found->second.listed.id;
        runners_.erase(found);
    }
    runner->close();
    unregister(id);
    absl::MutexLock lock(&mutex_);
    for (target_run& run : runner->runs()) {
        closed_runs_.push_back(std::move(run));
    }
    while (closed_runs_.size() > closed_runs_most) {
        closed_runs_.pop_front();
        ++closed_runs_dropped_;
    }
}

// --- the platform's list ---

void worker_host::register_all()
{
    if (!options_.platform.valid()) {
        return;
    }
    listed_instance self{.id = options_.id, .role = instance_role::worker};
    self.data_centre = data_centre_id(options_.data_centre);
    self.rack = rack_id(options_.rack);
    self.address = address();
    self.capacity = options_.settings.capacity;
    std::vector<listed_instance> targets;
    {
        absl::MutexLock lock(&mutex_);
        self.leaving = state_.leaving();
        for (const auto& [key, open] : runners_) {
            targets.push_back(open.listed);
        }
    }
    register_one(self);
    for (const listed_instance& t : targets) {
        register_one(t);
    }
}

void worker_host::register_one(const listed_instance& instance)
{
    http_call call = platform_call("PUT", "/v1/instances/" + encode_url_part(instance.id));
    call.body = format_instance(instance);
    http_.send(std::move(call), [](const http_result& result) {
        if (!result.answered) {
            write_log(log_level::debug, "worker", "not_registered", {{"reason", result.reason}});
        }
    });
}

void worker_host::unregister(const std::string& id)
{
    if (options_.platform.valid()) {
        http_.send(platform_call("DELETE", "/v1/instances/" + encode_url_part(id)), [](const http_result&) {});
    }
}

http_call worker_host::platform_call(std::string method, std::string path) const
{
    http_call call{.method = std::move(method), .address = options_.platform, .target = std::move(path)};
    call.timeout = platform_timeout;
    return call;
}

} // namespace skylarkhub::standin
