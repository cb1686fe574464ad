// What an entry answers callers before it knows anything, or once it hears nobody: nothing untrue.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int entries_count = 12;
constexpr duration known_after = 3s; // a change or a job that was confirmed, at every entry
constexpr duration new_for = 2s;     // an entry that has started is asked as long
constexpr duration step = 50ms;
constexpr duration submit_interval = 50ms;
constexpr duration first_change = 6s; // after the start
constexpr duration first_restart = 11s;
constexpr duration restart_away = 300ms;
constexpr duration alone_gap = 4s; // between restarts of one entry
constexpr duration turn_gap = 400ms;
constexpr duration played = 30s;
constexpr std::size_t large_config = 364'000; // bytes
constexpr double very_narrow_link = 0.25e6;   // bytes a second
const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";

struct site_case {
    std::uint64_t seed = 1;
    bool cut_from_peers = false; // the entry that starts, from then on
    bool cut_from_table = false;
    duration page_time{0};
    bool in_turn = false; // all entries, twice round; else one, again and again
    duration second_change = 13s;
    std::size_t config_bytes = 0;
    double link_bytes_per_s = 0;
    bool far = false; // from the table and from each other
};

enum class question : std::uint8_t {
    submit_known,
    submit_new,
    submit_again,
    state_accepted,
    state_never,
    state_new_queue,
    cancel
};

const std::map<question, std::string> question_names{
    {question::submit_known, "submit to a known queue"},   {question::submit_new, "submit to a new queue"},
    {question::submit_again, "submit of an accepted job"}, {question::state_accepted, "state of an accepted job"},
    {question::state_never, "state of a job of nobody's"}, {question::state_new_queue, "state in a new queue"},
    {question::cancel, "cancel of an accepted job"}};

const std::map<caller_result, std::string> result_names{{caller_result::accepted, "accepted"},
                                                        {caller_result::state, "state"},
                                                        {caller_result::pending, "pending"},
                                                        {caller_result::cancelled, "cancelled"},
                                                        {caller_result::unknown_queue, "unknown_queue"},
                                                        {caller_result::unknown_job, "unknown_job"},
                                                        {caller_result::invalid, "invalid"},
                                                        {caller_result::rejected, "not_accepted"},
                                                        {caller_result::retry_later, "try_later"},
                                                        {caller_result::outcome_unknown, "unsettled"}};

caller_request make_request(caller_verb verb, const std::string& queue, const std::string& job)
{
    caller_request request;
    request.verb = verb;
    request.host = "host";
    request.path = fmt::format("/{}/{}", queue, job);
    return request;
}

// A site that runs jobs and has had its configuration changed, whose entries are asked as soon as they start.
class asked_site {
public:
    explicit asked_site(const site_case& c) : case_(c), world_(make_options(c)) {}

    void play()
    {
        begun_ = world_.now();
        while (world_.now() - begun_ < played) {
            const duration t = world_.now() - begun_;
            change_config(t);
            restart(t);
            submit(t);
            for (const auto& [entry, since] : started_) {
                if (is_up(entry) && world_.now() - since <= new_for) {
                    ask_all(entry, since);
                }
            }
            for (int entry = 0; entry < entries_count; ++entry) {
                const bool cut = started_.count(entry) != 0 && (case_.cut_from_peers || case_.cut_from_table);
                if (t > first_change + known_after && is_up(entry) && !cut) {
                    const auto at = started_.find(entry);
                    ask(question::state_new_queue, caller_verb::state, entry,
                        at == started_.end() ? begun_ : at->second, "e" + next_job().substr(1), newest_queue_);
                }
            }
            world_.run_for(step);
        }
        heal();
        world_.run_for(15s);
        judge();
    }

private:
    struct asked_question {
        question what = question::submit_known;
        std::string job;
        int entry = 0;
        duration age{0};
        bool ready = false;
        std::optional<caller_result> answer;
        std::string reason;
    };

