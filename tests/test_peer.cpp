#include <boost/test/unit_test.hpp>

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>
#include <fmt/format.h>

#include <atomic>
#include <stdexcept>

#include "peer_client_p.h"
#include "peer_convert_p.h"
#include "peer_server_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr duration long_enough = 20s; // ends a broken test; no good one waits for it

std::unique_ptr<peer_server> start_server(peer_handlers handlers, peer_server::options o = {})
{
    std::string reason;
    o.address = net_address("127.0.0.1:0");
    auto server = peer_server::start(o, std::move(handlers), &reason);
    BOOST_REQUIRE_MESSAGE(server, reason);
    return server;
}

peer_handlers echo_reports()
{
    peer_handlers handlers;
    handlers.report = [](const std::string& what) { return "report of " + what; };
    return handlers;
}

// Waits for the one result of a call.
template <class Answer> class result_of {
public:
    peer_client::callback<Answer> taker()
    {
        return [this](peer_result<Answer> r) {
            result_ = std::move(r);
            ready_.Notify();
        };
    }
    const peer_result<Answer>& wait()
    {
        ready_.WaitForNotification();
        return result_;
    }

private:
    peer_result<Answer> result_;
    absl::Notification ready_;
};

} // namespace

BOOST_AUTO_TEST_CASE(every_call_reaches_its_handler_with_its_content)
{
    absl::Notification told;
    absl::Notification hinted;
    peer_handlers handlers = echo_reports();
    handlers.probe = [](const wire::probe_request& request) {
        wire::probe_reply reply;
        reply.__set_incarnation("b.1");
        reply.__set_sequence(request.sequence);
        return reply;
    };
    handlers.hold = [](const wire::hold_request& request) {
        wire::hold_reply reply;
        reply.__set_promised(request.promise_ms == 6000);
        return reply;
    };
    handlers.tell_cells = [&](const std::string& sender, const std::vector<wire::cell_news>& news) {
        if (sender == "a.1" && news.size() == 2) {
            told.Notify();
        }
    };
    handlers.inbox_hint = [&](const cell_id& cell) {
        if (cell == cell_id("east.r1")) {
            hinted.Notify();
        }
    };
    handlers.push_settings = [](const wire::settings_push& push) { return push.version; };
    handlers.pull_settings = [](std::int64_t newer_than) {
        wire::settings_push push;
        push.__set_version(newer_than + 1);
        return push;
    };
    auto server = start_server(std::move(handlers));
    peer_client client;
    const net_address to = server->address();

    wire::probe_request probe;
    probe.__set_sequence(77);
    result_of<wire::probe_reply> probed;
    client.probe(to, probe, long_enough, probed.taker());
    BOOST_REQUIRE_MESSAGE(probed.wait().answer, probed.wait().reason);
    BOOST_TEST(probed.wait().answer->sequence == 77);

    wire::hold_request hold;
    hold.__set_promise_ms(6000);
    result_of<wire::hold_reply> held;
    client.hold(to, hold, long_enough, held.taker());
    BOOST_REQUIRE(held.wait().answer);
    BOOST_TEST(held.wait().answer->promised);

    result_of<peer_sent> sent;
    client.tell_cells(to, "a.1", std::vector<wire::cell_news>(2), long_enough, sent.taker());
    BOOST_TEST(sent.wait().answer.has_value());
    told.WaitForNotification();
    result_of<peer_sent> hint_sent;
    client.inbox_hint(to, cell_id("east.r1"), long_enough, hint_sent.taker());
    BOOST_TEST(hint_sent.wait().answer.has_value());
    hinted.WaitForNotification();

    wire::settings_push push;
    push.__set_version(41);
    result_of<std::int64_t> pushed;
    client.push_settings(to, push, long_enough, pushed.taker());
    BOOST_TEST(pushed.wait().answer.value_or(0) == 41);
    result_of<wire::settings_push> pulled;
    client.pull_settings(to, 41, long_enough, pulled.taker());
    BOOST_REQUIRE(pulled.wait().answer);
    BOOST_TEST(pulled.wait().answer->version == 42);

    result_of<std::string> reported;
    client.report(to, "cells", long_enough, reported.taker());
    BOOST_TEST(reported.wait().answer.value_or("") == "report of cells");
    BOOST_TEST(client.read_stats().connects == 1);
}

