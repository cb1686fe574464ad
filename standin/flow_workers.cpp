#include "flow_workers_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace skylarkhub::standin {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr duration look_interval = 5ms;
constexpr duration heartbeat_interval = 1500ms;
constexpr duration listed_without_heartbeat = 3 * heartbeat_interval;
constexpr duration drain_least = 2s;
constexpr duration drain_most = 3s;
constexpr duration late_least = 2s; // of an order that is carried out late
constexpr duration late_most = 8s;
constexpr duration stop_time_most = 200ms;
constexpr duration clock_offset_most = 1000s;
constexpr double slow_clock_rate = 0.98;
constexpr const char* service_name = "service";

duration draw(random_source& random, duration least, duration most)
{
    return duration(absl::Uniform(random, least.count(), most.count()));
}

duration wait_of(const std::string& body)
{
    const json order = json::parse(body, nullptr, false);
    const auto ms = order.is_object() ? order.value("wait-ms", std::int64_t{0}) : 0;
    return std::chrono::milliseconds(std::clamp<std::int64_t>(ms, 0, 2000));
}

} // namespace

flow_workers::flow_workers(std::uint64_t seed, flow_table_service& table, flow_worker::watcher watch)
    : table_(table), watch_(std::move(watch)), random_(make_random(seed))
{
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

flow_workers::~flow_workers()
{
    std::vector<std::unique_ptr<http_server>> servers;
    {
        absl::MutexLock lock(&mutex_);
        for (slot& s : slots_) {
            servers.push_back(std::move(s.server));
        }
    }
}

int flow_workers::add(const flow_worker_place& place)
{
    absl::MutexLock lock(&mutex_);
    const int number = static_cast<int>(slots_.size());
    std::string reason;
    slot s;
    s.place = place;
    s.server = http_server::start(
        {.address = place.listens, .threads = 1, .idle_seconds = 600},
        [this, number](const http_request& request, const http_reply& reply) { serve(number, request, reply); },
        &reason);
    if (!s.server) {
        throw std::runtime_error(reason);
    }
    slots_.push_back(std::move(s));
    begin(slots_.back(), number, read_clock());
    return number;
}

void flow_workers::begin(slot& s, int number, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    flow_worker_traits traits;
    traits.id = fmt::format("w{}-{}", number, ++s.lives);
    traits.clock_offset = draw(random_, 0s, clock_offset_most);
    traits.clock_rate = absl::Bernoulli(random_, 0.5) ? slow_clock_rate : 1;
    traits.stop_time = draw(random_, 0s, stop_time_most);
    traits.slowness = s.slowness;
    s.life.emplace(now, traits, watch_);
    s.draining = false;
    s.leaves = instant::max();
    write_listing(s, now);
}

void flow_workers::end(slot& s, instant now, duration listed_still) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    if (!s.life) {
        return;
    }
    s.life->end_life(now);
    ended_listings_.push_back({s.life->traits().id, now + listed_still});
    s.life.reset();
    for (const waiting_hold& hold : s.holds) {
        hold.reply({http_status_close, {}, {}});
    }
    s.holds.clear();
}

void flow_workers::write_listing(slot& s, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const flow_worker_place& place = s.place;
    s.heartbeat = now;
    const json entry{
        {"service", service_name},
        {"address", place.listed.str()},
        {"zone", place.data_centre},
        {"version", "1"},
        {"capacity", 8},
        {"state", s.draining ? "draining" : "ready"},
        {"sequence", ++s.heartbeats},
        {"room",
         {{"cpu", place.room.cpu_millis}, {"mem-mb", place.room.memory_mib}, {"gpus", place.room.accelerators}}},
        {"labels", {"kind", place.rack}}};
    table_.put("servers", s.life->traits().id, entry.dump());
}

void flow_workers::crash(int place)
{
    absl::MutexLock lock(&mutex_);
    end(slots_.at(static_cast<std::size_t>(place)), read_clock(), listed_without_heartbeat);
}

