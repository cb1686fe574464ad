// What an entry's interface for jobs and requests answers while it does not know: just started, owners not heard of.
#include <boost/test/unit_test.hpp>

#include <absl/synchronization/notification.h>

#include <thread>

#include "daemon_answers_p.h"
#include "daemon_clock_p.h"
#include "daemon_jobs_p.h"
#include "daemon_requests_p.h"
#include "job_view_p.h"
#include "platform_service_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"
#include "settings_token_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const team_id team("t");
const std::string team_token = "the team's own";

http_request with_token(const std::string& token, const std::string& body = {})
{
    http_request request;
    request.headers = {{"authorization", "Bearer " + token}, {"operation-key", "k1"}};
    request.body = body;
    return request;
}

wire::settings_row team_settings()
{
    wire::settings_row row;
    row.__set_path("team/t");
    row.__set_version(1);
    row.__set_document(R"({"token_sha256": ")" + hash_token(team_token) + R"(", "kinds": {"crawl": {}}})");
    return row;
}

// One entry's interface for jobs over a table in this process. It has workers listed, and neither read any settings nor
// heard of any cell; other entries answer what `others` says.
struct entry_hand {
    explicit entry_hand(const std::string& name = "e1@1") : self(name)
    {
        std::string reason;
        service = standin::platform_service::start({}, &reason);
        BOOST_REQUIRE_MESSAGE(service, reason);
        platform = std::make_unique<platform_client>(
            http, platform_client::options{.address = service->address(), .timeout = 10s});
        settings = std::make_shared<settings_keeper>(*platform, [](const wire::settings_push&) {});
        cells = std::make_unique<cell_registry>(data_centre_id("b"), self, cell_settings{},
                                                cell_edges{*platform, http, pool, [](auto, auto, auto) {}});
        standing = std::make_shared<standing_runner>(
            self, standing_edges{*platform, [this] { return cells->rooms(); },
                                 [this] { return std::vector<incarnation_id>{self}; }, [](const auto&) {},
                                 [](const auto&, bool, std::int64_t) {}});
        jobs = std::make_unique<job_api>(job_edges{
            *platform, *cells, *settings, *standing, data_centre_id("b"), [](const cell_id&) {},
            [this](const std::string&, const std::function<void(std::vector<gathered_part>)>& done) { done(others); }});
        router = std::make_unique<api_router>(jobs->routes());
    }

    // Workers of two racks of one data centre, the same room in each.
    void list_two_cells() const
    {
        std::vector<listed_instance> list;
        for (const char* rack : {"r1", "r2"}) {
            listed_instance worker;
            worker.id = std::string("w-") + rack;
            worker.data_centre = data_centre_id("a");
            worker.rack = rack_id(rack);
            worker.address = net_address("127.0.0.1:1");
            worker.capacity = {8000, 16000, 0};
            list.push_back(worker);
        }
        cells->see_instances(list);
    }
    void hear_of(const std::string& cell, const std::string& owner, std::int64_t cpu_free) const
    {
        wire::resources_row free;
        free.__set_cpu_millis(cpu_free);
        free.__set_memory_mib(16000);
        wire::cell_news news;
        news.summary.__set_cell(cell);
        news.summary.__set_owner(owner);
        news.summary.__set_epoch(1);
        news.summary.__set_free(free);
        news.summary.__set_stamp(1);
        cells->see_news(news);
    }
    void answered_by(const std::string& who, std::optional<std::string> text)
    {
        member from;
        from.incarnation = incarnation_id(who);
        others.push_back({from, std::move(text), ""});
    }

    // Asks until the table has answered, however slow the machine is.
    void read_settings() const
    {
        while (!settings->tree()) {
            settings->poll();
            std::this_thread::sleep_for(20ms);
        }
    }
    // The settings of the team, as an operator's change leaves them in the table.
    void write_settings() const
    {
        wire::settings_versions_row versions;
        versions.__set_version(1);
        versions.__set_subtrees({{"team/t", 1}});
        write(
            {operation_id("set"),
             {},
             {{settings_key("team/t"), encode_row(team_settings())}, {settings_versions_key(), encode_row(versions)}}});
    }

