// Which tasks are charged with the crash of a worker, and when one is given up for it.
//
// A run that ends with its worker is reported by nobody, so it counts against no limit of attempts: a task that crashes
// each worker it starts on would be started for ever, and take along what runs beside it. Most tasks on a worker that
// crashes are innocent all the same, and workers crash by themselves, one by one or many at once. So a crash is charged
// only to runs that were young then, and of these to the tasks under which most workers have crashed before. It weighs
// the more the less likely the worker would have crashed in that time anyway. A task that is charged twice is started
// once more on a worker kept for it, where nothing else that was started can have been the cause.
//
// Where several tasks crash workers at once, each hides the others: together they pass for a rack that has gone, and
// the one charged most is charged with all. So crashes are also noted under every run that was young then, and after
// three of them, whoever is charged, a task starts alone. One that crashes workers does so there too; one that was
// beside it ends, and is cleared.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

inline constexpr int crashes_until_alone = 2; // that it is charged with: from then on a task is started alone
// Noted under a task, charged or not: from then on it is started alone, and given up if that shows it to be the cause.
inline constexpr std::size_t crashes_until_sure = 3;
// A run that has lived this long crashes no worker: a later crash is not charged to it, those before are forgotten.
inline constexpr duration crash_age_most = std::chrono::seconds(30);

// Workers that stop answering within this of each other have crashed in one moment, when there are so many besides.
inline constexpr duration crash_wave_within = std::chrono::milliseconds(500);
inline constexpr int crash_wave_least = 2;
inline constexpr duration crash_seen_over = std::chrono::seconds(60);
// How often workers crash is counted from so long before a task's first crash, and by an owner that has just come over
// so long at the least.
inline constexpr duration crash_seen_before = std::chrono::seconds(10);
inline constexpr duration crash_seen_least = std::chrono::seconds(5);

// A worker is kept for a task until its newest start is so old, another one if that takes too long.
inline constexpr duration alone_settle = std::chrono::seconds(1);
inline constexpr duration alone_wait_most = std::chrono::seconds(5);
inline constexpr double kept_share_most = 0.25; // of a cell's workers

// A run that was on a worker when it crashed.
struct run_in_crash {
    std::optional<duration> age; // from its start until the worker no longer answered; empty: not known
    int crashes = 0;             // that its task is charged with
    bool alone = false;          // nothing else has been started on the worker since
    bool accepted = false;       // the worker had answered its start
    bool in_a_wave = false;      // others crashed in the same moment, where nothing of its job ran
    bool unseen = false;         // only the record of its start tells of it: its age is assumed
    bool charged = false;        // as pick_noted() has found
};

// For each run whether its task is charged with the crash.
std::vector<bool> charge_crash(const std::vector<run_in_crash>& runs);

bool was_young(const run_in_crash& run);

// Of what was lost in a crash, each with its `in_crash`, what was young then; with whether it is charged.
template <class Lost> std::vector<Lost> pick_noted(const std::vector<Lost>& lost)
{
    std::vector<run_in_crash> runs;
    runs.reserve(lost.size());
    std::transform(lost.begin(), lost.end(), std::back_inserter(runs), [](const Lost& l) { return l.in_crash; });
    const std::vector<bool> charged = charge_crash(runs);
    std::vector<Lost> picked;
    for (std::size_t i = 0; i < lost.size(); ++i) {
        if (was_young(lost[i].in_crash)) {
            picked.push_back(lost[i]);
            picked.back().in_crash.charged = charged[i];
        }
    }
    return picked;
}

// A crash that a task is charged with.
struct charged_crash {
    duration age{0}; // of the run
    double rate = 0; // of other crashes then, see crash_rate()
};

// Without those that other tasks are charged with.
std::vector<wire::crash_row> charged_rows(const std::vector<wire::crash_row>& rows);
std::vector<charged_crash> charged_of(const std::vector<wire::crash_row>& rows);
// For a log line or an operator: which workers, when, and how soon after the start.
std::string describe_crashes(const std::vector<wire::crash_row>& rows);

// Crashes a second of each of so many workers, when `others` of them have crashed in that time.
double crash_rate(std::int64_t others, std::size_t workers, duration over);

// Whether it is beyond doubt that the task crashes its workers; the crashes in their order. The less often others
// crash, the fewer are needed, and three at least.
bool is_given_up(const std::vector<charged_crash>& crashes);

// Whether a task with these crashes under it is started alone. `unheard`: further crashes that may have been under it.
bool must_start_alone(const std::vector<wire::crash_row>& rows, std::size_t unheard = 0);
// Beyond doubt, by what it is charged with, or since it crashed two workers in a row at once when it was alone there.
// One of the two may be unseen, after five crashes, all others of them at the start.
bool crashes_its_workers(const std::vector<wire::crash_row>& rows);

// When an owner charges a crash.
struct crash_moment {
    instant now{};
    wall_time wall;
    duration owned{0}; // since it took the cell over, or since the owners before it told of crashes
    std::size_t workers = 0;
};

