// The platform's words: its table, workers, operator and callers, to and from the product's types.
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "../platform/caller_wire.h"
#include "../platform/operator_wire.h"
#include "../platform/table_wire.h"
#include "../platform/worker_wire.h"

using namespace skylarkhub;
using namespace skylarkhub::platform;
using nlohmann::json;

namespace {

http_result answered(int status, const std::string& body)
{
    http_result result;
    result.answered = true;
    result.status = status;
    result.body = body;
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_transaction_carries_its_conditions)
{
    store_transaction t;
    t.checks.push_back({{"t", "p", "k"}, row_version(7)});
    t.puts.push_back({{"t", "p", "k"}, "value"});
    const json body = json::parse(make_commit(net_address("10.0.0.1:1"), t).body);
    BOOST_TEST(body["expected-revision"][0]["schema-version"] == 7);
    BOOST_TEST(body["put"][0]["value"] == "dmFsdWU=");
}

BOOST_AUTO_TEST_CASE(an_answer_that_did_not_come_is_unknown_and_a_refusal_is_not)
{
    http_result lost;
    lost.may_have_arrived = true;
    BOOST_TEST((read_commit(lost).outcome == table_outcome::unknown));
    lost.may_have_arrived = false;
    BOOST_TEST((read_commit(lost).outcome == table_outcome::refused));
    BOOST_TEST((read_commit(answered(503, "")).outcome == table_outcome::refused));
    BOOST_TEST((read_commit(answered(429, "")).outcome == table_outcome::refused));
    const store_result applied = read_commit(answered(200, R"({"schema-version":412,"now-ms":1})"));
    BOOST_TEST((applied.outcome == table_outcome::applied));
    BOOST_TEST(applied.version.value() == 412);
}

BOOST_AUTO_TEST_CASE(a_conflict_brings_the_rows_as_they_are)
{
    const store_result result = read_commit(answered(
        412,
        R"({"rows":[{"table":"t","part":"p","key":"k","value":"dmFsdWU=","schema-version":9}],"schema-version":12})"));
    BOOST_TEST((result.outcome == table_outcome::conflict));
    BOOST_REQUIRE(result.rows.size() == 1);
    BOOST_TEST(result.rows.front().value == "value");
    BOOST_TEST(result.rows.front().version.value() == 9);
}

BOOST_AUTO_TEST_CASE(a_start_says_what_runs_where_and_until_when)
{
    start_run order;
    order.task = {job_id("00000000000000aa"), 0, 1, 17};
    order.run = run_number(2);
    order.payload = "text";
    order.lease_until = worker_time(std::chrono::milliseconds(486000));
    order.fence = epoch(7);
    const http_call call = make_order({worker_id("i-1"), net_address("10.0.0.1:1")}, order);
    const json body = json::parse(call.body);
    BOOST_TEST(call.target == "/run-start");
    BOOST_TEST(find_field(call.headers, "X-Target-Instance") == "i-1");
    BOOST_TEST(body["task"] == "00000000000000aa.0.1.17");
    BOOST_TEST(body["deadline-ms"] == 486000);
    BOOST_TEST(!body.contains("checkpoint"));
}

BOOST_AUTO_TEST_CASE(refusals_of_workers_are_told_apart)
{
    const worker_order order = start_run{};
    const auto result = [&](int status, const char* body) { return read_answer(order, answered(status, body)).result; };
    BOOST_TEST((result(409, R"({"clock-ms":1,"reason":"fence"})") == order_result::fenced));
    BOOST_TEST((result(409, R"({"reason":"old"})") == order_result::stale_run));
    BOOST_TEST((result(409, R"({"reason":"late"})") == order_result::expired));
    BOOST_TEST((result(409, R"({"reason":"room"})") == order_result::no_room));
    BOOST_TEST((result(421, "") == order_result::other_life));
    BOOST_TEST((result(503, "") == order_result::unhealthy));
    BOOST_TEST((result(500, "") == order_result::no_answer));
    BOOST_TEST((read_answer(order, http_result{}).result == order_result::no_answer));
}

BOOST_AUTO_TEST_CASE(an_exchange_lists_runs_and_ends)
{
    const order_answer answer = read_answer(
        hold_worker{}, answered(200, R"({"clock-ms":482113,"running":[["00000000000000aa.0.1.17",2,"cp",41,12]],
                          "finished":[[58,"00000000000000aa.0.1.9",1,"done",""],[59,"00000000000000aa.0.1.8",3,"lapsed","x"]]})"));
    BOOST_TEST((answer.result == order_result::accepted));
    BOOST_REQUIRE(answer.running.size() == 1);
    BOOST_TEST(answer.running.front().measure == 12);
    BOOST_TEST(answer.running.front().task.index == 17);
    BOOST_REQUIRE(answer.ends.size() == 2);
    BOOST_TEST((answer.ends.back().how == run_end::lapsed));
    BOOST_TEST(answer.ends.back().number.value() == 59);
}

BOOST_AUTO_TEST_CASE(a_garbled_exchange_is_no_answer)
{
    const worker_order hold = hold_worker{};
    BOOST_TEST((read_answer(hold, answered(200, R"({"clock-ms":1})")).result != order_result::accepted));
    BOOST_TEST((read_answer(hold, answered(200, "nonsense")).result != order_result::accepted));
    BOOST_TEST(
        (read_answer(hold, answered(200, R"({"running":[[1]],"finished":[]})")).result != order_result::accepted));
}

BOOST_AUTO_TEST_CASE(a_submission_is_read_whole_or_refused_with_a_reason)
{
    http_request request;
    request.method = "POST";
    request.path = "/q/00000000000000aa";
    request.headers = {{"host", "h.example:80"}, {"x-deadline", "2500"}};
    request.body = R"({"spec":"p","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimated-ms":900,"affinity":"r1-3"},
        {"count":2,"cpu":100,"after":[0],"checkpointing":true,"long-running":true,"image":"i","target-ms":18,
         "fill-count":true,"anti-affinity":1,"max-unavailable":2,"requirements":"gpu"}]})";
    const auto read = read_request(request);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->spec.has_value());
    BOOST_TEST(read->host == "h.example");
    BOOST_TEST(read->patience.count() == 2500000);
    BOOST_TEST(read->spec->steps.at(0).data_rack.str() == "r1-3");
    const flow_step& second = read->spec->steps.at(1);
    BOOST_TEST(second.lasting);
    BOOST_TEST(second.filling);
    BOOST_TEST(second.per_worker_most == 1);
    BOOST_TEST(second.label == "gpu");
    BOOST_TEST(second.tail_target.count() == 18000);
    for (const char* bad : {"", "[]", "{}", R"({"steps":[{"count":"x"}]})", R"({"steps":3})"}) {
        request.body = bad;
        const auto refused = read_request(request);
        BOOST_REQUIRE(refused.has_value());
        BOOST_TEST(!refused->spec.has_value());
        BOOST_TEST(!refused->problem.empty());
    }
}