    http_response call(const std::string& method, const std::string& path, http_request request = {}) const
    {
        http_response answer;
        absl::Notification done;
        request.method = method;
        request.path = path;
        router->serve(std::move(request), [&](http_response r) {
            answer = std::move(r);
            done.Notify();
        });
        done.WaitForNotification();
        return answer;
    }
    void write(table_transaction transaction) const
    {
        absl::Notification done;
        table_outcome outcome = table_outcome::unknown;
        platform->commit(table_traffic::work, std::move(transaction), [&](const table_result& result) {
            outcome = result.outcome;
            done.Notify();
        });
        done.WaitForNotification();
        BOOST_REQUIRE((outcome == table_outcome::applied));
    }
    std::size_t rows_below(const std::string& prefix) const
    {
        absl::Notification done;
        std::size_t rows = 0;
        platform->scan(table_traffic::work, prefix, [&](const table_scan_result& result) {
            rows = result.rows.size();
            done.Notify();
        });
        done.WaitForNotification();
        return rows;
    }
    // A job of two tasks in each of two cells, accepted; where `taken`, the cell's owner has made its row.
    job_id accept(bool taken_by_both, std::int64_t ended_ms) const
    {
        job_id job = derive_job_id(team, operation_id("k"));
        const std::vector<cell_part> parts{{cell_id("a.r1"), 0, 2}, {cell_id("a.r2"), 2, 2}};
        write(accept_job(job, spec(), parts, read_wall_clock()));
        for (const cell_part& part : parts) {
            if (taken_by_both || part.first_task == 0) {
                const std::string key = job_key(part.cell, job);
                write({operation_id("take-" + part.cell.str()), {}, {{key, encode_row(part_row(part, ended_ms))}}});
            }
        }
        return job;
    }
    static job_spec spec()
    {
        job_spec s;
        s.team = team;
        s.name = "n";
        s.kind = kind_id("crawl");
        s.declared = {1000, 100, 0};
        s.task_count = 4;
        return s;
    }
    static wire::job_row part_row(const cell_part& part, std::int64_t ended_ms)
    {
        wire::job_row row;
        row.__set_job(derive_job_id(team, operation_id("k")).str());
        row.__set_spec(to_row(spec()));
        row.__set_first_task(part.first_task);
        row.__set_task_total(part.task_total);
        row.__set_accepted_ms(1);
        row.__set_ended_ms(ended_ms);
        return row;
    }

    incarnation_id self;
    std::vector<gathered_part> others;
    work_pool pool{1};
    http_client http;
    std::unique_ptr<standin::platform_service> service;
    std::unique_ptr<platform_client> platform;
    std::shared_ptr<settings_keeper> settings;
    std::unique_ptr<cell_registry> cells;
    std::shared_ptr<standing_runner> standing;
    std::unique_ptr<job_api> jobs;
    std::unique_ptr<api_router> router;
};

