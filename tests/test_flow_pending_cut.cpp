// Tests the pending count of a queue at all entries while a data centre is cut off from its peers and a second fault
// is active.
#include <boost/test/unit_test.hpp>

#include <functional>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"
#include "support_pending.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int data_centres = 4;
constexpr int entries_per_data_centre = 2;
constexpr int entries_count = data_centres * entries_per_data_centre;
constexpr int seeds = 6;
constexpr duration step = 100ms;
constexpr duration warm_up = 8s;
constexpr duration test_duration = 18s;
constexpr duration cut_from = 2s;
constexpr duration cut_until = cut_from + 5500ms;
constexpr duration fault_lasts = 5400ms;
constexpr duration killed_for = 800ms;
constexpr duration stopped_for = 3s;
constexpr duration jobs_until = 4s;
constexpr duration submit_interval = 200ms;
constexpr duration last_jobs = 300ms;  // `owner_before_fault` submits jobs only this long before the fault
constexpr duration recovery_time = 3s; // an entry has to report correct counts this long after the end of its fault
constexpr duration slow_pause = 400ms;
constexpr duration slow_table = 240ms;
constexpr duration sound_table = 8ms;

flow_simulation::options site_options(std::uint64_t seed)
{
    flow_simulation::options o;
    o.seed = seed;
    o.data_centres = {"a", "b", "c", "d"};
    o.entries_per_data_centre = entries_per_data_centre;
    o.workers_per_data_centre = 12;
    o.rack_size = 6;
    return o;
}

// Kills all entries of the first data centre.
void kill_first_data_centre(flow_simulation& world)
{
    for (int entry = 0; entry < entries_per_data_centre; ++entry) {
        world.kill_entry(entry);
    }
}

enum class fault : std::uint8_t { none, frozen, off_table, slow, stopped, table_slow, history, killed };

enum class submit_scope : std::uint8_t { all, data_centre, owner_before_fault }; // entries that jobs are submitted to

struct cut_case {
    fault beside = fault::none;
    bool owner_is_cut = false;
    submit_scope through = submit_scope::all;
    std::uint64_t seed = 1;
};

// A site whose last data centre is cut off from its peers for 5.5 s while the fault of the case affects one owner, the
// table or the change history.
class cut_site {
public:
    explicit cut_site(const cut_case& c) : case_(c), world_(make_options(c)) {}

    // Submits jobs, applies the cut and the fault, and checks the pending counts of the entries.
    void run()
    {
        world_.run_for(warm_up + 131ms * static_cast<int>(case_.seed));
        first_ = case_.owner_is_cut ? entries_count - entries_per_data_centre : 0;
        owner_ = first_;
        for (int entry = first_; entry < first_ + entries_per_data_centre; ++entry) {
            const auto& cells = world_.entry(entry)->cells();
            if (std::any_of(cells.begin(), cells.end(), [](const auto& cell) { return cell.second->owns(); })) {
                owner_ = entry;
            }
        }
        const duration fault_from = cut_from + 400ms * (static_cast<int>(case_.seed) - 3);
        pending_count_checker check(world_);
        for (duration t{0}; t < test_duration; t += step) {
            for (int entry = entries_count - entries_per_data_centre; entry < entries_count; ++entry) {
                world_.cut_entry_from_peers(entry, t >= cut_from && t < cut_until);
            }
            if (t == fault_from) {
                begin_fault();
            }
            end_fault(t - fault_from);
            check.record_accepted();
            submit(check, t, t - fault_from);
            for (int entry = 0; entry < entries_count; ++entry) {
                if (is_asked(entry, t - fault_from)) {
                    check.ask(entry);
                }
            }
            world_.run_for(step);
        }
        world_.run_for(pending_count_checker::answer_time_limit);
        BOOST_TEST_MESSAGE(fmt::format("seed {}, owner {}{}, submit_scope {}: accepted {} of {}", case_.seed, owner_,
                                       case_.owner_is_cut ? " (cut)" : "", static_cast<int>(case_.through),
                                       check.accepted(), check.submitted()));
        check_no_violations(world_);
        BOOST_TEST(check.accepted() >= 3);
        check.check(1000);
    }

private:
    static flow_simulation::options make_options(const cut_case& c)
    {
        flow_simulation::options o = site_options(c.seed);
        o.table_latency = sound_table;
        return o;
    }