    static flow_simulation::options make_options(const site_case& c)
    {
        flow_simulation::options o;
        o.seed = c.seed;
        o.data_centres = {"a", "b"};
        o.entries_per_data_centre = entries_count / 2;
        o.workers_per_data_centre = 12;
        o.rack_size = 6;
        o.job_page_transfer_time = c.page_time;
        o.link_bytes_per_s = c.link_bytes_per_s;
        if (c.far) {
            o.table_latency = 150ms;
            o.network_latency = 60ms;
        }
        o.run_time = [](const flow_task_id&) { return duration(4s); };
        return o;
    }

    void change_config(duration t)
    {
        if (changes_ == 0 && t >= first_change) {
            ++changes_;
            world_.write_config({"q", "added"}, case_.config_bytes);
            newest_queue_ = "added";
        }
        if (changes_ == 1 && t >= case_.second_change) {
            ++changes_;
            world_.write_config({"q", "added", "later"}, case_.config_bytes);
        }
        if (t >= case_.second_change + known_after) {
            newest_queue_ = "later";
        }
    }

    void restart(duration t)
    {
        const duration gap = case_.in_turn ? turn_gap : alone_gap;
        const int most = case_.in_turn ? 2 * entries_count : 4;
        while (restarted_ < most && t >= first_restart + gap * restarted_) {
            const int entry = case_.in_turn ? restarted_ % entries_count : 0;
            ++restarted_;
            world_.kill_entry(entry);
            coming_[entry] = world_.now() + restart_away;
        }
        for (auto at = coming_.begin(); at != coming_.end();) {
            if (world_.now() < at->second) {
                ++at;
                continue;
            }
            world_.cut_entry_from_peers(at->first, case_.cut_from_peers);
            world_.cut_entry_from_table(at->first, case_.cut_from_table);
            world_.start_entry(at->first);
            started_[at->first] = world_.now();
            at = coming_.erase(at);
        }
    }

    bool is_up(int entry) { return world_.entry(entry) != nullptr && coming_.count(entry) == 0; }

    void heal()
    {
        for (int entry = 0; entry < entries_count; ++entry) {
            world_.cut_entry_from_peers(entry, false);
            world_.cut_entry_from_table(entry, false);
        }
    }

    std::string next_job() { return fmt::format("{:016x}", ++jobs_); }

    // Through entries that have been up for long, if there is one.
    void submit(duration t)
    {
        if (t < 2s || t < submit_interval * submitted_) {
            return;
        }
        for (int tried = 0; tried < entries_count; ++tried) {
            const int entry = (static_cast<int>(submitted_) + tried) % entries_count;
            const auto at = started_.find(entry);
            const bool cut = at != started_.end() && (case_.cut_from_peers || case_.cut_from_table);
            if (world_.entry(entry) != nullptr && world_.entry(entry)->ready() && !cut) {
                sent_.push_back(next_job());
                world_.send_submit(entry, sent_.back(), make_spec());
                break;
            }
        }
        ++submitted_;
        std::erase_if(sent_, [this](const std::string& job) {
            const auto& answers = world_.answers().at(job);
            if (!answers.empty() && answers.front() == caller_result::accepted) {
                accepted_.emplace_back(world_.now(), job);
            }
            return !answers.empty();
        });
    }

    // One of those that were confirmed as long ago as they must be known for, in turn.
    std::optional<std::string> take_accepted()
    {
        const auto due = std::count_if(accepted_.begin(), accepted_.end(),
                                       [this](const auto& job) { return world_.now() - job.first > known_after; });
        return due == 0 ? std::nullopt
                        : std::optional(accepted_[next_accepted_++ % static_cast<std::size_t>(due)].second);
    }

    void ask_all(int entry, instant since)
    {
        send(question::submit_known, entry, since, "q", next_job());
        send(question::submit_new, entry, since, newest_queue_, next_job());
        ask(question::state_never, caller_verb::state, entry, since, "f" + next_job().substr(1));
        if (const auto job = take_accepted()) {
            ask(question::submit_again, caller_verb::submit, entry, since, *job);
        }
        if (const auto job = take_accepted()) {
            ask(question::state_accepted, caller_verb::state, entry, since, *job);
        }
        if (const auto job = take_accepted()) {
            ask(question::cancel, caller_verb::cancel, entry, since, *job);
        }
    }

