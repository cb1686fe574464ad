#include <fmt/format.h>

#include <array>

#include "history_p.h"

namespace skylarkhub {

void history::add(wall_time at, history_event event)
{
    sorted_ = sorted_ && (records_.empty() || records_.back().at <= at);
    records_.push_back({at, std::move(event)});
}

const std::vector<history_record>& history::records() const
{
    if (!sorted_) {
        std::ranges::stable_sort(records_, {}, &history_record::at);
        sorted_ = true;
    }
    return records_;
}

wall_time history::end() const
{
    return records().empty() ? wall_time{} : records().back().at;
}

std::span<const promise_check> promise_checks()
{
    static constexpr auto checks = std::to_array<promise_check>({
        {"no worker is committed beyond its capacity", detail::check_capacity},
        {"exclusive work never runs in two places", detail::check_exclusive},
        {"evicted work resumes once", detail::check_resume_once},
        {"accepted work finishes once", detail::check_finish_once},
        {"each caller gets the whole answer to its own request", detail::check_whole_answer},
        {"what is said not to have run did not run", detail::check_did_not_run},
        {"a non-idempotent request runs at most once", detail::check_at_most_once},
        {"a leaving target gets nothing new", detail::check_leaving_target},
        {"a planned stop cuts off no request", detail::check_planned_stop},
        {"accepted settings are in force everywhere and never revert", detail::check_settings},
        {"each due time of standing work runs once or is told as missed", detail::check_standing},
    });
    return checks;
}

violations check_history(const history& h, const history_limits& limits)
{
    violations found;
    for (const promise_check& check : promise_checks()) {
        for (violation& v : check.check(h, limits)) {
            v.promise = check.promise;
            found.push_back(std::move(v));
        }
    }
    return found;
}

std::string format_violations(const history& h, const violations& found)
{
    const wall_time first = h.records().empty() ? wall_time{} : h.records().front().at;
    std::string out;
    for (const violation& v : found) {
        const double seconds = std::chrono::duration<double>(v.at - first).count();
        out += fmt::format("{:.3f} s: {}: {}\n", seconds, v.promise, v.text);
    }
    return out;
}

} // namespace skylarkhub
