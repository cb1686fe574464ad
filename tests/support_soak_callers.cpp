#include "support_soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform_timer_p.h"
#include "support_soak_site.h"

namespace skylarkhub::tests {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int patience_ms = 3000;
constexpr duration call_most = 3500ms;
constexpr int tries_most = 4;
constexpr duration retry_pause = 300ms;
constexpr int pause_ms_least = 100; // between two jobs
constexpr int pause_ms_most = 600;
constexpr int asked_at_a_time = 3;
constexpr int lasting_most = 2;       // of one caller, not cancelled yet
constexpr double cancel_share = 0.15; // of the turns of a caller
constexpr double return_share = 0.5;  // of the tries that were refused
constexpr double forget_share = 0.4;  // of the jobs that are shown as ended; the others are asked about again

// Jobs of a kind: how long their tasks run, how many steps, tasks and processors they have at most.
struct job_kind {
    const char* verb;
    int ms_least;
    int ms_most;
    int steps_most;
    int count_most;
    std::int64_t cpu_most;
    double share; // of all jobs
};
constexpr job_kind job_kinds[] = {
    {"run", 100, 1500, 3, 4, 1000, 0.45}, {"save", 800, 4000, 1, 3, 1500, 0.2}, {"run", 500, 1000, 1, 6, 2000, 0.15},
    {"fail", 100, 500, 1, 2, 500, 0.08},  {"last", 1, 2, 1, 3, 600, 0.12},
};

json describe(const soak_job& job)
{
    json steps = json::array();
    for (const soak_step& step : job.steps) {
        json described{
            {"count", step.count}, {"cpu", step.need.cpu_millis}, {"mem-mb", step.need.memory_mib},
            {"estimated-ms", 800}, {"long-running", job.lasts},   {"checkpointing", job.payload.rfind("save", 0) == 0}};
        if (!steps.empty()) {
            described["after"] = {steps.size() - 1};
        }
        steps.push_back(std::move(described));
    }
    return {{"spec", job.payload}, {"steps", steps}};
}

} // namespace

soak_caller::soak_caller(std::uint64_t seed, std::vector<net_address> entries, soak_checks& checks)
    : random_(make_random(seed)), entries_(std::move(entries)), checks_(checks), thread_([this] { run(); })
{}

soak_caller::~soak_caller()
{
    stop();
}

void soak_caller::stop()
{
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void soak_caller::run()
{
    while (!stopping_) {
        const soak_job job = make_job();
        checks_.note_job(job);
        const hand_in outcome = submit(job);
        checks_.note_hand_in(job.id, outcome);
        if (outcome == hand_in::accepted) {
            accepted_.push_back(job);
        }
        ask_about_some();
        cancel_some();
        std::this_thread::sleep_for(std::chrono::milliseconds(absl::Uniform(random_, pause_ms_least, pause_ms_most)));
    }
}

soak_job soak_caller::make_job()
{
    double drawn = absl::Uniform(random_, 0.0, 1.0);
    const job_kind* kind = std::begin(job_kinds);
    while (drawn >= kind->share && kind + 1 != std::end(job_kinds)) {
        drawn -= kind->share;
        ++kind;
    }
    soak_job job;
    job.id = fmt::format("{:016x}", absl::Uniform<std::uint64_t>(random_));
    job.payload =
        fmt::format("{} {} for {}", kind->verb, absl::Uniform(random_, kind->ms_least, kind->ms_most), job.id);
    job.lasts = std::string_view(kind->verb) == "last";
    job.fails = std::string_view(kind->verb) == "fail";
    const int steps = absl::Uniform(absl::IntervalClosed, random_, 1, kind->steps_most);
    for (int i = 0; i < steps; ++i) {
        const auto cpu = absl::Uniform<std::int64_t>(absl::IntervalClosed, random_, 200, kind->cpu_most);
        job.steps.push_back({absl::Uniform(absl::IntervalClosed, random_, 1, kind->count_most), {cpu, 500, 0}});
    }
    return job;
}

http_result soak_caller::call(const std::string& method, const std::string& job, const std::string& body)
{
    http_call call;
    call.method = method;
    call.address = entries_[absl::Uniform<std::size_t>(random_, 0, entries_.size())];
    call.target = soak_prefix + job;
    call.headers = {{"Host", soak_host}, {"X-Deadline", std::to_string(patience_ms)}};
    call.body = body;
    call.timeout = call_most;
    return http_.call(std::move(call));
}

hand_in soak_caller::submit(const soak_job& job)
{
    const std::string body = describe(job).dump();
    bool in_doubt = false;
    for (int i = 0; i < tries_most && !stopping_; ++i) {
        const http_result answer = call("POST", job.id, body);
        const int status = answer.answered ? answer.status : 0;
        if (status / 100 == 2) {
            return hand_in::accepted;
        }
        if (status / 100 == 4 && status != 429) {
            checks_.report(fmt::format("{} was answered {} {}", job.id, status, answer.body));
        }
        const bool refused = status == 503 || status == 429 || !answer.may_have_arrived;
        in_doubt = in_doubt || !refused;
        if (!in_doubt && !absl::Bernoulli(random_, return_share)) {
            break;
        }
        std::this_thread::sleep_for(retry_pause);
    }
    return in_doubt ? hand_in::in_doubt : hand_in::refused;
}

void soak_caller::cancel_some()
{
    const auto lasts = [](const soak_job& job) { return job.lasts; };
    const bool too_many = std::count_if(accepted_.begin(), accepted_.end(), lasts) > lasting_most;
    if (accepted_.empty() || !(too_many || absl::Bernoulli(random_, cancel_share))) {
        return;
    }
    const auto chosen = too_many ? std::find_if(accepted_.begin(), accepted_.end(), lasts) : accepted_.end() - 1;
    const std::string id = chosen->id;
    accepted_.erase(chosen);
    checks_.note_cancel_sent(id);
    for (int i = 0; i < tries_most; ++i) {
        const http_result answer = call("DELETE", id, "");
        if (answer.answered && (answer.status / 100 == 2 || answer.status == 410)) {
            checks_.note_cancelled(id);
            return;
        }
        std::this_thread::sleep_for(retry_pause);
    }
}

void soak_caller::ask_about_some()
{
    for (int i = 0; i < asked_at_a_time && !accepted_.empty(); ++i) {
        const auto last = static_cast<std::ptrdiff_t>(accepted_.size());
        const auto asked = accepted_.begin() + absl::Uniform<std::ptrdiff_t>(random_, 0, last);
        const std::string state = ask_state(asked->id);
        if ((state == "done" || state == "failed") && absl::Bernoulli(random_, forget_share)) {
            accepted_.erase(asked);
        }
    }
}

std::string soak_caller::ask_state(const std::string& job)
{
    const http_result answer = call("GET", job, "");
    if (!answer.answered) {
        return "";
    }
    const json body = json::parse(answer.body, nullptr, false);
    std::string state = body.is_object() ? body.value("state", "") : "";
    checks_.note_state(job, answer.status, state);
    return state;
}

} // namespace skylarkhub::tests
