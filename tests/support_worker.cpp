#include "support_worker.h"

#include <fmt/format.h>

#include "row_keys_p.h"

namespace skylarkhub::test {

fake_worker::fake_worker(worker_id id, fake_worker_options options, history* record)
    : id_(std::move(id)), options_(options), record_(record), clock_then_(options.clock_offset)
{
    record_->add({}, worker_capacity_told{id_, options_.capacity});
}

std::string fake_worker::boot() const
{
    return fmt::format("{}-{}", id_.str(), boots_);
}

worker_time fake_worker::clock(wall_time at) const
{
    const double passed = static_cast<double>((at - clock_set_).count()) * options_.clock_rate;
    return clock_then_ + duration(static_cast<std::int64_t>(passed));
}

// The first moment at which the worker's clock reads `at`, to the microsecond and never too early.
wall_time fake_worker::true_time(worker_time at) const
{
    const double passed = static_cast<double>((at - clock_then_).count()) / options_.clock_rate;
    return clock_set_ + duration(static_cast<std::int64_t>(passed) + 1);
}

void fake_worker::set_clock(wall_time at, double rate)
{
    advance(at);
    clock_then_ = clock(at);
    clock_set_ = at;
    options_.clock_rate = rate;
}

double fake_worker::progress(const running_task& task, wall_time at) const
{
    if (task.spec.run_time <= duration::zero()) {
        return 0;
    }
    const auto run = std::chrono::duration<double>(at - task.began);
    const double share = run / std::chrono::duration<double>(task.spec.run_time);
    return std::min(1.0, task.from + share);
}

void fake_worker::end(running_task& task, wall_time at, task_state how)
{
    task.report.progress = progress(task, at);
    task.report.state = how;
    task.report.reason = how == task_state::failed ? "it failed" : "";
    const double saved = std::max(task.from, task.report.checkpoint_progress);
    record_->add(at, task_ended{id_, task.report.task, task.report.attempt, how, saved});
}

void fake_worker::save(running_task& task, wall_time at)
{
    task_report& report = task.report;
    report.checkpoint = fmt::format("checkpoint/{}/{}", format_task(report.task), report.attempt.value());
    report.checkpoint_progress = progress(task, at);
}

void fake_worker::advance(wall_time at)
{
    for (auto& [key, task] : tasks_) {
        if (task.report.state != task_state::running) {
            continue;
        }
        const bool leased = !task.persistent && options_.ends_lapsed;
        const wall_time lapses = leased ? true_time(task.report.lease_until) : wall_time::max();
        if (task.ends <= at && task.ends <= lapses) {
            end(task, task.ends, task.spec.payload == failing_payload ? task_state::failed : task_state::finished);
        }
        else if (lapses <= at) {
            end(task, lapses, task_state::lapsed);
        }
    }
}

void fake_worker::restart(wall_time at)
{
    advance(at);
    for (auto& [key, task] : tasks_) {
        if (task.report.state == task_state::running) {
            end(task, at, task_state::lapsed);
        }
    }
    tasks_.clear();
    clock_then_ = {}; // a monotonic clock begins anew
    clock_set_ = at;
    epoch_ = {};
    sequence_ = {};
    ++boots_;
}

resources fake_worker::committed() const
{
    resources sum;
    for (const auto& [key, task] : tasks_) {
        if (task.report.state == task_state::running) {
            sum = sum + task.report.committed;
        }
    }
    return sum;
}

void fake_worker::start(wall_time at, const task_start& command, worker_report& report)
{
    if (command.lease_until <= clock(at) && !command.persistent && options_.ends_lapsed) {
        report.refused.emplace_back(command.task, "its lease is over");
        return;
    }
    const auto there = std::ranges::any_of(tasks_, [&](const auto& t) {
        return t.first.first == command.task && t.second.report.state == task_state::running;
    });
    if (there || tasks_.contains({command.task, command.attempt})) {
        report.refused.emplace_back(command.task, "already there");
        return;
    }
    const resources held = command.committed == resources{} ? command.spec.declared : command.committed;
    if (!fits(committed() + held, options_.capacity)) {
        ++overcommits_refused_;
        if (options_.refuses_overcommit) {
            report.refused.emplace_back(command.task, "no room");
            return;
        }
    }
    running_task task;
    task.report.task = command.task;
    task.report.attempt = command.attempt;
    task.report.lease_until = command.lease_until;
    task.report.started = clock(at);
    task.report.committed = held;
    task.spec = command.spec;
    task.persistent = command.persistent;
    task.began = at;
    // The object that a checkpoint's key names holds how far the work was; here the key finds it in the history.
    detail::each_event(*record_, [&](wall_time, const task_ended& e) {
        const std::string key = fmt::format("checkpoint/{}/{}", format_task(e.task), e.attempt.value());
        task.from = key == command.resume_from ? e.checkpoint_progress : task.from;
    });
    if (task.spec.run_time > duration::zero() && !task.persistent) {
        const double left = 1 - task.from;
        task.ends = at + std::chrono::duration_cast<duration>(task.spec.run_time * left);
    }
    record_->add(at, task_began{id_, command.task, command.attempt, held, !command.persistent, task.from});
    tasks_.emplace(task_key(command.task, command.attempt), std::move(task));
}

void fake_worker::resize(wall_time at, running_task& task, const resources& wanted)
{
    const resources others = committed() - task.report.committed;
    if (wanted == resources{} || wanted == task.report.committed || !fits(others + wanted, options_.capacity)) {
        return;
    }
    task.report.committed = wanted;
    record_->add(at, task_resized{id_, task.report.task, task.report.attempt, wanted});
}

void fake_worker::obey(wall_time at, const worker_command& command, worker_report& report)
{
    const auto find = [&](const task_id& id, attempt_number attempt) {
        const auto found = tasks_.find({id, attempt});
        return found == tasks_.end() ? nullptr : &found->second;
    };
    const auto find_running = [&](const task_id& id, attempt_number attempt) {
        running_task* const task = find(id, attempt);
        return task != nullptr && task->report.state == task_state::running ? task : nullptr;
    };
    std::visit(detail::overloaded{
                   [&](const task_start& c) { start(at, c, report); },
                   [&](const task_renew& c) {
                       if (running_task* const task = find_running(c.task, c.attempt)) {
                           task->report.lease_until = std::max(task->report.lease_until, c.lease_until);
                           resize(at, *task, c.committed);
                       }
                   },
                   [&](const task_checkpoint& c) {
                       if (running_task* const task = find_running(c.task, c.attempt)) {
                           save(*task, at);
                       }
                   },
                   [&](const task_throttle& c) {
                       if (running_task* const task = find_running(c.task, c.attempt)) {
                           task->report.throttle = c.percent;
                       }
                   },
                   [&](const task_stop& c) {
                       if (running_task* const task = find_running(c.task, c.attempt)) {
                           end(*task, at, task_state::stopped);
                       }
                   },
                   [&](const task_forget& c) {
                       const running_task* const task = find(c.task, c.attempt);
                       if (task != nullptr && task->report.state != task_state::running) {
                           tasks_.erase({c.task, c.attempt});
                       }
                   },
               },
               command);
}

worker_report fake_worker::handle(wall_time at, const worker_request& request)
{
    advance(at);
    worker_report report;
    const bool fresh = request.epoch > epoch_ || (request.epoch == epoch_ && request.sequence > sequence_);
    const bool same_life = request.boot.empty() || request.boot == boot();
    report.accepted = (fresh && same_life) || !options_.fences;
    if (report.accepted) {
        epoch_ = request.epoch;
        sequence_ = request.sequence;
        for (const worker_command& command : request.commands) {
            obey(at, command, report);
        }
    }
    advance(at);
    report.epoch = epoch_;
    report.boot = boot();
    report.now = clock(at);
    report.capacity = options_.capacity;
    report.leaving = leaving_;
    report.usage_taken = report.now;
    for (auto& [key, task] : tasks_) {
        if (task.report.state == task_state::running) {
            task.report.progress = progress(task, at);
        }
        task.report.used = task.spec.declared;
        report.tasks.push_back(task.report);
    }
    return report;
}

} // namespace skylarkhub::test
