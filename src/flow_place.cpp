#include "flow_place_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

// Weights in shares of a worker's processors: what one unit of the cause costs the work on that worker.
constexpr double remote_cost = 3.0;     // away from its data a task takes two to three times as long
constexpr double distrust_cost = 5.0;   // a failed run costs the whole run again
constexpr double slow_cost = 1.0;       // for each further multiple of the estimated time
constexpr double strain_cost = 4.0;     // a filler beside a serving task that is near its target is paced or stopped
constexpr double beside_serving = 0.30; // a filler beside a serving task may disturb it, by an amount not known yet
constexpr double beside_filler = 0.25;  // a serving task beside a filler
constexpr double serving_beside = 0.15; // serving tasks disturb each other by their load
constexpr double overcommit_cost = 2.0; // filling work that gets less than it wants runs longer

} // namespace

bool has_room(const place_option& option, const flow_step& step)
{
    resources need = step.need;
    if (step.filling) {
        need.cpu_millis = 0;
    }
    return fits(option.held + need, option.room);
}

double place_cost(const place_option& option, const flow_step& step)
{
    const double total = std::max<double>(1, static_cast<double>(option.room.cpu_millis));
    const double wanted = static_cast<double>(option.held.cpu_millis + option.filling_cpu + step.need.cpu_millis);
    double cost = wanted / total;
    cost += overcommit_cost * std::max(0.0, cost - 1.0);
    cost += distrust_cost * option.distrust + slow_cost * (option.slowness - 1.0);
    if (step.data_rack.valid() && step.data_rack != option.rack) {
        cost += remote_cost;
    }
    if (step.filling) {
        cost += beside_serving * option.serving;
        cost += option.strained ? strain_cost : 0;
    }
    if (step.lasting && step.tail_target > duration(0)) {
        cost += beside_filler * option.fillers + serving_beside * option.serving;
    }
    return cost;
}

} // namespace skylarkhub