    asked_question& note(question what, int entry, instant since, const std::string& job)
    {
        asked_.push_back(std::make_unique<asked_question>());
        asked_question& q = *asked_.back();
        q.what = what;
        q.job = job;
        q.entry = entry;
        q.age = world_.now() - since;
        q.ready = world_.entry(entry)->ready();
        return q;
    }

    void send(question what, int entry, instant since, const std::string& queue, const std::string& job)
    {
        note(what, entry, since, job);
        world_.send_submit(entry, job, make_spec(), queue); // once for each of these jobs
    }

    void ask(question what, caller_verb verb, int entry, instant since, const std::string& job,
             const std::string& queue = "q")
    {
        asked_question& q = note(what, entry, since, job);
        caller_request request = make_request(verb, queue, job);
        request.spec = make_spec();
        flow_entry* const asked = world_.entry(entry);
        asked->on_request(world_.now(), request, [&q](const caller_answer& answer) {
            q.answer = answer.result;
            q.reason = answer.reason;
        });
        asked->run_deferred_work(world_.now());
    }

    static flow_spec make_spec() { return chain_spec(1, 1, 100); }

    void collect_answers()
    {
        for (const auto& q : asked_) {
            if (q->what == question::submit_known || q->what == question::submit_new) {
                const auto& answers = world_.answers().at(q->job);
                q->answer = answers.empty() ? std::nullopt : std::optional(answers.front());
            }
        }
    }

    // Empty: true, or could be.
    std::string find_untruth(const asked_question& q) const
    {
        if (!q.answer || *q.answer == caller_result::retry_later || *q.answer == caller_result::outcome_unknown) {
            return "";
        }
        const bool of_accepted =
            q.what == question::submit_again || q.what == question::state_accepted || q.what == question::cancel;
        const bool wrong =
            *q.answer == caller_result::unknown_queue || *q.answer == caller_result::invalid ||
            (of_accepted && *q.answer == caller_result::unknown_job) ||
            ((q.what == question::state_never || q.what == question::state_new_queue) &&
             *q.answer != caller_result::unknown_job) ||
            (*q.answer == caller_result::rejected && world_.count_job_starts(q.job) > 0) ||
            (!of_accepted && *q.answer == caller_result::accepted && world_.count_job_starts(q.job) == 0);
        return wrong ? fmt::format("{}: {} ({}) at entry {}, up for {} ms, {}", question_names.at(q.what),
                                   result_names.at(*q.answer), q.reason, q.entry, q.age / 1ms,
                                   q.ready ? "ready" : "not ready")
                     : "";
    }

    void judge()
    {
        collect_answers();
        std::map<std::string, int> tally;
        std::map<std::string, std::pair<int, std::string>> untrue; // by question and answer: how many, and the first
        std::set<question> seen;
        for (const auto& q : asked_) {
            const std::string answer = q->answer ? result_names.at(*q->answer) : "no answer";
            const std::string kind = fmt::format("{}: {}", question_names.at(q->what), answer);
            ++tally[kind];
            seen.insert(q->what);
            const std::string untruth = find_untruth(*q);
            if (!untruth.empty()) {
                auto& [count, first] = untrue[kind];
                first = count++ == 0 ? untruth : first;
            }
        }
        for (const auto& [kind, count] : tally) {
            BOOST_TEST_MESSAGE(fmt::format("  seed {}: {} {}", case_.seed, count, kind));
        }
        BOOST_TEST(seen.size() == question_names.size());
        for (const auto& [kind, what] : untrue) {
            BOOST_ERROR(fmt::format("seed {}: {} times untrue, first {}", case_.seed, what.first, what.second));
        }
        check_no_violations(world_);
    }

