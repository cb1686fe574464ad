#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "support_member_net.h"

using namespace skylarkhub;
using namespace std::chrono_literals;
using skylarkhub::testing::member_net;

namespace {

// Within this every change is known to all of nine entries, whatever the chance.
constexpr duration settled = 15s;

bool between(const member_net& net, const std::string& from, const std::string& to, const char* one, const char* other)
{
    const std::string a = net.data_centre(from);
    const std::string b = net.data_centre(to);
    return (a == one && b == other) || (a == other && b == one);
}

} // namespace

BOOST_AUTO_TEST_CASE(entries_that_run_stay_live)
{
    member_net net({});
    net.start_all(9);
    net.run(10min);
    BOOST_TEST(net.all_live());
    BOOST_TEST(net.deaths() == 0);
    BOOST_TEST(net.at("entry-000").live_in(data_centre_id("a")).size() == 3);
    BOOST_TEST(net.at("entry-000").members().size() == 9);
}

// An entry is killed. Nobody answers for it, directly or through others: it is suspect first, dead after the timeout,
// and everybody knows within seconds.
BOOST_AUTO_TEST_CASE(a_killed_entry_is_suspected_then_dead_everywhere)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    const instant killed = net.now();
    net.kill("entry-004");
    net.run(settled);
    BOOST_TEST(net.all_see("entry-004", member_state::dead));
    std::optional<instant> suspected;
    std::optional<instant> died;
    for (const auto& c : net.changes()) {
        if (c.at > killed && c.changed.entry == entry_id("entry-004")) {
            auto& first = c.changed.state == member_state::suspect ? suspected : died;
            first = first.value_or(c.at);
        }
    }
    BOOST_REQUIRE((suspected && died));
    BOOST_TEST((*died - *suspected >= config::suspect_timeout));
    BOOST_TEST(net.deaths() == 8);
    BOOST_TEST(net.at("entry-000").live_in(data_centre_id("b")).size() == 2);
}

// A process is frozen past the suspicion, the others hold it for dead, and then it goes on. It hears of its own death,
// raises its version, and all see it live again. On waking it must not hold the others for dead, though all that it
// waited for during the freeze has timed out.
BOOST_AUTO_TEST_CASE(a_frozen_entry_comes_back_and_ends_nobody)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.freeze("entry-002");
    net.run(30s);
    BOOST_TEST(net.all_see("entry-002", member_state::dead));
    const std::int64_t deaths = net.deaths();
    net.thaw("entry-002");
    net.run(settled);
    BOOST_TEST(net.all_live());
    BOOST_TEST(net.deaths() == deaths);
}

// A process is frozen while it suspects another one. On waking its clock runs on before any message of the meantime is
// read: the suspicion is long over, and acting on that would end a member that may have cleared itself for everybody.
BOOST_AUTO_TEST_CASE(a_suspicion_that_ran_out_during_a_freeze_ends_nobody)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    membership& waking = net.at("entry-000");
    member suspected = net.at("entry-001").self();
    suspected.state = member_state::suspect;
    std::vector<member_action> actions;
    waking.decide(net.now(), member_probed{net.at("entry-002").self().incarnation, {suspected}}, actions);
    BOOST_REQUIRE((net.state("entry-000", "entry-001") == member_state::suspect));
    const instant woken = net.now() + 1min;
    waking.decide(woken, member_tick{}, actions);
    BOOST_TEST((net.state("entry-000", "entry-001") == member_state::suspect));
    for (duration d = 100ms; d <= config::suspect_timeout; d += 100ms) {
        waking.decide(woken + d, member_tick{}, actions);
    }
    BOOST_TEST((net.state("entry-000", "entry-001") == member_state::dead));
}

// A short freeze: suspected, but back before the timeout; it is never held for dead.
BOOST_AUTO_TEST_CASE(a_short_freeze_is_refuted_in_time)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.freeze("entry-002");
    net.run(2s);
    net.thaw("entry-002");
    net.run(settled);
    BOOST_TEST(net.all_live());
    BOOST_TEST(net.deaths() == 0);
}

// One entry cannot reach another one, though the other way and all third parties work: the relays answer for it.
BOOST_AUTO_TEST_CASE(an_asymmetric_cut_between_two_entries_ends_nobody)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.cut = [](const std::string& from, const std::string& to) { return from == "entry-000" && to == "entry-001"; };
    net.run(5min);
    BOOST_TEST(net.deaths() == 0);
    BOOST_TEST((net.state("entry-000", "entry-001") == member_state::live));
}

