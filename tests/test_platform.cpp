#include <boost/test/unit_test.hpp>

#include <absl/synchronization/notification.h>
#include <fmt/format.h>

#include "platform_client_p.h"
#include "platform_service_p.h"
#include "platform_state_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

instant at(duration since_start)
{
    return instant(1h + since_start);
}

table_transaction transaction(const std::string& operation, const std::string& key, std::int64_t version,
                              const std::string& value)
{
    return {operation_id(operation), {{key, row_version(version)}}, {{key, value}}};
}

// A client and its stand-in within this process.
struct platform_pair {
    platform_pair()
    {
        std::string reason;
        service = standin::platform_service::start({}, &reason);
        BOOST_REQUIRE_MESSAGE(service, reason);
        client = std::make_unique<platform_client>(
            http, platform_client::options{.address = service->address(), .timeout = 500ms});
    }

    // Calls and waits for the one answer.
    template <class Answer, class Call> Answer wait_for(Call call)
    {
        Answer answer;
        absl::Notification finished;
        call([&](Answer a) {
            answer = std::move(a);
            finished.Notify();
        });
        finished.WaitForNotification();
        return answer;
    }

    table_result commit(const table_transaction& t)
    {
        return wait_for<table_result>([&](auto done) { client->commit(table_traffic::work, t, done); });
    }
    std::optional<table_row> read(const std::string& key)
    {
        return wait_for<std::optional<table_row>>([&](auto done) { client->read(table_traffic::work, key, done); });
    }
    table_scan_result scan(const std::string& prefix)
    {
        return wait_for<table_scan_result>([&](auto done) { client->scan(table_traffic::work, prefix, done); });
    }

    std::unique_ptr<standin::platform_service> service;
    http_client http;
    std::unique_ptr<platform_client> client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stand_in)

BOOST_AUTO_TEST_CASE(a_transaction_applies_whole_or_not_at_all)
{
    standin::platform_state state(0ms);
    BOOST_TEST((state.commit(at(0s), transaction("a", "k", 0, "1")).status == standin::commit_status::applied));
    table_transaction both = transaction("b", "other", 0, "2");
    both.checks.push_back({"k", row_version(0)});
    const auto effect = state.commit(at(0s), both);
    BOOST_TEST((effect.status == standin::commit_status::conflict));
    BOOST_REQUIRE(effect.rows.size() == 1U);
    BOOST_TEST(effect.rows[0].key == "k");
    BOOST_TEST(!state.read(at(0s), "other")->value.has_value());
}

// A row is removed and written again by others while a write checked against its first version is under way. The
// version has risen past the checked one for good, so the late write cannot pass.
BOOST_AUTO_TEST_CASE(a_version_never_comes_back_after_a_removal)
{
    standin::platform_state state(0ms);
    const row_version first = state.commit(at(0s), transaction("a", "k", 0, "1")).rows[0].version;
    state.commit(at(0s), {operation_id("b"), {}, {{"k", std::nullopt}}});
    state.commit(at(0s), transaction("c", "k", 0, "2"));
    BOOST_TEST((state.commit(at(0s), transaction("late", "k", first.value(), "x")).status ==
                standin::commit_status::conflict));
}

// The answer is lost at once and the effect comes later: a read in between does not see the write yet.
BOOST_AUTO_TEST_CASE(a_delayed_commit_takes_effect_after_its_answer_was_lost)
{
    standin::platform_state state(0ms);
    state.change_switches(at(0s), {.delay_commits_ms = 1000});
    BOOST_TEST((state.commit(at(0s), transaction("a", "k", 0, "1")).status == standin::commit_status::lost));
    BOOST_TEST(!state.read(at(999ms), "k")->value.has_value());
    BOOST_TEST(*state.read(at(1000ms), "k")->value == "1");
}

BOOST_AUTO_TEST_CASE(the_instance_list_lags_and_drops_the_silent)
{
    standin::platform_state state(2s);
    state.register_instance(at(0s), {.id = "w1"});
    BOOST_TEST(state.list_instances(at(1s)).empty());
    BOOST_TEST(state.list_instances(at(2s)).size() == 1U);
    BOOST_TEST(state.list_instances(at(4s)).size() == 1U); // silent since 0 s, dropped at 3 s, seen at 5 s
    BOOST_TEST(state.list_instances(at(5s)).empty());
}

