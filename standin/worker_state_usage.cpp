#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>

#include "worker_state_p.h"

namespace skylarkhub::standin {

namespace {

constexpr double measuring_error = 0.03; // standard deviation of a measured slowdown

} // namespace

// The operating system's answer to tasks that need more memory than was declared: the batch task furthest above its
// declared size goes.
void worker_state::kill_largest(worker_now now)
{
    while (true) {
        std::int64_t used = 0;
        running_task* worst = nullptr;
        const auto excess = [](const running_task& t) { return t.load.used.memory_mib - t.spec.declared.memory_mib; };
        for (auto& [id, task] : tasks_) {
            if (!is_running(task.report)) {
                continue;
            }
            used += task.load.used.memory_mib;
            if (!task.spec.is_service && (worst == nullptr || excess(task) > excess(*worst))) {
                worst = &task;
            }
        }
        if (used <= settings_.capacity.memory_mib || worst == nullptr) {
            return;
        }
        end(now, *worst, task_state::failed, "out of memory");
    }
}

void worker_state::sample(worker_time now)
{
    usage_sample taken{.taken = now};
    const double share = processor_share();
    for (const auto& [id, task] : tasks_) {
        if (!is_running(task.report)) {
            continue;
        }
        taken.used.emplace(std::pair(id, task.report.attempt), used_by(task, share));
        if (task.spec.is_service) {
            const double error = absl::Gaussian<double>(random_, 1, measuring_error);
            const double measured = slowdown_of_task(task, share) * std::max(0.5, error);
            taken.interference.push_back({id, round_share(std::max(1.0, measured))});
        }
    }
    samples_.push_back(std::move(taken));
    while (samples_.size() > 1 && samples_[1].taken <= now - settings_.usage_lag) {
        samples_.pop_front();
    }
}

const worker_state::usage_sample* worker_state::visible_sample(worker_time now) const
{
    const usage_sample* newest = nullptr;
    for (const usage_sample& s : samples_) {
        if (s.taken <= now - settings_.usage_lag) {
            newest = &s;
        }
    }
    return newest;
}

double worker_state::slowdown(const task_id& task) const
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end()) {
        return 1;
    }
    const double throttled = 100.0 / std::max(1, found->second.report.throttle);
    const double share = processor_share();
    return slowdown_of_task(found->second, share) * throttled / std::max(0.01, share);
}

double worker_state::wanted_share(const running_task& task)
{
    return (task.spec.is_service ? task.target_share : 1.0) * task.report.throttle / 100.0;
}

resources worker_state::used_by(const running_task& task, double share)
{
    const double factor = share * wanted_share(task);
    resources used = task.load.used;
    used.cpu_millis = std::llround(static_cast<double>(used.cpu_millis) * factor);
    return used;
}

double worker_state::processor_share() const
{
    double wanted = 0;
    for (const auto& [id, task] : tasks_) {
        if (is_running(task.report)) {
            wanted += static_cast<double>(task.load.used.cpu_millis) * wanted_share(task);
        }
    }
    const auto there = static_cast<double>(settings_.capacity.cpu_millis);
    return wanted <= there ? 1 : there / wanted;
}

double worker_state::slowdown_of_task(const running_task& task, double share) const
{
    std::vector<neighbour> others;
    for (const auto& [id, other] : tasks_) {
        if (is_running(other.report) && &other != &task) {
            const auto used = static_cast<double>(used_by(other, share).cpu_millis);
            const double part = used / std::max(1.0, static_cast<double>(settings_.capacity.cpu_millis));
            others.push_back({other.spec.kind, part, other.load.pressure});
        }
    }
    const service_id service(task.spec.team.str() + "/" + task.spec.name);
    return slowdown_of(service, task.target_share, others, faults_.noise);
}

} // namespace skylarkhub::standin
