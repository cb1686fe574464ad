// Conversion between the types of the project and the platform's messages: table, workers, configuration and callers.
#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "../platform/caller_wire.h"
#include "../platform/operator_wire.h"
#include "../platform/table_wire.h"
#include "../platform/worker_wire.h"
#include "flow_job_p.h"
#include "flow_row_p.h"
#include "row_codec_p.h"

using namespace skylarkhub;
using namespace skylarkhub::platform;
using nlohmann::json;

namespace {

constexpr std::size_t steps_most = 1000;

http_result answered(int status, const std::string& body)
{
    http_result result;
    result.answered = true;
    result.status = status;
    result.body = body;
    return result;
}

// Returns the text many times over, for a value nested as deeply as a body of the longest length can be.
std::string nested(const std::string& text)
{
    constexpr int depth = 150'000;
    std::string out;
    for (int i = 0; i < depth; ++i) {
        out += text;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_transaction_contains_its_conditions)
{
    store_transaction t;
    t.checks.push_back({{"t", "p", "k"}, row_version(7)});
    t.puts.push_back({{"t", "p", "k"}, "value"});
    const json body = json::parse(make_commit(net_address("10.0.0.1:1"), t).body);
    BOOST_TEST(body["expected-revision"][0]["schema-version"] == 7);
    BOOST_TEST(body["put"][0]["value"] == "dmFsdWU=");
}

BOOST_AUTO_TEST_CASE(a_lost_answer_leaves_the_outcome_unknown_and_a_refusal_does_not)
{
    http_result lost;
    lost.may_have_arrived = true;
    BOOST_TEST((read_commit(lost).outcome == table_outcome::unknown));
    lost.may_have_arrived = false;
    BOOST_TEST((read_commit(lost).outcome == table_outcome::refused));
    BOOST_TEST((read_commit(answered(503, "")).outcome == table_outcome::refused));
    BOOST_TEST((read_commit(answered(429, "")).outcome == table_outcome::refused));
    BOOST_TEST(!read_commit(answered(429, "")).invalid);
    for (const int too_large : {400, 413}) {
        BOOST_TEST((read_commit(answered(too_large, "")).outcome == table_outcome::refused));
        BOOST_TEST(read_commit(answered(too_large, "")).invalid);
    }
    const store_result applied = read_commit(answered(200, R"({"schema-version":412,"now-ms":1})"));
    BOOST_TEST((applied.outcome == table_outcome::applied));
    BOOST_TEST(applied.version.value() == 412);
}

BOOST_AUTO_TEST_CASE(a_conflict_returns_the_current_rows)
{
    const store_result result = read_commit(answered(
        412,
        R"({"rows":[{"table":"t","part":"p","key":"k","value":"dmFsdWU=","schema-version":9}],"schema-version":12})"));
    BOOST_TEST((result.outcome == table_outcome::conflict));
    BOOST_REQUIRE(result.rows.size() == 1);
    BOOST_TEST(result.rows.front().value == "value");
    BOOST_TEST(result.rows.front().version.value() == 9);
}

BOOST_AUTO_TEST_CASE(a_start_order_contains_task_worker_and_lease)
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

BOOST_AUTO_TEST_CASE(each_refusal_of_a_worker_has_its_own_result)
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

BOOST_AUTO_TEST_CASE(the_answer_to_a_hold_lists_runs_and_ends)
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

// Guards against taking a list of ends that was cut for all ends of the worker.
BOOST_AUTO_TEST_CASE(an_answer_with_as_many_ends_as_one_can_hold_may_lack_others)
{
    const auto ends = [](int count) {
        json body{{"running", json::array()}, {"finished", json::array()}};
        for (int i = 1; i <= count; ++i) {
            body["finished"].push_back({i, fmt::format("00000000000000aa.0.0.{}", i), 1, "done", ""});
        }
        return read_answer(hold_worker{}, answered(200, body.dump()));
    };
    BOOST_TEST(!ends(499).ends_cut);
    BOOST_TEST(ends(499).ends.size() == 499);
    BOOST_TEST(ends(500).ends_cut);
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_to_a_hold_is_not_accepted)
{
    const worker_order hold = hold_worker{};
    BOOST_TEST((read_answer(hold, answered(200, R"({"clock-ms":1})")).result != order_result::accepted));
    BOOST_TEST((read_answer(hold, answered(200, "nonsense")).result != order_result::accepted));
    BOOST_TEST(
        (read_answer(hold, answered(200, R"({"running":[[1]],"finished":[]})")).result != order_result::accepted));
}

BOOST_AUTO_TEST_CASE(the_answer_to_a_hold_tells_the_birth_of_the_worker)
{
    const worker_order hold = hold_worker{};
    const auto with_born = [&](const std::string& born) {
        return read_answer(hold, answered(200, R"({"clock-ms":1,"running":[],"finished":[],"born":)" + born + "}"));
    };
    BOOST_TEST(with_born("1796356800123").born.value() == 1796356800123);
    const order_answer untold = read_answer(hold, answered(200, R"({"clock-ms":1,"running":[],"finished":[]})"));
    BOOST_TEST((untold.result == order_result::accepted));
    BOOST_TEST(untold.born.value() == 0);
}

// Runs are counted to the wrong life of a worker whose answer has a birth that cannot be read.
BOOST_AUTO_TEST_CASE(an_answer_to_a_hold_with_an_unreadable_birth_is_no_answer)
{
    for (const char* born : {"0", "-5", "1.5", "1e300", "18446744073709551615", "\"1796356800123\"", "null", "true",
                             "[1796356800123]", "{}"}) {
        const order_answer answer =
            read_answer(hold_worker{},
                        answered(200, fmt::format(R"({{"clock-ms":1,"running":[],"finished":[],"born":{}}})", born)));
        BOOST_TEST_CONTEXT(born)
        {
            BOOST_TEST((answer.result == order_result::no_answer));
            BOOST_TEST(!answer.clock.has_value());
            BOOST_TEST(answer.reason == "born is no whole number above 0");
        }
    }
}

BOOST_AUTO_TEST_CASE(rows_carry_the_birth_of_a_worker_and_rows_without_one_can_be_read)
{
    const flow_task_id task{job_id("00000000000000aa"), 0, 0, 0};
    flow_spec spec;
    spec.steps.resize(1);
    wire::flow_job_row accepted = make_job_row(spec);
    accepted.cell = "a.r1";
    flow_job one(task.job, cell_id("a.r1"), accepted, row_version(1));
    one.note_start(task, {worker_id("i-1"), worker_birth(1796356800123)}, run_number(2));
    const auto row = decode_compact<wire::flow_job_row>(encode_compact(one.current_row()));
    BOOST_REQUIRE(row.has_value());
    flow_job read(task.job, cell_id("a.r1"), *row, row_version(2));
    BOOST_TEST(read.find_task(task)->start.worker == "i-1");
    BOOST_TEST(read.find_task(task)->start.born == 1796356800123);
    wire::flow_cell_row cell;
    cell.workers.emplace_back();
    cell.workers.back().worker = "i-1";
    const auto untold = decode_compact<wire::flow_cell_row>(encode_compact(cell));
    BOOST_REQUIRE(untold.has_value());
    BOOST_TEST(untold->workers.front().born == 0);
}

BOOST_AUTO_TEST_CASE(a_submission_is_read_completely_or_refused_with_a_reason)
{
    http_request request;
    request.method = "POST";
    request.path = "/q/00000000000000aa";
    request.headers = {{"host", "h.example:80"}, {"x-deadline", "2500"}};
    request.body = R"({"spec":"p","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimated-ms":900,"affinity":"r1-3"},
        {"count":2,"cpu":100,"after":[0],"checkpointing":true,"long-running":true,"image":"i","target-ms":18,
         "fill-count":true,"anti-affinity":1,"max-unavailable":2,"requirements":"gpu"}]})";
    const auto read = read_request(request, steps_most);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->spec.has_value());
    BOOST_TEST(read->host == "h.example");
    BOOST_TEST(read->request_timeout.count() == 2500000);
    BOOST_TEST(read->spec->steps.at(0).data_rack.str() == "r1-3");
    const flow_step& second = read->spec->steps.at(1);
    BOOST_TEST(second.lasting);
    BOOST_TEST(second.filling);
    BOOST_TEST(second.per_worker_most == 1);
    BOOST_TEST(second.label == "gpu");
    BOOST_TEST(second.tail_target.count() == 18000);
    for (const char* bad : {"", "[]", "{}", R"({"steps":[{"count":"x"}]})", R"({"steps":3})"}) {
        request.body = bad;
        const auto refused = read_request(request, steps_most);
        BOOST_REQUIRE(refused.has_value());
        BOOST_TEST(!refused->spec.has_value());
        BOOST_TEST(!refused->problem.empty());
    }
}

