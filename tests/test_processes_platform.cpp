// The platform's faults, planned stops and operators' races, against real processes on loopback.
#include <boost/test/unit_test.hpp>

#include <signal.h>

#include <algorithm>
#include <set>
#include <thread>

#include "support_site.h"

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int run_time_ms = 20'000; // longer than the outage
constexpr auto outage = 15s;

void wait_service(site& s, const std::vector<std::string>& entries)
{
    for (const std::string& entry : entries) {
        BOOST_REQUIRE(wait_for([&] { return request_bulletin(s, entry, "first").outcome == "done"; }));
    }
}

std::set<std::string> jobs_named(site& s, const std::string& entry, const std::string& name)
{
    std::set<std::string> ids;
    const site_answer answer = s.ask(entry, "GET", "/v1/jobs?team=newsroom");
    if (answer.status == 200) {
        for (const json& job : answer.body.at("jobs")) {
            if (job.at("name") == name) {
                ids.insert(job.at("job").get<std::string>());
            }
        }
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_CASE(table_outage_stops_no_request_and_loses_no_job)
{
    // The caller's requests are answered as ever while the platform's table is down: routing needs no table. What runs
    // goes on, since the deputies promise the owner not to take over. A submission meanwhile is told "did not run" or
    // "unknown", never "accepted"; the same key afterwards gives one job, whatever became of the tries before.
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    s.submit("a1", "service", service_job(2));
    const std::string job = s.submit("a2", "k1", batch_job("rebuild-1", 4, run_time_ms));
    BOOST_REQUIRE(wait_for([&] { return count_starts(s.runs(), job) == 4; }));
    wait_service(s, three_entries);

    s.switch_platform({{"table_down", true}});
    answer_box submissions;
    for (const std::string& entry : three_entries) {
        s.send(entry, "POST", "/v1/jobs", batch_job("rebuild-2", 2, 500).dump(), {{"Operation-Key", "k2"}},
               submissions.slot());
    }
    int sent = 0;
    const auto end = std::chrono::steady_clock::now() + outage;
    while (std::chrono::steady_clock::now() < end) {
        const site_answer answer = request_bulletin(s, three_entries.at(sent++ % 3), "during");
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.outcome == "done");
        std::this_thread::sleep_for(100ms);
    }
    for (const site_answer& answer : submissions.wait_all()) {
        BOOST_TEST((answer.status == 503 || answer.status == 504));
    }
    s.switch_platform({{"table_down", false}});

    const std::string late = s.submit("a3", "k2", batch_job("rebuild-2", 2, 500));
    BOOST_TEST(s.submit("a1", "k2", batch_job("rebuild-2", 2, 500)) == late);
    BOOST_REQUIRE(s.wait_tasks("a1", job, "finished", 4));
    BOOST_REQUIRE(s.wait_tasks("a1", late, "finished", 2));
    BOOST_TEST(jobs_named(s, "a1", "rebuild-2") == std::set<std::string>{late});
    BOOST_TEST(find_faults(s.runs(), job, 4) == "");
    BOOST_TEST(find_faults(s.runs(), late, 2) == "");
}

BOOST_AUTO_TEST_CASE(lost_answers_of_a_submission_make_one_job)
{
    // The caller is told "accepted" or "unknown" and asks again under the same key, through another entry. The table
    // has taken the write, and only its answer was lost: the entry reads back who wrote the row, and a repeat finds the
    // job there. Two jobs, or "did not run" for one that runs, would be a doubled digest.
    constexpr int submissions_at_once = 4;
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    s.switch_platform({{"lose_answers", 6}}); // more than the submissions: an owner's renewal may take one or two
    answer_box first;
    const auto key_of = [](int i) { return "lost-" + std::to_string(i); };
    const auto job_of = [](int i) { return batch_job("digest-" + std::to_string(i), 1, 500); };
    for (int i = 0; i < submissions_at_once; ++i) {
        s.send(three_entries.at(i % 3), "POST", "/v1/jobs", job_of(i).dump(), {{"Operation-Key", key_of(i)}},
               first.slot());
    }
    for (const site_answer& answer : first.wait_all()) {
        BOOST_TEST((answer.status == 202 || answer.status == 504));
    }
    for (int i = 0; i < submissions_at_once; ++i) {
        const std::string job = s.submit(three_entries.at((i + 1) % 3), key_of(i), job_of(i));
        BOOST_TEST(s.submit(three_entries.at((i + 2) % 3), key_of(i), job_of(i)) == job);
        BOOST_REQUIRE(s.wait_tasks("a1", job, "finished", 1));
        BOOST_TEST(jobs_named(s, "a1", "digest-" + std::to_string(i)) == std::set<std::string>{job});
        BOOST_TEST(find_faults(s.runs(), job, 1) == "");
        BOOST_TEST(count_starts(s.runs(), job) == 1);
    }
}

BOOST_AUTO_TEST_CASE(planned_stop_cuts_off_no_request)
{
    // The caller sees each request answered: done, or "did not run" when the entry had gone. The entry turns unready,
    // serves on while the balancer looks away, then refuses what is new and ends what it has begun, hands its cell over
    // and exits with 0. An answer that never comes would leave its caller not knowing whether a bulletin was built.
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    s.submit("a1", "service", service_job(2));
    wait_service(s, three_entries);
    const std::string leaving = s.owner("a1");
    std::string addresses;
    for (const std::string& entry : three_entries) {
        addresses += (addresses.empty() ? "" : ",") + s.entry_address(entry).str();
    }
    child load(s.folder(), "load", "skylarkload",
               {"--entries", addresses, "--team", "newsroom", "--service", "bulletins", "--rate", "60", "--seconds",
                "8", "--deadline-ms", "5000", "--json"});
    const auto served = [&] {
        std::size_t count = 0;
        for (const std::string& worker : s.worker_names()) {
            count += s.served(worker);
        }
        return count;
    };
    const std::size_t before = served();
    BOOST_REQUIRE(wait_for([&] { return served() > before + 50; }));

    s.entry(leaving).signal(SIGTERM);

    BOOST_TEST(s.entry(leaving).wait_end() == 0);
    BOOST_TEST(load.wait_end() == 0);
    const json tally = json::parse(load.output(), nullptr, false);
    BOOST_REQUIRE(tally.is_object());
    BOOST_TEST_MESSAGE(tally.dump());
    BOOST_TEST(tally.at("unknown").get<int>() == 0);
    BOOST_TEST(tally.at("done").get<int>() > 50);
    BOOST_TEST(tally.at("sent").get<int>() == tally.at("done").get<int>() + tally.at("did_not_run").get<int>());
}

BOOST_AUTO_TEST_CASE(racing_changes_of_settings_have_one_winner)
{
    // Two operators change the same subtree through two entries, both from the version that they read. One is told that
    // its change is in force, the other 409 with the version that won, and nothing of its change. Every entry shows the
    // winner's version within seconds, and so does an entry that was started afterwards.
    site s({.entries = three_entries, .workers = 1});
    s.prepare();
    const site_answer read = s.ask("a1", "GET", "/v1/settings/team/newsroom");
    const std::string path = "/v1/settings/team/newsroom?version=" + std::to_string(read.body.at("version").get<int>());
    answer_box box;
    for (int i = 0; i < 2; ++i) {
        json document = read.body.at("document");
        document["quota"]["share"] = 3 + i;
        s.send(three_entries.at(i), "PUT", path, document.dump(),
               {{"Operation-Key", "race-" + std::to_string(i)}, {"Author", "operator-" + std::to_string(i)}},
               box.slot());
    }
    std::vector<site_answer> answers = box.wait_all();
    std::sort(answers.begin(), answers.end(), [](const auto& a, const auto& b) { return a.status < b.status; });
    BOOST_REQUIRE(answers.at(0).status == 200);
    BOOST_REQUIRE(answers.at(1).status == 409);
    const int version = answers.at(0).body.at("version");
    BOOST_TEST(answers.at(1).body.at("current").get<int>() == version);

    s.start_entry("a4");
    std::set<std::string> documents;
    for (const std::string entry : {"a1", "a2", "a3", "a4"}) {
        site_answer shown;
        BOOST_TEST(wait_for([&] {
            shown = s.ask(entry, "GET", "/v1/settings/team/newsroom");
            return shown.status == 200 && shown.body.at("version").get<int>() == version;
        }));
        documents.insert(shown.body.value("document", json::object()).dump());
    }
    BOOST_TEST(documents.size() == 1U);
    BOOST_TEST(wait_for([&] {
        const site_answer status = s.ask("a4", "GET", "/v1/settings-status");
        const json entries = status.status == 200 ? status.body.at("entries") : json::array();
        return entries.size() == 4U && std::all_of(entries.begin(), entries.end(), [&](const json& e) {
                   return e.at("version").get<int>() == version;
               });
    }));
}
