#include "flow_worker_p.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkhub::standin {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr duration lease_most = 10s;
constexpr duration save_interval = 500ms; // of work between two checkpoints
constexpr std::size_t ends_listed_most = 500;

std::int64_t to_ms(duration d)
{
    return d / 1ms;
}

std::int64_t to_unix_ms(wall_time t)
{
    return to_ms(t.time_since_epoch());
}

duration scale(duration d, double by)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(d.count()) * by));
}

bool has_whole_numbers(const json& order)
{
    constexpr const char* names[] = {"run-id", "deadline-ms", "fencing-token", "ack-cursor", "wait-ms", "percent"};
    return order.is_object() && std::all_of(std::begin(names), std::end(names), [&](const char* name) {
               return !order.contains(name) || order[name].is_number_integer();
           });
}

// 0 where there is no number.
std::int64_t number_of(const std::string& text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

} // namespace

flow_worker::flow_worker(instant now, flow_worker_traits traits, watcher watch)
    : born_(now), traits_(std::move(traits)), watch_(std::move(watch))
{
    watch_(now, life_began{traits_.life});
}

void flow_worker::end_life(instant now)
{
    advance(now);
    watch_(now, life_over{traits_.life});
}

std::int64_t flow_worker::clock_ms(instant now) const
{
    return to_ms(traits_.clock_offset + scale(now - born_, traits_.clock_rate));
}

instant flow_worker::when(std::int64_t clock_ms) const
{
    return born_ + scale(std::chrono::milliseconds(clock_ms) - traits_.clock_offset, 1 / traits_.clock_rate);
}

// A checkpoint names its task and the work that it holds, so that one handed to another task is seen.
std::string flow_worker::checkpoint_of(const std::string& task, const running& r, instant now)
{
    const std::int64_t saves = (r.resumed + std::max(duration(0), now - r.begun)) / save_interval;
    return r.saves && saves > 0 ? fmt::format("{}/{}", task, to_ms(saves * save_interval)) : "";
}

void flow_worker::end_run(instant now, const std::string& task, const std::string& how)
{
    const auto at = running_.find(task);
    const std::string saved = how == "done" ? "" : checkpoint_of(task, at->second, now);
    ends_.push_back({traits_.life, ++last_end_, task, at->second.run, how, saved});
    highest_run_[task] = std::max(highest_run_[task], at->second.run);
    running_.erase(at);
    watch_(now, ends_.back());
}

void flow_worker::advance(instant now)
{
    std::vector<std::pair<instant, std::string>> over;
    for (const auto& [task, r] : running_) {
        const instant end = std::min(r.ends, r.stops);
        if (end <= now && end < lease_until_) {
            over.emplace_back(end, task);
        }
    }
    std::sort(over.begin(), over.end());
    for (const auto& [end, task] : over) {
        const running& r = running_.at(task);
        end_run(end, task, r.stops < r.ends ? "stopped" : r.fails ? "failed" : "done");
    }
    if (now < lease_until_ || lease_until_ == instant{}) {
        return;
    }
    const instant lapsed = std::exchange(lease_until_, instant{});
    watch_(lapsed, lease_over{traits_.life});
    while (!running_.empty()) {
        end_run(lapsed, std::string(running_.begin()->first), "lapsed");
    }
}

http_response flow_worker::answer(instant now, int status, json body) const
{
    body["clock-ms"] = clock_ms(now);
    return {status, {}, body.dump()};
}

http_response flow_worker::refuse_other_life(instant now) const
{
    return answer(now, 421, json::object());
}

// It never gets shorter by an order.
void flow_worker::extend_lease(instant now, const json& order)
{
    if (order.contains("deadline-ms")) {
        const instant asked = std::min(when(order["deadline-ms"]), now + scale(lease_most, 1 / traits_.clock_rate));
        lease_until_ = asked > now ? std::max(lease_until_, asked) : lease_until_;
    }
}