// Two data centres lose each other, a third one sees both. Their members stay live for all, since the third answers
// for them; but each of the two knows that it does not reach the other one itself.
BOOST_AUTO_TEST_CASE(a_cut_between_two_data_centres_is_bridged_by_the_third)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    BOOST_TEST(net.at("entry-000").reachable(data_centre_id("b"), net.now()));
    net.cut = [&](const std::string& from, const std::string& to) { return between(net, from, to, "a", "b"); };
    net.run(2min);
    BOOST_TEST(net.deaths() == 0);
    BOOST_TEST(!net.at("entry-000").reachable(data_centre_id("b"), net.now()));
    BOOST_TEST(net.at("entry-000").reachable(data_centre_id("c"), net.now()));
    BOOST_TEST(net.at("entry-000").reachable(data_centre_id("a"), net.now()));
    net.cut = nullptr;
    net.run(settled);
    BOOST_TEST(net.at("entry-000").reachable(data_centre_id("b"), net.now()));
}

// With eleven data centres the round robin alone leaves one unvisited for longer than it takes to be held for cut off.
BOOST_AUTO_TEST_CASE(each_of_many_data_centres_stays_reachable)
{
    member_net net({});
    net.start_all(77, 11);
    net.run(settled);
    int unreachable = 0;
    for (int second = 0; second < 60; ++second) {
        net.run(1s);
        for (const char* const name : {"entry-000", "entry-038", "entry-076"}) {
            for (char centre = 'a'; centre < 'a' + 11; ++centre) {
                unreachable += net.at(name).reachable(data_centre_id(std::string(1, centre)), net.now()) ? 0 : 1;
            }
        }
    }
    BOOST_TEST(unreachable == 0);
}

// A data centre is cut off from all others for an hour. Each side goes on with its own members and holds the others for
// dead; when the cut heals, all find each other again, with no help from the platform's list.
BOOST_AUTO_TEST_CASE(a_data_centre_cut_off_for_an_hour_is_found_again)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.cut = [&](const std::string& from, const std::string& to) {
        return (net.data_centre(from) == "a") != (net.data_centre(to) == "a");
    };
    net.run(1h);
    BOOST_TEST(net.at("entry-000").live_in(data_centre_id("a")).size() == 3);
    BOOST_TEST(net.at("entry-000").live_in(data_centre_id("b")).empty());
    BOOST_TEST(net.at("entry-001").live_in(data_centre_id("a")).empty());
    BOOST_TEST(net.at("entry-001").live_in(data_centre_id("c")).size() == 3);
    BOOST_TEST(!net.at("entry-000").reachable(data_centre_id("b"), net.now()));
    net.cut = nullptr;
    net.run(30s);
    BOOST_TEST(net.all_live());
    BOOST_TEST(net.at("entry-000").reachable(data_centre_id("b"), net.now()));
}

// The list is empty, or shows entries that stopped long ago, or misses one that runs: whoever answers stays, and a dead
// one that is still listed does not come back.
BOOST_AUTO_TEST_CASE(a_stale_or_empty_list_ends_nobody_and_revives_nobody)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.kill("entry-005");
    net.run(settled);
    const std::int64_t deaths = net.deaths();
    for (const std::string& name : net.names()) {
        net.list(name, {});
        net.list(name, {"entry-000", "entry-005"});
    }
    net.run(1min);
    BOOST_TEST(net.all_see("entry-005", member_state::dead));
    BOOST_TEST(net.deaths() == deaths);
    for (const std::string& name : net.names()) {
        BOOST_TEST(net.all_see(name, member_state::live));
    }
}

// The list shows a new entry to one single member only: the news carries it to all the others, and all others to it.
BOOST_AUTO_TEST_CASE(one_listed_contact_is_enough_to_join)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.start("entry-100", "b");
    net.list("entry-007", {"entry-100"});
    net.run(settled);
    BOOST_TEST(net.all_live());
    BOOST_TEST(net.at("entry-100").members().size() == 10);
}

// News of a dead member's life is still on its way when it dies, and arrives afterwards: it does not come back.
BOOST_AUTO_TEST_CASE(late_news_does_not_revive_the_dead)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    const member alive = net.at("entry-003").self();
    net.kill("entry-003");
    net.run(settled);
    std::vector<member_action> actions;
    net.at("entry-000").decide(net.now(), member_probed{net.at("entry-001").self().incarnation, {alive}}, actions);
    net.run(settled);
    BOOST_TEST(net.all_see("entry-003", member_state::dead));
    BOOST_TEST(net.deaths() == 8);
}

// A fifth of all messages is lost for half an hour. Probes fail all the time, but relays, repeated questions to
// suspects and their own answers keep almost all of that from ending anybody; whoever was ended wrongly hears of it and
// is back.
BOOST_AUTO_TEST_CASE(a_fifth_of_messages_lost_leaves_all_live_in_the_end)
{
    member_net net({.seed = 7});
    net.start_all(9);
    net.loss = 0.2;
    net.run(30min);
    BOOST_TEST(net.deaths() <= 2 * 8); // two false deaths as all others see them, among 32,400 probes
    net.loss = 0;
    net.run(settled);
    BOOST_TEST(net.all_live());
}