    site_case case_;
    std::vector<std::unique_ptr<asked_question>> asked_; // outlives the entries, whose replies write here
    flow_simulation world_;
    instant begun_{};
    int changes_ = 0;
    std::string newest_queue_ = "q"; // that only the newest configuration has
    int restarted_ = 0;
    std::map<int, instant> coming_;
    std::map<int, instant> started_;
    std::int64_t jobs_ = 0;
    std::int64_t submitted_ = 0;
    std::vector<std::string> sent_; // not answered yet
    std::vector<std::pair<instant, std::string>> accepted_;
    std::size_t next_accepted_ = 0;
};

void check_answers(site_case c)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        c.seed = seed;
        asked_site(c).play();
    }
}

flow_simulation::options narrow_site(int entries)
{
    flow_simulation::options o;
    o.entries_per_data_centre = entries;
    o.link_bytes_per_s = very_narrow_link;
    return o;
}

} // namespace

// An entry that has just started answers callers from what it has not heard of yet.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_answers_nothing_untrue)
{
    check_answers({});
}

// It has the table and hears of no cell.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_without_peers_answers_nothing_untrue)
{
    check_answers({.cut_from_peers = true});
}

// It has only what its peers tell.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_without_the_table_answers_nothing_untrue)
{
    check_answers({.cut_from_table = true});
}

// It has nothing at all.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_cut_off_answers_nothing_untrue)
{
    check_answers({.cut_from_peers = true, .cut_from_table = true});
}

// Cells have owners that read rows for long, and take no news meanwhile.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_answers_nothing_untrue_while_rows_are_read_slowly)
{
    check_answers({.page_time = 400ms});
}

// Those that it asks have started a moment before and know little themselves.
BOOST_AUTO_TEST_CASE(entries_that_start_in_turn_answer_nothing_untrue)
{
    check_answers({.in_turn = true});
}

// The same with owners that read rows for long.
BOOST_AUTO_TEST_CASE(entries_that_start_in_turn_answer_nothing_untrue_while_rows_are_read_slowly)
{
    check_answers({.page_time = 400ms, .in_turn = true});
}

// The table and peers are far, so that not knowing lasts.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_far_from_all_others_answers_nothing_untrue)
{
    check_answers({.far = true});
    check_answers({.in_turn = true, .far = true});
}

// Two large changes follow each other while entries restart, over links that bear little more than one copy.
BOOST_AUTO_TEST_CASE(entries_that_start_in_turn_answer_nothing_untrue_after_two_large_changes)
{
    for (const duration second : {duration(6500ms), duration(11500ms), duration(14s)}) {
        check_answers({.in_turn = true,
                       .second_change = second,
                       .config_bytes = large_config,
                       .link_bytes_per_s = very_narrow_link});
    }
}

// Hearing of no newer version is taken for having the newest, though neither the table nor a peer is heard.
BOOST_AUTO_TEST_CASE(an_entry_that_hears_nobody_does_not_refuse_a_queue_for_good)
{
    flow_simulation w({.entries_per_data_centre = 4});
    w.run_for(8s);
    w.cut_entry_from_table(0, true);
    w.cut_entry_from_peers(0, true);
    w.write_config({"q", "added"}, 0);
    w.run_for(known_after + 1s);
    BOOST_REQUIRE((w.submit(1, job_a, chain_spec(1, 1), "added") == caller_result::accepted));
    BOOST_TEST((w.submit(0, job_b, chain_spec(1, 1), "added") != caller_result::unknown_queue));
    BOOST_TEST_MESSAGE(fmt::format("  ready: {}", w.entry(0)->ready()));
    check_no_violations(w);
}

