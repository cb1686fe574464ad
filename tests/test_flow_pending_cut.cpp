// How many jobs of a queue wait, asked of all while a data centre is cut off from its peers and something else is
// wrong at the same time.
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
constexpr duration begun_after = 8s;
constexpr duration played = 18s;
constexpr duration cut_from = 2s;
constexpr duration cut_until = cut_from + 5500ms;
constexpr duration fault_lasts = 5400ms;
constexpr duration killed_for = 800ms;
constexpr duration stopped_for = 3s;
constexpr duration jobs_until = 4s;
constexpr duration submit_interval = 200ms;
constexpr duration last_jobs = 300ms;   // before the fault
constexpr duration in_touch_after = 3s; // the end of a fault
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

void kill_first_data_centre(flow_simulation& world)
{
    for (int entry = 0; entry < entries_per_data_centre; ++entry) {
        world.kill_entry(entry);
    }
}

enum class fault : std::uint8_t { none, frozen, off_table, slow, stopped, table_slow, history, killed };

enum class takers : std::uint8_t { all, data_centre, owner_before_fault }; // who takes jobs

struct cut_case {
    fault beside = fault::none;
    bool owner_is_cut = false;
    takers through = takers::all;
    std::uint64_t seed = 1;
};

class cut_site {
public:
    explicit cut_site(const cut_case& c) : case_(c), world_(make_options(c)) {}

