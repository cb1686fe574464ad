#include "worker_state_p.h"

#include <fmt/format.h>

#include <algorithm>

#include "row_keys_p.h"

namespace skylarkhub::standin {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_busy = 100ms; // while any task runs
constexpr duration tick_idle = 1s;
constexpr duration sample_interval = 200ms;
constexpr duration doomed_run_time = 100ms;
constexpr duration read_again_after = 500ms;
constexpr std::size_t history_most = 50000;

history_kind kind_of(task_state state)
{
    switch (state) {
    case task_state::finished:
        return history_kind::finish;
    case task_state::failed:
        return history_kind::fail;
    case task_state::lapsed:
        return history_kind::lapse;
    default:
        return history_kind::stop;
    }
}

} // namespace

worker_state::worker_state(worker_settings settings) : settings_(std::move(settings)), random_(settings_.seed) {}

worker_report worker_state::control(worker_now now, const worker_request& request)
{
    advance(now);
    worker_report report;
    report.accepted = admit(request);
    if (report.accepted) {
        for (const worker_command& command : request.commands) {
            apply(now, command, report);
        }
    }
    fill(now, report);
    note_told();
    return report;
}

// A boot that is not ours belongs to leases in the clock of another life, which could end at any time of this one. The
// sequence guards against the same owner's own delayed or doubled message, as when a stop overtook an older start.
bool worker_state::admit(const worker_request& request)
{
    const bool other_life = !request.boot.empty() && request.boot != settings_.boot;
    const bool stale = request.epoch == epoch_ && request.sequence <= sequence_;
    if (other_life || stale || request.epoch < epoch_) {
        return false;
    }
    epoch_ = request.epoch;
    sequence_ = request.sequence;
    return true;
}

void worker_state::apply(worker_now now, const worker_command& command, worker_report& report)
{
    if (const auto* c = std::get_if<task_start>(&command)) {
        start(now, *c, report);
        return;
    }
    std::visit(
        [&](const auto& c) {
            running_task* const task = find(c.task, c.attempt);
            if (task == nullptr) {
                return;
            }
            const bool running = is_running(task->report);
            using command_type = std::decay_t<decltype(c)>;
            if constexpr (std::is_same_v<command_type, task_forget>) {
                if (!running) {
                    tasks_.erase(c.task);
                }
            }
            else if (!running) {
                return;
            }
            else if constexpr (std::is_same_v<command_type, task_renew>) {
                task->report.lease_until = c.lease_until;
                resize(*task, c.committed);
            }
            else if constexpr (std::is_same_v<command_type, task_checkpoint>) {
                checkpoint(*task);
            }
            else if constexpr (std::is_same_v<command_type, task_throttle>) {
                task->report.throttle = std::clamp(c.percent, 0, 100);
            }
            else if constexpr (std::is_same_v<command_type, task_stop>) {
                stop(now, *task);
            }
        },
        command);
}

std::string worker_state::why_not(worker_now now, const task_start& command) const
{
    if (leaving_) {
        return "instance is leaving";
    }
    if (tasks_.contains(command.task)) {
        return "task is in the inventory";
    }
    if (command.lease_until <= now.clock) {
        return "lease is over";
    }
    if (!fits(committed_of(command), settings_.capacity - committed())) {
        return "instance is full";
    }
    return {};
}

void worker_state::start(worker_now now, const task_start& command, worker_report& report)
{
    std::string why = why_not(now, command);
    if (!why.empty()) {
        report.refused.emplace_back(command.task, std::move(why));
        return;
    }
    running_task task;
    task.report.task = command.task;
    task.report.attempt = command.attempt;
    task.report.lease_until = command.lease_until;
    task.report.started = now.clock;
    task.report.committed = committed_of(command);
    task.spec = command.spec;
    task.load = read_load(command.task, command.spec, settings_.size_error, settings_.seed);
    task.persistent = command.persistent;
    task.doomed = faults_.fail_all;
    task.resume_from = command.resume_from;
    if (!task.resume_from.empty()) {
        actions_.emplace_back(get_checkpoint{command.task, command.attempt, command.resume_from});
    }
    if (command.spec.is_service) {
        actions_.emplace_back(open_target{command.task, command.attempt, command.spec, task.load.service_ms});
    }
    record(now.wall, history_kind::start, task);
    tasks_.emplace(command.task, std::move(task));
}