// What an entry has heard of a newer version is forgotten with the peers that told of it.
BOOST_AUTO_TEST_CASE(a_version_known_to_entries_that_stop_is_not_forgotten)
{
    flow_simulation w(narrow_site(4));
    w.run_for(8s);
    w.cut_entry_from_table(0, true);
    w.run_for(2s);
    w.write_config({"q", "added"}, 2 * large_config);
    BOOST_REQUIRE(w.run_until([&] { return w.entry(0)->newest_config_version() == settings_version(2); }, 5s));
    for (int entry = 1; entry < 4; ++entry) {
        w.kill_entry(entry);
    }
    w.run_for(known_after);
    BOOST_REQUIRE((w.entry(0)->config_version() == settings_version(1)));
    BOOST_TEST((w.submit(0, job_a, chain_spec(1, 1), "added") != caller_result::unknown_queue));
    BOOST_TEST_MESSAGE(fmt::format("  ready: {}", w.entry(0)->ready()));
    check_no_violations(w);
}

// An entry that starts takes the version of a peer for the newest, though that one has not heard the table either.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_beside_one_that_is_behind_does_not_refuse_a_queue_for_good)
{
    flow_simulation w({.entries_per_data_centre = 4});
    w.run_for(8s);
    for (int entry = 0; entry < 4; ++entry) {
        w.cut_entry_from_table(entry, entry < 2);
        w.cut_entry_from_peers(entry, entry >= 2);
    }
    w.write_config({"q", "added"}, 0);
    w.run_for(known_after);
    w.kill_entry(0);
    w.run_for(restart_away);
    w.start_entry(0);
    std::int64_t refused = 0;
    std::int64_t ready = 0;
    for (int i = 0; i < 80; ++i) {
        w.run_for(step);
        caller_request request = make_request(caller_verb::state, "added", job_a);
        w.entry(0)->on_request(w.now(), request, [&](const caller_answer& answer) {
            refused += answer.result == caller_result::unknown_queue ? 1 : 0;
        });
        ready += w.entry(0)->ready() ? 1 : 0;
    }
    w.run_for(2s); // until the last request is answered
    BOOST_TEST(refused == 0);
    BOOST_TEST_MESSAGE(fmt::format("  ready with the older version in {} of 80 looks", ready));
    check_no_violations(w);
}

// A path of a new queue is taken for an ill-formed one of an older queue whose prefix it begins with.
BOOST_AUTO_TEST_CASE(a_queue_within_another_is_not_refused_for_good_while_a_newer_version_is_known_of)
{
    flow_simulation w(narrow_site(4));
    w.run_for(8s);
    w.cut_entry_from_table(0, true);
    w.run_for(2s);
    w.write_config({"q", "q/inner"}, 2 * large_config);
    BOOST_REQUIRE(w.run_until([&] { return w.entry(0)->newest_config_version() == settings_version(2); }, 5s));
    BOOST_REQUIRE((w.entry(0)->config_version() == settings_version(1)));
    BOOST_TEST((w.submit(0, job_a, chain_spec(1, 1), "q/inner") != caller_result::invalid));
    check_no_violations(w);
}

// An entry that is told that a job is there already, and no more, says that it waits.
BOOST_AUTO_TEST_CASE(a_job_that_is_handed_in_again_keeps_its_state)
{
    flow_simulation w({.entries_per_data_centre = 4});
    w.run_for(8s);
    BOOST_REQUIRE((w.submit(1, job_a, chain_spec(1, 1)) == caller_result::accepted));
    BOOST_REQUIRE(w.run_until([&] { return w.state(1, job_a) == flow_state::done; }, 10s));
    w.run_for(2s);
    w.kill_entry(0);
    w.run_for(restart_away);
    w.start_entry(0);
    w.run_for(6s);
    BOOST_REQUIRE((w.submit(0, job_a, chain_spec(1, 1)) == caller_result::accepted));
    BOOST_TEST((w.state(0, job_a) == flow_state::done));
    check_no_violations(w);
}

// An entry that stops refuses a job that runs, without a look whether it is there.
BOOST_AUTO_TEST_CASE(an_entry_that_stops_does_not_refuse_a_job_that_runs)
{
    flow_simulation w({.entries_per_data_centre = 4});
    w.run_for(8s);
    w.entry(0)->plan_stop(w.now());
    w.entry(0)->run_deferred_work(w.now());
    BOOST_REQUIRE((w.submit(1, job_a, chain_spec(1, 1)) == caller_result::accepted));
    BOOST_TEST((w.submit(0, job_a, chain_spec(1, 1)) != caller_result::rejected));
    w.run_for(3s);
    BOOST_TEST(w.count_job_starts(job_a) == 1);
    check_no_violations(w);
}

