#include "place_blame_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace skylarkhub::detail {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t worker_failures_kept = 16;
constexpr std::size_t job_failures_kept = 64;
constexpr std::size_t finished_on_kept = 8;
constexpr double innocent_weight = 1.0; // a failure of a job that finishes elsewhere
constexpr double unknown_weight = 0.7;  // of a job of which nothing else is known
constexpr double suspect_from = 0.7;
constexpr double quarantine_from = 2.0;
constexpr std::size_t park_workers = 3; // workers at which a job that never finished has failed without their fault
constexpr duration survivor_least = 10s;
constexpr int survivor_factor = 2; // times the age at which the failed attempt ended
constexpr duration backoff_first = 1s;
constexpr duration backoff_most = 1min;
constexpr int backoff_doublings = 6;
constexpr duration start_memory = 1h;

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
    started_.erase(task);
}

void blame_book::learn_success(instant now, const task_id& task, const worker_id& worker)
{
    job_record& job = jobs_[task.job];
    job.touched = now;
    job.retries.erase(task.index);
    if (job.finished_on.size() < finished_on_kept &&
        std::find(job.finished_on.begin(), job.finished_on.end(), worker) == job.finished_on.end()) {
        job.finished_on.push_back(worker);
    }
    const auto start = started_.find(task);
    if (start != started_.end()) {
        answer(now, worker, start->second, true);
    }
    std::vector<worker_id> accused;
    for (const job_failure& f : jobs_[task.job].failures) {
        if (!f.answered && std::find(accused.begin(), accused.end(), f.worker) == accused.end()) {
            accused.push_back(f.worker);
        }
    }
    for (const worker_id& other : accused) {
        judge(now, other);
    }
}

void blame_book::learn_failure(instant now, const task_id& task, const worker_id& worker, const std::string& reason)
{
    // Of an attempt whose start nobody saw only what is started from now on can tell anything.
    const auto seen = started_.find(task);
    const instant start = seen != started_.end() ? seen->second : now;
    worker_record& w = workers_[worker];
    w.touched = now;
    w.open.push_back({task.job, start, now});
    if (w.open.size() > worker_failures_kept) {
        w.open.pop_front();
    }

    job_record& job = jobs_[task.job];
    job.touched = now;
    job.reason = reason;
    job.failures.push_back({task.index, worker, start, false});
    if (job.failures.size() > job_failures_kept) {
        job.failures.pop_front();
    }
    retry& r = job.retries[task.index];
    r.failures += 1;
    if (r.failures > 1) {
        const int doublings = std::min(r.failures - 2, backoff_doublings);
        r.not_before = now + std::min(backoff_most, backoff_first * (1 << doublings));
    }
    judge(now, worker);
}

// Answers the failures on the worker whose attempts were started before `start`, when the later attempt finished or has
// outlived them by far. A probe that does so ends the quarantine.
void blame_book::answer(instant now, const worker_id& worker, instant start, bool finished)
{
    const auto it = workers_.find(worker);
    if (it == workers_.end()) {
        return;
    }
    worker_record& w = it->second;
    if (w.until && start >= *w.until && (finished || start + config::probe_good_after <= now)) {
        w.until.reset();
        w.term = duration{0};
    }
    std::erase_if(w.open, [&](const worker_failure& f) {
        const duration needed = std::max(survivor_least, survivor_factor * (f.when - f.start));
        if (f.start >= start || (!finished && now - start < needed)) {
            return false;
        }
        const auto job = jobs_.find(f.job);
        if (job != jobs_.end()) {
            for (job_failure& j : job->second.failures) {
                j.answered = j.answered || (j.worker == worker && j.start <= f.start);
            }
        }
        return true;
    });
}

void blame_book::survived(instant now, const worker_id& worker, instant start)
{
    answer(now, worker, start, false);
}

bool blame_book::questioned(const worker_id& worker) const
{
    const auto it = workers_.find(worker);
    return it != workers_.end() && (!it->second.open.empty() || it->second.until.has_value());
}