// A life of a worker that stopped answering.
struct worker_silence {
    instant since{};
    worker_id worker;
    std::int64_t born = 0; // 0: not told
    bool explained = false;
};

// The workers of a cell that stopped answering lately: which of them crashed together, and how often they crash at all.
// Task: an id of a task with its `job`.
template <class Task> class crash_watch {
public:
    // The moment in which a worker stops answering is as near as can be known to the one in which it crashed.
    void note(instant now, instant since, const worker_id& worker, std::set<Task> tasks, std::int64_t born = 0)
    {
        std::erase_if(silences_, [now](const silence& s) { return now - s.seen.since > crash_seen_over; });
        const bool known = std::any_of(silences_.begin(), silences_.end(), [&](const silence& s) {
            return s.inherited && s.seen.worker == worker && s.seen.born == born;
        });
        if (!known) {
            silences_.push_back({{since, worker, born}, std::move(tasks)});
        }
    }

    // What the owner before has told, without the tasks that were there.
    void inherit(const worker_silence& seen) { silences_.push_back({seen, {}, true}); }

    // The newest, `most` of them.
    std::vector<worker_silence> newest(std::size_t most) const
    {
        std::vector<worker_silence> newest;
        newest.reserve(silences_.size());
        std::transform(silences_.begin(), silences_.end(), std::back_inserter(newest),
                       [](const silence& s) { return s.seen; });
        std::stable_sort(newest.begin(), newest.end(),
                         [](const worker_silence& a, const worker_silence& b) { return a.since > b.since; });
        newest.resize(std::min(newest.size(), most));
        return newest;
    }

    // A rack, or a seventh of all workers, that goes at once has a cause of its own; but not the workers that tasks of
    // one job have crashed.
    bool in_a_wave(instant since, const worker_id& worker, const job_id& job) const
    {
        const auto others = std::count_if(silences_.begin(), silences_.end(), [&](const silence& s) {
            const duration apart = s.seen.since > since ? s.seen.since - since : since - s.seen.since;
            const bool had_job =
                std::any_of(s.tasks.begin(), s.tasks.end(), [&](const Task& t) { return t.job == job; });
            return s.seen.worker != worker && !s.inherited && apart <= crash_wave_within && !had_job;
        });
        return others >= crash_wave_least;
    }

    // The row of one more crash under the task, of the run `lost` whose age is known; `noted`: those before.
    wire::crash_row describe(const crash_moment& at, const Task& task, const worker_id& worker,
                             const run_in_crash& lost, const std::vector<wire::crash_row>& noted) const
    {
        wire::crash_row row;
        row.worker = worker.str();
        row.beside = !lost.charged;
        row.alone = lost.alone && (lost.accepted || lost.unseen);
        row.unseen = lost.unseen;
        row.age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(*lost.age).count();
        row.at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(at.wall.time_since_epoch()).count();
        const std::vector<wire::crash_row> before = charged_rows(noted);
        const std::int64_t since_first = before.empty() ? 0 : row.at_ms - before.front().at_ms;
        const duration over =
            std::min({std::chrono::milliseconds(std::max<std::int64_t>(0, since_first)) + crash_seen_before,
                      crash_seen_over, at.owned + crash_seen_least});
        const auto others = std::count_if(silences_.begin(), silences_.end(), [&](const silence& s) {
            return at.now - s.seen.since <= over && !s.seen.explained && !had_task(s, task, noted);
        });
        row.rate = crash_rate(others, at.workers, over);
        return row;
    }

    // What a task does that crashes its workers says nothing of how often they crash by themselves. `noted`: all
    // crashes under the task, the newest that of `worker`.
    void explain(const Task& task, const worker_id& worker, const std::vector<wire::crash_row>& noted)
    {
        const std::vector<charged_crash> charged = charged_of(noted);
        const bool beyond_doubt = is_given_up(charged);
        const bool was_alone = charged.size() > static_cast<std::size_t>(crashes_until_alone);
        for (silence& s : silences_) {
            s.seen.explained = s.seen.explained || (beyond_doubt && had_task(s, task, noted)) ||
                               (was_alone && s.seen.worker == worker);
        }
    }
    void clear() { silences_.clear(); }

private:
    struct silence {
        worker_silence seen;
        std::set<Task> tasks; // that were there
        bool inherited = false;
    };
    // Of a silence that the owner before has told, the crashes noted under the task say whether it was there.
    static bool had_task(const silence& s, const Task& task, const std::vector<wire::crash_row>& noted)
    {
        return s.tasks.count(task) != 0 ||
               (s.inherited && std::any_of(noted.begin(), noted.end(), [&](const wire::crash_row& row) {
                    return row.worker == s.seen.worker.str() && row.born == s.seen.born;
                }));
    }
    std::vector<silence> silences_;
};

// The longest that a task took to crash a worker.
duration longest_age(const std::vector<wire::crash_row>& rows);

// How long a run that begins alone has its worker to itself; `age`: the longest that its task took to crash a worker.
duration time_alone(duration age);

} // namespace skylarkhub