    void begin_fault()
    {
        switch (case_.beside) {
        case fault::none:
            break;
        case fault::frozen:
            world_.pause_entry(owner_);
            break;
        case fault::off_table:
            world_.cut_entry_from_table(owner_, true);
            break;
        case fault::slow:
            world_.inject_entry_pauses(owner_, slow_pause);
            break;
        case fault::stopped:
            world_.entry(owner_)->plan_stop(world_.now());
            world_.entry(owner_)->run_deferred_work(world_.now());
            break;
        case fault::table_slow:
            world_.set_table_latency(slow_table);
            break;
        case fault::history:
            world_.discard_change_history();
            break;
        case fault::killed:
            world_.kill_entry(owner_);
            break;
        }
    }

    // Ends the fault when `since`, the time since its start, reaches its duration.
    void end_fault(duration since)
    {
        if (case_.beside == fault::killed && since == killed_for) {
            world_.start_entry(owner_);
        }
        if (case_.beside == fault::stopped && since == stopped_for) {
            world_.kill_entry(owner_);
            world_.start_entry(owner_);
        }
        if (since != fault_lasts) {
            return;
        }
        if (case_.beside == fault::frozen) {
            world_.resume_entry(owner_);
        }
        if (case_.beside == fault::off_table) {
            world_.cut_entry_from_table(owner_, false);
        }
        if (case_.beside == fault::slow) {
            world_.inject_entry_pauses(owner_, duration(0));
        }
        world_.set_table_latency(sound_table);
    }

    // Returns how long the fault takes the owner out of service.
    duration outage_duration() const
    {
        switch (case_.beside) {
        case fault::frozen:
        case fault::off_table:
            return fault_lasts;
        case fault::stopped:
            return stopped_for;
        case fault::killed:
            return killed_for;
        default:
            return duration(0);
        }
    }

    // Returns whether the entry has to report a correct count at this time since the start of the fault.
    bool is_asked(int entry, duration since) const
    {
        const bool out =
            outage_duration() > duration(0) && since >= duration(0) && since < outage_duration() + recovery_time;
        return entry != owner_ || !out;
    }

    // Submits a job at time `t` to an entry that the case selects, if one is due.
    void submit(pending_count_checker& check, duration t, duration since)
    {
        const int number = static_cast<int>(t / submit_interval);
        int entry = number % entries_count;
        bool due = t < jobs_until && t % submit_interval == duration(0);
        if (case_.through == submit_scope::data_centre) {
            entry = first_ + number % entries_per_data_centre;
        }
        if (case_.through == submit_scope::owner_before_fault) {
            entry = owner_;
            due = since < duration(0) && since >= -last_jobs;
        }
        if (due && world_.entry(entry) != nullptr && !world_.entry(entry)->stopped()) {
            check.submit(entry);
        }
    }

    cut_case case_;
    flow_simulation world_;
    int first_ = 0; // first entry of the owner's data centre
    int owner_ = 0;
};

// Runs the fault for every kind of owner, selection of entries and seed.
void check_all_cases(fault beside)
{
    for (const bool owner_is_cut : {false, true}) {
        for (const submit_scope through :
             {submit_scope::all, submit_scope::data_centre, submit_scope::owner_before_fault}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                cut_site({beside, owner_is_cut, through, seed}).run();
            }
        }
    }
}

