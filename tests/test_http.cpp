#include <boost/test/unit_test.hpp>

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>
#include <fmt/format.h>

#include <atomic>
#include <thread>

#include "http_client_p.h"
#include "http_server_p.h"
#include "support_fake_target.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<http_server> start_server(http_handler handler, std::int64_t body_bytes_most = 1 << 20)
{
    std::string reason;
    auto server = http_server::start({.address = net_address("127.0.0.1:0"), .body_bytes_most = body_bytes_most},
                                     std::move(handler), &reason);
    BOOST_REQUIRE_MESSAGE(server, reason);
    return server;
}

http_call post(const http_server& server, std::string body)
{
    return {.method = "POST", .address = server.address(), .target = "/echo", .body = std::move(body)};
}

} // namespace

// Answers that come later and on another thread, many at once: every caller gets the answer to its own request.
BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_late_answer)
{
    std::vector<std::thread> threads;
    absl::Mutex mutex;
    auto server = start_server([&](http_request request, const http_reply& reply) {
        absl::MutexLock lock(&mutex);
        threads.emplace_back([body = std::move(request.body), reply] { reply({200, {}, "echo " + body}); });
    });
    http_client client;
    constexpr int calls = 200;
    absl::BlockingCounter left(calls);
    std::atomic<int> right{0};
    for (int i = 0; i < calls; ++i) {
        client.send(post(*server, std::to_string(i)), [&, i](const http_result& result) {
            right += result.answered && result.body == "echo " + std::to_string(i) ? 1 : 0;
            left.DecrementCount();
        });
    }
    left.Wait();
    BOOST_TEST(right.load() == calls);
    for (auto& t : threads) {
        t.join();
    }
}

// A range of rows ends with a key and a zero byte behind it. Cut off there, the range is empty, and a row that is there
// reads as absent: a stand-in of the table told entries so of jobs that it held.
BOOST_AUTO_TEST_CASE(a_query_value_with_a_zero_byte_arrives_whole)
{
    auto server = start_server([](const http_request& request, const http_reply& reply) {
        reply({200, {}, std::string(find_field(request.query, "to"))});
    });
    http_client client;
    const http_result answer = client.call({.address = server->address(), .target = "/rows?from=key&to=key%00"});
    BOOST_TEST(answer.body == std::string("key\0", 4));
}

BOOST_AUTO_TEST_CASE(a_body_over_the_limit_is_refused)
{
    auto server = start_server([](const http_request&, const http_reply& reply) { reply({}); }, 1000);
    http_client client;
    BOOST_TEST(client.call(post(*server, std::string(1001, 'x'))).status == 413);
    BOOST_TEST(client.call(post(*server, std::string(1000, 'x'))).status == 200);
}

// Nothing listens: no byte can have left, so the caller may say that the request did not run.
BOOST_AUTO_TEST_CASE(a_refused_connection_is_known_not_to_have_arrived)
{
    net_address free_address;
    {
        auto server = start_server([](const http_request&, const http_reply& reply) { reply({}); });
        free_address = server->address();
    }
    http_client client;
    const http_result result = client.call({.method = "POST", .address = free_address, .body = "x"});
    BOOST_TEST(!result.answered);
    BOOST_TEST(!result.may_have_arrived);
}

// A server is about to stop while a caller keeps a connection. Closed under the caller's next request, that request
// would be of unknown outcome. So the next answer says that it is the last, and what comes after it cannot have
// arrived.
BOOST_AUTO_TEST_CASE(a_kept_connection_ends_with_an_answer)
{
    std::string reason;
    const auto server = http_server::start(
        {.address = net_address("127.0.0.1:0")},
        [](const http_request&, const http_reply& reply) {
            reply({200, {}, "ok"});
        },
        &reason);
    BOOST_REQUIRE(server);
    http_client client;
    BOOST_REQUIRE(client.call({.address = server->address()}).answered);
    server->stop_accepting();
    const http_result last = client.call({.address = server->address()});
    BOOST_TEST(last.answered);
    BOOST_TEST(last.kept_connection);
    BOOST_TEST(find_field(last.headers, "connection") == "close");
    const http_result refused = client.call({.address = server->address()});
    BOOST_TEST(!refused.answered);
    BOOST_TEST(!refused.may_have_arrived);
}

