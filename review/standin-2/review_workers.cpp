#include "review_workers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace skylarkhub::review {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr duration lease_most = 10s;            // max-hold-ms
constexpr duration gang_wait_most = 3s;         // gang-timeout-ms
constexpr duration checkpoint_interval = 500ms; // checkpoint-s
constexpr duration restore_time = 100ms;        // restore-ms
constexpr duration stop_time = 100ms;           // within stop-timeout-ms, 200
constexpr duration heartbeat_interval = 1500ms;
constexpr duration look_interval = 5ms;
constexpr duration hold_wait_most = 2s;
constexpr std::size_t ends_listed_most = 500;
constexpr std::int64_t clock_began_ms = 400'000; // of a worker's clock, when a life begins

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

std::int64_t number_of(const std::string& text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

std::string encode_checkpoint(duration work)
{
    return work > duration(0) ? fmt::format("{:016x}", work / 1ms) : "";
}

duration decode_checkpoint(const std::string& text)
{
    return text.empty() ? duration(0) : std::chrono::milliseconds(std::stoll(text, nullptr, 16));
}

const http_response no_answer{http_status_close, {}, {}};

} // namespace

void record::note(const std::string& line)
{
    absl::MutexLock lock(&mutex_);
    out_ << fmt::format("{:8.3f}  {}", seconds(), line) << std::endl;
}

double record::seconds() const
{
    return std::chrono::duration<double>(read_clock() - began_).count();
}

workers::workers(standin::flow_table& table, record& log) : table_(table), log_(log)
{
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

workers::~workers()
{
    std::vector<std::unique_ptr<http_server>> servers; // end first, while calls still find what they use
    absl::MutexLock lock(&mutex_);
    closing_ = true;
    for (const auto& s : slots_) {
        servers.push_back(std::move(s->server));
    }
}

int workers::add(const net_address& address, const std::string& zone, const std::string& rack, const resources& room)
{
    int place = 0;
    {
        absl::MutexLock lock(&mutex_);
        place = static_cast<int>(slots_.size());
        auto s = std::make_unique<slot>();
        s->address = address;
        s->zone = zone;
        s->rack = rack;
        s->room = room;
        slots_.push_back(std::move(s));
    }
    begin_life(place);
    return place;
}

void workers::begin_life(int place)
{
    net_address address;
    {
        absl::MutexLock lock(&mutex_);
        address = slots_[static_cast<std::size_t>(place)]->address;
    }
    std::string reason;
    auto server = http_server::start(
        {.address = address, .threads = 1, .idle_seconds = 600},
        [this, place](const http_request& request, const http_reply& reply) { serve(place, request, reply); }, &reason);
    if (!server) {
        throw std::runtime_error(reason);
    }
    absl::MutexLock lock(&mutex_);
    slot& s = *slots_[static_cast<std::size_t>(place)];
    s.server = std::move(server);
    s.present = std::make_unique<life>();
    s.present->id = fmt::format("{:08x}-51a3-4c0d-9e2f-{:012x}", 0x7b1d0000 + place, 0x30f5c6a7d000 + ++s.lives);
    s.present->began = read_clock();
    list_life(s, s.present->began);
    log_.note(fmt::format("worker {} is up at {}", s.present->id, s.address.str()));
}

void workers::crash(int place)
{
    std::unique_ptr<http_server> server; // ends without the lock, which its handler takes
    std::vector<http_reply> replies;
    {
        absl::MutexLock lock(&mutex_);
        slot& s = *slots_[static_cast<std::size_t>(place)];
        const instant now = read_clock();
        advance(now);
        log_.note(fmt::format("worker {} crashes with {} tasks", s.present->id, s.present->running_tasks.size()));
        const std::unique_ptr<life> gone = std::move(s.present);
        for (const auto& [task, r] : gone->running_tasks) {
            if (!r.gang.empty()) {
                break_gang(r.gang, now, task);
            }
        }
        for (waiting_hold& waiting : gone->holds) {
            replies.push_back(std::move(waiting.reply));
        }
        server = std::move(s.server);
        // The list counts three intervals of silence.
        timer_.run_at(gone->heartbeat + 3 * heartbeat_interval,
                      [this, id = gone->id] { table_.remove("servers", id); });
    }
    for (const http_reply& reply : replies) {
        reply(no_answer);
    }
}

int workers::place_of(const std::string& job)
{
    absl::MutexLock lock(&mutex_);
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        if (slots_[i]->present) {
            for (const auto& [task, r] : slots_[i]->present->running_tasks) {
                if (job_of(task) == job) {
                    return static_cast<int>(i);
                }
            }
        }
    }
    return -1;
}

