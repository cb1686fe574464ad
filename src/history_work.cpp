// Promises about batch work: the workers' true starts and ends against what the table says and callers were told.
#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <map>

#include "history_p.h"
#include "row_keys_p.h"

namespace skylarkhub::detail {

namespace {

using attempt_at = std::pair<worker_id, attempt_number>;

std::string name_attempt(const task_id& task, attempt_number attempt)
{
    return fmt::format("{} attempt {}", format_task(task), attempt.value());
}

// One attempt's life, in the order of starts.
struct attempt_life {
    worker_id worker;
    attempt_number attempt;
    wall_time began;
    double progress = 0;
    bool ended = false;
    wall_time end;
    task_state how = task_state::running;
    double checkpoint_progress = 0;
};
struct task_life {
    std::vector<attempt_life> attempts;
    std::vector<std::pair<wall_time, task_recorded>> records;
};

std::map<task_id, task_life> read_lives(const history& h)
{
    std::map<task_id, task_life> lives;
    each_event(
        h,
        [&](wall_time at, const task_began& e) {
            lives[e.task].attempts.push_back({e.worker, e.attempt, at, e.progress});
        },
        [&](wall_time at, const task_ended& e) {
            for (attempt_life& a : lives[e.task].attempts) {
                if (a.worker == e.worker && a.attempt == e.attempt && !a.ended) {
                    a.ended = true;
                    a.end = at;
                    a.how = e.how;
                    a.checkpoint_progress = e.checkpoint_progress;
                }
            }
        },
        [&](wall_time at, const task_recorded& e) { lives[e.task].records.emplace_back(at, e); });
    return lives;
}

// What the table said last of the task; empty while it is open.
std::optional<task_record> last_record(const task_life& life)
{
    if (life.records.empty() || life.records.back().second.record == task_record::resumed) {
        return std::nullopt;
    }
    return life.records.back().second.record;
}

struct accepted_jobs {
    std::map<job_id, std::pair<wall_time, job_accepted>> jobs;
    violations found;
};

accepted_jobs read_accepted(const history& h)
{
    accepted_jobs out;
    std::map<operation_id, job_id> by_operation;
    each_event(h, [&](wall_time at, const job_accepted& e) {
        out.jobs.try_emplace(e.job, at, e);
        const auto [known, added] = by_operation.try_emplace(e.operation, e.job);
        if (!added && known->second != e.job) {
            out.found.push_back({{},
                                 at,
                                 fmt::format("operation {} was accepted as {} and as {}", e.operation.str(),
                                             known->second.str(), e.job.str())});
        }
    });
    return out;
}

void check_records(const task_id& task, const task_life& life, violations& found)
{
    const task_recorded* finished = nullptr;
    for (const auto& [at, record] : life.records) {
        if (record.record != task_record::finished) {
            if (finished != nullptr) {
                found.push_back(
                    {{}, at, name_attempt(task, finished->attempt) + " had finished, and its record was taken back"});
            }
            continue;
        }
        if (finished != nullptr) {
            found.push_back({{},
                             at,
                             fmt::format("{} finished a second time, after attempt {}",
                                         name_attempt(task, record.attempt), finished->attempt.value())});
        }
        finished = &record;
        const bool ran =
            std::ranges::any_of(life.attempts, [number = record.attempt, when = at](const attempt_life& a) {
                return a.attempt == number && a.ended && a.how == task_state::finished && a.end <= when;
            });
        if (!ran) {
            found.push_back({{},
                             at,
                             name_attempt(task, record.attempt) + " is recorded as finished but no worker "
                                                                  "finished it"});
        }
    }
}

void check_nothing_after(const task_id& task, const task_life& life, violations& found)
{
    for (const attempt_life& a : life.attempts) {
        std::optional<task_record> closed;
        for (const auto& [at, record] : life.records) {
            if (at < a.began) {
                closed = record.record;
            }
        }
        if (closed == task_record::finished) {
            found.push_back({{}, a.began, name_attempt(task, a.attempt) + " began after the task was finished"});
        }
        if (closed == task_record::cancelled) {
            found.push_back({{}, a.began, name_attempt(task, a.attempt) + " began after the task was cancelled"});
        }
    }
}

} // namespace

violations check_capacity(const history& h, const history_limits&)
{
    violations found;
    absl::flat_hash_map<worker_id, resources> capacity;
    absl::flat_hash_map<worker_id, resources> committed;
    std::map<std::pair<worker_id, std::pair<task_id, attempt_number>>, resources> held;
    const auto hold = [&](wall_time at, const auto& e) {
        resources& sum = committed[e.worker];
        resources& own = held[{e.worker, {e.task, e.attempt}}];
        sum = sum - own + e.committed;
        own = e.committed;
        if (!fits(sum, capacity[e.worker])) {
            const resources& room = capacity[e.worker];
            found.push_back(
                {{},
                 at,
                 fmt::format("{} on {}: {} of {} processor millis, {} of {} MiB, {} of {} accelerators committed",
                             name_attempt(e.task, e.attempt), e.worker.str(), sum.cpu_millis, room.cpu_millis,
                             sum.memory_mib, room.memory_mib, sum.accelerators, room.accelerators)});
        }
    };
    each_event(
        h, [&](wall_time, const worker_capacity_told& e) { capacity[e.worker] = e.capacity; },
        [&](wall_time at, const task_began& e) { hold(at, e); },
        [&](wall_time at, const task_resized& e) { hold(at, e); },
        [&](wall_time, const task_ended& e) {
            const auto entry = held.find({e.worker, {e.task, e.attempt}});
            if (entry != held.end()) {
                committed[e.worker] = committed[e.worker] - entry->second;
                held.erase(entry);
            }
        });
    return found;
}

violations check_exclusive(const history& h, const history_limits&)
{
    violations found;
    std::map<task_id, std::vector<attempt_at>> running;
    absl::flat_hash_map<std::string, call_made> calls;
    std::map<std::string, std::vector<std::pair<std::string, target_id>>> runs; // by key
    const auto key_of = [&](const std::string& request) {
        const call_made& call = calls[request];
        return call.key.empty() ? request : call.key;
    };
    each_event(
        h,
        [&](wall_time at, const task_began& e) {
            std::vector<attempt_at>& places = running[e.task];
            if (e.exclusive && !places.empty()) {
                found.push_back(
                    {{},
                     at,
                     fmt::format("{} began on {} while attempt {} runs on {}", name_attempt(e.task, e.attempt),
                                 e.worker.str(), places.front().second.value(), places.front().first.str())});
            }
            places.emplace_back(e.worker, e.attempt);
        },
        [&](wall_time, const task_ended& e) { std::erase(running[e.task], attempt_at(e.worker, e.attempt)); },
        [&](wall_time, const call_made& e) { calls[e.request] = e; },
        [&](wall_time at, const run_began& e) {
            auto& places = runs[key_of(e.request)];
            if (calls[e.request].exclusive && !places.empty()) {
                found.push_back({{},
                                 at,
                                 fmt::format("request {} began on {} while {} runs on {}", e.request, e.target.str(),
                                             places.front().first, places.front().second.str())});
            }
            places.emplace_back(e.request, e.target);
        },
        [&](wall_time, const run_ended& e) { std::erase(runs[key_of(e.request)], std::pair(e.request, e.target)); });
    return found;
}

violations check_resume_once(const history& h, const history_limits& limits)
{
    violations found;
    for (const auto& [task, life] : read_lives(h)) {
        const std::vector<attempt_life>& attempts = life.attempts;
        for (std::size_t i = 1; i < attempts.size(); ++i) {
            const attempt_life& before = attempts[i - 1];
            const attempt_life& next = attempts[i];
            if (next.attempt <= before.attempt) {
                found.push_back({{},
                                 next.began,
                                 fmt::format("{} began on {} after attempt {} did", name_attempt(task, next.attempt),
                                             next.worker.str(), before.attempt.value())});
            }
            const bool evicted = before.ended && before.how == task_state::stopped && before.end <= next.began;
            if (evicted && next.progress < before.checkpoint_progress) {
                found.push_back(
                    {{},
                     next.began,
                     fmt::format("{} took up at {:.2f} what was evicted at {:.2f}", name_attempt(task, next.attempt),
                                 next.progress, before.checkpoint_progress)});
            }
        }
        const bool left = !attempts.empty() && attempts.back().ended &&
                          (attempts.back().how == task_state::stopped || attempts.back().how == task_state::lapsed);
        if (limits.complete && left && !last_record(life)) {
            found.push_back({{},
                             attempts.back().end,
                             name_attempt(task, attempts.back().attempt) + " was evicted and never resumed"});
        }
    }
    return found;
}

violations check_finish_once(const history& h, const history_limits& limits)
{
    accepted_jobs accepted = read_accepted(h);
    violations found = std::move(accepted.found);
    const std::map<task_id, task_life> lives = read_lives(h);
    for (const auto& [task, life] : lives) {
        check_records(task, life, found);
        check_nothing_after(task, life, found);
    }
    for (const auto& [job, told] : accepted.jobs) {
        const auto& [at, e] = told;
        for (std::int32_t i = 0; limits.complete && !e.is_service && i < e.task_count; ++i) {
            const auto life = lives.find({job, i});
            if (life == lives.end() || !last_record(life->second)) {
                found.push_back({{}, at, format_task({job, i}) + " was accepted and never finished"});
            }
        }
    }
    return found;
}

} // namespace skylarkhub::detail