// An entry that hears its peers now and then begins anew each time to count for how long it has been behind.
BOOST_AUTO_TEST_CASE(an_entry_that_hears_peers_now_and_then_takes_no_jobs_by_the_old_version)
{
    flow_simulation w(narrow_site(4));
    w.run_for(8s);
    w.cut_entry_from_table(0, true);
    w.run_for(2s);
    w.write_config({"other"}, 40 * large_config); // a copy takes longer than this test
    w.run_for(known_after);
    std::vector<std::string> jobs;
    for (int i = 0; i < 60; ++i) {
        w.cut_entry_from_peers(0, i % 15 >= 6); // 1.2 s heard, 1.8 s not
        jobs.push_back(fmt::format("{:016x}", 0x100 + i));
        w.send_submit(0, jobs.back(), chain_spec(1, 1, 100));
        w.run_for(200ms);
    }
    w.cut_entry_from_peers(0, false);
    w.run_for(5s);
    BOOST_REQUIRE((w.entry(0)->config_version() == settings_version(1)));
    const auto accepted = std::count_if(jobs.begin(), jobs.end(), [&](const std::string& job) {
        const auto& answers = w.answers().at(job);
        return !answers.empty() && answers.front() == caller_result::accepted;
    });
    BOOST_TEST(accepted == 0);
    check_no_violations(w);
}

namespace {

struct storm_case {
    double link_bytes_per_s = 0;
    duration second_change{0}; // after the first
    duration table_away_from{0};
    duration table_away_until{0};
    int cut_from_table = 0; // entries, all the while
    bool all = false;       // restart; else half
    bool calm = false;      // none restarts
};

// Half of a large site restarts 0.4 s apart, twice round, while its configuration changes twice; every entry is asked.
class storm {
public:
    explicit storm(const storm_case& c) : case_(c), world_(make_options(c)) {}

    void play()
    {
        world_.run_for(10s);
        for (int entry = 0; entry < case_.cut_from_table; ++entry) {
            world_.cut_entry_from_table(2 * entry + 1, true); // these do not restart, unless all do
        }
        begun_ = world_.now();
        while (world_.now() - begun_ < 25s) {
            const duration t = world_.now() - begun_;
            world_.set_table_down(t >= case_.table_away_from && t < case_.table_away_until);
            if (changes_ == 0) {
                change({"q", "added"});
            }
            if (changes_ == 1 && t >= case_.second_change) {
                change({"q", "added", "later"});
            }
            restart(t);
            ask(t);
            world_.run_for(100ms);
        }
        world_.run_for(2s); // until the last requests are answered
        BOOST_TEST_MESSAGE(fmt::format("  asked {}, told to come back {}, refused for good {}, ready behind {}", asked_,
                                       come_back_, refused_, ready_behind_));
        BOOST_TEST(refused_ == 0, refused_ << " of " << asked_ << " refused by " << by_.size() << " entries, first "
                                           << first_ << ", last at " << last_ / 1ms << " ms");
        check_no_violations(world_);
    }

private:
    static flow_simulation::options make_options(const storm_case& c)
    {
        flow_simulation::options o;
        o.data_centres = {"a", "b", "c"};
        o.entries_per_data_centre = 13;
        o.workers_per_data_centre = 8;
        o.link_bytes_per_s = c.link_bytes_per_s;
        return o;
    }

    void change(const std::vector<std::string>& queues)
    {
        world_.write_config(queues, large_config);
        ++changes_;
    }

