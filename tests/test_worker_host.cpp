#include <boost/test/unit_test.hpp>

#include <absl/synchronization/notification.h>

#include <thread>

#include "platform_service_p.h"
#include "platform_wire_p.h"
#include "target_client_p.h"
#include "worker_client_p.h"
#include "worker_host_p.h"

using namespace skylarkhub;
using namespace skylarkhub::standin;
using namespace std::chrono_literals;

namespace {

constexpr duration patient = 20s; // never reached
const attempt_number first_attempt(1);

// Polls until `state` holds; the test runner's own time limit is the only one.
template <class State> void wait_until(State state)
{
    while (!state()) {
        std::this_thread::sleep_for(5ms);
    }
}

// A platform and one worker in this process, met over HTTP as an owner and an entry meet them.
class site {
public:
    explicit site(const std::string& id = "w1", platform_service* shared = nullptr)
    {
        std::string reason;
        if (shared == nullptr) {
            platform = platform_service::start({}, &reason);
            shared = platform.get();
        }
        platform_address = shared->address();
        worker_host::options o{.id = id, .address = net_address("127.0.0.1:0"), .platform = platform_address};
        o.data_centre = "dc1";
        o.rack = "r1";
        o.settings = {.capacity = {8000, 8000, 0}, .boot = id, .time_scale = 100};
        o.leave_patience = patient;
        o.linger = 100ms;
        host = std::make_unique<worker_host>(o);
        BOOST_REQUIRE_MESSAGE(host->start(&reason), reason);
        running = std::thread([this] { host->run(); });
    }
    ~site()
    {
        if (running.joinable()) {
            forget_all();
            host->leave();
            running.join();
        }
    }
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    worker_answer send(std::vector<worker_command> commands, duration timeout = patient)
    {
        worker_request request{.epoch = epoch(1), .owner = incarnation_id("e1@1")};
        request.sequence = sequence_number(++sequence);
        request.commands = std::move(commands);
        worker_answer answer;
        absl::Notification answered;
        send_to_worker(http, host->address(), request, timeout, [&](worker_answer got) {
            answer = std::move(got);
            answered.Notify();
        });
        answered.WaitForNotification();
        return answer;
    }
    worker_report look()
    {
        worker_answer answer = send({});
        BOOST_REQUIRE_MESSAGE(answer.answered, answer.reason);
        return answer.report;
    }
    std::optional<task_report> find(const task_id& task)
    {
        for (task_report& t : look().tasks) {
            if (t.task == task) {
                return std::move(t);
            }
        }
        return std::nullopt;
    }
    task_start batch(const std::string& job, duration run_time)
    {
        task_start start{.task = {job_id(job), 0}, .attempt = first_attempt};
        start.lease_until = look().now + 600s;
        start.spec.kind = kind_id("crawl");
        start.spec.declared = {1000, 100, 0};
        start.spec.run_time = run_time;
        return start;
    }
    net_address start_service(std::int32_t slots, std::int32_t connections, const std::string& payload)
    {
        task_start start = batch("svc", 0s);
        start.persistent = true;
        start.spec.is_service = true;
        start.spec.team = team_id("t");
        start.spec.name = "s";
        start.spec.slots = slots;
        start.spec.connections = connections;
        start.spec.payload = payload;
        send({start});
        wait_until([&] { return find(start.task)->address.valid(); });
        return find(start.task)->address;
    }
    void switch_worker(const std::string& json)
    {
        http.call({.method = "POST", .address = host->address(), .target = "/v1/switches", .body = json});
    }
    void forget_all()
    {
        std::vector<worker_command> commands;
        for (const task_report& t : look().tasks) {
            commands.emplace_back(task_stop{t.task, t.attempt});
            commands.emplace_back(task_forget{t.task, t.attempt});
        }
        send(commands);
        wait_until([&] {
            std::vector<worker_command> forget;
            for (const task_report& t : look().tasks) {
                forget.emplace_back(task_forget{t.task, t.attempt});
            }
            return send(forget).report.tasks.empty();
        });
    }
    std::vector<listed_instance> listed()
    {
        const http_result got = http.call({.address = platform_address, .target = "/v1/instances"});
        std::string reason;
        return parse_instances(got.body, &reason).value_or(std::vector<listed_instance>{});
    }
    std::optional<listed_instance> listed(instance_role role)
    {
        for (listed_instance& i : listed()) {
            if (i.role == role) {
                return std::move(i);
            }
        }
        return std::nullopt;
    }