void flow_workers::drain(int place)
{
    absl::MutexLock lock(&mutex_);
    slot& s = slots_.at(static_cast<std::size_t>(place));
    if (s.life && !s.draining) {
        s.draining = true;
        const instant now = read_clock();
        write_listing(s, now);
        s.leaves = now + draw(random_, drain_least, drain_most);
    }
}

void flow_workers::begin_life(int place)
{
    absl::MutexLock lock(&mutex_);
    slot& s = slots_.at(static_cast<std::size_t>(place));
    if (!s.life) {
        begin(s, place, read_clock());
    }
}

void flow_workers::delay_orders(int place, double share)
{
    absl::MutexLock lock(&mutex_);
    slots_.at(static_cast<std::size_t>(place)).late_share = share;
}

void flow_workers::set_slowness(int place, double slowness)
{
    absl::MutexLock lock(&mutex_);
    slot& s = slots_.at(static_cast<std::size_t>(place));
    s.slowness = slowness;
    if (s.life) {
        s.life->set_slowness(slowness);
    }
}

bool flow_workers::has_life(int place) const
{
    absl::MutexLock lock(&mutex_);
    return slots_.at(static_cast<std::size_t>(place)).life.has_value();
}

void flow_workers::serve(int at, const http_request& request, const http_reply& reply)
{
    absl::MutexLock lock(&mutex_);
    if (at >= static_cast<int>(slots_.size()) || !slots_[static_cast<std::size_t>(at)].life) {
        reply({http_status_close, {}, {}});
        return;
    }
    slot& s = slots_[static_cast<std::size_t>(at)];
    const instant now = read_clock();
    const std::string life = s.life->traits().id;
    if (find_field(request.headers, "x-target-instance") != life) {
        reply({421, {}, "{}"});
        return;
    }
    if (absl::Bernoulli(random_, s.late_share)) {
        reply({http_status_close, {}, {}});
        const instant due = now + draw(random_, late_least, late_most);
        timer_.run_at(due, [this, at, life, request, reply] {
            absl::MutexLock later(&mutex_);
            carry_out(slots_[static_cast<std::size_t>(at)], life, request, reply, true);
        });
        return;
    }
    advance_all(now);
    const duration wait = request.path == "/hold" ? wait_of(request.body) : duration(0);
    if (wait > duration(0) && s.life->hold_waits(now, request.body)) {
        s.life->carry_out(now, request.path, request.body, false); // lease and confirmation count from now
        s.holds.push_back({life, request.body, reply, now + wait});
        return;
    }
    carry_out(s, life, request, reply, false);
}

void flow_workers::carry_out(slot& s, const std::string& life, const http_request& request, const http_reply& reply,
                             bool late) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const instant now = read_clock();
    advance_all(now); // what has ended elsewhere by now must not pass for running
    if (!s.life || s.life->traits().id != life) {
        reply({http_status_close, {}, {}});
        return;
    }
    reply(s.life->carry_out(now, request.path, request.body, late));
}

void flow_workers::advance_all(instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    for (slot& s : slots_) {
        if (s.life) {
            s.life->advance(now);
        }
    }
}

void flow_workers::look()
{
    {
        absl::MutexLock lock(&mutex_);
        const instant now = read_clock();
        advance_all(now);
        for (slot& s : slots_) {
            if (s.life && now >= s.leaves) {
                end(s, now, 0s);
            }
            if (s.life && now >= s.heartbeat + heartbeat_interval) {
                write_listing(s, now);
            }
            std::vector<waiting_hold> still;
            for (waiting_hold& hold : std::exchange(s.holds, {})) {
                if (now < hold.until && s.life->hold_waits(now, hold.body)) {
                    still.push_back(std::move(hold));
                }
                else {
                    hold.reply(s.life->carry_out(now, "/hold", hold.body, false));
                }
            }
            s.holds = std::move(still);
        }
        for (const listing& l : ended_listings_) {
            if (now >= l.removed_at) {
                table_.remove("servers", l.life);
            }
        }
        ended_listings_.erase(std::remove_if(ended_listings_.begin(), ended_listings_.end(),
                                             [now](const listing& l) { return now >= l.removed_at; }),
                              ended_listings_.end());
    }
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

} // namespace skylarkhub::standin
