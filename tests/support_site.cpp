#include "support_site.h"

#include <boost/test/framework.hpp>
#include <boost/test/results_collector.hpp>
#include <boost/test/tree/test_unit.hpp>

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace skylarkhub::tests {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using namespace std::chrono_literals;

const json defaults_document = {{"kinds",
                                 {{"bulletin",
                                   {{"latency_critical", true},
                                    {"idempotent", false},
                                    {"exclusive", true},
                                    {"latency_target_ms", 800},
                                    {"deadline_ms", 5000}}},
                                  {"rebuild", {{"idempotent", true}, {"exclusive", true}}}}}};
const json team_document = {
    {"services",
     {{"bulletins", {{"kind", "bulletin"}, {"availability_objective", 0.99}, {"slots", 8}, {"connections", 60}}}}}};

site_answer make_answer(const http_result& result)
{
    site_answer answer;
    if (!result.answered) {
        return answer;
    }
    answer.status = result.status;
    answer.outcome = std::string(find_field(result.headers, "outcome"));
    answer.text = result.body;
    answer.body = json::parse(result.body, nullptr, false);
    return answer;
}

std::int64_t now_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// What a process said is all there is to trace a case by that fails once in many runs.
bool case_passed()
{
    using boost::unit_test::results_collector;
    namespace framework = boost::unit_test::framework;
    return std::uncaught_exceptions() == 0 && results_collector.results(framework::current_test_case().p_id).passed();
}

json find_cell(const site_answer& answer)
{
    if (answer.status != 200 || !answer.body.contains("cells") || answer.body["cells"].empty()) {
        return json::object();
    }
    return answer.body["cells"].front();
}

} // namespace

site::site(const site_plan& plan) : entry_settings_(plan.entry_settings), folder_(make_folder())
{
    platform_ = std::make_unique<child>(folder_, "platform", "platform_standin",
                                        std::vector<std::string>{"--address", "127.0.0.1:0", "--list-lag-ms", "500"});
    platform_address_ = net_address(platform_->listening().front());
    for (int i = 1; i <= plan.workers; ++i) {
        start_worker("w" + std::to_string(i));
    }
    for (const std::string& name : plan.entries) {
        start_entry(name);
    }
}

site::~site()
{
    entries_.clear();
    workers_.clear();
    platform_.reset();
    if (!case_passed()) {
        std::cerr << "logs of the failed case are kept in " << folder_ << '\n';
        return;
    }
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
}

void site::start_worker(const std::string& name, const std::string& address)
{
    running_worker& worker = workers_[name];
    worker.process =
        std::make_unique<child>(folder_, fmt::format("{}-{}", name, ++workers_started_), "worker_standin",
                                std::vector<std::string>{"--id", name, "--address", address, "--platform",
                                                         platform_address_.str(), "--data-centre", "a", "--rack", "r1",
                                                         "--cpu-millis", "16000", "--memory-mib", "64000"});
    worker.address = net_address(worker.process->listening().front());
}

void site::start_entry(const std::string& name)
{
    const fs::path settings = folder_ / (name + ".json");
    json document{{"name", name},
                  {"data_centre", "a"},
                  {"http_address", "127.0.0.1:0"},
                  {"peer_address", "127.0.0.1:0"},
                  {"platform_address", platform_address_.str()}};
    document.update(entry_settings_);
    std::ofstream(settings) << document.dump();
    running_entry& entry = entries_[name];
    entry.process = std::make_unique<child>(folder_, name, "skylarkhubd",
                                            std::vector<std::string>{"--settings", settings.string()});
    const std::vector<std::string> addresses = entry.process->listening();
    entry.address = net_address(addresses.at(0));
    entry.peer_address = net_address(addresses.at(1));
}

void site::kill_entry(const std::string& name)
{
    entry(name).signal(SIGKILL);
    entry(name).wait_end();
}