BOOST_AUTO_TEST_CASE(answers_to_callers_say_when_to_retry)
{
    caller_answer answer;
    answer.result = caller_result::rejected;
    answer.retry_delay = std::chrono::milliseconds(1200);
    const http_response response = make_response(answer);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(find_field(response.headers, "Retry-After") == "2");
    answer.result = caller_result::outcome_unknown;
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
    const auto list = worker_list_reader().read({row, garbled});
    BOOST_REQUIRE(list.workers.size() == 1);
    BOOST_TEST(list.workers.front().draining);
    BOOST_TEST(list.workers.front().rack.str() == "r1-3");
    BOOST_TEST(list.workers.front().room.cpu_millis == 16000);
    BOOST_TEST(list.workers.front().born.value() == 0);
    BOOST_TEST(list.unusable.size() == 1);
}

BOOST_AUTO_TEST_CASE(an_entry_in_the_list_of_workers_tells_the_birth)
{
    store_row row;
    row.key.key = "i-1";
    row.value = R"({"service":"s","address":"10.0.0.1:8","zone":"z","state":"ready","born":1796356800123,
                    "room":{"cpu":16000,"mem-mb":100},"labels":["a","r1-3"]})";
    const auto list = worker_list_reader().read({row});
    BOOST_REQUIRE(list.workers.size() == 1);
    BOOST_TEST(list.workers.front().born.value() == 1796356800123);
}