std::vector<end_seen> workers::ends()
{
    absl::MutexLock lock(&mutex_);
    return ends_;
}

int workers::starts_of(const std::string& job)
{
    absl::MutexLock lock(&mutex_);
    const auto at = starts_.find(job);
    return at == starts_.end() ? 0 : at->second;
}

int workers::running_of(const std::string& job)
{
    absl::MutexLock lock(&mutex_);
    int count = 0;
    for (const auto& s : slots_) {
        if (s->present) {
            count += static_cast<int>(std::count_if(s->present->running_tasks.begin(), s->present->running_tasks.end(),
                                                    [&](const auto& item) { return job_of(item.first) == job; }));
        }
    }
    return count;
}

bool workers::has_done(const std::string& job)
{
    absl::MutexLock lock(&mutex_);
    return std::any_of(ends_.begin(), ends_.end(),
                       [&](const end_seen& end) { return job_of(end.task) == job && end.how == "done"; });
}

// --- orders ---

void workers::serve(int place, const http_request& request, const http_reply& reply)
{
    absl::MutexLock lock(&mutex_);
    slot& s = *slots_[static_cast<std::size_t>(place)];
    if (closing_ || !s.present) {
        reply(no_answer);
        return;
    }
    const instant now = read_clock();
    advance(now);
    life& l = *s.present;
    if (find_field(request.headers, "x-target-instance") != l.id) {
        reply(answer(l, now, 421, json::object()));
        return;
    }
    const json order = json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        reply(answer(l, now, 400, json::object()));
        return;
    }
    const std::int64_t fence = order.value("fencing-token", std::int64_t{0});
    if (fence < l.fence) {
        reply(answer(l, now, 409, {{"reason", "fence"}}));
        return;
    }
    l.fence = fence;
    if (request.path == "/run-start") {
        reply(start(place, now, order));
    }
    else if (request.path == "/run-stop") {
        reply(stop(place, now, order));
    }
    else if (request.path == "/hold") {
        hold(place, now, order, reply);
    }
    else {
        reply(answer(l, now, request.path == "/pace" ? 200 : 404, json::object()));
    }
}

http_response workers::start(int place, instant now, const json& order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    life& l = *slots_[static_cast<std::size_t>(place)]->present;
    const std::string task = order.at("task");
    if (when(l, order.at("deadline-ms")) <= now) {
        return answer(l, now, 409, {{"reason", "late"}});
    }
    extend_lease(l, now, order);
    running r;
    r.run = order.at("run-id");
    const auto there = l.running_tasks.find(task);
    if (there != l.running_tasks.end() && there->second.run == r.run) {
        return answer(l, now, 200, json::object());
    }
    if (there != l.running_tasks.end() || r.run <= l.highest_run[task]) {
        return answer(l, now, 409, {{"reason", "old"}});
    }
    const std::vector<std::string> words = absl::StrSplit(std::string(order.at("spec")), ' ');
    r.kind = words[0];
    r.checkpoint = order.value("checkpoint", "");
    r.began = now;
    if (r.kind == "run") {
        r.ends = now + std::chrono::milliseconds(number_of(words.at(1)));
    }
    ++starts_[job_of(task)];
    if (r.kind != "last") {
        log_.note(fmt::format("{} starts {} run {} checkpoint \"{}\"", l.id, task, r.run, r.checkpoint));
    }
    running& placed = l.running_tasks.emplace(task, r).first->second;
    if (placed.kind == "gang") {
        join_gang(place, now, task, placed, static_cast<std::size_t>(number_of(words.at(1))),
                  std::chrono::milliseconds(number_of(words.at(2))));
    }
    return answer(l, now, 200, json::object());
}