    void restart(duration t)
    {
        const int every = case_.all ? 1 : 2;
        const int round = case_.all ? 39 : 20;
        while (!case_.calm && restarted_ < 2 * round && t >= turn_gap * restarted_) {
            const int entry = every * (restarted_++ % round);
            world_.kill_entry(entry);
            coming_[entry] = world_.now() + restart_away;
        }
        for (auto at = coming_.begin(); at != coming_.end();) {
            const bool due = world_.now() >= at->second;
            if (due) {
                world_.start_entry(at->first);
                started_[at->first] = world_.now();
            }
            at = due ? coming_.erase(at) : std::next(at);
        }
    }

    void ask(duration t)
    {
        if (t < case_.second_change + known_after) {
            return;
        }
        for (int entry = 0; entry < 39; ++entry) {
            flow_entry* const e = world_.entry(entry);
            if (e == nullptr || coming_.count(entry) != 0) {
                continue;
            }
            ++asked_;
            ready_behind_ += e->ready() && e->config_version() < settings_version(3) ? 1 : 0;
            const auto since = started_.find(entry);
            e->on_request(world_.now(), make_request(caller_verb::state, "later", ""),
                          [this, t, e, entry, since](const caller_answer& answer) {
                              come_back_ += answer.result == caller_result::retry_later ? 1 : 0;
                              refused_ += answer.result == caller_result::unknown_queue ? 1 : 0;
                              if (answer.result == caller_result::unknown_queue) {
                                  last_ = t;
                                  by_[entry] += 1;
                                  first_ =
                                      !first_.empty()
                                          ? first_
                                          : fmt::format(
                                                "by entry {} at {} ms, up since {} ms, version {}, newest heard of {}",
                                                entry, t / 1ms,
                                                since == started_.end() ? -1 : (since->second - begun_) / 1ms,
                                                e->config_version().value(), e->newest_config_version().value());
                              }
                          });
        }
    }

    storm_case case_;
    std::int64_t asked_ = 0;
    std::int64_t come_back_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t ready_behind_ = 0;
    std::string first_;
    duration last_{0};
    std::map<int, int> by_; // entry, how often it refused
    flow_simulation world_;
    instant begun_{};
    int changes_ = 0;
    int restarted_ = 0;
    std::map<int, instant> coming_;
    std::map<int, instant> started_;
};

} // namespace

// Copies of two changes and what peers tell each other share narrow links with entries that restart.
BOOST_AUTO_TEST_CASE(no_queue_is_refused_for_good_while_half_of_a_large_site_restarts)
{
    for (const double link : {1.25e6, 0.25e6}) {
        storm({.link_bytes_per_s = link, .second_change = 400ms}).play();
        storm({.link_bytes_per_s = link, .second_change = 4s}).play();
    }
}

// A version is known only to who has all of it, and nobody has while it is on its way to all.
BOOST_AUTO_TEST_CASE(no_queue_is_refused_for_good_while_a_change_is_on_its_way_to_all)
{
    storm({.link_bytes_per_s = 0.25e6, .calm = true}).play();
    storm({.link_bytes_per_s = 0.25e6, .second_change = 400ms, .calm = true}).play();
    storm({.link_bytes_per_s = 0.25e6}).play();
}

// The same while the table turns some entries away, which hear of the change from entries that restart.
BOOST_AUTO_TEST_CASE(no_queue_is_refused_for_good_by_entries_that_the_table_turns_away)
{
    storm({.link_bytes_per_s = 0.25e6, .second_change = 400ms, .cut_from_table = 6}).play();
    storm({.link_bytes_per_s = 0.25e6, .second_change = 400ms, .cut_from_table = 19, .all = true}).play();
}

// The same while the table is away from a moment after the changes, which few entries have.
BOOST_AUTO_TEST_CASE(no_queue_is_refused_for_good_while_the_table_is_away_after_a_change)
{
    storm({.link_bytes_per_s = 0.25e6,
           .second_change = 400ms,
           .table_away_from = 600ms,
           .table_away_until = 12s,
           .all = true})
        .play();
    storm({.link_bytes_per_s = 1.25e6,
           .second_change = 400ms,
           .table_away_from = 700ms,
           .table_away_until = 12s,
           .all = true})
        .play();
}