BOOST_AUTO_TEST_CASE(an_invalid_worker_entry_is_reported_and_the_others_are_used)
{
    // Each invalid entry is between two valid ones in a page of the table: both valid ones are read, and the invalid
    // one is reported with its reason.
    const json good = json::parse(
        R"({"service":"s","address":"10.0.0.1:8","zone":"z","state":"ready","room":{"cpu":16000,"mem-mb":100,"gpus":0},
            "labels":["a","r1-3"],"version":"v1","capacity":8,"cold-remaining-ms":0,"sequence":4})");
    const auto with = [&good](const char* path, const json& value) {
        json entry = good;
        entry[json::json_pointer(path)] = value;
        return entry.dump();
    };
    const auto without = [&good](const char* name) {
        json entry = good;
        entry.erase(name);
        return entry.dump();
    };
    struct bad_entry {
        const char* what;
        std::string value; // as stored, before base64
        std::string reason;
    };
    const std::vector<bad_entry> table{
        {"nothing", "", "not a JSON object"},
        {"no JSON", "nonsense", "not a JSON object"},
        {"cut off", good.dump().substr(0, 40), "not a JSON object"},
        {"no object", "[1,2]", "not a JSON object"},
        {"null", "null", "not a JSON object"},
        {"a text", "\"ready\"", "not a JSON object"},
        {"no UTF-8", "{\"service\":\"\xff\xfe\"}", "not a JSON object"},
        {"zero bytes", std::string(40, '\0'), "not a JSON object"},
        {"deep", std::string(60000, '['), "not a JSON object"},
        {"deep and closed", std::string(30000, '[') + std::string(30000, ']'), "not a JSON object"},
        {"a number beyond all", R"({"room":{"cpu":1e999}})", "not a JSON object"},
        {"an empty object", "{}", "address is not IP:port"},
        {"address missing", without("address"), "address is not IP:port"},
        {"address a number", with("/address", 8080), "address is not IP:port"},
        {"address a host", with("/address", "host:80"), "address is not IP:port"},
        {"address without port", with("/address", "10.0.0.1"), "address is not IP:port"},
        {"address with port 0", with("/address", "10.0.0.1:0"), "address is not IP:port"},
        {"address with port 00", with("/address", "10.0.0.1:00"), "address is not IP:port"},
        {"address with a port beyond 16 bits", with("/address", "10.0.0.1:65536"), "address is not IP:port"},
        {"address with a negative port", with("/address", "10.0.0.1:-8"), "address is not IP:port"},
        {"address with a port of many digits", with("/address", "10.0.0.1:99999999999999999999"),
         "address is not IP:port"},
        {"address with a line end", with("/address", "10.0.0.1:8\r\nX: 1"), "address is not IP:port"},
        {"zone missing", without("zone"), "zone is missing or no text"},
        {"zone empty", with("/zone", ""), "zone is missing or no text"},
        {"zone null", with("/zone", nullptr), "zone is missing or no text"},
        {"service missing", without("service"), "service is missing or no text"},
        {"service a list", with("/service", json::array({"s"})), "service is missing or no text"},
        {"state missing", without("state"), "state is missing or unknown"},
        {"state unknown", with("/state", "warming"), "state is missing or unknown"},
        {"state a flag", with("/state", true), "state is missing or unknown"},
        {"room missing", without("room"), "room is missing or no amounts"},
        {"room a number", with("/room", 16000), "room is missing or no amounts"},
        {"processors a text", with("/room/cpu", "16000"), "room is missing or no amounts"},
        {"processors negative", with("/room/cpu", -1), "room is missing or no amounts"},
        {"processors none", with("/room/cpu", 0), "room is missing or no amounts"},
        {"processors huge", with("/room/cpu", 1e300), "room is missing or no amounts"},
        {"processors of a million machines", with("/room/cpu", 9223372036854775807LL), "room is missing or no amounts"},
        {"more processors than a machine has", with("/room/cpu", 10'000'001), "room is missing or no amounts"},
        {"memory of a million machines", with("/room/mem-mb", 9223372036854775807LL), "room is missing or no amounts"},
        {"accelerators of a million machines", with("/room/gpus", 2147483647), "room is missing or no amounts"},
        {"memory beyond 63 bits", with("/room/mem-mb", 18446744073709551615ULL), "room is missing or no amounts"},
        {"accelerators beyond 32 bits", with("/room/gpus", 4294967296), "room is missing or no amounts"},
        {"accelerators a text", with("/room/gpus", "2"), "room is missing or no amounts"},
        {"birth a text", with("/born", "1796356800123"), "born is no whole number above 0"},
        {"birth zero", with("/born", 0), "born is no whole number above 0"},
        {"birth negative", with("/born", -1796356800123), "born is no whole number above 0"},
        {"birth with a fraction", with("/born", 1796356800123.5), "born is no whole number above 0"},
        {"birth null", with("/born", nullptr), "born is no whole number above 0"},
        {"labels missing", without("labels"), "labels are missing or no texts"},
        {"labels empty", with("/labels", json::array()), "labels are missing or no texts"},
        {"labels a text", with("/labels", "a"), "labels are missing or no texts"},
        {"labels with a number", with("/labels", json::array({"a", 3})), "labels are missing or no texts"}};
    const auto row_of = [](const std::string& key, const std::string& value) {
        return json{{"table", workers_table}, {"part", ""}, {"key", key}, {"value", value}, {"schema-version", 5}};
    };
    for (const bad_entry& bad : table) {
        BOOST_TEST_CONTEXT(bad.what)
        {
            const json page{
                {"rows",
                 {row_of("i-1", absl::Base64Escape(good.dump())), row_of("i-2", absl::Base64Escape(bad.value)),
                  row_of("i-3", absl::Base64Escape(good.dump()))}}};
            const flow_worker_list list = worker_list_reader().read(read_page(answered(200, page.dump())).rows);
            BOOST_TEST(list.workers.size() == 2);
            BOOST_REQUIRE(list.unusable.size() == 1);
            BOOST_TEST(list.unusable.front().worker.str() == "i-2");
            BOOST_TEST(list.unusable.front().reason == bad.reason);
        }
    }
    // Rows that are malformed as such: a value that is not base64 or not a string, a name that is not allowed in an
    // HTTP header.
    json odd{{"rows",
              {row_of("i-1", absl::Base64Escape(good.dump())), row_of("i-2", "%%%"), row_of("i-3", ""),
               row_of("i\r\nX: 4", absl::Base64Escape(good.dump())), row_of("", absl::Base64Escape(good.dump()))}}};
    odd["rows"][2]["value"] = 17;
    odd["rows"][2]["schema-version"] = "new";
    const flow_worker_list list = worker_list_reader().read(read_page(answered(200, odd.dump())).rows);
    BOOST_TEST(list.workers.size() == 1);
    BOOST_TEST(list.unusable.size() == 4);
}

