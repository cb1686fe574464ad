#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include "config.h"
#include "place_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr instant start = instant{} + 1000s;

const resources usual_capacity{32000, 64000, 0};

job_spec batch_spec(const char* name, resources declared, urgency how = urgency::normal, const char* kind = "crawl")
{
    job_spec spec;
    spec.team = team_id("audit");
    spec.name = name;
    spec.kind = kind_id(kind);
    spec.declared = declared;
    spec.urgency = how;
    return spec;
}

job_spec service_spec(const char* name)
{
    job_spec spec = batch_spec(name, {4000, 4000, 0}, urgency::normal, "pages");
    spec.is_service = true;
    return spec;
}

place_task queued(const char* job, const job_spec& spec, int index = 0)
{
    place_task task;
    task.task = {job_id(job), index};
    task.spec = &spec;
    task.queued_since = start;
    return task;
}

std::vector<place_task> several(const char* job, const job_spec& spec, int count)
{
    std::vector<place_task> tasks;
    tasks.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        tasks.push_back(queued(job, spec, i));
    }
    return tasks;
}

place_task running(const char* job, const job_spec& spec, const char* worker, resources committed, int index = 0)
{
    place_task task = queued(job, spec, index);
    task.attempt = attempt_number(1);
    task.running = true;
    task.worker = worker_id(worker);
    task.committed = committed;
    task.used = committed;
    task.run_so_far = 100s;
    return task;
}

// Workers of one rack each three, with what the tasks hold there.
std::vector<place_worker> workers_for(const std::vector<const char*>& names, const std::vector<place_task>& tasks = {},
                                      resources capacity = usual_capacity)
{
    std::vector<place_worker> out;
    for (const char* name : names) {
        place_worker worker{worker_id(name), rack_id("r" + std::to_string(out.size() / 3)), capacity, {}, true};
        for (const place_task& task : tasks) {
            if (task.running && task.worker == worker.worker) {
                worker.committed = worker.committed + task.committed;
            }
        }
        out.push_back(worker);
    }
    return out;
}

bool starts_on(const place_plan& plan, const char* worker)
{
    return std::any_of(plan.starts.begin(), plan.starts.end(),
                       [&](const place_start& s) { return s.worker == worker_id(worker); });
}

