// Interference: serving tasks whose tail latency nears its target have the filling work beside them slowed down.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// A tail is a rough figure of the last half second. Above this share of the target the filling work beside it is
// slowed; below the lower one it is let go again, a step at a time.
constexpr double strained_share = 0.85;
constexpr double relaxed_share = 0.6;
constexpr int pace_floor = 0;  // percent; work that is stopped entirely keeps its memory and what it has done
constexpr int pace_first = 30; // percent; the first answer to a strain
constexpr int pace_step = 20;  // percent; each step back
constexpr duration pace_interval =
    std::chrono::milliseconds(700); // a measurement covers half a second; then look again

} // namespace

void flow_cell::take_measures(instant now, cell_worker& w, const order_answer& answer)
{
    double worst = 0;
    for (const listed_run& run : answer.running) {
        const auto at = w.ledger.find(run.task);
        if (at == w.ledger.end() || at->second.tail_target <= duration(0)) {
            continue;
        }
        const double target = std::chrono::duration<double, std::milli>(at->second.tail_target).count();
        worst = std::max(worst, static_cast<double>(run.measure) / target);
    }
    const bool was_strained = w.strained;
    w.strained = worst >= strained_share;
    if (w.strained && !was_strained) {
        w.strained_since = now;
    }
    if (now - w.paced_at < pace_interval) {
        return;
    }
    if (w.strained && w.fillers > 0 && w.pace > pace_floor) {
        w.pace = w.pace > pace_first ? pace_first : pace_floor;
        w.paced_at = now;
        write_log(log_level::info, "pace", "slowed",
                  {{"worker", w.listing.worker.str()},
                   {"percent", std::to_string(w.pace)},
                   {"tail_share", std::to_string(worst)}});
    }
    else if (worst < relaxed_share && w.pace < 100) {
        w.pace = std::min(100, w.pace + pace_step);
        w.paced_at = now;
    }
    pace_fillers(now, w);
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
        const auto known = w.paced.find(task);
        const std::int32_t current = known == w.paced.end() ? 100 : known->second;
        if (current == w.pace) {
            continue;
        }
        w.paced[task] = w.pace;
        edges_.order(place_of(w), pace_run{task, run.run, w.pace, epoch_}, pace_timeout,
                     [this, id = w.listing.worker, task = task, wanted = w.pace,
                      life = life_](instant, const order_answer& answer) {
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