// Guards against a process that ends, or loses the list, because one entry of the list of workers is deeply nested.
BOOST_AUTO_TEST_CASE(a_deeply_nested_worker_entry_does_not_harm_the_others)
{
    const std::string deep = nested("[") + nested("]");
    const std::string good = R"("service":"s","address":"10.0.0.1:8","zone":"z","state":"ready","labels":["a","r1-3"])";
    store_row row;
    row.key.key = "i-1";
    row.value = fmt::format(R"({{{},"room":{{"cpu":16000,"mem-mb":100}}}})", good);
    for (const char* name : {"room", "labels", "address", "born", "state"}) {
        store_row odd;
        odd.key.key = "i-2";
        odd.value = fmt::format(R"({{{},"{}":{}}})", good, name, deep);
        const auto list = worker_list_reader().read({odd, row});
        BOOST_TEST(list.workers.size() == 1);
        BOOST_TEST(list.unusable.size() == 1);
    }
    row.value = fmt::format(R"({{{},"room":{{"cpu":16000,"mem-mb":100}},"unread":{}}})", good, deep);
    BOOST_TEST(worker_list_reader().read({row}).workers.size() == 1);
}

BOOST_AUTO_TEST_CASE(an_unreadable_page_is_not_an_empty_page)
{
    // If an unreadable page were taken for an empty one, all jobs and workers would seem to be gone.
    for (const char* body : {"", "nonsense", "[]", R"({"rows":7})", R"({"rows":[7]})"}) {
        BOOST_TEST(!read_page(answered(200, body)).reached);
    }
    BOOST_TEST(read_page(answered(200, R"({"rows":[],"schema-version":3})")).reached);
    BOOST_TEST(read_page(answered(200, R"({"schema-version":3})")).reached);
    const store_page odd = read_page(answered(200, R"({"rows":[],"schema-version":1e300,"has-more":"yes"})"));
    BOOST_TEST(odd.version.value() == 0);
    BOOST_TEST(!odd.more);
    BOOST_TEST((read_commit(answered(200, "{}")).outcome == table_outcome::unknown));
    BOOST_TEST((read_commit(answered(200, R"({"schema-version":"x"})")).outcome == table_outcome::unknown));
    BOOST_TEST((read_commit(answered(412, R"({"rows":[{"key":7}]})")).outcome == table_outcome::conflict));
}