http_response flow_worker::carry_out(instant now, const std::string& path, const std::string& body, bool late)
{
    advance(now);
    try {
        const json order = json::parse(body);
        if (!has_whole_numbers(order)) {
            return answer(now, 400, {{"error", "not whole numbers"}});
        }
        const std::int64_t fence = order.value("fencing-token", std::int64_t{0});
        if (fence < fence_) {
            return answer(now, 409, {{"reason", "fence"}});
        }
        fence_ = fence;
        if (path == "/run-start") {
            return start(now, order, late);
        }
        if (path == "/run-stop") {
            return stop(now, order);
        }
        return path == "/hold" ? hold(now, order) : answer(now, path == "/pace" ? 200 : 404, json::object());
    }
    catch (const json::exception& error) {
        return answer(now, 400, {{"error", error.what()}});
    }
}

http_response flow_worker::start(instant now, const json& order, bool late)
{
    const std::string task = order.at("task");
    const std::string payload = order.at("spec");
    const std::string checkpoint = order.value("checkpoint", "");
    if (when(order.at("deadline-ms")) <= now) {
        return answer(now, 409, {{"reason", "late"}});
    }
    extend_lease(now, order);
    running r;
    r.run = order.at("run-id");
    const auto there = running_.find(task);
    if (there != running_.end() && there->second.run == r.run) {
        return answer(now, 200, json::object());
    }
    if (there != running_.end() || r.run <= highest_run_[task]) {
        return answer(now, 409, {{"reason", "old"}});
    }
    const std::vector<std::string> words = absl::StrSplit(payload, ' ');
    const duration work = std::chrono::milliseconds(words.size() > 1 ? number_of(words[1]) : 0);
    r.lasts = words[0] == "last";
    r.saves = words[0] == "save";
    r.fails = words[0] == "fail";
    r.begun = now;
    r.resumed = std::chrono::milliseconds(number_of(checkpoint.substr(checkpoint.find('/') + 1)));
    r.ends = r.lasts ? instant::max() : now + scale(std::max<duration>(work - r.resumed, 1ms), traits_.slowness);
    watch_(now, run_began{traits_.life, task, r.run, payload, checkpoint, late});
    running_.emplace(task, r);
    return answer(now, 200, json::object());
}

http_response flow_worker::stop(instant now, const json& order)
{
    const std::string task = order.at("task");
    const std::int64_t number = order.at("run-id");
    highest_run_[task] = std::max(highest_run_[task], number);
    const auto there = running_.find(task);
    if (there != running_.end() && there->second.run <= number) {
        there->second.stops = std::min(there->second.stops, now + traits_.stop_time);
    }
    return answer(now, 200, json::object());
}

bool flow_worker::hold_waits(instant now, const std::string& body)
{
    advance(now);
    const json order = json::parse(body, nullptr, false);
    return has_whole_numbers(order) && order.value("fencing-token", std::int64_t{0}) >= fence_ &&
           (ends_.empty() || ends_.back().number <= order.value("ack-cursor", std::int64_t{0}));
}

http_response flow_worker::hold(instant now, const json& order)
{
    extend_lease(now, order);
    const std::int64_t known = order.value("ack-cursor", std::int64_t{0});
    const auto left = std::find_if(ends_.begin(), ends_.end(), [&](const auto& end) { return end.number > known; });
    if (left != ends_.begin()) {
        ends_.erase(ends_.begin(), left);
        watch_(now, ends_confirmed{traits_.life, known});
    }
    json body{{"born", to_unix_ms(traits_.life.born)}, {"running", json::array()}, {"finished", json::array()}};
    for (const auto& [task, r] : running_) {
        const std::int64_t percent =
            r.lasts ? 100 : std::min<std::int64_t>(99, 100 * (now - r.begun) / (r.ends - r.begun));
        body["running"].push_back({task, r.run, checkpoint_of(task, r, now), percent, 0});
    }
    for (std::size_t i = 0; i < std::min(ends_.size(), ends_listed_most); ++i) {
        const run_over& end = ends_[i];
        body["finished"].push_back({end.number, end.task, end.run, end.how, end.checkpoint});
    }
    return answer(now, 200, std::move(body));
}

} // namespace skylarkhub::standin