http_response workers::stop(int place, instant now, const json& order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    life& l = *slots_[static_cast<std::size_t>(place)]->present;
    const std::string task = order.at("task");
    const std::int64_t run = order.at("run-id");
    l.highest_run[task] = std::max(l.highest_run[task], run);
    const auto there = l.running_tasks.find(task);
    if (there != l.running_tasks.end() && there->second.run <= run) {
        there->second.stops = std::min(there->second.stops, now + stop_time);
        log_.note(fmt::format("{} is told to stop {} run {}", l.id, task, run));
    }
    return answer(l, now, 200, json::object());
}

void workers::hold(int place, instant now, const json& order, const http_reply& reply)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    life& l = *slots_[static_cast<std::size_t>(place)]->present;
    extend_lease(l, now, order);
    const std::int64_t cursor = order.value("ack-cursor", std::int64_t{0});
    std::erase_if(l.ends, [cursor](const ended& end) { return end.number <= cursor; });
    const duration wait =
        std::min<duration>(std::chrono::milliseconds(order.value("wait-ms", std::int64_t{0})), hold_wait_most);
    if (wait == duration(0) || !l.ends.empty()) {
        reply(list(l, now, cursor));
        return;
    }
    l.holds.push_back({cursor, now + wait, reply});
}

http_response workers::answer(const life& l, instant now, int status, json body) const
{
    body["clock-ms"] = clock_ms(l, now);
    return {status, {}, body.dump()};
}

http_response workers::list(const life& l, instant now, std::int64_t cursor) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    json body{{"running", json::array()}, {"finished", json::array()}};
    for (const auto& [task, r] : l.running_tasks) {
        body["running"].push_back({task, r.run, checkpoint_of(r, now), percent_of(r, now), 0});
    }
    for (const ended& end : l.ends) {
        if (end.number > cursor && body["finished"].size() < ends_listed_most) {
            body["finished"].push_back({end.number, end.task, end.run, end.how, end.checkpoint});
        }
    }
    return answer(l, now, 200, std::move(body));
}

std::int64_t workers::percent_of(const running& r, instant now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    if (r.kind == "last") {
        return 100;
    }
    const auto at = gangs_.find(r.gang);
    const instant works_since = at == gangs_.end() ? r.began : at->second.works_since;
    const duration resumed = at == gangs_.end() ? duration(0) : at->second.resumed;
    if (r.ends == instant::max() || now < works_since) {
        return 0;
    }
    return std::min<std::int64_t>(99, 100 * (resumed + (now - works_since)) / (resumed + (r.ends - works_since)));
}

std::int64_t workers::clock_ms(const life& l, instant now) const
{
    return clock_began_ms + (now - l.began) / 1ms;
}

instant workers::when(const life& l, std::int64_t clock_ms)
{
    return l.began + std::chrono::milliseconds(clock_ms - clock_began_ms);
}

void workers::extend_lease(life& l, instant now, const json& order)
{
    if (order.contains("deadline-ms")) {
        l.lease_until = std::max(l.lease_until, std::min(when(l, order["deadline-ms"]), now + lease_most));
    }
}

// --- gangs ---

std::string workers::checkpoint_of(const running& r, instant now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const auto at = gangs_.find(r.gang);
    if (at == gangs_.end() || at->second.works_since == instant{}) {
        return r.checkpoint;
    }
    const duration worked = at->second.resumed + std::max(duration(0), now - at->second.works_since);
    return encode_checkpoint(worked / checkpoint_interval * checkpoint_interval);
}

void workers::join_gang(int place, instant now, const std::string& task, running& r, std::size_t size, duration work)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const std::string stage = task.substr(0, task.rfind('.'));
    r.gang = fmt::format("{} run {}", stage, r.run);
    gang& g = gangs_[r.gang];
    g.size = size;
    g.work = work;
    const duration resumed = decode_checkpoint(r.checkpoint);
    g.resumed = g.members.empty() ? resumed : std::min(g.resumed, resumed);
    g.members[task] = place;
    if (g.members.size() < g.size) {
        return;
    }
    g.works_since = now + (g.resumed > duration(0) ? restore_time : duration(0));
    log_.note(fmt::format("gang {} works", r.gang));
    for (const auto& [member, at] : g.members) {
        running& m = slots_[static_cast<std::size_t>(at)]->present->running_tasks.at(member);
        m.ends = g.works_since + std::max<duration>(g.work - g.resumed, 1ms);
    }
}