BOOST_AUTO_TEST_CASE(answers_of_workers_with_fields_of_a_wrong_type_are_rejected)
{
    const worker_order hold = hold_worker{};
    for (const char* body :
         {R"({"running":[["00000000000000aa.0.1.17","2","cp"]],"finished":[]})",
          R"({"running":[["00000000000000aa.0.1.17",1e300,"cp"]],"finished":[]})",
          R"({"running":[["00000000000000aa.0.1.17",-2,"cp"]],"finished":[]})", R"({"running":{"a":1},"finished":[]})",
          R"({"running":[],"finished":[[58,"00000000000000aa.0.1.9",1]]})",
          R"({"running":[],"finished":[[58,7,1,"done"]]})",
          R"({"running":[],"finished":[[18446744073709551615,"00000000000000aa.0.1.9",1,"done",""]]})",
          R"({"running":[],"finished":["done"]})", R"({"running":"none","finished":[]})"}) {
        BOOST_TEST_CONTEXT(body)
        {
            const order_answer answer = read_answer(hold, answered(200, body));
            BOOST_TEST((answer.result == order_result::no_answer));
            BOOST_TEST(!answer.reason.empty());
            BOOST_TEST(answer.running.empty());
        }
    }
    for (const char* clock : {R"("soon")", "-1", "1e300", "18446744073709551615", "null", "[]"}) {
        const order_answer answer =
            read_answer(start_run{}, answered(200, std::string(R"({"clock-ms":)") + clock + "}"));
        BOOST_TEST((answer.result == order_result::accepted));
        BOOST_TEST(!answer.clock.has_value());
    }
    BOOST_TEST((read_answer(start_run{}, answered(409, R"({"reason":7})")).result == order_result::stale_run));
    BOOST_TEST((read_answer(start_run{}, answered(409, "[]")).result == order_result::stale_run));
}