bool names(const json& list, const std::string& text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

// A cell whose owner is handing it over, or has lost it, tells nothing, and yet is not among those that are missing.
BOOST_AUTO_TEST_CASE(the_list_names_a_cell_that_told_nothing)
{
    const entry_hand former("e2@1");
    entry_hand asked;
    asked.list_two_cells();
    asked.hear_of("a.r1", "e2@1", 8000);
    asked.answered_by("e2@1", former.jobs->own_parts("jobs/"));
    const json answer = json::parse(asked.call("GET", "/v1/jobs").body);
    BOOST_TEST(names(answer["missing"], "a.r2"));
    BOOST_TEST(names(answer["missing"], "a.r1"));
}

// A job is listed as ended when the parts that were heard of have, while others wait in cells that did not answer.
BOOST_AUTO_TEST_CASE(a_job_is_not_listed_as_ended_while_a_part_is_not_heard_of)
{
    entry_hand asked;
    asked.list_two_cells();
    asked.answered_by("e2@1", format_parts({{"a.r1", entry_hand::part_row({cell_id("a.r1"), 0, 2}, 5000), 0}}));
    const json answer = json::parse(asked.call("GET", "/v1/jobs").body);
    BOOST_REQUIRE(answer["jobs"].size() == 1);
    BOOST_TEST(names(answer["missing"], "a.r2"));
    BOOST_TEST(answer["jobs"][0]["ended_ms"].get<std::int64_t>() == 0);
}

// A job is shown as ended when one cell's part has, while another cell has not taken its part in yet.
BOOST_AUTO_TEST_CASE(a_job_is_not_shown_as_ended_while_a_part_is_not_taken_in)
{
    const entry_hand asked;
    const job_id job = asked.accept(false, 5000);
    const http_response answer = asked.call("GET", "/v1/jobs/" + job.str());
    BOOST_REQUIRE(answer.status == 200);
    const json shown = json::parse(answer.body);
    BOOST_TEST(shown["ended_ms"].get<std::int64_t>() == 0);
    BOOST_TEST(shown["cells"].size() == 2);
    BOOST_TEST(shown["queued"].get<int>() + shown["running"].get<int>() >= 2);
}

// All tasks of a job are shown as waiting, without a word of doubt, when the owners that know what runs do not answer.
BOOST_AUTO_TEST_CASE(what_runs_is_not_shown_as_waiting_when_its_owner_does_not_answer)
{
    entry_hand asked;
    asked.list_two_cells();
    const job_id job = asked.accept(true, 0);
    asked.answered_by("e2@1", std::nullopt);
    const http_response answer = asked.call("GET", "/v1/jobs/" + job.str());
    const json shown = json::parse(answer.body);
    const bool waits = answer.status == 200 && shown["running"] == 0 && shown["queued"] == 4;
    BOOST_TEST((!waits || shown.contains("missing")));
}

// A token that the settings refuse may cancel a team's jobs at an entry that has not read the settings yet.
BOOST_AUTO_TEST_CASE(an_entry_without_settings_lets_nobody_cancel)
{
    const entry_hand asked;
    asked.write_settings();
    const job_id job = asked.accept(true, 0);
    const std::size_t inbox_before = asked.rows_below(inbox_prefix(cell_id("a.r1")));
    const http_response early = asked.call("DELETE", "/v1/jobs/" + job.str(), with_token("somebody else's"));
    BOOST_TEST(early.status == 503);
    BOOST_TEST(!find_field(early.headers, "Retry-After-Ms").empty());
    BOOST_TEST(asked.rows_below(inbox_prefix(cell_id("a.r1"))) == inbox_before);
    asked.read_settings();
    BOOST_REQUIRE(asked.settings->version().value() == 1);
    const http_response late = asked.call("DELETE", "/v1/jobs/" + job.str(), with_token("somebody else's"));
    BOOST_TEST(late.status == 403);
}

// A right submission is refused for good, as of an unknown kind, at an entry that has not read the settings yet.
BOOST_AUTO_TEST_CASE(an_entry_without_settings_refuses_no_kind_for_good)
{
    const entry_hand asked;
    asked.list_two_cells();
    const std::string body = R"({"team": "t", "name": "n", "kind": "crawl", "task_count": 1,
        "declared": {"cpu_millis": 1000, "memory_mib": 100}})";
    const http_response answer = asked.call("POST", "/v1/jobs", with_token(team_token, body));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!find_field(answer.headers, "Retry-After-Ms").empty());
}

// What a peer holds that has read no settings itself passes for settings.
BOOST_AUTO_TEST_CASE(an_empty_push_of_a_peer_is_not_the_settings)
{
    const entry_hand asked;
    const entry_hand other("e2@1");
    asked.settings->take_push(other.settings->newer_than(0));
    BOOST_TEST(!asked.settings->tree());
}

// A peer's settings count only when they are whole: those after a version that this entry never had leave others out.
BOOST_AUTO_TEST_CASE(settings_of_a_peer_count_once_they_are_whole)
{
    const entry_hand asked;
    wire::settings_push push;
    push.__set_version(3);
    push.__set_newer_than(2);
    asked.settings->take_push(push);
    BOOST_TEST(!asked.settings->tree());
    push.__set_newer_than(0);
    push.__set_subtrees({team_settings()});
    asked.settings->take_push(push);
    BOOST_TEST(asked.settings->tree().has_value());
}

// A site before its first settings waits for ever, as a table that was read and has none passes for one not read.
BOOST_AUTO_TEST_CASE(an_empty_table_that_was_read_is_known)
{
    const entry_hand asked;
    asked.list_two_cells();
    asked.read_settings();
    const std::string body = R"({"team": "t", "name": "n", "kind": "crawl", "task_count": 1,
        "declared": {"cpu_millis": 1000, "memory_mib": 100}})";
    BOOST_TEST(asked.call("POST", "/v1/jobs", with_token("any", body)).status == 422);
    const job_id job = asked.accept(true, 0);
    BOOST_TEST(asked.call("DELETE", "/v1/jobs/" + job.str(), with_token("any")).status == 202);
}

