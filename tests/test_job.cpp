#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "job_accept_p.h"
#include "job_json_p.h"
#include "job_record_p.h"
#include "job_standing_p.h"
#include "job_view_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

cell_room make_room(const char* centre, const char* cell, std::int64_t free_millis)
{
    return {cell_id(cell), data_centre_id(centre), {8000, 32000, 0}, {64000, 256000, 0}, {free_millis, 256000, 0}, 0};
}

job_spec make_spec(std::int32_t tasks)
{
    job_spec spec;
    spec.team = team_id("newsroom");
    spec.name = "rebuild";
    spec.kind = kind_id("rebuild");
    spec.declared = {1000, 1024, 0};
    spec.task_count = tasks;
    return spec;
}

wire::standing_row make_watch(std::int64_t next_due_ms, std::int32_t catch_up)
{
    wire::standing_row row;
    row.team = "audit_desk";
    row.name = "rival-watch";
    row.spec = to_row(make_spec(1));
    row.period_ms = 1000;
    row.next_due_ms = next_due_ms;
    row.catch_up = catch_up;
    return row;
}

} // namespace

// Guards against new work that is bound to an evacuated data centre, where it would wait.
BOOST_AUTO_TEST_CASE(no_task_is_dealt_to_an_evacuated_data_centre)
{
    std::vector<field_error> errors;
    std::vector<cell_room> rooms{make_room("a", "a.r1", 60000), make_room("b", "b.r1", 50000)};
    rooms[0].evacuated = true;
    for (const cell_part& part : split_job(make_spec(11), rooms, 7, &errors)) {
        BOOST_TEST(part.cell.str() == "b.r1");
    }
    rooms[1].evacuated = true;
    BOOST_TEST(split_job(make_spec(11), rooms, 7, &errors).empty());
    BOOST_TEST(errors.empty());
}

BOOST_AUTO_TEST_CASE(every_task_is_dealt_to_one_cell)
{
    std::vector<field_error> errors;
    const std::vector<cell_room> rooms{make_room("a", "a.r1", 60000), make_room("b", "b.r1", 50000),
                                       make_room("c", "c.r1", 40000)};
    std::set<std::int32_t> tasks;
    for (const cell_part& part : split_job(make_spec(11), rooms, 7, &errors)) {
        for (std::int32_t i = 0; i < part.task_total; ++i) {
            BOOST_TEST(tasks.insert(part.first_task + i).second);
        }
    }
    BOOST_TEST(tasks.size() == 11u);
    BOOST_TEST(*tasks.rbegin() == 10);
}

// A service must outlive the loss of any one data centre, so its tasks go over data centres before racks.
BOOST_AUTO_TEST_CASE(a_service_is_spread_over_data_centres_first)
{
    std::vector<field_error> errors;
    job_spec spec = make_spec(2);
    spec.is_service = true;
    const std::vector<cell_room> rooms{make_room("a", "a.r1", 60000), make_room("a", "a.r2", 59000),
                                       make_room("b", "b.r1", 10000)};
    const auto parts = split_job(spec, rooms, 7, &errors);
    BOOST_REQUIRE(parts.size() == 2u);
    BOOST_TEST(parts[0].cell.str().front() != parts[1].cell.str().front());
}

BOOST_AUTO_TEST_CASE(a_demand_that_no_worker_can_meet_names_the_dimension)
{
    std::vector<field_error> errors;
    job_spec spec = make_spec(1);
    spec.declared.memory_mib = 64000;
    BOOST_TEST(split_job(spec, {make_room("a", "a.r1", 60000)}, 1, &errors).empty());
    BOOST_REQUIRE(errors.size() == 1u);
    BOOST_TEST(errors[0].field == "declared.memory_mib");
}

// Two callers use one key for two jobs at once and one answer is lost. Reading back the operation that wrote the row
// must not take the other caller's job for one's own, so the body is part of the operation.
BOOST_AUTO_TEST_CASE(one_key_with_two_bodies_makes_two_operations)
{
    const job_id job = derive_job_id(team_id("newsroom"), operation_id("k1"));
    const std::vector<cell_part> parts{{cell_id("a.r1"), 0, 2}};
    const auto first = accept_job(job, make_spec(2), parts, wall_time());
    job_spec other = make_spec(2);
    other.payload = "other";
    BOOST_TEST(first.operation != accept_job(job, other, parts, wall_time()).operation);
    BOOST_TEST(first.operation == accept_job(job, make_spec(2), parts, wall_time(1s)).operation);
}

// The table client can settle a lost answer only by a row that is checked and written and that nobody removes. An owner
// removes inbox rows, so a cancel that wrote only those could never be settled, and was refused.
BOOST_AUTO_TEST_CASE(an_instruction_rests_on_the_index_row)
{
    wire::job_index_row index;
    index.job = "newsroom.0123456789abcdef";
    index.team = "newsroom";
    index.cells = {"a.r1", "b.r1"};
    const auto transaction = instruct_cells(index, row_version(4), operation_id("c1"), true);
    BOOST_REQUIRE(transaction.checks.size() == 1u);
    BOOST_TEST(transaction.checks[0].key == job_index_key(team_id("newsroom"), operation_id(index.job)));
    BOOST_TEST(transaction.writes[0].key == transaction.checks[0].key);
    BOOST_TEST(transaction.writes.size() == 3u);
}