BOOST_AUTO_TEST_CASE(a_submission_with_invalid_fields_or_numbers_out_of_range_is_refused)
{
    http_request request;
    request.method = "POST";
    request.path = "/q/00000000000000aa";
    for (const char* bad :
         {R"({"steps":[7]})", R"({"steps":[{"cpu":-1}]})", R"({"steps":[{"cpu":1e300}]})",
          R"({"steps":[{"count":4294967297}]})", R"({"steps":[{"estimated-ms":9223372036854775807}]})",
          R"({"steps":[{}],"start-at-ms":18446744073709551615})", R"({"steps":[{"after":[4294967296]}]})",
          R"({"steps":[{"after":7}]})", R"({"steps":[{"gang":"yes"}]})", R"({"steps":[{}],"repeat-count":-3})"}) {
        BOOST_TEST_CONTEXT(bad)
        {
            request.body = bad;
            const auto refused = read_request(request, steps_most);
            BOOST_REQUIRE(refused.has_value());
            BOOST_TEST(!refused->spec.has_value());
            BOOST_TEST(!refused->problem.empty());
        }
    }
}

// Guards against a process that ends because a caller sends deeply nested brackets, which overflow the stack.
BOOST_AUTO_TEST_CASE(a_deeply_nested_submission_is_refused)
{
    http_request request;
    request.method = "POST";
    request.path = "/q/00000000000000aa";
    const auto send = [&request](const std::string& field, const std::string& open, const std::string& close) {
        request.body = fmt::format(R"({{"steps":[{{"{}":{}1{}}}]}})", field, nested(open), nested(close));
        return read_request(request, steps_most);
    };
    for (const auto& [open, close] : {std::pair("[", "]"), std::pair("{\"a\":", "}")}) {
        for (const char* field : {"after", "count", "cpu", "estimated-ms", "gang", "requirements"}) {
            const auto refused = send(field, open, close);
            BOOST_REQUIRE(refused.has_value());
            BOOST_TEST(!refused->spec.has_value());
            BOOST_TEST(!refused->problem.empty());
        }
        BOOST_TEST(send("unread", open, close)->spec.has_value());
    }
}

// Guards against a job that is a hundred times as large in memory as its body.
BOOST_AUTO_TEST_CASE(a_submission_of_too_many_steps_is_refused_before_it_is_read)
{
    http_request request;
    request.method = "POST";
    request.path = "/q/00000000000000aa";
    const auto send = [&request](std::size_t steps) {
        request.body = R"({"more":[{},{}],"steps":[)";
        for (std::size_t i = 1; i < steps; ++i) {
            request.body += R"({"unread":{}},)";
        }
        request.body += "{}]}";
        return read_request(request, steps_most);
    };
    BOOST_TEST(send(steps_most)->spec.has_value());
    BOOST_TEST(!send(steps_most + 1)->spec.has_value());
    BOOST_TEST(send(steps_most + 1)->problem == "a job has 1000 steps at most");
}

