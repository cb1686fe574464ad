// Tests that the tasks of cancelled jobs end in time, and that tasks of other lasting jobs keep their leases, while
// workers drain rack by rack, owners of cells change, and the site calms down again and again.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base_random_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds_usual = 4;
// Seeds in which tasks of cancelled jobs ran on, or tasks were started after they were done.
constexpr std::array<std::uint64_t, 6> seeds_that_failed{12, 61, 111, 240, 1040, 1059};
constexpr duration step = 20ms;
constexpr duration play_time = 60s;
constexpr duration last_calm = 12s;           // at the end of a play, without faults
constexpr duration cancel_bound = 4s + 200ms; // from the answer to a cancel to the end of the job's last task
constexpr duration calm_before = 4s;          // a fault this long ago excuses nothing any more
constexpr duration cancel_retry = 400ms;
constexpr duration cancel_timeout = 2s;
constexpr int entries_per_data_centre = 3;
constexpr int racks_per_data_centre = 6;
constexpr int rack_size = 6;
constexpr std::int64_t lasting_cpu = 4000;

// A site with cells in two data centres that runs lasting jobs, most of which are cancelled, while racks drain.
class draining_site {
public:
    explicit draining_site(std::uint64_t seed)
        : seed_(seed), random_(make_random(seed * 977)), world_(make_options(seed))
    {}

    void play()
    {
        world_.run_for(4s);
        started_at_ = world_.now();
        while (world_.now() - started_at_ < play_time) {
            world_.run_for(step);
            restore();
            if (world_.now() - started_at_ < play_time - last_calm) {
                drain();
                inject_faults();
                unlist();
            }
            submit();
            cancel();
            check_workers();
        }
        BOOST_TEST_MESSAGE(
            fmt::format("seed {}: jobs {}, cancelled {}, drained {}, faults {}, taken {}, vacated {}, "
                        "arrived {}, longest after a cancel {} ms, longest without a renewal {} ms",
                        seed_, jobs_, cancels_, drained_, faults_, world_.count_log_events("cell", "taken"),
                        world_.count_log_events("worker", "vacated"), world_.count_log_events("task", "arrived"),
                        longest_cancel_ / 1ms, longest_unheld_ / 1ms));
        check_no_violations(world_);
    }

private:
    struct cancelled_job {
        bool answered = false;
        instant answered_at{};
        instant asked_at{};
        bool asking = false;
    };

    static flow_simulation::options make_options(std::uint64_t seed)
    {
        flow_simulation::options o;
        o.seed = seed;
        o.verbose = std::getenv("DRAINS_VERBOSE") != nullptr;
        o.data_centres = {"a", "b"};
        o.entries_per_data_centre = entries_per_data_centre;
        o.workers_per_data_centre = racks_per_data_centre * rack_size;
        o.rack_size = rack_size;
        o.stop_time = 200ms;
        o.holds_wait = seed % 2 == 0;
        o.job_page_transfer_time = seed % 3 == 0 ? 250ms : 0ms;
        o.link_bytes_per_s = seed % 4 == 1 ? 250e3 : 0;
        o.list_latency = seed % 5 == 0 ? 1500ms : 100ms;
        o.run_time = [](const flow_task_id& task) { return 300ms + 200ms * (task.index % 5); };
        return o;
    }

    bool due(instant& next, duration mean)
    {
        if (world_.now() < next) {
            return false;
        }
        next = world_.now() + duration(absl::Uniform<std::int64_t>(random_, mean.count() / 4, mean.count() * 7 / 4));
        return true;
    }

    int pick_entry()
    {
        for (int tries = 0; tries < 40; ++tries) {
            const int entry = absl::Uniform(random_, 0, 2 * entries_per_data_centre);
            if (away_.count(entry) == 0 && world_.entry(entry) != nullptr && world_.entry(entry)->ready()) {
                return entry;
            }
        }
        return -1;
    }

    void submit()
    {
        const int entry = pick_entry();
        if (entry < 0) {
            return;
        }
        if (due(next_lasting_, 500ms)) {
            const std::string job = fmt::format("{:016x}", 0xa0000 + ++jobs_);
            world_.send_submit(entry, job, lasting_spec(absl::Uniform(random_, 2, 24), lasting_cpu));
            lasting_.insert(job);
        }
        if (due(next_short_, 400ms)) {
            world_.send_submit(entry, fmt::format("{:016x}", 0xb0000 + ++short_jobs_), chain_spec(2, 4, 2000));
        }
    }

    bool accepted(const std::string& job) const
    {
        const auto& answers = world_.answers().at(job);
        return !answers.empty() && answers.back() == caller_result::accepted;
    }