// An entry is restarted under its name and address. The new process is another incarnation: it is live at once, and the
// old one is dead everywhere, though something answers at its address.
BOOST_AUTO_TEST_CASE(a_restarted_entry_is_a_new_incarnation)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    const incarnation_id before = net.at("entry-006").self().incarnation;
    net.kill("entry-006");
    const incarnation_id after = net.start("entry-006", "a");
    net.list("entry-006", net.names());
    net.run(settled);
    BOOST_TEST(net.all_see("entry-006", member_state::live));
    for (const std::string& name : net.names()) {
        const auto live = net.at(name).live_in(data_centre_id("a"));
        BOOST_TEST(std::count(live.begin(), live.end(), before) == 0);
        BOOST_TEST(std::count(live.begin(), live.end(), after) == 1);
    }
}

// An entry has one process at a time: whoever hears of a newer start suspects the earlier one at once, without waiting
// for its turn to be probed.
BOOST_AUTO_TEST_CASE(news_of_a_newer_start_makes_the_earlier_one_suspect)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    member newer = net.at("entry-006").self();
    newer.incarnation = incarnation_id("entry-006@99999999");
    std::vector<member_action> actions;
    net.at("entry-000").decide(net.now(), member_probed{newer.incarnation, {newer}}, actions);
    BOOST_TEST((net.state("entry-000", "entry-006") == member_state::suspect));
}

// The clock of a restarted entry was set back, so that its start stamp is lower than that of its earlier life. The live
// one is suspected at most, and clears itself; the earlier one is dead by its silence.
BOOST_AUTO_TEST_CASE(a_restart_with_its_clock_set_back_still_wins)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    const incarnation_id before = net.at("entry-006").self().incarnation;
    net.kill("entry-006");
    const incarnation_id after = net.start("entry-006", "a", 5);
    net.list("entry-006", net.names());
    net.run(30s);
    BOOST_TEST(net.all_see("entry-006", member_state::live));
    const auto live = net.at("entry-000").live_in(data_centre_id("a"));
    BOOST_TEST(std::count(live.begin(), live.end(), before) == 0);
    BOOST_TEST(std::count(live.begin(), live.end(), after) == 1);
}

// A planned stop: all know within seconds that the entry is leaving, it answers until it ends, and is then dead without
// having been suspect.
BOOST_AUTO_TEST_CASE(a_leaving_entry_is_known_as_leaving_before_it_ends)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.leave("entry-008");
    net.run(5s);
    BOOST_TEST(net.all_see("entry-008", member_state::leaving));
    BOOST_TEST(net.at("entry-000").live_in(data_centre_id("c")).size() == 2);
    BOOST_TEST(net.at("entry-008").live_in(data_centre_id("c")).size() == 2);
    net.kill("entry-008");
    net.run(settled);
    BOOST_TEST(net.all_see("entry-008", member_state::dead));
    const auto suspected = std::count_if(net.changes().begin(), net.changes().end(), [](const member_net::change& c) {
        return c.changed.state == member_state::suspect;
    });
    BOOST_TEST(suspected == 0);
}

// What each entry has in force reaches the others without any change of state.
BOOST_AUTO_TEST_CASE(settings_versions_reach_all)
{
    member_net net({});
    net.start_all(9);
    net.run(settled);
    net.at("entry-003").set_settings_version(settings_version(17));
    net.run(settled);
    for (const std::string& name : net.names()) {
        for (const member& m : net.at(name).members()) {
            BOOST_TEST((m.entry != entry_id("entry-003") || m.settings == settings_version(17)));
        }
    }
}

// The cost of an entry must not grow with their number: each sends a fixed number of probes with bounded news, and
// answers as many on average.
BOOST_AUTO_TEST_CASE(messages_of_an_entry_stay_flat_as_entries_grow)
{
    constexpr double per_second_most = 2 * 2 + 2; // probes and answers at two a second, and an allowance for odd ones
    for (const int entries : {9, 99}) {
        member_net net({});
        net.start_all(entries);
        net.run(30s);
        std::int64_t before = 0;
        for (const std::string& name : net.names()) {
            before += net.sent_by(name).messages;
        }
        net.run(60s);
        std::int64_t after = 0;
        for (const std::string& name : net.names()) {
            after += net.sent_by(name).messages;
        }
        BOOST_TEST(static_cast<double>(after - before) / 60 / entries <= per_second_most);
    }
}
