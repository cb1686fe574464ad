// Interference: what filling work does to the serving tasks beside it is learned per image, and when a serving task's
// tail latency nears its target, the filling work that presses hardest is slowed first.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// A tail is a rough figure of the last half second. Above this share of the target the filling work beside it is slowed;
// below the lower one it is let go again, a step at a time.
constexpr double strained_share = 0.85;
constexpr double relaxed_share = 0.65;
constexpr int pace_least = 15;    // percent; below it, none at all
constexpr int rest_step = 50;     // percent; most images press on nobody, and slowing them costs their jobs' objective
constexpr int hard_step = 10;     // percent
// A tail that was driven up comes down over two to three seconds after its cause has gone, as the backlog drains; slowing
// more work meanwhile would be for nothing.
constexpr duration drain_time = std::chrono::milliseconds(1800);
constexpr double tail_drains = 0.9; // a tail that falls faster than this from look to look is draining
constexpr duration calm_time = std::chrono::milliseconds(1500);
// A measurement covers half a second; sooner than this, it still tells of the time before the last change.
constexpr duration evict_interval = std::chrono::milliseconds(150); // lets the ledgers show where the last one went
constexpr duration pace_interval = std::chrono::milliseconds(600);

} // namespace

void flow_cell::hint_pressures(const std::map<std::string, double>& pressures)
{
    for (const auto& [image, pressure] : pressures) {
        presses_.hint(image, pressure);
    }
}

bool flow_cell::presses_hard(const std::string& image) const
{
    return presses_.pressure(image) >= hard_pressure;
}

void flow_cell::recount_pressure(cell_worker& w) const
{
    const double room = static_cast<double>(std::max<std::int64_t>(1, w.listing.room.cpu_millis));
    w.pressure = 0;
    for (const auto& [task, run] : w.ledger) {
        if (run.filling) {
            const int pace = presses_hard(run.image) ? w.pace : w.pace_rest;
            w.pressure += presses_.pressure(run.image) * static_cast<double>(run.need.cpu_millis) * pace / 100.0 / room;
        }
    }
}

void flow_cell::take_measures(instant now, cell_worker& w, const order_answer& answer)
{
    const double room = static_cast<double>(std::max<std::int64_t>(1, w.listing.room.cpu_millis));
    double worst = 0;
    std::map<std::string, double> used;
    for (const listed_run& run : answer.running) {
        const auto at = w.ledger.find(run.task);
        if (at == w.ledger.end()) {
            continue;
        }
        if (at->second.filling) {
            used[at->second.image] += static_cast<double>(run.measure) / room;
        }
        else if (at->second.tail_target > duration(0) && run.progress_percent >= 100) {
            const double target = std::chrono::duration<double, std::milli>(at->second.tail_target).count();
            worst = std::max(worst, static_cast<double>(run.measure) / target);
        }
    }
    if (worst > 0 && !used.empty()) {
        presses_.learn(worst, {used.begin(), used.end()});
    }
    const bool was_strained = w.strained;
    w.strained = worst >= strained_share;
    if (w.strained && !was_strained) {
        w.strained_since = now;
    }
    if (worst >= relaxed_share || w.calm_since == instant{}) {
        w.calm_since = now;
    }
    choose_pace(now, w, worst);
    w.tail = worst;
    if (w.strained || w.pace == 0) {
        evict_fillers(now, w);
    }
    recount_pressure(w);
    pace_fillers(now, w);
}

