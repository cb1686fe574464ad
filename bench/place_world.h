// A small deterministic cell for measuring placement policies: fake workers that run, slow, fail and kill tasks in
// virtual time, and report late what they measured. It is no cluster simulator: no network, no store, no owners.
#pragma once

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "config.h"
#include "place_policies.h"

namespace skylarkhub::bench {

struct world_options {
    std::uint64_t seed = 1;
    int seconds = 7200;
    int workers = 50;
    int workers_per_rack = 6;
    int services = 10;
    int tasks_per_service = 12;
    int lag = 30; // seconds between a measurement and its arrival
    int measure_every = 5;
    double bad_share = 0.2; // of the workers, that fail whatever they start from bad_from to bad_until
    int bad_from = 1200;
    int bad_until = 4800;
    double offered = 0.7; // true batch processor time on offer, as a share of all processors
    int wave_every = 900; // seconds between waves of noisy tasks
    int wave_tasks = 150;
    int cancel_every = 1700; // seconds between waves of cancellations
    int takeover_every = 0;  // seconds between losses of the ownership of a fifth of the workers; 0 for none
    int checkpoint_every = 120;
    bool shrink = false; // whether the cell applies a resize that makes a commitment smaller
};

struct world_result {
    double service_time = 0;       // task seconds
    double service_time_above = 0; // of these, above the slowdown limit
    std::vector<float> slowdowns;
    double work_finished = 0; // processor seconds of finished tasks
    double work_lost = 0;     // processor seconds that had to be done again
    std::int64_t tasks_finished = 0;
    std::int64_t evictions = 0; // asked for by the plan
    std::int64_t kills = 0;     // by a worker out of memory
    std::int64_t failures = 0;  // attempts that failed
    std::int64_t throttles = 0;
    double worker_time = 0;
    double memory_over = 0; // worker seconds in which tasks wanted more memory than there is
    double cpu_over = 0;    // the same for processors
    double ledger_over = 0; // worker seconds in which more was committed than there is
    double cpu_used = 0;    // mean over workers and time, as shares of capacity
    double cpu_committed = 0;
    double cpu_withheld = 0; // by throttles
    double memory_committed = 0;
    double task_time = 0;    // batch task seconds
    double ledger_short = 0; // of these, with more memory or processors in use than committed
    std::vector<double> urgent_waits;
    std::int64_t jobs = 0;
    std::int64_t good_jobs_parked = 0;
    std::int64_t hopeless_jobs = 0;
    std::int64_t hopeless_jobs_parked = 0;
    double good_shut = 0; // worker seconds in which a good worker was quarantined
    double good_time = 0;
    double bad_shut = 0; // the same of bad ones
    double bad_time = 0;
};

class place_world {
public:
    place_world(const world_options& options, policy used);
    world_result run();

private:
    static constexpr int class_count = 6;

    struct family {
        team_id team;
        std::string name;
        int batch_class = 0;
        skylarkhub::urgency urgency = urgency::normal;
        resources declared;
        double cpu = 0; // true use
        double memory = 0;
        double run_seconds = 0;
        int most_tasks = 1;
    };
    struct sim_job {
        job_id id;
        std::unique_ptr<job_spec> spec;
        const family* from = nullptr; // of batch work
        int service = -1;
        bool hopeless = false;
        bool closed = false; // parked or cancelled
    };
    struct sim_task {
        task_id id;
        std::size_t job = 0;
        attempt_number attempt;
        bool finished = false;
        bool running = false;
        std::size_t worker = 0;
        resources committed;
        resources measured;
        double cpu = 0;
        double memory = 0;
        double run_seconds = 0;
        double progress = 0;
        double checkpoint = 0;
        int queued = 0;
        int started = 0;
        int throttle = 100;
        int failed = 0;
        std::vector<worker_id> failed_on;
        bool stop = false;
    };
    struct sim_worker {
        worker_id id;
        rack_id rack;
        resources capacity;
        std::vector<std::size_t> tasks;
        bool bad = false;
    };
    struct measurement {
        int taken = 0;
        std::size_t task = 0;
        resources used;
        double slowdown = 0; // of a service task
        std::vector<const job_spec*> neighbours;
    };

