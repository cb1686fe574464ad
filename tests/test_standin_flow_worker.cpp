// The stand-ins of the users' workers are no kinder than their pages where a worker starts again under its id.
#include <boost/test/unit_test.hpp>

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "flow_workers_p.h"
#include "http_client_p.h"

using namespace skylarkhub;
using namespace skylarkhub::standin;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const wall_time first_birth{1'780'000'000'000ms};
const wall_time second_birth{first_birth + 700ms};
constexpr instant begin{100s};

flow_worker make_worker(
    instant now, wall_time born, const flow_worker::watcher& watch = [](auto, const auto&) {})
{
    return flow_worker(now, {.life = {"w0-1", born}, .clock_offset = 5s}, watch);
}

json order(flow_worker& worker, instant now, const std::string& path, const json& body)
{
    const http_response answer = worker.carry_out(now, path, body.dump(), false);
    json told = json::parse(answer.body);
    told["status"] = answer.status;
    return told;
}

json start_of(const std::string& task, std::int64_t run, std::int64_t fence)
{
    return {{"task", task}, {"run-id", run}, {"spec", "run 100"}, {"deadline-ms", 9000}, {"fencing-token", fence}};
}

json hold_of(std::int64_t fence, std::int64_t cursor)
{
    return {{"fencing-token", fence}, {"ack-cursor", cursor}, {"deadline-ms", 9000}};
}

// A worker of its own on loopback, the table that lists it, and what was seen there.
class standin_site {
public:
    standin_site()
        : host_(fmt::format("127.{}.{}", 1 + getpid() / 250 % 250, getpid() % 250)),
          table_(1),
          workers_(1, table_, [this](instant, const worker_sight& sight) { note(sight); })
    {
        table_.open_door(door());
        workers_.add({address(), address(), "dc0", "rack0", {4000, 16000, 0}});
    }

    flow_workers& workers() { return workers_; }
    // Null when it is not in the list.
    json entry()
    {
        const json rows = call("GET", door(), "/rows-get?table=servers&part=&from=&to=&limit=10", {}, "").at("rows");
        std::string text;
        for (const json& row : rows) {
            absl::Base64Unescape(row.at("value").get<std::string>(), &text);
        }
        return text.empty() ? json() : json::parse(text);
    }
    json tell(const std::string& path, const json& body, const std::string& id = "w0-1")
    {
        return call("POST", address(), path, {{"X-Target-Instance", id}}, body.dump());
    }
    std::vector<run_began> starts()
    {
        absl::MutexLock lock(&mutex_);
        return starts_;
    }

private:
    net_address door() const { return net_address(host_ + ".1:8200"); }
    net_address address() const { return net_address(host_ + ".100:8300"); }

    json call(const std::string& method, const net_address& to, const std::string& target, const http_fields& headers,
              const std::string& body)
    {
        http_call c{.method = method, .address = to, .target = target};
        c.headers = headers;
        c.body = body;
        c.timeout = 10s;
        const http_result result = http_.call(c);
        return result.answered ? json::parse(result.body) : json();
    }
    void note(const worker_sight& sight)
    {
        if (const auto* began = std::get_if<run_began>(&sight)) {
            absl::MutexLock lock(&mutex_);
            starts_.push_back(*began);
        }
    }

    std::string host_;
    absl::Mutex mutex_;
    std::vector<run_began> starts_ ABSL_GUARDED_BY(mutex_);
    flow_table table_;
    flow_workers workers_;
    http_client http_;
};

} // namespace

// An order with a fraction where the page asks for whole numbers was carried out as if it had none.
BOOST_AUTO_TEST_CASE(numbers_that_are_not_whole_are_refused)
{
    flow_worker worker = make_worker(begin, first_birth);
    for (const char* const name : {"run-id", "deadline-ms", "fencing-token"}) {
        json start = start_of("a.0.0.0", 1, 7);
        start[name] = 9000.5;
        BOOST_TEST(order(worker, begin, "/run-start", start).at("status") == 400);
    }
    for (const char* const name : {"ack-cursor", "wait-ms"}) {
        json hold = hold_of(7, 0);
        hold[name] = "1";
        BOOST_TEST(!worker.hold_waits(begin, hold.dump()));
        BOOST_TEST(order(worker, begin, "/hold", hold).at("status") == 400);
    }
    BOOST_TEST(order(worker, begin, "/hold", hold_of(7, 0)).at("running").empty());
}