// Discards the change history, so that owners read their rows again, and waits for `read_for`. Then an owner accepts a
// job and its data centre is killed. `page_time` is the transfer time of a page of rows.
void check_discarded_history(std::uint64_t seed, duration page_time, duration read_for)
{
    flow_simulation::options o = site_options(seed);
    o.job_page_transfer_time = page_time;
    flow_simulation world(o);
    world.run_for(15s + 131ms * static_cast<int>(seed));
    world.discard_change_history();
    world.run_for(read_for);
    pending_count_checker check(world);
    check.submit(0);
    world.run_for(20ms);
    check.record_accepted();
    BOOST_REQUIRE(check.accepted() == 1);
    kill_first_data_centre(world);
    for (duration t{0}; t < 15s; t += step) {
        for (int entry = entries_per_data_centre; entry < entries_count; ++entry) {
            check.ask(entry);
        }
        world.run_for(step);
    }
    world.run_for(pending_count_checker::answer_time_limit);
    check_no_violations(world);
    check.check(400);
}

// Pauses an entry, so that the owner's last hello to it, sent before the owner accepted its last job, stays
// undelivered. Then the entry is cut off from its peers, and the owner's data centre is killed.
void check_late_hello(std::uint64_t seed)
{
    flow_simulation::options o = site_options(seed);
    flow_simulation world(o);
    constexpr int asked = entries_count - 1;
    world.run_for(warm_up + 131ms * static_cast<int>(seed));
    world.pause_entry(asked);
    world.run_for(600ms); // one hello interval
    world.cut_entry_from_peers(asked, true);
    pending_count_checker check(world);
    check.submit(0);
    world.run_for(20ms);
    check.record_accepted();
    BOOST_REQUIRE(check.accepted() == 1);
    kill_first_data_centre(world);
    world.run_for(fault_lasts - 600ms - 20ms);
    world.resume_entry(asked);
    world.run_for(recovery_time);
    for (duration t{0}; t < 5s; t += step) {
        check.ask(asked);
        world.run_for(step);
    }
    world.run_for(pending_count_checker::answer_time_limit);
    check_no_violations(world);
    check.check(40);
}

// Returns the hello that the entry currently sends to its peers.
wire::flow_message current_hello(flow_simulation& world, int entry, const std::string& name)
{
    wire::flow_message request;
    wire::flow_hello own; // an entry ignores the content of a hello from itself
    own.sender.entry = name;
    request.__set_hello(own);
    wire::flow_message hello;
    world.entry(entry)->on_message(world.now(), request,
                                   [&hello](const wire::flow_message& answer) { hello = answer; });
    return hello;
}

// Cuts off a data centre. Hellos that its peers sent when the cut began arrive when it ends, as retransmission by the
// network can cause. An entry outside accepts a job during the cut.
void check_hello_delayed_by_cut(std::uint64_t seed, bool asked_meanwhile)
{
    flow_simulation::options o = site_options(seed);
    flow_simulation world(o);
    world.run_for(warm_up + 331ms * static_cast<int>(seed));
    const auto cut = [&world](bool on) {
        for (int entry = entries_count - entries_per_data_centre; entry < entries_count; ++entry) {
            world.cut_entry_from_peers(entry, on);
        }
    };
    cut(true);
    std::vector<wire::flow_message> under_way;
    for (int entry = 0; entry < entries_count - entries_per_data_centre; ++entry) {
        const std::string name =
            fmt::format("entry-{}-{}", o.data_centres.at(static_cast<std::size_t>(entry) / entries_per_data_centre),
                        entry % entries_per_data_centre);
        under_way.push_back(current_hello(world, entry, name));
    }
    pending_count_checker check(world);
    world.run_for(100ms);
    check.submit(0);
    world.run_for(20ms);
    check.record_accepted();
    BOOST_REQUIRE(check.accepted() == 1);
    constexpr int asked = entries_count - 1;
    for (duration t = 120ms; t < cut_until - cut_from; t += step / 5) {
        if (asked_meanwhile) {
            check.ask(asked);
        }
        world.run_for(step / 5);
    }
    cut(false);
    for (const wire::flow_message& hello : under_way) {
        world.entry(asked)->on_message(world.now(), hello, [](const wire::flow_message&) {});
    }
    for (duration t{0}; t < 5s; t += step / 5) {
        check.ask(asked);
        world.run_for(step / 5);
    }
    world.run_for(pending_count_checker::answer_time_limit);
    check_no_violations(world);
    check.check(200);
}