BOOST_AUTO_TEST_CASE(answers_to_callers_say_when_to_come_back)
{
    caller_answer answer;
    answer.result = caller_result::not_accepted;
    answer.come_back = std::chrono::milliseconds(1200);
    const http_response response = make_response(answer);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(find_field(response.headers, "Retry-After") == "2");
    answer.result = caller_result::unsettled;
    BOOST_TEST(make_response(answer).status == 504);
    answer.result = caller_result::unknown_job;
    BOOST_TEST(make_response(answer).status == 410);
    answer.result = caller_result::state;
    answer.state = flow_state::done;
    BOOST_TEST(make_response(answer).body == R"({"state":"done"})");
}

BOOST_AUTO_TEST_CASE(a_configuration_and_the_list_of_workers_are_decoded)
{
    const auto config = read_config(
        R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/","service":"s","max-attempts":4,"priority":2,
            "slack-factor":1.5,"target-latency-ms":250}],"services":[{"name":"s","preconditions":true}],
            "limits":{"max-body-bytes":1000}})");
    BOOST_REQUIRE(config.has_value());
    BOOST_TEST(config->version.value() == 7);
    BOOST_TEST(config->queues.at(0).failures_most == 4);
    BOOST_TEST(config->services.at(0).guards_room);
    BOOST_TEST(config->body_bytes_most == 1000);
    BOOST_TEST(!read_config("{}").has_value());
    store_row row;
    row.key.key = "i-1";
    row.value =
        R"({"service":"s","address":"10.0.0.1:8","zone":"z","state":"draining","room":{"cpu":16000,"mem-mb":100},
                    "labels":["a","r1-3"]})";
    store_row garbled;
    garbled.key.key = "i-2";
    garbled.value = "nonsense";
    const auto workers = worker_list_reader().read({row, garbled});
    BOOST_REQUIRE(workers.size() == 1);
    BOOST_TEST(workers.front().draining);
    BOOST_TEST(workers.front().rack.str() == "r1-3");
    BOOST_TEST(workers.front().room.cpu_millis == 16000);
}

BOOST_AUTO_TEST_CASE(a_worker_whose_row_has_changed_is_read_anew)
{
    // Rows whose version is known are not parsed again. A worker that begins to drain writes a new version of its row:
    // taken for the old one, it would be sent tasks until it is gone.
    store_row row;
    row.key.key = "w@1";
    row.version = row_version(7);
    row.value = R"({"address":"10.0.0.1:80","state":"up","service":"s"})";
    worker_list_reader reader;
    BOOST_TEST(!reader.read({row}).at(0).draining);
    BOOST_TEST(reader.read({row}).at(0).address.str() == "10.0.0.1:80");
    row.value = R"({"address":"10.0.0.1:80","state":"draining","service":"s"})";
    row.version = row_version(8);
    BOOST_TEST(reader.read({row}).at(0).draining);
    BOOST_TEST(reader.read({}).empty());
}

BOOST_AUTO_TEST_CASE(a_page_is_read_whole_or_not_at_all)
{
    // A page cut short whose rows were taken for all there are would make every worker after the cut look gone.
    http_result answer;
    answer.answered = true;
    answer.status = 200;
    answer.body =
        R"({"now-ms":5,"rows":[{"table":"t","part":"p","key":"k","value":"YQ==","schema-version":3,"x":{"key":"y"}},)"
        R"({"key":"gone","deleted":true,"schema-version":4,"value":null}],"has-more":true,"schema-version":9})";
    const store_page page = read_page(answer);
    BOOST_TEST(page.reached);
    BOOST_TEST(page.more);
    BOOST_TEST(page.version.value() == 9);
    BOOST_REQUIRE_EQUAL(page.rows.size(), 2U);
    BOOST_TEST(page.rows[0].key.table == "t");
    BOOST_TEST(page.rows[0].key.part == "p");
    BOOST_TEST(page.rows[0].key.key == "k");
    BOOST_TEST(page.rows[0].value == "a");
    BOOST_TEST(page.rows[0].version.value() == 3);
    BOOST_TEST(!page.rows[0].removed);
    BOOST_TEST(page.rows[1].removed);
    BOOST_TEST(page.rows[1].value.empty());
    answer.body.resize(answer.body.size() / 2);
    BOOST_TEST(!read_page(answer).reached);
    BOOST_TEST(read_page(answer).rows.empty());
    answer.body = "[]";
    BOOST_TEST(!read_page(answer).reached);
}