// Control is frozen first, so that nothing begins or ends unseen between reading the record and the kill.
void site::kill_worker(const std::string& name)
{
    running_worker& worker = workers_.at(name);
    call(worker.address, "POST", "/v1/switches", R"({"freeze_control":true})", {});
    site_runs last;
    read_runs(name, last);
    worker.process->signal(SIGKILL);
    worker.process->wait_end();
    workers_.erase(name);
    for (auto& [task, list] : last) {
        for (site_run& run : list) {
            if (!run.ended_ms) {
                run.ended_ms = now_ms();
                run.end = "killed";
            }
            runs_of_killed_[task].push_back(run);
        }
    }
}

void site::restart_worker(const std::string& name)
{
    const std::string address = workers_.at(name).address.str();
    kill_worker(name);
    start_worker(name, address);
}

std::vector<std::string> site::worker_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, worker] : workers_) {
        names.push_back(name);
    }
    return names;
}

site_answer site::call(const net_address& address, const std::string& method, const std::string& target,
                       const std::string& body, const http_fields& headers)
{
    return make_answer(http_.call(
        {.method = method, .address = address, .target = target, .headers = headers, .body = body, .timeout = 30s}));
}

site_answer site::ask(const std::string& entry, const std::string& method, const std::string& target,
                      const std::string& body, const http_fields& headers)
{
    return call(entry_address(entry), method, target, body, headers);
}

void site::send(const std::string& entry, const std::string& method, const std::string& target, const std::string& body,
                const http_fields& headers, std::function<void(site_answer)> done)
{
    http_call call{.method = method,
                   .address = entry_address(entry),
                   .target = target,
                   .headers = headers,
                   .body = body,
                   .timeout = 30s};
    http_.send(std::move(call), [done = std::move(done)](const http_result& result) { done(make_answer(result)); });
}

void site::switch_platform(const json& switches)
{
    if (call(platform_address_, "POST", "/v1/switches", switches.dump(), {}).status != 200) {
        throw std::runtime_error("the platform did not take its switches");
    }
}

json site::inventory(const std::string& worker)
{
    const json request{{"epoch", 0}, {"sequence", 0}, {"owner", ""}, {"boot", ""}, {"commands", json::array()}};
    return call(workers_.at(worker).address, "POST", "/v1/control", request.dump(), {}).body;
}

std::string site::owner(const std::string& asked)
{
    const std::string incarnation = find_cell(ask(asked, "GET", "/v1/cells")).value("owner", "");
    return incarnation.substr(0, incarnation.find('@'));
}

std::int64_t site::epoch(const std::string& asked)
{
    return find_cell(ask(asked, "GET", "/v1/cells")).value("epoch", std::int64_t{0});
}

void site::prepare()
{
    const std::string first = entries_.begin()->first;
    const auto put = [&](const std::string& path, const json& document) {
        const bool done = wait_for([&] {
            const http_fields headers{{"Operation-Key", "prepare-" + path}, {"Author", "tests"}};
            return ask(first, "PUT", "/v1/settings/" + path + "?version=0", document.dump(), headers).status == 200;
        });
        if (!done) {
            throw std::runtime_error("settings were not taken: " + path);
        }
    };
    put("defaults", defaults_document);
    put("team/newsroom", team_document);
    const bool ready = wait_for([&] {
        return std::all_of(entries_.begin(), entries_.end(), [&](const auto& e) {
            const site_answer members = ask(e.first, "GET", "/v1/entries");
            const bool all_seen =
                members.status == 200 && members.body.value("entries", json::array()).size() >= entries_.size();
            const bool has_settings = ask(e.first, "GET", "/v1/settings/team/newsroom").status == 200;
            return all_seen && has_settings && !owner(e.first).empty();
        });
    });
    if (!ready) {
        throw std::runtime_error("the site did not become ready");
    }
}

std::string site::submit(const std::string& entry, const std::string& key, const json& job)
{
    std::string id;
    const bool accepted = wait_for([&] {
        const site_answer answer = ask(entry, "POST", "/v1/jobs", job.dump(), {{"Operation-Key", key}});
        if (answer.status == 202) {
            id = answer.body.value("job", "");
        }
        return answer.status == 202;
    });
    if (!accepted) {
        throw std::runtime_error("job was not accepted");
    }
    return id;
}

