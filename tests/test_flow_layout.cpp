// Tests how racks are grouped into cells and how cells are assigned to entries.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "flow_layout_p.h"
#include "flow_limits_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const data_centre_id local_data_centre("a");
const std::string job_a = "00000000000000aa";

rack_workers racks_of(int racks, int workers)
{
    rack_workers listed;
    for (int i = 0; i < racks; ++i) {
        listed[rack_id(fmt::format("rack-{:02}", i))] = workers;
    }
    return listed;
}

std::vector<std::string> cell_names(const flow_entry& entry)
{
    std::vector<std::string> names;
    for (const auto& [id, cell] : entry.cells()) {
        names.push_back(id.str());
    }
    return names;
}

int cells_owned(const flow_entry& entry)
{
    int owned = 0;
    for (const auto& [id, cell] : entry.cells()) {
        owned += cell->owns() ? 1 : 0;
    }
    return owned;
}

// Returns options for eight entries with 0.07 or 0.5 core each and 102 workers in racks of 6, enough for five cells.
flow_simulation::options large_site()
{
    flow_simulation::options o;
    o.entries_per_data_centre = 8;
    o.workers_per_data_centre = 102;
    o.rack_size = 6;
    o.cores = {0.07, 0.07, 0.5, 0.07, 0.07, 0.5, 0.07, 0.07};
    return o;
}

} // namespace

// Guards against splitting a data centre whose workers fit in one cell.
BOOST_AUTO_TEST_CASE(a_small_data_centre_is_one_cell_with_its_name)
{
    for (const auto& listed : {racks_of(2, 6), racks_of(3, 8), racks_of(4, 6), racks_of(1, 40)}) {
        const cell_layout layout = extend_layout(local_data_centre, {}, listed);
        BOOST_TEST(layout.size() == listed.size());
        for (const auto& [rack, placement] : layout) {
            BOOST_TEST(placement.cell.str() == "a");
        }
    }
}

