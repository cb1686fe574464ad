// Promises to callers: what they were told against what the targets ran.
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <map>

#include "history_p.h"

namespace skylarkhub::detail {

namespace {

struct call_life {
    wall_time made_at;
    wall_time read_at; // by its entry: one that is paused reads it when it runs on
    call_made made;
    std::vector<std::pair<wall_time, call_answered>> answers;
    std::vector<std::pair<wall_time, target_id>> runs;
    std::vector<std::string> whole_answers;
};

std::map<std::string, call_life> read_calls(const history& h)
{
    std::map<std::string, call_life> calls;
    std::map<entry_id, std::vector<std::string>> unread; // of entries that are away
    each_event(
        h,
        [&](wall_time at, const call_made& e) {
            calls[e.request].made_at = at;
            calls[e.request].read_at = at;
            calls[e.request].made = e;
            if (unread.contains(e.entry)) {
                unread[e.entry].push_back(e.request);
            }
        },
        [&](wall_time, const entry_away& e) { unread.try_emplace(e.entry); },
        [&](wall_time at, const entry_back& e) {
            for (const std::string& request : unread[e.entry]) {
                calls[request].read_at = at;
            }
            unread.erase(e.entry);
        },
        [&](wall_time at, const call_answered& e) { calls[e.request].answers.emplace_back(at, e); },
        [&](wall_time at, const run_began& e) { calls[e.request].runs.emplace_back(at, e.target); },
        [&](wall_time, const run_ended& e) { calls[e.request].whole_answers.push_back(e.answer); });
    return calls;
}

// Calls with the same key are one piece of work; without a key each call is its own.
std::map<std::string, std::vector<const call_life*>> group_by_key(const std::map<std::string, call_life>& calls)
{
    std::map<std::string, std::vector<const call_life*>> groups;
    for (const auto& [request, call] : calls) {
        const bool keyed = !call.made.key.empty();
        groups[keyed ? "key " + call.made.key : "request " + request].push_back(&call);
    }
    return groups;
}

// Both were at one entry at some time, which then knew of both.
bool met(const call_life& a, const call_life& b)
{
    const auto answered = [](const call_life& c) { return c.answers.empty() ? wall_time::max() : c.answers[0].first; };
    return a.made.entry == b.made.entry && a.read_at < answered(b) && b.read_at < answered(a);
}

// Runs that contradict a call's refusal at `refused`.
void find_runs(const call_life& call, wall_time refused, const std::vector<const call_life*>& group, violations& found)
{
    // Calls that may run again are each run for themselves, whatever their key.
    const bool shares = call.made.exclusive || !call.made.idempotent;
    for (const call_life* other : group) {
        for (const auto& [began, target] : other->runs) {
            // Another call with the same key may still run afterwards: it was not refused.
            const bool known = other == &call || (shares && began <= refused && met(call, *other));
            if (known) {
                found.push_back(
                    {{},
                     refused,
                     fmt::format("request {} was refused as not run, but ran on {}", call.made.request, target.str())});
            }
        }
    }
}

bool answered_whole(const std::vector<const call_life*>& group, const std::string& answer)
{
    return std::ranges::any_of(group,
                               [&](const call_life* c) { return std::ranges::count(c->whole_answers, answer) != 0; });
}

} // namespace

violations check_whole_answer(const history& h, const history_limits& limits)
{
    violations found;
    const std::map<std::string, call_life> calls = read_calls(h);
    for (const auto& [name, group] : group_by_key(calls)) {
        for (const call_life* call : group) {
            const std::string& request = call->made.request;
            if (call->answers.empty() && limits.complete) {
                found.push_back({{}, call->made_at, "request " + request + " was never answered"});
            }
            if (call->answers.size() > 1) {
                found.push_back({{}, call->answers[1].first, "request " + request + " was answered twice"});
            }
            for (const auto& [at, answer] : call->answers) {
                if (answer.outcome == call_outcome::done && !answered_whole(group, answer.answer)) {
                    found.push_back(
                        {{},
                         at,
                         fmt::format("request {} got '{}', which no run of it answered", request, answer.answer)});
                }
            }
        }
    }
    return found;
}

violations check_did_not_run(const history& h, const history_limits&)
{
    violations found;
    const std::map<std::string, call_life> calls = read_calls(h);
    for (const auto& [name, group] : group_by_key(calls)) {
        for (const call_life* call : group) {
            for (const auto& [at, answer] : call->answers) {
                if (answer.outcome == call_outcome::did_not_run) {
                    find_runs(*call, at, group, found);
                }
            }
        }
    }
    absl::flat_hash_map<job_id, wall_time> refused;
    each_event(h, [&](wall_time at, const job_refused& e) { refused.try_emplace(e.job, at); });
    each_event(h, [&](wall_time at, const task_began& e) {
        if (refused.contains(e.task.job)) {
            found.push_back(
                {{},
                 at,
                 fmt::format("job {} was refused as not run, but began on {}", e.task.job.str(), e.worker.str())});
        }
    });
    return found;
}

violations check_at_most_once(const history& h, const history_limits&)
{
    violations found;
    const std::map<std::string, call_life> calls = read_calls(h);
    for (const auto& [name, group] : group_by_key(calls)) {
        std::vector<std::pair<wall_time, target_id>> runs;
        bool idempotent = true;
        for (const call_life* call : group) {
            idempotent = idempotent && call->made.idempotent;
            runs.insert(runs.end(), call->runs.begin(), call->runs.end());
        }
        if (!idempotent && runs.size() > 1) {
            std::ranges::sort(runs);
            found.push_back({{},
                             runs[1].first,
                             fmt::format("non-idempotent {} ran {} times, first on {} and then on {}", name,
                                         runs.size(), runs[0].second.str(), runs[1].second.str())});
        }
    }
    return found;
}

violations check_leaving_target(const history& h, const history_limits& limits)
{
    violations found;
    absl::flat_hash_map<target_id, wall_time> left;
    absl::flat_hash_map<entry_id, wall_time> back;
    each_event(
        h, [&](wall_time at, const target_leaving& e) { left.try_emplace(e.target, at); },
        // What an entry had decided before it was paused leaves when it runs on.
        [&](wall_time at, const entry_back& e) { back[e.entry] = at; },
        [&](wall_time at, const request_sent& e) {
            const auto since = left.find(e.target);
            if (since != left.end() && at > std::max(since->second, back[e.entry]) + limits.leaving) {
                const double late = std::chrono::duration<double>(at - since->second).count();
                found.push_back({{},
                                 at,
                                 fmt::format("request {} was sent to {}, {:.1f} s after it began to leave", e.request,
                                             e.target.str(), late)});
            }
        });
    return found;
}

violations check_planned_stop(const history& h, const history_limits&)
{
    violations found;
    absl::flat_hash_set<std::string> stopping;
    each_event(
        h, [&](wall_time, const stop_planned& e) { stopping.insert(e.process); },
        // What a crash cuts off while a stop was under way is the crash's doing.
        [&](wall_time, const process_died& e) { stopping.erase(e.process); },
        [&](wall_time at, const request_cut& e) {
            if (stopping.contains(e.process)) {
                found.push_back(
                    {{}, at, fmt::format("request {} was cut off by the planned stop of {}", e.request, e.process)});
            }
        });
    return found;
}

} // namespace skylarkhub::detail