// A second life that knew the first one's fence, runs or ends would hide what owners must not take for granted.
BOOST_AUTO_TEST_CASE(a_second_life_knows_nothing_of_the_first)
{
    flow_worker first = make_worker(begin, first_birth);
    order(first, begin, "/run-start", start_of("a.0.0.0", 1, 7));
    order(first, begin, "/run-start", start_of("a.0.0.1", 3, 7));
    const json told = order(first, begin + 200ms, "/hold", hold_of(7, 0));
    BOOST_TEST(told.at("finished").size() == 2U);
    BOOST_TEST(told.at("born") == 1'780'000'000'000);
    first.end_life(begin + 300ms);

    flow_worker second = make_worker(begin + 700ms, second_birth);
    const json empty = order(second, begin + 700ms, "/hold", hold_of(2, 0));
    BOOST_TEST(empty.at("status") == 200);
    BOOST_TEST(empty.at("running").empty());
    BOOST_TEST(empty.at("finished").empty());
    BOOST_TEST(empty.at("born") == 1'780'000'000'700);
    BOOST_TEST(empty.at("clock-ms") == 5000);
    // A run that has ended in the first life, and one lower than another there, start as any other.
    BOOST_TEST(order(second, begin + 700ms, "/run-start", start_of("a.0.0.0", 1, 2)).at("status") == 200);
    BOOST_TEST(order(second, begin + 700ms, "/run-start", start_of("a.0.0.1", 2, 2)).at("status") == 200);
    const json ends = order(second, begin + 900ms, "/hold", hold_of(2, 0)).at("finished");
    BOOST_TEST(ends.size() == 2U);
    BOOST_TEST(ends.at(0).at(0) == 1);
}

// Ends that a cursor of the first life covers are gone before anybody has seen them.
BOOST_AUTO_TEST_CASE(a_cursor_of_the_first_life_forgets_ends_of_the_second_that_nobody_has_seen)
{
    std::vector<ends_confirmed> confirmed;
    flow_worker second = make_worker(begin, second_birth, [&](instant, const worker_sight& sight) {
        if (const auto* c = std::get_if<ends_confirmed>(&sight)) {
            confirmed.push_back(*c);
        }
    });
    order(second, begin, "/run-start", start_of("a.0.0.0", 1, 2));
    BOOST_TEST(order(second, begin + 200ms, "/hold", hold_of(2, 57)).at("finished").empty());
    BOOST_TEST(order(second, begin + 300ms, "/hold", hold_of(2, 0)).at("finished").empty());
    BOOST_TEST(confirmed.size() == 1U);
    BOOST_TEST((confirmed.at(0).worker == worker_life{"w0-1", second_birth}));
}

// The late removal of the first life's entry took the second life's entry away, so that nobody spoke to it.
BOOST_AUTO_TEST_CASE(a_worker_that_starts_again_under_its_id_stays_listed)
{
    standin_site site;
    const json before = site.entry();
    std::this_thread::sleep_for(1600ms); // its entry is written again by then
    site.workers().crash(0);
    std::this_thread::sleep_for(700ms); // the late removal falls between two reports of the second life
    BOOST_TEST(site.entry().at("born") == before.at("born"));
    site.workers().restart(0);
    const json after = site.entry();
    BOOST_TEST(after.at("born").is_number_integer());
    BOOST_TEST(after.at("born") > before.at("born"));
    BOOST_TEST(after.at("sequence") == 1);
    int missing = 0;
    for (int i = 0; i < 100; ++i) { // longer than the first life's entry stays
        std::this_thread::sleep_for(50ms);
        const json entry = site.entry();
        missing += entry.is_object() && entry.at("born") == after.at("born") ? 0 : 1;
    }
    BOOST_TEST(missing == 0);
}

// An order that was delayed in the first life is carried out by whoever has the id when it arrives.
BOOST_AUTO_TEST_CASE(a_delayed_order_for_the_first_life_is_taken_by_the_second)
{
    standin_site site;
    const std::int64_t born = site.entry().at("born");
    site.workers().delay_orders(0, 1.0);
    json start = start_of("a.0.0.0", 1, 7);
    start["deadline-ms"] = std::int64_t{1} << 40;
    BOOST_TEST(site.tell("/run-start", start).is_null());
    site.workers().restart(0);
    for (int i = 0; i < 2000 && site.starts().empty(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST_REQUIRE(site.starts().size() == 1U);
    const run_began start_seen = site.starts().front();
    BOOST_TEST(start_seen.late);
    BOOST_TEST(start_seen.worker.id == "w0-1");
    BOOST_TEST(start_seen.worker.born.time_since_epoch() / 1ms > born);
}

// Every answer with a body names the worker's clock, also the one to an order for another worker; and a worker that
// drains says how long it stays at least.
BOOST_AUTO_TEST_CASE(refusals_tell_the_clock_and_draining_workers_the_time_left)
{
    standin_site site;
    BOOST_TEST(site.tell("/hold", hold_of(7, 0), "w0-2").contains("clock-ms"));
    BOOST_TEST(!site.entry().contains("remaining-ms"));
    site.workers().drain(0);
    const json entry = site.entry();
    BOOST_TEST(entry.at("state") == "draining");
    BOOST_TEST(entry.at("remaining-ms").is_number_integer());
    BOOST_TEST(entry.at("remaining-ms") > 0);
}