// More calls at once than connections: each caller gets the answer to its own call.
BOOST_AUTO_TEST_CASE(crossed_calls_get_their_own_answers)
{
    auto server = start_server(echo_reports());
    peer_client client;
    constexpr int calls = 200;
    absl::BlockingCounter left(calls);
    std::atomic<int> right{0};
    for (int i = 0; i < calls; ++i) {
        client.report(server->address(), std::to_string(i), long_enough,
                      [&, i](const peer_result<std::string>& result) {
                          right += result.answer == fmt::format("report of {}", i) ? 1 : 0;
                          left.DecrementCount();
                      });
    }
    left.Wait();
    BOOST_TEST(right.load() == calls);
    BOOST_TEST(client.read_stats().connects <= 2);
}

// Nothing listens: the call fails at once and is known not to have arrived.
BOOST_AUTO_TEST_CASE(a_peer_that_is_gone_was_not_reached)
{
    const net_address gone = start_server({})->address();
    peer_client client;
    result_of<std::string> result;
    client.report(gone, "x", long_enough, result.taker());
    BOOST_TEST(!result.wait().answer);
    BOOST_TEST(!result.wait().may_have_arrived);
    BOOST_TEST(!result.wait().reason.empty());
}

// One peer is frozen: its handler does not return. The call ends at its timeout and may have arrived; calls to another
// peer are answered meanwhile; the late answer of the frozen one reaches nobody else.
BOOST_AUTO_TEST_CASE(a_frozen_peer_holds_up_only_its_own_calls)
{
    absl::Notification thaw;
    peer_handlers frozen_handlers;
    frozen_handlers.report = [&](const std::string& what) {
        if (what == "frozen") {
            thaw.WaitForNotification();
        }
        return "report of " + what;
    };
    auto frozen = start_server(frozen_handlers);
    auto healthy = start_server(echo_reports());
    peer_client client;
    result_of<std::string> late;
    client.report(frozen->address(), "frozen", 200ms, late.taker());
    result_of<std::string> prompt;
    client.report(healthy->address(), "healthy", long_enough, prompt.taker());
    BOOST_TEST(prompt.wait().answer.value_or("") == "report of healthy");
    BOOST_TEST(!late.wait().answer);
    BOOST_TEST(late.wait().may_have_arrived);
    thaw.Notify();
    result_of<std::string> next;
    client.report(frozen->address(), "next", long_enough, next.taker());
    BOOST_TEST(next.wait().answer.value_or("") == "report of next");
}

// A restart between two calls: the kept connection is closed, and the next call finds the new process.
BOOST_AUTO_TEST_CASE(a_restarted_peer_is_met_on_a_fresh_connection)
{
    auto server = start_server(echo_reports());
    const net_address address = server->address();
    peer_client client;
    result_of<std::string> before;
    client.report(address, "before", long_enough, before.taker());
    BOOST_TEST(before.wait().answer.has_value());
    server.reset();
    std::string reason;
    server = peer_server::start({.address = address}, echo_reports(), &reason);
    BOOST_REQUIRE_MESSAGE(server, reason);
    // The close may still be on its way when the first call leaves; that one may fail, the next one may not.
    result_of<std::string> first;
    client.report(address, "first", long_enough, first.taker());
    first.wait();
    result_of<std::string> second;
    client.report(address, "second", long_enough, second.taker());
    BOOST_TEST(second.wait().answer.value_or("") == "report of second");
}

BOOST_AUTO_TEST_CASE(messages_over_the_limit_are_refused_on_both_sides)
{
    constexpr std::int64_t limit = 10'000;
    peer_handlers handlers;
    handlers.report = [](const std::string& what) { return what + std::string(2 * limit, 'x'); };
    auto server = start_server(handlers, {.message_bytes_most = limit});
    peer_client bounded(peer_channel::limits{.message_bytes_most = limit});
    result_of<std::string> answer_too_large;
    bounded.report(server->address(), "x", long_enough, answer_too_large.taker());
    BOOST_TEST(!answer_too_large.wait().answer);
    BOOST_TEST(answer_too_large.wait().may_have_arrived);
    result_of<std::string> call_too_large;
    bounded.report(server->address(), std::string(2 * limit, 'x'), long_enough, call_too_large.taker());
    BOOST_TEST(!call_too_large.wait().answer);
    BOOST_TEST(!call_too_large.wait().may_have_arrived);
    peer_client unbounded;
    result_of<std::string> refused_by_server;
    unbounded.report(server->address(), std::string(2 * limit, 'x'), long_enough, refused_by_server.taker());
    BOOST_TEST(!refused_by_server.wait().answer);
}