// Guards against answers as long as the body that they quote.
BOOST_AUTO_TEST_CASE(the_reason_of_a_refusal_is_short)
{
    http_request request;
    request.method = "POST";
    request.path = "/q/00000000000000aa";
    request.body = R"({"spec":")" + std::string(200'000, 'x') + "\xff";
    BOOST_TEST(read_request(request, steps_most)->problem.size() <= 200U);
}

// Guards against a time that overflows.
BOOST_AUTO_TEST_CASE(a_caller_that_waits_for_ever_is_understood)
{
    http_request request;
    request.method = "GET";
    request.headers = {{"x-deadline", "9223372036854775807"}};
    BOOST_TEST((read_request(request, steps_most)->request_timeout > std::chrono::hours(1)));
}

// Guards against a process that ends because the operator's configuration has a deeply nested field.
BOOST_AUTO_TEST_CASE(a_configuration_with_a_deeply_nested_field_is_read)
{
    const auto config = read_config(fmt::format(
        R"({{"version":7,"routes":[{{"name":"q","host":"h","path-prefix":"/q/","service":"s","unread":{}1{}}}]}})",
        nested("["), nested("]")));
    BOOST_REQUIRE(config.has_value());
    BOOST_TEST(config->queues.size() == 1);
    BOOST_TEST(!read_config(R"({"version":7,"routes":7})").has_value());
}

BOOST_AUTO_TEST_CASE(a_body_that_is_not_utf8_is_refused_with_an_answer)
{
    // The reason quotes the body. If the quote made it impossible to encode the answer, the process would terminate.
    http_request request;
    request.method = "POST";
    request.path = "/q/00000000000000aa";
    request.body = "{\"spec\":\"\xff\xfe\"}";
    const auto refused = read_request(request, steps_most);
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(!refused->spec.has_value());
    caller_answer answer;
    answer.result = caller_result::invalid;
    answer.reason = refused->problem;
    const http_response response = make_response(answer);
    BOOST_TEST(response.status == 400);
    BOOST_TEST(json::parse(response.body, nullptr, false).is_object());
}

BOOST_AUTO_TEST_CASE(damaged_job_rows_are_refused_with_a_reason)
{
    flow_spec spec;
    spec.payload = "payload";
    spec.steps.resize(3);
    const std::string whole = encode_compact(make_job_row(spec));
    BOOST_REQUIRE(decode_compact<wire::flow_job_row>(whole).has_value());
    for (std::size_t at = 0; at < whole.size(); ++at) {
        for (int bit = 0; bit < 8; ++bit) {
            std::string damaged = whole;
            damaged[at] = static_cast<char>(damaged[at] ^ (1 << bit));
            std::string reason;
            const auto row = decode_compact<wire::flow_job_row>(damaged, &reason);
            BOOST_TEST((row.has_value() || !reason.empty())); // a flipped bit may also result in a valid row
        }
    }
    std::string reason;
    BOOST_TEST(!decode_compact<wire::flow_job_row>("", &reason).has_value());
    BOOST_TEST(!reason.empty());
}

BOOST_AUTO_TEST_CASE(a_worker_whose_row_has_changed_is_read_again)
{
    // Rows with a known version are not parsed again. A worker that starts to drain writes a new version of its row: if
    // the cached version were used, tasks would be sent to the worker until it is gone.
    store_row row;
    row.key.key = "w@1";
    row.version = row_version(7);
    const json ready = json::parse(
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","room":{"cpu":16000,"mem-mb":100,"gpus":0},
            "labels":["a","r1-3"]})");
    row.value = ready.dump();
    worker_list_reader reader;
    BOOST_TEST(!reader.read({row}).workers.at(0).draining);
    BOOST_TEST(reader.read({row}).workers.at(0).address.str() == "10.0.0.1:80");
    json draining = ready;
    draining["state"] = "draining";
    row.value = draining.dump();
    row.version = row_version(8);
    BOOST_TEST(reader.read({row}).workers.at(0).draining);
    BOOST_TEST(reader.read({}).workers.empty());
}

