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
constexpr std::int64_t hold_wait_ms_most = 2000;

duration draw(random_source& random, duration least, duration most)
{
    return duration(absl::Uniform(random, least.count(), most.count()));
}

duration wait_of(const std::string& body)
{
    const json order = json::parse(body, nullptr, false);
    const bool given = order.is_object() && order.contains("wait-ms") && order["wait-ms"].is_number_integer();
    const auto ms = given ? order["wait-ms"].get<std::int64_t>() : 0;
    return std::chrono::milliseconds(std::clamp<std::int64_t>(ms, 0, hold_wait_ms_most));
}

std::string make_id(int place, int number)
{
    return fmt::format("w{}-{}", place, number);
}

wall_time read_wall_clock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(now));
}

const http_response no_answer{http_status_close, {}, {}};

} // namespace

flow_workers::flow_workers(std::uint64_t seed, flow_table& table, flow_worker::watcher watch)
    : table_(table), watch_(std::move(watch)), random_(make_random(seed))
{
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

flow_workers::~flow_workers()
{
    std::vector<std::unique_ptr<http_server>> servers; // end first, while calls still find what they use
    absl::MutexLock lock(&mutex_);
    closing_ = true;
    for (const auto& s : slots_) {
        servers.push_back(std::move(s->server));
    }
}

int flow_workers::add(const flow_worker_place& place)
{
    absl::MutexLock lock(&mutex_);
    const int number = static_cast<int>(slots_.size());
    slots_.push_back(std::make_unique<slot>());
    at(number).place = place;
    listen(number);
    begin(at(number), make_id(number, ++at(number).ids));
    return number;
}

void flow_workers::listen(int place) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    std::string reason;
    slot& s = at(place);
    s.server = http_server::start(
        {.address = s.place.listens, .threads = 1, .idle_seconds = 600},
        [this, place](const http_request& request, const http_reply& reply) { serve(place, request, reply); }, &reason);
    if (!s.server) {
        throw std::runtime_error(reason);
    }
}

// The connections of a life end with it. Not under the lock, which what the server still handles needs.
void flow_workers::close_connections(int place)
{
    std::unique_ptr<http_server> server; // ends after the lock
    absl::MutexLock lock(&mutex_);
    server.swap(at(place).server);
}

void flow_workers::begin(slot& s, const std::string& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const instant now = read_clock();
    // Lives of an id differ in the moment of their birth, also when the machine's clock is set back.
    s.newest = {id, std::max(read_wall_clock(), s.newest.born + 1ms)};
    flow_worker_traits traits;
    traits.life = s.newest;
    traits.clock_offset = draw(random_, 0s, clock_offset_most);
    traits.clock_rate = absl::Bernoulli(random_, 0.5) ? slow_clock_rate : 1;
    traits.stop_time = draw(random_, 0s, stop_time_most);
    traits.slowness = s.slowness;
    s.life.emplace(now, traits, watch_);
    s.draining = false;
    s.leaves = instant::max();
    s.heartbeats = 0;
    write_listing(s, now);
}

void flow_workers::end(slot& s, duration listed_still) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    if (!s.life) {
        return;
    }
    const instant now = read_clock();
    s.life->end_life(now);
    timer_.run_at(now + listed_still, [this, life = s.life->life()] {
        absl::MutexLock lock(&mutex_);
        unlist(life);
    });
    s.life.reset();
    for (const waiting_hold& hold : std::exchange(s.holds, {})) {
        hold.reply(no_answer);
    }
}

// A later life under the same id has written the entry anew, and keeps it.
void flow_workers::unlist(const worker_life& life) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const auto entry = listed_.find(life.id);
    if (entry != listed_.end() && entry->second == life) {
        listed_.erase(entry);
        table_.remove("servers", life.id);
    }
}

void flow_workers::write_listing(slot& s, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const resources& room = s.place.room;
    s.heartbeat = now;
    const worker_life& life = s.life->life();
    json entry{{"service", "service"},
               {"born", life.born.time_since_epoch() / 1ms},
               {"address", s.place.listed.str()},
               {"zone", s.place.data_centre},
               {"version", "1"},
               {"capacity", 8},
               {"state", s.draining ? "draining" : "ready"},
               {"sequence", ++s.heartbeats},
               {"room", {{"cpu", room.cpu_millis}, {"mem-mb", room.memory_mib}, {"gpus", room.accelerators}}},
               {"labels", {"kind", s.place.rack}}};
    if (s.draining) {
        entry["remaining-ms"] = std::max(duration(0), s.leaves - now) / 1ms;
    }
    listed_[life.id] = life;
    table_.put("servers", life.id, entry.dump());
}

