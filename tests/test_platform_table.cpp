#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "config.h"
#include "support_platform.h"

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace std::chrono_literals;

namespace {

using kind = table_fault::kind;

constexpr double guaranteed =
    0.8; // of a second's budget, which the kinds' own shares may spend beyond the common store

// Sends commits of one kind at a steady pace and counts what becomes of them. A refused one comes back when told to.
struct stream {
    virtual_table& world;
    int entry = 0;
    table_traffic traffic = table_traffic::work;
    std::string name;
    duration pace{0};
    bool settled = false;
    int asked = 0;
    int applied = 0;
    int refused = 0;
    instant last_applied{};

    void start()
    {
        world.at(world.now() + pace, [this] { send(); });
    }

    void send()
    {
        const std::string row = fmt::format("{}/{}/{}", name, entry, asked++);
        table_transaction t{operation_id(row), {{row, row_version(0)}}, {{row, "x"}}};
        const auto done = [this](const table_result& r) { take(r); };
        if (settled) {
            world.commit_settled(entry, traffic, std::move(t), 5s, done);
        }
        else {
            world.commit(entry, traffic, std::move(t), done);
        }
    }

    void take(const table_result& r)
    {
        applied += r.outcome == table_outcome::applied ? 1 : 0;
        refused += r.outcome == table_outcome::refused ? 1 : 0;
        last_applied = r.outcome == table_outcome::applied ? world.now() : last_applied;
        const duration told = settled ? world.stats(entry).retry_after : duration::zero();
        world.at(world.now() + std::max(pace, told), [this] { send(); });
    }
};

} // namespace

// The table goes away for a minute, refusing or hanging, under nine entries whose hundred callers each ask again as
// soon as they are told to, besides the owners' renewals. The entries go on with single probes only. When the table is
// back, owners get through within two seconds, and the first seconds bring no more than the budgets' rate.
BOOST_AUTO_TEST_CASE(an_outage_ends_without_a_retry_storm)
{
    constexpr int entries = 9;
    constexpr int callers = 100;
    for (const kind outage : {kind::refused, kind::late_effect}) {
        virtual_table world(entries, {}, 7);
        std::int64_t calls = 0;
        std::int64_t commits = 0;
        bool down = false;
        world.fault = [&](bool is_commit) {
            ++calls;
            commits += is_commit ? 1 : 0;
            return down ? table_fault{outage, 1h} : table_fault{};
        };
        std::vector<std::unique_ptr<stream>> streams;
        for (int e = 0; e < entries; ++e) {
            streams.push_back(std::make_unique<stream>(stream{world, e, table_traffic::ownership, "cell", 1s}));
            for (int c = 0; c < callers; ++c) {
                streams.push_back(
                    std::make_unique<stream>(stream{world, e, table_traffic::work, fmt::format("c{}", c), 1s, true}));
            }
        }
        for (const auto& s : streams) {
            s->start();
        }
        world.run_for(10s);
        down = true;
        world.run_for(5s); // the breakers open once the first calls have failed
        const std::int64_t before = calls;
        world.run_for(55s);
        BOOST_TEST(calls - before <= entries * 2 * 55 * 2); // two probes an interval of half a second at least
        BOOST_TEST(calls - before >= entries * 2 * 55 / 2);
        down = false;
        const std::int64_t at_return = commits;
        world.run_for(3s);
        BOOST_TEST_MESSAGE("commits in the 3 s after the return: " << commits - at_return);
        BOOST_TEST(commits - at_return <= entries * (3 + guaranteed) * config::table_writes_per_second);
        const auto owning = std::count_if(streams.begin(), streams.end(), [&](const auto& s) {
            return s->traffic == table_traffic::ownership && s->last_applied > world.now() - 1500ms;
        });
        BOOST_TEST(owning == entries);
        const std::int64_t written = world.state.counters().transactions;
        world.run_for(10s);
        BOOST_TEST(world.state.counters().transactions - written >= entries * 9 * config::table_writes_per_second);
        const auto served = std::count_if(streams.begin(), streams.end(),
                                          [&](const auto& s) { return s->last_applied > world.now() - 10s; });
        BOOST_TEST(static_cast<std::size_t>(served) == streams.size());
    }
}

// Far more work and background traffic than the budget allows. Every renewal of an owner still goes at once, settings
// keep their part, the sum keeps to the rate, and background gets what is left over: nothing.
BOOST_AUTO_TEST_CASE(the_budget_starves_background_but_never_ownership)
{
    virtual_table world(1, {}, 1);
    std::array<stream, 4> streams{
        stream{world, 0, table_traffic::ownership, "o", 100ms}, stream{world, 0, table_traffic::work, "w", 2ms},
        stream{world, 0, table_traffic::settings, "s", 500ms}, stream{world, 0, table_traffic::background, "b", 2ms}};
    for (stream& s : streams) {
        s.start();
    }
    world.run_for(2s);
    const int background_before = streams[3].applied;
    world.run_for(28s);
    BOOST_TEST(streams[0].refused == 0);
    BOOST_TEST(streams[0].applied >= 280);
    BOOST_TEST(streams[2].refused == 0);
    BOOST_TEST(streams[1].applied >= 28 * config::table_writes_per_second * 0.2);
    BOOST_TEST(streams[3].applied == background_before);
    constexpr std::int64_t seconds = 31; // 30 and a second's burst; the last call of each kind may be the one too many
    BOOST_TEST(world.stats(0).rows_written <= static_cast<std::int64_t>(seconds * config::table_writes_per_second) + 4);
}

