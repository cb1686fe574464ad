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
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

duration scale(duration d, double by)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(d.count()) * by));
}

} // namespace

flow_worker::flow_worker(instant now, flow_worker_traits traits, watcher watch)
    : born_(now), traits_(std::move(traits)), watch_(std::move(watch))
{
    watch_(now, life_began{traits_.id});
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
std::string flow_worker::checkpoint_of(const std::string& task, const running& r, instant now) const
{
    const duration worked = r.resumed + std::max(duration(0), now - r.begun);
    const std::int64_t saves = worked / save_interval;
    return r.saves && saves > 0 ? fmt::format("{}/{}", task, to_ms(saves * save_interval)) : "";
}

void flow_worker::end_run(instant now, const std::string& task, const std::string& how)
{
    const auto at = running_.find(task);
    ended end{++last_end_, task, at->second.run, how, how == "done" ? "" : checkpoint_of(task, at->second, now)};
    highest_run_[task] = std::max(highest_run_[task], end.run);
    running_.erase(at);
    watch_(now, run_over{traits_.id, task, end.run, how, end.number});
    ends_.push_back(std::move(end));
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
        const bool stopped = r.stops < r.ends;
        end_run(end, task, stopped ? "stopped" : r.fails ? "failed" : "done");
    }
    if (now < lease_until_ || lease_until_ == instant{}) {
        return;
    }
    const instant lapsed = std::exchange(lease_until_, instant{});
    watch_(lapsed, lease_over{traits_.id});
    while (!running_.empty()) {
        end_run(lapsed, running_.begin()->first, "lapsed");
    }
}

http_response flow_worker::answer(instant now, int status, json body) const
{
    body["clock-ms"] = clock_ms(now);
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http_response flow_worker::refuse(instant now, const std::string& reason) const
{
    return answer(now, 409, {{"reason", reason}});
}

// It never gets shorter by an order.
void flow_worker::extend_lease(instant now, const json& order)
{
    if (order.contains("deadline-ms")) {
        const instant asked = std::min(when(order["deadline-ms"]), now + scale(lease_most, 1 / traits_.clock_rate));
        if (asked > now) {
            lease_until_ = std::max(lease_until_, asked);
        }
    }
}

http_response flow_worker::carry_out(instant now, const std::string& path, const std::string& body, bool late)
{
    advance(now);
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object()) {
        return answer(now, 400, json::object());
    }
    const std::int64_t fence = order.value("fencing-token", std::int64_t{0});
    if (fence < fence_) {
        return refuse(now, "fence");
    }
    fence_ = fence;
    try {
        if (path == "/run-start") {
            return start(now, order, late);
        }
        if (path == "/run-stop") {
            return stop(now, order);
        }
        if (path == "/hold") {
            return hold(now, order);
        }
    }
    catch (const json::exception& error) {
        return answer(now, 400, {{"error", error.what()}});
    }
    return answer(now, path == "/pace" ? 200 : 404, json::object());
}

http_response flow_worker::start(instant now, const json& order, bool late)
{
    const std::string task = order.at("task");
    const std::int64_t number = order.at("run-id");
    if (when(order.at("deadline-ms")) <= now) {
        return refuse(now, "late");
    }
    extend_lease(now, order);
    const auto there = running_.find(task);
    if (there != running_.end() && there->second.run == number) {
        return answer(now, 200, json::object());
    }
    if (there != running_.end() || number <= highest_run_[task]) {
        return refuse(now, "old");
    }
    running r;
    r.run = number;
    r.payload = order.at("spec");
    const std::string checkpoint = order.value("checkpoint", "");
    const std::vector<std::string> words = absl::StrSplit(r.payload, ' ');
    std::int64_t work_ms = 0;
    std::int64_t saved_ms = 0;
    if (words.size() > 1) {
        static_cast<void>(absl::SimpleAtoi(words[1], &work_ms));
    }
    static_cast<void>(absl::SimpleAtoi(checkpoint.substr(checkpoint.find('/') + 1), &saved_ms));
    r.lasts = words[0] == "last";
    r.saves = words[0] == "save";
    r.fails = words[0] == "fail";
    r.begun = now;
    r.resumed = std::chrono::milliseconds(saved_ms);
    const duration left = std::max<duration>(std::chrono::milliseconds(work_ms) - r.resumed, 1ms);
    r.ends = r.lasts ? instant::max() : now + scale(left, traits_.slowness);
    r.stops = instant::max();
    watch_(now, run_began{traits_.id, task, number, r.payload, checkpoint, late});
    running_.emplace(task, std::move(r));
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
    if (!order.is_object() || order.value("fencing-token", std::int64_t{0}) < fence_) {
        return false;
    }
    const std::int64_t known = order.value("ack-cursor", std::int64_t{0});
    return ends_.empty() || ends_.back().number <= known;
}

http_response flow_worker::hold(instant now, const json& order)
{
    extend_lease(now, order);
    const std::int64_t known = order.value("ack-cursor", std::int64_t{0});
    if (!ends_.empty() && ends_.front().number <= known) {
        watch_(now, ends_confirmed{traits_.id, known});
        ends_.erase(ends_.begin(),
                    std::find_if(ends_.begin(), ends_.end(), [known](const ended& end) { return end.number > known; }));
    }
    json body{{"running", json::array()}, {"finished", json::array()}};
    for (const auto& [task, r] : running_) {
        const std::int64_t percent =
            r.lasts ? 100 : std::min<std::int64_t>(99, 100 * (now - r.begun) / (r.ends - r.begun));
        body["running"].push_back({task, r.run, checkpoint_of(task, r, now), percent, 0});
    }
    for (const ended& end : ends_) {
        if (body["finished"].size() < ends_listed_most) {
            body["finished"].push_back({end.number, end.task, end.run, end.how, end.checkpoint});
        }
    }
    return answer(now, 200, std::move(body));
}

void flow_worker::end_life(instant now)
{
    advance(now);
    watch_(now, worker_over{traits_.id});
    running_.clear();
    ends_.clear();
}

} // namespace skylarkhub::standin
