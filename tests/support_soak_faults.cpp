#include "support_soak_faults.h"

#include <fmt/format.h>

namespace skylarkhub::tests {

namespace {

using namespace std::chrono_literals;
using standin::link_faults;
using standin::table_faults;

constexpr duration first_fault = 6s; // entries have cells and tasks by then
constexpr int together_most = 3;     // faults that begin close together
constexpr duration close_together = 2500ms;
constexpr duration calm_least = 12s; // long enough for every promise with a time
constexpr duration calm_most = 16s;
constexpr double calm_share = 0.25; // of the pauses between faults
constexpr duration pause_most = 4s;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

// One fault as it is planned: what it is drawn from and where it goes.
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

    void add(const std::string& text, const std::function<void()>& act) const
    {
        plan.emplace(at, soak_action{text, act, 0});
    }
    // Something is harmed for a while.
    void add(const std::string& text, duration lasts, const std::function<void()>& begin,
             const std::function<void()>& end) const
    {
        plan.emplace(at, soak_action{fmt::format("{} for {:.1f} s", text, to_seconds(lasts)), begin, 1});
        plan.emplace(at + lasts, soak_action{text + " is over", end, -1});
    }
};

void plan_kill(const planning& p)
{
    const int entry = p.any_entry();
    const duration down = p.draw(100ms, 5s);
    p.add(fmt::format("entry {} is killed, down for {:.1f} s", entry, to_seconds(down)),
          [&site = p.site, entry, down] { site.kill(entry, down); });
}

void plan_kill_all(const planning& p)
{
    const duration down = p.draw(200ms, 3s);
    p.add(fmt::format("all entries are killed, down for {:.1f} s", to_seconds(down)), [&site = p.site, down] {
        for (int i = 0; i < site.entry_count(); ++i) {
            site.kill(i, down);
        }
    });
}

void plan_stop(const planning& p)
{
    const int entry = p.any_entry();
    const duration down = p.draw(100ms, 3s);
    p.add(fmt::format("entry {} is told to stop, down for {:.1f} s", entry, to_seconds(down)),
          [&site = p.site, entry, down] { site.stop(entry, down); });
}

void plan_stop_in_turn(const planning& p)
{
    for (int i = 0; i < p.site.entry_count(); ++i) {
        planning one{p.random, p.site, p.plan, p.at + i * p.draw(500ms, 2500ms)};
        one.add(fmt::format("entry {} is told to stop, in turn", i), [&site = p.site, i] { site.stop(i, 300ms); });
    }
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
    duration at = p.at;
    for (int i = absl::Uniform(p.random, 5, 20); i > 0; --i) {
        const duration still = p.draw(50ms, 500ms);
        planning{p.random, p.site, p.plan, at}.add(
            fmt::format("entry {} stutters", entry), still, [&site = p.site, entry] { site.freeze(entry); },
            [&site = p.site, entry] { site.thaw(entry); });
        at += still + p.draw(5ms, 150ms);
    }
}

link_faults draw_link_faults(const planning& p, std::string& text)
{
    link_faults faults;
    switch (absl::Uniform(p.random, 0, 5)) {
    case 0:
        faults.delay = p.draw(20ms, 800ms);
        text += fmt::format(" takes {:.2f} s each way", to_seconds(faults.delay));
        break;
    case 1:
        faults.to_server_held = true;
        text += " passes no requests";
        break;
    case 2:
        faults.to_client_held = true;
        text += " passes no answers";
        break;
    case 3:
        faults.to_server_held = faults.to_client_held = true;
        text += " passes nothing";
        break;
    default:
        faults.refuses = true;
        text += " refuses connections";
        break;
    }
    return faults;
}

void plan_link(const planning& p, const std::string& name, int link, duration most)
{
    auto& links = p.site.links();
    const int what = absl::Uniform(p.random, 0, 7);
    if (what == 0) {
        p.add(name + " resets its connections", [&links, link] { links.reset(link); });
        return;
    }
    if (what == 1) {
        p.add(name + " silences its connections", [&links, link] { links.silence(link); });
        return;
    }
    std::string text = name;
    const link_faults faults = draw_link_faults(p, text);
    p.add(
        text, p.draw(500ms, most),
        [&links, link, faults] {
            links.set_faults(link, faults);
            if (faults.refuses) {
                links.reset(link);
            }
        },
        [&links, link] { links.set_faults(link, {}); });
}

void plan_table_link(const planning& p)
{
    const int entry = p.any_entry();
    plan_link(p, fmt::format("entry {}'s link to the table", entry), p.site.table_link(entry), 8s);
}

void plan_worker_link(const planning& p)
{
    const int worker = p.any_worker();
    plan_link(p, fmt::format("the link to worker {}", worker), p.site.worker_link(worker), 12s);
}

void plan_all_worker_links(const planning& p)
{
    auto& links = p.site.links();
    std::string text = "the links to all workers: each";
    const link_faults faults = draw_link_faults(p, text);
    const auto set = [&links, &site = p.site](const link_faults& to) {
        for (int i = 0; i < site.worker_count(); ++i) {
            links.set_faults(site.worker_link(i), to);
        }
    };
    p.add(
        text, p.draw(500ms, 7s), [set, faults] { set(faults); }, [set] { set({}); });
}

table_faults draw_table_faults(const planning& p, std::string& text)
{
    table_faults faults;
    switch (absl::Uniform(p.random, 0, 5)) {
    case 0:
        faults.refuses = true;
        text += " refuses";
        break;
    case 1:
        faults.mute = true;
        text += " does not answer";
        break;
    case 2:
        faults.delay = p.draw(50ms, 900ms);
        text += fmt::format(" takes {:.2f} s more", to_seconds(faults.delay));
        break;
    case 3:
        faults.lose_share = absl::Uniform(p.random, 0.2, 1.0);
        text += fmt::format(" loses {:.2f} of the answers to writes", faults.lose_share);
        break;
    default:
        faults.late_share = absl::Uniform(p.random, 0.1, 0.6);
        text += fmt::format(" carries {:.2f} of the writes out late", faults.late_share);
        break;
    }
    return faults;
}

// The table treats one entry, some or all of them so.
void plan_table(const planning& p)
{
    std::vector<int> doors;
    const bool all = absl::Bernoulli(p.random, 0.4);
    std::string text = "the table, to entries";
    for (int i = 0; i < p.site.entry_count(); ++i) {
        if (all || absl::Bernoulli(p.random, 0.5)) {
            doors.push_back(p.site.table_door(i));
            text += fmt::format(" {}", i);
        }
    }
    text += ":";
    const table_faults faults = draw_table_faults(p, text);
    const auto set = [&table = p.site.table(), doors](const table_faults& to) {
        for (const int door : doors) {
            table.set_faults(door, to);
        }
    };
    p.add(
        text, p.draw(500ms, 9s), [set, faults] { set(faults); }, [set] { set({}); });
}

void plan_lost_history(const planning& p)
{
    p.add("the table forgets its history", [&table = p.site.table()] { table.forget_history(); });
}

void plan_crash(const planning& p)
{
    const int worker = p.any_worker();
    auto& workers = p.site.workers();
    p.add(
        fmt::format("worker {} has crashed", worker), p.draw(500ms, 8s), [&workers, worker] { workers.crash(worker); },
        [&workers, worker] { workers.begin_life(worker); });
}

void plan_drain(const planning& p)
{
    constexpr duration gone_after = 4s; // it has left by then
    const int worker = p.any_worker();
    auto& workers = p.site.workers();
    p.add(
        fmt::format("worker {} leaves", worker), gone_after + p.draw(0s, 3s),
        [&workers, worker] { workers.drain(worker); }, [&workers, worker] { workers.begin_life(worker); });
}

void plan_late_orders(const planning& p)
{
    const int worker = p.any_worker();
    const double share = absl::Uniform(p.random, 0.1, 0.7);
    auto& workers = p.site.workers();
    p.add(
        fmt::format("worker {} carries {:.2f} of its orders out late", worker, share), p.draw(1s, 8s),
        [&workers, worker, share] { workers.delay_orders(worker, share); },
        [&workers, worker] { workers.delay_orders(worker, 0); });
}

void plan_slow_worker(const planning& p)
{
    const int worker = p.any_worker();
    const double slowness = absl::Uniform(p.random, 2.0, 6.0);
    auto& workers = p.site.workers();
    p.add(
        fmt::format("worker {} is {:.1f} times as slow", worker, slowness), p.draw(1s, 8s),
        [&workers, worker, slowness] { workers.set_slowness(worker, slowness); },
        [&workers, worker] { workers.set_slowness(worker, 1); });
}

struct fault_kind {
    void (*plan)(const planning&);
    double weight;
};
constexpr fault_kind fault_kinds[] = {
    {&plan_kill, 2},          {&plan_kill_all, 0.7},
    {&plan_stop, 1.5},        {&plan_stop_in_turn, 0.5},
    {&plan_freeze, 2},        {&plan_freeze_all, 0.4},
    {&plan_stutter, 1.5},     {&plan_table_link, 2},
    {&plan_worker_link, 2},   {&plan_all_worker_links, 0.5},
    {&plan_table, 2.5},       {&plan_lost_history, 0.5},
    {&plan_crash, 1.5},       {&plan_drain, 1.5},
    {&plan_late_orders, 1.5}, {&plan_slow_worker, 0.7},
};

const fault_kind& draw_kind(random_source& random)
{
    double all = 0;
    for (const fault_kind& kind : fault_kinds) {
        all += kind.weight;
    }
    double drawn = absl::Uniform(random, 0.0, all);
    for (const fault_kind& kind : fault_kinds) {
        if (drawn < kind.weight) {
            return kind;
        }
        drawn -= kind.weight;
    }
    return fault_kinds[0];
}

} // namespace

soak_plan plan_faults(random_source& random, duration length, soak_site& site)
{
    soak_plan plan;
    duration at = first_fault;
    while (at < length) {
        planning p{random, site, plan, at};
        for (int i = absl::Uniform(absl::IntervalClosed, random, 1, together_most); i > 0; --i) {
            p.at = at + p.draw(0s, close_together);
            draw_kind(random).plan(p);
        }
        const bool calm = absl::Bernoulli(random, calm_share);
        at += close_together + (calm ? p.draw(calm_least, calm_most) : p.draw(0s, pause_most));
    }
    return plan;
}

} // namespace skylarkhub::tests