// One at a time: two writes of the same object could take effect in the wrong order.
void worker_state::checkpoint(running_task& task)
{
    if (task.storing || !task.resume_from.empty() || task.spec.is_service) {
        return;
    }
    task.storing = true;
    const std::string key = fmt::format("checkpoint/{}/{}", format_task(task.report.task), task.report.attempt.value());
    actions_.emplace_back(put_checkpoint{task.report.task, task.report.attempt, key, task.report.progress});
}

// A service task counts as running until its last request has ended: until then it may not be started elsewhere.
void worker_state::stop(worker_now now, running_task& task)
{
    if (!task.spec.is_service) {
        end(now, task, task_state::stopped, "stopped by its owner");
        return;
    }
    if (!task.closing) {
        task.closing = true;
        actions_.emplace_back(close_target{task.report.task, task.report.attempt, false});
    }
}

void worker_state::end(worker_now now, running_task& task, task_state state, std::string reason)
{
    if (task.spec.is_service && state != task_state::stopped) {
        actions_.emplace_back(close_target{task.report.task, task.report.attempt, true});
    }
    task.report.state = state;
    task.report.reason = std::move(reason);
    task.report.address = {};
    task.closing = false;
    record(now.wall, kind_of(state), task);
}

void worker_state::advance(worker_now now)
{
    // A thread that read its clock and then waited for the lock comes with a time that another one has passed.
    if (now.clock < advanced_) {
        return;
    }
    // Leases first: a process that was frozen past the end of a lease must find the task stopped, not finished.
    lapse(now);
    const duration step = now.clock - advanced_;
    advanced_ = now.clock;
    progress(now, step);
    kill_largest(now);
    read_checkpoints_again(now.clock);
    if (samples_.empty() || now.clock - samples_.back().taken >= sample_interval) {
        sample(now.clock);
    }
}

void worker_state::lapse(worker_now now)
{
    for (auto& [id, task] : tasks_) {
        if (!is_running(task.report) || task.persistent || task.report.lease_until > now.clock) {
            continue;
        }
        const duration late = now.clock - task.report.lease_until;
        end({task.report.lease_until, now.wall - late}, task, task_state::lapsed, "lease is over");
    }
}

void worker_state::progress(worker_now now, duration step)
{
    const double share = processor_share();
    for (auto& [id, task] : tasks_) {
        if (!is_running(task.report)) {
            continue;
        }
        if (task.doomed && now.clock - task.report.started >= doomed_run_time) {
            end(now, task, task_state::failed, "instance is faulty");
            continue;
        }
        if (task.spec.is_service || !task.resume_from.empty()) {
            continue;
        }
        const duration ran = std::min(step, now.clock - task.report.started);
        const double speed = share * settings_.time_scale * task.report.throttle / 100.0;
        const double run_time = std::max<double>(1, static_cast<double>(task.load.run_time.count()));
        const double reached = task.report.progress + static_cast<double>(ran.count()) * speed / run_time;
        task.report.progress = std::min({1.0, reached, task.load.fail_at});
        if (reached >= task.load.fail_at) {
            end(now, task, task_state::failed, "task failed by itself");
        }
        else if (reached >= 1) {
            end(now, task, task_state::finished, "");
        }
    }
}

void worker_state::fill(worker_now now, worker_report& report) const
{
    report.epoch = epoch_;
    report.boot = settings_.boot;
    report.now = now.clock;
    report.capacity = settings_.capacity;
    report.leaving = leaving_;
    const usage_sample* const seen = visible_sample(now.clock);
    if (seen != nullptr) {
        report.usage_taken = seen->taken;
    }
    for (const auto& [id, task] : tasks_) {
        task_report& out = report.tasks.emplace_back(task.report);
        out.progress = round_share(out.progress);
        if (seen == nullptr) {
            continue;
        }
        const auto used = seen->used.find({id, task.report.attempt});
        if (used != seen->used.end()) {
            out.used = used->second;
        }
    }
    if (seen == nullptr) {
        return;
    }
    for (const interference_report& i : seen->interference) {
        if (tasks_.contains(i.service_task)) {
            report.interference.push_back(i);
        }
    }
}

void worker_state::target_opened(const task_id& task, attempt_number attempt, const net_address& address)
{
    running_task* const found = find(task, attempt);
    if (found != nullptr && is_running(found->report)) {
        found->report.address = address;
    }
}

void worker_state::target_refused(worker_now now, const task_id& task, attempt_number attempt,
                                  const std::string& reason)
{
    running_task* const found = find(task, attempt);
    if (found != nullptr && is_running(found->report)) {
        end(now, *found, task_state::failed, reason);
    }
}