    http_client http;
    std::unique_ptr<platform_service> platform;
    net_address platform_address;
    std::unique_ptr<worker_host> host;
    std::thread running;
    std::int64_t sequence = 0;
};

struct pending_run {
    target_answer answer;
    absl::Notification answered;
};

void begin_run(http_client& http, const net_address& address, const std::string& id, pending_run& run)
{
    target_request request{.address = address, .request_id = id, .body = "body-" + id, .time_left = patient};
    send_to_target(http, std::move(request), [&run](target_answer got) {
        run.answer = std::move(got);
        run.answered.Notify();
    });
}

target_answer run_now(http_client& http, const net_address& address, const std::string& id)
{
    pending_run run;
    begin_run(http, address, id, run);
    run.answered.WaitForNotification();
    return run.answer;
}

void wait_for_run(http_client& http, const net_address& address, const std::string& id)
{
    wait_until([&] {
        return http.call({.address = address, .target = "/v1/history"}).body.find("\"" + id + "\"") !=
               std::string::npos;
    });
}

} // namespace

// A service is stopped by its owner while a request is in flight. That request's caller gets its whole answer; a new
// one is refused explicitly, so that it can go elsewhere; the list calls the target leaving; only then does it close.
BOOST_AUTO_TEST_CASE(a_planned_stop_of_a_service_cuts_off_nothing)
{
    site s;
    const net_address target = s.start_service(4, 10, R"({"service_ms":400})");
    pending_run in_flight;
    begin_run(s.http, target, "r-1", in_flight);
    wait_for_run(s.http, target, "r-1");
    s.send({task_stop{{job_id("svc"), 0}, first_attempt}});
    wait_until([&] {
        const target_answer late = run_now(s.http, target, "r-2");
        return late.outcome == send_outcome::did_not_run || late.outcome == send_outcome::not_sent;
    });
    in_flight.answered.WaitForNotification();
    BOOST_TEST(in_flight.answer.body == "ok t/s body-r-1");
    wait_until([&] { return s.find({job_id("svc"), 0})->state == task_state::stopped; });
    BOOST_TEST((run_now(s.http, target, "r-3").outcome == send_outcome::not_sent));
    const http_result runs = s.http.call({.address = s.host->address(), .target = "/v1/runs"});
    BOOST_TEST(runs.body.find("\"r-1\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_full_target_refuses_explicitly)
{
    site s;
    const net_address target = s.start_service(1, 10, R"({"service_ms":400})");
    pending_run first;
    begin_run(s.http, target, "r-1", first);
    wait_for_run(s.http, target, "r-1");
    BOOST_TEST((run_now(s.http, target, "r-2").outcome == send_outcome::did_not_run));
    first.answered.WaitForNotification();
    BOOST_TEST((first.answer.outcome == send_outcome::done));
}

// A worker is frozen when its owner's start comes: the owner gets no answer and cannot know. The command takes effect
// when the worker goes on, so that treating the silence as "not started" would run the task twice.
BOOST_AUTO_TEST_CASE(a_frozen_worker_carries_out_late_commands)
{
    site s;
    const task_start start = s.batch("j", 6000s);
    s.switch_worker(R"({"freeze_control":true})");
    const worker_answer answer = s.send({start}, 100ms);
    BOOST_TEST(!answer.answered);
    BOOST_TEST(answer.may_have_arrived);
    s.switch_worker(R"({"freeze_control":false})");
    BOOST_TEST((s.find(start.task)->state == task_state::running));
}

// A task is evicted after a checkpoint and goes on from there on another worker: the object store carries the progress.
BOOST_AUTO_TEST_CASE(an_evicted_task_resumes_on_another_worker)
{
    site s;
    task_start start = s.batch("j", 600s);
    s.send({start});
    wait_until([&] { return s.find(start.task)->progress > 0.02; });
    s.send({task_checkpoint{start.task, first_attempt}, task_stop{start.task, first_attempt}});
    wait_until([&] { return !s.find(start.task)->checkpoint.empty(); });
    const task_report evicted = *s.find(start.task);
    BOOST_TEST(evicted.checkpoint_progress > 0.02);

    site other("w2", s.platform.get());
    start.attempt = first_attempt.next();
    start.resume_from = evicted.checkpoint;
    other.send({start});
    wait_until([&] { return other.find(start.task)->progress >= evicted.checkpoint_progress; });
    BOOST_TEST((other.find(start.task)->state == task_state::running));
}

// A planned stop of the whole instance: the list calls it leaving while its tasks end, and it goes only when the owner
// knows all ends; then it is gone from the list.
BOOST_AUTO_TEST_CASE(a_leaving_worker_says_so_and_waits_for_its_owner)
{
    site s;
    s.start_service(1, 10, "");
    wait_until([&] { return s.listed(instance_role::target).has_value(); });
    BOOST_TEST(s.listed(instance_role::target)->service == service_id("t/s"));
    s.host->leave();
    wait_until([&] { return s.listed(instance_role::worker)->leaving; });
    wait_until([&] { return s.find({job_id("svc"), 0})->state == task_state::stopped; });
    BOOST_TEST(s.find({job_id("svc"), 0})->reason == "instance is leaving");
    s.send({task_forget{{job_id("svc"), 0}, first_attempt}});
    s.running.join();
    BOOST_TEST(!s.listed(instance_role::worker).has_value());
}
