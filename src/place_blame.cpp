#include "place_blame_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace skylarkhub::detail {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t failures_kept = 16; // per worker
constexpr std::size_t workers_kept = 16;  // per job
constexpr double innocent_weight = 1.0;   // a failure of a job that finishes elsewhere
constexpr double unknown_weight = 0.5;    // of a job of which nothing else is known
constexpr double suspect_from = 1.0;
constexpr double quarantine_from = 2.0;
constexpr std::size_t park_workers = 3; // distinct good workers at which a job that never finished has failed
constexpr duration backoff_first = 1s;
constexpr duration backoff_most = 1min;
constexpr int backoff_doublings = 6;

} // namespace

void blame_book::learn(instant now, const task_id& task, const worker_id& worker, attempt_end end,
                       const std::string& reason)
{
    // An attempt that was evicted, lost its lease or its owner says nothing about whether it could have finished:
    // counted as a failure it would shut out good workers and park good jobs after every takeover.
    if (end == attempt_end::finished) {
        learn_success(now, task, worker);
    }
    else if (end == attempt_end::failed) {
        learn_failure(now, task, worker, reason);
    }
}

void blame_book::learn_success(instant now, const task_id& task, const worker_id& worker)
{
    worker_record& w = workers_[worker];
    w.touched = now;
    w.succeeded = true;
    w.last_success = now;
    w.failures.clear();
    if (w.until && now >= *w.until) {
        w.until.reset();
        w.term = duration{0};
    }

    job_record& job = jobs_[task.job];
    job.touched = now;
    job.tasks.erase(task.index);
    std::vector<worker_id> failed_on;
    bool known = false;
    for (tried& t : job.workers) {
        if (t.worker == worker) {
            t.finishes += 1;
            known = true;
        }
        else if (t.failures > 0) {
            failed_on.push_back(t.worker);
        }
    }
    if (!known && job.workers.size() < workers_kept) {
        job.workers.push_back({worker, 0, 1});
    }
    for (const worker_id& other : failed_on) {
        judge(now, other);
    }
}

void blame_book::learn_failure(instant now, const task_id& task, const worker_id& worker, const std::string& reason)
{
    const bool good = finishes_others(worker, now);
    worker_record& w = workers_[worker];
    w.touched = now;
    w.failures.push_back({task.job, now});
    if (w.failures.size() > failures_kept) {
        w.failures.pop_front();
    }

    job_record& job = jobs_[task.job];
    job.touched = now;
    job.reason = reason;
    const auto it =
        std::find_if(job.workers.begin(), job.workers.end(), [&](const tried& t) { return t.worker == worker; });
    if (it != job.workers.end()) {
        it->failures += 1;
    }
    else if (job.workers.size() < workers_kept) {
        job.workers.push_back({worker, 1, 0});
    }

    task_record& t = job.tasks[task.index];
    t.failures += 1;
    t.failures_on_good += good ? 1 : 0;
    if (t.failures > 1) {
        const int doublings = std::min(t.failures - 2, backoff_doublings);
        t.not_before = now + std::min(backoff_most, backoff_first * (1 << doublings));
    }
    judge(now, worker);
}

// Sum over the distinct jobs that failed there lately of how surely the job is not the cause.
double blame_book::suspicion(instant now, const worker_id& id, const worker_record& record) const
{
    double sum = 0;
    std::vector<const job_id*> counted;
    for (const failure& f : record.failures) {
        const bool seen = std::any_of(counted.begin(), counted.end(), [&](const job_id* j) { return *j == f.job; });
        const auto job = jobs_.find(f.job);
        if (seen || f.when + config::blame_window < now || job == jobs_.end()) {
            continue;
        }
        counted.push_back(&f.job);
        bool finished = false;
        bool failed = false;
        for (const tried& t : job->second.workers) {
            if (t.worker == id) {
                continue;
            }
            finished = finished || t.finishes > 0;
            const auto other = workers_.find(t.worker);
            const bool shut_out = other != workers_.end() && other->second.until.has_value();
            failed = failed || (t.failures > 0 && !shut_out);
        }
        if (finished) {
            sum += innocent_weight;
        }
        else if (!failed) {
            sum += unknown_weight;
        }
    }
    return sum;
}