// Guards against cells of very unequal size; a rack is never split, even if it alone exceeds the size of a cell.
BOOST_AUTO_TEST_CASE(a_large_data_centre_is_cells_of_about_equal_size)
{
    const auto sizes = [](const rack_workers& listed) {
        std::vector<std::int64_t> counted;
        for (const auto& [cell, workers] : count_workers(extend_layout(local_data_centre, {}, listed), listed)) {
            counted.push_back(workers);
        }
        return counted;
    };
    BOOST_TEST(sizes(racks_of(15, 6)) == (std::vector<std::int64_t>{24, 24, 24, 18}), boost::test_tools::per_element());
    BOOST_TEST(sizes(racks_of(16, 8)) == (std::vector<std::int64_t>{24, 24, 24, 24, 16, 16}),
               boost::test_tools::per_element());
    BOOST_TEST(sizes(racks_of(3, 40)) == (std::vector<std::int64_t>{40, 40, 40}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_list_that_shows_few_workers_of_each_rack_does_not_make_one_cell_of_all)
{
    // While a site starts, the worker list shows only a few workers of most racks. Grouped by these numbers, all racks
    // would be put in one cell and stay there.
    rack_workers listed = racks_of(15, 1);
    listed.begin()->second = 6;
    const cell_layout layout = extend_layout(local_data_centre, {}, listed);
    BOOST_TEST(count_workers(layout, racks_of(15, 6)).size() == 4);
}

// Guards against a layout that moves racks that already have a cell, or puts too many workers in one cell.
BOOST_AUTO_TEST_CASE(racks_that_are_laid_stay_and_new_ones_are_added)
{
    const cell_layout before = extend_layout(local_data_centre, {}, racks_of(4, 6));
    rack_workers listed = racks_of(8, 6);
    listed.erase(rack_id("rack-00")); // a rack whose workers are not listed at the moment
    BOOST_TEST(has_new_racks(before, listed));
    const cell_layout after = extend_layout(local_data_centre, before, listed);
    BOOST_TEST(!has_new_racks(after, listed));
    for (const auto& [rack, placement] : before) {
        BOOST_TEST((after.at(rack).cell == placement.cell));
    }
    for (const auto& [cell, workers] : count_workers(after, listed)) {
        BOOST_TEST(workers <= flow_limits::max_cell_workers);
    }
    BOOST_TEST((from_row(to_row(after)).at(rack_id("rack-07")).cell == after.at(rack_id("rack-07")).cell));
}

// Guards against assigning cells without an owner to entries that have too few cores for them.
BOOST_AUTO_TEST_CASE(free_cells_are_dealt_by_cores)
{
    const std::vector<ranking_entry> entries{{entry_id("e1"), local_data_centre, 0.07, 0},
                                             {entry_id("e2"), local_data_centre, 0.5, 0},
                                             {entry_id("e3"), data_centre_id("b"), 4, 0}};
    const std::vector<ranking_cell> cells{{cell_id("a"), local_data_centre, 24, {}},
                                          {cell_id("a.1"), local_data_centre, 24, {}}};
    for (const auto& [cell, rank] : rank_for_ownership(entry_id("e2"), entries, cells)) {
        BOOST_TEST(rank == 0); // 48 workers on 0.5 core are a lower load per core than 24 on 0.07
    }
    for (const auto& [cell, rank] : rank_for_ownership(entry_id("e1"), entries, cells)) {
        BOOST_TEST(rank == 1);
    }
    for (const auto& [cell, rank] : rank_for_ownership(entry_id("e3"), entries, cells)) {
        BOOST_TEST(rank == 0); // rank among the entries outside the data centre
    }
    // The entry that takes over from an owner must be another entry.
    BOOST_TEST(rank_for_ownership(entry_id("e1"), entries, {{cell_id("a"), local_data_centre, 24, entry_id("e2")}})
                   .at(cell_id("a")) == 0);
}

BOOST_AUTO_TEST_CASE(entries_that_start_together_agree_on_the_cells_and_share_them_out)
{
    // All entries list the workers and write the layout at the same time. One write is applied, and the other entries
    // use its layout. Of the five cells, each of the two entries with 0.5 core owns two or three, and no smaller entry
    // owns more than one.
    flow_simulation w(large_site());
    w.run_for(5s);
    const auto names = cell_names(*w.entry(0));
    BOOST_TEST(names.size() == 5);
    int owned = 0;
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(cell_names(*w.entry(i)) == names, boost::test_tools::per_element());
        BOOST_TEST((w.entry(i)->racks() == w.entry(0)->racks()));
        const int own = cells_owned(*w.entry(i));
        const bool large = i == 2 || i == 5;
        BOOST_TEST(own >= (large ? 2 : 0));
        BOOST_TEST(own <= (large ? 3 : 1));
        owned += own;
    }
    BOOST_TEST(owned == 5);
}

BOOST_AUTO_TEST_CASE(an_entry_that_knows_the_cells_first_leaves_them_to_those_whose_turn_it_is)
{
    // A small entry that listed the workers and wrote the layout seconds before the others knew of any cell took
    // ownership of all five cells. Its link was too narrow to reach most of their workers, so their tasks did not run.
    for (const int early : {0, 1, 3, 4, 6, 7}) {
        flow_simulation::options o = large_site();
        for (int i = 0; i < o.entries_per_data_centre; ++i) {
            o.list_latency_by_entry[i] = i == early ? 100ms : 4500ms;
        }
        flow_simulation w(o);
        w.run_for(6s);
        int owned = 0;
        for (int i = 0; i < o.entries_per_data_centre; ++i) {
            const int own = cells_owned(*w.entry(i));
            BOOST_TEST(own <= (i == 2 || i == 5 ? 3 : 1), "early " << early << ": entry " << i << " owns " << own);
            owned += own;
        }
        BOOST_TEST(owned == 5);
    }
}

BOOST_AUTO_TEST_CASE(an_entry_looks_at_the_changes_of_jobs_once_for_all_its_cells)
{
    // An owner that watches the job changes of the whole site every two seconds for each of its cells fills a narrow
    // link, and then reaches neither its workers nor the table.
    flow_simulation::options o = large_site();
    o.entries_per_data_centre = 1;
    o.cores = {0.5};
    flow_simulation w(o);
    w.run_for(4s);
    BOOST_REQUIRE(cells_owned(*w.entry(0)) == 5);
    const std::int64_t before = w.job_watch_count(0);
    w.run_for(10s);
    BOOST_TEST(w.job_watch_count(0) - before <= 5);
    BOOST_TEST(w.job_watch_count(0) - before >= 4);
}

// Guards against one of several equal entries that owns more cells than its share.
BOOST_AUTO_TEST_CASE(equal_entries_own_no_more_than_one_cell_each)
{
    flow_simulation::options o = large_site();
    o.cores.clear();
    flow_simulation w(o);
    w.run_for(5s);
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(cells_owned(*w.entry(i)) <= 1);
    }
}