    void play()
    {
        world_.run_for(begun_after + 131ms * static_cast<int>(case_.seed));
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
        for (duration t{0}; t < played; t += step) {
            for (int entry = entries_count - entries_per_data_centre; entry < entries_count; ++entry) {
                world_.cut_entry_from_peers(entry, t >= cut_from && t < cut_until);
            }
            if (t == fault_from) {
                begin_fault();
            }
            go_on(t - fault_from);
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
        BOOST_TEST_MESSAGE(fmt::format("seed {}, owner {}{}, takers {}: accepted {} of {}", case_.seed, owner_,
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

    // `since`: the fault began.
    void go_on(duration since)
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

    duration out_for() const
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

    bool is_asked(int entry, duration since) const
    {
        const bool out = out_for() > duration(0) && since >= duration(0) && since < out_for() + in_touch_after;
        return entry != owner_ || !out;
    }

    void submit(pending_count_checker& check, duration t, duration since)
    {
        const int number = static_cast<int>(t / submit_interval);
        int entry = number % entries_count;
        bool due = t < jobs_until && t % submit_interval == duration(0);
        if (case_.through == takers::data_centre) {
            entry = first_ + number % entries_per_data_centre;
        }
        if (case_.through == takers::owner_before_fault) {
            entry = owner_;
            due = since < duration(0) && since >= -last_jobs;
        }
        if (due && world_.entry(entry) != nullptr && !world_.entry(entry)->stopped()) {
            check.submit(entry);
        }
    }

    cut_case case_;
    flow_simulation world_;
    int first_ = 0; // entry of the owner's data centre
    int owner_ = 0;
};

void play_all(fault beside)
{
    for (const bool owner_is_cut : {false, true}) {
        for (const takers through : {takers::all, takers::data_centre, takers::owner_before_fault}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                cut_site({beside, owner_is_cut, through, seed}).play();
            }
        }
    }
}

// Kills all entries of a data centre some time after its owner read its rows again, since history was forgotten, and
// has just taken a job; `page_time` is what a page of rows takes.
void play_forgotten(std::uint64_t seed, duration page_time, duration read_for)
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

// An entry stands still; the owner's last hello, which waits for it, is from before the owner's last job. Then the
// owner's data centre is killed, and the entry is cut off from its peers.
void play_late_hello(std::uint64_t seed)
{
    flow_simulation::options o = site_options(seed);
    flow_simulation world(o);
    constexpr int asked = entries_count - 1;
    world.run_for(begun_after + 131ms * static_cast<int>(seed));
    world.pause_entry(asked);
    world.run_for(600ms); // a round of hellos
    world.cut_entry_from_peers(asked, true);
    pending_count_checker check(world);
    check.submit(0);
    world.run_for(20ms);
    check.record_accepted();
    BOOST_REQUIRE(check.accepted() == 1);
    kill_first_data_centre(world);
    world.run_for(fault_lasts - 600ms - 20ms);
    world.resume_entry(asked);
    world.run_for(in_touch_after);
    for (duration t{0}; t < 5s; t += step) {
        check.ask(asked);
        world.run_for(step);
    }
    world.run_for(pending_count_checker::answer_time_limit);
    check_no_violations(world);
    check.check(40);
}

// What the entry tells its peers now.
wire::flow_message told_now(flow_simulation& world, int entry, const std::string& name)
{
    wire::flow_message asks;
    wire::flow_hello own; // an entry takes nothing from a hello of its own
    own.sender.entry = name;
    asks.__set_hello(own);
    wire::flow_message told;
    world.entry(entry)->on_message(world.now(), asks, [&told](const wire::flow_message& answer) { told = answer; });
    return told;
}

// A data centre is cut off; a hello that its peers sent as the cut began arrives when it ends, as the network's own
// repetitions have it. A job is taken outside meanwhile.
void play_hello_kept_by_cut(std::uint64_t seed, bool asked_meanwhile)
{
    flow_simulation::options o = site_options(seed);
    flow_simulation world(o);
    world.run_for(begun_after + 331ms * static_cast<int>(seed));
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
        under_way.push_back(told_now(world, entry, name));
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

// Kills all entries of a data centre that has just taken a job, while others take many and a look shows few rows.
void play_many_pages(std::uint64_t seed)
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

// Whoever is cut off hears no owner outside, and nobody outside hears those within.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut)
{
    play_all(fault::none);
}

// The count that a frozen owner left is taken for new, or its own is when it goes on.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_frozen)
{
    play_all(fault::frozen);
}

// An owner that the table turns away knows nothing of jobs that others accept for its cell.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_off_the_table)
{
    play_all(fault::off_table);
}

// What a slow owner asked for long ago is taken for new.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_slow)
{
    play_all(fault::slow);
}

// The count goes with the cell to a follower that others do not hear.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_stops)
{
    play_all(fault::stopped);
}

// Counts are as old as the answers of the table that they are made from.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_the_table_is_slow)
{
    play_all(fault::table_slow);
}

// What was accepted since a count is no longer told by the table.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_history_is_forgotten)
{
    play_all(fault::history);
}

// An owner that is back at once counts what it took before.
BOOST_AUTO_TEST_CASE(jobs_are_counted_behind_a_cut_while_an_owner_is_killed)
{
    play_all(fault::killed);
}

// An owner that reads its rows again tells a count as whole up to no version that there is, and its row keeps it.
BOOST_AUTO_TEST_CASE(jobs_are_counted_after_history_was_forgotten)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        play_forgotten(seed, duration(0), 6s);
    }
}

// The same where the owner reads slowly.
BOOST_AUTO_TEST_CASE(jobs_are_counted_after_history_was_forgotten_and_rows_were_read_slowly)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        play_forgotten(seed, 400ms, 15s);
    }
}

// A hello that waited for an entry that stood still is taken for as new as it was when it was sent.
BOOST_AUTO_TEST_CASE(jobs_are_counted_though_a_hello_was_long_under_way)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        play_late_hello(seed);
    }
}

// A hello that the cut held back is taken for new when the cut ends, and stands before newer ones.
BOOST_AUTO_TEST_CASE(jobs_are_counted_though_a_cut_held_a_hello_back)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        play_hello_kept_by_cut(seed, false);
    }
}

// A question waits for all changes since the oldest count, page by page, for longer than a caller does.
BOOST_AUTO_TEST_CASE(answers_come_in_time_though_a_look_shows_few_rows)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        play_many_pages(seed);
    }
}

// The same where newer counts were read from the table meanwhile.
BOOST_AUTO_TEST_CASE(jobs_are_counted_though_a_cut_held_a_hello_back_and_rows_were_read)
{
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        play_hello_kept_by_cut(seed, true);
    }
}