    void cancel()
    {
        const bool leave_last = world_.now() - started_at_ > play_time - last_calm / 2;
        if (!leave_last && due(next_cancel_, 650ms) && lasting_.size() > 4) {
            auto at = lasting_.begin();
            std::advance(at, absl::Uniform<std::size_t>(random_, 0, lasting_.size()));
            if (accepted(*at)) {
                cancelled_.try_emplace(*at);
                lasting_.erase(at);
                ++cancels_;
            }
        }
        for (auto& [job, known] : cancelled_) {
            const bool gave_up = known.asking && world_.now() - known.asked_at > cancel_timeout;
            if (known.answered || (known.asking && !gave_up) || world_.now() - known.asked_at < cancel_retry) {
                continue;
            }
            ask_cancel(job, known);
        }
    }

    void ask_cancel(const std::string& job, cancelled_job& known)
    {
        const int entry = pick_entry();
        if (entry < 0) {
            return;
        }
        known.asking = true;
        known.asked_at = world_.now();
        caller_request request;
        request.verb = caller_verb::cancel;
        request.host = "host";
        request.path = "/q/" + job;
        world_.entry(entry)->on_request(world_.now(), request, [this, job](const caller_answer& answer) {
            cancelled_job& asked = cancelled_.at(job);
            asked.asking = false;
            if (!asked.answered && answer.result == caller_result::cancelled) {
                asked.answered = true;
                asked.answered_at = world_.now();
            }
        });
        world_.entry(entry)->run_deferred_work(world_.now());
    }

    // A whole rack, or a few workers anywhere, announce that they leave and do so some seconds later.
    void drain()
    {
        if (!due(next_drain_, 6s)) {
            return;
        }
        const bool whole_rack = absl::Uniform(random_, 0, 2) == 0;
        const int first = absl::Uniform(random_, 0, 2 * racks_per_data_centre) * rack_size;
        const duration stays = 3s + std::chrono::milliseconds(absl::Uniform(random_, 0, 9000));
        for (int i = 0; i < rack_size; ++i) {
            const int worker = whole_rack ? first + i : absl::Uniform(random_, 0, world_.worker_count());
            world_.replace_worker(worker, stays, 700ms);
            ++drained_;
        }
    }

    // A worker is missing from the list for a while although it lives.
    void unlist()
    {
        if (due(next_unlist_, 5s)) {
            const int worker = absl::Uniform(random_, 0, world_.worker_count());
            if (world_.worker(worker).up && unlisted_.count(worker) == 0) {
                world_.set_worker_unlisted(worker, true);
                unlisted_[worker] = world_.now() + std::chrono::milliseconds(absl::Uniform(random_, 300, 9000));
            }
        }
    }

    void inject_faults()
    {
        if (!due(next_fault_, 9s)) {
            return;
        }
        const int faults = absl::Uniform(random_, 1, 4);
        for (int i = 0; i < faults; ++i) {
            const int entry = pick_entry();
            if (entry < 0 || away_.size() >= 3) {
                return;
            }
            ++faults_;
            harmed_at_ = world_.now();
            const instant until = world_.now() + std::chrono::milliseconds(absl::Uniform(random_, 500, 4000));
            switch (absl::Uniform(random_, 0, 6)) {
            case 0:
            case 1:
                world_.kill_entry(entry);
                away_[entry] = until;
                break;
            case 2:
            case 3:
                world_.entry(entry)->plan_stop(world_.now());
                world_.entry(entry)->run_deferred_work(world_.now());
                away_[entry] = until + 2s;
                break;
            case 4:
                world_.cut_entry_from_table(entry, true);
                cut_from_table_[entry] = until;
                break;
            case 5:
                world_.drop_next_table_answers(5);
                break;
            }
        }
    }

    void restore()
    {
        for (auto at = away_.begin(); at != away_.end();) {
            const auto [entry, until] = *at;
            if (world_.entry(entry) != nullptr && world_.entry(entry)->stopped()) {
                world_.kill_entry(entry);
                harmed_at_ = world_.now();
            }
            if (world_.now() < until) {
                ++at;
                continue;
            }
            if (world_.entry(entry) != nullptr) {
                world_.kill_entry(entry);
            }
            world_.start_entry(entry);
            harmed_at_ = world_.now();
            at = away_.erase(at);
        }
        for (auto at = cut_from_table_.begin(); at != cut_from_table_.end();) {
            harmed_at_ = world_.now();
            const bool over = world_.now() >= at->second;
            if (over) {
                world_.cut_entry_from_table(at->first, false);
            }
            at = over ? cut_from_table_.erase(at) : std::next(at);
        }
        for (auto at = unlisted_.begin(); at != unlisted_.end();) {
            const bool over = world_.now() >= at->second;
            if (over && world_.worker(at->first).up) {
                world_.set_worker_unlisted(at->first, false);
            }
            at = over ? unlisted_.erase(at) : std::next(at);
        }
    }