// Kills all entries of a data centre that has just accepted a job, while other entries accept many and each poll of the
// table returns at most 10 rows.
void check_many_pages(std::uint64_t seed)
{
    flow_simulation::options o = site_options(seed);
    o.watch_page_rows = 10;
    o.table_latency = slow_table;
    flow_simulation world(o);
    world.run_for(15s + 131ms * static_cast<int>(seed));
    pending_count_checker check(world);
    check.submit(0);
    world.run_for(1500ms);
    check.record_accepted();
    BOOST_REQUIRE(check.accepted() == 1);
    kill_first_data_centre(world);
    for (duration t{0}; t < 15s; t += step) {
        for (int entry = entries_per_data_centre; entry < entries_count; ++entry) {
            check.record_accepted();
            check.ask(entry);
            check.submit(entry);
        }
        world.run_for(step);
    }
    world.run_for(pending_count_checker::answer_time_limit);
    check_no_violations(world);
    check.check_answered();
}

} // namespace

// Guards against wrong counts when entries on either side of a cut receive nothing from owners on the other side.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut)
{
    check_all_cases(fault::none);
}

// Guards against treating the outdated count of a paused owner as current, during the pause or after it resumes.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_frozen)
{
    check_all_cases(fault::frozen);
}

// Guards against omitted jobs when an owner cannot reach the table and misses jobs that other entries accept.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_off_the_table)
{
    check_all_cases(fault::off_table);
}

// Guards against a slow owner treating the late answer to an old table request as current.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_slow)
{
    check_all_cases(fault::slow);
}

// Guards against wrong counts when an owner stops by plan and the next owner is on the other side of the cut.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_stops)
{
    check_all_cases(fault::stopped);
}

// Guards against treating counts as current when the table answers from which they were computed are old.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_the_table_is_slow)
{
    check_all_cases(fault::table_slow);
}

// Guards against omitting jobs accepted after a count when the table no longer has the changes since that count.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_history_is_forgotten)
{
    check_all_cases(fault::history);
}

// Guards against omitted jobs when an owner is killed and restarted 800 ms later.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_killed)
{
    check_all_cases(fault::killed);
}

// Guards against an owner that reads its rows again publishing a complete count for a version that does not exist,
// which its row then retained.
BOOST_AUTO_TEST_CASE(jobs_are_counted_after_history_was_forgotten)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        check_discarded_history(seed, duration(0), 6s);
    }
}

// Guards against a count for a version that does not exist when the owner reads its rows slowly.
BOOST_AUTO_TEST_CASE(jobs_are_counted_after_history_was_forgotten_and_rows_were_read_slowly)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        check_discarded_history(seed, 400ms, 15s);
    }
}

// Guards against treating a hello as current although it waited for a paused entry before it was delivered.
BOOST_AUTO_TEST_CASE(jobs_are_counted_though_a_hello_was_long_under_way)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        check_late_hello(seed);
    }
}

// Guards against treating a hello delayed by a cut as current when the cut ends, and preferring it to newer ones.
BOOST_AUTO_TEST_CASE(jobs_are_counted_though_a_cut_held_a_hello_back)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        check_hello_delayed_by_cut(seed, false);
    }
}

// Guards against a query exceeding the caller's time limit while it waits for all pages of changes since the oldest
// count.
BOOST_AUTO_TEST_CASE(answers_come_in_time_though_a_look_shows_few_rows)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        check_many_pages(seed);
    }
}

// Guards against preferring a hello delayed by a cut to newer counts read from the table during the cut.
BOOST_AUTO_TEST_CASE(jobs_are_counted_though_a_cut_held_a_hello_back_and_rows_were_read)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        check_hello_delayed_by_cut(seed, true);
    }
}