BOOST_AUTO_TEST_CASE(a_frozen_list_stays_as_it_was)
{
    standin::platform_state state(0s);
    state.register_instance(at(0s), {.id = "w1"});
    state.change_switches(at(1s), {.list_frozen = true});
    state.unregister_instance(at(2s), "w1");
    BOOST_TEST(state.list_instances(at(10s)).size() == 1U);
    state.change_switches(at(10s), {.list_frozen = false});
    BOOST_TEST(state.list_instances(at(10s)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(client)

BOOST_AUTO_TEST_CASE(a_written_row_is_read_back_with_its_operation)
{
    platform_pair p;
    const table_result written = p.commit(transaction("op-1", "a key/with &?", 0, "va:lue"));
    BOOST_TEST((written.outcome == table_outcome::applied));
    const auto row = p.read("a key/with &?");
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(*row->value == "va:lue");
    BOOST_TEST(row->operation == operation_id("op-1"));
    BOOST_TEST(row->version == written.rows.at(0).version);
    BOOST_TEST(p.read("absent")->version == row_version(0));
}

BOOST_AUTO_TEST_CASE(a_failed_check_is_a_conflict_with_the_row_that_stands)
{
    platform_pair p;
    p.commit(transaction("op-1", "k", 0, "first"));
    const table_result second = p.commit(transaction("op-2", "k", 0, "second"));
    BOOST_TEST((second.outcome == table_outcome::conflict));
    BOOST_REQUIRE(second.rows.size() == 1U);
    BOOST_TEST(*second.rows[0].value == "first");
    BOOST_TEST(second.rows[0].operation == operation_id("op-1"));
}

BOOST_AUTO_TEST_CASE(a_scan_pages_to_the_end)
{
    platform_pair p;
    constexpr int rows = 1203;
    table_transaction t{operation_id("op"), {}, {{"other", "x"}}};
    for (int i = 0; i < rows; ++i) {
        t.writes.push_back({fmt::format("prefix/{:05}", i), "v"});
    }
    BOOST_TEST((p.commit(t).outcome == table_outcome::applied));
    const table_scan_result scan = p.scan("prefix/");
    BOOST_TEST(scan.complete);
    BOOST_TEST(scan.rows.size() == static_cast<std::size_t>(rows));
    BOOST_TEST(scan.rows.back().key == "prefix/01202");
}

// The table applies the write, and the connection closes before the answer. The caller must not be told "refused", and
// the client must not send again by itself: the second copy would be told of a conflict with the first.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_unknown_and_sent_once)
{
    platform_pair p;
    p.read("warm up a kept connection");
    p.service->change_switches({.lose_answers = 1});
    BOOST_TEST((p.commit(transaction("op-1", "k", 0, "v")).outcome == table_outcome::unknown));
    BOOST_TEST(p.read("k")->operation == operation_id("op-1"));
    BOOST_TEST(p.service->read_counters().transactions == 1);
    BOOST_TEST(p.client->read_stats().unknown == 1);
}

// Over the wire: the first copy's answer is lost at once and its effect comes a second later; the client reads the old
// row, sends again and is answered. The late copy then meets a moved row.
BOOST_AUTO_TEST_CASE(a_settled_commit_outlives_a_delayed_write)
{
    platform_pair p;
    p.service->change_switches({.delay_commits_ms = 1000});
    const auto result = p.wait_for<table_result>(
        [&](auto done) { p.client->commit_settled(table_traffic::work, transaction("op-1", "k", 0, "v"), 5s, done); });
    BOOST_TEST((result.outcome == table_outcome::applied));
    BOOST_TEST(result.rows.at(0).version == p.read("k")->version);
    BOOST_TEST(p.service->read_counters().transactions == 1);
}

// The client goes away while a caller waits for a slow table, and the caller asks again from within its callback: both
// answers come, and the first one is not "refused".
BOOST_AUTO_TEST_CASE(a_stopping_client_answers_whoever_waits)
{
    platform_pair p;
    p.service->change_switches({.table_delay_ms = 300});
    std::optional<table_result> first;
    std::optional<std::optional<table_row>> second;
    platform_client* const client = p.client.get();
    client->commit(table_traffic::work, transaction("op-1", "k", 0, "v"), [&](const table_result& r) {
        first = r;
        client->read(table_traffic::work, "k", [&](const auto& row) { second = row; });
    });
    p.client.reset();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST((first->outcome == table_outcome::unknown));
    BOOST_TEST(second.has_value());
}

// The table says it is down, or nothing listens at all: the write had no effect and never will.
BOOST_AUTO_TEST_CASE(a_table_that_is_down_refuses)
{
    platform_pair p;
    p.service->change_switches({.table_down = true});
    BOOST_TEST((p.commit(transaction("op-1", "k", 0, "v")).outcome == table_outcome::refused));
    BOOST_TEST(!p.read("k").has_value());
    BOOST_TEST(!p.scan("k").complete);
    p.service.reset();
    BOOST_TEST((p.commit(transaction("op-2", "k", 0, "v")).outcome == table_outcome::refused));
}

BOOST_AUTO_TEST_CASE(an_instance_registers_and_leaves)
{
    platform_pair p;
    const listed_instance self{.id = "e1",
                               .role = instance_role::entry,
                               .data_centre = data_centre_id("north"),
                               .address = net_address("127.0.0.1:1"),
                               .peer_address = net_address("127.0.0.1:2"),
                               .capacity = {.cpu_millis = 1000, .memory_mib = 64}};
    BOOST_TEST(p.wait_for<bool>([&](auto done) { p.client->register_instance(self, done); }));
    using list = std::optional<std::vector<listed_instance>>;
    const auto listed = p.wait_for<list>([&](auto done) { p.client->list_instances(done); });
    BOOST_REQUIRE(listed.has_value());
    BOOST_REQUIRE(listed->size() == 1U);
    BOOST_TEST((listed->at(0).role == instance_role::entry));
    BOOST_TEST(listed->at(0).peer_address == self.peer_address);
    BOOST_TEST((listed->at(0).capacity == self.capacity));
    BOOST_TEST(p.wait_for<bool>([&](auto done) { p.client->unregister_instance("e1", done); }));
    BOOST_TEST(p.wait_for<list>([&](auto done) { p.client->list_instances(done); })->empty());
}

BOOST_AUTO_TEST_SUITE_END()