// One transaction writes far more rows than a second's budget. The debt holds back further work, not the owners.
BOOST_AUTO_TEST_CASE(the_debt_of_a_large_commit_does_not_hold_back_owners)
{
    virtual_table world(1, {}, 1);
    table_transaction large{operation_id("large"), {}, {}};
    for (int i = 0; i < 1000; ++i) {
        large.writes.push_back({fmt::format("row/{}", i), "x"});
    }
    std::optional<table_result> first;
    std::optional<table_result> second;
    world.commit(0, table_traffic::work, large, [&](const table_result& r) { first = r; });
    world.commit(0, table_traffic::work, large, [&](const table_result& r) { second = r; });
    stream owner{world, 0, table_traffic::ownership, "o", 100ms};
    owner.start();
    world.run_for(5s);
    BOOST_TEST((first->outcome == table_outcome::applied));
    BOOST_TEST((second->outcome == table_outcome::refused));
    BOOST_TEST(world.stats(0).retry_after > 10s);
    BOOST_TEST(owner.refused == 0);
}

// The table is down: a caller whose write was never sent is told so at once and when to come back, instead of waiting
// for its deadline.
BOOST_AUTO_TEST_CASE(a_commit_that_cannot_be_sent_is_refused_at_once)
{
    virtual_table world(1, {}, 1);
    world.fault = [](bool) { return table_fault{kind::refused}; };
    for (int i = 0; i < config::table_breaker_failures; ++i) {
        world.read(0, table_traffic::work, "k", [](const auto&) {});
    }
    world.run_for(10ms);
    std::optional<table_result> result;
    world.commit_settled(0, table_traffic::work, {operation_id("t"), {{"k", row_version(0)}}, {{"k", "x"}}}, 5s,
                         [&](const table_result& r) { result = r; });
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->outcome == table_outcome::refused));
    BOOST_TEST(world.stats(0).breaker_open);
    BOOST_TEST(world.stats(0).retry_after > 0ms);
    BOOST_TEST(world.stats(0).refused_by_breaker == 1);
}

// The budget has filled up while the table was down. The first answer empties it again, so that callers who waited for
// the return meet the rate and not a second's burst on top of it.
BOOST_AUTO_TEST_CASE(a_table_that_is_back_is_met_by_the_rate)
{
    virtual_table world(1, {}, 1);
    bool down = true;
    world.fault = [&](bool) { return table_fault{down ? kind::refused : kind::none}; };
    for (int i = 0; i < config::table_breaker_failures; ++i) {
        world.read(0, table_traffic::work, "k", [](const auto&) {});
    }
    world.run_for(5s);
    down = false;
    stream callers{world, 0, table_traffic::work, "w", 1ms};
    callers.start();
    world.run_for(200ms);
    BOOST_TEST(callers.applied >= 1 + 8);      // the probe and what work is guaranteed
    BOOST_TEST(callers.applied <= 1 + 8 + 12); // and the rate of 200 ms
}

// A table that answers slower than it is asked: calls under way stay bounded, and owners still get through.
BOOST_AUTO_TEST_CASE(a_slow_table_keeps_few_calls_under_way)
{
    virtual_table world(1, {.timeout = 2s, .reads_per_second = 1000}, 1);
    world.fault = [](bool is_commit) { return table_fault{kind::none, is_commit ? 500ms : 1500ms}; };
    int refused = 0;
    for (int i = 0; i < 300; ++i) {
        world.read(0, table_traffic::work, "k", [&](const auto& row) { refused += row ? 0 : 1; });
    }
    stream owner{world, 0, table_traffic::ownership, "o", 100ms};
    owner.start();
    world.run_for(3s);
    BOOST_TEST(refused == 300 - config::table_calls_in_flight_most);
    BOOST_TEST(owner.refused == 0);
    BOOST_TEST(owner.applied == 4);
}

// A scan of more pages than the budget holds reads: it waits between pages instead of failing, for a scan that starts
// over each time would never come to an end.
BOOST_AUTO_TEST_CASE(a_long_scan_waits_for_its_budget_between_pages)
{
    virtual_table world(1, {.timeout = 2s, .reads_per_second = 2}, 1);
    table_transaction t{operation_id("t"), {}, {}};
    for (int i = 0; i < config::table_page_rows * 6; ++i) {
        t.writes.push_back({fmt::format("p/{:06}", i), "x"});
    }
    world.state.commit(world.now(), wrap_transaction(t));
    std::optional<table_scan_result> result;
    world.scan(0, table_traffic::work, "p/", [&](const table_scan_result& r) { result = r; });
    world.run_for(1s);
    BOOST_TEST(!result.has_value());
    world.run_for(9s);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->complete);
    BOOST_TEST(result->rows.size() == t.writes.size());
}
