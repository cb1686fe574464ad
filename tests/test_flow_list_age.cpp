// What an owner does while it cannot read the list of workers itself, in virtual time.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "flow_worker_list_p.h"
#include "row_codec_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const resources reduced_capacity{4000, 64000, 0};
constexpr duration list_known_after = 4500ms; // a change of the list, at every owner

// Entries, one cell and short tasks; starts that go by an earlier capacity are violations.
flow_simulation::options short_tasks(int entries)
{
    return {.entries_per_data_centre = entries,
            .run_time = [](const flow_task_id&) { return duration(400ms); },
            .shrunk_room_grace = list_known_after};
}

// Submits work that keeps three workers of 16 processors busy for about ten seconds.
void submit_long_queue(flow_simulation& w, int entry, const std::string& job)
{
    w.send_submit(entry, job, chain_spec(1, 300, 3000));
}

// Lets the site start, and returns the owner of its cell.
int wait_for_owner(flow_simulation& w, int entries)
{
    w.run_for(3s);
    const int owner = owner_of(w, "a", entries);
    BOOST_REQUIRE(owner >= 0);
    return owner;
}

void reduce_capacities(flow_simulation& w)
{
    for (int i = 0; i < w.worker_count(); ++i) {
        w.set_worker_capacity(i, reduced_capacity, duration(0));
    }
}

// A list as long as given, with names and addresses of the usual length.
flow_worker_list list_of(int workers)
{
    flow_worker_list list;
    for (int i = 0; i < workers; ++i) {
        flow_listed_worker w;
        w.worker = worker_id(fmt::format("i-{:08x}", 0x7f3a0000 + i));
        w.address = net_address(fmt::format("10.128.{}.{}:8080", i / 256, i % 256));
        w.data_centre = data_centre_id("data-centre-01");
        w.service = "service-1";
        w.room = {16000, 32768, 0};
        w.labels = {"a", "r1-3"};
        w.rack = rack_id("r1-3");
        list.workers.push_back(std::move(w));
    }
    return list;
}

} // namespace

// Guards against an owner that the table turns away, and that goes on through a peer, starting tasks by the capacities
// from before.
BOOST_AUTO_TEST_CASE(an_owner_that_the_table_turns_away_sees_a_room_shrink)
{
    flow_simulation w(short_tasks(2));
    const int owner = wait_for_owner(w, 2);
    w.cut_entry_from_table(owner, true);
    w.run_for(500ms);
    reduce_capacities(w);
    w.run_for(2s);
    submit_long_queue(w, owner, job_a);
    w.run_for(8s);
    BOOST_TEST(owner_of(w, "a", 2) == owner);
    BOOST_TEST(w.count_job_starts(job_a) > 40);
    check_no_violations(w);
}

// Guards against an owner that the table turns away starting tasks on a worker that has begun to drain since.
BOOST_AUTO_TEST_CASE(an_owner_that_the_table_turns_away_sees_a_worker_drain)
{
    flow_simulation w(short_tasks(2));
    const int owner = wait_for_owner(w, 2);
    w.cut_entry_from_table(owner, true);
    w.run_for(500ms);
    w.worker(0).draining = true;
    submit_long_queue(w, owner, job_a);
    w.run_for(list_known_after);
    const std::int64_t starts = w.worker(0).starts;
    const std::int64_t starts_elsewhere = w.worker(1).starts;
    w.run_for(4s);
    BOOST_TEST(w.worker(0).starts == starts);
    BOOST_TEST(w.worker(1).starts > starts_elsewhere);
    BOOST_TEST(owner_of(w, "a", 2) == owner);
    check_no_violations(w);
}

// Guards against an owner whose reads of the list alone are not answered going by the capacities from before, with a
// peer that knows better and without one.
BOOST_AUTO_TEST_CASE(an_owner_whose_list_stays_away_starts_nothing_beyond_a_room)
{
    for (int entries = 1; entries <= 2; ++entries) {
        BOOST_TEST_CONTEXT("entries " << entries)
        {
            flow_simulation w(short_tasks(entries));
            const int owner = wait_for_owner(w, entries);
            w.drop_worker_lists(owner, true);
            w.run_for(500ms);
            reduce_capacities(w);
            submit_long_queue(w, owner, job_a);
            w.run_for(list_known_after);
            const std::int64_t starts = w.count_job_starts(job_a);
            w.run_for(4s);
            BOOST_TEST((w.count_job_starts(job_a) > starts) == (entries > 1));
            w.drop_worker_lists(owner, false);
            BOOST_TEST(w.run_until([&] { return w.count_job_starts(job_a) > starts; }, 3s));
            check_no_violations(w);
        }
    }
}