void flow_cell::choose_pace(instant now, cell_worker& w, double worst)
{
    if (w.serving == 0) {
        w.pace = 100;
        w.pace_rest = 100;
        return;
    }
    if (now - w.paced_at < pace_interval) {
        return;
    }
    const int before = w.pace;
    const int rest_before = w.pace_rest;
    if (w.strained && w.fillers > 0) {
        const bool any_hard = std::any_of(w.ledger.begin(), w.ledger.end(), [this](const auto& r) {
            return r.second.filling && presses_hard(r.second.image);
        });
        if (any_hard && w.pace > 0) {
            w.hard_most = std::max(hard_step, w.pace / 2);
            w.pace = 0;
        }
        else if (now - w.strained_since >= drain_time && worst > 1.0 && worst > tail_drains * w.tail) {
            // Not the hard ones, or they have been off for long enough: a backlog drains by itself.
            w.pace_rest = w.pace_rest / 2 < pace_least ? 0 : w.pace_rest / 2;
        }
    }
    else if (worst < relaxed_share) {
        w.pace_rest = std::min(100, w.pace_rest + rest_step);
        if (w.pace_rest == 100 && now - w.calm_since >= calm_time) {
            w.hard_most = std::min(100, w.hard_most + hard_step / 2);
            w.pace = std::min(w.hard_most, w.pace + hard_step);
        }
    }
    if (w.pace == before && w.pace_rest == rest_before) {
        return;
    }
    w.paced_at = now;
    if (w.pace < before || w.pace_rest < rest_before) {
        write_log(log_level::info, "pace", "slowed",
                  {{"worker", w.listing.worker.str()},
                   {"hard_percent", std::to_string(w.pace)},
                   {"rest_percent", std::to_string(w.pace_rest)},
                   {"tail_share", std::to_string(worst)}});
    }
}

double flow_cell::expected_tail(const cell_worker& w, const ledger_run& run) const
{
    const double room = static_cast<double>(std::max<std::int64_t>(1, w.listing.room.cpu_millis));
    return std::max(w.tail, presses_.base() + w.pressure) +
           presses_.pressure(run.image) * static_cast<double>(run.need.cpu_millis) / room;
}

// Filling work that is slowed to nothing makes no way where it is. It goes on from its checkpoint where it presses on
// nobody, one task at a time, as long as there is such a place.
void flow_cell::evict_fillers(instant now, cell_worker& w)
{
    if (w.pace > 0 || now < w.next_evict) {
        return;
    }
    for (const auto& [task, run] : w.ledger) {
        if (!run.filling || !presses_hard(run.image)) {
            continue;
        }
        const auto found = jobs_.find(task.job);
        flow_task* const t = found == jobs_.end() ? nullptr : found->second->find_task(task);
        if (t == nullptr || t->runs.size() != 1 || t->runs.front().stopping || !t->runs.front().confirmed) {
            continue;
        }
        const flow_job& job = *found->second;
        const flow_stage& stage = *found->second->find_stage(task);
        const cell_worker* const better = choose(now, job, stage, *t);
        if (better == nullptr || (better->serving > 0 && expected_tail(*better, run) > comfortable_tail)) {
            return;
        }
        write_log(log_level::info, "run", "evicted",
                  {{"job", task.job.str()},
                   {"worker", w.listing.worker.str()},
                   {"to", better->listing.worker.str()},
                   {"image", run.image}});
        t->runs.front().stopping = true;
        send_stop(now, w.listing.worker, task, run.run, 0);
        w.next_evict = now + evict_interval;
        return;
    }
}

void flow_cell::pace_fillers(instant now, cell_worker& w)
{
    if (!may_send(now)) {
        return;
    }
    for (const auto& [task, run] : w.ledger) {
        if (!run.filling) {
            continue;
        }
        const std::int32_t wanted = presses_hard(run.image) ? w.pace : w.pace_rest;
        const auto known = w.paced.find(task);
        const std::int32_t current = known == w.paced.end() ? 100 : known->second;
        if (current == wanted) {
            continue;
        }
        w.paced[task] = wanted;
        edges_.order(place_of(w), pace_run{task, run.run, wanted, epoch_}, pace_timeout,
                     [this, id = w.listing.worker, task = task, wanted, life = life_](instant,
                                                                                    const order_answer& answer) {
                         const auto at = workers_.find(id);
                         if (life != life_ || at == workers_.end() || answer.result == order_result::accepted) {
                             return;
                         }
                         const auto p = at->second.paced.find(task);
                         if (p != at->second.paced.end() && p->second == wanted) {
                             p->second = -1; // not known: said again with the next exchange
                         }
                     });
    }
}

} // namespace skylarkhub