// Sum over the distinct jobs whose failures there are open of how surely the job is not the cause.
double blame_book::suspicion(instant now, const worker_id& id, const worker_record& record) const
{
    double sum = 0;
    std::vector<const job_id*> counted;
    for (const worker_failure& f : record.open) {
        const bool seen = std::any_of(counted.begin(), counted.end(), [&](const job_id* j) { return *j == f.job; });
        const auto job = jobs_.find(f.job);
        if (seen || f.when + config::blame_window < now || job == jobs_.end()) {
            continue;
        }
        counted.push_back(&f.job);
        const auto& finished = job->second.finished_on;
        const auto& failures = job->second.failures;
        if (std::any_of(finished.begin(), finished.end(), [&](const worker_id& w) { return w != id; })) {
            sum += innocent_weight;
        }
        else if (std::none_of(failures.begin(), failures.end(), [](const job_failure& j) { return j.answered; })) {
            sum += unknown_weight;
        }
    }
    return sum;
}

// Not when half of the workers are out already, or look alike: what fails everywhere has a cause that all share.
bool blame_book::quarantine_allowed(const worker_id& worker) const
{
    std::size_t out = 0;
    std::size_t failing = 0;
    for (const auto& [id, w] : workers_) {
        out += w.until ? 1 : 0;
        failing += id != worker && (w.until || w.open.size() > 1) ? 1 : 0;
    }
    const double most = config::quarantine_share * static_cast<double>(worker_count_);
    return static_cast<double>(out + 1) <= most && static_cast<double>(failing) < most;
}

void blame_book::judge(instant now, const worker_id& worker)
{
    const auto it = workers_.find(worker);
    if (it == workers_.end()) {
        return;
    }
    worker_record& w = it->second;
    const double sum = suspicion(now, worker, w);
    if (w.until) {
        // What was still running when the worker was shut out may go on failing; only a probe decides.
        if (now >= *w.until && sum >= unknown_weight && w.open.back().start >= *w.until) {
            shut_out(now, worker, w);
        }
        return;
    }
    if (sum >= quarantine_from && quarantine_allowed(worker)) {
        shut_out(now, worker, w);
    }
}

// What failed there is held against no job any more.
void blame_book::shut_out(instant now, const worker_id& worker, worker_record& record)
{
    record.term = std::clamp(record.term * 2, duration(config::quarantine_least), duration(config::quarantine_most));
    record.until = now + record.term;
    for (const worker_failure& f : record.open) {
        const auto job = jobs_.find(f.job);
        if (job == jobs_.end()) {
            continue;
        }
        std::erase_if(job->second.failures, [&](const job_failure& j) { return j.worker == worker; });
        job->second.retries.clear();
    }
    record.open.clear();
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
    const bool suspected = !it->second.open.empty() && suspicion(now, worker, it->second) >= suspect_from;
    return suspected ? worker_standing::suspect : worker_standing::good;
}

std::optional<std::string> blame_book::job_reason(const job_id& job) const
{
    const auto it = jobs_.find(job);
    if (it == jobs_.end() || !it->second.finished_on.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> places;
    for (const job_failure& f : it->second.failures) {
        if (f.answered && std::find(places.begin(), places.end(), f.worker.str()) == places.end()) {
            places.push_back(f.worker.str());
        }
    }
    if (places.size() < park_workers) {
        return std::nullopt;
    }
    return fmt::format("failed on {}, where other work does well: {}", fmt::join(places, ", "), it->second.reason);
}

std::optional<std::string> blame_book::task_reason(const task_id& task, std::int32_t attempt_limit) const
{
    const auto job = jobs_.find(task.job);
    if (job == jobs_.end()) {
        return std::nullopt;
    }
    const auto& failures = job->second.failures;
    const auto count = std::count_if(failures.begin(), failures.end(),
                                     [&](const job_failure& f) { return f.index == task.index && f.answered; });
    if (count < attempt_limit) {
        return std::nullopt;
    }
    return fmt::format("task {} failed {} times on workers where other work does well: {}", task.index, count,
                       job->second.reason);
}

instant blame_book::not_before(const task_id& task) const
{
    const auto job = jobs_.find(task.job);
    if (job == jobs_.end()) {
        return instant{};
    }
    const auto it = job->second.retries.find(task.index);
    return it == job->second.retries.end() ? instant{} : it->second.not_before;
}

void blame_book::sweep(instant now)
{
    absl::erase_if(started_, [&](const auto& entry) { return entry.second + start_memory < now; });
    absl::erase_if(jobs_, [&](const auto& entry) { return entry.second.touched + config::blame_window < now; });
    absl::erase_if(workers_, [&](const auto& entry) {
        const worker_record& w = entry.second;
        return !w.until && w.touched + config::blame_window < now;
    });
}

} // namespace skylarkhub::detail