    void check_workers()
    {
        for (int i = 0; i < world_.worker_count(); ++i) {
            flow_fake_worker& w = world_.worker(i);
            if (!w.up) {
                continue;
            }
            for (const auto& [task, run] : w.running) {
                check_run(w, task, run);
            }
            for (const reported_end& end : w.ends) {
                if (end.how == run_end::lapsed) {
                    note_lapse(w, end.task, end.run);
                }
            }
        }
    }

    void check_run(const flow_fake_worker& w, const flow_task_id& task, const flow_fake_worker::run& run)
    {
        const instant now = world_.now();
        if (w.lease_until <= now) {
            note_lapse(w, task, run.number);
            return;
        }
        if (is_lasting(task) && now - harmed_at_ > calm_before) {
            longest_unheld_ = std::max(longest_unheld_, now + 6s - w.lease_until);
        }
        const auto cancelled = cancelled_.find(task.job.str());
        if (cancelled == cancelled_.end() || !cancelled->second.answered) {
            return;
        }
        const instant since = std::max(cancelled->second.answered_at, harmed_at_ + calm_before);
        if (now > since) {
            longest_cancel_ = std::max(longest_cancel_, now - since);
        }
        if (now > since + cancel_bound && reported_.insert({task, run.number}).second) {
            BOOST_ERROR(fmt::format("seed {}: {} run {} on {} runs {} ms after its job's cancel was answered, at {} ms",
                                    seed_, text_of(task), run.number.value(), w.id.str(),
                                    (now - cancelled->second.answered_at) / 1ms, at_ms()));
        }
    }

    static bool is_lasting(const flow_task_id& task) { return task.job.str() < fmt::format("{:016x}", 0xb0000); }

    void note_lapse(const flow_fake_worker& w, const flow_task_id& task, run_number run)
    {
        if (is_lasting(task) && world_.now() - harmed_at_ > calm_before && reported_.insert({task, run}).second) {
            BOOST_ERROR(fmt::format("seed {}: {} run {} on {} lapsed in a calm time, at {} ms, {}", seed_,
                                    text_of(task), run.value(), w.id.str(), at_ms(),
                                    cancelled_.count(task.job.str()) != 0 ? "cancelled" : "wanted"));
        }
    }

    std::int64_t at_ms() const { return world_.now().time_since_epoch() / 1ms; }

    std::uint64_t seed_;
    random_source random_;
    flow_simulation world_;
    instant started_at_{};
    instant harmed_at_{};
    std::int64_t jobs_ = 0;
    std::int64_t short_jobs_ = 0;
    std::int64_t cancels_ = 0;
    std::int64_t drained_ = 0;
    std::int64_t faults_ = 0;
    duration longest_cancel_{0};
    duration longest_unheld_{0};
    std::set<std::string> lasting_; // submitted and not cancelled
    std::map<std::string, cancelled_job> cancelled_;
    std::map<int, instant> away_; // entries that are down or stopping, with the time of their return
    std::map<int, instant> cut_from_table_;
    std::map<int, instant> unlisted_; // workers missing from the list
    instant next_lasting_{};
    instant next_short_{};
    instant next_cancel_{};
    instant next_drain_{};
    instant next_fault_{};
    instant next_unlist_{};
    std::set<std::pair<flow_task_id, run_number>> reported_;
};

// Returns the seeds to run. To run others: test_flow_cancel_drains --run_test=NAME -- FIRST LAST
std::vector<std::uint64_t> seeds_to_run()
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    std::vector<std::uint64_t> seeds(seeds_that_failed.begin(), seeds_that_failed.end());
    std::uint64_t first = 1;
    std::uint64_t last = seeds_usual;
    if (suite.argc == 3) {
        seeds.clear();
        first = std::strtoull(suite.argv[1], nullptr, 10);
        last = std::strtoull(suite.argv[2], nullptr, 10);
    }
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

const std::string job_a = "00000000000000aa";

int owner_of(flow_simulation& w)
{
    return w.entry(0)->cells().at(cell_id("a"))->owns() ? 0 : 1;
}

int worker_with(flow_simulation& w, const flow_task_id& task)
{
    int worker = 0;
    while (worker < w.worker_count() && w.worker(worker).running.count(task) == 0) {
        ++worker;
    }
    return worker;
}

} // namespace

// Guards against tasks of cancelled jobs that run on, and leases that nobody renews, while racks drain.
BOOST_AUTO_TEST_CASE(cancelled_tasks_end_in_time_while_racks_drain)
{
    for (const std::uint64_t seed : seeds_to_run()) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            draining_site(seed).play();
        }
    }
}

