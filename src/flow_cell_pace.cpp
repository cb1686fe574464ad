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
constexpr int pace_step_up = 20;  // percent
// A measurement covers half a second; sooner than this, it still tells of the time before the last change.
constexpr duration evict_interval = std::chrono::milliseconds(150); // lets the ledgers show where the last one went
constexpr duration pace_interval = std::chrono::milliseconds(600);

} // namespace

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
    choose_pace(now, w, worst);
    if (w.strained) {
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
        const auto lower = [&](int pace) { return pace / 2 < pace_least || worst > 2 ? 0 : pace / 2; };
        if (any_hard && w.pace > 0) {
            w.pace = lower(w.pace);
        }
        else {
            w.pace_rest = lower(w.pace_rest);
        }
    }
    else if (worst < relaxed_share) {
        if (w.pace_rest < 100) {
            w.pace_rest = std::min(100, w.pace_rest + pace_step_up);
        }
        else if (w.pace < 100) {
            w.pace = std::min(100, w.pace + pace_step_up);
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
        if (better == nullptr || better->serving > 0) {
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