// Guards against a rack that is added later and whose workers get no cell, owner or tasks.
BOOST_AUTO_TEST_CASE(a_new_rack_gets_a_cell_that_all_entries_know)
{
    flow_simulation w({.entries_per_data_centre = 3,
                       .workers_per_data_centre = 30,
                       .rack_size = 6,
                       .run_time = [](const flow_task_id&) { return duration(8s); }});
    w.run_for(3s);
    BOOST_TEST(cell_names(*w.entry(0)).size() == 1);
    const int added = w.add_worker("a", "rack-new");
    w.run_for(6s);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((w.entry(i)->racks() == w.entry(0)->racks()));
    }
    BOOST_TEST(cell_names(*w.entry(0)).size() == 2);
    BOOST_TEST(w.count_owners("a.1") == 1);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 31, 16000)) == caller_result::accepted); // each task fills a worker
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 31; }, 4s));
    BOOST_TEST(w.worker(added).starts == 1);
    check_no_violations(w);
}

BOOST_AUTO_TEST_CASE(the_cells_outlast_a_loss_of_power_of_all_entries)
{
    // When the entries restart, the list shows one worker. A layout computed again from this list would put racks in
    // other cells, and two owners would fence the same workers.
    flow_simulation w(large_site());
    w.run_for(3s);
    const std::map<rack_id, cell_id> before = w.entry(0)->racks();
    for (int i = 0; i < 8; ++i) {
        w.kill_entry(i);
    }
    for (int i = 1; i < w.worker_count(); ++i) {
        w.set_worker_unlisted(i, true);
    }
    for (int i = 0; i < 8; ++i) {
        w.start_entry(i);
    }
    w.run_for(4s);
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST((w.entry(i)->racks() == before));
    }
    int owned = 0;
    for (const std::string& cell : cell_names(*w.entry(0))) {
        owned += w.count_owners(cell);
    }
    BOOST_TEST(owned == 5);
}

BOOST_AUTO_TEST_CASE(a_step_wider_than_a_cell_finds_its_workers_in_the_others)
{
    // Forty lasting tasks need a worker each, and a cell has 24 workers: tasks without a worker in the job's cell must
    // be moved to other cells within three seconds.
    flow_simulation w(large_site());
    w.run_for(4s);
    flow_spec spec = chain_spec(1, 40, 1000);
    spec.steps.front().lasting = true;
    spec.steps.front().per_worker_most = 1;
    BOOST_REQUIRE(w.submit(0, job_a, spec) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 40; }, 3s));
    for (int i = 0; i < w.worker_count(); ++i) {
        BOOST_TEST(w.worker(i).running.size() <= 1);
    }
    check_no_violations(w);
}

BOOST_AUTO_TEST_CASE(a_job_across_cells_runs_once_when_the_owner_of_one_dies)
{
    // The tasks of one step run in two cells when the owner of one cell dies. The cell's next owner must adopt the runs
    // there instead of starting them again.
    flow_simulation::options o = large_site();
    o.run_time = [](const flow_task_id&) { return duration(12s); };
    flow_simulation w(o);
    w.run_for(4s);
    flow_spec spec = chain_spec(2, 40, 1000);
    spec.steps.front().per_worker_most = 1;
    BOOST_REQUIRE(w.submit(0, job_a, spec) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 40; }, 5s));
    const int owner = cells_owned(*w.entry(2)) > 0 ? 2 : 5;
    w.kill_entry(owner);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 60s));
    BOOST_TEST(w.count_job_starts(job_a) == 80);
    check_no_violations(w);
}