// Guards against taking one answer to a watch for all changes: it does not say whether further ones follow.
BOOST_AUTO_TEST_CASE(an_answer_that_shows_changes_may_be_followed_by_others)
{
    const char* const changed = R"({"rows":[{"table":"op","key":"wave/1","value":"YQ==","schema-version":3}],)"
                                R"("schema-version":3})";
    const char* const unchanged = R"({"rows":[],"schema-version":9})";
    BOOST_TEST(read_feed(answered(200, changed)).more);
    BOOST_TEST(!read_feed(answered(200, unchanged)).more);
    BOOST_TEST(!read_feed(answered(410, "")).more);
    BOOST_TEST(!read_page(answered(200, changed)).more);
    BOOST_TEST(read_operator_page(read_feed(answered(200, changed))).more);
    BOOST_TEST(!read_operator_page(read_feed(answered(200, unchanged))).more);
}

namespace {

store_row operator_row(const std::string& key, const std::string& value, std::int64_t version, bool removed = false)
{
    return {{operator_table, "", key}, value, row_version(version), removed};
}

} // namespace

// Guards against evacuations that are missed because of other rows of the operator, whether these can be read or not.
BOOST_AUTO_TEST_CASE(evacuations_are_read_beside_any_other_row)
{
    store_page page;
    page.reached = true;
    page.version = row_version(20);
    page.rows = {operator_row("evacuate", "{}", 2),         operator_row("evacuate/", "{}", 3),
                 operator_row("evacuate/a", "{}", 4),       operator_row("evacuate/b", "not JSON", 5),
                 operator_row("evacuate/c", "", 6, true),   operator_row("evacuated/d", "{}", 7),
                 operator_row("wave/1", R"({"wave":1})", 8)};
    const operator_update changes = read_operator_page(page);
    BOOST_TEST(!changes.evacuations.whole);
    BOOST_REQUIRE_EQUAL(changes.evacuations.evacuations.size(), 3U);
    BOOST_TEST(changes.evacuations.evacuations[0].data_centre.str() == "a");
    BOOST_TEST(changes.evacuations.evacuations[1].evacuated);
    BOOST_TEST(changes.evacuations.evacuations[2].data_centre.str() == "c");
    BOOST_TEST(!changes.evacuations.evacuations[2].evacuated);
    BOOST_TEST(read_operator_state(page).evacuations.whole);
    const store_range range = operator_range();
    BOOST_TEST((range.from <= "config" && std::string("evacuate/zzz") < range.to));
}

// Guards against taking an unreadable configuration for an unchanged one.
BOOST_AUTO_TEST_CASE(an_unreadable_configuration_is_not_an_unchanged_one)
{
    store_page page;
    page.reached = true;
    page.version = row_version(7);
    BOOST_TEST(!read_operator_page(page).config_unreadable);
    page.rows = {operator_row("config", "{}", 7)};
    const operator_update unreadable = read_operator_page(page);
    BOOST_TEST(!unreadable.config.has_value());
    BOOST_TEST(unreadable.config_unreadable);
    page.rows = {operator_row("config", R"({"version":3})", 7)};
    const operator_update readable = read_operator_page(page);
    BOOST_TEST(readable.config.has_value());
    BOOST_TEST(!readable.config_unreadable);
}

// Guards against changes that are skipped because an answer that was cut counts as complete up to the newest version.
BOOST_AUTO_TEST_CASE(an_answer_that_was_cut_is_complete_up_to_its_last_row)
{
    store_page page;
    page.reached = true;
    page.version = row_version(20);
    page.more = true;
    page.rows = {operator_row("evacuate/a", "{}", 4)};
    BOOST_TEST(read_operator_page(page).version == row_version(4));
    page.more = false;
    BOOST_TEST(read_operator_page(page).version == row_version(20));
}

BOOST_AUTO_TEST_CASE(a_page_is_read_completely_or_not_at_all)
{
    // If the rows of a truncated page were taken for all rows, every worker after the truncation would seem to be gone.
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
