#include "support_soak_faults.h"

#include <fmt/format.h>

#include <algorithm>

namespace skylarkhub::tests {

namespace {

using namespace std::chrono_literals;
using standin::link_faults;
using standin::table_faults;

constexpr duration first_fault = 6s; // entries have cells and tasks by then
constexpr int together_most = 4;     // faults that begin close together
constexpr duration close_together = 2500ms;
constexpr double calm_share = 0.2;   // of the pauses between faults
constexpr duration calm_least = 12s; // long enough for every promise with a time
constexpr duration calm_most = 16s;
constexpr duration pause_most = 2s;
constexpr duration evacuation_least = 2s;
constexpr duration evacuation_most = 16s;
constexpr double all_evacuated_share = 0.15;
constexpr double restarts_share = 0.7; // of the moments with faults, at which workers start again under their ids too
constexpr int restarts_in_series_most = 4;

// Plans one fault: what it is drawn from, and where it goes.
struct planning {
    random_source& random;
    soak_site& site;
    soak_plan& plan;
    duration at;

    duration draw(duration least, duration most) const
    {
        return duration(absl::Uniform(random, least.count(), most.count()));
    }
    int any_entry() const { return absl::Uniform(random, 0, site.entry_count()); }
    int any_worker() const { return absl::Uniform(random, 0, site.worker_count()); }
    // Something happens at one moment.
    void add(const std::string& text, const std::function<void()>& act) const
    {
        plan.emplace(at, soak_action{text, act});
    }
    // Something is harmed for a while.
    void add(const std::string& text, duration lasts, const std::function<void()>& begin,
             const std::function<void()>& end) const
    {
        plan.emplace(at, soak_action{fmt::format("{} for {} ms", text, lasts / 1ms), begin, 1});
        plan.emplace(at + lasts, soak_action{text + " is over", end, -1});
    }
};

// --- entries ---

// At once or as planned; one entry, or all at the same time or in turn.
void plan_end(const planning& p, bool planned, bool all, duration gap_most)
{
    planning one = p;
    const int first = all ? 0 : p.any_entry();
    const int last = all ? p.site.entry_count() - 1 : first;
    const auto end = planned ? &soak_site::stop : &soak_site::kill;
    const duration down = p.draw(100ms, 4s);
    for (int i = first; i <= last; ++i) {
        one.add(fmt::format("entry {} is {}, down for {} ms", i, planned ? "told to stop" : "killed", down / 1ms),
                [&site = p.site, end, i, down] { (site.*end)(i, down); });
        one.at += gap_most > duration(0) ? p.draw(gap_most / 4, gap_most) : duration(0);
    }
}

void plan_kill(const planning& p)
{
    plan_end(p, false, false, 0s);
}

void plan_kill_all(const planning& p)
{
    plan_end(p, false, true, 0s);
}

void plan_stop(const planning& p)
{
    plan_end(p, true, false, 0s);
}

void plan_stop_in_turn(const planning& p)
{
    plan_end(p, true, true, 2500ms);
}

void plan_freeze(const planning& p)
{
    const int entry = p.any_entry();
    p.add(
        fmt::format("entry {} stands still", entry), p.draw(300ms, 9s), [&site = p.site, entry] { site.freeze(entry); },
        [&site = p.site, entry] { site.thaw(entry); });
}

void plan_freeze_all(const planning& p)
{
    const auto each = [&site = p.site](void (soak_site::*what)(int)) {
        for (int i = 0; i < site.entry_count(); ++i) {
            (site.*what)(i);
        }
    };
    p.add(
        "all entries stand still", p.draw(300ms, 5s), [each] { each(&soak_site::freeze); },
        [each] { each(&soak_site::thaw); });
}

// Short turns in which the entry does or does not run: its timers come late, answers wait side by side.
void plan_stutter(const planning& p)
{
    const int entry = p.any_entry();
    planning turn = p;
    for (int i = absl::Uniform(p.random, 5, 20); i > 0; --i) {
        const duration still = p.draw(50ms, 500ms);
        turn.add(
            fmt::format("entry {} stutters", entry), still, [&site = p.site, entry] { site.freeze(entry); },
            [&site = p.site, entry] { site.thaw(entry); });
        turn.at += still + p.draw(5ms, 150ms);
    }
}

// --- links ---

void plan_links(const planning& p, const std::string& name, const std::vector<int>& numbers, duration most)
{
    const duration delay = p.draw(20ms, 800ms);
    const std::pair<std::string, link_faults> harms[] = {
        {"are reset", {}},
        {"silence what is open", {}},
        {fmt::format("take {} ms each way", delay / 1ms), {.delay = delay}},
        {"pass no requests", {.to_server_held = true}},
        {"pass no answers", {.to_client_held = true}},
        {"pass nothing", {.to_server_held = true, .to_client_held = true}},
        {"refuse", {.refuses = true}},
    };
    const std::size_t drawn = absl::Uniform<std::size_t>(p.random, 0, std::size(harms));
    const auto& [what, faults] = harms[drawn];
    const bool resets = drawn == 0 || faults.refuses;
    const bool silences = drawn == 1;
    const auto set = [&links = p.site.links(), numbers](const link_faults& to, bool reset, bool silence) {
        for (const int number : numbers) {
            links.set_faults(number, to);
            if (reset) {
                links.reset(number);
            }
            if (silence) {
                links.silence(number);
            }
        }
    };
    p.add(
        name + ' ' + what, p.draw(500ms, most), [=, to = faults] { set(to, resets, silences); },
        [set] { set({}, false, false); });
}

void plan_table_link(const planning& p)
{
    const int entry = p.any_entry();
    plan_links(p, fmt::format("entry {}'s links to the table", entry), {p.site.table_link(entry)}, 8s);
}

void plan_worker_link(const planning& p)
{
    const int worker = p.any_worker();
    plan_links(p, fmt::format("links to worker {}", worker), {p.site.worker_link(worker)}, 12s);
}

void plan_all_worker_links(const planning& p)
{
    std::vector<int> numbers;
    numbers.reserve(static_cast<std::size_t>(p.site.worker_count()));
    for (int i = 0; i < p.site.worker_count(); ++i) {
        numbers.push_back(p.site.worker_link(i));
    }
    plan_links(p, "links to all workers", numbers, 7s);
}

// --- the table ---

// It treats one entry, some or all of them so.
void plan_table(const planning& p)
{
    std::vector<int> doors;
    std::string text = "the table, to entries";
    const bool all = absl::Bernoulli(p.random, 0.5);
    for (int i = 0; i < p.site.entry_count(); ++i) {
        if (all || absl::Bernoulli(p.random, 0.5)) {
            doors.push_back(p.site.table_door(i));
            text += fmt::format(" {}", i);
        }
    }
    const duration delay = p.draw(50ms, 900ms);
    const double lost = absl::Uniform(p.random, 0.2, 1.0);
    const double late = absl::Uniform(p.random, 0.1, 0.6);
    const std::pair<std::string, table_faults> harms[] = {
        {"refuses", {.refuses = true}},
        {"does not answer", {.mute = true}},
        {fmt::format("takes {} ms more", delay / 1ms), {.delay = delay}},
        {fmt::format("loses {:.2f} of the answers to writes", lost), {.lose_share = lost}},
        {fmt::format("carries {:.2f} of the writes out late", late), {.late_share = late}},
    };
    const auto& [what, faults] = harms[absl::Uniform<std::size_t>(p.random, 0, std::size(harms))];
    const auto set = [&table = p.site.table(), doors](const table_faults& to) {
        for (const int door : doors) {
            table.set_faults(door, to);
        }
    };
    p.add(
        text + ": " + what, p.draw(500ms, 9s), [set, to = faults] { set(to); }, [set] { set({}); });
}

void plan_lost_history(const planning& p)
{
    p.add("the table forgets its history", [&table = p.site.table()] { table.forget_history(); });
}

// --- workers ---

void plan_worker(const planning& p, const std::string& what, duration least, duration most,
                 const std::function<void(standin::flow_workers&, int)>& begin,
                 const std::function<void(standin::flow_workers&, int)>& end)
{
    const int worker = p.any_worker();
    auto& workers = p.site.workers();
    p.add(
        fmt::format("worker {} {}", worker, what), p.draw(least, most),
        [&workers, worker, begin] { begin(workers, worker); }, [&workers, worker, end] { end(workers, worker); });
}

void plan_crash(const planning& p)
{
    plan_worker(p, "has crashed", 500ms, 8s, &standin::flow_workers::crash, &standin::flow_workers::begin_life);
}

void plan_drain(const planning& p) // it has left after 3 s
{
    plan_worker(p, "leaves", 4s, 7s, &standin::flow_workers::drain, &standin::flow_workers::begin_life);
}

void plan_late_orders_of(const planning& p, int worker, duration lasts)
{
    auto& workers = p.site.workers();
    p.add(
        fmt::format("worker {} carries all of its orders out late", worker), lasts,
        [&workers, worker] { workers.delay_orders(worker, 1); },
        [&workers, worker] { workers.delay_orders(worker, 0); });
}

void plan_late_orders(const planning& p)
{
    const double share = absl::Uniform(p.random, 0.1, 0.7);
    plan_worker(
        p, fmt::format("carries {:.2f} of its orders out late", share), 1s, 8s,
        [share](auto& workers, int worker) { workers.delay_orders(worker, share); },
        [](auto& workers, int worker) { workers.delay_orders(worker, 0); });
}

void plan_slow_worker(const planning& p)
{
    const double slowness = absl::Uniform(p.random, 2.0, 6.0);
    plan_worker(
        p, fmt::format("is {:.1f} times as slow", slowness), 1s, 8s,
        [slowness](auto& workers, int worker) { workers.set_slowness(worker, slowness); },
        [](auto& workers, int worker) { workers.set_slowness(worker, 1); });
}

// Some workers can't be asked, are gone, or have orders of the owner before them still, when their cell's owner goes:
// whoever follows must neither take what runs there for gone too early nor wait too long for it.
void plan_silent_takeover(const planning& p)
{
    for (int i = absl::Uniform(absl::IntervalClosed, p.random, 1, p.site.worker_count() / 2); i > 0; --i) {
        constexpr void (*harms[])(const planning&) = {&plan_worker_link, &plan_worker_link, &plan_crash,
                                                      &plan_late_orders};
        harms[absl::Uniform<std::size_t>(p.random, 0, std::size(harms))](p);
    }
    planning later = p;
    later.at += p.draw(0ms, 1500ms);
    if (absl::Bernoulli(p.random, 0.5)) {
        plan_kill(later);
    }
    else {
        plan_freeze(later);
    }
}

// A worker that starts again under its id, at once or after seconds.
void plan_restart(const planning& p, int worker)
{
    auto& workers = p.site.workers();
    const auto restart = [&workers, worker] { workers.restart(worker); };
    if (absl::Bernoulli(p.random, 0.5)) {
        p.add(fmt::format("worker {} starts again under its id", worker), restart);
        return;
    }
    p.add(
        fmt::format("worker {} is gone, to start again under its id,", worker), p.draw(100ms, 6s),
        [&workers, worker] { workers.crash(worker); }, restart);
}

// One worker, time and again, or many at about the same time; orders of the lives before may arrive at the next ones.
void plan_restarts(const planning& p)
{
    const bool many = absl::Bernoulli(p.random, 0.5);
    const int most = many ? p.site.worker_count() : restarts_in_series_most;
    const bool late = absl::Bernoulli(p.random, 0.4);
    int worker = p.any_worker();
    planning one = p;
    for (int i = absl::Uniform(absl::IntervalClosed, p.random, 1, most); i > 0; --i) {
        if (late) {
            plan_late_orders_of(one, worker, p.draw(300ms, 1500ms));
            one.at += p.draw(50ms, 300ms);
        }
        plan_restart(one, worker);
        one.at += many ? p.draw(0ms, 200ms) : p.draw(100ms, 3s);
        worker = many ? (worker + 1) % p.site.worker_count() : worker;
    }
}

struct fault_kind {
    void (*plan)(const planning&);
    double weight;
};
constexpr fault_kind fault_kinds[] = {
    {&plan_kill, 2},
    {&plan_kill_all, 0.7},
    {&plan_stop, 1.5},
    {&plan_stop_in_turn, 0.5},
    {&plan_freeze, 2},
    {&plan_freeze_all, 0.4},
    {&plan_stutter, 1.5},
    {&plan_table_link, 2},
    {&plan_worker_link, 2},
    {&plan_all_worker_links, 0.5},
    {&plan_table, 4},
    {&plan_lost_history, 0.5},
    {&plan_crash, 1.5},
    {&plan_drain, 1.5},
    {&plan_late_orders, 1.5},
    {&plan_slow_worker, 0.7},
    {&plan_silent_takeover, 2.5},
};

const fault_kind& draw_kind(random_source& random)
{
    double all = 0;
    for (const fault_kind& kind : fault_kinds) {
        all += kind.weight;
    }
    double drawn = absl::Uniform(random, 0.0, all);
    const fault_kind* kind = std::begin(fault_kinds);
    while (drawn >= kind->weight && kind + 1 != std::end(fault_kinds)) {
        drawn -= kind->weight;
        ++kind;
    }
    return *kind;
}

} // namespace

void plan_evacuations(random_source& random, duration length, soak_site& site, soak_plan& plan)
{
    const int data_centres = site.data_centre_count();
    for (duration at = first_fault; at < length;) {
        const planning p{random, site, plan, at};
        const bool all = absl::Bernoulli(random, all_evacuated_share);
        const int one = absl::Uniform(random, 0, data_centres);
        const duration lasts = p.draw(evacuation_least, evacuation_most);
        for (int i = all ? 0 : one; i < (all ? data_centres : one + 1); ++i) {
            plan.emplace(at, soak_action{fmt::format("data centre {} is evacuated for {} ms", i, lasts / 1ms),
                                         [&site, i] { site.set_evacuated(i, true); }});
            plan.emplace(at + lasts, soak_action{fmt::format("data centre {} is taken back", i),
                                                 [&site, i] { site.set_evacuated(i, false); }});
        }
        at += lasts + p.draw(duration(0), pause_most);
    }
}

soak_plan plan_faults(random_source& random, duration length, soak_site& site)
{
    soak_plan plan;
    std::vector<duration> moments;
    for (duration at = first_fault; at < length;) {
        moments.push_back(at);
        planning p{random, site, plan, at};
        for (int i = absl::Uniform(absl::IntervalClosed, random, 1, together_most); i > 0; --i) {
            p.at = at + p.draw(duration(0), close_together);
            draw_kind(random).plan(p);
        }
        at += close_together + p.draw(duration(0), pause_most);
        if (absl::Bernoulli(random, calm_share)) {
            at = std::max(at, plan.rbegin()->first) + p.draw(calm_least, calm_most);
        }
    }
    // Drawn last, so that the other faults of a seed are the same with them.
    for (const duration at : moments) {
        if (absl::Bernoulli(random, restarts_share)) {
            plan_restarts(
                {random, site, plan, at + duration(absl::Uniform<std::int64_t>(random, 0, close_together.count()))});
        }
    }
    return plan;
}

} // namespace skylarkhub::tests