// Says that there is no standing work before its first look at the table.
BOOST_AUTO_TEST_CASE(standing_work_is_not_said_to_be_none_before_it_was_read)
{
    const entry_hand asked;
    const http_response answer = asked.call("GET", "/v1/standing");
    const bool none = answer.status == 200 && json::parse(answer.body)["standing"].empty();
    BOOST_TEST(!none);
}

// Guards against a process that ends because anybody sends standing work with deeply nested brackets.
BOOST_AUTO_TEST_CASE(deeply_nested_standing_work_is_refused)
{
    constexpr std::size_t depth = 400'000;
    const entry_hand asked;
    const std::string body =
        R"({"period_ms":60000,"job":{"kind":)" + std::string(depth, '[') + std::string(depth, ']') + "}}";
    BOOST_TEST(asked.call("PUT", "/v1/standing/t/n", with_token("any", body)).status == 400);
}

// Says of a service that it does not exist before any owner has told what it runs.
BOOST_AUTO_TEST_CASE(a_service_not_heard_of_is_not_said_to_be_unknown)
{
    entry_hand asked;
    claim_store claims(*asked.platform, asked.self, [](const incarnation_id&) { return true; });
    request_router requests(
        data_centre_id("b"), asked.self,
        {asked.http, claims, [](const service_id&) { return service_rules{}; }, [](const request_record&) {}});
    int status = 0;
    requests.serve(service_id("t/pages"), {}, [&](const http_response& r) { status = r.status; });
    BOOST_TEST(status != 404);
}

// Says of a service that it does not exist before the settings were read, or although they name it.
BOOST_AUTO_TEST_CASE(a_service_is_not_said_to_be_unknown_against_the_settings)
{
    entry_hand asked;
    claim_store claims(*asked.platform, asked.self, [](const incarnation_id&) { return true; });
    std::optional<service_rules> rules;
    request_router requests(
        data_centre_id("b"), asked.self,
        {asked.http, claims, [&](const service_id&) { return rules; }, [](const request_record&) {}});
    http_response answer;
    const auto ask = [&] {
        requests.serve(service_id("t/pages"), {}, [&](http_response r) { answer = std::move(r); });
    };
    ask();
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!find_field(answer.headers, "Retry-After-Ms").empty());
    rules = service_rules{.kind = {}, .gate = {}, .named = true};
    ask();
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!find_field(answer.headers, "Retry-After-Ms").empty());
}

// A request to a service that has targets is judged by a kind that nobody has read.
BOOST_AUTO_TEST_CASE(a_request_waits_for_the_kind_of_its_service)
{
    entry_hand asked;
    claim_store claims(*asked.platform, asked.self, [](const incarnation_id&) { return true; });
    std::optional<service_rules> rules;
    request_router requests(
        data_centre_id("b"), asked.self,
        {asked.http, claims, [&](const service_id&) { return rules; }, [](const request_record&) {}});
    requests.see_services({service_id("t/pages")});
    http_request large;
    large.body = "more than the settings allow";
    std::vector<int> statuses;
    const auto ask = [&] {
        requests.serve(service_id("t/pages"), large, [&](const http_response& r) { statuses.push_back(r.status); });
    };
    ask();
    rules.emplace();
    rules->gate.body_bytes_most = 1;
    requests.refresh_settings();
    ask();
    BOOST_TEST((statuses == std::vector<int>{503, 413}));
}

// A cell that nobody has told anything of is taken for empty, and gets the job before one with room that is known.
BOOST_AUTO_TEST_CASE(a_cell_not_heard_of_is_not_taken_for_empty)
{
    const entry_hand asked;
    asked.list_two_cells();
    asked.hear_of("a.r1", "e2@1", 6000);
    std::vector<field_error> errors;
    const auto parts = split_job(entry_hand::spec(), asked.cells->rooms(), 1, &errors);
    BOOST_REQUIRE(parts.size() == 1);
    BOOST_TEST(parts[0].cell.str() == "a.r1");
}