// Measurements that teach a slope: each unit of load of this batch work adds `per_load` to the service's slowdown.
void teach_slowdown(placement& place, const job_spec& service, const job_spec& batch, double per_load, instant until)
{
    const double load = static_cast<double>(batch.declared.cpu_millis) / static_cast<double>(usual_capacity.cpu_millis);
    for (int i = 0; i < 200; ++i) {
        const std::vector<const job_spec*> neighbours(static_cast<std::size_t>(i % 4), &batch);
        const double slowdown = 1 + per_load * load * static_cast<double>(neighbours.size());
        place.learn_interference(until - 2000s + i * 10s, {job_id(service.name), 0}, service, slowdown, neighbours);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(no_worker_is_committed_beyond_its_capacity)
{
    const job_spec spec = batch_spec("a", {20000, 1000, 0});
    placement place({});
    const place_plan plan = place.plan(start, {queued("a", spec, 0), queued("a", spec, 1), queued("a", spec, 2)},
                                       workers_for({"w1", "w2"}));
    BOOST_REQUIRE(plan.starts.size() == 2);
    BOOST_TEST(plan.starts[0].worker != plan.starts[1].worker);
}

// A declared size that no worker of the cell has would wait for ever; the job is parked at once with the reason.
BOOST_AUTO_TEST_CASE(a_job_larger_than_every_worker_is_parked)
{
    const job_spec spec = batch_spec("a", {32001, 0, 0});
    placement place({});
    const place_plan plan = place.plan(start, {queued("a", spec)}, workers_for({"w1"}));
    BOOST_TEST(plan.starts.empty());
    BOOST_REQUIRE(plan.parks.size() == 1);
    BOOST_TEST(!plan.parks[0].reason.empty());
}

// The only worker that holds the job is being replaced and missing from the list. Parking the job now would need an
// operator to undo it; it waits, because that capacity was there a minute ago.
BOOST_AUTO_TEST_CASE(a_missing_worker_does_not_park_the_job_that_needs_it)
{
    const job_spec spec = batch_spec("a", {30000, 1000, 0});
    placement place({});
    place.plan(start, {}, workers_for({"large"}));
    const auto small = workers_for({"small"}, {}, {16000, 32000, 0});
    BOOST_TEST(place.plan(start + 60s, {queued("a", spec)}, small).parks.empty());
    BOOST_TEST(place.plan(start + 20min, {queued("a", spec)}, small).parks.size() == 1);
}

// An unfenced or leaving worker may refuse or lose what it is given; nothing is started there.
BOOST_AUTO_TEST_CASE(an_unusable_worker_gets_nothing)
{
    const job_spec spec = batch_spec("a", {1000, 1000, 0});
    auto workers = workers_for({"w1"});
    workers[0].usable = false;
    placement place({});
    BOOST_TEST(place.plan(start, {queued("a", spec)}, workers).starts.empty());
}

// A team declares a quarter of what its tasks take. The first ones run over; once they were measured, later ones are
// committed what they will really use, and the running one's commitment grows into the room that is left.
BOOST_AUTO_TEST_CASE(commitments_follow_what_tasks_really_use)
{
    const job_spec spec = batch_spec("a", {1000, 1000, 0});
    const resources truth{4000, 4000, 0};
    placement place({});
    std::vector<place_task> tasks;
    for (int i = 0; i < 8; ++i) {
        tasks.push_back(running("a", spec, "w1", spec.declared, i));
        place.learn_usage(start, tasks.back().task, spec, truth);
    }
    auto workers = workers_for({"w1", "w2"}, tasks);
    tasks.push_back(queued("b", spec));
    const place_plan plan = place.plan(start + 30s, tasks, workers);
    BOOST_REQUIRE(plan.starts.size() == 1);
    BOOST_TEST(fits(truth, plan.starts[0].committed));
    resources sum = plan.starts[0].worker == worker_id("w1") ? plan.starts[0].committed : resources{};
    for (const place_resize& r : plan.resizes) {
        BOOST_TEST(r.committed.memory_mib >= truth.memory_mib);
        sum = sum + r.committed;
    }
    BOOST_TEST(plan.resizes.size() == 8);
    BOOST_TEST(fits(sum, usual_capacity));
}

// Declared four times too large: after a minute of measurements the ledger holds what the task needs, and the room goes
// to others by the next plan only, when the ledger shows it.
BOOST_AUTO_TEST_CASE(room_declared_but_never_used_is_given_back)
{
    const job_spec spec = batch_spec("a", {32000, 8000, 0});
    const job_spec other = batch_spec("b", {16000, 8000, 0});
    placement place({});
    std::vector<place_task> tasks = {running("a", spec, "w1", spec.declared), queued("b", other)};
    for (int i = 0; i <= 12; ++i) {
        place.learn_usage(start + i * 10s, tasks[0].task, spec, {8000, 2000, 0});
    }
    const place_plan first = place.plan(start + 130s, tasks, workers_for({"w1"}, tasks));
    BOOST_REQUIRE(first.resizes.size() == 1);
    BOOST_TEST(first.resizes[0].committed.cpu_millis < 10000);
    BOOST_TEST(first.starts.empty());
    tasks[0].committed = first.resizes[0].committed;
    BOOST_TEST(place.plan(start + 131s, tasks, workers_for({"w1"}, tasks)).starts.size() == 1);
}

// Measured memory no longer fits on the worker. Waiting would let the worker kill a task of its own choice, so the plan
// evicts the one that loses least since its checkpoint, once, although the stop takes several plans to be confirmed.
BOOST_AUTO_TEST_CASE(memory_beyond_the_worker_evicts_what_loses_least)
{
    const job_spec spec = batch_spec("a", {1000, 20000, 0});
    placement place({});
    std::vector<place_task> tasks;
    for (int i = 0; i < 3; ++i) {
        tasks.push_back(running("a", spec, "w1", spec.declared, i));
        tasks.back().run_so_far = 1000s;
        tasks.back().progress = 0.5;
        tasks.back().checkpoint_progress = i == 1 ? 0.49 : 0.1;
        place.learn_usage(start, tasks.back().task, spec, {1000, 25000, 0});
    }
    const place_plan plan = place.plan(start + 30s, tasks, workers_for({"w1"}, tasks));
    BOOST_REQUIRE(plan.evictions.size() == 1);
    BOOST_TEST(plan.evictions[0].task.index == 1);
    BOOST_TEST(place.plan(start + 31s, tasks, workers_for({"w1"}, tasks)).evictions.empty());
}

// Tasks take more processors than the worker has. Processors can be shared out: the batch work is throttled, nothing is
// evicted, and the service beside it is left alone.
BOOST_AUTO_TEST_CASE(processors_beyond_the_worker_throttle_before_they_evict)
{
    const job_spec spec = batch_spec("a", {8000, 1000, 0});
    const job_spec service = service_spec("pages");
    placement place({});
    std::vector<place_task> tasks = {running("s", service, "w1", service.declared)};
    for (int i = 0; i < 3; ++i) {
        tasks.push_back(running("a", spec, "w1", spec.declared, i));
        place.learn_usage(start, tasks.back().task, spec, {12000, 1000, 0});
    }
    const place_plan plan = place.plan(start + 30s, tasks, workers_for({"w1"}, tasks));
    BOOST_TEST(plan.evictions.empty());
    BOOST_REQUIRE(!plan.throttles.empty());
    double cpu = 4000;
    std::map<task_id, std::int32_t> percent;
    for (const place_throttle& t : plan.throttles) {
        BOOST_TEST(t.task.job == job_id("a"));
        percent[t.task] = t.percent;
    }
    for (int i = 0; i < 3; ++i) {
        const task_id task{job_id("a"), i};
        cpu += 12000.0 * (percent.contains(task) ? percent[task] : 100) / 100;
    }
    BOOST_TEST(cpu <= 32000);
}

// A class of batch work that slows one service badly and another hardly: it goes beside the one it does not harm, and
// waits when only the other has room.
BOOST_AUTO_TEST_CASE(work_goes_where_it_harms_no_service)
{
    const job_spec noisy = batch_spec("noisy", {8000, 1000, 0}, urgency::normal, "noisy");
    const job_spec tender = service_spec("tender");
    const job_spec tough = service_spec("tough");
    placement place({});
    teach_slowdown(place, tender, noisy, 4.0, start);
    teach_slowdown(place, tough, noisy, 0.0, start);
    std::vector<place_task> tasks = {running("tender", tender, "w1", tender.declared),
                                     running("tough", tough, "w2", tough.declared), queued("n", noisy)};
    const auto both = workers_for({"w1", "w2"}, tasks);
    BOOST_TEST(starts_on(place.plan(start, tasks, both), "w2"));
    BOOST_TEST(place.plan(start, tasks, {both[0]}).starts.empty());
}

// The same noisy work already runs beside the tender service. It is throttled, not evicted; and it is not raised again
// before a lagging measurement could show the effect, or the two would chase each other.
BOOST_AUTO_TEST_CASE(harm_is_throttled_first_and_not_undone_at_once)
{
    const job_spec noisy = batch_spec("noisy", {8000, 1000, 0}, urgency::normal, "noisy");
    const job_spec tender = service_spec("tender");
    placement place({});
    teach_slowdown(place, tender, noisy, 4.0, start);
    std::vector<place_task> tasks = {running("tender", tender, "w1", tender.declared),
                                     running("n", noisy, "w1", noisy.declared)};
    const auto workers = workers_for({"w1"}, tasks);
    place.plan(start - 1s, {tasks[0]}, workers);
    place.learn_interference(start - 1s, tasks[0].task, tender, 1, {});
    const place_plan plan = place.plan(start, tasks, workers);
    BOOST_TEST(plan.evictions.empty());
    BOOST_REQUIRE(plan.throttles.size() == 1);
    BOOST_TEST(plan.throttles[0].percent < 100);
    tasks[1].throttle = plan.throttles[0].percent;
    for (int second = 1; second < 60; ++second) {
        BOOST_TEST(place.plan(start + second * 1s, tasks, workers).throttles.empty());
    }
}

// Noisy work is throttled as far as it goes and the service is still too slow. Only then is it evicted, after longer
// than the measurements lag; and one task at a time, whatever the number of workers in the same state.
BOOST_AUTO_TEST_CASE(eviction_for_a_service_comes_last_and_within_a_budget)
{
    const job_spec noisy = batch_spec("noisy", {8000, 1000, 0}, urgency::normal, "noisy");
    const job_spec tender = service_spec("tender");
    placement place({});
    constexpr double per_load = 30;
    teach_slowdown(place, tender, noisy, per_load, start);
    std::vector<place_task> services;
    std::vector<place_task> tasks;
    const std::vector<const char*> names = {"w1", "w2", "w3", "w4"};
    for (const char* name : names) {
        const int index = static_cast<int>(services.size());
        services.push_back(running("s", tender, name, tender.declared, index));
        tasks.push_back(running("n", noisy, name, noisy.declared, index));
    }
    std::size_t evictions = 0;
    std::size_t throttles = 0;
    for (int second = 0; second < 100; ++second) {
        std::vector<place_task> all = services;
        all.insert(all.end(), tasks.begin(), tasks.end());
        const place_plan plan = place.plan(start + second * 1s, all, workers_for(names, all));
        for (const place_throttle& t : plan.throttles) {
            std::find_if(tasks.begin(), tasks.end(), [&](const place_task& x) { return x.task == t.task; })->throttle =
                t.percent;
            ++throttles;
        }
        evictions += plan.evictions.size();
        BOOST_TEST((evictions == 0 || second >= 60));
        for (const place_task& task : tasks) {
            const double slowdown = 1 + per_load * 0.25 * task.throttle / 100;
            place.learn_interference(start + second * 1s, {job_id("s"), task.task.index}, tender, slowdown, {&noisy});
        }
    }
    BOOST_TEST(throttles >= 4);
    BOOST_TEST(evictions == 1);
}

// Nobody measures the service's slowdown, or the owner is new and has no measurement yet. What is only believed about
// unknown work must not throttle what runs, and must not hold the queue back for ever.
BOOST_AUTO_TEST_CASE(an_unmeasured_service_holds_batch_work_back_for_a_while_only)
{
    const job_spec batch = batch_spec("a", {6000, 1000, 0});
    const job_spec service = service_spec("pages");
    placement place({});
    std::vector<place_task> tasks = several("q", batch, 4);
    tasks.push_back(running("s", service, "w1", service.declared));
    const auto workers = workers_for({"w1"}, tasks);
    BOOST_TEST(place.plan(start, tasks, workers).starts.size() < 4);
    BOOST_TEST(place.plan(start + 2min, tasks, workers).starts.size() == 4);

    std::vector<place_task> all = {tasks.back()};
    for (int i = 0; i < 4; ++i) {
        all.push_back(running("q", batch, "w1", batch.declared, i));
    }
    BOOST_TEST(placement({}).plan(start, all, workers_for({"w1"}, all)).throttles.empty());
}

// A measurement arrives 30 s late, when the noisy task has already left. It speaks of the placement it was taken under:
// the quiet work that runs there now must not be learned as harmful.
BOOST_AUTO_TEST_CASE(a_late_measurement_is_held_against_the_placement_it_was_taken_under)
{
    const job_spec noisy = batch_spec("noisy", {8000, 1000, 0}, urgency::normal, "noisy");
    const job_spec quiet = batch_spec("quiet", {8000, 1000, 0}, urgency::normal, "quiet");
    const job_spec service = service_spec("pages");
    placement place({});
    const place_task s = running("s", service, "w1", service.declared);
    for (int round = 0; round < 40; ++round) {
        const instant begin = start + round * 60s;
        const bool noise = round % 2 == 0;
        const place_task batch =
            noise ? running("n", noisy, "w1", noisy.declared) : running("q", quiet, "w1", quiet.declared);
        const std::vector<place_task> tasks = {s, batch};
        for (int second = 0; second < 60; second += 5) {
            place.plan(begin + second * 1s, tasks, workers_for({"w1"}, tasks));
            const bool noise_then = second >= 30 ? noise : !noise;
            const double slowdown = noise_then ? 2.0 : 1.0;
            place.learn_interference(begin + (second - 30) * 1s, s.task, service, slowdown, {batch.spec});
        }
    }
    const std::vector<place_task> tasks = {s, queued("q2", quiet), queued("n2", noisy)};
    const place_plan plan = place.plan(start + 3000s, tasks, workers_for({"w1"}, tasks));
    BOOST_REQUIRE(plan.starts.size() == 1);
    BOOST_TEST(plan.starts[0].task.job == job_id("q2"));
}

// Nothing is free when urgent work comes. The patient task that loses least is told to stop, the room is held although
// other work waits for it, and the urgent task starts with the next plan that sees it free.
BOOST_AUTO_TEST_CASE(urgent_work_takes_the_place_of_patient_work)
{
    const job_spec patient = batch_spec("patient", {16000, 1000, 0}, urgency::patient);
    const job_spec urgent = batch_spec("urgent", {16000, 1000, 0}, urgency::urgent);
    const job_spec other = batch_spec("other", {16000, 1000, 0});
    placement place({});
    std::vector<place_task> tasks = {running("p", patient, "w1", patient.declared, 0),
                                     running("p", patient, "w1", patient.declared, 1), queued("u", urgent),
                                     queued("o", other)};
    tasks[1].run_so_far = 5s;
    const place_plan first = place.plan(start, tasks, workers_for({"w1"}, tasks));
    BOOST_REQUIRE(first.evictions.size() == 1);
    BOOST_TEST(first.evictions[0].task.index == 1);
    BOOST_TEST(place.plan(start + 1s, tasks, workers_for({"w1"}, tasks)).evictions.empty());
    tasks.erase(tasks.begin() + 1);
    const place_plan second = place.plan(start + 2s, tasks, workers_for({"w1"}, tasks));
    BOOST_REQUIRE(second.starts.size() == 1);
    BOOST_TEST(second.starts[0].task.job == job_id("u"));
}

// Room is made for urgent work, but a neighbour turns out larger and grows into it. Waiting for the rest of the time
// that the room was held for would be in vain: the next plan makes room elsewhere.
BOOST_AUTO_TEST_CASE(urgent_work_does_not_wait_for_room_that_is_lost)
{
    const job_spec patient = batch_spec("patient", {16000, 1000, 0}, urgency::patient);
    const job_spec urgent = batch_spec("urgent", {16000, 1000, 0}, urgency::urgent);
    placement place({});
    std::vector<place_task> tasks = {running("p", patient, "w1", patient.declared, 0),
                                     running("p", patient, "w1", patient.declared, 1), queued("u", urgent)};
    BOOST_REQUIRE(place.plan(start, tasks, workers_for({"w1"}, tasks)).evictions.size() == 1);
    tasks.erase(tasks.begin());
    tasks[0].committed.cpu_millis = 20000;
    const place_plan plan = place.plan(start + 1s, tasks, workers_for({"w1"}, tasks));
    BOOST_TEST(plan.starts.empty());
    BOOST_TEST(plan.evictions.size() == 1);
}

// Small tasks end one by one and others take their places at once, so the gap that a large task needs never opens.
// After some minutes what becomes free on one worker is kept for it, and it starts when that is enough.
BOOST_AUTO_TEST_CASE(a_large_task_is_not_starved_by_small_ones)
{
    const job_spec small = batch_spec("small", {8000, 1000, 0});
    const job_spec large = batch_spec("large", {30000, 1000, 0});
    placement place({});
    std::vector<place_task> tasks = {running("s", small, "w1", small.declared, 0),
                                     running("s", small, "w1", small.declared, 1),
                                     running("s", small, "w1", small.declared, 2),
                                     running("s", small, "w1", small.declared, 3), queued("large", large)};
    bool started = false;
    for (int minute = 0; minute < 30 && !started; ++minute) {
        const instant now = start + minute * 60s;
        tasks.erase(std::find_if(tasks.begin(), tasks.end(), [](const place_task& t) { return t.running; }));
        tasks.push_back(queued("s", small, 100 + minute));
        tasks.back().queued_since = now;
        for (const place_start& s : place.plan(now, tasks, workers_for({"w1"}, tasks)).starts) {
            started = started || s.task.job == job_id("large");
            for (place_task& t : tasks) {
                if (t.task == s.task) {
                    t = running("s", small, "w1", s.committed, t.task.index);
                }
            }
        }
    }
    BOOST_TEST(started);
}

// One team's wave of jobs must not shut the others out: each of 120 teams gets its share of the starts.
BOOST_AUTO_TEST_CASE(every_team_gets_its_share)
{
    std::deque<job_spec> specs;
    std::vector<place_task> tasks;
    for (int team = 0; team < 120; ++team) {
        specs.push_back(batch_spec("a", {1000, 1000, 0}));
        specs.back().team = team_id("t" + std::to_string(team));
        for (int i = 0; i < (team == 0 ? 2000 : 5); ++i) {
            tasks.push_back(queued(("job" + std::to_string(team)).c_str(), specs.back(), i));
            tasks.back().queued_since = team == 0 ? start : start + 1s;
        }
    }
    placement place({});
    std::map<job_id, int> starts;
    for (const place_start& s :
         place.plan(start + 2s, tasks, workers_for({"a", "b", "c", "d", "e", "f", "g", "h"})).starts) {
        starts[s.task.job] += 1;
    }
    BOOST_TEST(starts.size() == 120);
    for (const auto& [job, count] : starts) {
        BOOST_TEST(count >= 2);
        BOOST_TEST(count <= 3);
    }
}

BOOST_AUTO_TEST_CASE(a_quota_binds_one_team_only)
{
    const job_spec spec = batch_spec("a", {8000, 1000, 0});
    place_settings settings;
    settings.teams.push_back({team_id("audit"), 1, {20000, 0, 0}});
    placement place(settings);
    std::vector<place_task> tasks = several("a", spec, 4);
    job_spec other = spec;
    other.team = team_id("news");
    tasks.push_back(queued("b", other));
    BOOST_TEST(place.plan(start, tasks, workers_for({"w1", "w2"})).starts.size() == 3);
}

// A rack that fails must not take the whole service with it.
BOOST_AUTO_TEST_CASE(a_service_is_spread_over_racks_and_workers)
{
    const job_spec service = service_spec("pages");
    placement place({});
    std::vector<place_task> tasks = several("s", service, 4);
    const auto workers = workers_for({"a1", "a2", "a3", "b1", "b2", "b3"});
    std::map<char, int> racks;
    std::map<worker_id, int> used;
    for (const place_start& s : place.plan(start, tasks, workers).starts) {
        racks[s.worker.str().front()] += 1;
        used[s.worker] += 1;
    }
    BOOST_TEST(racks['a'] == 2);
    BOOST_TEST(racks['b'] == 2);
    BOOST_TEST(used.size() == 4);
}

// One worker fails whatever it starts, at once, so it is always the emptiest and would eat the queue. The same jobs
// finish elsewhere: it is kept out, gets one task after a while, and comes back when that one finishes.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_what_finishes_elsewhere_is_kept_out_and_probed)
{
    const job_spec spec = batch_spec("a", {1000, 1000, 0});
    placement place({});
    const auto workers = workers_for({"bad", "good", "fine"});
    place.plan(start, {}, workers);
    for (const char* job : {"j1", "j2"}) {
        place.learn_end(start, {job_id(job), 0}, spec, worker_id("bad"), attempt_end::failed, "no scratch");
        place.learn_end(start + 1s, {job_id(job), 0}, spec, worker_id("good"), attempt_end::finished, "");
    }
    BOOST_TEST(place.quarantined(worker_id("bad"), start + 2s));
    std::vector<place_task> tasks = several("k", spec, 90);
    BOOST_TEST(!starts_on(place.plan(start + 2s, tasks, workers), "bad"));

    const instant later = start + 2s + config::quarantine_least;
    int probes = 0;
    for (const place_start& s : place.plan(later, tasks, workers).starts) {
        probes += s.worker == worker_id("bad") ? 1 : 0;
    }
    BOOST_TEST(probes == 1);
    place.learn_end(later + 1s, {job_id("k"), 0}, spec, worker_id("bad"), attempt_end::finished, "");
    BOOST_TEST(!place.quarantined(worker_id("bad"), later + 1s));
}

// The probe fails too: the worker stays out for longer than the first time.
BOOST_AUTO_TEST_CASE(a_failed_probe_keeps_the_worker_out_longer)
{
    const job_spec spec = batch_spec("a", {1000, 1000, 0});
    placement place({});
    place.plan(start, {}, workers_for({"bad", "good", "fine"}));
    for (const char* job : {"j1", "j2"}) {
        place.learn_end(start, {job_id(job), 0}, spec, worker_id("bad"), attempt_end::failed, "");
        place.learn_end(start, {job_id(job), 0}, spec, worker_id("good"), attempt_end::finished, "");
    }
    const instant later = start + config::quarantine_least;
    place.learn_end(later, {job_id("j3"), 0}, spec, worker_id("bad"), attempt_end::failed, "");
    const auto tasks = std::vector<place_task>{queued("k", spec)};
    const auto bad_only = workers_for({"bad"});
    BOOST_TEST(place.plan(later + config::quarantine_least, tasks, bad_only).starts.empty());
    BOOST_TEST(place.plan(later + 2 * config::quarantine_least, tasks, bad_only).starts.size() == 1);
}

// A job fails on three workers, and on each of them work that was started later lives on. The job can never run: it is
// parked with its reason and none of the workers is blamed. When an operator puts it back, its record is clean.
BOOST_AUTO_TEST_CASE(a_job_that_fails_where_others_do_well_is_parked)
{
    const job_spec broken = batch_spec("broken", {1000, 1000, 0});
    const job_spec sound = batch_spec("sound", {1000, 1000, 0});
    placement place({});
    instant now = start;
    for (const char* worker : {"w1", "w2", "w3"}) {
        auto workers = workers_for({"w1", "w2", "w3"});
        for (place_worker& w : workers) {
            w.usable = w.worker == worker_id(worker);
        }
        BOOST_REQUIRE(starts_on(place.plan(now, {queued("x", broken)}, workers), worker));
        place.learn_end(now + 1s, {job_id("x"), 0}, broken, worker_id(worker), attempt_end::failed, "input is damaged");
        now += 100s;
        place_task later = running("y", sound, worker, sound.declared);
        later.run_so_far = 50s;
        place.plan(now, {later}, workers_for({"w1", "w2", "w3"}));
        BOOST_TEST(!place.quarantined(worker_id(worker), now));
    }
    const auto workers = workers_for({"w1", "w2", "w3"});
    const place_plan plan = place.plan(now, {queued("x", broken)}, workers);
    BOOST_TEST(plan.starts.empty());
    BOOST_REQUIRE(plan.parks.size() == 1);
    BOOST_TEST(plan.parks[0].reason.find("input is damaged") != std::string::npos);
    place.plan(now + 1s, {}, workers);
    BOOST_TEST(place.plan(now + 2s, {queued("x", broken)}, workers).starts.size() == 1);
}

// A worker goes bad while tasks started before still finish there. Those say nothing about what it does to new ones:
// the jobs that fail there are not parked for it, and it is kept out.
BOOST_AUTO_TEST_CASE(tasks_started_before_a_worker_went_bad_do_not_clear_it)
{
    const job_spec spec = batch_spec("a", {1000, 1000, 0});
    placement place({});
    const auto workers = workers_for({"bad", "w2", "w3"});
    const std::vector<place_task> old = {running("old", spec, "bad", spec.declared, 0),
                                         running("old", spec, "bad", spec.declared, 1),
                                         running("old", spec, "bad", spec.declared, 2)};
    place.plan(start, old, workers);
    for (int i = 0; i < 3; ++i) {
        const std::string job = "j" + std::to_string(i);
        place.learn_end(start + i * 1s, {job_id(job), 0}, spec, worker_id("bad"), attempt_end::failed, "no scratch");
        place.learn_end(start + i * 1s, {job_id("old"), i}, spec, worker_id("bad"), attempt_end::finished, "");
    }
    BOOST_TEST(place.quarantined(worker_id("bad"), start + 3s));
    const place_plan plan = place.plan(start + 60s, {queued("j0", spec)}, workers);
    BOOST_TEST(plan.parks.empty());
    BOOST_TEST(plan.starts.size() == 1);
}

// Something all tasks need is down, so everything fails everywhere. No worker is shut out and no job is parked for it:
// nothing finished anywhere that would tell a guilty one from the rest.
BOOST_AUTO_TEST_CASE(a_common_cause_blames_neither_workers_nor_jobs)
{
    const job_spec spec = batch_spec("a", {1000, 1000, 0});
    placement place({});
    const std::vector<const char*> names = {"w1", "w2", "w3", "w4"};
    place.plan(start, {}, workers_for(names));
    std::vector<place_task> tasks;
    for (const char* job : {"j1", "j2", "j3", "j4"}) {
        for (const char* worker : names) {
            place.learn_end(start, {job_id(job), 0}, spec, worker_id(worker), attempt_end::failed, "store is down");
        }
        tasks.push_back(queued(job, spec));
    }
    const place_plan plan = place.plan(start + 5min, tasks, workers_for(names));
    BOOST_TEST(plan.parks.empty());
    BOOST_TEST(plan.starts.size() == 4);
    for (const char* worker : names) {
        BOOST_TEST(!place.quarantined(worker_id(worker), start + 1s));
    }
}

// An owner was paused and its fence is stale: every attempt on its workers ends at once. Counted as failures, the ends
// would shut out good workers and park good jobs after every takeover.
BOOST_AUTO_TEST_CASE(lost_ownership_blames_neither_worker_nor_job)
{
    const job_spec spec = batch_spec("a", {1000, 1000, 0});
    placement place({});
    const auto workers = workers_for({"w1", "w2", "w3"});
    place.plan(start, {}, workers);
    std::vector<place_task> tasks;
    for (const char* job : {"j1", "j2", "j3", "j4", "j5"}) {
        place.learn_end(start, {job_id(job), 0}, spec, worker_id("w2"), attempt_end::finished, "");
        for (int i = 0; i < 5; ++i) {
            place.learn_end(start, {job_id(job), 1}, spec, worker_id("w1"), attempt_end::stale_owner, "fence");
        }
        tasks.push_back(queued(job, spec, 1));
    }
    BOOST_TEST(!place.quarantined(worker_id("w1"), start + 1s));
    const place_plan plan = place.plan(start + 1s, tasks, workers);
    BOOST_TEST(plan.parks.empty());
    BOOST_TEST(plan.starts.size() == 5);
}

// Random sizes, wrong by up to four times, measured late, with noise, cancellations and evictions: whatever the plan
// says, applied in its order, no ledger ever exceeds its worker.
BOOST_AUTO_TEST_CASE(ledgers_hold_while_sizes_are_learned)
{
    std::mt19937_64 random(7);
    const auto pick = [&](int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); };
    std::deque<job_spec> specs;
    std::vector<place_task> tasks;
    placement place({});
    for (int second = 0; second < 400; ++second) {
        const instant now = start + second * 1s;
        if (second % 3 == 0) {
            specs.push_back(batch_spec(("f" + std::to_string(pick(0, 9))).c_str(),
                                       {pick(1, 8) * 1000, pick(1, 8) * 2000, 0}, static_cast<urgency>(pick(0, 2))));
            for (int i = 0; i < 6; ++i) {
                tasks.push_back(queued(("job" + std::to_string(second)).c_str(), specs.back(), i));
            }
        }
        std::erase_if(tasks, [&](const place_task&) { return pick(0, 60) == 0; });
        const auto workers = workers_for({"w1", "w2", "w3", "w4"}, tasks);
        const place_plan plan = place.plan(now, tasks, workers);
        const auto find = [&](const task_id& id) {
            return std::find_if(tasks.begin(), tasks.end(), [&](const place_task& t) { return t.task == id; });
        };
        for (const place_resize& r : plan.resizes) {
            find(r.task)->committed = r.committed;
        }
        for (const place_start& s : plan.starts) {
            *find(s.task) = running(s.task.job.str().c_str(), *find(s.task)->spec, s.worker.str().c_str(), s.committed,
                                    s.task.index);
        }
        for (const place_worker& worker : workers_for({"w1", "w2", "w3", "w4"}, tasks)) {
            BOOST_TEST(fits(worker.committed, worker.capacity));
        }
        for (const place_evict& e : plan.evictions) {
            tasks.erase(find(e.task));
        }
        for (const place_task& task : tasks) {
            if (task.running && second % 5 == 0) {
                const std::int64_t wrong = 1 + static_cast<std::int64_t>(task.spec->name.back() - '0') % 4;
                place.learn_usage(
                    now - 20s, task.task, *task.spec,
                    {task.spec->declared.cpu_millis * wrong / 2, task.spec->declared.memory_mib * wrong, 0});
            }
        }
    }
}