bool site::wait_tasks(const std::string& entry, const std::string& job, const std::string& field, int count)
{
    return wait_for([&] {
        const site_answer answer = ask(entry, "GET", "/v1/jobs/" + job);
        return answer.status == 200 && answer.body.value(field, -1) == count;
    });
}

void site::read_runs(const std::string& worker, site_runs& into)
{
    const site_answer answer = call(workers_.at(worker).address, "GET", "/v1/history", {}, {});
    if (answer.status != 200 || answer.body.value("dropped", -1) != 0) {
        throw std::runtime_error("the record of " + worker + " cannot be read whole");
    }
    for (const json& event : answer.body.at("events")) {
        auto& list = into[event.at("task").get<std::string>()];
        const auto at = event.at("at_ms").get<std::int64_t>();
        const std::string what = event.at("event");
        if (what == "start") {
            list.push_back({worker, event.at("attempt").get<int>(), at, std::nullopt, ""});
            continue;
        }
        const auto found = std::find_if(list.rbegin(), list.rend(), [&](const site_run& run) {
            return run.worker == worker && run.attempt == event.at("attempt").get<int>() && !run.ended_ms;
        });
        if (found == list.rend()) {
            throw std::runtime_error("an end without a start on " + worker);
        }
        found->ended_ms = at;
        found->end = what;
    }
}

std::size_t site::served(const std::string& worker)
{
    const site_answer answer = call(workers_.at(worker).address, "GET", "/v1/runs", {}, {});
    return answer.status == 200 ? answer.body.at("runs").size() : 0;
}

site_runs site::runs()
{
    site_runs all = runs_of_killed_;
    for (const auto& [name, worker] : workers_) {
        read_runs(name, all);
    }
    return all;
}

std::string find_faults(const site_runs& runs, const std::string& job, int task_count)
{
    std::string faults;
    for (int index = 0; index < task_count; ++index) {
        const std::string task = fmt::format("{}/{}", job, index);
        const auto found = runs.find(task);
        std::vector<site_run> list = found == runs.end() ? std::vector<site_run>() : found->second;
        const auto finishes = std::count_if(list.begin(), list.end(), [](const auto& r) { return r.end == "finish"; });
        if (finishes != 1) {
            faults += fmt::format("{} finished {} times; ", task, finishes);
        }
        std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.started_ms < b.started_ms; });
        for (std::size_t i = 1; i < list.size(); ++i) {
            if (!list[i - 1].ended_ms || *list[i - 1].ended_ms > list[i].started_ms) {
                faults += fmt::format("{} ran on {} and {} at once; ", task, list[i - 1].worker, list[i].worker);
            }
        }
    }
    return faults;
}

int count_starts(const site_runs& runs, const std::string& job)
{
    int starts = 0;
    for (const auto& [task, list] : runs) {
        starts += task.starts_with(job + "/") ? static_cast<int>(list.size()) : 0;
    }
    return starts;
}

json batch_job(const std::string& name, int tasks, int task_ms)
{
    return {{"team", "newsroom"},  {"name", name},           {"kind", "rebuild"},
            {"task_count", tasks}, {"run_time_ms", task_ms}, {"urgency", "urgent"}};
}

json service_job(int tasks)
{
    return {{"team", "newsroom"},  {"name", "bulletins"}, {"kind", "bulletin"}, {"service", true},
            {"task_count", tasks}, {"slots", 8},          {"connections", 60}};
}

site_answer request_bulletin(site& s, const std::string& entry, const std::string& body)
{
    return s.ask(entry, "POST", "/v1/request/newsroom/bulletins", body, {{"Deadline-Ms", "5000"}});
}

std::function<void(site_answer)> answer_box::slot()
{
    absl::MutexLock lock(&mutex_);
    ++awaited_;
    return [this](site_answer answer) {
        absl::MutexLock inner(&mutex_);
        answers_.push_back(std::move(answer));
    };
}

std::vector<site_answer> answer_box::wait_all()
{
    const auto all = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return answers_.size() == awaited_; };
    absl::MutexLock lock(&mutex_, absl::Condition(&all));
    return answers_;
}

} // namespace skylarkhub::tests