void worker_state::target_closed(worker_now now, const task_id& task, attempt_number attempt)
{
    running_task* const found = find(task, attempt);
    if (found != nullptr && is_running(found->report)) {
        end(now, *found, task_state::stopped, leaving_ ? "instance is leaving" : "stopped by its owner");
    }
}

void worker_state::checkpoint_stored(const task_id& task, attempt_number attempt, double progress)
{
    running_task* const found = find(task, attempt);
    if (found == nullptr) {
        return;
    }
    found->storing = false;
    found->report.checkpoint = fmt::format("checkpoint/{}/{}", format_task(task), attempt.value());
    found->report.checkpoint_progress = round_share(progress);
}

void worker_state::checkpoint_not_stored(const task_id& task, attempt_number attempt)
{
    running_task* const found = find(task, attempt);
    if (found != nullptr) {
        found->storing = false;
    }
}

void worker_state::checkpoint_loaded(worker_now now, const task_id& task, attempt_number attempt, double progress)
{
    advance(now);
    running_task* const found = find(task, attempt);
    if (found != nullptr && !found->resume_from.empty()) {
        found->resume_from.clear();
        found->report.progress = std::clamp(progress, 0.0, 1.0);
    }
}

void worker_state::checkpoint_missing(worker_now now, const task_id& task, attempt_number attempt)
{
    running_task* const found = find(task, attempt);
    if (found != nullptr && is_running(found->report)) {
        end(now, *found, task_state::failed, "checkpoint is missing");
    }
}

void worker_state::checkpoint_unreadable(worker_now now, const task_id& task, attempt_number attempt)
{
    running_task* const found = find(task, attempt);
    if (found != nullptr) {
        found->read_again = now.clock + read_again_after;
    }
}

void worker_state::read_checkpoints_again(worker_time now)
{
    for (auto& [id, task] : tasks_) {
        if (is_running(task.report) && task.read_again && *task.read_again <= now) {
            task.read_again.reset();
            actions_.emplace_back(get_checkpoint{id, task.report.attempt, task.resume_from});
        }
    }
}

void worker_state::set_load(const task_id& task, attempt_number attempt, double load)
{
    running_task* const found = find(task, attempt);
    if (found != nullptr) {
        found->target_share = load;
    }
}

void worker_state::set_faults(const worker_faults& faults)
{
    faults_ = faults;
}

void worker_state::leave()
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    for (auto& [id, task] : tasks_) {
        if (is_running(task.report) && task.spec.is_service && !task.closing) {
            task.closing = true;
            actions_.emplace_back(close_target{id, task.report.attempt, false});
        }
    }
}

std::vector<worker_action> worker_state::take_actions()
{
    return std::exchange(actions_, {});
}

bool worker_state::idle() const
{
    return std::none_of(tasks_.begin(), tasks_.end(), [](const auto& t) { return is_running(t.second.report); });
}

worker_time worker_state::next_wake(worker_time now) const
{
    worker_time wake = now + (idle() ? tick_idle : tick_busy);
    for (const auto& [id, task] : tasks_) {
        if (is_running(task.report) && !task.persistent) {
            wake = std::min(wake, task.report.lease_until);
        }
    }
    return wake;
}

worker_state::running_task* worker_state::find(const task_id& task, attempt_number attempt)
{
    const auto found = tasks_.find(task);
    return found != tasks_.end() && found->second.report.attempt == attempt ? &found->second : nullptr;
}

resources worker_state::committed_of(const task_start& command)
{
    return command.committed == resources{} ? command.spec.declared : command.committed;
}

void worker_state::resize(running_task& task, const resources& wanted)
{
    const resources room = settings_.capacity - committed() + task.report.committed;
    if (wanted != resources{} && fits(wanted, room)) {
        task.report.committed = wanted;
    }
}

resources worker_state::committed() const
{
    resources sum;
    for (const auto& [id, task] : tasks_) {
        if (is_running(task.report)) {
            sum = sum + task.report.committed;
        }
    }
    return sum;
}

// All that has ended and was not forgotten since is in each report.
void worker_state::note_told()
{
    for (auto event = history_.rbegin();
         event != history_.rend() && !(event->told && event->kind != history_kind::start); ++event) {
        event->told = event->kind != history_kind::start;
    }
}

void worker_state::record(wall_time at, history_kind kind, const running_task& task)
{
    history_.push_back({at, kind, task.report.task, task.report.attempt});
    if (history_.size() > history_most) {
        history_.pop_front();
        ++history_dropped_;
    }
}

} // namespace skylarkhub::standin