bool blame_book::quarantine_allowed() const
{
    const auto shut_out = std::count_if(workers_.begin(), workers_.end(),
                                        [](const auto& entry) { return entry.second.until.has_value(); });
    return static_cast<double>(shut_out + 1) <= config::quarantine_share * static_cast<double>(worker_count_);
}

void blame_book::judge(instant now, const worker_id& worker)
{
    worker_record& w = workers_[worker];
    const bool probing = w.until && now >= *w.until;
    if (w.until && !probing) {
        return;
    }
    if (probing ? suspicion(now, worker, w) < unknown_weight
                : suspicion(now, worker, w) < quarantine_from || !quarantine_allowed()) {
        return;
    }
    w.term = std::clamp(w.term * 2, duration(config::quarantine_least), duration(config::quarantine_most));
    w.until = now + w.term;
    w.failures.clear();
}

worker_standing blame_book::standing(const worker_id& worker, instant now) const
{
    const auto it = workers_.find(worker);
    if (it == workers_.end()) {
        return worker_standing::good;
    }
    if (it->second.until) {
        return now < *it->second.until ? worker_standing::quarantined : worker_standing::probing;
    }
    const bool suspected = !it->second.failures.empty() && suspicion(now, worker, it->second) >= suspect_from;
    return suspected ? worker_standing::suspect : worker_standing::good;
}

void blame_book::probe_survived(instant started, const worker_id& worker)
{
    const auto it = workers_.find(worker);
    if (it != workers_.end() && it->second.until && started >= *it->second.until) {
        it->second.until.reset();
        it->second.failures.clear();
    }
}

// A worker that finished something lately and is under no suspicion: a failure there speaks against the job.
bool blame_book::finishes_others(const worker_id& worker, instant now) const
{
    const auto it = workers_.find(worker);
    return it != workers_.end() && it->second.succeeded && it->second.last_success + config::blame_window >= now &&
           standing(worker, now) == worker_standing::good;
}

std::optional<std::string> blame_book::job_reason(const job_id& job, instant now) const
{
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) {
        return std::nullopt;
    }
    std::vector<std::string> places;
    for (const tried& t : it->second.workers) {
        if (t.finishes > 0) {
            return std::nullopt;
        }
        if (t.failures > 0 && finishes_others(t.worker, now)) {
            places.push_back(t.worker.str());
        }
    }
    if (places.size() < park_workers) {
        return std::nullopt;
    }
    return fmt::format("failed on {}, where other jobs finish: {}", fmt::join(places, ", "), it->second.reason);
}

std::optional<std::string> blame_book::task_reason(const task_id& task, std::int32_t attempt_limit) const
{
    const auto job = jobs_.find(task.job);
    if (job == jobs_.end()) {
        return std::nullopt;
    }
    const auto it = job->second.tasks.find(task.index);
    if (it == job->second.tasks.end() || it->second.failures_on_good < attempt_limit) {
        return std::nullopt;
    }
    return fmt::format("task {} failed {} times on workers where other jobs finish: {}", task.index,
                       it->second.failures_on_good, job->second.reason);
}

instant blame_book::not_before(const task_id& task) const
{
    const auto job = jobs_.find(task.job);
    if (job == jobs_.end()) {
        return instant{};
    }
    const auto it = job->second.tasks.find(task.index);
    return it == job->second.tasks.end() ? instant{} : it->second.not_before;
}

void blame_book::sweep(instant now)
{
    absl::erase_if(jobs_, [&](const auto& entry) { return entry.second.touched + config::blame_window < now; });
    absl::erase_if(workers_, [&](const auto& entry) {
        const worker_record& w = entry.second;
        return !w.until && w.touched + config::blame_window < now;
    });
}

} // namespace skylarkhub::detail