// Ends the run and, when it is one of a gang that works, those of the other members.
void workers::end_run(int place, instant now, const std::string& task, const std::string& how)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    life& l = *slots_[static_cast<std::size_t>(place)]->present;
    const auto there = l.running_tasks.find(task);
    const running r = there->second;
    const std::string saved = how == "done" ? "" : checkpoint_of(r, now);
    l.running_tasks.erase(there);
    l.highest_run[task] = std::max(l.highest_run[task], r.run);
    l.ends.push_back({++l.last_end, task, r.run, how, saved});
    ends_.push_back({now, task, r.run, how});
    if (r.kind != "run" || how != "done") {
        log_.note(fmt::format("{} ends {} run {} {} saved \"{}\"", l.id, task, r.run, how, saved));
    }
    const auto at = gangs_.find(r.gang);
    if (at == gangs_.end()) {
        return;
    }
    at->second.members.erase(task);
    if (at->second.works_since != instant{} && how != "done") {
        break_gang(r.gang, now, task);
    }
}

void workers::break_gang(const std::string& name, instant now, const std::string& except)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const auto at = gangs_.find(name);
    if (at == gangs_.end()) {
        return;
    }
    at->second.members.erase(except);
    if (at->second.works_since == instant{}) {
        return; // the others go on waiting
    }
    while (!at->second.members.empty()) {
        const auto [member, place] = *at->second.members.begin();
        at->second.members.erase(member);
        end_run(place, now, member, "broken");
    }
}

// --- time ---

void workers::advance(instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    struct due {
        instant at{};
        int place = 0;
        std::string task;
        const char* how = "";
    };
    std::vector<due> over;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        life* const l = slots_[i]->present.get();
        if (l == nullptr) {
            continue;
        }
        const bool lapsed = l->lease_until <= now;
        for (const auto& [task, r] : l->running_tasks) {
            const auto gang = gangs_.find(r.gang);
            const bool waits = gang != gangs_.end() && gang->second.works_since == instant{};
            const int place = static_cast<int>(i);
            if (lapsed) {
                over.push_back({l->lease_until, place, task, "lapsed"});
            }
            else if (r.stops <= now) {
                over.push_back({r.stops, place, task, "stopped"});
            }
            else if (r.ends <= now) {
                over.push_back({r.ends, place, task, "done"});
            }
            else if (waits && now - r.began >= gang_wait_most) {
                over.push_back({r.began + gang_wait_most, place, task, "alone"});
            }
        }
    }
    for (const due& d : over) {
        if (slots_[static_cast<std::size_t>(d.place)]->present->running_tasks.count(d.task) != 0) {
            end_run(d.place, now, d.task, d.how);
        }
    }
    for (const auto& s : slots_) {
        if (!s->present) {
            continue;
        }
        std::vector<waiting_hold> waiting = std::exchange(s->present->holds, {});
        for (waiting_hold& w : waiting) {
            if (now >= w.until || !s->present->ends.empty()) {
                w.reply(list(*s->present, now, w.cursor));
            }
            else {
                s->present->holds.push_back(std::move(w));
            }
        }
    }
}

void workers::look()
{
    {
        absl::MutexLock lock(&mutex_);
        if (closing_) {
            return;
        }
        const instant now = read_clock();
        advance(now);
        for (const auto& s : slots_) {
            if (s->present && now >= s->present->heartbeat + heartbeat_interval) {
                list_life(*s, now);
            }
        }
    }
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

void workers::list_life(slot& s, instant now)
{
    life& l = *s.present;
    l.heartbeat = now;
    const json entry{
        {"service", "service"},
        {"address", s.address.str()},
        {"zone", s.zone},
        {"version", "1"},
        {"capacity", 8},
        {"state", "ready"},
        {"sequence", ++l.heartbeats},
        {"room", {{"cpu", s.room.cpu_millis}, {"mem-mb", s.room.memory_mib}, {"gpus", s.room.accelerators}}},
        {"labels", {"a", s.rack}}};
    table_.put("servers", l.id, entry.dump());
}

} // namespace skylarkhub::review