// The answer never comes: the request may have run, and the result must not claim otherwise.
BOOST_AUTO_TEST_CASE(a_timed_out_request_may_have_arrived)
{
    http_reply kept;
    auto server = start_server([&](const http_request&, http_reply reply) { kept = std::move(reply); });
    http_client client;
    auto call = post(*server, "x");
    call.timeout = std::chrono::milliseconds(100);
    const http_result result = client.call(call);
    BOOST_TEST(!result.answered);
    BOOST_TEST(result.may_have_arrived);
}

// The client's thread is held up, as on a starved machine, until the call's time is over. The answer arrived in time
// and lies in the socket. The caller must get it: thrown away, what it told is lost, while the sender believes it
// known.
BOOST_AUTO_TEST_CASE(an_answer_that_arrived_while_the_client_was_held_up_is_delivered)
{
    for (const std::size_t answer_bytes : {10, 40'000}) { // one read of the socket, several
        absl::Notification arrived;
        http_reply kept;
        auto server = start_server([&](const http_request& request, http_reply reply) {
            if (request.body == "prompt") {
                reply({200, {}, ""});
                return;
            }
            kept = std::move(reply);
            arrived.Notify();
        });
        http_client client;
        auto call = post(*server, "slow");
        call.timeout = std::chrono::seconds(1);
        absl::Notification finished;
        http_result result;
        client.send(call, [&](http_result r) {
            result = std::move(r);
            finished.Notify();
        });
        arrived.WaitForNotification();
        client.send(post(*server, "prompt"), [&](const http_result&) {
            kept({200, {}, std::string(answer_bytes, 'y')});
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        });
        finished.WaitForNotification();
        BOOST_TEST(result.answered, result.reason);
        BOOST_TEST(result.body.size() == answer_bytes);
    }
}

// A call waits for the one connection, and the client's thread is held up until the call's time is over. The request
// leaves then, and the server carries it out: it is given its time for the answer, since only that tells what it did.
BOOST_AUTO_TEST_CASE(a_request_that_left_late_is_given_time_for_its_answer)
{
    absl::Notification arrived;
    http_reply kept;
    auto server = start_server([&](const http_request& request, http_reply reply) {
        if (request.body == "second") {
            reply({200, {}, "done"});
            return;
        }
        kept = std::move(reply);
        arrived.Notify();
    });
    http_client client({.connections_per_host = 1});
    client.send(post(*server, "first"),
                [](const http_result&) { std::this_thread::sleep_for(std::chrono::milliseconds(1500)); });
    arrived.WaitForNotification();
    absl::Notification finished;
    http_result result;
    auto second = post(*server, "second");
    second.timeout = std::chrono::seconds(1);
    client.send(second, [&](http_result r) {
        result = std::move(r);
        finished.Notify();
    });
    kept({200, {}, ""});
    finished.WaitForNotification();
    BOOST_TEST(result.answered, result.reason);
}

BOOST_AUTO_TEST_CASE(an_answer_over_the_limit_does_not_look_whole)
{
    auto server = start_server([](const http_request&, const http_reply& reply) {
        reply({200, {}, std::string(5000, 'y')});
    });
    http_client client;
    auto call = post(*server, "x");
    call.answer_bytes_most = 4096;
    const http_result result = client.call(call);
    BOOST_TEST(!result.answered);
    BOOST_TEST(!result.reason.empty());
}

// A large answer over a narrow link takes longer than a small one may: given up whole and asked for anew, it never
// ends.
BOOST_AUTO_TEST_CASE(an_answer_that_goes_on_arriving_is_not_given_up)
{
    const std::string body(12, 'y');
    for (const bool stalls : {false, true}) {
        test::fake_target server([&](int) {
            std::string bytes = test::whole_answer(body);
            bytes.resize(bytes.size() - (stalls ? 9 : 0));
            return test::fake_answer{bytes, test::after_answer::keep, std::chrono::milliseconds(100)};
        });
        http_client client;
        http_call call{.address = server.address()};
        call.timeout = std::chrono::milliseconds(300);
        call.stall_timeout = std::chrono::seconds(2);
        const http_result result = client.call(call);
        BOOST_TEST(result.answered == !stalls, result.reason);
        BOOST_TEST(result.body.size() == (stalls ? 3U : body.size()));
    }
}

// A server that is full closes what comes beyond its limit. Left waiting in the backlog, the caller would learn nothing
// until its time is over, while another server has room.
BOOST_AUTO_TEST_CASE(a_connection_above_the_limit_is_closed_at_once)
{
    std::string reason;
    absl::Mutex mutex;
    std::vector<http_reply> held;
    const auto hold = [&](const http_request&, const http_reply& reply) {
        absl::MutexLock lock(&mutex);
        held.push_back(reply);
    };
    const auto server =
        http_server::start({.address = net_address("127.0.0.1:0"), .connections_most = 2}, hold, &reason);
    BOOST_REQUIRE_MESSAGE(server, reason);
    http_client client;
    absl::BlockingCounter left(2);
    for (int i = 0; i < 2; ++i) {
        client.send(post(*server, "x"), [&](const http_result&) { left.DecrementCount(); });
    }
    const auto both_held = [&] { return held.size() == 2; };
    mutex.LockWhen(absl::Condition(&both_held));
    mutex.Unlock();
    auto third = post(*server, "x");
    third.timeout = std::chrono::hours(1);
    BOOST_TEST(!client.call(third).answered);
    absl::MutexLock lock(&mutex);
    BOOST_TEST(held.size() == 2U);
    for (const http_reply& reply : held) {
        reply({});
    }
    left.Wait();
}

// A call that is meant for one process reaches the next one at the same address, over a connection opened after the
// former has gone.
BOOST_AUTO_TEST_CASE(a_call_for_older_connections_never_goes_over_a_newer_one)
{
    std::atomic<int> served{0};
    const auto serve = [&served](const http_request&, const http_reply& reply) {
        ++served;
        reply({200, {}, ""});
    };
    auto server = start_server(serve);
    const net_address address = server->address();
    http_client client;
    const http_result first = client.call(post(*server, "a"));
    BOOST_REQUIRE(first.answered);
    BOOST_TEST((first.connection > connection_number()));
    http_call bound = post(*server, "b");
    bound.newest_connection = first.connection;
    const http_result kept = client.call(bound);
    BOOST_TEST(kept.answered);
    BOOST_TEST((kept.connection == first.connection));
    server.reset();
    std::string reason;
    server = http_server::start({.address = address}, serve, &reason);
    BOOST_REQUIRE_MESSAGE(server, reason);
    served = 0;
    const auto is_not_sent = [&] {
        const http_result result = client.call(bound);
        return !result.answered && result.connection_too_new && !result.may_have_arrived;
    };
    BOOST_TEST(is_not_sent());
    const http_result unbound = client.call(post(*server, "c"));
    BOOST_TEST(unbound.answered);
    BOOST_TEST((unbound.connection > first.connection));
    BOOST_TEST(is_not_sent()); // although a newer connection is kept
    BOOST_TEST(served.load() == 1);
}

// Guards against a process that is aborted as it stops, since a client goes on sending requests over its connection.
BOOST_AUTO_TEST_CASE(a_server_stops_while_requests_arrive)
{
    constexpr int rounds = 10;
    constexpr int clients = 16;
    for (int round = 0; round < rounds; ++round) {
        std::atomic<int> held{0};
        auto server = start_server([&](const http_request&, const http_reply&) {
            std::this_thread::sleep_for(2ms);
            ++held;
        });
        const http_call call = post(*server, "waits for good");
        std::atomic<bool> over{false};
        std::vector<std::thread> senders;
        senders.reserve(clients);
        for (int i = 0; i < clients; ++i) {
            senders.emplace_back([&] {
                http_client client;
                while (!over) {
                    client.call(call);
                }
            });
        }
        while (held < clients / 4) {
            std::this_thread::yield();
        }
        server.reset();
        over = true;
        for (auto& sender : senders) {
            sender.join();
        }
    }
}
