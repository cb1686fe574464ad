// Which tasks are charged with the crash of a worker, and when one is given up for it.
//
// A run that ends with its worker is reported by nobody, so it counts against no limit of attempts: a task that crashes
// each worker it starts on would be started for ever, and take along what runs beside it. Most tasks on a worker that
// crashes are innocent all the same, and workers crash by themselves, one by one or many at once. So a crash is charged
// only to runs that were young then, and of these to the tasks under which most workers have crashed before. It weighs
// the more the less likely the worker would have crashed in that time anyway. A task that is charged twice is started
// once more on a worker kept for it, where nothing else that was started can have been the cause.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

inline constexpr int crashes_until_alone = 2; // from then on a task is started alone
// A run that has lived this long crashes no worker: a later crash is not charged to it, those before are forgotten.
inline constexpr duration crash_age_most = std::chrono::seconds(30);

// A run that was on a worker when it crashed.
struct run_in_crash {
    std::optional<duration> age; // from its start until the worker no longer answered; empty: not known
    int crashes = 0;             // that its task is charged with
    bool alone = false;          // nothing else has been started on the worker since
    bool in_a_wave = false;      // others crashed in the same moment, where nothing of its job ran
};

// For each run whether its task is charged with the crash.
std::vector<bool> charge_crash(const std::vector<run_in_crash>& runs);

// A crash that a task is charged with.
struct charged_crash {
    duration age{0}; // of the run
    double rate = 0; // of other crashes then, see crash_rate()
};

// Crashes a second of each of so many workers, when `others` of them have crashed in that time.
double crash_rate(std::int64_t others, std::size_t workers, duration over);

// Whether it is beyond doubt that the task crashes its workers; the crashes in their order. The less often others
// crash, the fewer are needed, and three at least.
bool is_given_up(const std::vector<charged_crash>& crashes);

// How long a run that begins alone has its worker to itself; `age`: the longest that its task took to crash a worker.
duration time_alone(duration age);

} // namespace skylarkhub