    void make_cell();
    void make_families();
    void add_service(int index);
    void add_job(const family& from, bool hopeless, int most_tasks);
    void arrive();
    void cancel_some();
    void lose_owners();
    void run_workers();
    void run_worker(sim_worker& worker);
    void run_task(std::size_t index, sim_worker& worker, double rate);
    void kill_for_memory(sim_worker& worker);
    double slowdown_of(const sim_task& service, const sim_worker& worker, double used) const;
    void measure(const sim_worker& worker, double used);
    void deliver();
    void end_attempt(std::size_t index, attempt_end end, const std::string& reason);
    void plan();
    void apply(const place_plan& plan);
    void count_ledger();
    double uniform(double low, double high) { return absl::Uniform(random_, low, high); }
    double service_cpu(const sim_task& task) const;
    double use_of(const sim_task& task) const;
    bool service(const sim_task& task) const { return jobs_[task.job].service >= 0; }
    instant at(int second) const { return instant{} + std::chrono::seconds(1000 + second); }

    world_options options_;
    policy policy_;
    std::mt19937_64 random_;
    world_result result_;
    int now_ = 0;
    std::vector<sim_worker> workers_;
    std::vector<family> families_;
    family noisy_;
    std::deque<sim_job> jobs_;
    std::vector<sim_task> tasks_;
    std::vector<std::size_t> active_; // queued or running
    std::map<task_id, std::size_t> task_index_;
    std::vector<std::array<double, class_count>> coupling_; // by service
    std::deque<measurement> measurements_;
    double arrivals_per_second_ = 0;
};

inline place_world::place_world(const world_options& options, policy used)
    : options_(options), policy_(std::move(used)), random_(options.seed)
{
    make_cell();
    make_families();
    for (int i = 0; i < options_.services; ++i) {
        add_service(i);
    }
}

inline void place_world::make_cell()
{
    for (int i = 0; i < options_.workers; ++i) {
        sim_worker worker;
        worker.id = worker_id(fmt::format("w{:03}", i));
        worker.rack = rack_id(fmt::format("r{}", i / options_.workers_per_rack));
        worker.capacity = {32000, 125000, 0};
        worker.bad = uniform(0, 1) < options_.bad_share;
        workers_.push_back(std::move(worker));
    }
}

inline void place_world::make_families()
{
    constexpr std::array<double, 5> wrong = {0.25, 0.5, 1, 2, 4};
    constexpr std::array<std::int64_t, 4> sizes = {500, 1000, 2000, 4000};
    double work = 0;
    constexpr int family_count = 40;
    for (int i = 0; i < family_count; ++i) {
        family f;
        f.team = team_id(fmt::format("team{}", i % 12));
        f.name = fmt::format("family{}", i);
        f.batch_class = absl::Uniform(random_, 0, class_count - 1);
        f.urgency = i % 10 == 0 ? urgency::urgent : i % 5 < 3 ? urgency::normal : urgency::patient;
        f.declared.cpu_millis = sizes[absl::Uniform<std::size_t>(random_, 0, sizes.size())];
        f.declared.memory_mib = static_cast<std::int64_t>(static_cast<double>(f.declared.cpu_millis) * uniform(1, 3));
        f.cpu =
            static_cast<double>(f.declared.cpu_millis) * wrong[absl::Uniform<std::size_t>(random_, 0, wrong.size())];
        f.memory =
            static_cast<double>(f.declared.memory_mib) * wrong[absl::Uniform<std::size_t>(random_, 0, wrong.size())];
        f.run_seconds = f.urgency == urgency::urgent ? uniform(20, 60) : uniform(60, 900);
        f.most_tasks = f.urgency == urgency::urgent ? 4 : 30;
        work += f.cpu * f.run_seconds * (1 + f.most_tasks) / 2 / family_count;
        families_.push_back(f);
    }
    noisy_ = {team_id("team3"), "noisy", class_count - 1, urgency::normal, {1000, 1500, 0}, 2000, 1500, 240, 1};
    arrivals_per_second_ = options_.offered * options_.workers * 32000 / work;
}

inline void place_world::add_service(int index)
{
    constexpr std::array<double, class_count> usual = {0.05, 0.15, 0.3, 0.7, 1.2, 2.5};
    std::array<double, class_count> row{};
    for (int c = 0; c < class_count; ++c) {
        row[static_cast<std::size_t>(c)] =
            usual[static_cast<std::size_t>(c)] * std::exp(absl::Gaussian(random_, 0.0, 0.7));
    }
    coupling_.push_back(row);
    sim_job job;
    job.id = job_id(fmt::format("service{}", index));
    job.service = index;
    job.spec = std::make_unique<job_spec>();
    job.spec->team = team_id(fmt::format("team{}", index % 12));
    job.spec->name = job.id.str();
    job.spec->kind = kind_id("service");
    job.spec->is_service = true;
    job.spec->declared = {4000, 8000, 0};
    job.spec->task_count = options_.tasks_per_service;
    for (int i = 0; i < options_.tasks_per_service; ++i) {
        sim_task task;
        task.id = {job.id, i};
        task.job = jobs_.size();
        task.cpu = 3500;
        task.memory = 6000;
        // Spread over workers and racks from the start, the same for every policy.
        task.running = true;
        task.attempt = attempt_number(1);
        task.worker =
            static_cast<std::size_t>(i * options_.workers / options_.tasks_per_service + index) % workers_.size();
        task.committed = job.spec->declared;
        workers_[task.worker].tasks.push_back(tasks_.size());
        task_index_[task.id] = tasks_.size();
        active_.push_back(tasks_.size());
        tasks_.push_back(std::move(task));
    }
    jobs_.push_back(std::move(job));
}

inline void place_world::add_job(const family& from, bool hopeless, int most_tasks)
{
    sim_job job;
    job.id = job_id(fmt::format("job{:06}", jobs_.size()));
    job.from = &from;
    job.hopeless = hopeless;
    job.spec = std::make_unique<job_spec>();
    job.spec->team = from.team;
    job.spec->name = hopeless ? from.name + "-broken" : from.name;
    job.spec->kind = kind_id(fmt::format("class{}", from.batch_class));
    job.spec->declared = from.declared;
    job.spec->urgency = from.urgency;
    job.spec->task_count = absl::Uniform(absl::IntervalClosed, random_, 1, most_tasks);
    const bool oversized = hopeless && uniform(0, 1) < 0.5;
    if (oversized) {
        job.spec->declared.memory_mib = 200000;
    }
    for (int i = 0; i < job.spec->task_count; ++i) {
        sim_task task;
        task.id = {job.id, i};
        task.job = jobs_.size();
        task.cpu = from.cpu * uniform(0.8, 1.2);
        task.memory = from.memory * uniform(0.85, 1.15);
        task.run_seconds = from.run_seconds * uniform(0.7, 1.3);
        task.queued = now_;
        task_index_[task.id] = tasks_.size();
        active_.push_back(tasks_.size());
        tasks_.push_back(std::move(task));
    }
    result_.jobs += 1;
    result_.hopeless_jobs += hopeless ? 1 : 0;
    jobs_.push_back(std::move(job));
}

inline void place_world::arrive()
{
    const int count = std::poisson_distribution<int>(arrivals_per_second_)(random_);
    for (int i = 0; i < count; ++i) {
        const family& from = families_[absl::Uniform<std::size_t>(random_, 0, families_.size())];
        add_job(from, uniform(0, 1) < 0.02, from.most_tasks);
    }
    if (now_ > 0 && now_ % options_.wave_every == 0) {
        for (int i = 0; i < options_.wave_tasks; ++i) {
            add_job(noisy_, false, 1);
        }
    }
}

// A team takes back most of what it has queued.
inline void place_world::cancel_some()
{
    if (now_ == 0 || now_ % options_.cancel_every != 0) {
        return;
    }
    for (const std::size_t index : active_) {
        sim_task& task = tasks_[index];
        sim_job& job = jobs_[task.job];
        if (!task.running && job.from != nullptr && task.job % 3 == 0 && task.progress == 0) {
            task.finished = true;
        }
    }
}

// Ownership of some workers is lost while their owner is paused: their batch work ends under a stale fence.
inline void place_world::lose_owners()
{
    if (options_.takeover_every == 0 || now_ == 0 || now_ % options_.takeover_every != 0) {
        return;
    }
    for (std::size_t w = 0; w < workers_.size(); ++w) {
        if (uniform(0, 1) < 0.2) {
            const std::vector<std::size_t> tasks = workers_[w].tasks;
            for (const std::size_t index : tasks) {
                if (!service(tasks_[index])) {
                    end_attempt(index, attempt_end::stale_owner, "fence is stale");
                }
            }
        }
    }
}

// Services are busiest in the middle of each half hour.
inline double place_world::service_cpu(const sim_task& task) const
{
    const double phase = 2 * 3.14159265 * now_ / 1800.0 + jobs_[task.job].service;
    return task.cpu * (0.75 + 0.25 * std::sin(phase));
}

inline double place_world::use_of(const sim_task& task) const
{
    return service(task) ? service_cpu(task) : task.cpu * task.throttle / 100;
}

inline double place_world::slowdown_of(const sim_task& task, const sim_worker& worker, double used) const
{
    const double capacity = static_cast<double>(worker.capacity.cpu_millis);
    const double full = used / capacity;
    double slowdown = 1;
    for (const std::size_t other : worker.tasks) {
        if (!service(tasks_[other])) {
            const auto c = static_cast<std::size_t>(jobs_[tasks_[other].job].from->batch_class);
            slowdown += coupling_[static_cast<std::size_t>(jobs_[task.job].service)][c] * use_of(tasks_[other]) /
                        capacity * (0.5 + full / 2) * service_cpu(task) / task.cpu;
        }
    }
    return slowdown + 3 * std::max(0.0, full - 1);
}

inline void place_world::kill_for_memory(sim_worker& worker)
{
    double memory = 0;
    for (const std::size_t index : worker.tasks) {
        memory += tasks_[index].memory;
    }
    const double capacity = static_cast<double>(worker.capacity.memory_mib);
    result_.memory_over += memory > capacity ? 1 : 0;
    while (memory > capacity) {
        // The one that uses most beyond what was committed for it.
        std::size_t worst = tasks_.size();
        double most = -1e18;
        for (const std::size_t index : worker.tasks) {
            const double beyond = tasks_[index].memory - static_cast<double>(tasks_[index].committed.memory_mib);
            if (!service(tasks_[index]) && beyond > most) {
                most = beyond;
                worst = index;
            }
        }
        if (worst == tasks_.size()) {
            return;
        }
        memory -= tasks_[worst].memory;
        result_.kills += 1;
        end_attempt(worst, attempt_end::evicted, "out of memory");
    }
}

inline void place_world::run_worker(sim_worker& worker)
{
    kill_for_memory(worker);
    double used = 0;
    for (const std::size_t index : worker.tasks) {
        used += use_of(tasks_[index]);
    }
    const double capacity = static_cast<double>(worker.capacity.cpu_millis);
    result_.worker_time += 1;
    result_.cpu_over += used > capacity * 1.001 ? 1 : 0;
    for (const std::size_t index : worker.tasks) {
        if (service(tasks_[index])) {
            const double slowdown = slowdown_of(tasks_[index], worker, used);
            result_.service_time += 1;
            result_.service_time_above += slowdown > config::slowdown_limit ? 1 : 0;
            if (now_ % options_.measure_every == 0) {
                result_.slowdowns.push_back(static_cast<float>(slowdown));
            }
        }
    }
    if (now_ % options_.measure_every == 0) {
        measure(worker, used);
    }
    const std::vector<std::size_t> tasks = worker.tasks;
    for (const std::size_t index : tasks) {
        if (!service(tasks_[index])) {
            run_task(index, worker, std::min(1.0, capacity / std::max(1.0, used)));
        }
    }
}

inline void place_world::run_task(std::size_t index, sim_worker& worker, double rate)
{
    sim_task& task = tasks_[index];
    const sim_job& job = jobs_[task.job];
    const int age = now_ - task.started;
    result_.task_time += 1;
    if (worker.bad && now_ >= options_.bad_from && now_ < options_.bad_until && task.started >= options_.bad_from &&
        age >= 3) {
        end_attempt(index, attempt_end::failed, "cannot mount scratch");
        return;
    }
    if (job.hopeless && age >= 20) {
        end_attempt(index, attempt_end::failed, "input is damaged");
        return;
    }
    task.progress += rate * task.throttle / 100 / task.run_seconds;
    if (age > 0 && age % options_.checkpoint_every == 0) {
        task.checkpoint = task.progress;
    }
    if (task.progress >= 1) {
        result_.tasks_finished += 1;
        result_.work_finished += task.cpu / 1000 * task.run_seconds;
        task.finished = true;
        end_attempt(index, attempt_end::finished, "");
    }
}

inline void place_world::measure(const sim_worker& worker, double used)
{
    std::vector<const job_spec*> neighbours;
    for (const std::size_t index : worker.tasks) {
        if (!service(tasks_[index])) {
            neighbours.push_back(jobs_[tasks_[index].job].spec.get());
        }
    }
    for (const std::size_t index : worker.tasks) {
        measurement m;
        m.taken = now_;
        m.task = index;
        const double noise = uniform(0.97, 1.03);
        m.used = {static_cast<std::int64_t>(use_of(tasks_[index]) * noise),
                  static_cast<std::int64_t>(tasks_[index].memory * noise), 0};
        if (service(tasks_[index])) {
            m.slowdown = slowdown_of(tasks_[index], worker, used) * uniform(0.96, 1.04);
            m.neighbours = neighbours;
        }
        measurements_.push_back(std::move(m));
    }
}

inline void place_world::deliver()
{
    while (!measurements_.empty() && measurements_.front().taken + options_.lag <= now_) {
        const measurement m = std::move(measurements_.front());
        measurements_.pop_front();
        sim_task& task = tasks_[m.task];
        const job_spec& spec = *jobs_[task.job].spec;
        if (!task.running || task.started > m.taken) {
            continue;
        }
        task.measured = m.used;
        if (auto* learned = std::get_if<learned_policy>(&policy_)) {
            learned->place->learn_usage(at(m.taken), task.id, spec, m.used);
            if (spec.is_service) {
                learned->place->learn_interference(at(m.taken), task.id, spec, m.slowdown, m.neighbours);
            }
        }
    }
}

inline void place_world::end_attempt(std::size_t index, attempt_end end, const std::string& reason)
{
    sim_task& task = tasks_[index];
    sim_worker& worker = workers_[task.worker];
    worker.tasks.erase(std::find(worker.tasks.begin(), worker.tasks.end(), index));
    task.running = false;
    task.throttle = 100;
    task.measured = {};
    task.queued = now_;
    if (end != attempt_end::finished) {
        result_.work_lost += (task.progress - task.checkpoint) * task.run_seconds * task.cpu / 1000;
        task.progress = task.checkpoint;
    }
    if (end == attempt_end::failed) {
        result_.failures += 1;
        task.failed += 1;
        task.failed_on.push_back(worker.id);
    }
    if (auto* learned = std::get_if<learned_policy>(&policy_)) {
        const bool blamed = end == attempt_end::stale_owner && learned->blame_lost_owners;
        learned->place->learn_end(at(now_), task.id, *jobs_[task.job].spec, worker.id,
                                  blamed ? attempt_end::failed : end, reason);
    }
}

inline void place_world::plan()
{
    std::erase_if(active_, [&](std::size_t i) {
        return tasks_[i].finished || (jobs_[tasks_[i].job].closed && !tasks_[i].running);
    });
    std::vector<place_task> view;
    view.reserve(active_.size());
    std::vector<place_worker> workers;
    workers.reserve(workers_.size());
    for (const sim_worker& worker : workers_) {
        workers.push_back({worker.id, worker.rack, worker.capacity, {}, true});
    }
    for (const std::size_t index : active_) {
        const sim_task& task = tasks_[index];
        place_task out;
        out.task = task.id;
        out.attempt = task.attempt;
        out.spec = jobs_[task.job].spec.get();
        out.queued_since = at(task.queued);
        out.attempts_failed = task.failed;
        out.failed_on = task.failed_on;
        if (task.running) {
            out.running = true;
            out.worker = workers_[task.worker].id;
            out.committed = task.committed;
            out.used = task.measured;
            out.progress = task.progress;
            out.checkpoint_progress = task.checkpoint;
            out.run_so_far = std::chrono::seconds(now_ - task.started);
            out.throttle = task.throttle;
            workers[task.worker].committed = workers[task.worker].committed + task.committed;
        }
        view.push_back(std::move(out));
    }
    apply(std::visit(detail::overloaded{
                         [&](first_fit_policy&) { return baseline_plan(view, workers, false); },
                         [&](best_fit_policy&) { return baseline_plan(view, workers, true); },
                         [&](learned_policy& p) { return p.place->plan(at(now_), view, workers); },
                     },
                     policy_));
}

inline void place_world::apply(const place_plan& plan)
{
    for (const place_resize& r : plan.resizes) {
        resources& committed = tasks_[task_index_.at(r.task)].committed;
        committed = options_.shrink || fits(committed, r.committed) ? r.committed : committed;
    }
    for (const place_throttle& t : plan.throttles) {
        tasks_[task_index_.at(t.task)].throttle = t.percent;
        result_.throttles += 1;
    }
    for (const place_evict& e : plan.evictions) {
        result_.evictions += 1;
        end_attempt(task_index_.at(e.task), attempt_end::evicted, e.reason);
    }
    for (const place_park& p : plan.parks) {
        const auto job = std::find_if(jobs_.begin(), jobs_.end(), [&](const sim_job& j) { return j.id == p.job; });
        if (!job->closed) {
            job->closed = true;
            (job->hopeless ? result_.hopeless_jobs_parked : result_.good_jobs_parked) += 1;
        }
    }
    for (const place_start& s : plan.starts) {
        const std::size_t index = task_index_.at(s.task);
        sim_task& task = tasks_[index];
        const auto worker =
            std::find_if(workers_.begin(), workers_.end(), [&](const sim_worker& w) { return w.id == s.worker; });
        task.running = true;
        task.attempt = task.attempt.next();
        task.worker = static_cast<std::size_t>(worker - workers_.begin());
        task.committed = s.committed;
        task.started = now_;
        worker->tasks.push_back(index);
        if (jobs_[task.job].spec->urgency == urgency::urgent && task.attempt.value() == 1) {
            result_.urgent_waits.push_back(now_ - task.queued);
        }
    }
}

inline void place_world::count_ledger()
{
    for (const sim_worker& worker : workers_) {
        resources sum;
        for (const std::size_t index : worker.tasks) {
            const sim_task& task = tasks_[index];
            sum = sum + task.committed;
            const bool within = task.memory <= static_cast<double>(task.committed.memory_mib) &&
                                use_of(task) <= static_cast<double>(task.committed.cpu_millis);
            result_.ledger_short += !within && !service(task) ? 1 : 0;
        }
        const double weight = 1.0 / (options_.workers * options_.seconds);
        double used = 0;
        double withheld = 0;
        for (const std::size_t index : worker.tasks) {
            used += use_of(tasks_[index]);
            withheld += tasks_[index].cpu * (100 - tasks_[index].throttle) / 100;
        }
        const double capacity = static_cast<double>(worker.capacity.cpu_millis);
        result_.cpu_withheld += weight * withheld / capacity;
        result_.cpu_used += weight * std::min(1.0, used / capacity);
        result_.cpu_committed += weight * static_cast<double>(sum.cpu_millis) / capacity;
        result_.memory_committed +=
            weight * static_cast<double>(sum.memory_mib) / static_cast<double>(worker.capacity.memory_mib);
        result_.ledger_over += fits(sum, worker.capacity) ? 0 : 1;
        const bool bad = worker.bad && now_ >= options_.bad_from && now_ < options_.bad_until;
        const auto* learned = std::get_if<learned_policy>(&policy_);
        const bool shut = learned != nullptr && learned->place->quarantined(worker.id, at(now_));
        (bad ? result_.bad_time : result_.good_time) += 1;
        (bad ? result_.bad_shut : result_.good_shut) += shut ? 1 : 0;
    }
}

inline world_result place_world::run()
{
    for (now_ = 0; now_ < options_.seconds; ++now_) {
        arrive();
        cancel_some();
        lose_owners();
        for (sim_worker& worker : workers_) {
            run_worker(worker);
        }
        deliver();
        plan();
        count_ledger();
    }
    for (const std::size_t index : active_) {
        const sim_task& task = tasks_[index];
        const sim_job& job = jobs_[task.job];
        if (!task.running && task.attempt.value() == 0 && job.from != nullptr && !job.hopeless &&
            job.spec->urgency == urgency::urgent) {
            result_.urgent_waits.push_back(options_.seconds - task.queued); // still waiting
        }
    }
    return std::move(result_);
}

} // namespace skylarkhub::bench