BOOST_AUTO_TEST_CASE(a_handler_that_throws_or_is_missing_answers_with_an_error)
{
    peer_handlers handlers;
    handlers.report = [](const std::string&) -> std::string { throw std::runtime_error("no such report"); };
    auto server = start_server(handlers);
    peer_client client;
    result_of<std::string> thrown;
    client.report(server->address(), "x", long_enough, thrown.taker());
    BOOST_TEST(!thrown.wait().answer);
    BOOST_TEST(thrown.wait().reason.find("no such report") != std::string::npos);
    result_of<std::int64_t> missing;
    client.push_settings(server->address(), {}, long_enough, missing.taker());
    BOOST_TEST(!missing.wait().answer);
}

// A flood of calls: those over the limit are refused at once, those taken are answered, none is left without a word.
BOOST_AUTO_TEST_CASE(calls_beyond_the_limit_are_refused_at_once)
{
    absl::Notification thaw;
    peer_handlers handlers;
    handlers.report = [&](const std::string& what) {
        thaw.WaitForNotification();
        return what;
    };
    auto server = start_server(handlers);
    peer_client client(peer_channel::limits{.calls_most = 10});
    constexpr int calls = 50;
    absl::BlockingCounter refused_left(calls - 10);
    absl::BlockingCounter answered_left(10);
    for (int i = 0; i < calls; ++i) {
        client.report(server->address(), "x", long_enough, [&](const peer_result<std::string>& result) {
            (result.answer ? answered_left : refused_left).DecrementCount();
        });
    }
    refused_left.Wait();
    thaw.Notify();
    answered_left.Wait();
    BOOST_TEST(client.read_stats().failed == calls - 10);
}

// The client ends while calls are open: each still gets its result.
BOOST_AUTO_TEST_CASE(a_stopping_client_answers_every_open_call)
{
    absl::Notification thaw;
    peer_handlers handlers;
    handlers.report = [&](const std::string& what) {
        thaw.WaitForNotification();
        return what;
    };
    auto server = start_server(handlers);
    std::atomic<int> ended{0};
    {
        peer_client client;
        for (int i = 0; i < 20; ++i) {
            client.report(server->address(), "x", long_enough, [&](const peer_result<std::string>&) { ++ended; });
        }
    }
    BOOST_TEST(ended.load() == 20);
    thaw.Notify();
}

BOOST_AUTO_TEST_CASE(an_address_that_is_taken_or_malformed_is_refused_with_a_reason)
{
    auto first = start_server({});
    std::string reason;
    BOOST_TEST(!peer_server::start({.address = first->address()}, {}, &reason));
    BOOST_TEST(!reason.empty());
    reason.clear();
    BOOST_TEST(!peer_server::start({.address = net_address("nowhere")}, {}, &reason));
    BOOST_TEST(!reason.empty());
}

BOOST_AUTO_TEST_CASE(a_member_survives_the_wire_and_a_malformed_one_costs_only_itself)
{
    member sent;
    sent.incarnation = incarnation_id("e1.7");
    sent.entry = entry_id("e1");
    sent.data_centre = data_centre_id("east");
    sent.peer_address = net_address("10.0.0.1:7000");
    sent.http_address = net_address("10.0.0.1:8000");
    sent.state = member_state::leaving;
    sent.version = 9;
    sent.settings = settings_version(4);
    const std::vector<member> received = from_wire({wire::member_wire{}, to_wire(sent)});
    BOOST_REQUIRE(received.size() == 1);
    BOOST_TEST(received[0].incarnation == sent.incarnation);
    BOOST_TEST(received[0].entry == sent.entry);
    BOOST_TEST(received[0].data_centre == sent.data_centre);
    BOOST_TEST(received[0].peer_address == sent.peer_address);
    BOOST_TEST(received[0].http_address == sent.http_address);
    BOOST_TEST((received[0].state == sent.state));
    BOOST_TEST(received[0].version == sent.version);
    BOOST_TEST(received[0].settings == sent.settings);
}