// Guards against work standing still for want of a recent list while the table answers no entry.
BOOST_AUTO_TEST_CASE(work_goes_on_by_an_old_list_while_the_table_answers_nobody)
{
    flow_simulation w(short_tasks(3));
    w.run_for(3s);
    submit_long_queue(w, 0, job_a);
    BOOST_REQUIRE(w.run_until([&] { return w.count_job_starts(job_a) > 0; }, 3s));
    w.set_table_down(true);
    for (int second = 0; second < 8; ++second) {
        const std::int64_t starts = w.count_job_starts(job_a);
        w.run_for(1s);
        BOOST_TEST(w.count_job_starts(job_a) > starts);
    }
    check_no_violations(w);
}

// Guards against a list that a peer read earlier taking the place of a newer one.
BOOST_AUTO_TEST_CASE(of_two_lists_the_one_that_was_read_later_is_in_force)
{
    const instant now{100s};
    known_workers known;
    BOOST_TEST(!known.tell(now, known_workers().ask(now)).has_value());
    BOOST_TEST(!known.is_younger(now, 1h));
    BOOST_TEST(known.take(list_of(2), now - 1s));
    BOOST_TEST(!known.take(list_of(3), now - 2s));
    BOOST_TEST(known.list().workers.size() == 2);
    BOOST_TEST(known.is_younger(now, 1100ms));
    BOOST_TEST(!known.is_younger(now, 1s));

    known_workers newer;
    newer.take(list_of(1), now);
    BOOST_TEST(!known.tell(now, newer.ask(now)).has_value());
    const auto told = newer.tell(now + 10ms, known.ask(now + 10ms));
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST(told->age_ms == 10);
    BOOST_TEST(told->workers.size() == 1);
}

// Guards against told lists of a large site taking the link that everything else needs as well.
BOOST_AUTO_TEST_CASE(told_lists_of_a_large_site_take_an_eighth_of_a_link)
{
    constexpr std::int64_t link_bytes_per_s = 1'250'000; // 10 Mbit/s
    constexpr std::int64_t seconds = 60;
    for (const int workers : {12, 490, 4000}) {
        BOOST_TEST_CONTEXT("workers " << workers)
        {
            known_workers known;
            known.take(list_of(workers), instant{100s});
            std::int64_t bytes = 0;
            std::int64_t lists = 0;
            for (instant now{101s}; now < instant{101s} + seconds * 1s; now += 10ms) {
                if (const auto told = known.tell(now, known_workers().ask(now))) {
                    bytes += static_cast<std::int64_t>(encode_compact(*told).size());
                    ++lists;
                }
            }
            BOOST_TEST_MESSAGE(lists << " lists of " << bytes / lists << " bytes");
            BOOST_TEST(lists >= seconds / 3);
            BOOST_TEST(bytes <= seconds * link_bytes_per_s / 8);
        }
    }
}

// Guards against a worker that a peer tells of differing from the one that it has read.
BOOST_AUTO_TEST_CASE(a_worker_that_is_told_is_the_one_that_was_read)
{
    flow_listed_worker read = list_of(1).workers.front();
    read.draining = true;
    read.room = {4000, 8000, 2};
    read.born = worker_birth(7);
    const flow_listed_worker told = from_wire(to_wire(read));
    BOOST_TEST((told.worker == read.worker && told.address == read.address && told.data_centre == read.data_centre));
    BOOST_TEST((told.service == read.service && told.labels == read.labels && told.rack == read.rack));
    BOOST_TEST((told.room.cpu_millis == 4000 && told.room.memory_mib == 8000 && told.room.accelerators == 2));
    BOOST_TEST((told.draining && told.born == read.born));
}