BOOST_AUTO_TEST_CASE(every_mistake_of_a_job_is_named_at_once)
{
    std::vector<field_error> errors;
    const char* const text = R"({"team":"t","name":"n","kind":"k","declared":{"cpu":1},"task_count":"two","color":1})";
    BOOST_TEST(!parse_job(text, &errors).has_value());
    std::set<std::string> fields;
    for (const field_error& e : errors) {
        fields.insert(e.field);
    }
    BOOST_TEST((fields == std::set<std::string>{"declared.cpu", "task_count", "color"}));
    errors.clear();
    BOOST_TEST(!parse_job("{", &errors).has_value());
    BOOST_TEST(errors.at(0).field == "body");
}

// A row keeps neighbouring tasks of one phase as a span. Left out of the counts, finished tasks look queued for ever to
// whoever waits for the job.
BOOST_AUTO_TEST_CASE(tasks_in_spans_are_counted_and_listed)
{
    wire::job_row row;
    row.__set_job("j");
    row.__set_spec(to_row(make_spec(4)));
    row.__set_task_total(4);
    wire::task_span_row span;
    span.__set_first(0);
    span.__set_count(2);
    span.__set_phase(wire::task_phase_row::finished);
    row.__set_spans({span});
    wire::task_row failed;
    failed.__set_index(2);
    failed.__set_attempts_failed(1);
    row.__set_tasks({failed});
    const nlohmann::json view = format_job({{"a.r1", row, 1}}, true);
    BOOST_TEST(view.at("finished") == 2);
    BOOST_TEST(view.at("running") == 1);
    BOOST_TEST(view.at("queued") == 1);
    BOOST_TEST(view.at("tasks").size() == 3u);
}

// Whoever waits for the job sees two of its four tasks as queued for ever, though all have finished. The workers are
// heard one after the other, so the ends reach the row in two writes. A row tells a finish by a single task only in the
// write that first tells it, and by a span in each later one: the count has to take both.
BOOST_AUTO_TEST_CASE(finishes_told_by_two_writes_are_all_counted)
{
    wire::job_row row;
    row.__set_job("j");
    row.__set_spec(to_row(make_spec(4)));
    row.__set_task_total(4);
    detail::job_record job(row, instant{});
    const auto finish_two = [&](std::int32_t first) {
        job.finish(first, attempt_number(1));
        job.finish(first + 1, attempt_number(1));
    };
    finish_two(0);
    BOOST_TEST(format_job({{"a.r1", job.to_row(), 0}}, false).at("finished") == 2);
    job.mark_written(job.revision());

    finish_two(2);

    const nlohmann::json view = format_job({{"a.r1", job.to_row(), 0}}, false);
    BOOST_TEST(view.at("finished") == 4);
    BOOST_TEST(view.at("queued") == 0);
}

// Nothing ran for 4.5 periods. The watch must not run five times at once: the newest due times up to catch_up are run,
// the rest are counted as missed, and the next due time lies ahead.
BOOST_AUTO_TEST_CASE(due_times_passed_in_an_outage_are_run_once_or_counted)
{
    const auto step = plan_standing(make_watch(10'000, 2), wall_time(14'500ms));
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST(step->missed == 3);
    BOOST_REQUIRE(step->due.size() == 2u);
    BOOST_TEST((step->due[0] == wall_time(13'000ms)));
    BOOST_TEST((step->next_due == wall_time(15'000ms)));
    BOOST_TEST(!plan_standing(make_watch(15'000, 2), wall_time(14'500ms)).has_value());
}

// Two entries run the same due time: both transactions check the standing row's version and the same job's index row,
// so one of them conflicts and the due time has one run.
BOOST_AUTO_TEST_CASE(one_due_time_makes_one_job_whoever_runs_it)
{
    const wire::standing_row row = make_watch(10'000, 1);
    const auto step = plan_standing(row, wall_time(10'100ms));
    BOOST_REQUIRE(step.has_value());
    const auto here = run_due(row, row_version(3), *step, {{cell_id("a.r1"), 0, 1}}, wall_time(10'100ms));
    const auto there = run_due(row, row_version(3), *step, {{cell_id("b.r1"), 0, 1}}, wall_time(10'200ms));
    BOOST_TEST(here.writes[0].key == there.writes[0].key);
    const auto checks_row = [](const table_transaction& t) {
        return std::any_of(t.checks.begin(), t.checks.end(), [](const table_check& c) {
            return c.key == standing_key(team_id("audit_desk"), "rival-watch") && c.version == row_version(3);
        });
    };
    BOOST_TEST(checks_row(here));
    BOOST_TEST(checks_row(there));
}
