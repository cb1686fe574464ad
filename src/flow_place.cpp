#include "flow_place_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

// Weights in shares of a worker's processors: what one unit of the cause costs the work on that worker. Serving tasks
// do not disturb each other, so they are packed on as few workers as hold them: on one without a serving task filling
// work presses on nobody and has all processors; beside serving tasks that are at the top of their load it has a fifth.
constexpr double remote_cost = 3.0;   // away from its data a task takes two to three times as long
constexpr double distrust_cost = 5.0; // a failed run costs the whole run again
constexpr double excess_cost = 6.0;   // filling work beyond what is borne is slowed, or the tails there go over target
constexpr double beside_serving = 0.15; // filling work beside serving tasks that bear it now, and may not later
constexpr double taken_cost = 1.0; // what serving tasks bear is scarcer than processors: spent where a task takes least
constexpr double apart_cost = 0.6; // plain work on a worker that has no serving task
constexpr double open_cost = 1.5;  // the first serving task of a worker: one fewer where filling work presses on nobody
constexpr double tight_cost = 0.6; // what a serving task leaves free, where no other may fit any more
constexpr double overcommit_cost = 2.0; // filling work that gets less than it wants runs longer

} // namespace

std::int64_t available_for_filling(const placement_candidate& option)
{
    const double idle = (1.0 - lasting_use) * static_cast<double>(option.lasting_cpu);
    return option.room.cpu_millis - option.held.cpu_millis - option.filling_cpu + static_cast<std::int64_t>(idle);
}

bool has_label(const std::vector<std::string>& labels, const std::string& label)
{
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool has_room(const placement_candidate& option, const flow_step& step)
{
    resources need = step.need;
    if (step.filling) {
        need.cpu_millis = 0;
    }
    return fits(option.held + need, option.room);
}

double placement_cost(const placement_candidate& option, const flow_step& step,
                      const expected_interference& interference)
{
    const double total = std::max<double>(1, static_cast<double>(option.room.cpu_millis));
    const double counted =
        static_cast<double>(option.held.cpu_millis + (step.filling ? 0 : step.need.cpu_millis)) / total;
    const double wanted = 1.0 - static_cast<double>(available_for_filling(option) - step.need.cpu_millis) / total;
    double cost = distrust_cost * option.distrust;
    if (step.data_rack.valid() && step.data_rack != option.rack) {
        cost += remote_cost;
    }
    cost += excess_cost * interference.excess_pressure;
    if (step.filling) {
        cost += taken_cost * interference.taken + wanted + overcommit_cost * std::max(0.0, wanted - 1.0);
        return cost + (option.serving > 0 ? beside_serving : 0);
    }
    if (step.lasting) {
        return cost + tight_cost * (1.0 - counted) + (option.serving == 0 ? open_cost : 0);
    }
    // Plain work fills what serving tasks leave, so that other workers stay whole for filling work.
    return cost + (option.serving > 0 ? 1.0 - counted : apart_cost + wanted);
}

} // namespace skylarkhub