// The list counts the silence from the last report.
duration flow_workers::still_listed(const slot& s)
{
    return s.heartbeat + listed_without_heartbeat - read_clock();
}

void flow_workers::crash(int place)
{
    {
        absl::MutexLock lock(&mutex_);
        end(at(place), still_listed(at(place)));
    }
    close_connections(place);
}

void flow_workers::drain(int place)
{
    absl::MutexLock lock(&mutex_);
    slot& s = at(place);
    if (s.life && !s.draining) {
        s.draining = true;
        s.leaves = read_clock() + draw(random_, drain_least, drain_most);
        write_listing(s, read_clock());
    }
}

void flow_workers::begin_life(int place)
{
    absl::MutexLock lock(&mutex_);
    slot& s = at(place);
    if (!s.life) {
        listen(place);
        begin(s, make_id(place, ++s.ids));
    }
}

void flow_workers::restart(int place)
{
    crash(place);
    absl::MutexLock lock(&mutex_);
    listen(place);
    begin(at(place), at(place).newest.id);
}

void flow_workers::delay_orders(int place, double share)
{
    absl::MutexLock lock(&mutex_);
    at(place).late_share = share;
}

void flow_workers::set_slowness(int place, double slowness)
{
    absl::MutexLock lock(&mutex_);
    at(place).slowness = slowness;
    if (at(place).life) {
        at(place).life->set_slowness(slowness);
    }
}

// --- orders ---

void flow_workers::serve(int place, const http_request& request, const http_reply& reply)
{
    absl::MutexLock lock(&mutex_);
    if (closing_ || !at(place).life) {
        reply(no_answer);
        return;
    }
    slot& s = at(place);
    const instant now = read_clock();
    const std::string id = s.life->life().id;
    if (find_field(request.headers, "x-target-instance") != id) {
        reply(s.life->refuse_other_life(now));
        return;
    }
    if (absl::Bernoulli(random_, s.late_share)) {
        reply(no_answer);
        timer_.run_at(now + draw(random_, late_least, late_most), [this, place, id, request, reply] {
            absl::MutexLock later(&mutex_);
            carry_out(at(place), id, request, reply, true);
        });
        return;
    }
    const duration wait = request.path == "/hold" ? wait_of(request.body) : duration(0);
    if (wait == duration(0) || !s.life->hold_waits(now, request.body)) {
        carry_out(s, id, request, reply, false);
        return;
    }
    s.life->carry_out(now, request.path, request.body, false); // lease and confirmation count from now
    s.holds.push_back({request.body, reply, now + wait});
}

// An order names an id and no birth: whichever life has the id by now takes it.
void flow_workers::carry_out(slot& s, const std::string& id, const http_request& request, const http_reply& reply,
                             bool late) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const instant now = read_clock();
    advance_all(now); // what has ended elsewhere by now must not pass for running
    const bool there = s.life && s.life->life().id == id;
    reply(there ? s.life->carry_out(now, request.path, request.body, late) : no_answer);
}

void flow_workers::answer_holds(slot& s, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    for (waiting_hold& hold : std::exchange(s.holds, {})) {
        if (now < hold.until && s.life->hold_waits(now, hold.body)) {
            s.holds.push_back(std::move(hold));
        }
        else {
            hold.reply(s.life->carry_out(now, "/hold", hold.body, false));
        }
    }
}

void flow_workers::advance_all(instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    for (const auto& s : slots_) {
        if (s->life) {
            s->life->advance(now);
        }
    }
}

void flow_workers::look()
{
    std::vector<std::unique_ptr<http_server>> left;
    {
        absl::MutexLock lock(&mutex_);
        const instant now = read_clock();
        advance_all(now);
        for (const auto& s : slots_) {
            if (s->life && now >= s->leaves) {
                end(*s, duration(0));
                left.push_back(std::move(s->server));
            }
            if (s->life && now >= s->heartbeat + heartbeat_interval) {
                write_listing(*s, now);
            }
            answer_holds(*s, now);
        }
    }
    left.clear();
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

} // namespace skylarkhub::standin
