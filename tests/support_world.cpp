#include "support_world.h"

#include <fmt/format.h>

namespace skylarkhub::test {

using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 100ms;
constexpr int ticks_between_lists = 10;
constexpr duration member_lag = 2s; // after which an entry that does not answer is believed dead
constexpr duration worker_list_lag = 3s;
constexpr double drift_half = config::clock_drift / 2;
constexpr duration quiet_time = 20s;
constexpr duration stop_grace = 60s; // the platform then ends the process

const data_centre_id here("a");
const rack_id rack("r1");

} // namespace

std::vector<work_kind> brief_kinds()
{
    work_kind rebuild{kind_id("rebuild")};
    rebuild.exclusive = true;
    work_kind digest{kind_id("digest")};
    digest.exclusive = true;
    digest.idempotent = false;
    digest.billed = true;
    work_kind pages{kind_id("pages")};
    pages.latency_critical = true;
    return {rebuild, digest, pages};
}

world::world(world_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      now_(1'000'000s),
      start_(now_),
      table_([this](const std::string& key, const table_row* before,
                    const std::optional<std::string>& written) { observe_write(key, before, written); },
             options_.table_checks)
{
    for (int w = 0; w < options_.workers; ++w) {
        fake_worker_options o = options_.worker;
        o.clock_offset = duration(absl::Uniform<std::int64_t>(random_, 0, 1'000'000'000));
        o.clock_rate = absl::Uniform(random_, 1 - drift_half, 1 + drift_half);
        workers_.push_back({fake_worker(worker_id(fmt::format("w{}", w + 1)), o, &history_), {}, {}});
    }
    entries_.resize(static_cast<std::size_t>(options_.entries));
    for (int e = 0; e < options_.entries; ++e) {
        entry_state& s = entry(e);
        s.name = fmt::format("e{}", e + 1);
        s.clock_set = now_;
        s.clock_then = instant(duration(absl::Uniform<std::int64_t>(random_, 0, 1'000'000'000)));
        s.clock_rate = absl::Uniform(random_, 1 - drift_half, 1 + drift_half);
        boot(e);
        after(absl::Uniform<std::int64_t>(random_, 0, tick_interval.count()) * 1us, [this, e] { tick(e); });
    }
}

// --- time ---

void world::after(duration d, std::function<void()> what)
{
    events_.emplace(std::pair(now_ + d, events_added_++), std::move(what));
}

void world::at(duration since_start, std::function<void()> what)
{
    ++script_open_;
    after(start_ + since_start - now_, [this, what = std::move(what)] {
        --script_open_;
        what();
    });
}

void world::run_for(duration d)
{
    const wall_time until = now_ + d;
    while (!events_.empty() && events_.begin()->first.first <= until) {
        auto next = events_.extract(events_.begin());
        now_ = next.key().first;
        next.mapped()();
    }
    now_ = until;
    for (worker_state& w : workers_) {
        w.machine.advance(now_);
    }
}

bool world::run_until_quiet(duration limit)
{
    const wall_time begun = now_;
    wall_time quiet_since = now_;
    while (now_ < std::max(begun, healed_) + limit) {
        run_for(1s);
        const bool open = std::ranges::any_of(open_, [](const auto& task) { return task.second; });
        if (open || requests_open_ > 0 || script_open_ > 0) {
            quiet_since = now_;
        }
        if (now_ - std::max(quiet_since, healed_) >= quiet_time) {
            return true;
        }
    }
    return false;
}

instant world::clock(int e) const
{
    const entry_state& s = entry(e);
    return s.clock_then +
           duration(static_cast<std::int64_t>(static_cast<double>((now_ - s.clock_set).count()) * s.clock_rate));
}

void world::drift(int e)
{
    note_fault({});
    for (int other = 0; other < entry_count(); ++other) {
        entry_state& s = entry(other);
        s.clock_then = clock(other);
        s.clock_set = now_;
        s.clock_rate = other == e ? 1 - drift_half : 1 + drift_half;
    }
    for (worker_state& w : workers_) {
        w.machine.set_clock(now_, 1 + drift_half);
    }
}

// --- processes ---

void world::boot(int e)
{
    entry_state& s = entry(e);
    ++s.life;
    s.self = incarnation_id(fmt::format("{}@{}", s.name, s.life));
    cell_settings settings = options_.settings;
    if (options_.misconfigure) {
        options_.misconfigure(e, settings);
    }
    s.machine.emplace(cell_id("a.r1"), s.self, std::move(settings));
    s.frozen_until = {};
    s.held.clear();
    s.outbox.clear();
    s.members.clear();
}

void world::end_process(int e, duration away)
{
    entry_state& s = entry(e);
    s.machine.reset();
    s.held.clear();
    s.outbox.clear();
    const int life = ++s.life;
    after(away, [this, e, life] {
        if (entry(e).life == life) {
            boot(e);
        }
    });
}

void world::kill(int e, duration away)
{
    note_fault(away);
    if (entry(e).machine) {
        end_process(e, away);
    }
}

void world::stop_by_plan(int e)
{
    const int life = entry(e).life;
    deliver(e, life, {cell_stop_planned{}, {}});
    after(stop_grace, [this, e, life] {
        if (entry(e).life == life) {
            end_process(e, 5s);
        }
    });
}

void world::freeze(int e, duration d)
{
    note_fault(d);
    entry(e).frozen_until = std::max(entry(e).frozen_until, now_ + d);
    after(d, [this, e] { thaw(e); });
}

void world::thaw(int e)
{
    entry_state& s = entry(e);
    if (!s.machine || frozen(e)) {
        return;
    }
    flush(e);
    while (!s.held.empty() && s.machine && !frozen(e)) {
        const inbound in = std::move(s.held.front());
        s.held.pop_front();
        decide(e, in);
    }
}

void world::note_fault(duration d)
{
    healed_ = std::max(healed_, now_ + d);
}

void world::stop_store(duration d)
{
    note_fault(d);
    store_down_until_ = std::max(store_down_until_, now_ + d);
}

void world::slow_store(duration d)
{
    note_fault(d);
    store_slow_until_ = std::max(store_slow_until_, now_ + d);
}

void world::freeze_lists(duration d)
{
    note_fault(d);
    lists_stale_until_ = std::max(lists_stale_until_, now_ + d);
}

void world::skew_wall(int e, duration by)
{
    note_fault({});
    entry(e).wall_skew += by;
}

void world::fault_exchange(exchange_fault fault)
{
    note_fault(10s);
    next_fault_ = fault;
}

void world::lose_worker(int w, duration d)
{
    note_fault(d);
    worker(w).machine.restart(now_);
    worker(w).lost_at = now_;
    worker(w).down_until = std::max(worker(w).down_until, now_ + d);
}

void world::cut_from_peers(int e, duration d)
{
    note_fault(d);
    entry(e).peers_cut_until = std::max(entry(e).peers_cut_until, now_ + d);
}

void world::cut_from_platform(int e, duration d)
{
    note_fault(d);
    entry(e).platform_cut_until = std::max(entry(e).platform_cut_until, now_ + d);
}

void world::cut_from_worker(int e, int w, duration d)
{
    note_fault(d);
    entry(e).worker_cut_until[w] = std::max(entry(e).worker_cut_until[w], now_ + d);
}

// --- ticks and lists ---

void world::tick(int e)
{
    after(tick_interval, [this, e] { tick(e); });
    for (worker_state& w : workers_) {
        w.machine.advance(now_);
    }
    entry_state& s = entry(e);
    if (!s.machine || frozen(e)) {
        return;
    }
    if (s.ticks++ % ticks_between_lists == 0) {
        tell_lists(e);
    }
    if (s.machine) {
        decide(e, {cell_tick{now_ + s.wall_skew}, {}});
    }
}

void world::tell_lists(int e)
{
    entry_state& s = entry(e);
    const bool stale = lists_stale_until_ > now_;
    for (int other = 0; other < entry_count(); ++other) {
        if (entry(other).machine && !frozen(other) && peers_reachable(e, other) && !stale) {
            s.members[entry(other).self] = now_;
        }
    }
    cell_members_seen members;
    for (const auto& [who, heard] : s.members) {
        if (stale || now_ - heard <= member_lag || who == s.self) {
            members.live.push_back(who);
        }
    }
    const int life = s.life;
    decide(e, {members, {}});
    if (stale || !store_reachable(e) || entry(e).life != life) {
        return;
    }
    cell_workers_listed listed;
    for (worker_state& w : workers_) {
        if (w.down_until <= now_ || now_ - w.lost_at < worker_list_lag) {
            listed.workers.push_back(
                {w.machine.id(), here, rack, net_address("10.0.0.1:1"), w.machine.capacity(), w.machine.leaving()});
        }
    }
    decide(e, {listed, {}});
}

// --- events in ---

void world::deliver(int e, int life, inbound in)
{
    entry_state& s = entry(e);
    if (s.life != life || !s.machine) {
        return;
    }
    if (frozen(e)) {
        s.held.push_back(std::move(in));
        return;
    }
    decide(e, in);
}

void world::decide(int e, const inbound& in)
{
    entry_state& s = entry(e);
    if (!s.machine || frozen(e)) {
        return;
    }
    std::vector<cell_action> actions;
    s.machine->decide(clock(e), in.event, actions);
    for (cell_action& action : actions) {
        s.outbox.push_back({std::move(action), in.question});
    }
    flush(e);
}

// A process that is killed or frozen at a step has done just the steps before it; frozen, it takes up there later.
void world::flush(int e)
{
    entry_state& s = entry(e);
    const int life = s.life;
    while (!s.outbox.empty()) {
        outbound& first = s.outbox.front();
        const std::vector<std::string> steps = steps_of(first.action);
        if (!first.announced) {
            first.announced = true;
            if (!take_step(e, steps, false)) {
                return;
            }
        }
        outbound out = std::move(first);
        s.outbox.pop_front();
        carry(e, std::move(out));
        next_fault_ = exchange_fault::none;
        if (entry(e).life != life || !take_step(e, steps, true)) {
            return;
        }
    }
}

// False when the entry cannot go on.
bool world::take_step(int e, const std::vector<std::string>& steps, bool done)
{
    const int life = entry(e).life;
    if (step_hook_) {
        step_hook_(e, steps, done);
    }
    return entry(e).life == life && !frozen(e);
}

// --- what happened ---

std::optional<int> world::owner() const
{
    std::optional<int> newest;
    for (int e = 0; e < entry_count(); ++e) {
        const std::optional<cell>& machine = entry(e).machine;
        const bool owns =
            machine && (machine->role() == cell_role::owning || machine->role() == cell_role::handing_over);
        if (owns && (!newest || machine->epoch() > entry(*newest).machine->epoch())) {
            newest = e;
        }
    }
    return newest;
}

const cell_stats* world::stats(int e) const
{
    return entry(e).machine ? &entry(e).machine->stats() : nullptr;
}

std::int64_t world::overcommits_refused() const
{
    std::int64_t sum = 0;
    for (const worker_state& w : workers_) {
        sum += w.machine.overcommits_refused();
    }
    return sum;
}

std::int64_t world::notices(const std::string& event) const
{
    const auto found = notices_.find(event);
    return found == notices_.end() ? 0 : found->second;
}

} // namespace skylarkhub::test
