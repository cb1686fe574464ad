#include <boost/test/unit_test.hpp>

#include <string>

#include "worker_client_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

const task_id task{job_id("archive-7"), 3};

task_start service_start()
{
    task_start start{.task = task, .attempt = attempt_number(4), .lease_until = worker_time(9s)};
    start.spec = {.team = team_id("news"),
                  .name = "pages",
                  .kind = kind_id("bulletin"),
                  .declared = {2000, 512, 1},
                  .run_time = 90s,
                  .is_service = true,
                  .slots = 8,
                  .connections = 60,
                  .payload = "{\"service_ms\":5}"};
    start.persistent = true;
    return start;
}

worker_report sample_report()
{
    worker_report report{.accepted = true, .epoch = epoch(7), .boot = "b1", .now = worker_time(10s)};
    report.capacity = {32000, 125000, 2};
    report.usage_taken = worker_time(8s);
    report.tasks.push_back({.task = task,
                            .attempt = attempt_number(4),
                            .state = task_state::lapsed,
                            .lease_until = worker_time(9s),
                            .progress = 0.5,
                            .checkpoint = "checkpoint/archive-7/3/4",
                            .checkpoint_progress = 0.25,
                            .reason = "lease is over",
                            .address = net_address("127.0.0.1:9"),
                            .used = {1500, 300, 0},
                            .throttle = 50,
                            .started = worker_time(1s)});
    report.interference.push_back({task, 1.5});
    report.refused.emplace_back(task, "full");
    return report;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_survives_its_json)
{
    const attempt_number attempt(4);
    worker_request request{.epoch = epoch(7), .sequence = sequence_number(11), .owner = incarnation_id("e1@5")};
    request.commands = {service_start(),
                        task_renew{task, attempt, worker_time(12s)},
                        task_checkpoint{task, attempt},
                        task_throttle{task, attempt, 40},
                        task_stop{task, attempt},
                        task_forget{task, attempt}};
    std::string reason;
    const auto read = parse_worker_request(format_worker_request(request), &reason);
    BOOST_REQUIRE_MESSAGE(read, reason);
    BOOST_TEST(read->epoch == request.epoch);
    BOOST_TEST(read->sequence == request.sequence);
    BOOST_TEST(read->owner == request.owner);
    BOOST_REQUIRE(read->commands.size() == 6U);
    const auto& start = std::get<task_start>(read->commands[0]);
    BOOST_TEST((start.task == task && start.attempt == attempt && start.lease_until == worker_time(9s)));
    BOOST_TEST((start.persistent && start.spec.is_service && start.spec.team == team_id("news")));
    BOOST_TEST(start.spec.name == "pages");
    BOOST_TEST((start.spec.declared == resources{2000, 512, 1} && start.spec.run_time == 90s));
    BOOST_TEST((start.spec.slots == 8 && start.spec.connections == 60));
    BOOST_TEST((std::get<task_renew>(read->commands[1]).lease_until == worker_time(12s)));
    BOOST_TEST(std::get<task_throttle>(read->commands[3]).percent == 40);
    BOOST_TEST(format_worker_request(*read) == format_worker_request(request));
}

BOOST_AUTO_TEST_CASE(a_report_survives_its_json)
{
    const worker_report report = sample_report();
    std::string reason;
    const auto read = parse_worker_report(format_worker_report(report), &reason);
    BOOST_REQUIRE_MESSAGE(read, reason);
    BOOST_TEST((read->now == report.now && read->usage_taken == report.usage_taken));
    BOOST_TEST((read->capacity == report.capacity));
    BOOST_REQUIRE(read->tasks.size() == 1U);
    BOOST_TEST((read->tasks[0].state == task_state::lapsed && read->tasks[0].used == report.tasks[0].used));
    BOOST_TEST(format_worker_report(*read) == format_worker_report(report));
}

// A worker answers with something else than a report, whole as HTTP but wrong inside. The owner must take none of it:
// half a report would release or keep the wrong tasks.
BOOST_AUTO_TEST_CASE(a_malformed_report_is_refused_with_its_reason)
{
    const std::string good = format_worker_report(sample_report());
    const std::vector<std::string> bad{"",
                                       "[]",
                                       good.substr(0, good.size() / 2),
                                       replaced(good, "\"lapsed\"", "\"gone\""),
                                       replaced(good, "\"archive-7/3\"", "\"archive-7\""),
                                       replaced(good, "\"attempt\":4", "\"attempt\":-4"),
                                       replaced(good, "\"attempt\":4", "\"attempt\":4.5"),
                                       replaced(good, "\"attempt\":4", "\"attempt\":18446744073709551615"),
                                       replaced(good, "\"progress\":0.5", "\"progress\":1.5"),
                                       replaced(good, "\"throttle\":50", "\"throttle\":101"),
                                       replaced(good, "\"accepted\":true", "\"accepted\":1"),
                                       replaced(good, "\"boot\"", "\"boat\"")};
    for (const std::string& text : bad) {
        std::string reason;
        BOOST_TEST(!parse_worker_report(text, &reason).has_value());
        BOOST_TEST(!reason.empty());
    }
}