// Guards against tasks that run on because their job is cancelled while the next owner of their cell reads its rows.
BOOST_AUTO_TEST_CASE(tasks_of_a_job_cancelled_while_rows_are_read_are_stopped)
{
    for (const duration cancelled_after :
         {duration(-10ms), duration(1s), duration(4s), duration(5s), duration(6s), duration(7s), duration(8s)}) {
        BOOST_TEST_CONTEXT("cancelled " << cancelled_after / 1ms << " ms after the owner was killed")
        {
            flow_simulation w({.job_page_transfer_time = 400ms});
            w.run_for(10s);
            BOOST_REQUIRE(w.submit(0, job_a, lasting_spec(8, lasting_cpu)) == caller_result::accepted);
            BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 8; }, 5s));
            const int owner = owner_of(w);
            if (cancelled_after < duration(0)) {
                w.pause_entry(owner); // it does not hear of the cancel
                BOOST_TEST((w.cancel(1 - owner, job_a) == caller_result::cancelled));
                w.kill_entry(owner);
            }
            else {
                w.kill_entry(owner);
                w.run_for(cancelled_after);
                BOOST_TEST((w.cancel(1 - owner, job_a) == caller_result::cancelled));
            }
            const duration calm_in = std::max(duration(0), calm_before - std::max(cancelled_after, duration(0)));
            BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 0; }, calm_in + cancel_bound));
            w.run_for(10s);
            BOOST_TEST((w.state(1 - owner, job_a) == flow_state::cancelled));
            BOOST_TEST(w.count_job_starts(job_a) == 8);
            check_no_violations(w);
        }
    }
}

// Guards against starting a task again because the only worker that could report its end is left out of the cell's row.
BOOST_AUTO_TEST_CASE(a_worker_with_an_end_that_is_not_stored_is_asked_by_the_next_owner)
{
    struct end_case {
        const char* name;
        bool draining = false;     // otherwise unlisted
        bool killed = false;       // the owner; otherwise stopped
        bool answers_late = false; // the worker answers the next owner after the others have
    };
    constexpr std::array cases{end_case{"unlisted, owner stopped"},
                               end_case{"unlisted, owner killed", false, true},
                               end_case{"unlisted, owner killed, answers late", false, true, true},
                               end_case{"draining, owner stopped", true},
                               end_case{"draining, owner killed", true, true},
                               end_case{"draining, owner killed, answers late", true, true, true}};
    for (const end_case& c : cases) {
        BOOST_TEST_CONTEXT(c.name)
        {
            flow_simulation w({.run_time = [](const flow_task_id&) { return duration(3s); }});
            w.run_for(4s);
            BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 1)) == caller_result::accepted);
            BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, 1s));
            const int worker = worker_with(w, {job_id(job_a), 0, 0, 0});
            w.worker(worker).draining = c.draining;
            w.set_worker_unlisted(worker, !c.draining);
            w.run_for(2500ms);
            w.delay_next_row_write(60s);
            const std::int64_t ends = w.count_log_events("run", "ended");
            BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("run", "ended") > ends; }, 2s));
            const int owner = owner_of(w);
            const std::int64_t owners = w.count_log_events("cell", "owned");
            if (c.killed) {
                w.run_for(1300ms); // the cell's row is written, the job's is not
                w.kill_entry(owner);
            }
            else {
                w.shut_down_entry(owner);
            }
            w.worker(worker).reachable = !c.answers_late;
            BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("cell", "owned") > owners; }, 6s));
            w.run_for(200ms);
            w.worker(worker).reachable = true;
            BOOST_TEST(w.run_until([&] { return w.state(1 - owner, job_a) == flow_state::done; }, 15s));
            BOOST_TEST(w.count_job_starts(job_a) == 1);
            check_no_violations(w);
        }
    }
}

// Guards against tasks that run on in another cell because the home cell of their cancelled job has no owner that can
// pass the cancel on.
BOOST_AUTO_TEST_CASE(a_cancel_reaches_other_cells_while_the_home_cell_is_read)
{
    const cell_id home("a");
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2, .job_page_transfer_time = 400ms});
    w.run_for(10s);
    w.insert_unannounced_job(job_a, home, lasting_spec(12, lasting_cpu));
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 12; }, 8s));
    w.run_for(5s);
    w.kill_entry(w.entry(0)->cells().at(home)->owns() ? 0 : 1);
    w.run_for(calm_before);
    BOOST_TEST((w.cancel(2, job_a) == caller_result::cancelled));
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 0; }, cancel_bound));
    w.run_for(10s);
    BOOST_TEST((w.state(2, job_a) == flow_state::cancelled));
    check_no_violations(w);
}
